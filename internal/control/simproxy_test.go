package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sandpass/internal/revision"
)

var simScopes = []revision.Scope{
	revision.FleetScope,
	{Kind: revision.ZoneKind, Name: "a"},
	{Kind: revision.ServiceKind, Name: "cart"},
	{Kind: revision.ProxyKind, Name: "p11"},
}

// simProxy is a proxy: the contents of its state folder, and its watch.
type simProxy struct {
	identity  revision.Identity
	documents []revision.ScopeDocument // with their contents
	revision  revision.Number
	checksum  string
	replica   *simReplica // nil if it has no watch
	session   *Session
}

// newSimProxies returns nine proxies in three zones.
func newSimProxies() []*simProxy {
	var proxies []*simProxy
	for i := range 9 {
		proxies = append(proxies, &simProxy{identity: revision.Identity{
			Fleet:   simFleet,
			Proxy:   "p" + strings.Repeat("1", i+1),
			Region:  "eu",
			Zone:    []string{"a", "b", "c"}[i%3],
			Service: []string{"cart", "stock"}[i%2],
		}})
	}
	return proxies
}

// disconnect ends the watch.
func (p *simProxy) disconnect() {
	p.replica = nil
	p.session = nil
}

// hello returns the Hello that describes what the proxy holds.
func (p *simProxy) hello() revision.Hello {
	hello := revision.Hello{
		Protocol: revision.Protocol,
		Identity: p.identity,
		Revision: p.revision,
		Checksum: p.checksum,
	}
	hello.Documents = numbersOnly(p.documents)
	return hello
}

// connect opens a watch at a replica.
func (s *sim) connect(p *simProxy, r *simReplica) {
	p.disconnect()
	if r.node == nil {
		return
	}
	hello := p.hello()
	if s.defects.heldDocumentsIgnored {
		hello.Documents, hello.Revision, hello.Checksum = nil, 0, ""
	}
	session, err := NewSession(hello)
	if err != nil {
		s.fail("proxy %s: %w", p.identity.Proxy, err)
		return
	}
	p.replica = r
	p.session = session
	r.view.RecordWatchOpened(s.time(), fmt.Sprint(r.id), session.Hello())
}

// time returns the simulated time.
func (s *sim) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(s.now * float64(time.Second)))
}

// stepProxy has a proxy process its next update. If it has no watch, it first opens one at the given replica.
func (s *sim) stepProxy(p *simProxy, r *simReplica) {
	if p.replica == nil || p.replica.node == nil {
		s.connect(p, r)
	}
	if p.session == nil {
		return
	}
	update, err := p.session.NextUpdate(p.replica.node.State())
	if behind := new(ReplicaBehindError); errors.As(err, &behind) {
		s.counts["replicas behind"]++
		return
	}
	if err != nil {
		s.fail("proxy %s: %w", p.identity.Proxy, err)
	}
	if update == nil || err != nil {
		return
	}
	s.counts["updates"]++
	if update.Full {
		s.counts["full updates"]++
		if len(p.documents) == 0 {
			s.counts["first updates"]++
		}
		if update.Revision == p.revision {
			s.counts["full updates with the same number"]++
		}
	}
	report := s.take(p, *update)
	if s.choose.below("report lost", 10) == 0 {
		p.disconnect()
		return
	}
	s.report(p, report)
}

// report delivers a proxy's report to all running replicas at once.
func (s *sim) report(p *simProxy, report revision.Report) {
	if !p.session.HandleReport(report) {
		s.fail("proxy %s: its report does not match the update that was sent", p.identity.Proxy)
	}
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		r.view.RecordReport(s.time(), fmt.Sprint(p.replica.id), p.session.Hello(), report)
		r.canaries.RecordReport(s.now, p.identity.Proxy, report)
	}
}

// take applies an update on the proxy's side: completely or not at all, and never back to a lower number.
func (s *sim) take(p *simProxy, update revision.Update) revision.Report {
	report := revision.Report{Revision: update.Revision, Checksum: p.checksum}
	if update.Revision < p.revision || update.Revision == p.revision && !update.Full {
		s.fail("proxy %s has revision %d and is sent revision %d", p.identity.Proxy, p.revision, update.Revision)
	}
	held := slices.Clone(p.documents)
	if update.Full {
		held = nil
	}
	for _, change := range update.Scopes {
		if before := heldNumber(p.documents, change.Scope); change.Number < before {
			s.fail("proxy %s is sent back in %v from revision %d to %d", p.identity.Proxy, change.Scope, before, change.Number)
		}
		document := change.Document
		if change.From != 0 {
			s.counts["patches"]++
			i := slices.IndexFunc(held, func(one revision.ScopeDocument) bool { return one.Scope == change.Scope })
			if i < 0 || held[i].Number != change.From {
				s.fail("proxy %s is sent a patch of revision %d of %v, which it does not hold", p.identity.Proxy, change.From, change.Scope)
				return report
			}
			var err error
			if document, err = revision.ApplyPatch(held[i].Document, change.Patch); err != nil {
				s.fail("proxy %s: %w", p.identity.Proxy, err)
			}
		}
		held = slices.DeleteFunc(held, func(one revision.ScopeDocument) bool { return one.Scope == change.Scope })
		held = append(held, revision.ScopeDocument{Scope: change.Scope, Number: change.Number, Document: document})
	}
	effective, err := revision.EffectiveDocument(p.identity, held)
	if err != nil {
		s.fail("proxy %s: %w", p.identity.Proxy, err)
	}
	if revision.Checksum(effective) != update.Checksum {
		s.counts["unknown verdicts"]++
		if update.Full {
			s.fail("proxy %s is sent a full update with a wrong checksum", p.identity.Proxy)
		}
		report.Verdict = revision.Unknown
		return report
	}
	if strings.Contains(string(effective), `"bad"`) {
		s.recordRefusal(p, update)
		report.Verdict = revision.Refused
		report.Reason = "it is bad"
		return report
	}
	p.documents = held
	p.revision = update.Revision
	p.checksum = update.Checksum
	report.Verdict = revision.InForce
	report.Checksum = update.Checksum
	return report
}

// recordRefusal records which proxies were sent a revision that all proxies refuse. They may only be its canaries.
func (s *sim) recordRefusal(p *simProxy, update revision.Update) {
	s.counts["refusals"]++
	for _, change := range update.Scopes {
		entry, found := p.replica.node.State().Entry(change.Number)
		if !found || !strings.Contains(string(entry.Document), `"bad"`) {
			continue
		}
		if s.sentTo[change.Number] == nil {
			s.sentTo[change.Number] = map[string]bool{}
		}
		s.sentTo[change.Number][p.identity.Proxy] = true
		if sent := len(s.sentTo[change.Number]); s.submissions[entry.Reason].canariesAvailable && sent > 3 {
			s.fail("revision %d, which all proxies refuse, was sent to %d proxies in 3 zones", change.Number, sent)
		}
	}
}

// damage replaces a document that a proxy holds. Its next Hello has a checksum that does not match.
func (s *sim) damage(p *simProxy) {
	if len(p.documents) == 0 {
		return
	}
	i := s.choose.below("damaged", len(p.documents))
	p.documents[i].Document = revision.Document(`{"lost":true}`)
	if effective, err := revision.EffectiveDocument(p.identity, p.documents); err == nil {
		p.checksum = revision.Checksum(effective)
	}
	p.disconnect()
}

// checkSettled checks that a proxy has all revisions that it does not refuse, after settle.
func (p *simProxy) checkSettled(s *sim, state *State) {
	update, err := state.UpdateFor(p.hello())
	if err != nil {
		s.fail("proxy %s after settling: %w", p.identity.Proxy, err)
		return
	}
	if update == nil {
		return
	}
	// Only revisions that it refuses may be missing.
	report := s.take(p, *update)
	if report.Verdict != revision.Refused {
		s.fail("proxy %s does not have revision %d after settling", p.identity.Proxy, update.Revision)
	}
}
