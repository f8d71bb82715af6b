// Package jsonstream splits a stream of bytes into JSON objects, whatever their layout: one on each line, indented over many
// lines, or split anywhere between two reads. It buffers at most one incomplete object and does not validate it; that is up to
// the decoder.
package jsonstream

import (
	"bytes"
	"errors"
)

// Errors after which a stream cannot continue.
var (
	ErrTooLong   = errors.New("JSON object too long")
	ErrNotObject = errors.New("data outside of a JSON object")
	ErrTruncated = errors.New("truncated JSON object")
)

// Splitter splits one stream. Set MaxObjectBytes before use.
type Splitter struct {
	MaxObjectBytes int
	partial        []byte // beginning of an object, from earlier calls
	depth          int    // nesting of braces and brackets
	inString       bool   // inside a JSON string
	escaped        bool   // after a backslash in a string
	lineEmpty      bool   // the line so far is empty; inside an object that means that the object was cut off
}

// Next returns the first whole object in data, or an empty one for the end of a line outside of any object, and the data that
// follows it. It returns nil when all data is consumed and more is needed. The object is valid until the next call.
func (s *Splitter) Next(data []byte) (object, rest []byte, err error) {
	start := 0
	for i := 0; i < len(data); i++ {
		b := data[i]
		if s.depth > 0 && b == '\n' && (s.inString || s.lineEmpty) {
			return nil, nil, ErrTruncated
		}
		s.lineEmpty = b == '\n' || s.lineEmpty && b == '\r'
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString && b == '\\':
			s.escaped = true
		case b == '"' && s.depth > 0:
			s.inString = !s.inString
		case s.inString:
		case b == '{' || b == '[' && s.depth > 0:
			if s.depth++; s.depth == 1 {
				start = i
			}
		case (b == '}' || b == ']') && s.depth > 0:
			if s.depth--; s.depth == 0 {
				if len(s.partial)+i+1-start > s.MaxObjectBytes {
					return nil, nil, ErrTooLong
				}
				object = data[start : i+1]
				if len(s.partial) > 0 {
					object, s.partial = append(s.partial, object...), nil
				}
				return object, data[i+1:], nil
			}
		case s.depth > 0:
		case b == '\n':
			return data[i:i], data[i+1:], nil
		case len(bytes.TrimSpace(data[i:i+1])) > 0:
			return nil, nil, ErrNotObject
		}
	}
	if s.depth > 0 {
		if s.partial = append(s.partial, data[start:]...); len(s.partial) > s.MaxObjectBytes {
			return nil, nil, ErrTooLong
		}
	}
	return nil, nil, nil
}
