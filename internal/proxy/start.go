// This file owns the steps of a start that need something of the kernel: they are made again while that lacks for a moment.
// It must never be used once the loop runs, which may not wait.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	startRetryPause = 20 * time.Millisecond // between two tries of a step
	startRetryFor   = 20 * time.Second      // after which the start fails: any process must be ready after 30 s
)

// ErrStopped is in what NewContext returns when its context ends while it waits for the kernel.
var ErrStopped = errors.New("asked to end before it was started")

// startStep makes a step of the start, again and again while its failure is one that passes.
func startStep(ctx context.Context, step func() error) error {
	began := time.Now()
	for tries := 0; ; tries++ {
		err := step()
		if err == nil || !loop.IsTransient(err) || time.Since(began) > startRetryFor {
			return err
		}
		if tries == 0 {
			log.Printf("msg=start_waits error=%q", err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w (%w)", err, ErrStopped)
		case <-time.After(startRetryPause):
		}
	}
}

// listen opens the clients' listener, or takes the inherited one over.
func (p *Proxy) listen(ctx context.Context, at netip.AddrPort) error {
	fd, err := parseSocketFD(p.startConfig.Socket)
	if err != nil {
		return err
	}
	if fd < 0 {
		return startStep(ctx, func() (err error) {
			p.listener, err = p.loop.Listen(at, http1.MaxBufferedCommand, p.roomForClient, p.accept, p.onDescriptorShortage)
			return err
		})
	}
	if p.listener, err = p.loop.ListenInherited(fd, at, http1.MaxBufferedCommand, p.roomForClient, p.accept, p.onDescriptorShortage); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	p.handover.path = handoverSocketPath(p.listener.Address.String())
	return nil
}

// openPeers opens the socket for messages. With an inherited listener a process before this one may still have its address;
// then it is taken once that has let it go.
func (p *Proxy) openPeers(ctx context.Context) error {
	return startStep(ctx, func() error {
		err := p.applyPeers(p.peers)
		if p.handover.path != "" && errors.Is(err, unix.EADDRINUSE) {
			return nil
		}
		return err
	})
}
