package membership

import (
	"math/rand/v2"
	"testing"
)

func view(n int) *PeerView {
	v := &PeerView{}
	v.Resize(n)
	return v
}

func TestOneMissProvesNothingTwoInARowDo(t *testing.T) {
	v := view(3)
	v.MessageReceived(10, 1, 7)
	v.RequestTimedOut(10.1, 1, 10.06)
	for range 50 { // requests that were out at the same time count once
		v.RequestTimedOut(10.12, 1, 10.07)
	}
	if !v.IsAlive(10.13, 1) {
		t.Error("given up for one miss, though fifty requests shared it")
	}
	v.RequestTimedOut(10.2, 1, 10.15)
	if v.IsAlive(10.21, 1) {
		t.Error("two misses in a row, and it is still asked")
	}
	if !v.IsAlive(10.21, 2) {
		t.Error("another is given up for it")
	}
	v.MessageReceived(10.3, 1, 7)
	if !v.IsAlive(10.3, 1) {
		t.Error("it spoke, and is not asked")
	}
}

func TestOneThatIsGivenUpIsTriedByOneRequestAtATime(t *testing.T) {
	v := view(2)
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
		t.Errorf("%d requests in a minute to one that never answers", tries)
	}
	if last < 60-pauseLast-0.2 {
		t.Errorf("not tried after %.1f s", last)
	}
}

func TestAFormerIncarnationNoLongerCounts(t *testing.T) {
	v := view(2)
	receives := func(now float64, incarnation uint64, counts, fresh bool) {
		t.Helper()
		if c, f := v.MessageReceived(now, 1, incarnation); c != counts || f != fresh {
			t.Errorf("at %.1f s incarnation %d: counts %t, fresh %t", now, incarnation, c, f)
		}
	}
	receives(1, 100, true, false)
	receives(2, 100, true, false)
	receives(3, 200, true, true) // a new process: what the old one said is void
	receives(3.1, 100, false, false)
	receives(3.2, 100, false, false) // late messages of the old one
	receives(3.3, 200, true, false)
	receives(3.9, 100, false, false)
	receives(4.2, 100, false, false) // within stepsBackAfter of the higher one's last message
	receives(4.25, 200, true, false)
	// A restart whose clock was set back: it goes on alone, and soon counts.
	receives(9, 50, false, false)
	receives(9.5, 50, false, false)
	receives(10.1, 50, true, true)
	receives(10.2, 50, true, false)
	receives(10.3, 200, true, true) // the higher incarnation sends again: it was a cut, not an end
}

func TestOldAndNewFormBesideOneAnother(t *testing.T) {
	v := view(3)
	if v.UsesOldFormat(0, 1) {
		t.Error("a peer from which nothing was received is first sent the new form")
	}
	v.RequestTimedOut(0.04, 1, 0)
	if !v.UsesOldFormat(0.05, 1) || !v.IsAlive(0.05, 1) {
		t.Error("one that does not answer in the new form is to be asked in the old one before it is given up")
	}
	if counts, fresh := v.MessageReceived(0.1, 1, 0); !counts || fresh {
		t.Error("a message in the old form counts")
	}
	if !v.UsesOldFormat(100, 1) {
		t.Error("a peer that sends the old form is sent it")
	}
	if counts, fresh := v.MessageReceived(200, 1, 9); !counts || !fresh || v.UsesOldFormat(200, 1) {
		t.Error("a restarted peer sends the new form, and its former incarnation's messages are void")
	}
	v.RequestTimedOut(201, 1, 200.9)
	if v.UsesOldFormat(201.1, 1) {
		t.Error("one miss of a peer that sends the new form is no reason for the old one")
	}
}

// Any messages in any order: never a panic, never a peer given up while it sends, and the sender of the last is the incarnation
// that counts.
func FuzzView(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		chance := rand.New(rand.NewPCG(seed, 1))
		v, now := view(3), 0.0
		for range 300 {
			now += chance.Float64() * 0.3
			at := chance.IntN(5) - 1
			switch chance.IntN(3) {
			case 0:
				if counts, fresh := v.MessageReceived(now, at, chance.Uint64N(4)); counts && !v.IsAlive(now, at) || fresh && !counts {
					t.Fatal("it has just spoken, and is not asked")
				}
			case 1:
				v.RequestTimedOut(now, at, now-0.1*chance.Float64())
			case 2:
				if v.IsAlive(now, at) {
					v.BeforeRequest(now, at)
					v.UsesOldFormat(now, at)
				}
			}
		}
		for _, s := range v.peers {
			if s.pausedUntil > now+pauseLast {
				t.Fatalf("left alone for %.1f s", s.pausedUntil-now)
			}
		}
	})
}
