// This file owns the report of one day in words. It must never judge: the account has done that.

package lab

import (
	"fmt"
	"io"
	"strings"
)

// Tell writes a day's course, losses and broken rules.
// kind says how it was played: simulated, or on sockets.
func WriteReport(w io.Writer, d RunResult, kind string) error {
	a := d.Account
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d (%s): G %.4f, served %.4f, worst 10 s %.3f, worst customer %.3f\n", d.Policy, d.Seed, kind, a.Score(true),
		a.ServedUtility/max(a.OfferedUtility, 1e-9), a.WorstTenSeconds(), a.WorstCustomer())
	fmt.Fprintf(&b, "%d operations, %d answered; %d commands, %d relays, %d further ones, %d messages; p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms\n",
		a.Operations, a.Answered, a.Commands, a.Relays, a.FurtherRelays, a.Messages, 1000*a.Quantile(0.5), 1000*a.Quantile(0.99), 1000*a.Quantile(0.999))
	for _, f := range d.Plan {
		fmt.Fprintf(&b, "fault: %s\n", f)
	}
	if len(a.Violations) == 0 {
		b.WriteString("rules: kept\n")
	}
	for _, x := range a.Violations {
		fmt.Fprintf(&b, "BROKEN %s\n", x)
	}
	fmt.Fprintf(&b, "lost, as a part of the worth asked for:\n")
	for _, l := range a.Losses[:min(12, len(a.Losses))] {
		fmt.Fprintf(&b, "  %.4f  %6d  %s at %s of tier %d\n", l.Utility/max(a.OfferedUtility, 1e-9), l.Count, l.Cause, l.Place, l.Tier)
	}
	b.WriteString("by second: asked, part served\n")
	for t := range a.OfferedBySecond {
		if a.OfferedBySecond[t] <= 0 {
			continue
		}
		part := a.ServedBySecond[t] / a.OfferedBySecond[t]
		var now []string
		for _, f := range d.Plan {
			if f.From < float64(t+1) && f.From+f.For > float64(t) {
				now = append(now, string(f.Kind))
			}
		}
		fmt.Fprintf(&b, "  %3d  %8.0f  %.3f %-25s %s\n", t, a.OfferedBySecond[t], part, strings.Repeat("#", int(25*min(1, max(0, part)))), strings.Join(now, " "))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
