// This file is the stand-in for discovery: the whole list, and a watch that tells changes, with an empty line every 2 s.

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// endpoint is one backend of the list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// list is a message of discovery.
type list struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// change is a changed entry and the index from which the list has it.
type change struct {
	index int
	entry endpoint
}

// discovery is one agent. Several may serve the same list.
type discovery struct {
	record   *record
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	index    int
	entries  map[string]endpoint
	changes  []change
	changed  chan struct{}
}

// startDiscovery serves an empty list at a free address of loopback.
func startDiscovery(r *record) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, listener: listener, index: 40, entries: map[string]endpoint{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.answer)}
	go d.server.Serve(listener)
	return d, nil
}

// address returns where the agent listens.
func (d *discovery) address() string { return d.listener.Addr().String() }

// tell changes entries of the list in one message. An entry with the status gone leaves the list.
func (d *discovery) tell(entries ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		d.record.note("discovery tells index=%d name=%s address=%s group=%d status=%s since_ms=%d", d.index, e.Name, e.Address,
			e.Group, e.Status, e.SinceMs)
		d.changes = append(d.changes, change{d.index, e})
		if d.entries[e.Name] = e; e.Status == "gone" {
			delete(d.entries, e.Name)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// whole returns the list as it is.
func (d *discovery) whole() list {
	l := list{Index: d.index, Snapshot: true, Endpoints: []endpoint{}}
	for _, e := range d.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoint) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// answer serves the list, or a watch.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	message, changed := d.whole(), d.changed
	d.mu.Unlock()
	if r.URL.Query().Get("follow") != "1" {
		json.NewEncoder(w).Encode(message)
		return
	}
	known, flusher := message.Index, http.NewResponseController(w)
	json.NewEncoder(w).Encode(message)
	for flusher.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		case <-changed:
			d.mu.Lock()
			changed = d.changed
			news := list{Index: d.index}
			for _, c := range d.changes {
				if c.index > known {
					news.Endpoints = append(news.Endpoints, c.entry)
				}
			}
			known = d.index
			d.mu.Unlock()
			json.NewEncoder(w).Encode(news)
		}
	}
}
