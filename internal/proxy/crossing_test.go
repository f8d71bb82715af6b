package proxy

import (
	"strings"
	"testing"
	"time"
)

// Two events cross: each test puts both into the order, or the one turn of the loop, that does harm. A hook of the test's
// holds the loop until the other is done, so that the verdict is the same on a busy machine.

// until waits in a held turn for what others do meanwhile.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s: did not come", what)
			return
		}
	}
}

// dialling is the connection to a backend that is not up yet, if there is one.
func (p *Proxy) dialling(name string) *link {
	for l := range p.backends.links {
		if l.to.name == name && !l.up && l.relay != nil {
			return l
		}
	}
	return nil
}

// A further relay of a receipted command is chosen within the window for repeats and its connection is up past it: written
// then, it would be a second run that no backend knows for a repeat.
func TestWindowPassesWhileDialling(t *testing.T) {
	t.Parallel()
	first, second := newToy(t, fall), newToy(t, ok)
	const window = 0.15
	l := config(listing(1, true, ready("s-1", first)), nil, strings.Replace(settingsText, `"key_scope": "cell", "window_ms": 5000`,
		`"key_scope": "cell", "window_ms": 150`, 1))
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	both := decode(t, listing(2, true, ready("s-1", first), ready("s-2", second)))
	held, told := false, false
	r := runHeld(t, p, func() {
		if !told && len(p.commands) > 0 { // it went to the one that fails: the other is listed only now
			told = true
			p.take(both)
		}
		if l := p.dialling("s-2"); l != nil && !held {
			held = true
			until(t, "the window's end", func() bool { return float64(time.Now().UnixMicro())/1e6 > l.relay.cmd.relays[0].sent+window })
		}
	})
	status, _, _ := r.caller(t).ask(text("order", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n"))
	r.end()
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
	r.ended <- nil
	if !held || status != 502 || first.commands.Load() != 1 || second.commands.Load() != 0 {
		t.Errorf("held %t, status %d, ran %d and %d times", held, status, first.commands.Load(), second.commands.Load())
	}
}
