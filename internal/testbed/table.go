// This file writes the table of a load test. It shows medians with their spread, never a mean.

package testbed

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTable measures each program at each number of connections and body size, with the given number of repetitions, and
// writes medians with their spread as Markdown.
func WriteTable(ctx context.Context, out io.Writer, loads []LoadTest, names []string, connections, bodies []int,
	repetitions int) error {
	fmt.Fprintln(out,
		"| connections | body | path | commands/s | CPU us | open loop/s | added p50 us | p99 us | p99.9 us | failed |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var hot []string
	for _, body := range bodies {
		for _, conns := range connections {
			direct := []Measurement{}
			through := make([][]Measurement, len(loads))
			for range repetitions {
				for i := range loads { // alternating, so that a slow phase of the machine affects all programs alike
					d, t, err := loads[i].Run(ctx, conns, body)
					if err != nil {
						return err
					}
					direct, through[i] = append(direct, d), append(through[i], t)
				}
			}
			writeRow(out, "straight", direct, nil)
			for i, all := range through {
				name := names[i]
				if name == "" {
					name = "proxy"
				}
				writeRow(out, name, all, direct)
				if len(all[0].HotFunctions) > 0 {
					hot = append(hot, fmt.Sprintf("%d connections, %d bytes: %s", conns, body, strings.Join(all[0].HotFunctions, ", ")))
				}
			}
		}
	}
	for _, d := range hot {
		fmt.Fprintf(out, "\nDearest at %s.\n", d)
	}
	return nil
}

// writeRow writes one row. Latency is the difference to the direct measurements' median of the same percentile.
func writeRow(out io.Writer, name string, all, direct []Measurement) {
	spread := func(ms []Measurement, f func(Measurement) float64) (median, least, most float64) {
		var v []float64
		for _, m := range ms {
			v = append(v, f(m))
		}
		slices.Sort(v)
		return v[len(v)/2], v[0], v[len(v)-1]
	}
	rate, low, high := spread(all, func(m Measurement) float64 { return m.ClosedLoopRate })
	cpu, _, _ := spread(all, func(m Measurement) float64 { return 1e6 * m.CPU })
	open, _, _ := spread(all, func(m Measurement) float64 { return m.OpenLoopRate })
	failed := 0
	for _, m := range all {
		failed += m.Failed
	}
	fmt.Fprintf(out, "| %d | %d | %s | %.0f (%.0f to %.0f) | %.1f | %.0f |", all[0].Connections, all[0].Body, name, rate, low,
		high, cpu, open)
	for k := range 3 {
		f := func(m Measurement) float64 { return 1e6 * m.Latency[k] }
		v, low, high := spread(all, f)
		base := 0.0
		if direct != nil {
			base, _, _ = spread(direct, f)
		}
		fmt.Fprintf(out, " %.0f (%.0f to %.0f) |", v-base, low-base, high-base)
	}
	fmt.Fprintf(out, " %d |\n", failed)
}
