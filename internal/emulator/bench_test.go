package emulator_test

import (
	"fmt"
	"testing"

	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// day is a day of the size that the page on the emulator names: 300 instances, some thousand commands a second.
func bigDay() emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances, w.Rate = 45, 60, 3000
	w.Tiers[0].Backends, w.Tiers[1].Backends = 240, 60
	return w
}

// BenchmarkDay tells events a second on one core, and what each allocates.
func BenchmarkDay(b *testing.B) {
	for _, name := range []string{"two", "module"} {
		for _, peers := range []bool{false, true} {
			if peers && name == "two" {
				continue
			}
			b.Run(fmt.Sprintf("%s/peers=%v", name, peers), func(b *testing.B) {
				w := bigDay()
				w.Rules.Peers = peers
				plan := faults.Random(1, 3, w.Bounds())
				b.ReportAllocs()
				events := uint64(0)
				for b.Loop() {
					_, n := emulator.Run(w, plan, maker(b, name), 1)
					events += n
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
				b.ReportMetric(float64(events)/float64(b.N), "events/day")
			})
		}
	}
}
