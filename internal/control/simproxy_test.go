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

// simProxy is a proxy: what its state folder holds, and its watch.
type simProxy struct {
	identity  revision.Identity
	documents []revision.ScopeDocument // with documents
	revision  revision.Number
	checksum  string
	replica   *simReplica // nil while it has no watch
	session   *Session
}

// newSimProxies gives nine proxies in three zones.
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

func (p *simProxy) disconnect() {
	p.replica = nil
	p.session = nil
}

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

func (s *sim) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(s.now * float64(time.Second)))
}

// stepProxy has a proxy take what there is for it, over a watch at the replica if it has none.
func (s *sim) stepProxy(p *simProxy, r *simReplica) {
	if p.replica == nil || p.replica.node == nil {
		s.connect(p, r)
	}
	if p.session == nil {
		return
	}
	update, err := p.session.NextUpdate(p.replica.node.State())
	if ahead := new(ReplicaBehindError); errors.As(err, &ahead) {
		s.counts["proxies ahead"]++
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
		s.counts["whole updates"]++
		if len(p.documents) == 0 {
			s.counts["first updates"]++
		}
		if update.Revision == p.revision {
			s.counts["whole updates for their number"]++
		}
	}
	report := s.take(p, *update)
	if s.choose.below("report lost", 10) == 0 {
		p.disconnect()
		return
	}
	s.report(p, report)
}

// report has the replicas learn a proxy's word; the leader learns it at once.
func (s *sim) report(p *simProxy, report revision.Report) {
	if !p.session.HandleReport(report) {
		s.fail("proxy %s: its report is not taken for one on the update sent", p.identity.Proxy)
	}
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		r.view.RecordReport(s.time(), fmt.Sprint(p.replica.id), p.session.Hello(), report)
		r.canaries.RecordReport(s.now, p.identity.Proxy, report)
	}
}

// take is a proxy's side of an update: whole or not at all, and never back.
func (s *sim) take(p *simProxy, update revision.Update) revision.Report {
	report := revision.Report{Revision: update.Revision, Checksum: p.checksum}
	if update.Revision < p.revision || update.Revision == p.revision && !update.Full {
		s.fail("proxy %s has revision %d and is sent %d", p.identity.Proxy, p.revision, update.Revision)
	}
	held := slices.Clone(p.documents)
	if update.Full {
		held = nil
	}
	for _, change := range update.Scopes {
		if before := heldNumber(p.documents, change.Scope); change.Number < before {
			s.fail("proxy %s goes back in %v from %d to %d", p.identity.Proxy, change.Scope, before, change.Number)
		}
		document := change.Document
		if change.From != 0 {
			s.counts["patches"]++
			i := slices.IndexFunc(held, func(one revision.ScopeDocument) bool { return one.Scope == change.Scope })
			if i < 0 || held[i].Number != change.From {
				s.fail("proxy %s is sent a change from %d of %v", p.identity.Proxy, change.From, change.Scope)
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
			s.fail("proxy %s is sent a whole update with a wrong checksum", p.identity.Proxy)
		}
		report.Verdict = revision.Unknown
		return report
	}
	if strings.Contains(string(effective), `"bad"`) {
		s.noteBad(p, update)
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

// noteBad counts the proxies that a refused revision was sent to: its canaries at most.
func (s *sim) noteBad(p *simProxy, update revision.Update) {
	s.counts["refusals"]++
	for _, change := range update.Scopes {
		entry, known := p.replica.node.State().Entry(change.Number)
		if !known || !strings.Contains(string(entry.Document), `"bad"`) {
			continue
		}
		if s.sentTo[change.Number] == nil {
			s.sentTo[change.Number] = map[string]bool{}
		}
		s.sentTo[change.Number][p.identity.Proxy] = true
		if sent := len(s.sentTo[change.Number]); s.submissions[entry.Reason].canariesAvailable && sent > 3 {
			s.fail("revision %d, which all refuse, was sent to %d proxies in 3 zones", change.Number, sent)
		}
	}
}

// damage has a proxy lose a document, which its checksum tells at the next watch.
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

// checkSettled says what a proxy must have once all is healed and told.
func (p *simProxy) checkSettled(s *sim, state *State) {
	update, err := state.UpdateFor(p.hello())
	if err != nil {
		s.fail("proxy %s in the end: %w", p.identity.Proxy, err)
		return
	}
	if update == nil {
		return
	}
	// Only what it refuses may be missing.
	report := s.take(p, *update)
	if report.Verdict != revision.Refused {
		s.fail("proxy %s has yet to take revision %d in the end", p.identity.Proxy, update.Revision)
	}
}
