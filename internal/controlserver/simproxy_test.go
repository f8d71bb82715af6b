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

// simProxy simulates the control client of a proxy. It watches a replica, moves to another one when that one is silent,
// applies updates, and records violations such as an update to an older revision.
type simProxy struct {
	identity revision.Identity
	replicas []string
	refuse   func(effective revision.Document) string // returns why it refuses a configuration; empty to accept it

	mu         sync.Mutex
	documents  map[revision.Scope]revision.ScopeDocument
	revision   revision.Number
	checksum   string
	refused    map[revision.Number]bool
	violations []string // events that must never happen
	watches    int      // number of watches opened
}

const (
	simSilenceTimeout = 5 * time.Second        // without a line from the replica, until the proxy moves to the next one
	maxReconnectDelay = 300 * time.Millisecond // before the next connection attempt
)

// newSimProxy returns a proxy without a configuration. It tries the replicas in the given order.
func newSimProxy(identity revision.Identity, replicas []string) *simProxy {
	return &simProxy{identity: identity, replicas: replicas, documents: map[revision.Scope]revision.ScopeDocument{},
		checksum: revision.Checksum(revision.EmptyDocument), refused: map[revision.Number]bool{}}
}

// run watches one replica after the other until the context ends.
func (p *simProxy) run(ctx context.Context) {
	for at := 0; ctx.Err() == nil; at++ {
		p.watch(ctx, p.replicas[at%len(p.replicas)])
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(maxReconnectDelay)):
		}
	}
}

// hello returns the first line of a watch.
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

// watch keeps one watch open until it breaks or is silent. It writes HTTP to a TCP connection, because net/http's client
// does not return from a request whose connection was reset until the request's body ends.
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

// addViolation records an event that must never happen.
func (p *simProxy) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, p.identity.Proxy+": "+fmt.Sprintf(format, args...))
}

// applyUpdate applies an update and returns the report on it.
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
				report.Reason = "the patch is not based on the current revision"
				return report
			}
			document = patched
		}
		if change.Number < p.documents[change.Scope].Number {
			p.violations = append(p.violations, fmt.Sprintf("%s: scope %s goes back from revision %d to %d",
				p.identity.Proxy, change.Scope, p.documents[change.Scope].Number, change.Number))
		}
		next[change.Scope] = revision.ScopeDocument{Scope: change.Scope, Number: change.Number, Document: document}
	}
	if update.Revision < p.revision {
		p.violations = append(p.violations, fmt.Sprintf("%s goes back from revision %d to %d",
			p.identity.Proxy, p.revision, update.Revision))
	}
	return p.applyMerged(update, next, report)
}

// applyMerged merges the documents, verifies the checksum, and puts the configuration in force or refuses it.
func (p *simProxy) applyMerged(update revision.Update, documents map[revision.Scope]revision.ScopeDocument,
	report revision.Report) revision.Report {
	var list []revision.ScopeDocument
	for _, document := range documents {
		list = append(list, document)
	}
	effective, err := revision.EffectiveDocument(p.identity, list)
	if err != nil || revision.Checksum(effective) != update.Checksum {
		report.Reason = "wrong checksum"
		p.violations = append(p.violations, fmt.Sprintf("%s: update %d results in %s, which does not match its checksum (%v)",
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

// state returns the revision and the checksum of the configuration in force.
func (p *simProxy) state() (number revision.Number, checksum string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.checksum
}

// simFleet is a set of simulated proxies in all regions.
type simFleet struct {
	proxies []*simProxy
	cancels []context.CancelFunc // of each proxy's run
	done    sync.WaitGroup
}

// startProxies starts count proxies, spread over three regions with two zones each.
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

// start starts a proxy.
func (f *simFleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels[i] = cancel
	proxy := f.proxies[i]
	f.done.Go(func() { proxy.run(ctx) })
}

// restart ends a proxy's watch and starts the proxy again with the configuration that it has.
func (f *simFleet) restart(i int) {
	f.cancels[i]()
	f.start(i)
}

// stop stops all proxies and waits for them.
func (f *simFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.done.Wait()
}

// violations returns the violations of all proxies, one per line.
func (f *simFleet) violations() string {
	var all []string
	for _, proxy := range f.proxies {
		proxy.mu.Lock()
		all = append(all, proxy.violations...)
		proxy.mu.Unlock()
	}
	return strings.Join(all, "\n")
}
