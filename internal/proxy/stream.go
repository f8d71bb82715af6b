// This file has what streamed answers and streamed bodies of commands share. A stream buffers at most the high watermark and
// the data of one read.

package proxy

import "strconv"

const (
	highWatermarkBytes      = 64 << 10 // unsent data on one side at which reading from the other pauses
	lowMemoryWatermarkBytes = 4 << 10  // the same while more than half of the read buffer memory is in use
	streamStallSeconds      = 10.0     // without progress on the backend's side
)

// appendBodyPart appends part of a body, as a chunk if chunked. It does not append the last chunk.
func appendBodyPart(to []byte, chunked bool, data []byte) []byte {
	if !chunked {
		return append(to, data...)
	}
	to = append(strconv.AppendInt(to, int64(len(data)), 16), "\r\n"...)
	return append(append(to, data...), "\r\n"...)
}

// highWatermark returns how many unsent bytes one side of a stream may have before reading from the other pauses. It is
// lower when memory is short, since hundreds of slow streams would fill any memory.
func (p *Proxy) highWatermark() int {
	if p.loop.BufferedBytes() > p.loop.MaxBufferBytes/2 {
		return lowMemoryWatermarkBytes
	}
	return highWatermarkBytes
}
