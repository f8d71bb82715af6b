// This file formats the report of one run. All findings come from the checker's report.

package lab

import (
	"fmt"
	"io"
	"strings"
)

// WriteReport writes the time series, losses and broken rules of a run.
// kind says how it was run: simulated, or on real sockets.
func WriteReport(w io.Writer, result RunResult, kind string) error {
	report := result.Report
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d (%s): G %.4f, served %.4f, worst 10 s %.3f, worst customer %.3f\n",
		result.Policy, result.Seed, kind, report.Score(true),
		report.ServedUtility/max(report.OfferedUtility, 1e-9), report.WorstTenSeconds(), report.WorstCustomer())
	fmt.Fprintf(&text,
		"%d operations, %d answered; %d commands, %d relays, %d further ones, %d messages; p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms\n",
		report.Operations, report.Answered, report.Commands, report.Relays, report.FurtherRelays, report.Messages,
		1000*report.Quantile(0.5), 1000*report.Quantile(0.99), 1000*report.Quantile(0.999))
	for _, f := range result.Plan {
		fmt.Fprintf(&text, "fault: %s\n", f)
	}
	if len(report.Violations) == 0 {
		text.WriteString("rules: kept\n")
	}
	for _, x := range report.Violations {
		fmt.Fprintf(&text, "BROKEN %s\n", x)
	}
	fmt.Fprintf(&text, "lost, as a part of the worth asked for:\n")
	for _, l := range report.Losses[:min(12, len(report.Losses))] {
		fmt.Fprintf(&text, "  %.4f  %6d  %s at %s of tier %d\n",
			l.Utility/max(report.OfferedUtility, 1e-9), l.Count, l.Cause, l.Place, l.Tier)
	}
	text.WriteString("by second: asked, part served\n")
	for t := range report.OfferedBySecond {
		if report.OfferedBySecond[t] <= 0 {
			continue
		}
		share := report.ServedBySecond[t] / report.OfferedBySecond[t]
		var activeFaults []string
		for _, f := range result.Plan {
			if f.From < float64(t+1) && f.From+f.For > float64(t) {
				activeFaults = append(activeFaults, string(f.Kind))
			}
		}
		fmt.Fprintf(&text, "  %3d  %8.0f  %.3f %-25s %s\n", t, report.OfferedBySecond[t], share,
			strings.Repeat("#", int(25*min(1, max(0, share)))), strings.Join(activeFaults, " "))
	}
	_, err := io.WriteString(w, text.String())
	return err
}
