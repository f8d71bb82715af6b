// Package faultnet forwards traffic between real processes on loopback and injects network faults on the way.
//
// A StreamForwarder carries TCP connections to one target, a DatagramForwarder carries UDP datagrams between two
// addresses. Each direction has its own Conditions, which may change at any time: delay, jitter, loss, duplication,
// reordering, limited bandwidth, or a complete block. Random choices come from a seed. The package never inspects the
// payload, and the proxy does not use it: it serves tests and sandlab.
//
// A user-space forwarder has limits. A blocked StreamForwarder still accepts connections and then stays silent, whereas
// a machine behind a dead switch would not accept them. Loss on a stream delays bytes, as TCP retransmission does; bytes
// are never missing.
package faultnet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Conditions describes the faults of one direction of a link. Times are in seconds, shares range from 0 to 1.
type Conditions struct {
	Delay           float64 // propagation delay
	Jitter          float64 // maximum of the extra delay, drawn uniformly for each datagram or chunk
	Loss            float64 // share of datagrams that are dropped; on a stream, share of chunks that are delayed by RetransmitDelay
	RetransmitDelay float64 // extra delay of a lost stream chunk; 0 means 0.2 s
	Duplicate       float64 // share of datagrams that arrive twice
	Reorder         float64 // share of datagrams that the next datagram overtakes
	Bandwidth       float64 // bytes per second; 0 means unlimited
	Blocked         bool    // nothing passes; stream bytes wait, datagrams are dropped
}

// Validate returns an error for the first field that is out of range.
func (c Conditions) Validate() error {
	for _, field := range []struct {
		name           string
		value, highest float64
	}{
		{"delay", c.Delay, 3600}, {"jitter", c.Jitter, 3600}, {"loss", c.Loss, 1}, {"again", c.RetransmitDelay, 3600},
		{"twice", c.Duplicate, 1}, {"swap", c.Reorder, 1}, {"rate", c.Bandwidth, math.MaxFloat64},
	} {
		if !(field.value >= 0 && field.value <= field.highest) { // also rejects NaN
			return fmt.Errorf("conditions: %s = %v is not between 0 and %v", field.name, field.value, field.highest)
		}
	}
	return nil
}

const (
	defaultRetransmitSeconds = 0.2       // shortest retransmission timeout of TCP
	reorderTimeoutSeconds    = 0.02      // a datagram that is to be overtaken waits this long for the next one
	readChunkBytes           = 16 << 10  // maximum size of one read
	maxBufferedBytes         = 256 << 10 // in transit in one direction of a connection; beyond this its sender is blocked
)

// direction is one direction of a link: its conditions, random source and counters.
type direction struct {
	mu             sync.Mutex
	rng            *rand.Rand
	conditions     Conditions
	changed        chan struct{} // closed at each change of conditions, which wakes waiting goroutines
	idleAt         time.Time     // when the last scheduled byte has passed the bandwidth limit
	scheduledCount int
	lostCount      int
	delivered      Traffic
}

// Traffic counts what was delivered in one direction.
type Traffic struct {
	Bytes      int64
	Messages   int64 // datagrams, or stream chunks as they were read
	EmptyLines int64 // of these, an empty line in HTTP's chunked encoding, the heartbeat of a watch
}

// EmptyLine is an empty line in HTTP's chunked encoding.
const EmptyLine = "1\r\n\n\r\n"

// recordDelivery counts one delivered message.
func (d *direction) recordDelivery(message []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delivered.Bytes += int64(len(message))
	d.delivered.Messages++
	if string(message) == EmptyLine {
		d.delivered.EmptyLines++
	}
}

// deliveredSoFar returns the traffic delivered up to now.
func (d *direction) deliveredSoFar() Traffic {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delivered
}

// newDirection returns a direction without faults; stream selects one of the random sequences of a seed.
func newDirection(seed, stream uint64) *direction {
	return &direction{rng: rand.New(rand.NewPCG(seed, stream)), changed: make(chan struct{})}
}

// setConditions replaces the conditions and wakes waiting goroutines.
func (d *direction) setConditions(c Conditions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conditions = c
	close(d.changed)
	d.changed = make(chan struct{})
}

// schedule returns when size bytes that are sent now arrive. If the direction is blocked, it returns blocked instead;
// changed is closed at the next change of conditions. With stream set, loss adds the retransmission delay.
func (d *direction) schedule(now time.Time, size int, stream bool) (at time.Time, blocked bool, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conditions
	if c.Blocked {
		return now, true, d.changed
	}
	wait := c.Delay + c.Jitter*d.rng.Float64()
	if stream && d.rng.Float64() < c.Loss {
		retransmit := c.RetransmitDelay
		if retransmit == 0 {
			retransmit = defaultRetransmitSeconds
		}
		wait += retransmit
		d.lostCount++
	}
	at = now
	if c.Bandwidth > 0 {
		if d.idleAt.After(at) {
			at = d.idleAt
		}
		at = at.Add(seconds(float64(size) / c.Bandwidth))
		d.idleAt = at
	}
	d.scheduledCount++
	return at.Add(seconds(wait)), false, d.changed
}

// drawDatagram draws how many copies of a datagram arrive, and whether the next datagram overtakes it.
func (d *direction) drawDatagram() (copies int, reorder bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conditions
	switch {
	case c.Blocked, d.rng.Float64() < c.Loss:
		d.lostCount++
		return 0, false
	case d.rng.Float64() < c.Duplicate:
		copies = 2
	default:
		copies = 1
	}
	return copies, d.rng.Float64() < c.Reorder
}

// counts returns how many messages were scheduled and how many were lost.
func (d *direction) counts() (scheduled, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduledCount, d.lostCount
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
