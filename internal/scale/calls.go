package scale

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sandpass/internal/scale/standin"
	"sandpass/internal/testbed"
)

const connectionsPerProxy = 2 // client connections to each proxy

// startBackends starts the stand-in for the backend of each machine.
func (d *Deployment) startBackends() error {
	for i := range d.plan.Fleet.Proxies {
		b, err := standin.NewBackend(d.addresses.at(i, backendPort), nil)
		if err != nil {
			return err
		}
		d.backends = append(d.backends, b)
	}
	return nil
}

// sendCalls sends calls to each of the proxies at a rate, evenly spaced, for a number of seconds. It returns how many
// succeeded and how many failed.
func (d *Deployment) sendCalls(ctx context.Context, proxies []int, perSecond, seconds float64) (succeeded, failed int) {
	var sentCount, failedCount atomic.Int64
	var wait sync.WaitGroup
	total := int64(perSecond * seconds)
	started := time.Now()
	for _, i := range proxies {
		var next atomic.Int64
		for range connectionsPerProxy {
			wait.Go(func() {
				caller := testbed.NewCaller(d.addresses.at(i, proxyPort))
				defer caller.Close()
				for n := next.Add(1) - 1; n < total; n = next.Add(1) - 1 {
					due := started.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
					if sleep(ctx, time.Until(due)) != nil {
						return
					}
					sentCount.Add(1)
					if caller.Call() != nil {
						failedCount.Add(1)
					}
				}
			})
		}
	}
	wait.Wait()
	return int(sentCount.Load() - failedCount.Load()), int(failedCount.Load())
}
