package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

// progressLine is a status line that is rewritten in place on a terminal. Other outputs get nothing.
type progressLine struct {
	out      io.Writer
	terminal bool
	shown    bool
}

// newProgressLine returns a progress line for an output.
func newProgressLine(out io.Writer) *progressLine {
	file, isFile := out.(*os.File)
	return &progressLine{out: out, terminal: isFile && term.IsTerminal(int(file.Fd()))}
}

// show replaces the text of the line.
func (p *progressLine) show(format string, args ...any) {
	if p.terminal {
		fmt.Fprintf(p.out, "\r\x1b[K"+format, args...)
		p.shown = true
	}
}

// end moves past the line, if it was shown.
func (p *progressLine) end() {
	if p.shown {
		fmt.Fprintln(p.out)
	}
}

// table aligns the tab-separated columns that write produces.
func table(out io.Writer, write func(io.Writer)) error {
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(tabs)
	return tabs.Flush()
}

// printApplied prints the revision under which a change was accepted.
func printApplied(out io.Writer, asJSON bool, accepted controlapi.ApplyResponse, base revision.Number) error {
	if asJSON {
		return printJSON(out, accepted)
	}
	_, err := fmt.Fprintf(out, "revision %d accepted for %s, made from revision %d\n", accepted.Number, accepted.Scope, base)
	return err
}

// printConflict lists the conflicting revisions of a conflict error. It prints nothing for other errors.
func printConflict(out io.Writer, err error) {
	var apiErr *controlapi.Error
	if errors.As(err, &apiErr) && len(apiErr.Changed) > 0 {
		table(out, func(out io.Writer) {
			fmt.Fprintln(out, "CHANGED MEANWHILE\tTIME\tAUTHOR\tREASON\tKEYS")
			for _, change := range apiErr.Changed {
				fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\n", change.Number, change.Time.UTC().Format(time.DateTime),
					change.Author, change.Reason, strings.Join(change.Keys, ", "))
			}
		})
	}
}

// printRevisions prints a table of revisions.
func printRevisions(out io.Writer, revisions []control.Entry) error {
	return table(out, func(out io.Writer) {
		fmt.Fprintln(out, "REVISION\tSCOPE\tSTAGE\tTIME\tAUTHOR\tREASON")
		for _, entry := range revisions {
			fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\n", entry.Number, entry.Scope, formatStage(entry),
				entry.Time.UTC().Format(time.DateTime), entry.Author, formatReason(entry))
		}
	})
}

// formatStage returns a revision's rollout stage and, if it is held, the proxy that refused it and the reason.
func formatStage(entry control.Entry) string {
	if entry.HeldReason != "" {
		return fmt.Sprintf("%s (%s: %s)", entry.Stage, entry.HeldBy, entry.HeldReason)
	}
	return string(entry.Stage)
}

// formatReason returns a revision's reason and, for a rollback, the restored revision.
func formatReason(entry control.Entry) string {
	if entry.RollbackOf != 0 {
		return fmt.Sprintf("%s (rollback to %d)", entry.Reason, entry.RollbackOf)
	}
	return entry.Reason
}

// printHistory prints the response of the history command.
func printHistory(out io.Writer, history controlapi.HistoryResponse) error {
	if err := printRevisions(out, history.Revisions); err != nil {
		return err
	}
	return printFreshness(out, history.Freshness)
}

// printFreshness prints a warning for a read that was not confirmed with a quorum.
func printFreshness(out io.Writer, freshness controlapi.Freshness) error {
	if !freshness.Stale {
		return nil
	}
	_, err := fmt.Fprintf(out, "not confirmed with a quorum; last confirmed %.1f s ago\n", freshness.AgeSeconds)
	return err
}

// printDocument prints a document as indented JSON.
func printDocument(out io.Writer, document revision.Document) error {
	var text bytes.Buffer
	if err := json.Indent(&text, document, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, text.String())
	return err
}

// printDiff prints the response of the diff command.
func printDiff(out io.Writer, diff controlapi.DiffResponse) error {
	fmt.Fprintf(out, "against revision %d, as a merge patch:\n", diff.Base)
	if err := printDocument(out, diff.Patch); err != nil {
		return err
	}
	if diff.Refusal != "" {
		fmt.Fprintf(out, "it would be refused: %s\n", diff.Refusal)
	}
	return printFreshness(out, diff.Freshness)
}

// printShow prints the response of the show command, with the origin of each value if origins is set.
func printShow(out io.Writer, show controlapi.ShowResponse, origins bool) error {
	if err := printDocument(out, show.Document); err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d, checksum %s\n", show.Number, show.Checksum)
	if origins {
		err := table(out, func(out io.Writer) {
			fmt.Fprintln(out, "VALUE\tSCOPE\tREVISION")
			for _, origin := range show.Origins {
				fmt.Fprintf(out, "%s\t%s\t%d\n", origin.Path, origin.Scope, origin.Number)
			}
		})
		if err != nil {
			return err
		}
	}
	return printFreshness(out, show.Freshness)
}

// printStatus prints the response of the status command.
func printStatus(out io.Writer, status controlapi.StatusResponse) error {
	fmt.Fprintf(out, "fleet %s, newest revision %d, up to date: %d of %d connected proxies, %d gone\n",
		status.Fleet, status.Newest, status.Summary.InForce, status.Summary.Targeted, status.Summary.Disconnected)
	if len(status.Summary.Lagging) > 0 {
		slowest := status.Summary.Lagging[0]
		fmt.Fprintf(out, "slowest: %s at revision %d, %d is for it; since %s\n", slowest.Proxy, slowest.InForce,
			slowest.Target, formatTime(slowest.InForceSince))
	}
	for _, proxy := range status.Refusing {
		fmt.Fprintf(out, "%s refuses revision %d: %s\n", proxy.Identity.Proxy, proxy.RefusedNumber, proxy.RefusalReason)
	}
	if err := printFreshness(out, status.Freshness); err != nil {
		return err
	}
	if err := printReplicas(out, status.Replicas); err != nil || len(status.Proxies) == 0 {
		return err
	}
	return printProxies(out, status.Proxies)
}

// printReplicas prints a table of the control replicas.
func printReplicas(out io.Writer, replicas []controlapi.ReplicaStatus) error {
	return table(out, func(out io.Writer) {
		fmt.Fprintln(out, "REPLICA\tREGION\tADDRESS\tSTATE\tPROXIES")
		for _, replica := range replicas {
			state := "follows"
			switch {
			case replica.Leader:
				state = "leads"
			case !replica.Reachable:
				state = fmt.Sprintf("silent for %.1f s", replica.SilentSeconds)
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\n", replica.Name, replica.Region, replica.Address, state, replica.Proxies)
		}
	})
}

// printProxies prints a table of proxies.
func printProxies(out io.Writer, proxies []control.ProxyStatus) error {
	return table(out, func(out io.Writer) {
		fmt.Fprintln(out, "PROXY\tWHERE\tREPLICA\tCONNECTED\tREVISION\tSINCE\tREFUSED")
		for _, proxy := range proxies {
			where := strings.Join([]string{proxy.Identity.Region, proxy.Identity.Zone, proxy.Identity.Service}, "/")
			fmt.Fprintf(out, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", proxy.Identity.Proxy, where, proxy.Replica, proxy.Connected,
				proxy.InForce, formatTime(proxy.InForceSince), proxy.RefusalReason)
		}
	})
}

// formatTime formats a time in UTC; a dash stands for the zero time.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.DateTime)
}
