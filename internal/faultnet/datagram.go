// This file implements the forwarder for datagrams between two addresses. Datagrams from any other source are dropped.
// Each endpoint knows the other one by an address of the forwarder.

package faultnet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// DatagramForwarder forwards datagrams between two UDP endpoints. The left endpoint reaches the right one at AddrForLeft,
// the right endpoint reaches the left one at AddrForRight.
type DatagramForwarder struct {
	sockets    [2]*net.UDPConn // the socket that the left endpoint sends to, and the one for the right endpoint
	ends       [2]netip.AddrPort
	directions [2]*direction // left to right, right to left
	stop       chan struct{}
	tasks      sync.WaitGroup
	once       sync.Once
}

// NewDatagramForwarder starts to forward datagrams between the two addresses.
func NewDatagramForwarder(left, right netip.AddrPort, seed uint64) (*DatagramForwarder, error) {
	f := &DatagramForwarder{ends: [2]netip.AddrPort{left, right},
		directions: [2]*direction{newDirection(seed, 2), newDirection(seed, 3)}, stop: make(chan struct{})}
	for i := range f.sockets {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			if i > 0 {
				f.sockets[0].Close()
			}
			return nil, err
		}
		f.sockets[i] = c
	}
	for side := range 2 {
		f.tasks.Add(1)
		go f.forward(side)
	}
	return f, nil
}

// AddrForLeft returns the address at which the left endpoint reaches the right one.
func (f *DatagramForwarder) AddrForLeft() string { return f.sockets[0].LocalAddr().String() }

// AddrForRight returns the address at which the right endpoint reaches the left one.
func (f *DatagramForwarder) AddrForRight() string { return f.sockets[1].LocalAddr().String() }

// SetConditions replaces the conditions of both directions.
func (f *DatagramForwarder) SetConditions(toRight, toLeft Conditions) {
	f.directions[0].setConditions(toRight)
	f.directions[1].setConditions(toLeft)
}

// Lost returns how many datagrams were dropped in each direction.
func (f *DatagramForwarder) Lost() (toRight, toLeft int) {
	_, toRight = f.directions[0].counts()
	_, toLeft = f.directions[1].counts()
	return toRight, toLeft
}

// Delivered returns the traffic that arrived in each direction.
func (f *DatagramForwarder) Delivered() (toRight, toLeft Traffic) {
	return f.directions[0].deliveredSoFar(), f.directions[1].deliveredSoFar()
}

// Close stops forwarding, drops datagrams in transit and waits for the goroutines.
func (f *DatagramForwarder) Close() {
	f.once.Do(func() {
		close(f.stop)
		f.sockets[0].Close()
		f.sockets[1].Close()
	})
	f.tasks.Wait()
}

// forward reads the datagrams of one endpoint and sends them on to the other, with the drawn duplication, loss and reordering.
func (f *DatagramForwarder) forward(side int) {
	defer f.tasks.Done()
	buf := make([]byte, 64<<10)
	var held []byte // the datagram that the next one is to overtake
	for {
		if held != nil {
			_ = f.sockets[side].SetReadDeadline(time.Now().Add(seconds(reorderTimeoutSeconds)))
		}
		size, from, err := f.sockets[side].ReadFromUDPAddrPort(buf)
		if err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() && held != nil { // no datagram came to overtake it
				_ = f.sockets[side].SetReadDeadline(time.Time{})
				f.send(side, held)
				held = nil
				continue
			}
			return
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != f.ends[side] {
			continue
		}
		copies, reorder := f.directions[side].drawDatagram()
		if copies == 0 {
			continue
		}
		datagram := append([]byte(nil), buf[:size]...)
		if reorder && held == nil {
			held = datagram
			continue
		}
		for range copies {
			f.send(side, datagram)
		}
		if held != nil {
			_ = f.sockets[side].SetReadDeadline(time.Time{})
			f.send(side, held)
			held = nil
		}
	}
}

// send delivers a datagram when it is due. A datagram is dropped if the direction is blocked when it is sent or when it is due.
func (f *DatagramForwarder) send(side int, buf []byte) {
	at, blocked, _ := f.directions[side].schedule(time.Now(), len(buf), false)
	if blocked {
		return
	}
	deliver := func() {
		f.directions[side].recordDelivery(buf)
		// Without a receiver the datagram is lost, as on a real network.
		_, _ = f.sockets[1-side].WriteToUDPAddrPort(buf, f.ends[1-side])
	}
	d := time.Until(at)
	if d <= 0 {
		deliver()
		return
	}
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		if sleep(d, f.stop) {
			if _, blocked, _ := f.directions[side].schedule(time.Now(), 0, false); !blocked {
				deliver()
			}
		}
	}()
}
