// This file owns the endpoints that discovery lists: the form of an update and what follows from it. It must never drop the
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

const maxEndpointUpdateBytes = 8 << 20 // bytes of an update: tens of thousands of backends

// endpointUpdate is a message of discovery: the whole list, or what has changed.
type endpointUpdate struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one backend in it.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

var endpointStates = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// endpointWatch is the watch on discovery.
type endpointWatch struct {
	*watch.Client
	addr         netip.AddrPort // discovery's address
	index        int64
	hasList      bool           // a whole list was received
	listReceived bool           // and has been used: what is new from then on has just started
	next         endpointUpdate // decoded, to be applied
}

// watchDiscovery moves the watch to another address. Indexes need not mean the same there, so the whole list is requested;
// the known one is used until it is received.
func (p *Proxy) watchDiscovery(at netip.AddrPort) {
	if w := &p.watch; at != w.addr {
		w.addr, w.hasList = at, false
		w.SetServers(at)
	}
}

// endpointWatcher receives the endpoint updates of discovery's watch.
type endpointWatcher struct{ p *Proxy }

func (h endpointWatcher) RequestHead(to netip.AddrPort) []byte {
	query := "GET /api/targets?follow=1"
	if h.p.watch.hasList {
		query += "&since=" + strconv.FormatInt(h.p.watch.index, 10)
	}
	return []byte(query + " HTTP/1.1\r\nHost: " + to.String() + "\r\n\r\n")
}

func (h endpointWatcher) FirstMessage() []byte { return nil }

func (h endpointWatcher) Decode(object []byte) error {
	h.p.watch.next = endpointUpdate{}
	return json.Unmarshal(object, &h.p.watch.next)
}

func (h endpointWatcher) Apply() error {
	next := h.p.watch.next
	h.p.watch.next = endpointUpdate{}
	if h.p.applyEndpoints(&next); !h.p.watch.hasList {
		return errors.New("changes before any list")
	}
	h.p.watch.listReceived = true
	return nil
}

func (h endpointWatcher) Reconnected() { log.Printf("msg=watch_back index=%d", h.p.watch.index) }

func (h endpointWatcher) Disconnected(err error, news bool) {
	if w := &h.p.watch; news {
		log.Printf("msg=watch_lost error=%q index=%d byte=%d", err, w.index, w.BodyBytesReceived())
	}
	h.p.balancer.BackendListFailed(h.p.loop.Now())
}

// applyEndpoints updates the backends and the Balancer. Changes without a list before them hold for the backends that they
// name, drains above all, but never stand for the whole list, which is still to be requested.
func (p *Proxy) applyEndpoints(update *endpointUpdate) {
	s := &p.backends
	if !update.Snapshot && p.watch.hasList && update.Index < p.watch.index {
		log.Printf("msg=old_news index=%d known=%d", update.Index, p.watch.index) // a later update may have said the contrary
		return
	}
	if update.Snapshot || p.watch.hasList {
		p.watch.index, p.watch.hasList = update.Index, true
	}
	var entries []balance.Entry
	named := map[string]bool{}
	for _, e := range update.Endpoints {
		state, known := endpointStates[e.Status]
		at, err := netip.ParseAddrPort(e.Address)
		if !known || e.Name == "" || err != nil && state != balance.Gone {
			log.Printf("msg=list_entry_unknown name=%q status=%q address=%q", e.Name, e.Status, e.Address)
			continue
		}
		t := s.byName[e.Name]
		if t == nil {
			t = &backend{name: e.Name, id: s.assignID(e.Name), state: balance.Gone}
			s.byName[e.Name], s.byID[t.id] = t, t
		}
		if t.addr != at || t.sinceMs != e.SinceMs {
			t.closeIdle() // they lead to a process that has ended, though its machine may not have closed them
			t.sinceMs = e.SinceMs
		}
		if err == nil {
			t.addr = at
		}
		named[e.Name] = true
		t.listed = balance.Entry{ID: t.id, Zone: p.zoneIndex(e.Zone), Cell: e.Group, State: state, Capacity: e.Weight, StartedAt: p.startOf(e.Name, e.SinceMs)}
		entries = append(entries, p.applyMaintenance(t))
	}
	if update.Snapshot {
		for name, t := range s.byName {
			if !named[name] {
				t.listed.State = balance.Gone
				p.applyMaintenance(t)
			}
		}
		p.maintenance.forget(func(name string) bool { return named[name] })
	}
	p.forgetStarts()
	p.balancer.UpdateBackends(p.loop.Now(), update.Snapshot, entries)
}

// applyMaintenance combines what discovery lists with what operators asked for into the backend's state.
func (p *Proxy) applyMaintenance(t *backend) balance.Entry {
	e := p.maintenance.applyTo(t.name, t.listed)
	p.setState(t, e.State)
	return e
}

// knows tells whether a backend of that name is listed or cordoned.
func (p *Proxy) knows(name string) bool {
	t := p.backends.byName[name]
	return t != nil && t.listed.State != balance.Gone || p.maintenance.Cordoned[name]
}

// cordon keeps new requests from a backend until uncordon.
func (p *Proxy) cordon(name string) {
	p.maintenance.cordon(name)
	p.refreshBackend(name)
}

// uncordon has a backend used again, as one that has just started.
func (p *Proxy) uncordon(name string) {
	p.maintenance.uncordon(name, p.loop.Now())
	p.refreshBackend(name)
}

// refreshBackend passes a backend's state to the Balancer again.
func (p *Proxy) refreshBackend(name string) {
	if t := p.backends.byName[name]; t != nil && t.listed.State != balance.Gone {
		p.balancer.UpdateBackends(p.loop.Now(), false, []balance.Entry{p.applyMaintenance(t)})
	}
}

// zone is the number of a zone; one that the settings don't name gets one of its own.
func (p *Proxy) zoneIndex(name string) int {
	n := slices.Index(p.names.Zones, name)
	if n < 0 {
		n = len(p.names.Zones)
		p.names.Zones = append(p.names.Zones, name)
	}
	return n
}

// setState notes a backend's state. Idle connections to one that takes nothing new are closed.
func (p *Proxy) setState(t *backend, state balance.State) {
	if (t.state == balance.Ready) != (state == balance.Ready) {
		if state == balance.Ready {
			p.backends.readyCount++
		} else {
			p.backends.readyCount--
		}
	}
	t.state = state
	if state != balance.Ready {
		t.closeIdle()
	}
	p.backends.removeIfGone(t)
}
