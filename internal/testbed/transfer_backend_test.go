package testbed

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	transferReceiveBuffer = 16 << 10               // of backends: what they have not read waits in the proxy
	discoveryHeartbeat    = 500 * time.Millisecond // between two lines of a watch
)

// transferBackend is a backend that reads requests and writes answers as each request's query tells.
type transferBackend struct {
	world    *transferWorld
	name     string
	cell     int
	address  string // as discovery lists it
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	active   map[string]bool // Req-Ids of the requests that are being answered
}

// startTransferBackend starts a backend at the address, "127.0.0.1:0" for a free one.
func startTransferBackend(w *transferWorld, name string, cell int, address string) (*transferBackend, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, transferReceiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	b := &transferBackend{world: w, name: name, cell: cell, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, active: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b, nil
}

// stop ends the backend as a crash does: its connections are reset and new ones refused.
func (b *transferBackend) stop() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.active {
		b.world.backendStopped(id)
	}
	for c := range b.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// serve handles the requests of one connection.
func (b *transferBackend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		plan, err := parsePlan(r.URL.Query())
		if err != nil || !plan.readBody(r.Body) {
			return
		}
		id := r.Header.Get("Req-Id")
		b.setActive(id, true)
		b.world.began(id, b.cell)
		goesOn := b.answer(c, id, plan)
		if b.setActive(id, false); !goesOn {
			return
		}
	}
}

// setActive notes whether a request is being answered.
func (b *transferBackend) setActive(id string, active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if active {
		b.active[id] = true
	} else {
		delete(b.active, id)
	}
}

// transferPlan says how one request is read and answered. Times are in seconds, rates in bytes a second.
type transferPlan struct {
	readRate                   int     // of the body, 0: at once
	stopReading                int     // bytes after which nothing more is read, 0: none
	size                       int     // of the answer's body
	framing                    string  // length, chunks or close
	work, afterHead, betweenIO float64 // until the head, the body's first byte, and between its pieces
	piece                      int
	fault                      string // "", reset (in the middle of the body), error or decline
}

// query encodes the plan.
func (p transferPlan) query() string {
	return fmt.Sprintf("rate=%d&stop=%d&size=%d&framing=%s&work=%.3f&after=%.3f&between=%.3f&piece=%d&fault=%s", p.readRate, p.stopReading,
		p.size, p.framing, p.work, p.afterHead, p.betweenIO, p.piece, p.fault)
}

// parsePlan decodes a plan.
func parsePlan(q url.Values) (p transferPlan, err error) {
	for key, to := range map[string]*int{"rate": &p.readRate, "stop": &p.stopReading, "size": &p.size, "piece": &p.piece} {
		if *to, err = strconv.Atoi(q.Get(key)); err != nil {
			return p, err
		}
	}
	for key, to := range map[string]*float64{"work": &p.work, "after": &p.afterHead, "between": &p.betweenIO} {
		if *to, err = strconv.ParseFloat(q.Get(key), 64); err != nil {
			return p, err
		}
	}
	p.framing, p.fault = q.Get("framing"), q.Get("fault")
	return p, nil
}

// readBody reads a request's body as planned and reports whether it came to its end.
func (p transferPlan) readBody(body io.Reader) bool {
	if p.stopReading > 0 {
		io.CopyN(io.Discard, body, int64(p.stopReading))
		time.Sleep(10 * time.Second) // longer than any time limit of the runs
		return false
	}
	if p.readRate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err == nil
	}
	for {
		_, err := io.CopyN(io.Discard, body, int64(p.readRate/20))
		if err != nil {
			return err == io.EOF
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answerBody returns the body of a request's answer, which no other request has.
func answerBody(id string, size int) []byte {
	text := []byte(id + "|")
	body := make([]byte, size)
	for at := 0; at < size; at += len(text) {
		copy(body[at:], text)
	}
	return body
}

// answer writes an answer as planned and reports whether the connection stays open. It records an answer that the proxy cut off.
func (b *transferBackend) answer(c net.Conn, id string, p transferPlan) bool {
	time.Sleep(seconds(p.work))
	switch p.fault {
	case "error":
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case "decline":
		b.world.neverRan(id)
		_, err := io.WriteString(c, declinedResponse)
		return err == nil
	}
	head := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", p.size), "chunks": "Transfer-Encoding: chunked\r\n"}[p.framing]
	body := answerBody(id, p.size)
	write := func(text []byte) bool {
		_, err := c.Write(text)
		if err != nil && p.fault == "" {
			b.world.cutOff(id)
		}
		return err == nil
	}
	if !write([]byte("HTTP/1.1 200 OK\r\n" + head + "\r\n")) {
		return false
	}
	time.Sleep(seconds(p.afterHead))
	for at := 0; at < len(body); at += p.piece {
		part := body[at:min(at+p.piece, len(body))]
		if p.fault == "reset" && at > len(body)/2 {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		if p.framing == "chunks" {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if !write(part) {
			return false
		}
		if at+p.piece < len(body) { // the next request is read at once
			time.Sleep(seconds(p.betweenIO))
		}
	}
	return (p.framing != "chunks" || write([]byte("0\r\n\r\n"))) && p.framing != "close"
}

// transferDiscovery serves the list of backends as a watch.
type transferDiscovery struct {
	net.Listener
	mu      sync.Mutex
	index   int
	entries map[string]map[string]any
	changed chan struct{} // closed at the next change
}

// startTransferDiscovery starts the server.
func startTransferDiscovery() (*transferDiscovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	d := &transferDiscovery{Listener: l, entries: map[string]map[string]any{}, changed: make(chan struct{})}
	if err == nil {
		go http.Serve(l, d)
	}
	return d, err
}

// list adds or replaces a backend's entry.
func (d *transferDiscovery) list(b *transferBackend, status string, since time.Time) {
	sinceMs := int64(0)
	if !since.IsZero() {
		sinceMs = since.UnixMilli()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries[b.name] = map[string]any{"name": b.name, "address": b.address, "zone": "a", "type": "m", "group": b.cell,
		"status": status, "weight": 1, "since_ms": sinceMs}
	if status == "gone" {
		delete(d.entries, b.name)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the whole list and a channel that is closed at the next change.
func (d *transferDiscovery) snapshot() (text []byte, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := []any{}
	for _, e := range d.entries {
		entries = append(entries, e)
	}
	text, _ = json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": entries})
	return text, d.changed
}

// ServeHTTP serves a watch: the whole list, and the whole list again at each change.
func (d *transferDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		text, changed := d.snapshot()
		w.Write(append(text, '\n'))
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("follow") == "" {
			return
		}
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-r.Context().Done():
				return
			case <-time.After(discoveryHeartbeat):
				w.Write([]byte("\n"))
				w.(http.Flusher).Flush()
			}
		}
	}
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
