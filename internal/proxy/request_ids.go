// This file keeps a command that must not simply run again from running twice under one Req-Id: after its client has left, and at
// the other process of an upgrade. What is remembered is bounded in time and number.

package proxy

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	idGenerationSeconds  = 60.0 // a Req-Id is remembered for one to two generations
	maxGenerationIDs     = 8192 // Req-Ids of one generation; the next one begins early when more come
	maxIDsPerMessage     = 256  // Req-Ids in one message to the other process
	claimTimeoutSeconds  = 0.25 // for the other process to say whether it knows a Req-Id
	idConflictStatus     = 409
	idConflictText       = "a command with this Req-Id is open or may have run"
	idUnknownElsewhere   = "another process may have a command with this Req-Id"
	maxPendingClaimCount = 1024 // claims that wait for the other process; more commands are refused
)

// requestKey identifies a Req-Id. It is shorter than the longest of them, and its size does not depend on clients.
type requestKey [16]byte

// keyOf returns the key of a Req-Id.
func keyOf(requestID string) requestKey {
	sum := sha256.Sum256([]byte(requestID))
	return requestKey(sum[:len(requestKey{})])
}

// recentRequests remembers the Req-Ids of commands that have ended and may have run, in two generations.
type recentRequests struct {
	current, previous map[requestKey]struct{}
	since             float64 // when the current generation began
}

// add remembers a key.
func (r *recentRequests) add(now float64, key requestKey) {
	r.rotate(now)
	if r.current == nil {
		r.current = map[requestKey]struct{}{}
	}
	r.current[key] = struct{}{}
}

// contains reports whether a key is remembered.
func (r *recentRequests) contains(now float64, key requestKey) bool {
	r.rotate(now)
	_, isCurrent := r.current[key]
	_, isPrevious := r.previous[key]
	return isCurrent || isPrevious
}

// rotate begins a new generation if the current one is old or full.
func (r *recentRequests) rotate(now float64) {
	age := now - r.since
	if age < idGenerationSeconds && len(r.current) < maxGenerationIDs {
		return
	}
	r.previous, r.current, r.since = r.current, nil, now
	if age >= 2*idGenerationSeconds {
		r.previous = nil
	}
}

// all calls f for each remembered key.
func (r *recentRequests) all(f func(requestKey)) {
	for _, generation := range []map[requestKey]struct{}{r.previous, r.current} {
		for key := range generation {
			f(key)
		}
	}
}

// knowsRequest reports whether a command with this Req-Id is open here, or may have run.
func (p *Proxy) knowsRequest(key requestKey) bool {
	return p.openRequests[key] != nil || p.recentRequests.contains(p.loop.Now(), key)
}

// rememberRequest remembers the Req-Id of a command that has ended, here and in the other process of an upgrade.
func (p *Proxy) rememberRequest(cmd *command) {
	if cmd.repeatable || !cmd.mayHaveRun {
		return
	}
	p.recentRequests.add(p.loop.Now(), cmd.key)
	for _, o := range p.otherProcesses() {
		if !o.knowsClaims {
			continue
		}
		o.send(handoverMessage{Kind: "ran", IDs: []string{hex.EncodeToString(cmd.key[:])}})
	}
}

// sendRecentRequests tells the other process all remembered Req-Ids.
func (p *Proxy) sendRecentRequests(o *otherProcess) {
	if !o.knowsClaims {
		return
	}
	var ids []string
	flush := func() {
		if len(ids) > 0 {
			o.send(handoverMessage{Kind: "ran", IDs: ids})
		}
		ids = ids[:0]
	}
	p.recentRequests.all(func(key requestKey) {
		if ids = append(ids, hex.EncodeToString(key[:])); len(ids) == maxIDsPerMessage {
			flush()
		}
	})
	flush()
}

// parseKey decodes a key from a message.
func parseKey(text string) (key requestKey, ok bool) {
	n, err := hex.Decode(key[:], []byte(text[:min(len(text), 2*len(key))]))
	return key, err == nil && n == len(key)
}

// addRequestsRunElsewhere remembers the Req-Ids that the other process reports.
func (p *Proxy) addRequestsRunElsewhere(ids []string) {
	for _, text := range ids {
		if key, ok := parseKey(text); ok {
			p.recentRequests.add(p.loop.Now(), key)
		}
	}
}

// claimResult is the other process's reply to a claim.
type claimResult int

const (
	claimGranted  claimResult = iota // it does not know the Req-Id, or has ended
	claimRefused                     // it has a command with the Req-Id, or had one that may have run
	claimTimedOut                    // it has not replied in time
)

// claimTarget returns the process that may serve a command with the same Req-Id, or nil if none does. A process of a version that
// does not know claims is not asked.
func (p *Proxy) claimTarget() *otherProcess {
	h := &p.handover
	if o := h.predecessor; o != nil && o.connected && o.knowsClaims {
		return o
	}
	if o := h.successor; o != nil && h.successorServes && o.knowsClaims {
		return o
	}
	return nil
}

// claim asks the other process whether it knows the command's Req-Id, and calls back with its reply.
func (p *Proxy) claim(o *otherProcess, cmd *command, callback func(claimResult)) {
	if len(p.pendingClaims) >= maxPendingClaimCount {
		callback(claimTimedOut)
		return
	}
	if p.pendingClaims == nil {
		p.pendingClaims = map[int]func(claimResult){}
	}
	p.lastClaim++
	n := p.lastClaim
	timer := p.loop.After(claimTimeoutSeconds, func() { p.claimDone(n, claimTimedOut) })
	p.pendingClaims[n] = func(result claimResult) {
		timer.Stop()
		callback(result)
	}
	o.send(handoverMessage{Kind: "claim", Number: n, IDs: []string{hex.EncodeToString(cmd.key[:])}})
}

// claimDone ends the wait for the reply to a claim, if it has not ended.
func (p *Proxy) claimDone(n int, result claimResult) {
	if done := p.pendingClaims[n]; done != nil {
		delete(p.pendingClaims, n)
		done(result)
	}
}

// grantAllClaims ends all waits: the other process has ended, and with it all that it had open.
func (p *Proxy) grantAllClaims() {
	for n := range p.pendingClaims {
		p.claimDone(n, claimGranted)
	}
}

// replyToClaim answers a claim of the other process.
func (p *Proxy) replyToClaim(o *otherProcess, msg *handoverMessage) {
	reply := handoverMessage{Kind: "claimed", Number: msg.Number}
	for _, text := range msg.IDs {
		if key, ok := parseKey(text); !ok || p.knowsRequest(key) {
			reply.Error = idConflictText
		}
	}
	o.send(reply)
}

// refuseClaimed ends a command whose Req-Id another process knows, or may know. It has not been relayed here.
func (p *Proxy) refuseClaimed(cmd *command, result claimResult) {
	c, text := cmd.client, idConflictText
	if result == claimTimedOut {
		text = idUnknownElsewhere
	}
	p.events.idConflicts++
	p.logCommandEnd(cmd, idConflictStatus, text)
	cmd.end()
	c.rejectInvalid(idConflictStatus, text)
	p.removeIfFinished(cmd)
}
