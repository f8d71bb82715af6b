package control

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestPacerSpreadsWholeConfigurations(t *testing.T) {
	p := NewTokenBucket(1000, 500)
	sent := 0
	last := 0.0
	for now := 7.0; sent < 20; now = p.EarliestTime(now, 250) {
		if !p.TryTake(now, 250) {
			t.Fatalf("at %v it refuses what it said it takes", now)
		}
		sent++
		last = now
	}
	if want := 7 + (20*250-500)/1000.0; math.Abs(last-want) > 1e-6 {
		t.Errorf("the last of 20 goes at %v; wanted %v", last, want)
	}
}

func TestPacerLetsALargeOneThroughOnAFullBucket(t *testing.T) {
	p := NewTokenBucket(1000, 500)
	if !p.TryTake(0, 3000) || p.TryTake(1, 1) {
		t.Error("a large one does not pass, or another right after it")
	}
	if next := p.EarliestTime(1, 500); math.Abs(next-3) > 1e-6 || !p.TryTake(next, 500) {
		t.Errorf("the next goes at %v", next)
	}
}

func TestPacerNeverGoesOverItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewTokenBucket(100, 50)
		now, sent := 0.0, 0.0
		for range 50 {
			now += rapid.Float64Range(-0.1, 2).Draw(t, "pause")
			bytes := rapid.IntRange(0, 50).Draw(t, "bytes")
			if p.TryTake(now, bytes) {
				sent += float64(bytes)
			}
			if sent > 50+100*(max(now, 0)+5)+1e-6 {
				t.Fatalf("%v bytes in %v s", sent, now)
			}
		}
	})
}
