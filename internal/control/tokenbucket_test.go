package control

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestTokenBucketSpacesMessagesEvenly(t *testing.T) {
	b := NewTokenBucket(1000, 500)
	sent := 0
	last := 0.0
	for now := 7.0; sent < 20; now = b.EarliestTime(now, 250) {
		if !b.TryTake(now, 250) {
			t.Fatalf("TryTake refuses at %v, the time that EarliestTime returned", now)
		}
		sent++
		last = now
	}
	if want := 7 + (20*250-500)/1000.0; math.Abs(last-want) > 1e-6 {
		t.Errorf("the last of 20 messages is sent at %v, want %v", last, want)
	}
}

func TestFullTokenBucketAllowsMessageLargerThanBurst(t *testing.T) {
	b := NewTokenBucket(1000, 500)
	if !b.TryTake(0, 3000) || b.TryTake(1, 1) {
		t.Error("a message larger than the burst is refused, or one right after it is allowed")
	}
	if next := b.EarliestTime(1, 500); math.Abs(next-3) > 1e-6 || !b.TryTake(next, 500) {
		t.Errorf("the next message is allowed at %v, want 3", next)
	}
}

func TestTokenBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTokenBucket(100, 50)
		now, sent := 0.0, 0.0
		for range 50 {
			now += rapid.Float64Range(-0.1, 2).Draw(t, "pause")
			bytes := rapid.IntRange(0, 50).Draw(t, "bytes")
			if b.TryTake(now, bytes) {
				sent += float64(bytes)
			}
			if sent > 50+100*(max(now, 0)+5)+1e-6 {
				t.Fatalf("%v bytes in %v s", sent, now)
			}
		}
	})
}
