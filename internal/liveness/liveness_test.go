package liveness

import "testing"

// What a silent watch misses counts as told 6 s after it fell silent, and what an opening that hangs misses 6 s after
// discovery could be reached: each way to have the list again must fit in, also with another opening that hangs.
func TestFitsInSixSeconds(t *testing.T) {
	const dial, told, look = 1.5, 6.0, 0.25 // the latest connection, the rule, and the time between a front's looks
	if worst := silence + look + againFirst + dial; worst > told-1 {
		t.Errorf("%v s from the last line of a watch that falls silent", worst)
	}
	if worst := silence + look + againFirst + opensIn + look + 2*againFirst; worst > told {
		t.Errorf("%v s where the next opening hangs", worst)
	}
	if worst := opensIn + look + againLast + dial; worst > told {
		t.Errorf("%v s from an opening that hangs until just after the return", worst)
	}
	if silence < 1.25*heartbeat || opensIn <= dial {
		t.Error("what lives would be given up")
	}
}

func TestWaitsGrowUntilOneLasted(t *testing.T) {
	var w Watch
	now := 100.0
	for i, want := range []float64{0.1, 0.2, 0.4, 0.8, 1.3, 1.3} {
		w.ConnectStarted(now)
		if w.LineReceived(now + 0.01); w.Lost {
			t.Error("still lost after a line")
		}
		if wait, news := w.ConnectionLost(now+0.1, "the answer ended", 1); wait != want || !news {
			t.Errorf("the %d. wait is %v, news %t", i+1, wait, news)
		}
		now += 2
	}
	w.ConnectStarted(now)
	w.LineReceived(now)
	w.LineReceived(now + heartbeat)
	if wait, _ := w.ConnectionLost(now+heartbeat, "silent", 0); wait != againFirst/2 {
		t.Errorf("%v s after one that lasted", wait)
	}
	if _, news := w.ConnectionLost(now+3, "refused", 0); !news {
		t.Error("another reason is news")
	}
	if _, news := w.ConnectionLost(now+4, "refused", 0); news {
		t.Error("the same again is none")
	}
	if back := w.LineReceived(now + 5); !back || w.Lost || !w.Received {
		t.Error("back")
	}
}

func TestDead(t *testing.T) {
	var w Watch
	w.ConnectStarted(10)
	if w.IsDead(11.9) || !w.IsDead(12.1) {
		t.Error("an opening that hangs")
	}
	w.HeadReceived(11)
	if w.IsDead(13.9) || !w.IsDead(14.1) {
		t.Error("a head and no line")
	}
	w.LineReceived(13)
	if w.IsDead(15.9) || !w.IsDead(16.1) {
		t.Error("silence after a line")
	}
}
