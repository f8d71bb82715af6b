// This file owns the command line of the scale run. It must never hold a figure of its own beyond the defaults of flags.
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

func scaling() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "measure how the control side of a fleet grows, and write docs/CAPACITY.md from it"}
	c.AddCommand(scaleRun(), scaleReport())
	return c
}

// scaleParts are the parts of a run, in their order.
var scaleParts = []string{"likeness", "keepers", "slopes", "otherslopes", "events", "control", "controlslopes", "added"}

// scaleOptions are the flags of a run.
type scaleOptions struct {
	sizes, data, program string
	parts, only          []string
	counts               []int
	real                 int
}

func scaleRun() *cobra.Command {
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

// scalePrograms are what a run starts.
func scalePrograms(program string) (scale.Programs, error) {
	me, err := os.Executable()
	if err != nil {
		return scale.Programs{}, err
	}
	if program == "" {
		beside := filepath.Join(filepath.Dir(me), "sandpass")
		if _, err := os.Stat(beside); err != nil {
			return scale.Programs{}, errors.New("no sandpass beside this program: name one by --program")
		}
		program = beside
	}
	return scale.Programs{Proxy: []string{program, "serve"}, Helper: me}, nil
}

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
	data.Sizes, data.Cores, data.Program = sizes, runtime.NumCPU(), revisionOf()
	for _, part := range scaleParts {
		if !slices.Contains(o.parts, part) {
			continue
		}
		b := bar(os.Stderr, -1, part)
		measure := scale.Runner{Sizes: sizes, ProxyCounts: o.counts, RealProxies: o.real, Programs: programs, EventNames: o.only,
			Progress: func(what string) { b.Describe(part + ": " + what); b.Add(1) }}
		err := measure.MeasurePart(ctx, part, data)
		b.Finish()
		if e := data.Write(o.data); err == nil { // what was measured before a failure is kept
			err = e
		}
		if err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return nil
}

// revisionOf is the program's version.
func revisionOf() string {
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

func scaleReport() *cobra.Command {
	var page, charts string
	c := &cobra.Command{Use: "report DATA", Short: "write the tables of a data file into a page, and its charts",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			data, err := scale.ReadData(args[0])
			if err != nil {
				return err
			}
			if charts != "" {
				made, err := data.Charts(charts)
				for _, m := range made {
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
