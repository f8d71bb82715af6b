// Package faultnet carries bytes between real processes over ways that can be made bad.
//
// A way stands between two ends on loopback, as a Stream of TCP connections or as a Pair of UDP addresses, and each
// of its directions has a Weather of its own, which may be changed at any time: delay, jitter, loss, repeats, swapped
// order, bandwidth, or nothing at all. Chance comes from a seed. It must never look into what it carries, and it must
// never be part of the proxy: it is there for tests and for sandlab.
//
// What a user-space forwarder can't do stands here: a cut Stream still accepts connections and then is silent, as a
// machine behind a dead switch is not (that one would not even accept); loss on a Stream is bytes that come later, as
// TCP has it, never bytes that are missing.
package faultnet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Weather is what one direction of a way does to what it carries. Times are in seconds, parts from 0 to 1.
type Conditions struct {
	Delay           float64 // on the way
	Jitter          float64 // most that comes on top, drawn evenly for each piece
	Loss            float64 // part of the datagrams that never arrive; of a stream's pieces, part that come Again later
	RetransmitDelay float64 // seconds after which what a stream lost is sent again, 0: 0.2
	Duplicate       float64 // part of the datagrams that arrive twice
	Reorder         float64 // part of the datagrams that let the next one pass
	Bandwidth       float64 // bytes a second, 0: no bound
	Blocked         bool    // nothing passes; a stream's bytes wait, datagrams are lost
}

// Check tells the first figure that no weather can have.
func (w Conditions) Validate() error {
	for _, x := range []struct {
		name    string
		v, most float64
	}{
		{"delay", w.Delay, 3600}, {"jitter", w.Jitter, 3600}, {"loss", w.Loss, 1}, {"again", w.RetransmitDelay, 3600},
		{"twice", w.Duplicate, 1}, {"swap", w.Reorder, 1}, {"rate", w.Bandwidth, math.MaxFloat64},
	} {
		if !(x.v >= 0 && x.v <= x.most) { // a NaN as well
			return fmt.Errorf("weather: %s = %v is not between 0 and %v", x.name, x.v, x.most)
		}
	}
	return nil
}

const (
	usualAgain = 0.2       // seconds: the shortest time after which TCP sends again by itself
	swapWait   = 0.02      // seconds that a datagram waits for one to pass it
	pieceSize  = 16 << 10  // bytes read at a time
	mostHeld   = 256 << 10 // bytes under way in one direction of a connection, beyond which its sender has to wait
)

// way is one direction.
type way struct {
	mu      sync.Mutex
	chance  *rand.Rand
	weather Conditions
	changed chan struct{} // closed at each change, so that who waits looks again
	free    time.Time     // when the last byte before has passed, where there is a rate
	carried int
	lost    int
	arrived Traffic
}

// Carried is what has come to a way's end.
type Traffic struct {
	Bytes    int64
	Messages int64 // datagrams, or a stream's pieces as they were read
}

// count notes what arrives.
func (y *way) count(size int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.arrived.Bytes += int64(size)
	y.arrived.Messages++
}

func (y *way) carriedSoFar() Traffic {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.arrived
}

func newWay(seed, n uint64) *way {
	return &way{chance: rand.New(rand.NewPCG(seed, n)), changed: make(chan struct{})}
}

func (y *way) set(w Conditions) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.weather = w
	close(y.changed)
	y.changed = make(chan struct{})
}

// due is when a piece that is sent now arrives, and whether the way is cut; change is closed when that may be no more so.
func (y *way) due(now time.Time, size int, stream bool) (at time.Time, cut bool, change chan struct{}) {
	y.mu.Lock()
	defer y.mu.Unlock()
	w := y.weather
	if w.Blocked {
		return now, true, y.changed
	}
	wait := w.Delay + w.Jitter*y.chance.Float64()
	if stream && y.chance.Float64() < w.Loss {
		again := w.RetransmitDelay
		if again == 0 {
			again = usualAgain
		}
		wait += again
		y.lost++
	}
	at = now
	if w.Bandwidth > 0 {
		if y.free.After(at) {
			at = y.free
		}
		at = at.Add(seconds(float64(size) / w.Bandwidth))
		y.free = at
	}
	y.carried++
	return at.Add(seconds(wait)), false, y.changed
}

// datagram is how often one arrives that is sent now, and whether it lets the next one pass.
func (y *way) datagram() (times int, swap bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	w := y.weather
	switch {
	case w.Blocked, y.chance.Float64() < w.Loss:
		y.lost++
		return 0, false
	case y.chance.Float64() < w.Duplicate:
		times = 2
	default:
		times = 1
	}
	return times, y.chance.Float64() < w.Reorder
}

func (y *way) counts() (carried, lost int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.carried, y.lost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
