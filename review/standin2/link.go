// This file is a link between two data centres: it forwards connections and delays all that passes, each way alike.

package main

import (
	"net"
	"time"
)

// link forwards connections from its own address to a backend's.
type link struct {
	listener net.Listener
	to       string
	oneWay   time.Duration
}

// startLink listens at a free address of loopback.
func startLink(to string, oneWay time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener, to, oneWay}
	go l.accept()
	return l, nil
}

// address returns where the link listens.
func (l *link) address() string { return l.listener.Addr().String() }

// accept forwards each connection.
func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward connects to the backend and carries both directions.
func (l *link) forward(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(near)
		return
	}
	go l.carry(near, far)
	go l.carry(far, near)
}

// piece is a part of a stream, or its end, and when it arrives.
type piece struct {
	data []byte
	err  error
	at   time.Time
}

// carry passes one direction on, in order, each piece oneWay after it was sent.
func (l *link) carry(from, to net.Conn) {
	pieces := make(chan piece, 4096)
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			pieces <- piece{buffer[:n], err, time.Now().Add(l.oneWay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				from.Close() // ends the reader
			}
		}
		if p.err != nil {
			to.Close()
			return
		}
	}
}
