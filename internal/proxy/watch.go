// This file owns the watch on discovery: its place in the list's history and the list's own words. It must never drop the
// last list it had.
package proxy

import (
	"encoding/json"
	"errors"
	"log"
	"net/netip"
	"slices"
	"strconv"

	"sandpass/balance"
	"sandpass/internal/watch"
)

const lineMost = 8 << 20 // bytes of a message: tens of thousands of backends

// roster is a message of discovery's.
type roster struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

var states = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// endpointWatch is the watch on discovery.
type endpointWatch struct {
	*watch.Client
	at    netip.AddrPort // discovery's address
	index int64
	has   bool   // a list was had
	next  roster // decoded, and to be taken
}

// turnTo leaves discovery where it was for another address. Indexes need not mean the same there, so the whole list is
// asked for; what was told so far holds until it comes.
func (p *Proxy) turnTo(at netip.AddrPort) {
	if w := &p.watch; at != w.at {
		w.at, w.has = at, false
		w.Turn(at)
	}
}

// watcher is told what discovery's watch brings.
type watcher struct{ p *Proxy }

func (h watcher) Request(to netip.AddrPort) []byte {
	query := "GET /api/targets?follow=1"
	if h.p.watch.has {
		query += "&since=" + strconv.FormatInt(h.p.watch.index, 10)
	}
	return []byte(query + " HTTP/1.1\r\nHost: " + to.String() + "\r\n\r\n")
}

func (h watcher) First() []byte { return nil }

func (h watcher) Decode(object []byte) error {
	h.p.watch.next = roster{}
	return json.Unmarshal(object, &h.p.watch.next)
}

func (h watcher) Take() error {
	next := h.p.watch.next
	h.p.watch.next = roster{}
	if h.p.take(&next); !h.p.watch.has {
		return errors.New("changes before any list")
	}
	return nil
}

func (h watcher) Returned() { log.Printf("msg=watch_back index=%d", h.p.watch.index) }

func (h watcher) Lost(err error, news bool) {
	if w := &h.p.watch; news {
		log.Printf("msg=watch_lost error=%q index=%d byte=%d", err, w.index, w.BodyBytes())
	}
	h.p.balancer.ListFailed(h.p.loop.Now())
}

// take brings the backends up to date and tells the Balancer. Changes where no list was had are true of those they name,
// drains above all, but never stand for the whole: that is still to be asked for.
func (p *Proxy) take(l *roster) {
	s := &p.backends
	if !l.Snapshot && p.watch.has && l.Index < p.watch.index {
		log.Printf("msg=old_news index=%d known=%d", l.Index, p.watch.index) // a later line may have said the contrary
		return
	}
	if l.Snapshot || p.watch.has {
		p.watch.index, p.watch.has = l.Index, true
	}
	var entries []balance.Entry
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		state, known := states[e.Status]
		at, err := netip.ParseAddrPort(e.Address)
		if !known || e.Name == "" || err != nil && state != balance.Gone {
			log.Printf("msg=list_entry_unknown name=%q status=%q address=%q", e.Name, e.Status, e.Address)
			continue
		}
		t := s.byName[e.Name]
		if t == nil {
			t = &target{name: e.Name, id: s.idOf(e.Name), state: balance.Gone}
			s.byName[e.Name], s.byID[t.id] = t, t
		}
		if t.at != at || t.since != e.SinceMs {
			t.dropIdle() // the process that they led to is no more, though its machine may not have said so
			t.since = e.SinceMs
		}
		if err == nil {
			t.at = at
		}
		named[e.Name] = true
		t.said = balance.Entry{ID: t.id, Zone: p.zone(e.Zone), Cell: e.Group, State: state, Size: e.Weight, Started: e.SinceMs / 1000}
		entries = append(entries, p.settle(t))
	}
	if l.Snapshot {
		for name, t := range s.byName {
			if !named[name] {
				t.said.State = balance.Gone
				p.settle(t)
			}
		}
		p.maintenance.forget(func(name string) bool { return named[name] })
	}
	p.balancer.Fleet(p.loop.Now(), l.Snapshot, entries)
}

// settle is where discovery's word and the operators' become the one that counts.
func (p *Proxy) settle(t *target) balance.Entry {
	e := p.maintenance.over(t.name, t.said)
	p.turn(t, e.State)
	return e
}

// knows tells whether a backend is listed or left out now; all other names are nobody's.
func (p *Proxy) knows(name string) bool {
	t := p.backends.byName[name]
	return t != nil && t.said.State != balance.Gone || p.maintenance.Out[name]
}

// leaveOut has nothing new go to a backend until it is called back.
func (p *Proxy) leaveOut(name string) {
	p.maintenance.leave(name)
	p.retell(name)
}

// callBack has a backend used again, as one that has just started.
func (p *Proxy) callBack(name string) {
	p.maintenance.call(name, p.loop.Now())
	p.retell(name)
}

// retell has what counts of a backend brought up to date.
func (p *Proxy) retell(name string) {
	if t := p.backends.byName[name]; t != nil && t.said.State != balance.Gone {
		p.balancer.Fleet(p.loop.Now(), false, []balance.Entry{p.settle(t)})
	}
}

// zone is the number of a zone; one that the settings don't name gets one of its own.
func (p *Proxy) zone(name string) int {
	n := slices.Index(p.names.Zones, name)
	if n < 0 {
		n = len(p.names.Zones)
		p.names.Zones = append(p.names.Zones, name)
	}
	return n
}

// turn notes a backend's state. Idle connections to one that wants nothing new are closed.
func (p *Proxy) turn(t *target, state balance.State) {
	if (t.state == balance.Ready) != (state == balance.Ready) {
		if state == balance.Ready {
			p.backends.usable++
		} else {
			p.backends.usable--
		}
	}
	t.state = state
	if state != balance.Ready {
		t.dropIdle()
	}
	p.backends.forget(t)
}
