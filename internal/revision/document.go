package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

const (
	// DocumentMost is the largest document of a scope, and the largest merged configuration, in bytes.
	MaxDocumentBytes = 1 << 20
	depthMost        = 64 // levels of nesting: a merge recurses
)

// Document is a JSON object in canonical form: keys sorted, no white space, numbers as they were written, no null.
type Document = json.RawMessage

// Empty is the document that says nothing.
var EmptyDocument = Document("{}")

// Canonical reads a document that somebody wrote. The error is one line; it names the line and column where the text is
// no JSON, and the key where a value is null, which a merge patch could not carry.
func Canonicalize(text []byte) (Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("the document has %d bytes, %d are allowed", len(text), MaxDocumentBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value map[string]any
	if err := decoder.Decode(&value); err != nil {
		return nil, placed(text, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		line, column := position(text, decoder.InputOffset())
		return nil, fmt.Errorf("line %d, column %d: something follows the document", line, column)
	}
	if value == nil {
		return nil, errors.New("line 1, column 1: the document is not an object")
	}
	if err := checkValue(value, "", 0); err != nil {
		return nil, err
	}
	return Encode(value)
}

// placed gives a decoder's error with its place.
func placed(text []byte, decoder *json.Decoder, err error) error {
	offset := decoder.InputOffset()
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
		err = errors.New("the document is not an object")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		offset = int64(len(text))
		err = errors.New("the document breaks off")
	}
	line, column := position(text, offset)
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

// position gives the line and column of an offset, both from 1.
func position(text []byte, offset int64) (line, column int) {
	before := text[:min(int64(len(text)), max(0, offset))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, max(1, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// checkValue finds a null, or nesting that is too deep.
func checkValue(value any, path string, depth int) error {
	if depth > depthMost {
		return fmt.Errorf("%s: nested over %d levels", path, depthMost)
	}
	switch value := value.(type) {
	case nil:
		return fmt.Errorf("%s is null: leave the key out instead", path)
	case map[string]any:
		for key, inner := range value {
			if err := checkValue(inner, join(path, key), depth+1); err != nil {
				return err
			}
		}
	case []any:
		for i, inner := range value {
			if err := checkValue(inner, fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Encode writes a value as canonical JSON: keys sorted, no white space, nothing escaped that need not be.
func Encode(value any) (Document, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// Checksum is the SHA-256 of a canonical document, in hexadecimal.
func Checksum(document Document) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Diff gives the RFC 7396 merge patch that leads from one canonical document to another.
func Diff(from, to Document) (Document, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, fmt.Errorf("merge patch: %w", err)
	}
	return patch, nil
}

// Patch applies an RFC 7396 merge patch to a document; the result is canonical.
func ApplyPatch(document, patch Document) (Document, error) {
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, fmt.Errorf("merge patch: %w", err)
	}
	return Canonicalize(merged)
}

// Merge lays canonical documents over each other, the first one lowest.
func Merge(documents ...Document) (Document, error) {
	merged := EmptyDocument
	for _, document := range documents {
		if len(document) == 0 {
			continue
		}
		next, err := ApplyPatch(merged, document)
		if err != nil {
			return nil, err
		}
		merged = next
	}
	return merged, nil
}
