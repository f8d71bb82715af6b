// Command toy runs two example backends and the discovery service that lists them on loopback, to try sandpass against. Do not
// use it for measurements.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	discoveryAddress  = "127.0.0.1:8500"
	heartbeatInterval = 2 * time.Second
	usualLatency      = 20 * time.Millisecond
	slowLatency       = 800 * time.Millisecond // of every tenth command at the second backend
)

// backends are the addresses of the backends by name.
var backends = map[string]string{"s-1": "127.0.0.1:9101", "s-2": "127.0.0.1:9102"}

// backend returns a handler that answers with the name of the backend and the request that it received.
func backend(name string) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		latency := usualLatency
		if count.Add(1)%10 == 0 && name == "s-2" {
			latency = slowLatency
		}
		select {
		case <-time.After(latency):
			fmt.Fprintf(w, "%s answers %s %s %s\n", name, r.Method, r.URL.Path, body)
			log.Printf("msg=answered backend=%s path=%s id=%s", name, r.URL.Path, r.Header.Get("Req-Id"))
		case <-r.Context().Done():
			log.Printf("msg=cancelled backend=%s path=%s id=%s", name, r.URL.Path, r.Header.Get("Req-Id"))
		}
	})
}

// targets sends the backend list and, to a watch, a heartbeat at each interval.
func targets(w http.ResponseWriter, r *http.Request) {
	var endpoints []map[string]any
	for name, address := range backends {
		endpoints = append(endpoints, map[string]any{"name": name, "address": address, "zone": "a", "type": "toy", "group": 1,
			"status": "ready", "weight": 1, "since_ms": 0})
	}
	out := json.NewEncoder(w)
	out.Encode(map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints})
	for r.URL.Query().Get("follow") == "1" {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(heartbeatInterval):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}

func main() {
	for name, address := range backends {
		go func() { log.Fatal(http.ListenAndServe(address, backend(name))) }()
	}
	http.HandleFunc("/api/targets", targets)
	log.Printf("msg=serving discovery=%s backends=%d", discoveryAddress, len(backends))
	log.Fatal(http.ListenAndServe(discoveryAddress, nil))
}
