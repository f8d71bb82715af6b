// This file implements the command line of scale runs. It holds no parameters beyond the defaults of flags.

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"sandpass/internal/scale"
	"sandpass/internal/scale/fleet"
)

// scaleCommand returns the command "scale" with its subcommands.
func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale",
		Short: "measure how the control side of a fleet grows, and write docs/CAPACITY.md from it"}
	c.AddCommand(scaleRunCommand(), scaleReportCommand())
	return c
}

// scaleParts are the parts of a scale run in execution order.
var scaleParts = []string{"likeness", "keepers", "slopes", "otherslopes", "events", "control", "controlslopes", "added"}

// scaleOptions are the flags of a scale run.
type scaleOptions struct {
	sizes, data, program string
	parts, only          []string
	counts               []int
	real                 int
}

// scaleRunCommand returns the command "scale run".
func scaleRunCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{Use: "run", Short: "measure, and put the figures into a data file",
		Long: "Real proxies beside hollow ones, with stand-ins for discovery and backends, all on loopback. Each part puts its figures into\n" +
			"the data file in place of those it had. A run stops where it would take over 12 GB or 300 processes.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return runScale(c.Context(), o) }}
	c.Flags().StringVar(&o.sizes, "sizes", "", "file of sizes, TOML; see example/scale.toml (the operators' size)")
	c.Flags().StringVar(&o.data, "data", "capacity.json", "the data file")
	c.Flags().StringVar(&o.program, "program", "",
		"the proxy's program, called as PROGRAM serve (sandpass beside this one)")
	c.Flags().StringSliceVar(&o.parts, "parts", scaleParts, "which")
	c.Flags().StringArrayVar(&o.only, "event", nil, "of the part control: this event alone, may be given again")
	c.Flags().IntSliceVar(&o.counts, "counts", []int{35, 70, 140, 280, 560, 1120},
		"numbers of proxies of the slopes; beyond the size they are predicted first")
	c.Flags().IntVar(&o.real, "real", 10, "proxies that are real processes, in slopes and events")
	return c
}

// scalePrograms returns the programs that a scale run starts.
func scalePrograms(program string) (scale.Programs, error) {
	executable, err := os.Executable()
	if err != nil {
		return scale.Programs{}, err
	}
	if program == "" {
		sibling := filepath.Join(filepath.Dir(executable), "sandpass")
		if _, err := os.Stat(sibling); err != nil {
			return scale.Programs{}, errors.New("no sandpass next to this program: set --program")
		}
		program = sibling
	}
	return scale.Programs{Proxy: []string{program, "serve"}, Helper: executable}, nil
}

// readSizes reads the file of sizes; without a path it returns the defaults.
func readSizes(path string) (fleet.Sizes, error) {
	if path == "" {
		return fleet.Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fleet.Sizes{}, err
	}
	s, err := fleet.Parse(text)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// runScale runs the selected parts and writes the data file after each.
func runScale(ctx context.Context, o scaleOptions) error {
	for _, part := range o.parts {
		if !slices.Contains(scaleParts, part) {
			return fmt.Errorf("--parts %q is none of %s", part, strings.Join(scaleParts, ", "))
		}
	}
	sizes, err := readSizes(o.sizes)
	if err != nil {
		return err
	}
	programs, err := scalePrograms(o.program)
	if err != nil {
		return err
	}
	data, err := scale.ReadData(o.data)
	if errors.Is(err, os.ErrNotExist) {
		data, err = &scale.Data{}, nil
	}
	if err != nil {
		return err
	}
	data.Sizes, data.Cores, data.Program = sizes, runtime.NumCPU(), buildRevision()
	for _, part := range scaleParts {
		if !slices.Contains(o.parts, part) {
			continue
		}
		b := newProgressBar(os.Stderr, -1, part)
		measure := scale.Runner{Sizes: sizes, ProxyCounts: o.counts, RealProxies: o.real, Programs: programs, EventNames: o.only,
			Progress: func(step string) { b.Describe(part + ": " + step); b.Add(1) }}
		err := measure.MeasurePart(ctx, part, data)
		b.Finish()
		if e := data.Write(o.data); err == nil { // results measured before a failure are kept
			err = e
		}
		if err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return nil
}

// buildRevision returns the abbreviated VCS revision of this program, or its module version.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(7, len(s.Value))]
		}
	}
	return info.Main.Version
}

// scaleReportCommand returns the command "scale report".
func scaleReportCommand() *cobra.Command {
	var page, charts string
	c := &cobra.Command{Use: "report DATA", Short: "write the tables of a data file into a page, and its charts",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			data, err := scale.ReadData(args[0])
			if err != nil {
				return err
			}
			if charts != "" {
				paths, err := data.Charts(charts)
				for _, m := range paths {
					fmt.Fprintln(c.OutOrStdout(), m)
				}
				if err != nil {
					return err
				}
			}
			if page == "" {
				_, err := fmt.Fprint(c.OutOrStdout(), data.Tables())
				return err
			}
			return data.WritePage(page)
		}}
	c.Flags().StringVar(&page, "page", "", "the page whose generated parts are written anew (none: to the output)")
	c.Flags().StringVar(&charts, "charts", "", "folder for charts as PNG files")
	return c
}
