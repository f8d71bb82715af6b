package scale

import (
	"context"
	"testing"
	"time"

	"sandpass/internal/scale/fleet"
)

func TestAChangeReachesASmallFleetByControl(t *testing.T) {
	sizes := fleet.Default().ScaledTo(33)
	o := ControlOptions{Sizes: sizes, Real: 3, Replicas: 5, Changes: 2, Burst: 3, BurstIn: 2 * time.Second, Cut: 6 * time.Second}
	events, err := ControlEvents(context.Background(), o, programs(), func(what string) { t.Log(what) })
	for _, e := range events {
		t.Logf("%+v %+v", e, e.InForce)
	}
	if err != nil {
		t.Fatal(err)
	}
}
