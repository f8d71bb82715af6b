package boottime

import "testing"

func TestSince(t *testing.T) {
	first := Now()
	later := Now()
	if d, known := later.Since(first); !known || d < 0 || d > 60 {
		t.Errorf("%v after %v: %.3f s, known %t", later, first, d, known)
	}
	for _, before := range []Time{{}, {BootID: "another", Seconds: 1}, {BootID: later.BootID, Seconds: later.Seconds + 1}} {
		if _, known := later.Since(before); known {
			t.Errorf("the time of %v since %v is reported as known", later, before)
		}
	}
	if _, known := (Time{}).Since(Time{}); known {
		t.Error("the time between two unknown times is reported as known")
	}
}
