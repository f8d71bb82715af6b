// Package proxy implements the front: it accepts commands from clients, relays them to backends and returns the answers, all
// on one event loop. The Balancer alone decides which backend a command goes to and when it is given up.
package proxy

// This file contains the proxy's life cycle: configuration, construction, reload, the descriptor budget and readiness.

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net/netip"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"sandpass/balance"
	"sandpass/internal/loop"
	"sandpass/internal/operator"
	"sandpass/internal/settings"
	"sandpass/internal/watch"
)

const (
	baseDescriptors            = 16 // standard streams, event loop, listener, signals, discovery, the Go runtime, and a margin
	sweepIntervalSeconds       = 0.25
	reloadRetryIntervalSeconds = 0.05 // between attempts after a transient system error
	reloadRetryTimeoutSeconds  = 3.0  // a reload must be in force 4 s after SIGHUP
	summaryIntervalSeconds     = 10.0
	discoveryGraceSeconds      = 0.5  // wait for discovery before the known list is used
	readBufferShare            = 0.25 // of the memory limit; as much again may await garbage collection
	spareDivisor               = 6    // 1/spareDivisor of the descriptors is for silent and declined clients past the quota
)

// Config is the configuration that a proxy is started or reloaded with.
type Config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Ops       string           `json:"ops"` // address of the admin endpoint; empty: none
	Socket    string           `json:"-"`   // number of an inherited listening descriptor; empty: none
	State     operator.State   `json:"-"`   // snapshot folder, from the operator file
	Control   operator.Control `json:"-"`   // control replicas that supply configuration, from the operator file
	Seed      string           `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Peers          []string        `json:"peers"` // message addresses of all peers by index, including this proxy
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// ParseConfig decodes a configuration from JSON.
func ParseConfig(text []byte) (*Config, error) {
	var config Config
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	return &config, nil
}

// LoadOperatorFile adds the settings of the operator file at path. An empty path changes nothing.
func (cfg *Config) LoadOperatorFile(path string) error {
	if path == "" {
		return nil
	}
	f, err := operator.Read(path)
	if err == nil {
		cfg.State, cfg.Control = f.State, f.Control
	}
	return err
}

// Proxy is one front: its Balancer, its connections and their event loop.
type Proxy struct {
	loop           *loop.Loop
	balancer       *balance.Balancer
	timerFired     func(uint64)           // calls the Balancer's timer event
	balancerTimers map[uint64]*loop.Timer // those of the Balancer, by token
	names          settings.Names
	verbIndex      map[string]int
	customerIndex  map[string]int
	network        settings.NetworkSettings
	startConfig    *Config // configuration at the start

	listener *loop.Listener
	clients  clientConns
	backends backendPool
	watch    endpointWatch
	control  *control
	peers    peers
	admin    adminServer
	drain    drain

	handover          handover
	maintenance       maintenance
	startTimes        startTimes
	snapshot          snapshotState
	commands          map[uint64]*command
	openRequests      map[requestKey]*command // open commands by Req-Id
	recentRequests    recentRequests
	pendingClaims     map[int]func(claimResult) // callbacks for claims that wait for the other process, by number
	lastClaim         int
	lastCommandID     uint64
	scratch           []byte // reused buffer for message heads
	bodyScratch       []byte // reused buffer for the data of several chunks
	shutdown          shutdownState
	discoveryDeadline float64                // the known list is used from here on, even without discovery's first message
	shutdownSignaled  func() bool            // reports whether shutdown was requested
	pendingConfig     atomic.Pointer[Config] // set by Reload, applied on the loop
	lastReload        *Config                // the configuration applied last, or being retried
	seed              uint64
	randomCounter     uint64
	memorySample      [1]metrics.Sample
	events            eventLog

	// Counters since the last summary line.
	receivedCount, answeredCount, declinedCount, terminatedCount, departedCount, invalidCount, brokenOffCount int
	relayCount, overLimitCount                                                                                int
}

// New creates a proxy that listens and is ready to run. It retries transient system errors for at most 20 s.
func New(config *Config) (*Proxy, error) { return NewContext(context.Background(), config) }

// NewContext is like New but stops retrying when ctx ends; the error then wraps ErrStopped.
func NewContext(ctx context.Context, config *Config) (*Proxy, error) {
	control, config, err := newControl(config)
	if err != nil {
		return nil, err
	}
	p, known, err := prepare(config)
	if err != nil {
		return nil, err
	}
	p.control = control
	listenAddr, err := netip.ParseAddrPort(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := retryTransient(ctx, func() error { p.loop, err = loop.New(); return err }); err != nil {
		return nil, err
	}
	p.loop.OnStall = p.afterStall
	p.watch.Client = watch.New(p.loop, endpointWatcher{p}, watch.Config{Servers: []netip.AddrPort{p.watch.addr},
		MaxObjectBytes: maxEndpointUpdateBytes, Random: p.pseudoRandom})
	p.limitMemory(1)
	if p.balancer, _, err = settings.NewBalancer(p, p.seed, p.loop.Now(), config.Settings); err != nil {
		return nil, err
	}
	if known != nil {
		p.applyEndpoints(known)
	}
	if err := p.restoreSnapshot(known); err != nil {
		return nil, err
	}
	if err := p.listen(ctx, listenAddr); err != nil {
		return nil, err
	}
	if err := p.openPeers(ctx); err != nil {
		return nil, err
	}
	return p, retryTransient(ctx, p.listenAdmin)
}

// prepare decodes and validates the configuration into a Proxy without opening sockets. It also returns the known endpoints,
// or nil if there are none.
func prepare(config *Config) (p *Proxy, known *endpointUpdate, err error) {
	p = &Proxy{startTimes: startTimes{}, balancerTimers: map[uint64]*loop.Timer{},
		commands: map[uint64]*command{}, openRequests: map[requestKey]*command{},
		verbIndex: map[string]int{}, customerIndex: map[string]int{}}
	p.memorySample[0].Name = "/memory/classes/total:bytes"
	if len(config.Settings) == 0 {
		return nil, nil, errors.New("settings: is missing")
	}
	if p.names, p.network, err = settings.ForProxy(config.Settings); err != nil {
		return nil, nil, err
	}
	for i, v := range p.names.Verbs {
		p.verbIndex[v.Name] = i
	}
	for i, c := range p.names.Customers {
		p.customerIndex[c] = i
	}
	if p.peers, err = parsePeers(config.Peers, p.network); err != nil {
		return nil, nil, err
	}
	p.startConfig = config
	if p.seed, err = strconv.ParseUint(config.Seed, 16, 64); err != nil {
		return nil, nil, fmt.Errorf("seed: %q is not a hexadecimal number", config.Seed)
	}
	if p.watch.addr, err = netip.ParseAddrPort(config.Discovery); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	}
	if p.admin.addr, err = parseAdminAddr(config.Ops); err != nil {
		return nil, nil, err
	}
	if err := config.Control.Check(config.Name); err != nil {
		return nil, nil, err
	}
	if minSockets := p.reservedDescriptors() + baseDescriptors; config.Limits.Sockets < minSockets {
		return nil, nil, fmt.Errorf("limits: %d sockets are too few, %d are needed", config.Limits.Sockets, minSockets)
	}
	if len(config.KnownEndpoints) > 0 {
		known = &endpointUpdate{}
		if err := json.Unmarshal(config.KnownEndpoints, known); err != nil {
			return nil, nil, fmt.Errorf("known: %w", err)
		}
	}
	p.divideDescriptors(config.Limits.Sockets)
	p.backends.conns = map[*backendConn]struct{}{}
	p.backends.byName, p.backends.byID = map[string]*backend{}, map[balance.BackendID]*backend{}
	return p, known, nil
}

// reservedDescriptors returns the number of descriptors that are for neither clients nor backends.
func (p *Proxy) reservedDescriptors() int {
	reserved := baseDescriptors
	if p.admin.addr.IsValid() {
		reserved += adminDescriptors
	}
	if p.startConfig.Control.Enabled() {
		reserved += controlDescriptors
	}
	return reserved
}

// divideDescriptors divides the descriptor limit: 1/spareDivisor for clients past their quota, the rest equally between
// clients and backends. Each side closes its own idle connections first.
func (p *Proxy) divideDescriptors(sockets int) {
	available := sockets - p.reservedDescriptors()
	spare := max(1, available/spareDivisor)
	p.backends.maxConns = max(1, (available-spare)/2)
	p.clients.quota = max(1, available-spare-p.backends.maxConns)
	p.clients.limit = p.clients.quota + spare
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr }

// WakeUp wakes the event loop, so that it checks for a shutdown request. It may be called from any goroutine.
func (p *Proxy) WakeUp() { p.loop.WakeUp() }

// Reload applies a configuration that passed Check. It may be called from any goroutine and returns at once.
func (p *Proxy) Reload(config *Config) {
	if p.control.reload(config) {
		return
	}
	p.pendingConfig.Store(config)
	p.WakeUp()
}

// reloadUntil applies a configuration and retries transient system errors until the given time, unless a newer configuration
// arrives.
func (p *Proxy) reloadUntil(config *Config, until float64) {
	p.lastReload = config
	err := p.applyConfig(config)
	if err == nil || !loop.IsTransient(err) || p.loop.Now() > until {
		p.logReload(config, err)
		return
	}
	p.loop.After(reloadRetryIntervalSeconds, func() {
		if p.lastReload == config {
			p.reloadUntil(config, until)
		}
	})
}

// reload applies a configuration while the proxy serves: settings, peer addresses and the discovery address. The endpoint
// list, open commands, clients and learned values are kept. Other changes need a restart.
func (p *Proxy) reload(config *Config) error {
	p.lastReload = config
	err := p.applyConfig(config)
	p.logReload(config, err)
	return err
}

// logReload logs the result of a reload.
func (p *Proxy) logReload(config *Config, err error) {
	if err != nil {
		log.Printf("msg=reload_not_taken error=%q", err)
		return
	}
	log.Printf("msg=reloaded discovery=%s siblings=%d messages=%t keys=%t needs_start=%q", p.watch.addr, p.network.PeerCount,
		p.network.PeerMessages, p.network.KeyAffinity, p.restartOnlyChanges(config))
}

// applyConfig applies the reloadable parts of a configuration, or none of them if it returns an error.
func (p *Proxy) applyConfig(config *Config) error {
	next, _, err := prepare(config)
	if err != nil {
		return err
	}
	// Open commands and listed backends refer to names by index, so existing names keep their index.
	ownZone := -1
	if len(next.names.Zones) > 0 {
		ownZone = p.zoneIndex(next.names.Zones[next.names.OwnZone])
	}
	oldVerbIndexes, oldCustomerIndexes := []int{}, []int{}
	for _, v := range next.names.Verbs {
		oldVerbIndexes = append(oldVerbIndexes, slices.IndexFunc(p.names.Verbs,
			func(w settings.Verb) bool { return w.Name == v.Name }))
	}
	for _, c := range next.names.Customers {
		oldCustomerIndexes = append(oldCustomerIndexes, slices.Index(p.names.Customers, c))
	}
	oldPeers := p.peers
	if err := p.applyPeers(next.peers); err != nil {
		return err
	}
	if _, err := settings.Apply(p.balancer, p.loop.Now(), config.Settings,
		oldVerbIndexes, oldCustomerIndexes, ownZone); err != nil {
		p.applyPeers(oldPeers)
		return err
	}
	p.names.Verbs, p.names.Customers = next.names.Verbs, next.names.Customers
	p.verbIndex, p.customerIndex, p.network = next.verbIndex, next.customerIndex, next.network
	p.updateShutdownPlan()
	p.watchDiscovery(next.watch.addr)
	return nil
}

// restartOnlyChanges returns the names of fields that differ from the start configuration and take effect only after a restart,
// separated by spaces.
func (p *Proxy) restartOnlyChanges(config *Config) (names string) {
	for _, x := range []struct {
		name    string
		differs bool
	}{
		{"listen", config.Listen != p.startConfig.Listen}, {"ops", config.Ops != p.startConfig.Ops},
		{"limits", config.Limits != p.startConfig.Limits},
		{"seed", config.Seed != p.startConfig.Seed}, {"state", config.State != p.startConfig.State},
		{"control", !config.Control.Equal(p.startConfig.Control)},
		{"known", !bytes.Equal(config.KnownEndpoints, p.startConfig.KnownEndpoints)},
	} {
		if x.differs {
			names = strings.TrimSpace(names + " " + x.name)
		}
	}
	return names
}

// Run serves until signal reports true and every accepted command has its answer.
func (p *Proxy) Run(signal func() bool) error {
	p.shutdownSignaled = signal
	p.discoveryDeadline = p.loop.Now() + discoveryGraceSeconds
	p.control.Start(p.loop, p.applyHeldConfig)
	p.beginHandover()
	p.watch.Open()
	p.runEvery(sweepIntervalSeconds, p.sweep)
	p.runEvery(summaryIntervalSeconds, p.logSummary)
	p.runEvery(sweepIntervalSeconds, p.trackRecovery)
	p.startSnapshots()
	log.Printf("msg=serving listen=%s clients=%d backends=%d ready=%t", p.Addr(), p.clients.quota, p.backends.maxConns, p.ready())
	err := p.loop.Run(func() {
		if signaled := p.shutdownSignaled(); signaled && !p.shutdown.active {
			p.beginShutdown()
		}
		if config := p.pendingConfig.Swap(nil); config != nil {
			p.reloadUntil(config, p.loop.Now()+reloadRetryTimeoutSeconds)
		}
		p.control.RunPending()
	})
	p.logSummary()
	p.saveLastSnapshot()
	p.control.Close()
	for _, other := range p.otherProcesses() {
		other.conn.Close() // tells the other process that this one is gone
	}
	p.loop.Close()
	return err
}

// runEvery calls f on the loop at this interval, first after one interval.
func (p *Proxy) runEvery(seconds float64, f func()) {
	p.loop.After(seconds, func() {
		f()
		p.runEvery(seconds, f)
	})
}

// canRelay reports whether commands can be relayed: a backend is ready, and the list is from discovery or discovery has not
// answered in time.
func (p *Proxy) canRelay() bool {
	return p.backends.readyCount > 0 && (p.watch.Received || p.loop.Now() > p.discoveryDeadline)
}

// discoveryPending reports whether the first watch is being opened and discovery has not had time to answer. The known list is
// older than what discovery has, and a backend that has begun to drain since must get nothing new because of it.
func (p *Proxy) discoveryPending() bool {
	return !p.watch.Received && !p.watch.Lost && p.loop.Now() <= p.discoveryDeadline
}

// ready reports whether clients should be sent here. During shutdown that is the case only while a successor serves on the
// same address.
func (p *Proxy) ready() bool {
	return !p.drain.active && p.canRelay() && (!p.shutdown.active || p.handover.successorServes)
}

// acceptsClients reports whether connections are accepted. A draining proxy still accepts them.
func (p *Proxy) acceptsClients() bool {
	return p.handover.serving && !p.handover.successorServes && !p.shutdown.active
}

// sweep closes connections and watches that have exceeded their time limits.
func (p *Proxy) sweep() {
	now := p.loop.Now()
	p.sweepClients(now)
	p.sweepBodies(now)
	p.closeStaleConns()
	p.trackMemory(now)
	p.watch.CheckLiveness(now)
	p.control.CheckLiveness(now)
}

// onDescriptorShortage closes idle connections when the system has no descriptor left.
func (p *Proxy) onDescriptorShortage() {
	log.Printf("msg=no_descriptor clients=%d links=%d", p.clients.count, len(p.backends.conns))
	for range 8 {
		p.closeOldestIdleConn()
		p.evictClient()
	}
}

// pseudoRandom returns a number in [0, 1) derived from the seed and a counter. It is used for jitter.
func (p *Proxy) pseudoRandom() float64 {
	var input [16]byte
	p.randomCounter++
	binary.LittleEndian.PutUint64(input[:], p.seed)
	binary.LittleEndian.PutUint64(input[8:], p.randomCounter)
	h := fnv.New32a()
	h.Write(input[:])
	return float64(h.Sum32()) / (1 << 32)
}
