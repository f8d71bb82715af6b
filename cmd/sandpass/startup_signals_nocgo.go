//go:build !cgo

package main

// restoreStartupSignals does nothing: without cgo no signal handlers are installed before the Go runtime's.
func restoreStartupSignals() {}
