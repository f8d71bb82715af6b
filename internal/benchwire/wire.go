// Package benchwire implements the binary protocol between the bench and the balancer: it decodes records into calls of the
// balancer and encodes the balancer's calls into records. It also holds the instances and their backend lists. No other
// package knows the protocol's codes. The package makes no decisions, and instances do not learn of each other.
package benchwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"sandpass/balance"
	"sandpass/internal/settings"
)

// Codes of the records from the bench, of the records to it, and limits.
const (
	inTopology  = 257
	inAccept    = 258
	inStarted   = 259
	inReply     = 260
	inGone      = 261
	inBell      = 262
	inHealth    = 263
	inNeighbour = 264
	inShutdown  = 265
	inManifest  = 266
	inLaunch    = 256

	outBusy    = 256
	outDeliver = 258
	outDrop    = 261
	outSignal  = 263
	outStream  = 264
	outDefer   = 265
	outAbandon = 266

	maxBatchBytes  = 1 << 30 // a longer batch is treated as corrupt
	listEntryBytes = 25      // bytes of one backend in a list
)

// results maps the protocol's outcome codes.
var results = map[uint16]balance.Result{
	100: balance.Answered, 301: balance.Errored, 302: balance.Full, 303: balance.TimedOut,
	304: balance.ConnectFailed, 305: balance.Reset, 306: balance.Cancelled, 307: balance.NotSent,
}

// host encodes an instance's actions into the current reply.
type host struct {
	instanceID uint32
	reply      *[]byte
	loadFields []string
}

// record appends the header of a record whose fields take size bytes after the instance's number.
func (h *host) record(code uint16, size int) {
	*h.reply = binary.LittleEndian.AppendUint16(*h.reply, code)
	*h.reply = binary.LittleEndian.AppendUint32(*h.reply, uint32(size+4))
	*h.reply = binary.LittleEndian.AppendUint32(*h.reply, h.instanceID)
}

func (h *host) u64(v uint64)  { *h.reply = binary.LittleEndian.AppendUint64(*h.reply, v) }
func (h *host) f64(v float64) { h.u64(math.Float64bits(v)) }

// The methods of balance.Host append one record each.

func (h *host) Relay(cmd uint64, to balance.BackendID) {
	h.record(outDeliver, 22)
	h.u64(cmd)
	*h.reply = append(*h.reply, to[:]...)
	h.f64(0)
}

func (h *host) Cancel(cmd uint64, relay int) {
	h.record(outAbandon, 10)
	h.u64(cmd)
	*h.reply = binary.LittleEndian.AppendUint16(*h.reply, uint16(relay))
}

// CancelUndelivered does nothing: a relay arrives at once.
func (h *host) CancelUndelivered(uint64, int) {}

func (h *host) Decline(cmd uint64, retryAfter float64) {
	h.record(outBusy, 16)
	h.u64(cmd)
	h.f64(retryAfter * 1000)
}

func (h *host) Terminate(cmd uint64) {
	h.record(outDrop, 8)
	h.u64(cmd)
}

func (h *host) StartTimer(seconds float64, token uint64) {
	h.record(outDefer, 16)
	h.f64(seconds * 1000)
	h.u64(token)
}

// StopTimer does nothing: the wire has no message for it.
func (h *host) StopTimer(uint64) {}

func (h *host) WatchBackends() {
	h.record(outStream, 1)
	*h.reply = append(*h.reply, 1)
}

func (h *host) SendToPeer(to int, text []byte) {
	h.record(outSignal, 6+len(text))
	*h.reply = binary.LittleEndian.AppendUint32(*h.reply, uint32(to))
	*h.reply = binary.LittleEndian.AppendUint16(*h.reply, uint16(len(text)))
	*h.reply = append(*h.reply, text...)
}

// instance is a balancer with its host.
type instance struct {
	host *host
	*balance.Balancer
}

// session holds the instances and lists of one connection to the bench.
type session struct {
	instances   map[uint32]instance
	lists       [16][]balance.Entry
	listDefined [16]bool
	reply       []byte
}

// Serve processes batches until the input ends between two batches.
func Serve(in *bufio.Reader, out io.Writer) error {
	s := &session{instances: map[uint32]instance{}}
	var header [8]byte
	var body []byte
	for {
		if n, err := io.ReadFull(in, header[:]); n == 0 && errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("input ends inside a batch header: %w", err)
		}
		count := binary.LittleEndian.Uint32(header[0:])
		size := binary.LittleEndian.Uint32(header[4:])
		if size < 8 || size > maxBatchBytes {
			return fmt.Errorf("batch length %d is out of range", size)
		}
		if cap(body) < int(size) {
			body = make([]byte, size)
		}
		body = body[:size]
		if _, err := io.ReadFull(in, body); err != nil {
			return fmt.Errorf("input ends inside a batch of %d bytes: %w", size, err)
		}
		s.reply = append(s.reply[:0], 0, 0, 0, 0)
		if err := s.processBatch(body, count); err != nil {
			return err
		}
		binary.LittleEndian.PutUint32(s.reply, uint32(len(s.reply)-4))
		if _, err := out.Write(s.reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// processBatch processes the records of one batch in order.
func (s *session) processBatch(body []byte, count uint32) error {
	now := math.Float64frombits(binary.LittleEndian.Uint64(body)) / 1000
	body = body[8:]
	for i := range count {
		if len(body) < 6 {
			return fmt.Errorf("record %d of %d: its header does not fit in the batch", i, count)
		}
		code, size := binary.LittleEndian.Uint16(body), binary.LittleEndian.Uint32(body[2:])
		if uint64(size) > uint64(len(body)-6) {
			return fmt.Errorf("record %d of %d, code %d: length %d does not fit in the batch", i, count, code, size)
		}
		r := &recordReader{remaining: body[6 : 6+size]}
		body = body[6+size:]
		err := s.processRecord(code, r, now)
		if err == nil && r.truncated {
			err = errors.New("its fields do not fit in its length")
		}
		if err == nil && len(r.remaining) > 0 {
			err = fmt.Errorf("%d bytes are left over after its fields", len(r.remaining))
		}
		if err != nil {
			return fmt.Errorf("record %d of %d, code %d: %w", i, count, code, err)
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d bytes are left over after %d records", len(body), count)
	}
	return nil
}

// processRecord decodes a whole record before it calls an instance, so that a malformed record has no effect.
func (s *session) processRecord(code uint16, r *recordReader, now float64) error {
	if code == inManifest {
		listNumber, entries := r.u8(), r.u32()
		if listNumber >= 16 {
			return fmt.Errorf("list number %d is not below 16", listNumber)
		}
		if r.truncated || int(entries) != len(r.remaining)/listEntryBytes {
			return fmt.Errorf("%d list entries do not fit in its length", entries)
		}
		list := make([]balance.Entry, 0, entries)
		for range entries {
			e := balance.Entry{ID: r.backend(), Zone: int(r.u16())}
			r.u16() // the machine type, unused
			e.Cell = int(r.u16())
			switch status := r.u8(); status {
			case 0:
				e.State = balance.Ready
			case 1:
				e.State = balance.Gone
			case 2:
				e.State = balance.Draining
			default:
				return fmt.Errorf("list status %d is unknown", status)
			}
			e.Capacity = float64(math.Float32frombits(r.u32()))
			e.StartedAt = r.seconds()
			list = append(list, e)
		}
		s.lists[listNumber], s.listDefined[listNumber] = list, true
		return nil
	}
	instanceID := r.u32()
	target := s.instances[instanceID]
	var call func()
	switch code {
	case inLaunch:
		seed := r.u64()
		text := r.bytes(int(r.u32()))
		if r.truncated {
			return nil
		}
		h := &host{instanceID: instanceID, reply: &s.reply}
		b, fields, err := settings.NewBalancer(h, seed, now, text)
		if err != nil {
			return err
		}
		h.loadFields = fields
		s.instances[instanceID] = instance{h, b}
		return nil
	case inShutdown:
		delete(s.instances, instanceID)
		return nil
	case inTopology:
		r.u32()
		kind, listNumber := r.u8(), r.u8()
		if kind > 3 {
			return fmt.Errorf("list kind %d is unknown", kind)
		}
		if kind == 3 {
			call = func() { target.BackendListFailed(now) }
			break
		}
		if listNumber >= 16 || !s.listDefined[listNumber] {
			return fmt.Errorf("list number %d is not defined", listNumber)
		}
		call = func() { target.UpdateBackends(now, kind != 0, s.lists[listNumber]) }
	case inAccept:
		cmd, expires, verb := r.u64(), r.seconds(), int(r.u16())
		key := r.u64()
		r.u64() // expected work, unused
		customer := int(r.u16())
		r.u16() // state bits, unused
		if target.Balancer != nil && verb >= target.VerbCount() {
			return fmt.Errorf("verb %d is not in the settings", verb)
		}
		call = func() { target.CommandReceived(now, cmd, verb, customer, expires, key) }
	case inStarted:
		cmd, n := r.u64(), int(r.u16())
		r.backend()
		r.u64()
		call = func() { target.StreamStarted(now, cmd, n) }
	case inReply:
		cmd, n := r.u64(), int(r.u16())
		r.backend()
		code, took, final, load := r.u16(), r.seconds(), r.u8() != 0, r.load(target.host)
		result, ok := results[code]
		if !ok && !r.truncated {
			return fmt.Errorf("outcome %d is unknown", code)
		}
		call = func() { target.RelayEnded(now, cmd, n, result, took, final, load) }
	case inGone:
		cmd := r.u64()
		call = func() { target.ClientDisconnected(now, cmd) }
	case inBell:
		token := r.u64()
		call = func() { target.TimerFired(now, token) }
	case inHealth:
		r.backend()
		code := r.u16()
		r.u64()
		r.load(target.host)
		if _, ok := results[code]; !ok && !r.truncated {
			return fmt.Errorf("outcome %d is unknown", code)
		}
	case inNeighbour:
		from := int(r.u16())
		text := r.bytes(int(r.u16()))
		call = func() { target.MessageReceived(now, from, text) }
	default:
		return errors.New("unknown record code")
	}
	if call != nil && target.Balancer != nil && !r.truncated && len(r.remaining) == 0 {
		call()
	}
	return nil
}

// recordReader reads a record's fields in order; truncated is set when a read goes past the end.
type recordReader struct {
	remaining []byte
	truncated bool
}

// bytes returns the next n bytes, or zeros past the end.
func (r *recordReader) bytes(n int) []byte {
	if n > len(r.remaining) {
		r.truncated, r.remaining = true, nil
		return make([]byte, min(n, 8))
	}
	v := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return v
}

func (r *recordReader) u8() uint8        { return r.bytes(1)[0] }
func (r *recordReader) u16() uint16      { return binary.LittleEndian.Uint16(r.bytes(2)) }
func (r *recordReader) u32() uint32      { return binary.LittleEndian.Uint32(r.bytes(4)) }
func (r *recordReader) u64() uint64      { return binary.LittleEndian.Uint64(r.bytes(8)) }
func (r *recordReader) seconds() float64 { return math.Float64frombits(r.u64()) / 1000 }
func (r *recordReader) backend() (id balance.BackendID) {
	copy(id[:], r.bytes(6))
	return id
}

// load reads a load report. Values that the settings do not name are skipped, absent ones are -1.
func (r *recordReader) load(h *host) balance.LoadReport {
	load := balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1}
	for i := range int(r.u8()) {
		v := float64(math.Float32frombits(r.u32()))
		if h == nil || i >= len(h.loadFields) {
			continue
		}
		switch h.loadFields[i] {
		case "active":
			load.Active = v
		case "waiting":
			load.Waiting = v
		case "cpu":
			load.CPU = v
		case "avg_ms":
			load.Latency = v / 1000
		}
	}
	return load
}
