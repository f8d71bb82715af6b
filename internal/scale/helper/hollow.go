package helper

import (
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
	memoryCeiling = 8 << 30 // bytes from which the collector of the process works harder
)

// hollow is the helper that has many proxies in one process. Each is a whole proxy.Proxy with its loop, watch, sockets and
// timers; that no calls come to it is all that sets it apart.
type hollow struct {
	proxies []*member
}

// member is one proxy.
type member struct {
	proxy *proxy.Proxy
	asked atomic.Bool
	ended chan struct{}
	err   error
}

func (h *hollow) handle(r *Request) (*Answer, error) {
	switch {
	case r.Start != nil:
		return nil, h.start(r.Start)
	case r.Reload != nil:
		return h.reload(r.Reload)
	case len(r.Stop) > 0:
		return nil, h.stop(r.Stop)
	case r.Collect:
		debug.FreeOSMemory()
		return nil, nil
	}
	return nil, errors.New("hollow proxies do not know this request")
}

func (h *hollow) start(r *Start) error {
	if len(r.Operators) != 0 && len(r.Operators) != len(r.Launches) {
		return errors.New("as many operators' files as configurations are needed, or none")
	}
	debug.SetMemoryLimit(memoryCeiling)
	for i, text := range r.Launches {
		launch, err := proxy.Read(text)
		if err != nil {
			return err
		}
		if len(r.Operators) > 0 {
			if err := launch.Heed(r.Operators[i]); err != nil {
				return err
			}
		}
		m := &member{ended: make(chan struct{})}
		h.proxies = append(h.proxies, m)
		if r.Idle {
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
func (h *hollow) reload(r *Reload) (*Answer, error) {
	if len(r.Proxies) != len(r.Launches) {
		return nil, errors.New("as many configurations as proxies are needed")
	}
	answer := &Answer{InForce: make([]float64, len(r.Proxies))}
	failures := make([]error, len(r.Proxies))
	var wait sync.WaitGroup
	for i, n := range r.Proxies {
		if n < 0 || n >= len(h.proxies) || h.proxies[n].proxy == nil {
			return nil, fmt.Errorf("hollow proxy %d is not there", n)
		}
		wait.Go(func() {
			launch, err := proxy.Read(r.Launches[i])
			if err == nil {
				err = proxy.Check(launch)
			}
			if failures[i] = err; err == nil {
				h.proxies[n].proxy.Reload(launch)
			}
			answer.InForce[i] = float64(time.Now().UnixNano()) / 1e9
		})
	}
	wait.Wait()
	return answer, errors.Join(failures...)
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
		m.proxy.Ring()
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
