// This file tracks what a proxy knows of each peer from messages: its incarnation, whether it responds, and the format in which
// messages are sent to it. A message of a former incarnation must never count for the current one, and no peer is given up for
// good.

package membership

import "math"

const (
	missesUntilDead         = 2    // requests in a row without any message, each sent after the previous one timed out
	minPauseSeconds         = 0.5  // first pause in which a peer that does not respond is sent no request
	maxPauseSeconds         = 4.0  // longest pause, after doubling; a peer that sends nothing may be back unnoticed so long
	trialSeconds            = 0.1  // time in which a single request tests the peer after a pause
	lowerIncarnationSeconds = 1.0  // time with messages of a lower incarnation only, after which the higher one has ended
	oldFormatSeconds        = 10.0 // time for which a peer that does not respond to the new format is sent the old one
	maxRememberedRequests   = 8    // requests remembered per peer, to detect repeats
	repeatWindowSeconds     = 0.2  // time for which they are remembered; numbers are reused after 255 requests
)

// PeerView is what one proxy knows of its peers. The zero value has no peers; Resize must be called first.
type PeerView struct {
	peers []peer
}

// peer is what is known of one peer.
type peer struct {
	incarnation         uint64  // 0 if unknown
	incarnationReceived float64 // time of the incarnation's latest message
	lowerIncarnation    uint64  // a lower incarnation received since then, 0 if none
	lowerSince          float64 // when its first message was received
	received            float64 // time of the latest message of any incarnation
	misses              int
	missedAt            float64                     // when the last request timed out
	pause               float64                     // seconds of the latest pause, 0 if none since the last message
	pausedUntil         float64                     // no request is sent before this time
	sendsOldFormat      bool                        // its messages have the old format
	oldFormatUntil      float64                     // until when it is sent the old format
	requests            [maxRememberedRequests]byte // numbers of its latest requests
	requestedAt         [maxRememberedRequests]float64
	nextRequest         int
}

// Resize sets the number of peers and keeps what is known of those that remain.
func (v *PeerView) Resize(n int) {
	for len(v.peers) < n {
		v.peers = append(v.peers, peer{received: math.Inf(-1), incarnationReceived: math.Inf(-1)})
	}
	v.peers = v.peers[:n]
}

// MessageReceived notes a message of a peer. incarnation is that of the sender, 0 in the old format, which has none. It reports
// whether the message counts, and whether it is the first of an incarnation, which invalidates everything the former one sent.
func (v *PeerView) MessageReceived(now float64, index int, incarnation uint64) (counts, first bool) {
	if index < 0 || index >= len(v.peers) {
		return false, false
	}
	p := &v.peers[index]
	switch {
	case incarnation == 0: // a process of an older version
		first = p.incarnation != 0
		p.sendsOldFormat, p.incarnation = true, 0
	case incarnation > p.incarnation:
		first = p.incarnation != 0 || p.sendsOldFormat
		p.incarnation, p.incarnationReceived, p.lowerIncarnation, p.sendsOldFormat = incarnation, now, 0, false
	case incarnation == p.incarnation:
		p.incarnationReceived, p.lowerIncarnation = now, 0
	case incarnation != p.lowerIncarnation:
		p.lowerIncarnation, p.lowerSince = incarnation, now
		return false, false
	case now < max(p.lowerSince, p.incarnationReceived)+lowerIncarnationSeconds: // delayed messages of a former incarnation
		return false, false
	default: // it continues while the higher one is silent: the peer restarted with its clock set back
		first = true
		p.incarnation, p.incarnationReceived, p.lowerIncarnation = incarnation, now, 0
	}
	p.received, p.misses, p.pause, p.pausedUntil = now, 0, 0, 0
	if incarnation != 0 {
		p.oldFormatUntil = 0
	}
	return true, first
}

// IsRepeatedRequest reports whether a request with that number was received from a peer within repeatWindowSeconds, and
// remembers it.
func (v *PeerView) IsRepeatedRequest(now float64, index int, number byte) bool {
	p := &v.peers[index]
	for i, known := range p.requests {
		if known == number && now < p.requestedAt[i]+repeatWindowSeconds {
			return true
		}
	}
	p.requests[p.nextRequest], p.requestedAt[p.nextRequest] = number, now
	p.nextRequest = (p.nextRequest + 1) % len(p.requests)
	return false
}

// RequestTimedOut notes that a request sent to a peer at the given time has timed out now.
func (v *PeerView) RequestTimedOut(now float64, index int, sent float64) {
	if index < 0 || index >= len(v.peers) {
		return
	}
	p := &v.peers[index]
	if p.received >= sent || p.misses > 0 && sent < p.missedAt {
		return // the peer has sent a message since, or the request overlapped with one that was already counted
	}
	p.misses++
	p.missedAt = now
	if p.incarnation == 0 && !p.sendsOldFormat && now >= p.oldFormatUntil {
		// Nothing was received in the new format: the peer may know only the old one.
		p.oldFormatUntil = now + oldFormatSeconds
		return
	}
	if p.misses >= missesUntilDead || p.pause > 0 {
		p.pause = min(maxPauseSeconds, max(minPauseSeconds, 2*p.pause))
		p.pausedUntil = now + p.pause
	}
}

// IsAlive reports whether a peer is believed to be alive.
func (v *PeerView) IsAlive(now float64, index int) bool {
	return index >= 0 && index < len(v.peers) && now >= v.peers[index].pausedUntil
}

// BeforeRequest must be called before a request is sent. A peer whose pause has ended is tested by one request at a time.
func (v *PeerView) BeforeRequest(now float64, index int) {
	if p := &v.peers[index]; p.pause > 0 {
		p.pausedUntil = now + trialSeconds
	}
}

// UsesOldFormat reports whether messages to a peer are sent in the old format.
func (v *PeerView) UsesOldFormat(now float64, index int) bool {
	p := &v.peers[index]
	return p.sendsOldFormat || now < p.oldFormatUntil
}
