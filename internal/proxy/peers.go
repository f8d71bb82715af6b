// This file owns the messages between peers: the socket and the peers' addresses. It must never wait for a message, nor pass
// on one from anybody else.
package proxy

import (
	"fmt"
	"net/netip"
	"slices"

	"sandpass/balance"
	"sandpass/internal/loop"
	"sandpass/internal/settings"
)

const peerMessageMost = 256 // bytes of a message

// peers are the proxies that the configuration names, by their numbers, this one among them.
type peers struct {
	addrs                   []netip.AddrPort // none where messages are not allowed
	self                    int
	socket                  *loop.DatagramSocket
	sent, received, invalid int // messages since the last summary; invalid are a stranger's, or in no known form
}

// parsePeers decodes the addresses and compares them with the settings. Without messages the addresses are not used.
func parsePeers(texts []string, links settings.NetworkSettings) (s peers, err error) {
	s.self = links.OwnIndex
	for i, text := range texts {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return s, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if slices.Contains(s.addrs, at) {
			return s, fmt.Errorf("peers[%d]: %s comes twice", i, at)
		}
		s.addrs = append(s.addrs, at)
	}
	if !links.PeerMessages {
		s.addrs = nil
	} else if len(s.addrs) != links.PeerCount || s.self >= len(s.addrs) {
		return s, fmt.Errorf("peers: %d addresses for %d siblings with number %d", len(s.addrs), links.PeerCount, s.self)
	}
	return s, nil
}

// joinPeers sends and receives messages by these addresses from now on, or changes nothing where the socket can't be opened.
func (p *Proxy) applyPeers(next peers) error {
	was := p.peers
	next.socket, next.sent, next.received, next.invalid = was.socket, was.sent, was.received, was.invalid
	same := was.socket != nil && len(next.addrs) > 0 && was.addrs[was.self] == next.addrs[next.self]
	if !same && len(next.addrs) > 0 {
		sock, err := p.loop.OpenDatagramSocket(next.addrs[next.self], peerMessageMost, p.receivePeerMessage)
		if err != nil {
			return err
		}
		next.socket = sock
	}
	if !same && was.socket != nil {
		was.socket.Close()
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

// Send sends a peer a message, which may be lost.
func (p *Proxy) SendToPeer(to int, text []byte) {
	if s := &p.peers; s.socket != nil && to >= 0 && to < len(s.addrs) {
		s.sent++
		s.socket.Send(s.addrs[to], text)
	}
}
