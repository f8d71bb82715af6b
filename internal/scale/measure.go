package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
)

// Measure is a whole run, in parts.
type Measure struct {
	Sizes    fleet.Sizes
	Counts   []int // numbers of proxies of the slopes, rising
	Real     int   // proxies that are real processes, in slopes and events
	Programs Programs
	Progress func(string)
	Only     []string // names of control's events; nil: all of them
}

// Part measures one part and puts its figures into the data.
func (m *Measure) Part(ctx context.Context, part string, data *Data) (err error) {
	var series []Series
	switch part {
	case "likeness":
		data.Likeness, err = Compare(ctx, LikenessOptions{Each: 20, Restarts: 40, RestartsEach: 5, CallsEach: 60, CallSeconds: 8,
			Rest:     4 * time.Second,
			Replicas: m.Sizes.ControlMachines, Changes: 10}, m.Programs)
	case "keepers":
		series, err = Keepers(ctx, KeeperOptions{Siblings: []int{2, 4, 8, 12, 16}, Rates: []float64{39, 79, 118, 157, 236},
			Fixed: 6, Rate: 20, Seconds: 6},
			m.Programs, m.Progress)
	case "slopes":
		series, err = Slopes(ctx, SlopeOptions{Sizes: m.Sizes, Counts: m.Counts, FitUpTo: m.Sizes.Proxies, Real: m.Real,
			Rest:     8 * time.Second,
			Restarts: 60, PerSecond: 8, Lists: []Lists{ServiceList, WholeList}}, m.Programs, m.Progress)
	case "otherslopes":
		series, err = OtherSlopes(ctx, m)
	case "events":
		for _, lists := range []Lists{ServiceList, WholeList} {
			var events []Event
			events, err = Events(ctx, EventOptions{Sizes: m.Sizes, Real: m.Real, Lists: lists, Burst: 30, BurstIn: time.Minute,
				Restarts: int(m.Sizes.RestartsPerDay), Batch: 10, Silence: 30 * time.Second, Cut: time.Minute}, m.Programs, m.Progress)
			for _, e := range events {
				data.replaceEvent(e)
			}
			if err != nil {
				break
			}
		}
	case "control":
		var events []Event
		events, err = ControlEvents(ctx, ControlOptions{Sizes: m.Sizes, Real: m.Real, Replicas: m.Sizes.ControlMachines,
			Changes: 10, Burst: 30,
			BurstIn: time.Minute, Cut: time.Minute, Only: m.Only}, m.Programs, m.Progress)
		for _, e := range events {
			data.replaceEvent(e)
		}
	case "controlslopes":
		series, err = ControlSlopes(ctx, SlopeOptions{Sizes: m.Sizes, Counts: m.Counts, FitUpTo: m.Sizes.Proxies, Real: m.Real,
			Rest: 8 * time.Second},
			[]int{m.Sizes.ControlMachines, 3}, 5, m.Programs, m.Progress)
	case "added":
		const ownRate = 157 // calls a second at each proxy of the operators' size
		var added []Added
		added, err = MeasureAdded(ctx, AddedOptions{Rates: []float64{ownRate, 2 * ownRate}, ChainRate: ownRate, Depth: m.Sizes.Depth,
			Connections: 4, Seconds: 5, Rounds: 4}, m.Programs, m.Progress)
		for _, a := range added {
			data.replaceAdded(a)
		}
	default:
		return fmt.Errorf("part %q is unknown", part)
	}
	if err == nil {
		data.replaceSeries(series)
	}
	return err
}
