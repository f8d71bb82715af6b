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

	mu         sync.Mutex
	documents  map[revision.Scope]revision.ScopeDocument
	revision   revision.Number
	checksum   string
	refused    map[revision.Number]bool
	violations []string // what must never happen
	watches    int      // opened
}

const (
	simSilenceTimeout = 5 * time.Second        // of a replica, until the proxy moves
	maxReconnectDelay = 300 * time.Millisecond // most between two attempts
)

func newSimProxy(identity revision.Identity, replicas []string) *simProxy {
	return &simProxy{identity: identity, replicas: replicas, documents: map[revision.Scope]revision.ScopeDocument{},
		checksum: revision.Checksum(revision.EmptyDocument), refused: map[revision.Number]bool{}}
}

// run watches until the context ends.
func (p *simProxy) run(ctx context.Context) {
	for at := 0; ctx.Err() == nil; at++ {
		p.watch(ctx, p.replicas[at%len(p.replicas)])
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(maxReconnectDelay)):
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
	for _, held := range p.documents {
		hello.Documents = append(hello.Documents, revision.ScopeDocument{Scope: held.Scope, Number: held.Number})
	}
	return hello
}

// watch serves one watch until it breaks or is silent. It speaks HTTP on a bare connection: net/http's client holds a
// request whose connection was reset until the request's body ends.
func (p *simProxy) watch(ctx context.Context, replica string) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", replica)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	watchdog := time.AfterFunc(simSilenceTimeout, func() { connection.Close() })
	defer watchdog.Stop()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", revision.WatchPath, replica)
	encoder := json.NewEncoder(httputil.NewChunkedWriter(connection))
	if encoder.Encode(p.hello()) != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		watchdog.Reset(simSilenceTimeout)
		if len(line) == 1 {
			continue
		}
		var update revision.Update
		if err := json.Unmarshal(line, &update); err != nil {
			p.addViolation("update %s: %v", line, err)
			return
		}
		if encoder.Encode(p.applyUpdate(update)) != nil {
			return
		}
	}
}

func (p *simProxy) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, p.identity.Proxy+": "+fmt.Sprintf(format, args...))
}

// take applies an update and gives the report on it.
func (p *simProxy) applyUpdate(update revision.Update) revision.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := revision.Report{Revision: update.Revision, Verdict: revision.Unknown, Checksum: p.checksum}
	next := map[revision.Scope]revision.ScopeDocument{}
	if !update.Full {
		for scope, held := range p.documents {
			next[scope] = held
		}
	}
	for _, change := range update.Scopes {
		document := change.Document
		if len(change.Patch) > 0 {
			base := next[change.Scope]
			patched, err := revision.ApplyPatch(base.Document, change.Patch)
			if err != nil || base.Number != change.From {
				report.Reason = "the change does not follow"
				return report
			}
			document = patched
		}
		if change.Number < p.documents[change.Scope].Number {
			p.violations = append(p.violations, fmt.Sprintf("%s: %s goes back from %d to %d", p.identity.Proxy, change.Scope,
				p.documents[change.Scope].Number, change.Number))
		}
		next[change.Scope] = revision.ScopeDocument{Scope: change.Scope, Number: change.Number, Document: document}
	}
	if update.Revision < p.revision {
		p.violations = append(p.violations, fmt.Sprintf("%s goes back from %d to %d", p.identity.Proxy, p.revision, update.Revision))
	}
	return p.applyMerged(update, next, report)
}

// judge takes a configuration over, or says why not.
func (p *simProxy) applyMerged(update revision.Update, documents map[revision.Scope]revision.ScopeDocument,
	report revision.Report) revision.Report {
	var list []revision.ScopeDocument
	for _, document := range documents {
		list = append(list, document)
	}
	effective, err := revision.EffectiveDocument(p.identity, list)
	if err != nil || revision.Checksum(effective) != update.Checksum {
		report.Reason = "the checksum is wrong"
		p.violations = append(p.violations, fmt.Sprintf("%s: update %d gives %s, its checksum is another's (%v)",
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
	p.documents, p.revision, p.checksum = documents, update.Revision, update.Checksum
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
func (f *simFleet) violations() string {
	var all []string
	for _, proxy := range f.proxies {
		proxy.mu.Lock()
		all = append(all, proxy.violations...)
		proxy.mu.Unlock()
	}
	return strings.Join(all, "\n")
}
