// This file summarizes and compares policies: means with their spread, and paired differences with a confidence interval. A
// difference that may be due to chance is not reported as one.

package lab

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is the level of all confidence intervals.
const confidenceLevel = 0.95

// Difference is the difference of a metric between two sets of rows, paired by identical runs.
type Difference struct {
	Cell      []string
	Pairs     int
	A, B      float64 // means
	Mean      float64 // of A - B
	Low, High float64 // bounds of the confidence interval of Mean
}

// Significant reports whether the confidence interval excludes 0.
func (d Difference) Significant() bool { return d.Pairs > 1 && (d.Low > 0 || d.High < 0) }

// String formats the means, the difference with its confidence interval, and a verdict.
func (d Difference) String() string {
	verdict := "no difference shown"
	if d.Significant() {
		verdict = "A is higher"
		if d.Mean < 0 {
			verdict = "B is higher"
		}
	}
	return fmt.Sprintf("%d pairs, A %.4f, B %.4f, A - B %+.4f [%+.4f, %+.4f] at %.0f%%: %s",
		d.Pairs, d.A, d.B, d.Mean, d.Low, d.High, 100*confidenceLevel, verdict)
}

// PolicyRows selects the rows of one policy in one table.
type PolicyRows struct {
	Rows   []Row
	Policy string
}

// Compare pairs the rows of a and b by cell and seed. It returns the difference of the metric for each cell if there are
// several, and then for all cells together.
func Compare(a, b PolicyRows, metric string) ([]Difference, error) {
	if !slices.Contains(Metrics(), metric) {
		return nil, fmt.Errorf("metric %q is unknown; known are %s", metric, strings.Join(Metrics(), ", "))
	}
	key := func(r Row) string { return fmt.Sprint(strings.Join(r.Cell, "\x00"), "\x00", r.Seed) }
	matching := map[string]Row{}
	for _, r := range b.Rows {
		if r.Policy == b.Policy {
			matching[key(r)] = r
		}
	}
	var order []string
	cells := map[string][][2]float64{}
	names := map[string][]string{}
	var values [][2]float64
	for _, r := range a.Rows {
		other, ok := matching[key(r)]
		if r.Policy != a.Policy || !ok {
			continue
		}
		if r.Text["plan"] != other.Text["plan"] || r.Values["operations"] != other.Values["operations"] {
			return nil, fmt.Errorf("run %d and run %d are not comparable: their fault plan or number of operations differs",
				r.Run, other.Run)
		}
		cell := strings.Join(r.Cell, ", ")
		if _, ok := cells[cell]; !ok {
			order, names[cell] = append(order, cell), r.Cell
		}
		p := [2]float64{r.Values[metric], other.Values[metric]}
		cells[cell], values = append(cells[cell], p), append(values, p)
	}
	if len(values) == 0 {
		return nil, fmt.Errorf("nothing to compare: %s and %s have no cell and seed in common", a.Policy, b.Policy)
	}
	var out []Difference
	if len(order) > 1 {
		for _, c := range order {
			out = append(out, difference(names[c], cells[c]))
		}
	}
	return append(out, difference(nil, values)), nil
}

// difference returns the paired difference of one cell.
func difference(cell []string, pairs [][2]float64) Difference {
	var a, b, diff []float64
	for _, p := range pairs {
		a, b, diff = append(a, p[0]), append(b, p[1]), append(diff, p[0]-p[1])
	}
	d := Difference{Cell: cell, Pairs: len(pairs), A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	d.Mean, d.Low, d.High = confidenceInterval(diff)
	return d
}

// confidenceInterval returns the mean with its confidence interval by Student's t distribution. The interval of a single value
// is unbounded.
func confidenceInterval(values []float64) (mean, low, high float64) {
	mean = stat.Mean(values, nil)
	if len(values) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	_, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.5 + confidenceLevel/2)
	half := t * deviation / math.Sqrt(float64(len(values)))
	return mean, mean - half, mean + half
}

// WriteSummary writes the summary table of a result folder as Markdown and returns it.
func WriteSummary(dir string) (string, error) {
	s, rows, err := LoadResults(dir)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nSimulated. Means over seeds; G with its %.0f%% interval. %d of %d runs are in.\n\n", s.Name,
		100*confidenceLevel, len(rows), len(s.Runs()))
	b.WriteString("|")
	for _, a := range s.Grid {
		fmt.Fprintf(&b, " %s |", a.Path)
	}
	b.WriteString(" policy | seeds | G | | worst 10 s | served | p50 | p99 | further relays | rules broken | most is lost |\n|")
	b.WriteString(strings.Repeat(" --- |", len(s.Grid)+11) + "\n")
	for _, cell := range s.Cells {
		for _, p := range s.Policies {
			var matching []Row
			for _, r := range rows {
				if r.Policy == p && slices.Equal(r.Cell, cell.Values) {
					matching = append(matching, r)
				}
			}
			if len(matching) == 0 {
				continue
			}
			mean := func(name string) float64 {
				sum := 0.0
				for _, r := range matching {
					sum += r.Values[name]
				}
				return sum / float64(len(matching))
			}
			var gs []float64
			broken := 0.0
			for _, r := range matching {
				gs = append(gs, r.Values["g"])
				broken += r.Values["rule1"] + r.Values["rule2"] + r.Values["rule3"] + r.Values["rule4"]
			}
			g, low, high := confidenceInterval(gs)
			spread := "one seed"
			if len(matching) > 1 {
				spread = fmt.Sprintf("%.3f to %.3f", low, high)
			}
			b.WriteString("|")
			for _, v := range cell.Values {
				fmt.Fprintf(&b, " %s |", v)
			}
			lost, _, _ := strings.Cut(matching[0].Text["losses"], ";")
			fmt.Fprintf(&b, " %s | %d | %.3f | %s | %.3f | %.3f | %.0f ms | %.0f ms | %.1f%% | %.0f | %s |\n", p, len(matching), g, spread,
				mean("worst10"), mean("served"), 1000*mean("p50"), 1000*mean("p99"), 100*mean("further")/max(1, mean("relays")), broken, lost)
		}
	}
	return b.String(), os.WriteFile(filepath.Join(dir, summaryFile), []byte(b.String()), 0o644)
}
