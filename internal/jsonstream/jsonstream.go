// Package jsonstream cuts a stream of bytes into the JSON objects in it, however they are laid out: each on a line of its own,
// indented over many, or cut anywhere between two reads. It holds the beginning of one object at most and must never
// look at what it means; whether it is valid JSON is for who decodes it.
package jsonstream

import (
	"bytes"
	"errors"
)

// What a stream can't go on after.
var (
	ErrTooLong   = errors.New("an object is too long")
	ErrNotObject = errors.New("something other than an object")
	ErrTruncated = errors.New("an object that breaks off")
)

// Cutter cuts one stream. Make it with its bound, in bytes of an object; its other fields are its own.
type Splitter struct {
	MaxObjectBytes int
	held           []byte // an object's beginning, from earlier calls
	depth          int    // of brackets
	text           bool   // inside a string
	escaped        bool   // after a backslash in it
	empty          bool   // the line so far is empty: no object has such a line, so one that does broke off
}

// Next gives the first whole object in data, or an empty one for the end of a line outside of any, and what follows it.
// With nil all of the data is taken and more is needed. The object is good until the next call.
func (c *Splitter) Next(data []byte) (object, rest []byte, err error) {
	from := 0
	for i := 0; i < len(data); i++ {
		b := data[i]
		if c.depth > 0 && b == '\n' && (c.text || c.empty) {
			return nil, nil, ErrTruncated
		}
		c.empty = b == '\n' || c.empty && b == '\r'
		switch {
		case c.escaped:
			c.escaped = false
		case c.text && b == '\\':
			c.escaped = true
		case b == '"' && c.depth > 0:
			c.text = !c.text
		case c.text:
		case b == '{' || b == '[' && c.depth > 0:
			if c.depth++; c.depth == 1 {
				from = i
			}
		case (b == '}' || b == ']') && c.depth > 0:
			if c.depth--; c.depth == 0 {
				if len(c.held)+i+1-from > c.MaxObjectBytes {
					return nil, nil, ErrTooLong
				}
				object = data[from : i+1]
				if len(c.held) > 0 {
					object, c.held = append(c.held, object...), nil
				}
				return object, data[i+1:], nil
			}
		case c.depth > 0:
		case b == '\n':
			return data[i:i], data[i+1:], nil
		case len(bytes.TrimSpace(data[i:i+1])) > 0:
			return nil, nil, ErrNotObject
		}
	}
	if c.depth > 0 {
		if c.held = append(c.held, data[from:]...); len(c.held) > c.MaxObjectBytes {
			return nil, nil, ErrTooLong
		}
	}
	return nil, nil, nil
}
