// This file sets up forwarders with link faults, if the plan has any: one between each zone of proxies and each backend, and one
// between each pair of peers. A run without link faults uses no forwarders.

package testbed

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"sandpass/internal/faultnet"
	"sandpass/internal/faults"
)

// streamLinkKey identifies the link from a zone of proxies to a backend.
type streamLinkKey struct {
	from    int // zone of the proxies
	address string
}

// streamLink is the forwarder between a zone of proxies and a backend.
type streamLink struct {
	*faultnet.StreamForwarder
	to      int  // zone of the backend
	blocked bool // in one direction or both
}

// peerLink is the forwarder for messages between two peers.
type peerLink struct {
	*faultnet.DatagramForwarder
	from, to int // their zones
}

// hasLinkFaults reports whether the plan has link faults.
func (h *Harness) hasLinkFaults() bool {
	return slices.ContainsFunc(h.plan, func(f faults.Fault) bool {
		return f.Kind == faults.Partition || f.Kind == faults.Delay || f.Kind == faults.PacketLoss || f.Kind == faults.ReorderMessages
	})
}

// backendAddr returns the address at which proxies of a zone reach a backend.
func (h *Harness) backendAddr(from int, b *backend) (string, error) {
	if !h.hasLinkFaults() {
		return b.address, nil
	}
	h.linksMu.Lock()
	defer h.linksMu.Unlock()
	key := streamLinkKey{from, b.address}
	if h.streamLinks[key] == nil {
		forwarder, err := faultnet.NewStreamForwarder(b.address, h.seed+uint64(len(h.streamLinks)))
		if err != nil {
			return "", err
		}
		if h.streamLinks == nil {
			h.streamLinks = map[streamLinkKey]*streamLink{}
		}
		h.streamLinks[key] = &streamLink{StreamForwarder: forwarder, to: b.zone}
		h.updateLink(key)
	}
	return h.streamLinks[key].Addr(), nil
}

// sentAt returns when the first bytes bytes of a connection to a backend were sent, if they came through a forwarder.
func (h *Harness) sentAt(b *backend, from net.Addr, bytes int64) (at float64, known bool) {
	h.linksMu.Lock()
	defer h.linksMu.Unlock()
	for z := range h.world.Zones { // at most one forwarder knows the connection
		if link := h.streamLinks[streamLinkKey{z, b.address}]; link != nil {
			if t, ok := link.ReceivedAt(from, bytes); ok {
				return t.Sub(h.start).Seconds(), true
			}
		}
	}
	return 0, false
}

// setUpPeerLinks assigns each first-tier instance an address for peer messages, and the addresses at which it reaches the
// others. It does nothing if peers exchange no messages.
func (h *Harness) setUpPeerLinks() error {
	if !h.world.Rules.Peers {
		return nil
	}
	n := h.world.Instances
	own := make([]string, n)
	for i := range own {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		own[i] = c.LocalAddr().String()
		defer c.Close() // released once all addresses are assigned, so that no two are the same
	}
	h.peerAddrs = make([][]string, n)
	for i := range n {
		h.peerAddrs[i] = slices.Clone(own)
	}
	if !h.hasLinkFaults() {
		return nil
	}
	for i := range n {
		for k := range i {
			p, err := faultnet.NewDatagramForwarder(netip.MustParseAddrPort(own[k]), netip.MustParseAddrPort(own[i]), h.seed+uint64(i*n+k))
			if err != nil {
				return fmt.Errorf("forwarder between two peers: %w", err)
			}
			h.peerAddrs[k][i], h.peerAddrs[i][k] = p.AddrForLeft(), p.AddrForRight()
			h.peerLinks = append(h.peerLinks, peerLink{p, k % h.world.Zones, i % h.world.Zones})
		}
	}
	return nil
}

// linkConditions returns the conditions from one zone to another under the active faults.
func (h *Harness) linkConditions(from, to int) (conditions faultnet.Conditions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, f := range h.plan {
		if !h.active[i] {
			continue
		}
		now := h.now()
		switch {
		case f.Blocks(from, to):
			conditions.Blocked = true
		case f.Kind == faults.Delay && f.AffectsPath(from, to):
			conditions.Delay += f.SeverityAt(now)
		case f.Kind == faults.PacketLoss && f.AffectsPath(from, to):
			conditions.Loss = 1 - (1-conditions.Loss)*(1-f.SeverityAt(now))
		case f.Kind == faults.ReorderMessages:
			conditions.Duplicate, conditions.Reorder = f.SeverityAt(now), f.SeverityAt(now)
		}
	}
	conditions.Jitter, conditions.RetransmitDelay = h.world.Net.Jitter*conditions.Delay, h.world.Net.RetransmitDelay
	return conditions
}

// updateLink sets the conditions of a link by the active faults. The caller holds h.linksMu. When a block ends, its connections
// are reset, as in the emulator: requests that their senders gave up long ago must not reach a backend as if they were new.
func (h *Harness) updateLink(key streamLinkKey) {
	link := h.streamLinks[key]
	toBackend, toProxy := h.linkConditions(key.from, link.to), h.linkConditions(link.to, key.from)
	if link.blocked && !toBackend.Blocked && !toProxy.Blocked {
		link.Reset()
	}
	link.blocked = toBackend.Blocked || toProxy.Blocked
	link.SetConditions(toBackend, toProxy)
}

// updateLinks sets the conditions of all links by the active faults.
func (h *Harness) updateLinks() {
	h.linksMu.Lock()
	defer h.linksMu.Unlock()
	for key := range h.streamLinks { // links are independent, so the order does not matter
		h.updateLink(key)
	}
	for _, p := range h.peerLinks {
		p.SetConditions(h.linkConditions(p.from, p.to), h.linkConditions(p.to, p.from))
	}
}

// closeLinks closes all forwarders.
func (h *Harness) closeLinks() {
	h.linksMu.Lock()
	defer h.linksMu.Unlock()
	for _, link := range h.streamLinks {
		link.Close()
	}
	for _, p := range h.peerLinks {
		p.Close()
	}
	h.streamLinks, h.peerLinks = nil, nil
}
