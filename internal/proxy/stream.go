// This file has what streamed answers and streamed bodies of commands share. A stream buffers at most the high watermark and
// the data of one read.

package proxy

import (
	"strconv"

	"sandpass/internal/http1"
)

const (
	highWatermarkBytes      = 64 << 10 // unsent data on one side at which reading from the other pauses
	lowMemoryWatermarkBytes = 4 << 10  // the same while more than half of the read buffer memory is in use
	streamStallSeconds      = 10.0     // without progress on the backend's side
)

// chunkEnd follows the data of a chunk.
var chunkEnd = []byte("\r\n")

// appendBodyPart appends part of a body, as a chunk if chunked. It does not append the last chunk.
func appendBodyPart(to []byte, chunked bool, data []byte) []byte {
	if !chunked {
		return append(to, data...)
	}
	to = append(strconv.AppendInt(to, int64(len(data)), 16), "\r\n"...)
	return append(append(to, data...), "\r\n"...)
}

// readBody decodes all that has come of a streamed body. The data of several chunks is joined, so that it is written by one call: a
// call for each would hold up all other connections where chunks are very small.
func (p *Proxy) readBody(m *http1.Message, in []byte) (data []byte, used int, done bool, err error) {
	joined := p.bodyScratch[:0]
	for used < len(in) && !done && err == nil {
		var part []byte
		var n int
		if part, n, done, err = m.ReadBodyPart(in[used:]); n == 0 {
			break
		}
		used += n
		if len(data) == 0 {
			data = part
		} else if len(part) > 0 {
			if len(joined) == 0 {
				joined = append(joined, data...)
			}
			joined = append(joined, part...)
			data = joined
		}
	}
	p.bodyScratch = joined
	return data, used, done, err
}

// encodeBodyPart returns the parts to be written for a part of a body, as a chunk if chunked.
func (p *Proxy) encodeBodyPart(chunked bool, data []byte) [][]byte {
	if !chunked {
		return [][]byte{data}
	}
	p.scratch = append(strconv.AppendInt(p.scratch[:0], int64(len(data)), 16), "\r\n"...)
	return [][]byte{p.scratch, data, chunkEnd}
}

// highWatermark returns how many unsent bytes one side of a stream may have before reading from the other pauses. It is
// lower when memory is short, since hundreds of slow streams would fill any memory.
func (p *Proxy) highWatermark() int {
	if p.loop.MemoryShort() {
		return lowMemoryWatermarkBytes
	}
	return highWatermarkBytes
}
