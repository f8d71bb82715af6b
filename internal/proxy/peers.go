// This file sends and receives the messages between peer proxies. It must not wait for a message, and drops messages
// from unknown addresses.

package proxy

import (
	"fmt"
	"net/netip"
	"slices"

	"sandpass/balance"
	"sandpass/internal/loop"
	"sandpass/internal/settings"
)

const maxPeerMessageBytes = 256

// peers holds the proxies that the configuration names, in the order of their numbers, including this one.
type peers struct {
	addrs                   []netip.AddrPort // empty if messages are disabled
	self                    int
	socket                  *loop.DatagramSocket
	sent, received, invalid int // messages since the last summary; invalid ones are from an unknown address or malformed
}

// parsePeers parses the addresses and checks them against the settings. They are dropped if messages are disabled.
func parsePeers(addresses []string, network settings.NetworkSettings) (parsed peers, err error) {
	parsed.self = network.OwnIndex
	for i, text := range addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return parsed, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if slices.Contains(parsed.addrs, addr) {
			return parsed, fmt.Errorf("peers[%d]: %s comes twice", i, addr)
		}
		parsed.addrs = append(parsed.addrs, addr)
	}
	if !network.PeerMessages {
		parsed.addrs = nil
	} else if len(parsed.addrs) != network.PeerCount || parsed.self >= len(parsed.addrs) {
		return parsed, fmt.Errorf("peers: %d addresses for %d siblings with number %d", len(parsed.addrs),
			network.PeerCount, parsed.self)
	}
	return parsed, nil
}

// applyPeers starts to use these addresses. If the socket can't be opened, nothing changes.
func (p *Proxy) applyPeers(next peers) error {
	previous := p.peers
	next.socket, next.sent, next.received, next.invalid = previous.socket, previous.sent, previous.received, previous.invalid
	sameAddr := previous.socket != nil && len(next.addrs) > 0 && previous.addrs[previous.self] == next.addrs[next.self]
	if !sameAddr && len(next.addrs) > 0 {
		socket, err := p.loop.OpenDatagramSocket(next.addrs[next.self], maxPeerMessageBytes, p.receivePeerMessage)
		if err != nil {
			return err
		}
		next.socket = socket
	}
	if !sameAddr && previous.socket != nil {
		previous.socket.Close()
		if len(next.addrs) == 0 {
			next.socket = nil
		}
	}
	p.peers = next
	return nil
}

// receivePeerMessage passes a peer's message to the Balancer.
func (p *Proxy) receivePeerMessage(from netip.AddrPort, text []byte) {
	if i := slices.Index(p.peers.addrs, from); i >= 0 && balance.IsMessage(text) {
		p.peers.received++
		p.balancer.MessageReceived(p.loop.Now(), i, text)
	} else {
		p.peers.invalid++
	}
}

// SendToPeer sends a message to a peer. It may be lost.
func (p *Proxy) SendToPeer(to int, text []byte) {
	if peers := &p.peers; peers.socket != nil && to >= 0 && to < len(peers.addrs) {
		peers.sent++
		peers.socket.Send(peers.addrs[to], text)
	}
}
