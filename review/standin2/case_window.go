// This file is the case of a keyed request whose repeat arrives after the time in which its group drops repeats: the backend that the
// repeat goes to reads slowly.

package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["window"] = windowCase }

const (
	officeWindow   = 1500 * time.Millisecond // the pages: the packet boxes of one bay drop a repeat for 1.5 s
	officeLimit    = 3.0                     // seconds, the pages: time limit of packet-submit
	slowReadRate   = 64 << 10                // bytes a second; the pages: a body at 64 kB a second
	packetBytes    = 160 << 10               // the pages: bodies of up to 32 MB occur, read and written slowly
	packetWork     = 100 * time.Millisecond
	packetCommands = 24
	packetRate     = 4.0 // a second
)

// officeVerbs are those of closings-north with its page's figures, but for draft-save, which is of the same effect as template-fetch.
func officeVerbs() []verb {
	return []verb{
		{"template-fetch", "idempotent", "all", 1500, 2000, 5000, 3, 0.25},
		{"packet-submit", "deduplicated", "cell", 1500, 1200, 3000, 5, 0.25},
		{"deed-record", "at_most_once", "all", 1500, 1200, 4000, 8, 0.25},
	}
}

// windowCase has two backends reset the connection under each request that they have run for the first time; the other backend of each
// bay reads bodies slowly. Without trouble nothing is reset.
func windowCase(r *record, p *platform, trouble bool) error {
	var mu sync.Mutex
	wasReset := map[string]bool{}
	slow := map[string]int{"a2": slowReadRate, "b2": slowReadRate}
	f, err := startFleet(r, 2, officeWindow, slow, func(name string, q *http.Request) behaviour {
		mu.Lock()
		defer mu.Unlock()
		key, isFast := q.Header.Get("Idempotency-Key"), slow[name] == 0
		resets := trouble && isFast && !wasReset[key]
		wasReset[key] = wasReset[key] || isFast
		return behaviour{work: packetWork, resetAfter: resets}
	})
	if err != nil {
		return err
	}
	defer f.stop()
	proxy, err := f.startProxy(p, officeConfiguration("n0", freeAddress(), f.discovery.address()))
	if err != nil {
		return err
	}
	f.sendEvenly(proxy.listen, packetCommands, packetRate, func(int) request {
		return newRequest("packet-submit", "deduplicated", officeLimit, packetBytes)
	})
	f.world.checkRunOnce()
	return nil
}
