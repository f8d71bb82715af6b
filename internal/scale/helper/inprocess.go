package helper

import (
	"bytes"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"sandpass/internal/proxy"
)

const (
	operationTimeout = 10 * time.Second
	pollInterval     = time.Millisecond
	memoryLimitBytes = 8 << 30 // soft limit for the garbage collector
)

// inProcessHelper is the helper that runs many proxies in one process. Each is a complete proxy.Proxy with its event loop,
// watches, sockets and timers. It receives no calls, except in the comparison with proxies that
// have processes of their own, and differs from them in nothing else.
type inProcessHelper struct {
	proxies []*runningProxy
	reloads reloadLog
}

// reloadLog is the log output of all proxies. It records when a configuration came into force at any of them.
type reloadLog struct {
	mu sync.Mutex
	at []float64 // Unix times in seconds
}

var reloadedMarker = []byte("msg=reloaded ")

// Write receives one line of the log.
func (l *reloadLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, reloadedMarker) {
		now := float64(time.Now().UnixNano()) / 1e9
		l.mu.Lock()
		l.at = append(l.at, now)
		l.mu.Unlock()
	}
	return len(line), nil
}

// timesAfter returns all recorded times but the first n.
func (l *reloadLog) timesAfter(n int) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]float64(nil), l.at[min(n, len(l.at)):]...)
}

// runningProxy is one proxy with the goroutine that runs it. Its proxy is nil where it is not run.
type runningProxy struct {
	proxy         *proxy.Proxy
	stopRequested atomic.Bool
	done          chan struct{}
	err           error
}

// handle handles one request.
func (h *inProcessHelper) handle(r *Request) (*Response, error) {
	switch {
	case r.Start != nil:
		return nil, h.start(r.Start)
	case r.Reload != nil:
		return h.reload(r.Reload)
	case len(r.Stop) > 0:
		return nil, h.stop(r.Stop)
	case r.AppliedSince != nil:
		return &Response{AppliedAt: h.reloads.timesAfter(*r.AppliedSince)}, nil
	case r.FreeMemory:
		debug.FreeOSMemory()
		return nil, nil
	}
	return nil, errors.New("request not supported by the helper for in-process proxies")
}

// start starts a proxy for each configuration.
func (h *inProcessHelper) start(r *Start) error {
	if len(r.OperatorFiles) != 0 && len(r.OperatorFiles) != len(r.Configs) {
		return errors.New("the number of operator files must be zero or equal to the number of configurations")
	}
	debug.SetMemoryLimit(memoryLimitBytes)
	for i, text := range r.Configs {
		config, err := proxy.ParseConfig(text)
		if err != nil {
			return err
		}
		if len(r.OperatorFiles) > 0 && r.OperatorFiles[i] != "" {
			if err := config.LoadOperatorFile(r.OperatorFiles[i]); err != nil {
				return err
			}
		}
		m := &runningProxy{done: make(chan struct{})}
		h.proxies = append(h.proxies, m)
		if r.SeedDefect {
			close(m.done)
			continue
		}
		if m.proxy, err = proxy.New(config); err != nil {
			close(m.done)
			return fmt.Errorf("%s: %w", config.Name, err)
		}
		go func() {
			defer close(m.done)
			m.err = m.proxy.Run(m.stopRequested.Load)
		}()
	}
	return nil
}

// reload gives proxies new configurations as SIGHUP does: they are parsed, checked and passed to the event loop. It returns
// when the last one is in force.
func (h *inProcessHelper) reload(r *Reload) (*Response, error) {
	if len(r.Proxies) != len(r.Configs) {
		return nil, errors.New("the number of configurations must be equal to the number of proxies")
	}
	before := len(h.reloads.timesAfter(0))
	failures := make([]error, len(r.Proxies))
	var wait sync.WaitGroup
	for i, n := range r.Proxies {
		if n < 0 || n >= len(h.proxies) || h.proxies[n].proxy == nil {
			return nil, fmt.Errorf("in-process proxy %d does not exist", n)
		}
		wait.Go(func() {
			config, err := proxy.ParseConfig(r.Configs[i])
			if err == nil {
				err = proxy.Check(config)
			}
			if failures[i] = err; err == nil {
				h.proxies[n].proxy.Reload(config)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(operationTimeout); ; time.Sleep(pollInterval) {
		at := h.reloads.timesAfter(before)
		if len(at) >= len(r.Proxies) {
			return &Response{AppliedAt: at}, nil
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("only %d of %d proxies have applied their configurations within %v", len(at), len(r.Proxies),
				operationTimeout)
		}
	}
}

// stop stops proxies at once, as a kill would: their sockets are closed without waiting for open calls.
func (h *inProcessHelper) stop(proxies []int) error {
	for _, n := range proxies {
		if n < 0 || n >= len(h.proxies) {
			return fmt.Errorf("in-process proxy %d does not exist", n)
		}
		m := h.proxies[n]
		if m.stopRequested.Swap(true) || m.proxy == nil {
			continue
		}
		m.proxy.WakeUp()
	}
	deadline := time.After(operationTimeout)
	for _, n := range proxies {
		select {
		case <-h.proxies[n].done:
		case <-deadline:
			return fmt.Errorf("in-process proxy %d did not end within %v", n, operationTimeout)
		}
	}
	return nil
}

// stopAll requests all proxies to stop.
func (h *inProcessHelper) stopAll() {
	for _, m := range h.proxies {
		m.stopRequested.Store(true) // the process is about to end, and the system closes the sockets
	}
}
