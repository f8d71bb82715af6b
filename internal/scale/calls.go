package scale

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sandpass/internal/scale/standin"
	"sandpass/internal/testbed"
)

const connectionsPerProxy = 2 // connections on which calls come to a proxy

// startBackends starts the stand-in for the backend on each machine.
func (r *Deployment) startBackends() error {
	for i := range r.plan.Fleet.Proxies {
		b, err := standin.NewBackend(r.addresses.at(i, backendPort), nil)
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
	}
	return nil
}

// call has calls come to proxies at a rate each for a while, evenly spaced. It gives how many ended well and how many not.
func (r *Deployment) sendCalls(ctx context.Context, proxies []int, perSecond, seconds float64) (good, bad int) {
	var ended, failed atomic.Int64
	var wait sync.WaitGroup
	total := int64(perSecond * seconds)
	started := time.Now()
	for _, i := range proxies {
		var next atomic.Int64
		for range connectionsPerProxy {
			wait.Go(func() {
				caller := testbed.NewCaller(r.addresses.at(i, proxyPort))
				defer caller.Close()
				for n := next.Add(1) - 1; n < total; n = next.Add(1) - 1 {
					due := started.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
					if sleep(ctx, time.Until(due)) != nil {
						return
					}
					ended.Add(1)
					if caller.Once() != nil {
						failed.Add(1)
					}
				}
			})
		}
	}
	wait.Wait()
	return int(ended.Load() - failed.Load()), int(failed.Load())
}
