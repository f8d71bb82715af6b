package emulator_test

import (
	"fmt"
	"testing"

	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// largeWorld is a world of the size named in docs/emulator.md: 300 instances and some thousand commands per second.
func largeWorld() emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances, w.Rate = 45, 60, 3000
	w.Tiers[0].Backends, w.Tiers[1].Backends = 240, 60
	return w
}

// BenchmarkSimulation measures events per second on one core, and allocations.
func BenchmarkSimulation(b *testing.B) {
	for _, name := range []string{"two", "module"} {
		for _, peers := range []bool{false, true} {
			if peers && name == "two" {
				continue
			}
			b.Run(fmt.Sprintf("%s/peers=%v", name, peers), func(b *testing.B) {
				w := largeWorld()
				w.Rules.Peers = peers
				plan := faults.Random(1, 3, w.Bounds())
				b.ReportAllocs()
				events := uint64(0)
				for b.Loop() {
					_, n := emulator.Run(w, plan, factory(b, name), 1)
					events += n
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
				b.ReportMetric(float64(events)/float64(b.N), "events/day")
			})
		}
	}
}
