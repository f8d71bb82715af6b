// This file is the stand-in for discovery's agent: the list of backends, and watches on it. It answers at once, as the
// protocol page says.

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 2 * time.Second

// endpoint is one backend of the list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

// targets is a message of discovery: the whole list, or the entries that changed.
type targets struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// discovery holds the list and its open watches.
type discovery struct {
	address string
	mu      sync.Mutex
	index   int
	current map[string]endpoint
	watches map[chan targets]bool
}

// startDiscovery serves a list on a free port.
func startDiscovery(endpoints []endpoint) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), index: 1, current: map[string]endpoint{},
		watches: map[chan targets]bool{}}
	for _, e := range endpoints {
		d.current[e.Name] = e
	}
	go http.Serve(listener, http.HandlerFunc(d.serve))
	return d, nil
}

// whole returns the whole list.
func (d *discovery) whole() targets {
	list := targets{Index: d.index, Snapshot: true, Endpoints: []endpoint{}}
	for _, e := range d.current {
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

// serve answers a call with the whole list. A watch goes on with the changes and a heartbeat.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	changes := make(chan targets, 100)
	d.mu.Lock()
	first := d.whole()
	d.watches[changes] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	out := json.NewEncoder(w)
	out.Encode(first)
	for r.URL.Query().Get("follow") == "1" {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case change := <-changes:
			out.Encode(change)
		case <-time.After(heartbeatInterval):
			w.Write([]byte("\n"))
		}
	}
}
