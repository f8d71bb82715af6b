// This file adds stress to a rolling restart for the soak test: repeated signals, idle clients and, by the fault rules that the
// program is started with, failing system calls and wrong clocks. All of it is determined by the seed.

package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"sandpass/internal/faultinject"
)

const (
	idleReconnectDelay   = 500 * time.Millisecond // after the connection of an idle client was closed
	maxIdleClients       = 150                    // idle clients per proxy
	tightDescriptorLimit = 128                    // descriptors of a proxy, which idle clients exhaust
	maxExtraSignals      = 4                      // in addition to the SIGTERM
)

// Stress is the additional stress on proxy processes. The zero value is none.
type Stress struct {
	FaultRules      string // rules of internal/faultinject; need a program that supports them
	ExtraSignals    bool   // repeated SIGTERM, SIGINT and SIGHUP while a process stops
	IdleClients     int    // clients per proxy that send nothing
	DescriptorLimit int    // descriptor limit of a proxy, 0: the default of 4096
	KeepSnapshots   bool   // proxies store snapshots on a disk that fails by the fault rules
}

// RandomStress draws the stress for a seed.
func RandomStress(seed uint64) Stress {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	rules := []string{fmt.Sprintf("seed=%d", seed)}
	maybe := func(probability float64, alternatives ...string) {
		if rng.Float64() < probability {
			rules = append(rules, alternatives[rng.IntN(len(alternatives))])
		}
	}
	maybe(0.5, "epoll_ctl%31=ENOMEM", "epoll_ctl%13=ENOSPC")
	maybe(0.5, "accept%17=ECONNABORTED", "accept%13=EPROTO", "accept%11=ENFILE", "accept%23=ENETDOWN")
	maybe(0.4, "socket%19=ENFILE", "socket%29=ENOBUFS", "connect%29=EADDRNOTAVAIL", "connect%23=ENETUNREACH")
	maybe(0.5, "read%13=1", "read%17=EINTR", "read%19=ENOMEM")
	maybe(0.5, "write%13=3", "write%17=EINTR", "write%19=ENOBUFS")
	maybe(0.3, "epoll_wait%11=EINTR")
	maybe(0.5, "socket@1=ENFILE", "bind@1-3=EADDRNOTAVAIL", "listen@1=EADDRINUSE", "epoll_create@1=ENOMEM")
	maybe(0.4, "clock~10", "clock~3600")
	s := Stress{ExtraSignals: rng.Float64() < 0.7, KeepSnapshots: rng.Float64() < 0.4}
	if s.KeepSnapshots {
		maybe(0.7, "sync_file%5=EIO", "write_file%5=ENOSPC", "create_file%3=ENOSPC")
	}
	if rng.Float64() < 0.4 {
		s.IdleClients, s.DescriptorLimit = 1+rng.IntN(maxIdleClients), tightDescriptorLimit
	}
	s.FaultRules = strings.Join(rules, ",")
	return s
}

// environment returns the environment variables that pass the fault rules to a process.
func (s Stress) environment() []string {
	if s.FaultRules == "" {
		return nil
	}
	return []string{faultinject.Env + "=" + s.FaultRules}
}

// sendExtraSignals sends further signals to a process that is asked to stop. They are drawn by its serial number and come before
// the kill.
func (s Stress) sendExtraSignals(p *process, seed uint64, seconds float64) {
	if !s.ExtraSignals {
		return
	}
	rng := rand.New(rand.NewPCG(seed, uint64(p.serial)))
	for range rng.IntN(maxExtraSignals + 1) {
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[rng.IntN(3)]
		delay := time.Duration(rng.Float64() * seconds * float64(time.Second))
		time.AfterFunc(delay, func() { p.signal(signal) })
	}
}

// runIdleClients keeps idle connections open to each proxy until the run ends.
func (h *Harness) runIdleClients(runCtx context.Context, tasks *sync.WaitGroup) {
	for n := range h.Stress.IdleClients * len(h.proxies) {
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(h.seed, 0x69646c65+uint64(n)))
			for runCtx.Err() == nil {
				p := h.chooseProxy(n%h.world.Zones, rng.Float64())
				if p != nil {
					holdIdleConn(runCtx, p.listen)
				}
				select {
				case <-time.After(idleReconnectDelay):
				case <-runCtx.Done():
				}
			}
		})
	}
}

// holdIdleConn holds one connection until the proxy closes it or the run ends.
func holdIdleConn(runCtx context.Context, addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(runCtx, func() { conn.Close() })()
	conn.Read(make([]byte, 1))
}
