// This file contains the steps of a start that need kernel resources; they are retried after transient errors. They block, so
// they must not be used once the loop runs.

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
	startRetryInterval = 20 * time.Millisecond // between two attempts
	startRetryTimeout  = 20 * time.Second      // then the start fails; a process must be ready after 30 s
)

// ErrStopped is wrapped in the error of NewContext when its context ends during a retry.
var ErrStopped = errors.New("shutdown requested during startup")

// retryTransient calls step until it succeeds, fails with a permanent error, or startRetryTimeout has passed.
func retryTransient(ctx context.Context, step func() error) error {
	began, logged := time.Now(), ""
	for {
		err := step()
		if err == nil || !loop.IsTransient(err) || time.Since(began) > startRetryTimeout {
			return err
		}
		if text := err.Error(); text != logged {
			log.Printf("msg=start_waits error=%q", text)
			logged = text
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w (%w)", err, ErrStopped)
		case <-time.After(startRetryInterval):
		}
	}
}

// listen opens the listener for clients, or adopts the inherited one.
func (p *Proxy) listen(ctx context.Context, addr netip.AddrPort) error {
	fd, err := parseSocketFD(p.startConfig.Socket)
	if err != nil {
		return err
	}
	if fd < 0 {
		return retryTransient(ctx, func() (err error) {
			p.listener, err = p.loop.Listen(addr, http1.MaxBufferedCommand, p.canAcceptClient, p.acceptClient,
				p.onDescriptorShortage)
			return err
		})
	}
	if p.listener, err = p.loop.ListenInherited(fd, addr, http1.MaxBufferedCommand, p.canAcceptClient, p.acceptClient,
		p.onDescriptorShortage); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	p.handover.socketPath = handoverSocketPath(p.listener.Addr.String())
	return nil
}

// openPeers opens the socket for peer messages. With an inherited listener, the predecessor may still hold the address; the
// socket is then opened later, once the predecessor has released it.
func (p *Proxy) openPeers(ctx context.Context) error {
	return retryTransient(ctx, func() error {
		err := p.applyPeers(p.peers)
		if p.handover.socketPath != "" && errors.Is(err, unix.EADDRINUSE) {
			return nil
		}
		return err
	})
}
