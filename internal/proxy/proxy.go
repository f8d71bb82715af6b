// Package proxy is the front for the platform's protocol: it carries commands between clients, the Balancer and
// backends on one loop. This file owns the proxy's life: its parts, the descriptor budget and readiness.
// It must never decide where a command goes or whether it is given up; that is the Balancer's.
package proxy

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
	baseDescriptors       = 16   // standard ones, loop, listener, signals, discovery, Go's own, and some to spare
	sweepIntervalSeconds  = 0.25 // seconds between looks at what has stood too long
	reloadPause           = 0.05 // seconds between tries of a reload for which the system lacks something
	reloadRetryFor        = 3.0  // and in which it is tried: it counts 4 s after SIGHUP
	summaryEvery          = 10.0 // seconds between lines in the log
	discoveryGraceSeconds = 0.5  // seconds that discovery has to say what is new before the known list will do
	readBufferShare       = 0.25 // of the memory that grown read buffers may fill: as much again waits for the collector
	spareShare            = 6    // one in so many descriptors is for clients past their part: silent ones, and who is declined
)

// Launch is a proxy's configuration as the operators write it.
type Config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Ops       string           `json:"ops"` // where operators call, if they can
	Socket    string           `json:"-"`   // the inherited descriptor that listens, if there is one
	State     operator.State   `json:"-"`   // where it keeps what it knows, in the operators' own file
	Control   operator.Control `json:"-"`   // where it has its configuration from beside this, in the same file
	Seed      string           `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Peers          []string        `json:"peers"` // addresses of all peers by number, this one's too, for messages
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// Read decodes a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var l Config
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// Heed takes what the operators say in a file of their own, if there is one.
func (l *Config) LoadOperatorFile(path string) error {
	if path == "" {
		return nil
	}
	f, err := operator.Read(path)
	if err == nil {
		l.State, l.Control = f.State, f.Control
	}
	return err
}

// Proxy is one front with its Balancer.
type Proxy struct {
	loop          *loop.Loop
	balancer      *balance.Balancer
	wake          func(uint64) // tells it that a time has come
	names         settings.Names
	verbIndex     map[string]int
	customerIndex map[string]int
	network       settings.NetworkSettings
	startConfig   *Config // as it was started

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
	commandsByReqID   map[string]*command // the same by their Req-Id
	lastID            uint64
	scratch           []byte // heads are put together here
	shutdown          shutdownState
	discoveryDeadline float64                // until when the first message of discovery is waited for
	signal            func() bool            // tells that the end was asked for
	reloaded          atomic.Pointer[Config] // a configuration to turn to
	reloading         *Config                // the one turned to last, or being tried
	seed              uint64
	draws             uint64
	memory            [1]metrics.Sample

	receivedCount, answeredCount, declinedCount, terminatedCount, departedCount, invalidCount, brokenOffCount int // since the last summary
	relayCount, overLimitCount                                                                                int
}

// New makes a proxy from its configuration, listening and ready to run. What the kernel lacks for a moment it waits for, 20 s
// at most.
func New(l *Config) (*Proxy, error) { return NewContext(context.Background(), l) }

// NewContext is New for a process that may be asked to end meanwhile: once the context ends it waits no longer, and the
// error is ErrStopped.
func NewContext(ctx context.Context, l *Config) (*Proxy, error) {
	control, l, err := newControl(l)
	if err != nil {
		return nil, err
	}
	p, known, err := prepare(l)
	if err != nil {
		return nil, err
	}
	p.control = control
	at, err := netip.ParseAddrPort(l.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := startStep(ctx, func() error { p.loop, err = loop.New(); return err }); err != nil {
		return nil, err
	}
	p.loop.OnStall = p.afterStall
	p.watch.Client = watch.New(p.loop, endpointWatcher{p}, watch.Config{Servers: []netip.AddrPort{p.watch.addr}, MaxObjectBytes: maxEndpointUpdateBytes, Random: p.pseudoRandom})
	p.limitMemory(1)
	if p.balancer, _, err = settings.NewBalancer(p, p.seed, p.loop.Now(), l.Settings); err != nil {
		return nil, err
	}
	if known != nil {
		p.applyEndpoints(known)
	}
	if err := p.restoreSnapshot(known); err != nil {
		return nil, err
	}
	if err := p.listen(ctx, at); err != nil {
		return nil, err
	}
	if err := p.openPeers(ctx); err != nil {
		return nil, err
	}
	return p, startStep(ctx, p.listenAdmin)
}

// prepare decodes everything that a start can fail on but the sockets.
func prepare(l *Config) (p *Proxy, known *endpointUpdate, err error) {
	p = &Proxy{startTimes: startTimes{}, commands: map[uint64]*command{}, commandsByReqID: map[string]*command{}, verbIndex: map[string]int{}, customerIndex: map[string]int{}}
	p.memory[0].Name = "/memory/classes/total:bytes"
	if len(l.Settings) == 0 {
		return nil, nil, errors.New("settings: is missing")
	}
	if p.names, p.network, err = settings.ForProxy(l.Settings); err != nil {
		return nil, nil, err
	}
	for i, v := range p.names.Verbs {
		p.verbIndex[v.Name] = i
	}
	for i, c := range p.names.Customers {
		p.customerIndex[c] = i
	}
	if p.peers, err = parsePeers(l.Peers, p.network); err != nil {
		return nil, nil, err
	}
	p.startConfig = l
	if p.seed, err = strconv.ParseUint(l.Seed, 16, 64); err != nil {
		return nil, nil, fmt.Errorf("seed: %q is not a hexadecimal number", l.Seed)
	}
	if p.watch.addr, err = netip.ParseAddrPort(l.Discovery); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	}
	if p.admin.addr, err = parseAdminAddr(l.Ops); err != nil {
		return nil, nil, err
	}
	if err := l.Control.Check(l.Name); err != nil {
		return nil, nil, err
	}
	if least := p.reservedDescriptors() + baseDescriptors; l.Limits.Sockets < least {
		return nil, nil, fmt.Errorf("limits: %d sockets are too few, %d are needed", l.Limits.Sockets, least)
	}
	if len(l.KnownEndpoints) > 0 {
		known = &endpointUpdate{}
		if err := json.Unmarshal(l.KnownEndpoints, known); err != nil {
			return nil, nil, fmt.Errorf("known: %w", err)
		}
	}
	p.divideDescriptors(l.Limits.Sockets)
	p.backends.conns = map[*backendConn]struct{}{}
	p.backends.byName, p.backends.byID = map[string]*backend{}, map[balance.BackendID]*backend{}
	return p, known, nil
}

// own is how many descriptors are for neither clients nor backends.
func (p *Proxy) reservedDescriptors() int {
	own := baseDescriptors
	if p.admin.addr.IsValid() {
		own += adminDescriptors
	}
	if p.startConfig.Control.Enabled() {
		own += controlDescriptors
	}
	return own
}

// share parts the descriptors: one in spareShare for clients past their part, the rest half and half for clients and
// backends. Each side reclaims its own idle ones first.
func (p *Proxy) divideDescriptors(sockets int) {
	all := sockets - p.reservedDescriptors()
	spare := max(1, all/spareShare)
	p.backends.maxConns = max(1, (all-spare)/2)
	p.clients.quota = max(1, all-spare-p.backends.maxConns)
	p.clients.limit = p.clients.quota + spare
}

// At is the address that it listens at.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Address }

// Ring has the loop look at signal soon; it may be called from any goroutine.
func (p *Proxy) WakeUp() { p.loop.WakeUp() }

// Reload has the loop turn to a configuration that Check found good; it may be called from any goroutine.
func (p *Proxy) Reload(l *Config) {
	if p.control.reload(l) {
		return
	}
	p.reloaded.Store(l)
	p.WakeUp()
}

// reloadWithin turns to a configuration, again and again until then while the system lacks something for it, unless a newer one
// has come.
func (p *Proxy) reloadWithin(l *Config, until float64) {
	p.reloading = l
	err := p.turnWhole(l)
	if err == nil || !loop.IsTransient(err) || p.loop.Now() > until {
		p.logReload(l, err)
		return
	}
	p.loop.After(reloadPause, func() {
		if p.reloading == l {
			p.reloadWithin(l, until)
		}
	})
}

// reload turns to a configuration while commands are open: settings, the peers' addresses and where discovery is. The
// list, open commands, clients and what was learned stay; for the rest the process is started anew.
func (p *Proxy) reload(l *Config) error {
	p.reloading = l
	err := p.turnWhole(l)
	p.logReload(l, err)
	return err
}

func (p *Proxy) logReload(l *Config, err error) {
	if err != nil {
		log.Printf("msg=reload_not_taken error=%q", err)
		return
	}
	log.Printf("msg=reloaded discovery=%s siblings=%d messages=%t keys=%t needs_start=%q", p.watch.addr, p.network.PeerCount,
		p.network.PeerMessages, p.network.WarmKeys, p.needsStart(l))
}

func (p *Proxy) turnWhole(l *Config) error {
	next, _, err := prepare(l)
	if err != nil {
		return err
	}
	// Names keep the numbers under which they are known here: open commands and listed backends have them.
	own := -1
	if len(next.names.Zones) > 0 {
		own = p.zoneIndex(next.names.Zones[next.names.OwnZone])
	}
	verbsWere, tenantsWere := []int{}, []int{}
	for _, v := range next.names.Verbs {
		verbsWere = append(verbsWere, slices.IndexFunc(p.names.Verbs, func(w settings.Verb) bool { return w.Name == v.Name }))
	}
	for _, c := range next.names.Customers {
		tenantsWere = append(tenantsWere, slices.Index(p.names.Customers, c))
	}
	before := p.peers
	if err := p.applyPeers(next.peers); err != nil {
		return err
	}
	if _, err := settings.Apply(p.balancer, p.loop.Now(), l.Settings, verbsWere, tenantsWere, own); err != nil {
		p.applyPeers(before)
		return err
	}
	p.names.Verbs, p.names.Customers = next.names.Verbs, next.names.Customers
	p.verbIndex, p.customerIndex, p.network = next.verbIndex, next.customerIndex, next.network
	p.replan()
	p.watchDiscovery(next.watch.addr)
	return nil
}

// needsStart names what differs from the start and stays as it was.
func (p *Proxy) needsStart(l *Config) (names string) {
	for _, x := range []struct {
		name    string
		differs bool
	}{
		{"listen", l.Listen != p.startConfig.Listen}, {"ops", l.Ops != p.startConfig.Ops}, {"limits", l.Limits != p.startConfig.Limits},
		{"seed", l.Seed != p.startConfig.Seed}, {"state", l.State != p.startConfig.State},
		{"control", !l.Control.Equal(p.startConfig.Control)}, {"known", !bytes.Equal(l.KnownEndpoints, p.startConfig.KnownEndpoints)},
	} {
		if x.differs {
			names = strings.TrimSpace(names + " " + x.name)
		}
	}
	return names
}

// Run serves until it was asked to end, by signal, and all that was taken has its answer.
func (p *Proxy) Run(signal func() bool) error {
	p.signal = signal
	p.discoveryDeadline = p.loop.Now() + discoveryGraceSeconds
	p.control.Start(p.loop, p.applyHeldConfig)
	p.beginHandover()
	p.watch.Open()
	p.runEvery(sweepIntervalSeconds, p.sweep)
	p.runEvery(summaryEvery, p.logSummary)
	p.runEvery(sweepIntervalSeconds, p.trackRecovery)
	p.startSnapshots()
	log.Printf("msg=serving listen=%s clients=%d backends=%d ready=%t", p.Addr(), p.clients.quota, p.backends.maxConns, p.ready())
	err := p.loop.Run(func() {
		if asked := p.signal(); asked && !p.shutdown.active {
			p.beginShutdown()
		}
		if l := p.reloaded.Swap(nil); l != nil {
			p.reloadWithin(l, p.loop.Now()+reloadRetryFor)
		}
		p.control.RunPending()
	})
	p.logSummary()
	p.saveLastSnapshot()
	p.control.Close()
	for _, m := range p.otherProcesses() {
		m.conn.Close() // its end says that this process is gone
	}
	p.loop.Close()
	return err
}

func (p *Proxy) runEvery(seconds float64, f func()) {
	p.loop.After(seconds, func() {
		f()
		p.runEvery(seconds, f)
	})
}

// listed tells whether a command could be relayed: the list has somebody in it and is not merely the old one, unless
// discovery stays silent.
func (p *Proxy) canRelay() bool {
	return p.backends.readyCount > 0 && (p.watch.Received || p.loop.Now() > p.discoveryDeadline)
}

// awaitsDiscovery tells that the first watch is being opened and discovery has had no time to answer. What it has counts as received
// from a process's first moment, and the known list is older: who began to drain since must get nothing by it.
func (p *Proxy) awaitsDiscovery() bool {
	return !p.watch.Received && !p.watch.Lost && p.loop.Now() <= p.discoveryDeadline
}

// ready tells whether clients are to come: to this process or, while that lives, to the one after it.
func (p *Proxy) ready() bool {
	return !p.drain.active && p.canRelay() && (!p.shutdown.active || p.handover.successorServes)
}

// takesClients tells whether connections are accepted; a drained proxy still takes those that come.
func (p *Proxy) acceptsClients() bool {
	return p.handover.serving && !p.handover.successorServes && !p.shutdown.active
}

func (p *Proxy) sweep() {
	now := p.loop.Now()
	p.sweepClients(now)
	p.sweepBodies(now)
	p.closeStaleConns()
	p.watch.CheckLiveness(now)
	p.control.CheckLiveness(now)
}

// starved gives up what is idle when the system has no descriptor left.
func (p *Proxy) onDescriptorShortage() {
	log.Printf("msg=no_descriptor clients=%d links=%d", p.clients.count, len(p.backends.conns))
	for range 8 {
		p.closeOldestIdleConn()
		p.evictClient()
	}
}

func (p *Proxy) logSummary() {
	metrics.Read(p.memory[:])
	log.Printf("msg=summary came=%d answered=%d declined=%d no_room=%d terminated=%d departed=%d bad=%d broken_off=%d relays=%d open=%d "+
		"clients=%d links=%d backends=%d left_out=%d told=%d heard=%d not_heard=%d memory_mb=%d", p.receivedCount, p.answeredCount, p.declinedCount, p.overLimitCount, p.terminatedCount, p.departedCount,
		p.invalidCount, p.brokenOffCount, p.relayCount, len(p.commands), p.clients.count, len(p.backends.conns), p.backends.readyCount, len(p.maintenance.Cordoned), p.peers.sent, p.peers.received, p.peers.invalid,
		p.memory[0].Value.Uint64()>>20)
	p.receivedCount, p.answeredCount, p.declinedCount, p.overLimitCount, p.terminatedCount, p.departedCount, p.invalidCount, p.brokenOffCount, p.relayCount = 0, 0, 0, 0, 0, 0, 0, 0, 0
	p.peers.sent, p.peers.received, p.peers.invalid = 0, 0, 0
}

// chance is a number in [0, 1) from the seed and a counter, for jitter.
func (p *Proxy) pseudoRandom() float64 {
	var text [16]byte
	p.draws++
	binary.LittleEndian.PutUint64(text[:], p.seed)
	binary.LittleEndian.PutUint64(text[8:], p.draws)
	h := fnv.New32a()
	h.Write(text[:])
	return float64(h.Sum32()) / (1 << 32)
}
