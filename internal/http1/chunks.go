// This file decodes the chunked transfer coding. It returns slices of its input and neither copies nor keeps them.

package http1

import "bytes"

const maxChunkLineBytes = 4 << 10 // bound on a chunk's size line and on a trailer line

// ChunkReader decodes a chunked body piece by piece. The zero value is at the start of a body.
type ChunkReader struct {
	remaining int // bytes of the current chunk not read yet
	state     int
}

// States of a ChunkReader: what it expects next.
const (
	atSize = iota
	inData
	afterData
	inTrailer
)

// Next decodes the beginning of in. It returns the next piece of data, how many bytes of in were used, and whether the body
// is complete. If used is 0, it needs more bytes.
func (c *ChunkReader) Next(in []byte) (data []byte, used int, done bool, err error) {
	if c.state == inData {
		n := min(c.remaining, len(in))
		if c.remaining -= n; c.remaining == 0 {
			c.state = afterData
		}
		return in[:n], n, false, nil
	}
	line, complete := in, false
	if end := bytes.IndexByte(in, '\n'); end >= 0 {
		line, complete = in[:end+1], true
	}
	used = len(line)
	if used > maxChunkLineBytes {
		return nil, 0, false, newProtocolError(400, "a chunk's line is too long")
	}
	if complete && !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, 0, false, newProtocolError(400, "a line feed alone")
	}
	// A line is checked before it is complete: a sender whose line can't become valid may send nothing more.
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, 0, false, newProtocolError(400, "control bytes in a chunk's line")
		}
	}
	size := 0
	switch {
	case c.state == afterData && len(line) > 0:
		return nil, 0, false, newProtocolError(400, "a chunk is longer than it says")
	case c.state == atSize && (complete || len(line) > 0):
		digits, _, _ := bytes.Cut(line, []byte(";"))
		ok := false
		if size, ok = parseNumber(bytes.TrimRight(digits, " \t"), 16); !ok {
			return nil, 0, false, newProtocolError(400, "malformed chunk size")
		}
	}
	if !complete {
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
		c.remaining, c.state = size, inData
	}
	return nil, used, false, nil
}
