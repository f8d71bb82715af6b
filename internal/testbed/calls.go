// This file owns what other measures may use of the load's clients. It must never pace or count differently from them.

package testbed

import (
	"context"
	"math/rand/v2"
)

// Caller is a client's connection that sends one call after another.
type Caller struct{ counter counter }

// NewCaller makes a caller of an address; it connects with its first call.
func NewCaller(address string) *Caller {
	return &Caller{counter{at: address, base: rand.Uint64()}}
}

// Once sends a call and waits for its answer.
func (c *Caller) Once() error { return c.counter.once() }

// Close ends the connection, if there is one.
func (c *Caller) Close() {
	if c.counter.conn != nil {
		c.counter.lost(nil)
	}
}

// OpenLoop has calls come to some addresses at a rate, whatever became of those before. It gives the median, 99 in 100 and
// 99.9 in 100 of the seconds from when each was due, and how many failed.
func OpenLoop(ctx context.Context, addresses []string, connections int, rate, seconds float64) (late [3]float64, failed int) {
	return open(ctx, addresses, connections, "", rate, seconds)
}
