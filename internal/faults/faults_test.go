package faults

import (
	"strings"
	"testing"
)

var testBounds = Bounds{Duration: 40, Backends: []int{20, 10}, Zones: 3, Customers: 4}

func TestRandomPlansAreValidAndReproducible(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(300) {
		p, q := Random(seed, 3, testBounds), Random(seed, 3, testBounds)
		if err := p.Check(testBounds); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for i := range p {
			if p[i] != q[i] {
				t.Fatalf("seed %d drew %v the first time and %v the second", seed, p[i], q[i])
			}
			seen[p[i].Kind] = true
		}
	}
	for _, k := range Kinds()[:len(kindSpecs)-notRandom] {
		if !seen[k] {
			t.Errorf("%s is never drawn", k)
		}
	}
}

func TestCheckRejectsInvalidFaults(t *testing.T) {
	for _, c := range []struct {
		f    Fault
		want string
	}{
		{Fault{Kind: "fire"}, `kind "fire" is unknown`},
		{Fault{Kind: Slow, Tier: 2, Zone: -1}, "tier 2 is not one of 2"},
		{Fault{Kind: Slow, Hard: 2, Zone: -1}, "hard = 2 is not between"},
		{Fault{Kind: Crash, From: -1, Zone: -1}, "from = -1 is not between"},
		{Fault{Kind: Partition, Zone: 3}, "zone 3 is not one of 3"},
		{Fault{Kind: Partition, Zone: -1}, "zone -1 is not one of 3"},
		{Fault{Kind: Partition, To: 7}, "to 7 is not one of 3 zones"},
		{Fault{Kind: CustomerFlood, Zone: 9, Hard: 1}, "customer 9 is not one of 4"},
	} {
		err := Plan{{Kind: Crash, Zone: -1}, c.f}.Check(testBounds)
		if err == nil || !strings.Contains(err.Error(), "fault[1]") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want fault[1] and %q", c.f, err, c.want)
		}
	}
}

func TestRamp(t *testing.T) {
	f := Fault{Kind: Slow, From: 10, For: 10, Ramp: 2, Hard: 0.8}
	for at, want := range map[float64]float64{9: 0, 10: 0, 11: 0.4, 12: 0.8, 18: 0.8, 19: 0.4, 20: 0} {
		if got := f.SeverityAt(at); got != want {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
}

func TestReductionsTerminate(t *testing.T) {
	p := Random(5, 4, testBounds)
	for steps := 0; len(p) > 0; steps++ {
		if steps > 4 {
			t.Fatal("the first reduction does not remove a fault")
		}
		p = p.Reductions()[0]
	}
	if len(p.Reductions()) != 0 {
		t.Fatal("an empty plan has reductions")
	}
	// Repeating the last reduction ends as well.
	p = Plan{{Kind: Slow, Share: 1, For: 20, Ramp: 1, Hard: 0.9}}
	for steps := 0; ; steps++ {
		s := p.Reductions()
		if len(s) == 1 {
			break
		}
		if p = s[len(s)-1]; steps > 40 {
			t.Fatal("repeated reductions do not end")
		}
	}
}
