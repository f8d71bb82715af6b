// This file handles signals from before the configuration is read; startup_signals.go covers the time before. No signal may end
// the process at once except a second SIGINT without a SIGTERM before it.

package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

const maxPendingSignals = 16 // signals queued: several may arrive while the process is stalled

// shutdownSignals and reloadSignals receive the signals since the start. Each kind has its own channel, so that signals of one
// kind that wait to be handled cause none of the other to be dropped.
var shutdownSignals, reloadSignals = make(chan os.Signal, maxPendingSignals), make(chan os.Signal, 1)

// init handles signals from the start of main's package on, before the configuration is read.
func init() {
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may close its pipe
	signal.Notify(shutdownSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
}

// restoreDefaultSignals restores the default actions of all signals, for subcommands that handle none and before exec of another
// program.
func restoreDefaultSignals() {
	signal.Reset()
	restoreStartupSignals()
}

// shutdownRequest records which shutdown signals have been received.
type shutdownRequest struct{ interrupted, terminated bool }

// receive records a signal and reports whether the process must end immediately: at a second SIGINT, which a user sends from a
// terminal. After a SIGTERM, which announces a kill, nothing cuts the graceful shutdown short.
func (r *shutdownRequest) receive(s os.Signal) (immediately bool) {
	switch {
	case s == syscall.SIGTERM:
		r.terminated = true
	case r.interrupted && !r.terminated:
		return true
	default:
		r.interrupted = true
	}
	return false
}

// handleShutdownSignals sets shutdownRequested, cancels the context and calls wakeUp at each shutdown signal.
func handleShutdownSignals(shutdownRequested *atomic.Bool, cancel context.CancelFunc, wakeUp func()) {
	var request shutdownRequest
	for s := range shutdownSignals {
		if request.receive(s) {
			signal.Reset(syscall.SIGINT)
			syscall.Kill(os.Getpid(), syscall.SIGINT) // the shell sees which signal ended the process
		}
		shutdownRequested.Store(true)
		cancel()
		wakeUp()
	}
}
