// This file exports the clients of the load test for other measurements, with the same pacing and counting.

package testbed

import (
	"context"
	"math/rand/v2"
)

// Caller is a client connection that sends one command after another.
type Caller struct{ loadConn loadConn }

// NewCaller returns a caller for an address. It connects with the first command.
func NewCaller(address string) *Caller {
	return &Caller{loadConn{addr: address, idBase: rand.Uint64()}}
}

// Once sends a command and waits for its answer.
func (c *Caller) Call() error { return c.loadConn.call() }

// Close closes the connection, if there is one.
func (c *Caller) Close() {
	if c.loadConn.conn != nil {
		c.loadConn.disconnect(nil)
	}
}

// OpenLoop sends commands to the addresses at a fixed rate, whatever became of earlier ones. It returns the median and the 99th
// and 99.9th percentiles of the latency in seconds, counted from when each command was due, and the number of failures.
func OpenLoop(ctx context.Context, addresses []string, connections int, rate, seconds float64) (latency [3]float64, failed int) {
	return openLoop(ctx, addresses, connections, "", rate, seconds)
}
