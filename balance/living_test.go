// This file owns the stories of siblings that fail: keepers that are no more, that have just come, that speak an earlier
// form. It must never go by the module's own view of who lives.
package balance

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
)

// among brings messages among those that live; what is told to the others is lost.
func among(hosts []*fakeHost, lives func(i int) bool) {
	deliver(hosts, func(from int, m *telling) bool { return lives(from) && lives(m.to) })
}

// Nine of ten proxies are killed: each command of the rest waited 80 ms for two keepers that were no more, and then for
// nothing. Now the first few find out, and the others ask those that live.
func TestKeepersThatDiedAreNotWaitedFor(t *testing.T) {
	const n = 40
	hosts := beside(t, n, ready(30))
	lives := func(int) bool { return true }
	id, each := uint64(0), 1
	waited := func(rounds int) (late int) {
		for range rounds {
			for i, h := range hosts {
				if !lives(i) {
					continue
				}
				for range each {
					id++
					h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
					among(hosts, lives)
					if len(h.toOf(id)) == 0 {
						late++
					}
				}
			}
			for _, h := range hosts {
				h.until(h.now + 0.05)
			}
			among(hosts, lives)
			for _, h := range hosts {
				for k := range h.relays {
					if !h.ended[h.relays[k].cmd] {
						h.outcome(h.relays[k].cmd, 0, Answered)
					}
				}
			}
			among(hosts, lives)
		}
		return late
	}
	if waited(30); waited(10) > 10 {
		t.Fatal("commands wait though all keepers live")
	}
	lives = func(i int) bool { return i%10 == 0 }
	each = 10 // their clients come to those that are left
	if late := waited(100); late == 0 {
		t.Fatal("nobody noticed that the keepers are gone: this day shows nothing")
	}
	if late := waited(40); late > 400 { // of 1,600, nearly all of which waited before: now and then one tries whether a keeper is back
		t.Errorf("%d of 1,600 commands still wait for the dead", late)
	}
}

// A keeper that has just come counts nothing: it granted as if all were idle, to all at once.
func TestAKeeperThatHasJustComeIsNotBelievedAlone(t *testing.T) {
	hosts := beside(t, 2, ready(3))
	h := hosts[0]
	h.until(h.now + 20)
	hosts[1].until(h.now)
	fill := func(from uint64, count int) (sent int) {
		for cmd := from; cmd < from+uint64(count); cmd++ {
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
			carry(hosts, nil)
			sent += len(h.toOf(cmd))
		}
		return sent
	}
	full := fill(1, 60)
	if full > 2*room*3 || full < room {
		t.Fatalf("%d sent", full)
	}
	// Both processes of the other place: the one that knew is killed, one that knows nothing takes its place.
	again := start(t, setup{limits: Limits{MaxRelays: 4, SecondCopies: true, CancelRelays: true, PeerMessages: true, KeyAffinity: true},
		backends: ready(3), place: Placement{Index: 1, Instances: 2}})
	again.now = h.now
	again.b.now, again.b.start = h.now, h.now
	hosts[1] = again
	if more := fill(1001, 60); more > full/2 {
		t.Errorf("%d more sent on the word of a keeper that knows nothing, beside %d", more, full)
	}
}

func TestWhatAFormerLifeSaidIsVoid(t *testing.T) {
	hosts := beside(t, 2, ready(1))
	keeper := hosts[0]
	if keeper.b.keeper(0) != 0 {
		keeper = hosts[1]
	}
	other := 1 - keeper.b.place.Index
	k := keeper.b.fleet[0]
	says := func(life uint64, amount byte) {
		keeper.b.MessageReceived(keeper.now, other, note{noteOut, 0, k.tag(), amount, flagSent, 0}.lived(life))
	}
	says(100, 9)
	if sum := k.tally.sum(keeper.now, noteLife); sum != 9 {
		t.Fatalf("%v out, 9 were told", sum)
	}
	says(200, 1)
	if sum := k.tally.sum(keeper.now, noteLife); sum != 1 {
		t.Errorf("%v out: what the former process had counts as well", sum)
	}
	says(100, 9) // a message of it that was delayed
	if sum := k.tally.sum(keeper.now, noteLife); sum != 1 {
		t.Errorf("%v out after late word of the former process", sum)
	}
}

// Beside a process of the version before: that one knows only the form without a life, whoever asks.
func TestAMixedFleet(t *testing.T) {
	hosts := beside(t, 2, ready(30))
	old := 1
	for round := range uint64(30) {
		for i, h := range hosts {
			cmd := 100*round + uint64(i)
			h.b.CommandReceived(h.now, cmd, 0, 0, h.now+6, 0)
		}
		deliver(hosts, func(from int, m *telling) bool {
			lived := len(m.text) != noteSize
			if from == old && lived {
				m.text = bytes.Clone(m.text[:noteSize])
				m.text[0] -= noteLived
				m.text[6] = min(m.text[6], flagYes)
			}
			return m.to != old || !lived // which it does not read
		})
		for i, h := range hosts {
			h.until(h.now + 0.1)
			if cmd := 100*round + uint64(i); round > 1 && len(h.toOf(cmd)) == 0 {
				t.Errorf("round %d: instance %d has not sent its command", round, i)
			}
		}
	}
	if !hosts[0].b.view.UsesOldFormat(hosts[0].now, old) {
		t.Error("the process that speaks the old form is not spoken to in it")
	}
}

func TestNotesOfAnyBytes(t *testing.T) {
	n := note{noteAsk, 3, 9, 200, flagPerhaps, 8}
	if got, life, ok := readNote(n.lived(77)); !ok || life != 77 || got != n {
		t.Errorf("%+v %d %t", got, life, ok)
	}
	plain := n.bytes()
	if IsMessage(plain) {
		t.Error("the old form has no word for what a keeper that has just come says")
	}
	zero := binary.LittleEndian.AppendUint64(append([]byte{noteAsk + noteLived}, plain[1:]...), 0)
	for _, text := range [][]byte{nil, plain[:6], zero, n.lived(77)[:15], append(n.lived(77), 0), bytes.Repeat([]byte{255}, 16)} {
		if IsMessage(text) {
			t.Errorf("% x is taken for a note", text)
		}
	}
}

// One that stands still for ten seconds finds all its questions unanswered, and must not take the others for dead.
func TestWhoStoodStillGivesNobodyUp(t *testing.T) {
	hosts := beside(t, 30, ready(30))
	h := hosts[3]
	for cmd := uint64(1); cmd < 20; cmd++ {
		h.b.CommandReceived(h.now, cmd, 0, 0, h.now+60, 0)
	}
	for range 5 {
		h.now += 10 // all its timers are due at once
		for _, w := range slices.Clone(h.wakes) {
			if w.at <= h.now {
				h.wakes = slices.DeleteFunc(h.wakes, func(x wake) bool { return x == w })
				h.b.TimerFired(h.now, w.token)
			}
		}
	}
	for i := range hosts {
		if !h.b.view.IsAlive(h.now, i) {
			t.Errorf("sibling %d is given up", i)
		}
	}
}

// Fewer siblings leave each more of what is common, and take it back as soon as answers are late.
func TestSharesGoByWhoIsThere(t *testing.T) {
	h := start(t, setup{place: Placement{Instances: 60}, backends: ready(120), customers: []Customer{{Allowance: 600, PreviousIndex: -1}}})
	id := uint64(0)
	run := func(seconds float64, rate int, took float64) {
		for end := h.now + seconds; h.now < end; h.until(h.now + 1/float64(rate)) {
			id++
			h.b.CommandReceived(h.now, id, 0, 0, h.now+6, 0)
			for n, s := range h.relays {
				if c := h.b.commands[s.cmd]; c != nil && n+2000 > len(h.relays) && h.now >= c.came+took && c.relays[0].out {
					h.outcome(s.cmd, 0, Answered)
				}
			}
			h.relays = slices.DeleteFunc(h.relays, func(s sent) bool { return h.b.commands[s.cmd] == nil })
		}
	}
	run(10, 20, 0.05)
	share, width := h.b.share(), len(h.b.window)
	run(3, 200, 0.05)
	if now := h.b.share(); now < 4*share {
		t.Errorf("share %.1f, it was %.1f before nine of ten siblings went", now, share)
	}
	if now := len(h.b.window); now < 2*width {
		t.Errorf("window of %d backends, %d before", now, width)
	}
	run(3, 20, 0.05)
	if h.b.living() != 60 || len(h.b.window) != width {
		t.Errorf("%.1f believed to live, window %d, when all are back", h.b.living(), len(h.b.window))
	}
}

// Words that come twice or were overtaken on the way: a keeper that took the last to come for the last that was said
// counted work that had long ended, and declined half of all commands.
func TestWordsThatWereOvertakenAreOld(t *testing.T) {
	hosts := beside(t, 2, ready(1))
	keeper := hosts[0]
	if keeper.b.keeper(0) != 0 {
		keeper = hosts[1]
	}
	other, k := 1-keeper.b.place.Index, keeper.b.fleet[0]
	says := func(turn, amount, flag byte, want float64) {
		t.Helper()
		keeper.b.MessageReceived(keeper.now, other, note{noteOut, 0, k.tag(), amount, flag, turn}.lived(100))
		if sum := k.tally.sum(keeper.now, noteLife); sum != want {
			t.Errorf("word %d: %v out, want %v", turn, sum, want)
		}
	}
	says(254, 1, flagNone, 1)
	says(1, 3, flagNone, 3)   // after 255 comes 1
	says(255, 2, flagNone, 3) // was overtaken
	says(3, 0, flagNone, 0)
	says(2, 4, flagNone, 0) // overtaken by the word that nothing is out any more
	says(4, 5, flagNone, 5)

	asks := func(turn byte) int {
		keeper.told = nil
		keeper.b.MessageReceived(keeper.now, other, note{noteAsk, 0, 0, 255, flagNone, turn}.lived(100))
		return len(keeper.told)
	}
	if asks(7) != 1 || asks(7) != 0 || asks(8) != 1 {
		t.Error("a question is to be answered once, however often it comes")
	}
	keeper.until(keeper.now + 1)
	if asks(7) != 1 {
		t.Error("a second later the number is another question's")
	}
}
