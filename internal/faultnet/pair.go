// This file owns a way for datagrams between two addresses. It must never let one through that comes from neither: each
// end knows the other by the address that the way shows it.
package faultnet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Pair stands between two UDP addresses. To the left end the right one is at ForLeft, and the other way round.
type DatagramForwarder struct {
	socks [2]*net.UDPConn // what the left end speaks to, what the right end speaks to
	ends  [2]netip.AddrPort
	ways  [2]*way // from left to right, and back
	over  chan struct{}
	done  sync.WaitGroup
	once  sync.Once
}

// NewPair begins to carry datagrams between the two addresses.
func NewDatagramForwarder(left, right netip.AddrPort, seed uint64) (*DatagramForwarder, error) {
	p := &DatagramForwarder{ends: [2]netip.AddrPort{left, right}, ways: [2]*way{newWay(seed, 2), newWay(seed, 3)}, over: make(chan struct{})}
	for i := range p.socks {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			if i > 0 {
				p.socks[0].Close()
			}
			return nil, err
		}
		p.socks[i] = c
	}
	for n := range 2 {
		p.done.Add(1)
		go p.carry(n)
	}
	return p, nil
}

// ForLeft is the address at which the left end finds the right one.
func (p *DatagramForwarder) AddrForLeft() string { return p.socks[0].LocalAddr().String() }

// ForRight is the address at which the right end finds the left one.
func (p *DatagramForwarder) AddrForRight() string { return p.socks[1].LocalAddr().String() }

// Set changes the weather from left to right, and back.
func (p *DatagramForwarder) SetConditions(there, back Conditions) {
	p.ways[0].set(there)
	p.ways[1].set(back)
}

// Lost is how many datagrams did not arrive from left to right, and back.
func (p *DatagramForwarder) Lost() (there, back int) {
	_, there = p.ways[0].counts()
	_, back = p.ways[1].counts()
	return there, back
}

// Carried is what arrived from left to right, and back.
func (p *DatagramForwarder) Delivered() (there, back Traffic) {
	return p.ways[0].carriedSoFar(), p.ways[1].carriedSoFar()
}

// Close ends the way; what is under way is lost.
func (p *DatagramForwarder) Close() {
	p.once.Do(func() {
		close(p.over)
		p.socks[0].Close()
		p.socks[1].Close()
	})
	p.done.Wait()
}

func (p *DatagramForwarder) carry(n int) {
	defer p.done.Done()
	text := make([]byte, 64<<10)
	var held []byte // lets the next one pass
	for {
		if held != nil {
			_ = p.socks[n].SetReadDeadline(time.Now().Add(seconds(swapWait)))
		}
		k, from, err := p.socks[n].ReadFromUDPAddrPort(text)
		if err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() && held != nil { // none came to pass it
				_ = p.socks[n].SetReadDeadline(time.Time{})
				p.send(n, held)
				held = nil
				continue
			}
			return
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != p.ends[n] {
			continue
		}
		times, swap := p.ways[n].datagram()
		if times == 0 {
			continue
		}
		one := append([]byte(nil), text[:k]...)
		if swap && held == nil {
			held = one
			continue
		}
		for range times {
			p.send(n, one)
		}
		if held != nil {
			_ = p.socks[n].SetReadDeadline(time.Time{})
			p.send(n, held)
			held = nil
		}
	}
}

// send has a datagram leave when it is due; one that is under way when the way is cut is lost.
func (p *DatagramForwarder) send(n int, text []byte) {
	at, cut, _ := p.ways[n].due(time.Now(), len(text), false)
	if cut {
		return
	}
	out := func() {
		p.ways[n].count(len(text))
		_, _ = p.socks[1-n].WriteToUDPAddrPort(text, p.ends[1-n]) // nobody there: lost, as it would be
	}
	d := time.Until(at)
	if d <= 0 {
		out()
		return
	}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		if sleep(d, p.over) {
			if _, cut, _ := p.ways[n].due(time.Now(), 0, false); !cut {
				out()
			}
		}
	}()
}
