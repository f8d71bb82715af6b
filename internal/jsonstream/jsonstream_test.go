package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// splitAll splits a stream that arrives in pieces of the given size.
func splitAll(s *Splitter, text string, size int) (objects []string, blanks int, err error) {
	for len(text) > 0 {
		data := []byte(text[:min(size, len(text))])
		text = text[len(data):]
		for {
			o, rest, err := s.Next(data)
			if err != nil {
				return objects, blanks, err
			}
			if o == nil {
				break
			}
			if len(o) > 0 {
				objects = append(objects, string(o))
			} else {
				blanks++
			}
			data = rest
		}
	}
	return objects, blanks, nil
}

func TestLayouts(t *testing.T) {
	one := `{"a":[1,{"b":"}\"{]"}],"c":"\\"}`
	var indented bytes.Buffer
	json.Indent(&indented, []byte(one), "", "  ")
	stream := "\n" + one + "\n\n" + indented.String() + "\n" + one + one + "\r\n"
	for size := 1; size <= len(stream); size++ {
		got, blanks, err := splitAll(&Splitter{MaxObjectBytes: 200}, stream, size)
		if err != nil || len(got) != 4 || blanks != 5 {
			t.Fatalf("in pieces of %d: %d objects, %d empty lines, %v", size, len(got), blanks, err)
		}
		for i, want := range []string{one, indented.String(), one, one} {
			if got[i] != want {
				t.Fatalf("in pieces of %d: %q", size, got[i])
			}
		}
	}
}

func TestInvalidStreams(t *testing.T) {
	for text, want := range map[string]error{"null\n": ErrNotObject, "{}x": ErrNotObject, "]": ErrNotObject, "[{}]": ErrNotObject,
		"{\"a\":\n\n": ErrTruncated, "{\"a\":1,\n\r\n{}\n": ErrTruncated, "{\"a\":\"x\n": ErrTruncated, "{\"a\":\n1}\n\n": nil,
		"{\"a\":\"" + strings.Repeat("x", 300): ErrTooLong, "{" + strings.Repeat(" ", 198) + "}": nil,
		"{" + strings.Repeat(" ", 199) + "}": ErrTooLong} {
		for _, size := range []int{1, 7, 1000} {
			if _, _, err := splitAll(&Splitter{MaxObjectBytes: 200}, text, size); !errors.Is(err, want) {
				t.Errorf("%.20q in pieces of %d: %v", text, size, err)
			}
		}
	}
}

// For any input, the pieces must not change which objects are found, and the buffer must stay within its limit.
func FuzzPieces(f *testing.F) {
	f.Add("{\"a\":1}\n{}\n", 3)
	f.Add("{\"\\", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, size%100)
		s := &Splitter{MaxObjectBytes: 50}
		got, _, err := splitAll(s, text, size)
		if len(s.partial) > 50 && err == nil {
			t.Fatalf("%d bytes buffered", len(s.partial))
		}
		whole, _, wholeErr := splitAll(&Splitter{MaxObjectBytes: 50}, text, len(text)+1)
		if fmt.Sprint(got) != fmt.Sprint(whole) && err == nil && wholeErr == nil {
			t.Fatalf("%q in pieces, %q at once", got, whole)
		}
	})
}
