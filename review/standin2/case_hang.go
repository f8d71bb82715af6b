// This file is the case of a long answer that is cut off while its backend hangs for some seconds in the middle of it.

package main

import (
	"net/http"
	"time"
)

func init() { cases["hang"] = hangCase }

const (
	hangFor      = 14 * time.Second // the pages: for 6.2 to 24 s, and in the middle of their work
	longAnswer   = 2 << 20          // bytes; the pages: answers of up to 32 MB occur
	longWork     = 50 * time.Millisecond
	hangRate     = 4.0 // a second
	hangCommands = 24
)

// hangCase has a quarter of the backends stand still in the middle of each answer, then go on. Without trouble none does.
func hangCase(r *record, p *platform, trouble bool) error {
	f, err := startFleet(r, 4, warehouseWindow, nil, func(name string, _ *http.Request) behaviour {
		b := behaviour{work: longWork, length: longAnswer}
		if trouble && (name == "a4" || name == "b2") {
			b.hang = hangFor
		}
		return b
	})
	if err != nil {
		return err
	}
	defer f.stop()
	proxy, err := f.startProxy(p, configuration("n0", freeAddress(), f.discovery.address(), warehouseVerbs()))
	if err != nil {
		return err
	}
	answers := f.sendEvenly(proxy.listen, hangCommands, hangRate, func(int) request {
		return newRequest("book-delivery", "at_most_once", warehouseLimit, 200)
	})
	for _, a := range answers {
		if a.status != http.StatusOK {
			r.breaks("the client of id=%s has no whole answer (status %d, %v), though its backend was to give all of it", a.id, a.status, a.err)
		}
	}
	return nil
}
