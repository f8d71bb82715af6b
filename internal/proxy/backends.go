// This file manages the backends: the table by name, the idle connections to them, and which connection a relay takes.

package proxy

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"slices"
	"sort"

	"sandpass/balance"
)

const (
	maxIdleFraction   = 0.7  // of the configured idle time, after which a connection is closed: well before the backend does
	reuseDelaySeconds = 0.01 // from an answer to the next use of its connection: late bytes would pass for the next answer
	listDelaySeconds  = 10.0 // in which the list may not show yet that a process has ended: 6 s, and what discovery itself takes
)

// backendPool holds the backends and all connections to them.
type backendPool struct {
	byName     map[string]*backend
	byID       map[balance.BackendID]*backend
	conns      map[*backendConn]struct{}
	maxConns   int // limit of open connections
	readyCount int // backends in state Ready
}

// backend is one backend of the endpoint list.
type backend struct {
	name      string
	id        balance.BackendID
	addr      netip.AddrPort
	listed    balance.Entry  // the entry as listed
	state     balance.State  // the effective state, after the operators' requests
	sinceMs   float64        // start of its process as listed, Unix milliseconds
	connCount int            // including those being opened
	connLost  bool           // a connection was ended by its side or refused
	lostAt    float64        // when that was last seen
	idle      []*backendConn // the most recently used is last
}

// assignID derives a backend's id from its name. The id is the same at every proxy; on a collision the name is hashed
// on until the id is free.
func (pool *backendPool) assignID(name string) (id balance.BackendID) {
	h := fnv.New64a()
	h.Write([]byte(name))
	for {
		var sum [8]byte
		binary.BigEndian.PutUint64(sum[:], h.Sum64())
		copy(id[:], sum[2:])
		if pool.byID[id] == nil {
			return id
		}
		h.Write([]byte{0})
	}
}

// noteConnLost notes a sign that the backend's process may have ended.
func (b *backend) noteConnLost(now float64) { b.connLost, b.lostAt = true, now }

// mayBeReplaced reports whether another process may listen at the backend's address: the listed one may have ended, and the list
// is behind.
func (b *backend) mayBeReplaced(now float64) bool {
	return b.connLost && now-b.lostAt < listDelaySeconds
}

// closeIdle closes the backend's idle connections.
func (b *backend) closeIdle() {
	for len(b.idle) > 0 {
		b.idle[0].close()
	}
}

// takeIdleConn returns the most recently used idle connection that has been idle for reuseDelaySeconds, or nil. Idle
// connections are in the order in which they became idle, and only the one to be used is checked: the check is a
// system call, and a busy backend has as many idle connections as it answers commands in that time. With trustedOnly,
// untrusted connections are passed over.
func (p *Proxy) takeIdleConn(b *backend, trustedOnly bool) *backendConn {
	now := p.loop.Now()
	for {
		i := sort.Search(len(b.idle), func(i int) bool { return now-b.idle[i].idleSince < reuseDelaySeconds }) - 1
		for trustedOnly && i >= 0 && b.idle[i].untrustedUntil > now {
			i--
		}
		if i < 0 {
			return nil
		}
		bc := b.idle[i]
		if p.idleTooLong(bc) || !bc.conn.IsIdle() {
			if bc.conn.PeerClosed() {
				b.noteConnLost(now)
			}
			bc.close()
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		return bc
	}
}

// sendRelay sends a relay on an idle connection or on a new one.
func (p *Proxy) sendRelay(r *relay) {
	b := r.backend
	boundToGroup := r.cmd.boundToGroup()
	if boundToGroup && r.cmd.groupUnknown {
		p.refuseRepeat(r)
		return
	}
	if bc := p.takeIdleConn(b, boundToGroup); bc != nil {
		bc.relay, r.conn = r, bc
		bc.sendCommand()
		return
	}
	if boundToGroup && b.mayBeReplaced(p.loop.Now()) {
		p.refuseRepeat(r)
		return
	}
	if len(p.backends.conns) >= p.backends.maxConns {
		p.closeOldestIdleConn()
	}
	if len(p.backends.conns) >= p.backends.maxConns {
		p.reportNextIteration(r, balance.NotSent) // no descriptor: the relay was never sent, and the backend is not at fault
		return
	}
	bc := &backendConn{p: p, backend: b, addr: b.addr, sinceMs: b.sinceMs, relay: r}
	if now := p.loop.Now(); b.mayBeReplaced(now) {
		bc.untrustedUntil = now + listDelaySeconds
	}
	r.conn = bc
	p.backends.conns[bc] = struct{}{}
	b.connCount++
	bc.timer = p.loop.After(p.network.ConnectTimeout, bc.connectTimedOut)
	if err := bc.dial(); err != nil {
		bc.close()
		p.reportNextIteration(r, balance.ConnectFailed)
	}
}

// refuseRepeat reports a relay as not sent: the command may have run, and the relay might reach a process that does not know that.
func (p *Proxy) refuseRepeat(r *relay) {
	p.events.repeatsNotSent++
	p.reportNextIteration(r, balance.NotSent)
}

// removeIfGone deletes a backend that has left the list once it has no connections.
func (pool *backendPool) removeIfGone(b *backend) {
	if b.state == balance.Gone && b.connCount == 0 {
		delete(pool.byName, b.name)
		delete(pool.byID, b.id)
	}
}

// closeOldestIdleConn closes the connection that has been idle longest.
func (p *Proxy) closeOldestIdleConn() {
	var oldest *backendConn
	for _, b := range p.backends.byName {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idleSince) {
			oldest = b.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
}

// idleTooLong reports whether the backend may soon close the connection: a relay sent then would end in a reset.
func (p *Proxy) idleTooLong(bc *backendConn) bool {
	return p.loop.Now()-bc.idleSince > maxIdleFraction*p.network.BackendIdleTimeout
}

// closeStaleConns closes connections that have been idle too long.
func (p *Proxy) closeStaleConns() {
	for _, b := range p.backends.byName {
		for len(b.idle) > 0 && p.idleTooLong(b.idle[0]) {
			b.idle[0].close()
		}
	}
}
