// This file has what all stand-ins of a case share: which requests were sent, which ran, and what a group of backends remembers.

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// run is one execution of a request.
type run struct {
	at              float64
	id, method, key string
	backend         string
	group           int
}

// world is what was sent and run.
type world struct {
	record *record
	mu     sync.Mutex
	sent   map[string]string // the form of each request that a client sent, by Req-Id
	runs   []run
}

// newWorld returns an empty world.
func newWorld(r *record) *world { return &world{record: r, sent: map[string]string{}} }

// formOf returns what has to be the same in a request that a client sent and the one that a backend gets.
func formOf(method, target string, bodyBytes int) string {
	return fmt.Sprintf("%s %s %d", method, target, bodyBytes)
}

// noteSent notes a request that a client is about to send.
func (w *world) noteSent(id, form string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = form
}

// wasSent reports whether a client sent a request with this id in this form.
func (w *world) wasSent(id, form string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id] == form
}

// noteRun notes an execution.
func (w *world) noteRun(x run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, x)
}

// checkRunOnce breaks the rule for each request that may not simply run again and was run more than once.
func (w *world) checkRunOnce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := map[string]run{}
	for _, x := range w.runs {
		name := x.key
		if name == "" {
			name = x.id
		}
		earlier, known := first[name]
		if !known {
			first[name] = x
		} else if x.method != http.MethodGet {
			w.record.breaks("id=%s key=%s ran at %.3f s on %s of group %d, and again at %.3f s on %s of group %d", x.id, x.key,
				earlier.at, earlier.backend, earlier.group, x.at, x.backend, x.group)
		}
	}
}

// group is a set of backends that drop repeats of a key for a while.
type group struct {
	number  int
	window  time.Duration
	mu      sync.Mutex
	lastRun map[string]time.Time
}

// newGroup returns a group without memory.
func newGroup(number int, window time.Duration) *group {
	return &group{number: number, window: window, lastRun: map[string]time.Time{}}
}

// isRepeat reports whether the group has run the key within its window, and otherwise remembers it as run now.
func (g *group) isRepeat(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, known := g.lastRun[key]; known && time.Since(at) < g.window {
		return true
	}
	g.lastRun[key] = time.Now()
	return false
}
