// This file is the case of a second answer that comes some milliseconds late and is passed to the client of the next request.

package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["second"] = secondCase }

const (
	oneWay         = 330 * time.Microsecond // the pages: 0.081 to 0.33 ms one way inside the building
	secondLate     = 12 * time.Millisecond  // the pages: a second answer may come some milliseconds late
	secondShare    = 8                      // one of so many answers comes twice
	secondRate     = 60.0                   // a second: a jump to 1.8 times the usual
	secondCommands = 3000
)

// secondCase has one of eight answers come twice. Without trouble each comes once.
func secondCase(r *record, p *platform, trouble bool) error {
	var answered atomic.Int64
	f, err := startFleet(r, 4, warehouseWindow, nil, func(string, *http.Request) behaviour {
		b := behaviour{work: 20 * time.Millisecond}
		if answered.Add(1)%secondShare == 0 && trouble {
			b.again = secondLate
		}
		return b
	})
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.putBehindLinks(oneWay); err != nil {
		return err
	}
	proxy, err := f.startProxy(p, configuration("n0", freeAddress(), f.discovery.address(), warehouseVerbs()))
	if err != nil {
		return err
	}
	answers := f.sendEvenly(proxy.listen, secondCommands, secondRate, func(int) request {
		return newRequest("book-delivery", "at_most_once", warehouseLimit, 200)
	})
	for _, a := range answers {
		if a.status == http.StatusOK && !strings.HasPrefix(a.body, "done id="+a.id+" ") {
			r.breaks("the client of id=%s was given %q", a.id, a.body)
		}
	}
	return nil
}
