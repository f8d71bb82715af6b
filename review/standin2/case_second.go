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
	oneWay         = 8 * time.Millisecond  // the pages: 5.6 to 10 ms one way between the sites
	secondLate     = 14 * time.Millisecond // the pages: a second answer may come some milliseconds late
	secondShare    = 8                     // one of so many answers comes twice
	secondRate     = 54                    // commands a second; the pages: about 270 at 5 proxies
	secondSeconds  = 90
	boxesPerBay    = 7 // the pages: 13 to 18 packet boxes
	boxWork        = 100 * time.Millisecond
	localBoxesFrom = 6 // of each bay, the last two stand at the proxy's own site
)

// secondCase has one of eight answers come twice. Without trouble each comes once.
func secondCase(r *record, p *platform, trouble bool) error {
	var answered atomic.Int64
	f, err := startFleet(r, boxesPerBay, officeWindow, nil, func(string, *http.Request) behaviour {
		b := behaviour{work: boxWork}
		if answered.Add(1)%secondShare == 0 && trouble {
			b.again = secondLate
		}
		return b
	})
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.putBehindLinks(oneWay, localBoxesFrom); err != nil {
		return err
	}
	proxy, err := f.startProxy(p, officeConfiguration("n0", freeAddress(), f.discovery.address()))
	if err != nil {
		return err
	}
	answers := f.sendEvenly(proxy.listen, secondRate*secondSeconds, secondRate, officeRequest)
	for _, a := range answers {
		if a.status == http.StatusOK && !strings.HasPrefix(a.body, "done id="+a.id+" ") {
			r.breaks("the client of id=%s was given %q", a.id, a.body)
		}
	}
	return nil
}

// officeRequest returns the next request of the site's mix: 64, 20 and 16 of 100.
func officeRequest(i int) request {
	switch i % 25 {
	case 0, 5, 10, 15, 20:
		return newRequest("packet-submit", "deduplicated", 3, 200)
	case 1, 7, 13, 19:
		return newRequest("deed-record", "at_most_once", 4, 200)
	}
	return newRequest("template-fetch", "idempotent", 5, 0)
}
