package controlserver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"time"

	"sandpass/internal/revision"
)

// simProxy is a proxy's control side for tests: it watches a replica, moves to another when that one is silent, applies
// updates, and notes whether it was ever told to go back.
type simProxy struct {
	identity revision.Identity
	replicas []string
	refuse   func(effective revision.Document) string // why it refuses a configuration, empty: it takes it

	mu       sync.Mutex
	held     map[revision.Scope]revision.ScopeDocument
	revision revision.Number
	checksum string
	refused  map[revision.Number]bool
	faults   []string // what must never happen
	watches  int      // opened
}

const (
	simSilence = 5 * time.Second        // of a replica, until the proxy moves
	simPause   = 300 * time.Millisecond // most between two attempts
)

func newSimProxy(identity revision.Identity, replicas []string) *simProxy {
	return &simProxy{identity: identity, replicas: replicas, held: map[revision.Scope]revision.ScopeDocument{},
		checksum: revision.Checksum(revision.EmptyDocument), refused: map[revision.Number]bool{}}
}

// run watches until the context ends.
func (p *simProxy) run(ctx context.Context) {
	for at := 0; ctx.Err() == nil; at++ {
		p.watch(ctx, p.replicas[at%len(p.replicas)])
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(simPause)):
		}
	}
}

func (p *simProxy) hello() revision.Hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches++
	hello := revision.Hello{Protocol: revision.Protocol, Identity: p.identity, Revision: p.revision, Checksum: p.checksum}
	if p.revision == 0 {
		hello.Checksum = ""
	}
	for _, held := range p.held {
		hello.Documents = append(hello.Documents, revision.ScopeDocument{Scope: held.Scope, Number: held.Number})
	}
	return hello
}

// watch serves one watch until it breaks or is silent. It speaks HTTP on a bare connection: net/http's client holds a
// request whose connection was reset until the request's body ends.
func (p *simProxy) watch(ctx context.Context, replica string) {
	dialer := net.Dialer{Timeout: dialTime}
	connection, err := dialer.DialContext(ctx, "tcp", replica)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	silence := time.AfterFunc(simSilence, func() { connection.Close() })
	defer silence.Stop()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", revision.WatchPath, replica)
	encoder := json.NewEncoder(httputil.NewChunkedWriter(connection))
	if encoder.Encode(p.hello()) != nil {
		return
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		silence.Reset(simSilence)
		if len(line) == 1 {
			continue
		}
		var update revision.Update
		if err := json.Unmarshal(line, &update); err != nil {
			p.fault("update %s: %v", line, err)
			return
		}
		if encoder.Encode(p.take(update)) != nil {
			return
		}
	}
}

func (p *simProxy) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, p.identity.Proxy+": "+fmt.Sprintf(format, args...))
}

// take applies an update and gives the report on it.
func (p *simProxy) take(update revision.Update) revision.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := revision.Report{Revision: update.Revision, Verdict: revision.Unknown, Checksum: p.checksum}
	next := map[revision.Scope]revision.ScopeDocument{}
	if !update.Full {
		for scope, held := range p.held {
			next[scope] = held
		}
	}
	for _, change := range update.Scopes {
		document := change.Document
		if len(change.Patch) > 0 {
			held := next[change.Scope]
			patched, err := revision.ApplyPatch(held.Document, change.Patch)
			if err != nil || held.Number != change.From {
				report.Reason = "the change does not follow"
				return report
			}
			document = patched
		}
		if change.Number < p.held[change.Scope].Number {
			p.faults = append(p.faults, fmt.Sprintf("%s: %s goes back from %d to %d", p.identity.Proxy, change.Scope,
				p.held[change.Scope].Number, change.Number))
		}
		next[change.Scope] = revision.ScopeDocument{Scope: change.Scope, Number: change.Number, Document: document}
	}
	if update.Revision < p.revision {
		p.faults = append(p.faults, fmt.Sprintf("%s goes back from %d to %d", p.identity.Proxy, p.revision, update.Revision))
	}
	return p.judge(update, next, report)
}

// judge takes a configuration over, or says why not.
func (p *simProxy) judge(update revision.Update, next map[revision.Scope]revision.ScopeDocument, report revision.Report) revision.Report {
	var held []revision.ScopeDocument
	for _, one := range next {
		held = append(held, one)
	}
	effective, err := revision.EffectiveDocument(p.identity, held)
	if err != nil || revision.Checksum(effective) != update.Checksum {
		report.Reason = "the checksum is wrong"
		p.faults = append(p.faults, fmt.Sprintf("%s: update %d gives %s, its checksum is another's (%v)",
			p.identity.Proxy, update.Revision, effective, err))
		return report
	}
	if p.refuse != nil {
		if reason := p.refuse(effective); reason != "" {
			p.refused[update.Revision] = true
			report.Verdict, report.Reason = revision.Refused, reason
			return report
		}
	}
	p.held, p.revision, p.checksum = next, update.Revision, update.Checksum
	report.Verdict, report.Checksum = revision.InForce, update.Checksum
	return report
}

// state gives what is in force.
func (p *simProxy) state() (number revision.Number, checksum string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.checksum
}

// simFleet is some proxies in all regions.
type simFleet struct {
	proxies []*simProxy
	cancels []context.CancelFunc // of each proxy's run
	done    sync.WaitGroup
}

// startProxies starts so many proxies, two zones to a region.
func (c *cluster) startProxies(count int) *simFleet {
	fleet := &simFleet{}
	regions := []string{"eu", "us", "ap"}
	for i := range count {
		region := regions[i%len(regions)]
		proxy := newSimProxy(revision.Identity{Fleet: "shop", Proxy: fmt.Sprintf("p%d", i), Region: region,
			Zone: fmt.Sprintf("%s-%d", region, i/len(regions)%2), Service: fmt.Sprintf("s%d", i%4)}, c.addressesFrom(region))
		fleet.proxies = append(fleet.proxies, proxy)
		fleet.cancels = append(fleet.cancels, nil)
		fleet.start(i)
	}
	return fleet
}

func (f *simFleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels[i] = cancel
	proxy := f.proxies[i]
	f.done.Go(func() { proxy.run(ctx) })
}

// restart ends a proxy's watch and has it come back with what it holds.
func (f *simFleet) restart(i int) {
	f.cancels[i]()
	f.start(i)
}

func (f *simFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.done.Wait()
}

// faults gives what must never happen and did.
func (f *simFleet) faults() string {
	var all []string
	for _, proxy := range f.proxies {
		proxy.mu.Lock()
		all = append(all, proxy.faults...)
		proxy.mu.Unlock()
	}
	return strings.Join(all, "\n")
}
