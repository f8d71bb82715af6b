// This file is the case of a keyed request that runs in two groups: a process of another group has taken the address of one that the
// list still names, and the proxy has just been restarted.

package main

import (
	"net/http"
	"time"
)

func init() { cases["replaced"] = replacedCase }

const (
	warehouseWindow  = 10 * time.Second        // the pages: the boxes of one rack drop a repeat for 10 s
	warehouseRate    = 33                      // the pages: about 33 commands a second
	warehouseLimit   = 6.0                     // seconds, the pages: time limit
	listLate         = 2200 * time.Millisecond // the pages: 1.1 to 4.6 s, a new one 0.25 to 2.3 s; 6 s at the latest
	warmWork         = 250 * time.Millisecond  // of a place-order
	coldWork         = 1500 * time.Millisecond
	replacedCommands = 70 // sent before the list tells
)

// replacedSteps are the steps of the release: which box of which rack has its address taken by which new one.
var replacedSteps = []struct {
	rack       int
	successors map[string]string
}{{0, map[string]string{"a2": "c2", "a3": "c3"}}, {1, map[string]string{"b2": "d2", "b3": "d3"}}}

// replacedCase restarts the proxy as planned at each of two steps of a release that replaces half of the backends: while it is down, two
// boxes of a rack die, and two of the other rack start at their addresses, cold. Discovery tells 2.2 s later. Without trouble
// the boxes that start there are of the same rack as those before.
func replacedCase(r *record, p *platform, trouble bool) error {
	f, err := startFleet(r, 4, warehouseWindow, nil, func(string, *http.Request) behaviour { return behaviour{work: warmWork} })
	if err != nil {
		return err
	}
	defer f.stop()
	config := configuration("n0", freeAddress(), f.discovery.address(), warehouseVerbs())
	proxy, err := f.startProxy(p, config)
	if err != nil {
		return err
	}
	order := func(int) request { return newRequest("place-order", "deduplicated", warehouseLimit, 200) }
	f.sendEvenly(proxy.listen, 33, warehouseRate, order)
	for _, step := range replacedSteps {
		proxy.endPlanned()
		rack := f.racks[step.rack]
		if trouble {
			rack = f.racks[1-step.rack]
		}
		for old, successor := range step.successors {
			if err := f.replace(old, successor, rack); err != nil {
				return err
			}
		}
		if proxy, err = f.startProxy(p, config); err != nil {
			return err
		}
		f.sendEvenly(proxy.listen, replacedCommands, warehouseRate, order)
	}
	f.world.checkRunOnce()
	return nil
}

// replace ends a backend and starts another at its address. Discovery tells that listLate later.
func (f *fleet) replace(name, successorName string, rack *group) error {
	old := f.backends[name]
	old.die()
	started := time.Now()
	successor, err := startBackend(f.world, successorName, old.address(), rack, 0,
		func(*http.Request) behaviour { return behaviour{work: coldWork} })
	if err != nil {
		return err
	}
	f.backends[successorName] = successor
	time.AfterFunc(listLate, func() {
		f.discovery.tell(old.entry("gone", 0), successor.entry("ready", started.UnixMilli()))
	})
	return nil
}
