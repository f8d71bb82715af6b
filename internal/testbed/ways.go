// This file owns the ways between proxies and backends, and among proxies, on days whose plan has faults of links: one
// forwarder for each zone of proxies and each backend, one for each two siblings, and the weather on them. It must never
// stand in a way that no fault is to touch: a day without such faults has no forwarder.

package testbed

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"sandpass/internal/faultnet"
	"sandpass/internal/faults"
)

type way struct {
	from    int // zone of the proxies
	address string
}

type stretch struct {
	*faultnet.StreamForwarder
	to  int  // zone of the backend
	cut bool // one direction or both
}

// between is the way of messages between two siblings.
type between struct {
	*faultnet.DatagramForwarder
	from, to int // their zones
}

// hasWays tells whether the plan has faults of links.
func (r *Harness) hasWays() bool {
	return slices.ContainsFunc(r.plan, func(f faults.Fault) bool {
		return f.Kind == faults.Partition || f.Kind == faults.Delay || f.Kind == faults.PacketLoss || f.Kind == faults.ReorderMessages
	})
}

// through is where proxies of a zone find a backend.
func (r *Harness) through(from int, b *backend) (string, error) {
	if !r.hasWays() {
		return b.address, nil
	}
	r.waysMu.Lock()
	defer r.waysMu.Unlock()
	k := way{from, b.address}
	if r.ways[k] == nil {
		made, err := faultnet.NewStreamForwarder(b.address, r.seed+uint64(len(r.ways)))
		if err != nil {
			return "", err
		}
		if r.ways == nil {
			r.ways = map[way]*stretch{}
		}
		r.ways[k] = &stretch{StreamForwarder: made, to: b.zone}
		r.fit(k)
	}
	return r.ways[k].Addr(), nil
}

// left is when the first so many bytes of a connection were sent to a backend, if a way that may hold them up is between.
func (r *Harness) left(b *backend, from net.Addr, bytes int64) (at float64, known bool) {
	r.waysMu.Lock()
	defer r.waysMu.Unlock()
	for z := range r.world.Zones { // at most one of them knows the connection
		if s := r.ways[way{z, b.address}]; s != nil {
			if t, ok := s.ReceivedAt(from, bytes); ok {
				return t.Sub(r.start).Seconds(), true
			}
		}
	}
	return 0, false
}

// meetings gives each instance of the first tier an address for messages, and each the addresses at which it finds the
// others; nil where siblings say nothing to one another.
func (r *Harness) meetings() error {
	if !r.world.Rules.Peers {
		return nil
	}
	n := r.world.Instances
	own := make([]string, n)
	for i := range own {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		own[i] = c.LocalAddr().String()
		defer c.Close() // free again once all are drawn, so that no two are the same
	}
	r.peers = make([][]string, n)
	for i := range n {
		r.peers[i] = slices.Clone(own)
	}
	if !r.hasWays() {
		return nil
	}
	for i := range n {
		for k := range i {
			p, err := faultnet.NewDatagramForwarder(netip.MustParseAddrPort(own[k]), netip.MustParseAddrPort(own[i]), r.seed+uint64(i*n+k))
			if err != nil {
				return fmt.Errorf("a way between two siblings: %w", err)
			}
			r.peers[k][i], r.peers[i][k] = p.AddrForLeft(), p.AddrForRight()
			r.pairs = append(r.pairs, between{p, k % r.world.Zones, i % r.world.Zones})
		}
	}
	return nil
}

// weather is what the faults in force make of what goes from one zone to another.
func (r *Harness) weather(from, to int) (w faultnet.Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, f := range r.plan {
		if !r.active[i] {
			continue
		}
		now := r.clock()
		switch {
		case f.Blocks(from, to):
			w.Blocked = true
		case f.Kind == faults.Delay && f.AffectsPath(from, to):
			w.Delay += f.SeverityAt(now)
		case f.Kind == faults.PacketLoss && f.AffectsPath(from, to):
			w.Loss = 1 - (1-w.Loss)*(1-f.SeverityAt(now))
		case f.Kind == faults.ReorderMessages:
			w.Duplicate, w.Reorder = f.SeverityAt(now), f.SeverityAt(now)
		}
	}
	w.Jitter, w.RetransmitDelay = r.world.Net.Jitter*w.Delay, r.world.Net.RetransmitDelay
	return w
}

// fit has a way's weather follow the faults in force; r.waysMu is held. When a cut ends the connections break that stood
// in it, as in the emulator: what their senders have long given up must not reach a backend as if it were new.
func (r *Harness) fit(k way) {
	s := r.ways[k]
	there, back := r.weather(k.from, s.to), r.weather(s.to, k.from)
	if s.cut && !there.Blocked && !back.Blocked {
		s.Reset()
	}
	s.cut = there.Blocked || back.Blocked
	s.SetConditions(there, back)
}

// turn has all ways follow the faults in force.
func (r *Harness) turn() {
	r.waysMu.Lock()
	defer r.waysMu.Unlock()
	for k := range r.ways { // each by itself, so no order is needed
		r.fit(k)
	}
	for _, p := range r.pairs {
		p.SetConditions(r.weather(p.from, p.to), r.weather(p.to, p.from))
	}
}

// endWays closes all forwarders.
func (r *Harness) endWays() {
	r.waysMu.Lock()
	defer r.waysMu.Unlock()
	for _, s := range r.ways {
		s.Close()
	}
	for _, p := range r.pairs {
		p.Close()
	}
	r.ways, r.pairs = nil, nil
}
