package scale

import (
	"context"
	"testing"
	"time"

	"sandpass/internal/scale/fleet"
)

// TestControlChangesReachSmallFleet checks that every proxy gets each change, also after the busiest replica was lost and a
// region was cut off. It checks counts only, because the time until a change is in force depends on the machine.
func TestControlChangesReachSmallFleet(t *testing.T) {
	t.Parallel()
	sizes := fleet.Default().ScaledTo(33)
	o := ControlOptions{Sizes: sizes, RealProxies: 3, Replicas: 5, Changes: 2, Burst: 3, BurstWindow: 2 * time.Second,
		RegionOutage: 5 * time.Second, EventNames: []string{eventChange, eventBurst, eventBusiestLost, eventRegionCut}}
	events, err := RunControlEvents(context.Background(), o, programs(), func(what string) { t.Log(what) })
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != len(o.EventNames) {
		t.Fatalf("%d events, want %d", len(events), len(o.EventNames))
	}
	for i, values := range []int{2 * 33, 3 * 33, 33, 21} { // 12 of the 33 proxies are in the region that is cut off
		e := events[i]
		t.Logf("%s: %+v, settled %.3f s", e.Name, *e.InForce, e.SettledSeconds)
		if e.InForce.Values != values {
			t.Errorf("%s: in force %d times, want %d", e.Name, e.InForce.Values, values)
		}
	}
	changes, document := 2.0, float64(sizes.ChangeBytes)
	if proxy := events[0].Peaks[0].TotalBytes; proxy < changes*document || proxy > 2*changes*document {
		t.Errorf("%.0f bytes at a proxy for %.0f changes of %.0f bytes, want one to two times their size", proxy, changes,
			document)
	}
}
