// This file owns the chunked coding. It hands out pieces of the bytes at hand and must never copy or hold them.
package http1

import "bytes"

const maxLine = 4 << 10 // bytes of a chunk's first line or of a trailer

// Chunks reads a chunked body piece by piece. The zero value is at its start.
type ChunkReader struct {
	left  int // bytes of the chunk still to come
	state int
}

const (
	atSize = iota
	inData
	afterData
	inTrailer
)

// Next gives the next piece of data at the start of in, how many bytes are done with, and whether the body is whole.
// With nothing used it needs more bytes.
func (c *ChunkReader) Next(in []byte) (data []byte, used int, done bool, err error) {
	if c.state == inData {
		n := min(c.left, len(in))
		if c.left -= n; c.left == 0 {
			c.state = afterData
		}
		return in[:n], n, false, nil
	}
	line, whole := in, false
	if end := bytes.IndexByte(in, '\n'); end >= 0 {
		line, whole = in[:end+1], true
	}
	used = len(line)
	if used > maxLine {
		return nil, 0, false, fault(400, "a chunk's line is too long")
	}
	if whole && !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, 0, false, fault(400, "a line feed alone")
	}
	// A line is judged as it comes: after what can't become one that is due, nothing may follow.
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, 0, false, fault(400, "control bytes in a chunk's line")
		}
	}
	size := 0
	switch {
	case c.state == afterData && len(line) > 0:
		return nil, 0, false, fault(400, "a chunk is longer than it says")
	case c.state == atSize && (whole || len(line) > 0):
		digits, _, _ := bytes.Cut(line, []byte(";"))
		ok := false
		if size, ok = number(bytes.TrimRight(digits, " \t"), 16); !ok {
			return nil, 0, false, fault(400, "malformed chunk size")
		}
	}
	if !whole {
		return nil, 0, false, nil
	}
	switch {
	case c.state == inTrailer:
		return nil, used, len(line) == 0, nil
	case c.state == afterData:
		c.state = atSize
	case size == 0:
		c.state = inTrailer
	default:
		c.left, c.state = size, inData
	}
	return nil, used, false, nil
}
