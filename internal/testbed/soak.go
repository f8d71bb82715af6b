// This file owns what is added to a rolling restart on a soak: signals in series, idle clients, and, by the rules that the
// program under test is started with, calls that fail and clocks that are off. It must never have a process suffer what the
// seed does not say.

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
	idleReturn   = 500 * time.Millisecond // after which an idle client that was closed comes again
	idleMost     = 150                    // idle clients to a proxy
	tightSockets = 128                    // descriptors of a proxy that they fill
	signalsMost  = 4                      // beside the SIGTERM
)

// Strain is what processes suffer beside the restart. The zero value is nothing.
type Stress struct {
	FaultRules      string // of internal/injected; needs a program that knows them
	ExtraSignals    bool   // SIGTERM more than once, SIGINT and SIGHUP around it
	IdleClients     int    // clients that say nothing, to each proxy
	DescriptorLimit int    // descriptors that a proxy may hold, 0: plenty
	KeepSnapshots   bool   // proxies keep what they know on a disk, which fails by the rules
}

// Strained draws a strain.
func RandomStress(seed uint64) Stress {
	chance := rand.New(rand.NewPCG(seed, 0x736f616b))
	rules := []string{fmt.Sprintf("seed=%d", seed)}
	perhaps := func(part float64, all ...string) {
		if chance.Float64() < part {
			rules = append(rules, all[chance.IntN(len(all))])
		}
	}
	perhaps(0.5, "epoll_ctl%31=ENOMEM", "epoll_ctl%13=ENOSPC")
	perhaps(0.5, "accept%17=ECONNABORTED", "accept%13=EPROTO", "accept%11=ENFILE", "accept%23=ENETDOWN")
	perhaps(0.4, "socket%19=ENFILE", "socket%29=ENOBUFS", "connect%29=EADDRNOTAVAIL", "connect%23=ENETUNREACH")
	perhaps(0.5, "read%13=1", "read%17=EINTR", "read%19=ENOMEM")
	perhaps(0.5, "write%13=3", "write%17=EINTR", "write%19=ENOBUFS")
	perhaps(0.3, "epoll_wait%11=EINTR")
	perhaps(0.5, "socket@1=ENFILE", "bind@1-3=EADDRNOTAVAIL", "listen@1=EADDRINUSE", "epoll_create@1=ENOMEM")
	perhaps(0.4, "clock~10", "clock~3600")
	s := Stress{ExtraSignals: chance.Float64() < 0.7, KeepSnapshots: chance.Float64() < 0.4}
	if s.KeepSnapshots {
		perhaps(0.7, "sync_file%5=EIO", "write_file%5=ENOSPC", "create_file%3=ENOSPC")
	}
	if chance.Float64() < 0.4 {
		s.IdleClients, s.DescriptorLimit = 1+chance.IntN(idleMost), tightSockets
	}
	s.FaultRules = strings.Join(rules, ",")
	return s
}

// environment has a process suffer it.
func (s Stress) environment() []string {
	if s.FaultRules == "" {
		return nil
	}
	return []string{faultinject.Env + "=" + s.FaultRules}
}

// signals sends a process that is asked to end a series of further signals, drawn by its number, until the kill comes.
func (s Stress) signals(p *process, seed uint64, within float64) {
	if !s.ExtraSignals {
		return
	}
	chance := rand.New(rand.NewPCG(seed, uint64(p.serial)))
	for range chance.IntN(signalsMost + 1) {
		which := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[chance.IntN(3)]
		after := time.Duration(chance.Float64() * within * float64(time.Second))
		time.AfterFunc(after, func() { p.signal(which) })
	}
}

// idle keeps so many connections open to each proxy that carry nothing, for as long as the day lasts.
func (r *Harness) idle(day context.Context, all *sync.WaitGroup) {
	for n := range r.Stress.IdleClients * len(r.fronts) {
		all.Go(func() {
			chance := rand.New(rand.NewPCG(r.seed, 0x69646c65+uint64(n)))
			for day.Err() == nil {
				p := r.choose(n%r.world.Zones, chance.Float64())
				if p != nil {
					rest(day, p.listen)
				}
				select {
				case <-time.After(idleReturn):
				case <-day.Done():
				}
			}
		})
	}
}

// rest holds one connection until the other side closes it.
func rest(day context.Context, at string) {
	conn, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(day, func() { conn.Close() })()
	conn.Read(make([]byte, 1))
}
