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
	at                      []netip.AddrPort // none where messages are not allowed
	me                      int
	sock                    *loop.Datagrams
	sent, received, invalid int // messages since the last summary; invalid are a stranger's, or in no known form
}

// parsePeers decodes the addresses and compares them with the settings. Without messages the addresses are not used.
func parsePeers(texts []string, links settings.Links) (s peers, err error) {
	s.me = links.Me
	for i, text := range texts {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return s, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if slices.Contains(s.at, at) {
			return s, fmt.Errorf("peers[%d]: %s comes twice", i, at)
		}
		s.at = append(s.at, at)
	}
	if !links.PeerMessages {
		s.at = nil
	} else if len(s.at) != links.PeerCount || s.me >= len(s.at) {
		return s, fmt.Errorf("peers: %d addresses for %d siblings with number %d", len(s.at), links.PeerCount, s.me)
	}
	return s, nil
}

// joinPeers sends and receives messages by these addresses from now on, or changes nothing where the socket can't be opened.
func (p *Proxy) joinPeers(next peers) error {
	was := p.peers
	next.sock, next.sent, next.received, next.invalid = was.sock, was.sent, was.received, was.invalid
	same := was.sock != nil && len(next.at) > 0 && was.at[was.me] == next.at[next.me]
	if !same && len(next.at) > 0 {
		sock, err := p.loop.Datagrams(next.at[next.me], peerMessageMost, p.receivePeerMessage)
		if err != nil {
			return err
		}
		next.sock = sock
	}
	if !same && was.sock != nil {
		was.sock.Close()
		if len(next.at) == 0 {
			next.sock = nil
		}
	}
	p.peers = next
	return nil
}

// receivePeerMessage passes a peer's message to the Balancer.
func (p *Proxy) receivePeerMessage(from netip.AddrPort, text []byte) {
	if i := slices.Index(p.peers.at, from); i >= 0 && balance.IsMessage(text) {
		p.peers.received++
		p.balancer.Received(p.loop.Now(), i, text)
	} else {
		p.peers.invalid++
	}
}

// Send sends a peer a message, which may be lost.
func (p *Proxy) Send(to int, text []byte) {
	if s := &p.peers; s.sock != nil && to >= 0 && to < len(s.at) {
		s.sent++
		s.sock.Send(s.at[to], text)
	}
}
