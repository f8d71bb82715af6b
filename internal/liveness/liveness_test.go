package liveness

import "testing"

// Updates missed by a silent watch count as received 6 s after it fell silent, and those missed by an attempt that hangs 6 s
// after discovery became reachable. Each way to recover must fit into that time, even with another attempt that hangs.
func TestRecoveryFitsInSixSeconds(t *testing.T) {
	// In seconds: the slowest connection, the 6 s rule, and the interval at which a front checks its watch.
	const dial, counted, poll = 1.5, 6.0, 0.25
	if worst := silenceSeconds + poll + minBackoffSeconds + dial; worst > counted-1 {
		t.Errorf("recovery takes %v s from the last line of a watch that falls silent", worst)
	}
	if worst := silenceSeconds + poll + minBackoffSeconds + openTimeoutSeconds + poll + 2*minBackoffSeconds; worst > counted {
		t.Errorf("recovery takes %v s if the next attempt hangs", worst)
	}
	if worst := openTimeoutSeconds + poll + maxBackoffSeconds + dial; worst > counted {
		t.Errorf("recovery takes %v s from an attempt that hangs until just after discovery is reachable", worst)
	}
	if silenceSeconds < 1.25*heartbeatSeconds || openTimeoutSeconds <= dial {
		t.Error("a live watch would be given up")
	}
}

func TestBackoffGrowsUntilAConnectionLasts(t *testing.T) {
	var w Watch
	now := 100.0
	for i, want := range []float64{0.1, 0.2, 0.4, 0.8, 1.3, 1.3} {
		w.ConnectStarted(now)
		if w.LineReceived(now + 0.01); w.Lost {
			t.Error("still lost after a line was received")
		}
		if wait, isNew := w.ConnectionLost(now+0.1, "the answer ended", 1); wait != want || !isNew {
			t.Errorf("wait number %d is %v, new %t", i+1, wait, isNew)
		}
		now += 2
	}
	w.ConnectStarted(now)
	w.LineReceived(now)
	w.LineReceived(now + heartbeatSeconds)
	if wait, _ := w.ConnectionLost(now+heartbeatSeconds, "silent", 0); wait != minBackoffSeconds/2 {
		t.Errorf("wait of %v s after a connection that lasted", wait)
	}
	if _, isNew := w.ConnectionLost(now+3, "refused", 0); !isNew {
		t.Error("a loss with another reason is not reported as new")
	}
	if _, isNew := w.ConnectionLost(now+4, "refused", 0); isNew {
		t.Error("a loss with the same reason is reported as new")
	}
	if recovered := w.LineReceived(now + 5); !recovered || w.Lost || !w.Received {
		t.Error("a line after a loss does not end it")
	}
}

func TestIsDead(t *testing.T) {
	var w Watch
	w.ConnectStarted(10)
	if w.IsDead(11.9) || !w.IsDead(12.1) {
		t.Error("an attempt that hangs is not dead after openTimeoutSeconds")
	}
	w.HeadReceived(11)
	if w.IsDead(13.9) || !w.IsDead(14.1) {
		t.Error("a head without a line is not dead after silenceSeconds")
	}
	w.LineReceived(13)
	if w.IsDead(15.9) || !w.IsDead(16.1) {
		t.Error("silence after a line is not dead after silenceSeconds")
	}
}
