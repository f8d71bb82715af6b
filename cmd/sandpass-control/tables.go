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

// progressLine rewrites one line on a terminal; elsewhere it shows nothing.
type progressLine struct {
	out      io.Writer
	terminal bool
	shown    bool
}

func newProgressLine(out io.Writer) *progressLine {
	file, isFile := out.(*os.File)
	return &progressLine{out: out, terminal: isFile && term.IsTerminal(int(file.Fd()))}
}

func (p *progressLine) show(format string, args ...any) {
	if p.terminal {
		fmt.Fprintf(p.out, "\r\x1b[K"+format, args...)
		p.shown = true
	}
}

func (p *progressLine) end() {
	if p.shown {
		fmt.Fprintln(p.out)
	}
}

// table aligns the columns that are written to it, tabs between them.
func table(out io.Writer, write func(io.Writer)) error {
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(tabs)
	return tabs.Flush()
}

func printApplied(out io.Writer, asJSON bool, accepted controlapi.ApplyResponse, base revision.Number) error {
	if asJSON {
		return printJSON(out, accepted)
	}
	_, err := fmt.Fprintf(out, "revision %d accepted for %s, made from revision %d\n", accepted.Number, accepted.Scope, base)
	return err
}

// printConflict lists what others changed meanwhile, if that is what the error is about.
func printConflict(out io.Writer, err error) {
	var answered *controlapi.Error
	if errors.As(err, &answered) && len(answered.Changed) > 0 {
		table(out, func(out io.Writer) {
			fmt.Fprintln(out, "CHANGED MEANWHILE\tTIME\tAUTHOR\tREASON\tKEYS")
			for _, change := range answered.Changed {
				fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\n", change.Number, change.Time.UTC().Format(time.DateTime),
					change.Author, change.Reason, strings.Join(change.Keys, ", "))
			}
		})
	}
}

func printRevisions(out io.Writer, revisions []control.Entry) error {
	return table(out, func(out io.Writer) {
		fmt.Fprintln(out, "REVISION\tSCOPE\tSTAGE\tTIME\tAUTHOR\tREASON")
		for _, entry := range revisions {
			fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\n", entry.Number, entry.Scope, stage(entry),
				entry.Time.UTC().Format(time.DateTime), entry.Author, reason(entry))
		}
	})
}

func stage(entry control.Entry) string {
	if entry.HeldReason != "" {
		return fmt.Sprintf("%s (%s: %s)", entry.Stage, entry.HeldBy, entry.HeldReason)
	}
	return string(entry.Stage)
}

func reason(entry control.Entry) string {
	if entry.RollbackOf != 0 {
		return fmt.Sprintf("%s (rollback to %d)", entry.Reason, entry.RollbackOf)
	}
	return entry.Reason
}

func printHistory(out io.Writer, history controlapi.HistoryResponse) error {
	if err := printRevisions(out, history.Revisions); err != nil {
		return err
	}
	return printFreshness(out, history.Freshness)
}

func printFreshness(out io.Writer, freshness controlapi.Freshness) error {
	if !freshness.Stale {
		return nil
	}
	_, err := fmt.Fprintf(out, "not confirmed with a quorum; last confirmed %.1f s ago\n", freshness.AgeSeconds)
	return err
}

func printDocument(out io.Writer, document revision.Document) error {
	var text bytes.Buffer
	if err := json.Indent(&text, document, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, text.String())
	return err
}

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

func printStatus(out io.Writer, status controlapi.StatusResponse) error {
	fmt.Fprintf(out, "fleet %s, newest revision %d, up to date: %d of %d connected proxies, %d gone\n",
		status.Fleet, status.Newest, status.Summary.InForce, status.Summary.Targeted, status.Summary.Disconnected)
	if len(status.Summary.Lagging) > 0 {
		slowest := status.Summary.Lagging[0]
		fmt.Fprintf(out, "slowest: %s at revision %d, %d is for it; since %s\n", slowest.Proxy, slowest.InForce,
			slowest.Target, moment(slowest.InForceSince))
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

func printProxies(out io.Writer, proxies []control.ProxyStatus) error {
	return table(out, func(out io.Writer) {
		fmt.Fprintln(out, "PROXY\tWHERE\tREPLICA\tCONNECTED\tREVISION\tSINCE\tREFUSED")
		for _, proxy := range proxies {
			where := strings.Join([]string{proxy.Identity.Region, proxy.Identity.Zone, proxy.Identity.Service}, "/")
			fmt.Fprintf(out, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", proxy.Identity.Proxy, where, proxy.Replica, proxy.Connected,
				proxy.InForce, moment(proxy.InForceSince), proxy.RefusalReason)
		}
	})
}

// moment prints a time, and a dash for none.
func moment(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.DateTime)
}
