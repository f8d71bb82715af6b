package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// discovery is a discovery server that streams the list of endpoints and its changes to each watch.
type discovery struct {
	net.Listener
	mu      sync.Mutex
	index   int
	entries map[string]map[string]any
	changed chan struct{}
}

// newDiscovery starts a discovery server with an empty list.
func newDiscovery(t *testing.T) *discovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{Listener: l, entries: map[string]map[string]any{}, changed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return d
}

// setEntry adds an entry to the list or replaces it.
func (d *discovery) setEntry(name, address string, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sinceMs := int64(0)
	if !since.IsZero() {
		sinceMs = since.UnixMilli()
	}
	d.index++
	d.entries[name] = map[string]any{"name": name, "address": address, "zone": "a", "group": 1, "status": "ready", "weight": 1,
		"since_ms": sinceMs}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP streams a snapshot of the list and then its changes, with an empty line every second.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent, snapshot := map[string]string{}, true
	for {
		d.mu.Lock()
		index, changed, entries := d.index, d.changed, []json.RawMessage{}
		for name, e := range d.entries {
			text, _ := json.Marshal(e)
			if sent[name] != string(text) {
				sent[name] = string(text)
				entries = append(entries, text)
			}
		}
		d.mu.Unlock()
		if snapshot || len(entries) > 0 {
			json.NewEncoder(w).Encode(map[string]any{"index": index, "snapshot": snapshot, "endpoints": entries})
		} else {
			fmt.Fprintln(w)
		}
		snapshot = false
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// countingBackend is a backend that responds at once and counts its requests.
type countingBackend struct {
	address  string
	requests atomic.Int64
}

// newCountingBackend starts a countingBackend.
func newCountingBackend(t *testing.T) *countingBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &countingBackend{address: l.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.requests.Add(1)
		fmt.Fprint(w, "ok")
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return b
}

// measureShares runs a proxy with two warm backends at about 200 requests a second and adds a third one whose entry has the given
// start time. It returns the share of requests that this one gets in the first two seconds, and in two seconds once it is warm
// (after 5 s).
func measureShares(t *testing.T, rules string, since func(now time.Time) time.Time) (cold, warm float64) {
	t.Helper()
	p, d := newPlatform(t), newDiscovery(t)
	backends := []*countingBackend{newCountingBackend(t), newCountingBackend(t), newCountingBackend(t)}
	for i, b := range backends[:2] {
		d.setEntry(fmt.Sprintf("s-%d", i), b.address, time.Time{})
	}
	p.changeConfig(func(c map[string]any) {
		c["discovery"] = d.Addr().String()
		delete(c, "known")
	})
	p.startWithOwnListener(rules)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for range 4 {
		clients.Go(func() {
			conn, err := net.Dial("tcp", p.address)
			if err != nil {
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: a\r\nReq-Id: c%d\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline: 3\r\n\r\n", p.ids.Add(1))
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					return
				}
				response.Body.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	share := func(period time.Duration) float64 {
		var before [3]int64
		for i, b := range backends {
			before[i] = b.requests.Load()
		}
		time.Sleep(period)
		total := 0.0
		for i, b := range backends {
			total += float64(b.requests.Load() - before[i])
		}
		return float64(backends[2].requests.Load()-before[2]) / max(1, total)
	}
	d.setEntry("s-2", backends[2].address, since(time.Now()))
	cold = share(2 * time.Second)
	time.Sleep(5 * time.Second)
	return cold, share(2 * time.Second)
}

// The slow start of a backend must depend on real time only, whatever the clocks of its machine and of the proxy say.
func TestSlowStartIgnoresClockOffsets(t *testing.T) {
	off := func(seconds float64) func(time.Time) time.Time {
		return func(now time.Time) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	}
	for _, c := range []struct {
		name, rules string
		since       func(time.Time) time.Time
	}{
		{"all clocks agree", "", off(0)},
		{"the backend's is an hour behind", "", off(-3600)}, {"the backend's is 10 s behind", "", off(-10)},
		{"the backend's is 4 s behind", "", off(-4)}, {"the backend's is an hour ahead", "", off(3600)},
		{"the backend's is 10 s ahead", "", off(10)},
		{"the proxy's is an hour behind", "clock=-3600", off(0)}, {"the proxy's is an hour ahead", "clock=3600", off(0)},
		{"the proxy's is 10 s ahead", "clock=10", off(0)}, {"the proxy's is 10 s behind", "clock=-10", off(0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cold, warm := measureShares(t, c.rules, c.since)
			if cold > 0.29 || warm < 0.25 || warm > 0.42 {
				t.Errorf("the third backend gets %.2f of the requests in the first seconds and %.2f once it is warm", cold, warm)
			}
		})
	}
}
