// This file owns what a proxy knows of each peer by messages: its incarnation, whether it answers, and the form in which
// messages are sent to it. It must never take a message of a former incarnation for one of the present, nor give a peer up
// for good.
package membership

import "math"

const (
	missesDead     = 2    // requests in a row without any message, each sent after the one before was given up
	pauseFirst     = 0.5  // seconds for which a peer that does not answer is sent no request
	pauseLast      = 4.0  // and at most, doubling: so long may a return stay unnoticed where the peer sends nothing itself
	trialFor       = 0.1  // seconds for which one request alone tries it again
	stepsBackAfter = 1.0  // seconds of messages of a lower incarnation, with none of the higher, after which the higher has ended
	oldFor         = 10.0 // seconds for which a peer that does not answer in the new form is sent the old one
	requestsKept   = 8    // requests of a peer that are remembered, to recognize repeats
	repeatFor      = 0.2  // seconds for which they are: a number is used again after 255
)

// View is what one proxy knows of its peers. The zero value knows none; Resize must follow.
type PeerView struct {
	peers []peer
}

type peer struct {
	incarnation         uint64  // 0: not known
	incarnationReceived float64 // time of its latest message
	lower               uint64  // a lower one received since
	lowerFrom           float64 // and since when
	received            float64 // time of the latest message of any incarnation
	misses              int
	missedAt            float64            // when the last request was given up
	pause               float64            // seconds of the next pause
	pausedUntil         float64            // no request before
	oldForm             bool               // sends the old form
	oldFormUntil        float64            // is sent it
	requests            [requestsKept]byte // numbers of its latest ones
	requestedAt         [requestsKept]float64
	nextRequest         int
}

// Resize sets how many peers there are; what is known of those that stay is kept.
func (v *PeerView) Resize(n int) {
	for len(v.peers) < n {
		v.peers = append(v.peers, peer{received: math.Inf(-1), incarnationReceived: math.Inf(-1)})
	}
	v.peers = v.peers[:n]
}

// Received notes a message: incarnation is the sending peer's, 0 in the old form, which has none. It tells whether the
// message counts, and whether it is the first of an incarnation, so that all that the former one sent is void.
func (v *PeerView) MessageReceived(now float64, from int, incarnation uint64) (counts, fresh bool) {
	if from < 0 || from >= len(v.peers) {
		return false, false
	}
	s := &v.peers[from]
	switch {
	case incarnation == 0: // a process of an earlier version
		fresh = s.incarnation != 0
		s.oldForm, s.incarnation = true, 0
	case incarnation > s.incarnation:
		fresh = s.incarnation != 0 || s.oldForm
		s.incarnation, s.incarnationReceived, s.lower, s.oldForm = incarnation, now, 0, false
	case incarnation == s.incarnation:
		s.incarnationReceived, s.lower = now, 0
	case incarnation != s.lower:
		s.lower, s.lowerFrom = incarnation, now
		return false, false
	case now < max(s.lowerFrom, s.incarnationReceived)+stepsBackAfter: // late messages of a former incarnation
		return false, false
	default: // it goes on while the higher one is silent: a clock was set back
		fresh = true
		s.incarnation, s.incarnationReceived, s.lower = incarnation, now, 0
	}
	s.received, s.misses, s.pause, s.pausedUntil = now, 0, 0, 0
	if incarnation != 0 {
		s.oldFormUntil = 0
	}
	return true, fresh
}

// Repeats tells whether a request of that number was received from a peer just now, and notes it.
func (v *PeerView) IsRepeatedRequest(now float64, from int, number byte) bool {
	s := &v.peers[from]
	for i, known := range s.requests {
		if known == number && now < s.requestedAt[i]+repeatFor {
			return true
		}
	}
	s.requests[s.nextRequest], s.requestedAt[s.nextRequest] = number, now
	s.nextRequest = (s.nextRequest + 1) % len(s.requests)
	return false
}

// Missed notes that a request sent at a time was given up now without an answer.
func (v *PeerView) RequestTimedOut(now float64, at int, sent float64) {
	if at < 0 || at >= len(v.peers) {
		return
	}
	s := &v.peers[at]
	if s.received >= sent || s.misses > 0 && sent < s.missedAt {
		return // it answered since, or this one was out beside one that counts already
	}
	s.misses++
	s.missedAt = now
	if s.incarnation == 0 && !s.oldForm && now >= s.oldFormUntil { // never received in the new form: it may know only the old one
		s.oldFormUntil = now + oldFor
		return
	}
	if s.misses >= missesDead || s.pause > 0 {
		s.pause = min(pauseLast, max(pauseFirst, 2*s.pause))
		s.pausedUntil = now + s.pause
	}
}

// Alive tells whether a peer is believed to be there.
func (v *PeerView) IsAlive(now float64, at int) bool {
	return at >= 0 && at < len(v.peers) && now >= v.peers[at].pausedUntil
}

// Sending is called before a request is sent. A peer whose pause has ended is tried by one request at a time.
func (v *PeerView) BeforeRequest(now float64, at int) {
	if s := &v.peers[at]; s.pause > 0 {
		s.pausedUntil = now + trialFor
	}
}

// UsesOldForm tells whether messages to a peer are sent in the old form.
func (v *PeerView) UsesOldFormat(now float64, at int) bool {
	s := &v.peers[at]
	return s.oldForm || now < s.oldFormUntil
}
