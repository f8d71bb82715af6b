// Package benchwire turns the bench's frames into calls of the balancer and its calls into frames. This file owns all
// of that: frames, instances and lists. The wire's names end here; it must never decide anything, nor let one
// instance know of another.
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

	maxFrame  = 1 << 30 // bytes; a longer frame is taken for garbage
	entrySize = 25      // bytes of a line of the list
)

var results = map[uint16]balance.Result{
	100: balance.Answered, 301: balance.Errored, 302: balance.Full, 303: balance.TimedOut,
	304: balance.ConnectFailed, 305: balance.Reset, 306: balance.Cancelled, 307: balance.NotSent,
}

// host writes an instance's actions into the reply being built.
type host struct {
	who    uint32
	reply  *[]byte
	fields []string
}

func (h *host) record(code uint16, size int) {
	*h.reply = binary.LittleEndian.AppendUint16(*h.reply, code)
	*h.reply = binary.LittleEndian.AppendUint32(*h.reply, uint32(size+4))
	*h.reply = binary.LittleEndian.AppendUint32(*h.reply, h.who)
}

func (h *host) u64(v uint64)  { *h.reply = binary.LittleEndian.AppendUint64(*h.reply, v) }
func (h *host) f64(v float64) { h.u64(math.Float64bits(v)) }

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

func (h *host) Decline(cmd uint64, comeBack float64) {
	h.record(outBusy, 16)
	h.u64(cmd)
	h.f64(comeBack * 1000)
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

type instance struct {
	host *host
	*balance.Balancer
}

// link is the state of one adapter process.
type link struct {
	instances map[uint32]instance
	lists     [16][]balance.Entry
	listed    [16]bool
	reply     []byte
}

// Serve answers batches until the input ends between two frames.
func Serve(in *bufio.Reader, out io.Writer) error {
	l := &link{instances: map[uint32]instance{}}
	var head [8]byte
	var body []byte
	for {
		if n, err := io.ReadFull(in, head[:]); n == 0 && errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("input ends inside a batch header: %w", err)
		}
		count := binary.LittleEndian.Uint32(head[0:])
		size := binary.LittleEndian.Uint32(head[4:])
		if size < 8 || size > maxFrame {
			return fmt.Errorf("batch length %d does not fit", size)
		}
		if cap(body) < int(size) {
			body = make([]byte, size)
		}
		body = body[:size]
		if _, err := io.ReadFull(in, body); err != nil {
			return fmt.Errorf("input ends inside a batch of %d bytes: %w", size, err)
		}
		l.reply = append(l.reply[:0], 0, 0, 0, 0)
		if err := l.batch(body, count); err != nil {
			return err
		}
		binary.LittleEndian.PutUint32(l.reply, uint32(len(l.reply)-4))
		if _, err := out.Write(l.reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (l *link) batch(body []byte, count uint32) error {
	now := math.Float64frombits(binary.LittleEndian.Uint64(body)) / 1000
	body = body[8:]
	for i := range count {
		if len(body) < 6 {
			return fmt.Errorf("record %d of %d: its head does not fit in the batch", i, count)
		}
		code, size := binary.LittleEndian.Uint16(body), binary.LittleEndian.Uint32(body[2:])
		if uint64(size) > uint64(len(body)-6) {
			return fmt.Errorf("record %d of %d, code %d: length %d does not fit in the batch", i, count, code, size)
		}
		f := &fields{rest: body[6 : 6+size]}
		body = body[6+size:]
		err := l.event(code, f, now)
		if err == nil && f.short {
			err = errors.New("its fields do not fit in its length")
		}
		if err == nil && len(f.rest) > 0 {
			err = fmt.Errorf("%d bytes are left over after its fields", len(f.rest))
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

// event decodes one record in full before it calls an instance, so that a bad one has no effect.
func (l *link) event(code uint16, f *fields, now float64) error {
	if code == inManifest {
		ref, rows := f.u8(), f.u32()
		if ref >= 16 {
			return fmt.Errorf("list number %d is not below 16", ref)
		}
		if f.short || int(rows) != len(f.rest)/entrySize {
			return fmt.Errorf("%d list lines do not fit in its length", rows)
		}
		list := make([]balance.Entry, 0, rows)
		for range rows {
			e := balance.Entry{ID: f.backend(), Zone: int(f.u16())}
			f.u16() // the kind of machine
			e.Cell = int(f.u16())
			switch status := f.u8(); status {
			case 0:
				e.State = balance.Ready
			case 1:
				e.State = balance.Gone
			case 2:
				e.State = balance.Draining
			default:
				return fmt.Errorf("list status %d is unknown", status)
			}
			e.Capacity = float64(math.Float32frombits(f.u32()))
			e.StartedAt = f.seconds()
			list = append(list, e)
		}
		l.lists[ref], l.listed[ref] = list, true
		return nil
	}
	who := f.u32()
	at := l.instances[who]
	var call func()
	switch code {
	case inLaunch:
		seed := f.u64()
		text := f.bytes(int(f.u32()))
		if f.short {
			return nil
		}
		h := &host{who: who, reply: &l.reply}
		b, fields, err := settings.NewBalancer(h, seed, now, text)
		if err != nil {
			return err
		}
		h.fields = fields
		l.instances[who] = instance{h, b}
		return nil
	case inShutdown:
		delete(l.instances, who)
		return nil
	case inTopology:
		f.u32()
		kind, ref := f.u8(), f.u8()
		if kind > 3 {
			return fmt.Errorf("list kind %d is unknown", kind)
		}
		if kind == 3 {
			call = func() { at.BackendListFailed(now) }
			break
		}
		if ref >= 16 || !l.listed[ref] {
			return fmt.Errorf("list number %d was never given", ref)
		}
		call = func() { at.UpdateBackends(now, kind != 0, l.lists[ref]) }
	case inAccept:
		cmd, expires, verb := f.u64(), f.seconds(), int(f.u16())
		key := f.u64()
		f.u64() // expected work
		customer := int(f.u16())
		f.u16() // state bits
		if at.Balancer != nil && verb >= at.VerbCount() {
			return fmt.Errorf("verb %d is not in the settings", verb)
		}
		call = func() { at.CommandReceived(now, cmd, verb, customer, expires, key) }
	case inStarted:
		cmd, n := f.u64(), int(f.u16())
		f.backend()
		f.u64()
		call = func() { at.StreamStarted(now, cmd, n) }
	case inReply:
		cmd, n := f.u64(), int(f.u16())
		f.backend()
		code, took, final, load := f.u16(), f.seconds(), f.u8() != 0, f.load(at.host)
		result, ok := results[code]
		if !ok && !f.short {
			return fmt.Errorf("outcome %d is unknown", code)
		}
		call = func() { at.RelayEnded(now, cmd, n, result, took, final, load) }
	case inGone:
		cmd := f.u64()
		call = func() { at.ClientDisconnected(now, cmd) }
	case inBell:
		token := f.u64()
		call = func() { at.TimerFired(now, token) }
	case inHealth:
		f.backend()
		code := f.u16()
		f.u64()
		f.load(at.host)
		if _, ok := results[code]; !ok && !f.short {
			return fmt.Errorf("outcome %d is unknown", code)
		}
	case inNeighbour:
		from := int(f.u16())
		text := f.bytes(int(f.u16()))
		call = func() { at.MessageReceived(now, from, text) }
	default:
		return errors.New("the code is unknown")
	}
	if call != nil && at.Balancer != nil && !f.short && len(f.rest) == 0 {
		call()
	}
	return nil
}

// fields reads a record's fields in turn; short is set once they do not fit.
type fields struct {
	rest  []byte
	short bool
}

func (f *fields) bytes(n int) []byte {
	if n > len(f.rest) {
		f.short, f.rest = true, nil
		return make([]byte, min(n, 8))
	}
	v := f.rest[:n]
	f.rest = f.rest[n:]
	return v
}

func (f *fields) u8() uint8        { return f.bytes(1)[0] }
func (f *fields) u16() uint16      { return binary.LittleEndian.Uint16(f.bytes(2)) }
func (f *fields) u32() uint32      { return binary.LittleEndian.Uint32(f.bytes(4)) }
func (f *fields) u64() uint64      { return binary.LittleEndian.Uint64(f.bytes(8)) }
func (f *fields) seconds() float64 { return math.Float64frombits(f.u64()) / 1000 }
func (f *fields) backend() (id balance.BackendID) {
	copy(id[:], f.bytes(6))
	return id
}

func (f *fields) load(h *host) balance.LoadReport {
	load := balance.LoadReport{Active: -1, Waiting: -1, CPU: -1, Latency: -1}
	for i := range int(f.u8()) {
		v := float64(math.Float32frombits(f.u32()))
		if h == nil || i >= len(h.fields) {
			continue
		}
		switch h.fields[i] {
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
