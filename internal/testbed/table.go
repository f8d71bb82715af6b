// This file owns the table of a load measurement. It must never show a mean where the spread is what matters.

package testbed

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Table measures each program at each number of connections and size of bodies, so often in turn, and writes medians
// with their spread as Markdown.
func WriteTable(ctx context.Context, out io.Writer, loads []LoadTest, names []string, connections, bodies []int, times int) error {
	fmt.Fprintln(out, "| connections | body | path | commands/s | CPU us | open loop/s | added p50 us | p99 us | p99.9 us | failed |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var dear []string
	for _, body := range bodies {
		for _, conns := range connections {
			straight := []Measurement{}
			through := make([][]Measurement, len(loads))
			for range times {
				for i := range loads { // in turn, so that a slower moment of the machine hits all alike
					d, t, err := loads[i].Run(ctx, conns, body)
					if err != nil {
						return err
					}
					straight, through[i] = append(straight, d), append(through[i], t)
				}
			}
			row(out, "straight", straight, nil)
			for i, all := range through {
				name := names[i]
				if name == "" {
					name = "proxy"
				}
				row(out, name, all, straight)
				if len(all[0].HotFunctions) > 0 {
					dear = append(dear, fmt.Sprintf("%d connections, %d bytes: %s", conns, body, strings.Join(all[0].HotFunctions, ", ")))
				}
			}
		}
	}
	for _, d := range dear {
		fmt.Fprintf(out, "\nDearest at %s.\n", d)
	}
	return nil
}

// row writes a line. Latency is what is added to the straight way's median of the same quantile.
func row(out io.Writer, name string, all, straight []Measurement) {
	of := func(ms []Measurement, f func(Measurement) float64) (median, least, most float64) {
		var v []float64
		for _, m := range ms {
			v = append(v, f(m))
		}
		slices.Sort(v)
		return v[len(v)/2], v[0], v[len(v)-1]
	}
	rate, low, high := of(all, func(m Measurement) float64 { return m.ClosedLoopRate })
	cpu, _, _ := of(all, func(m Measurement) float64 { return 1e6 * m.CPU })
	open, _, _ := of(all, func(m Measurement) float64 { return m.OpenLoopRate })
	failed := 0
	for _, m := range all {
		failed += m.Failed
	}
	fmt.Fprintf(out, "| %d | %d | %s | %.0f (%.0f to %.0f) | %.1f | %.0f |", all[0].Connections, all[0].Body, name, rate, low, high, cpu, open)
	for k := range 3 {
		f := func(m Measurement) float64 { return 1e6 * m.Latency[k] }
		v, low, high := of(all, f)
		base := 0.0
		if straight != nil {
			base, _, _ = of(straight, f)
		}
		fmt.Fprintf(out, " %.0f (%.0f to %.0f) |", v-base, low-base, high-base)
	}
	fmt.Fprintf(out, " %d |\n", failed)
}
