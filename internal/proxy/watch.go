// This file handles the endpoint list of discovery: the form of its updates and how they are applied. The last list
// received stays in use until a newer one replaces it.

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

const maxEndpointUpdateBytes = 8 << 20 // tens of thousands of backends

// endpointUpdate is a message of discovery: the whole list, or the changes.
type endpointUpdate struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one backend in an update.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

// endpointStates maps the status texts of endpoints to states.
var endpointStates = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// endpointWatch is the watch on discovery.
type endpointWatch struct {
	*watch.Client
	addr        netip.AddrPort // discovery's address
	index       int64
	hasList     bool           // a whole list was received from this address
	listApplied bool           // a whole list was applied since the start: backends that appear later have just started
	pending     endpointUpdate // decoded, not yet applied
}

// watchDiscovery moves the watch to another address. Indexes may differ there, so the whole list is requested; the
// known list is used until it is received.
func (p *Proxy) watchDiscovery(addr netip.AddrPort) {
	if w := &p.watch; addr != w.addr {
		w.addr, w.hasList = addr, false
		w.SetServers(addr)
	}
}

// endpointWatcher receives the endpoint updates of discovery's watch.
type endpointWatcher struct{ p *Proxy }

// RequestHead returns the request that opens the watch.
func (h endpointWatcher) RequestHead(to netip.AddrPort) []byte {
	query := "GET /api/targets?follow=1"
	if h.p.watch.hasList {
		query += "&since=" + strconv.FormatInt(h.p.watch.index, 10)
	}
	return []byte(query + " HTTP/1.1\r\nHost: " + to.String() + "\r\n\r\n")
}

// FirstMessage returns nil: nothing follows the request.
func (h endpointWatcher) FirstMessage() []byte { return nil }

// Decode parses an update.
func (h endpointWatcher) Decode(object []byte) error {
	h.p.watch.pending = endpointUpdate{}
	return json.Unmarshal(object, &h.p.watch.pending)
}

// Apply applies the update that was decoded last.
func (h endpointWatcher) Apply() error {
	update := h.p.watch.pending
	h.p.watch.pending = endpointUpdate{}
	if h.p.applyEndpoints(&update); !h.p.watch.hasList {
		return errors.New("changes before any list")
	}
	h.p.watch.listApplied = true
	return nil
}

// Reconnected logs that the watch works again.
func (h endpointWatcher) Reconnected() { log.Printf("msg=watch_back index=%d", h.p.watch.index) }

// Disconnected logs the loss of the watch, if it is new, and tells the Balancer.
func (h endpointWatcher) Disconnected(err error, isNew bool) {
	if w := &h.p.watch; isNew {
		log.Printf("msg=watch_lost error=%q index=%d byte=%d", err, w.index, w.BodyBytesReceived())
	}
	h.p.balancer.BackendListFailed(h.p.loop.Now())
}

// applyEndpoints updates the backends and the Balancer. Changes received before any whole list apply to the backends
// that they name, above all drains, but don't count as a list: the whole list is still to be requested.
func (p *Proxy) applyEndpoints(update *endpointUpdate) {
	pool := &p.backends
	if !update.Snapshot && p.watch.hasList && update.Index < p.watch.index {
		// A later update may have said otherwise, or a new discovery process counts from the start: the whole list tells.
		log.Printf("msg=old_news index=%d known=%d", update.Index, p.watch.index)
		p.watch.hasList = false
		return
	}
	if update.Snapshot || p.watch.hasList {
		p.watch.index, p.watch.hasList = update.Index, true
	}
	var entries []balance.Entry
	listed, newProcess := map[string]bool{}, false
	for _, e := range update.Endpoints {
		state, valid := endpointStates[e.Status]
		addr, err := netip.ParseAddrPort(e.Address)
		if !valid || e.Name == "" || err != nil && state != balance.Gone {
			log.Printf("msg=list_entry_unknown name=%q status=%q address=%q", e.Name, e.Status, e.Address)
			continue
		}
		b := pool.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name, id: pool.assignID(e.Name), state: balance.Gone}
			pool.byName[e.Name], pool.byID[b.id] = b, b
		}
		if b.addr != addr || b.sinceMs != e.SinceMs {
			b.closeIdle() // the old process has ended, but its machine may not have closed them
			b.sinceMs, b.connLost, newProcess = e.SinceMs, false, true
		}
		if err == nil {
			b.addr = addr
		}
		listed[e.Name] = true
		b.listed = balance.Entry{ID: b.id, Zone: p.zoneIndex(e.Zone), Cell: e.Group, State: state, Capacity: e.Weight,
			StartedAt: p.processStart(e.Name, e.SinceMs)}
		entries = append(entries, p.applyMaintenance(b))
	}
	if update.Snapshot {
		for name, b := range pool.byName {
			if !listed[name] {
				b.listed.State = balance.Gone
				p.applyMaintenance(b)
			}
		}
		p.maintenance.forget(func(name string) bool { return listed[name] })
	}
	if newProcess {
		entries = append(entries, p.retireReplaced()...)
	}
	p.pruneStarts()
	p.balancer.UpdateBackends(p.loop.Now(), update.Snapshot, entries)
}

// retireReplaced marks backends as gone whose address a process has that started later, and returns their entries. The list may tell
// of a new process before it tells that the one before it is gone; used as the old one, a cold process would get the work of a
// warm one.
func (p *Proxy) retireReplaced() (retired []balance.Entry) {
	holders := map[netip.AddrPort]*backend{}
	for _, b := range p.backends.byName {
		if b.listed.State == balance.Gone {
			continue
		}
		older, newer := holders[b.addr], b
		if older == nil || older.sinceMs == b.sinceMs {
			holders[b.addr] = b
			continue
		}
		if b.sinceMs < older.sinceMs {
			older, newer = b, older
		}
		holders[b.addr] = newer
		log.Printf("msg=backend_replaced name=%s by=%s address=%s", older.name, newer.name, older.addr)
		older.listed.State = balance.Gone
		retired = append(retired, p.applyMaintenance(older))
	}
	return retired
}

// applyMaintenance combines a backend's listed state with the operators' requests and sets the result.
func (p *Proxy) applyMaintenance(b *backend) balance.Entry {
	e := p.maintenance.applyTo(b.name, b.listed)
	p.setState(b, e.State)
	return e
}

// knowsBackend reports whether a backend of that name is listed or cordoned.
func (p *Proxy) knowsBackend(name string) bool {
	b := p.backends.byName[name]
	return b != nil && b.listed.State != balance.Gone || p.maintenance.Cordoned[name]
}

// cordon stops sending new relays to a backend until uncordon.
func (p *Proxy) cordon(name string) {
	p.maintenance.cordon(name)
	p.refreshBackend(name)
}

// uncordon uses a backend again, as one that has just started.
func (p *Proxy) uncordon(name string) {
	p.maintenance.uncordon(name, p.loop.Now())
	p.refreshBackend(name)
}

// refreshBackend passes a backend's state to the Balancer again.
func (p *Proxy) refreshBackend(name string) {
	if b := p.backends.byName[name]; b != nil && b.listed.State != balance.Gone {
		p.balancer.UpdateBackends(p.loop.Now(), false, []balance.Entry{p.applyMaintenance(b)})
	}
}

// zoneIndex returns the number of a zone. A zone that the settings don't name is given a new number.
func (p *Proxy) zoneIndex(name string) int {
	n := slices.Index(p.names.Zones, name)
	if n < 0 {
		n = len(p.names.Zones)
		p.names.Zones = append(p.names.Zones, name)
	}
	return n
}

// setState sets a backend's effective state and closes its idle connections if it takes no new commands.
func (p *Proxy) setState(b *backend, state balance.State) {
	if (b.state == balance.Ready) != (state == balance.Ready) {
		if state == balance.Ready {
			p.backends.readyCount++
		} else {
			p.backends.readyCount--
		}
	}
	b.state = state
	if state != balance.Ready {
		b.closeIdle()
	}
	p.backends.removeIfGone(b)
}
