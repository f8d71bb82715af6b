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
	stopWithin    = 10 * time.Second
	lookEvery     = time.Millisecond
	memoryCeiling = 8 << 30 // bytes from which the collector of the process works harder
)

// hollow is the helper that has many proxies in one process. Each is a whole proxy.Proxy with its loop, watch, sockets and
// timers; that no calls come to it is all that sets it apart.
type hollow struct {
	proxies []*member
	log     takenOver
}

// takenOver reads the log of all proxies and notes when a configuration came into force at one.
type takenOver struct {
	mu sync.Mutex
	at []float64 // Unix time in seconds
}

var reloadedLine = []byte("msg=reloaded ")

// Write takes a line of the log.
func (t *takenOver) Write(line []byte) (int, error) {
	if bytes.Contains(line, reloadedLine) {
		now := float64(time.Now().UnixNano()) / 1e9
		t.mu.Lock()
		t.at = append(t.at, now)
		t.mu.Unlock()
	}
	return len(line), nil
}

// times are those since a number of them, which were known before.
func (t *takenOver) times(since int) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]float64(nil), t.at[min(since, len(t.at)):]...)
}

// member is one proxy.
type member struct {
	proxy *proxy.Proxy
	asked atomic.Bool
	ended chan struct{}
	err   error
}

func (h *hollow) handle(r *Request) (*Response, error) {
	switch {
	case r.Start != nil:
		return nil, h.start(r.Start)
	case r.Reload != nil:
		return h.reload(r.Reload)
	case len(r.Stop) > 0:
		return nil, h.stop(r.Stop)
	case r.AppliedSince != nil:
		return &Response{AppliedAt: h.log.times(*r.AppliedSince)}, nil
	case r.FreeMemory:
		debug.FreeOSMemory()
		return nil, nil
	}
	return nil, errors.New("hollow proxies do not know this request")
}

func (h *hollow) start(r *Start) error {
	if len(r.OperatorFiles) != 0 && len(r.OperatorFiles) != len(r.Configs) {
		return errors.New("as many operators' files as configurations are needed, or none")
	}
	debug.SetMemoryLimit(memoryCeiling)
	for i, text := range r.Configs {
		launch, err := proxy.ParseConfig(text)
		if err != nil {
			return err
		}
		if len(r.OperatorFiles) > 0 && r.OperatorFiles[i] != "" {
			if err := launch.LoadOperatorFile(r.OperatorFiles[i]); err != nil {
				return err
			}
		}
		m := &member{ended: make(chan struct{})}
		h.proxies = append(h.proxies, m)
		if r.SeedDefect {
			close(m.ended)
			continue
		}
		if m.proxy, err = proxy.New(launch); err != nil {
			close(m.ended)
			return fmt.Errorf("%s: %w", launch.Name, err)
		}
		go func() {
			defer close(m.ended)
			m.err = m.proxy.Run(m.asked.Load)
		}()
	}
	return nil
}

// reload has proxies turn to configurations as SIGHUP does: read, checked, handed to the loop. It answers when the last
// loop has taken its own over.
func (h *hollow) reload(r *Reload) (*Response, error) {
	if len(r.Proxies) != len(r.Configs) {
		return nil, errors.New("as many configurations as proxies are needed")
	}
	before := len(h.log.times(0))
	failures := make([]error, len(r.Proxies))
	var wait sync.WaitGroup
	for i, n := range r.Proxies {
		if n < 0 || n >= len(h.proxies) || h.proxies[n].proxy == nil {
			return nil, fmt.Errorf("hollow proxy %d is not there", n)
		}
		wait.Go(func() {
			launch, err := proxy.ParseConfig(r.Configs[i])
			if err == nil {
				err = proxy.Check(launch)
			}
			if failures[i] = err; err == nil {
				h.proxies[n].proxy.Reload(launch)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(stopWithin); ; time.Sleep(lookEvery) {
		at := h.log.times(before)
		if len(at) >= len(r.Proxies) {
			return &Response{AppliedAt: at}, nil
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%d of %d hollow proxies have turned to their configurations after %v", len(at), len(r.Proxies),
				stopWithin)
		}
	}
}

// stop ends proxies at once, as a kill would: their sockets are closed and nothing is waited for.
func (h *hollow) stop(proxies []int) error {
	for _, n := range proxies {
		if n < 0 || n >= len(h.proxies) {
			return fmt.Errorf("hollow proxy %d is not there", n)
		}
		m := h.proxies[n]
		if m.asked.Swap(true) || m.proxy == nil {
			continue
		}
		m.proxy.WakeUp()
	}
	deadline := time.After(stopWithin)
	for _, n := range proxies {
		select {
		case <-h.proxies[n].ended:
		case <-deadline:
			return fmt.Errorf("hollow proxy %d did not end within %v", n, stopWithin)
		}
	}
	return nil
}

func (h *hollow) stopAll() {
	for _, m := range h.proxies {
		m.asked.Store(true) // the process ends, and the system closes its sockets
	}
}
