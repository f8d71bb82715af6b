package membership

import (
	"math/rand/v2"
	"testing"
)

func newPeerView(n int) *PeerView {
	v := &PeerView{}
	v.Resize(n)
	return v
}

func TestPeerIsDeadAfterTwoMissesInARow(t *testing.T) {
	v := newPeerView(3)
	v.MessageReceived(10, 1, 7)
	v.RequestTimedOut(10.1, 1, 10.06)
	for range 50 { // requests that overlapped count once
		v.RequestTimedOut(10.12, 1, 10.07)
	}
	if !v.IsAlive(10.13, 1) {
		t.Error("dead after one miss shared by fifty overlapping requests")
	}
	v.RequestTimedOut(10.2, 1, 10.15)
	if v.IsAlive(10.21, 1) {
		t.Error("alive after two misses in a row")
	}
	if !v.IsAlive(10.21, 2) {
		t.Error("another peer is dead because of it")
	}
	v.MessageReceived(10.3, 1, 7)
	if !v.IsAlive(10.3, 1) {
		t.Error("dead after a message was received")
	}
}

func TestDeadPeerIsTriedByOneRequestAtATime(t *testing.T) {
	v := newPeerView(2)
	v.MessageReceived(0, 1, 7)
	now, tries, last := 1.0, 0, 0.0
	for ; now < 60; now += 0.01 {
		if v.IsAlive(now, 1) {
			v.BeforeRequest(now, 1)
			tries, last = tries+1, now
			v.RequestTimedOut(now+0.04, 1, now)
		}
	}
	if tries > 25 {
		t.Errorf("%d requests in a minute to a peer that never responds", tries)
	}
	if last < 60-maxPauseSeconds-0.2 {
		t.Errorf("no request after %.1f s", last)
	}
}

func TestFormerIncarnationIsIgnored(t *testing.T) {
	v := newPeerView(2)
	receives := func(now float64, incarnation uint64, counts, first bool) {
		t.Helper()
		if c, f := v.MessageReceived(now, 1, incarnation); c != counts || f != first {
			t.Errorf("at %.1f s incarnation %d: counts %t, first %t", now, incarnation, c, f)
		}
	}
	receives(1, 100, true, false)
	receives(2, 100, true, false)
	receives(3, 200, true, true) // a new process: the messages of the old one no longer count
	receives(3.1, 100, false, false)
	receives(3.2, 100, false, false) // delayed messages of the old one
	receives(3.3, 200, true, false)
	receives(3.9, 100, false, false)
	receives(4.2, 100, false, false) // within lowerIncarnationSeconds of the higher one's last message
	receives(4.25, 200, true, false)
	// A restart with the clock set back: only the lower incarnation sends, and after lowerIncarnationSeconds it counts.
	receives(9, 50, false, false)
	receives(9.5, 50, false, false)
	receives(10.1, 50, true, true)
	receives(10.2, 50, true, false)
	receives(10.3, 200, true, true) // the higher incarnation sends again: it had been cut off and not ended
}

func TestOldAndNewFormatCoexist(t *testing.T) {
	v := newPeerView(3)
	if v.UsesOldFormat(0, 1) {
		t.Error("a peer from which nothing was received is not sent the new format first")
	}
	v.RequestTimedOut(0.04, 1, 0)
	if !v.UsesOldFormat(0.05, 1) || !v.IsAlive(0.05, 1) {
		t.Error("a peer that does not respond to the new format is not sent the old one before it counts as dead")
	}
	if counts, first := v.MessageReceived(0.1, 1, 0); !counts || first {
		t.Error("a message in the old format does not count")
	}
	if !v.UsesOldFormat(100, 1) {
		t.Error("a peer that sends the old format is not sent it")
	}
	if counts, first := v.MessageReceived(200, 1, 9); !counts || !first || v.UsesOldFormat(200, 1) {
		t.Error("a restarted peer's message in the new format does not replace its former incarnation")
	}
	v.RequestTimedOut(201, 1, 200.9)
	if v.UsesOldFormat(201.1, 1) {
		t.Error("one miss of a peer that sends the new format switches it to the old one")
	}
}

// FuzzView sends any messages in any order. There must be no panic, no peer may be dead right after its message counted, and no
// pause may exceed the maximum.
func FuzzView(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		v, now := newPeerView(3), 0.0
		for range 300 {
			now += random.Float64() * 0.3
			at := random.IntN(5) - 1
			switch random.IntN(3) {
			case 0:
				if counts, first := v.MessageReceived(now, at, random.Uint64N(4)); counts && !v.IsAlive(now, at) ||
					first && !counts {
					t.Fatal("a peer is dead right after its message, or a message is first but does not count")
				}
			case 1:
				v.RequestTimedOut(now, at, now-0.1*random.Float64())
			case 2:
				if v.IsAlive(now, at) {
					v.BeforeRequest(now, at)
					v.UsesOldFormat(now, at)
				}
			}
		}
		for _, p := range v.peers {
			if p.pausedUntil > now+maxPauseSeconds {
				t.Fatalf("peer paused for another %.1f s", p.pausedUntil-now)
			}
		}
	})
}
