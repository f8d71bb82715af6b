// This file owns what a table says of policies: means with their spread, and paired differences with a confidence
// interval. It must never call a difference one that chance may have made.

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

const confidence = 0.95

// Difference is that of one figure between two sides, on days that are the same for both.
type Difference struct {
	Cell      []string
	Pairs     int
	A, B      float64 // means
	Mean      float64 // of A - B
	Low, High float64 // ends of its confidence interval
}

// Shown tells whether the interval leaves out 0.
func (d Difference) Significant() bool { return d.Pairs > 1 && (d.Low > 0 || d.High < 0) }

func (d Difference) String() string {
	verdict := "no difference shown"
	if d.Significant() {
		verdict = "A is higher"
		if d.Mean < 0 {
			verdict = "B is higher"
		}
	}
	return fmt.Sprintf("%d pairs, A %.4f, B %.4f, A - B %+.4f [%+.4f, %+.4f] at %.0f%%: %s",
		d.Pairs, d.A, d.B, d.Mean, d.Low, d.High, 100*confidence, verdict)
}

// Side is one policy's rows in one table.
type PolicyRows struct {
	Rows   []Row
	Policy string
}

// Compare pairs two sides by cell and seed, cell by cell and then all together.
func Compare(a, b PolicyRows, figure string) ([]Difference, error) {
	if !slices.Contains(Metrics(), figure) {
		return nil, fmt.Errorf("figure %q is unknown; known are %s", figure, strings.Join(Metrics(), ", "))
	}
	key := func(r Row) string { return fmt.Sprint(strings.Join(r.Cell, "\x00"), "\x00", r.Seed) }
	of := map[string]Row{}
	for _, r := range b.Rows {
		if r.Policy == b.Policy {
			of[key(r)] = r
		}
	}
	var order []string
	cells := map[string][][2]float64{}
	names := map[string][]string{}
	var all [][2]float64
	for _, r := range a.Rows {
		other, ok := of[key(r)]
		if r.Policy != a.Policy || !ok {
			continue
		}
		if r.Text["plan"] != other.Text["plan"] || r.Values["operations"] != other.Values["operations"] {
			return nil, fmt.Errorf("run %d and run %d are not the same day: plan or operations differ", r.Run, other.Run)
		}
		cell := strings.Join(r.Cell, ", ")
		if _, ok := cells[cell]; !ok {
			order, names[cell] = append(order, cell), r.Cell
		}
		p := [2]float64{r.Values[figure], other.Values[figure]}
		cells[cell], all = append(cells[cell], p), append(all, p)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no day is in both: %s and %s have no cell and seed in common", a.Policy, b.Policy)
	}
	var out []Difference
	if len(order) > 1 {
		for _, c := range order {
			out = append(out, differ(names[c], cells[c]))
		}
	}
	return append(out, differ(nil, all)), nil
}

func differ(cell []string, pairs [][2]float64) Difference {
	var a, b, diff []float64
	for _, p := range pairs {
		a, b, diff = append(a, p[0]), append(b, p[1]), append(diff, p[0]-p[1])
	}
	d := Difference{Cell: cell, Pairs: len(pairs), A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	d.Mean, d.Low, d.High = interval(diff)
	return d
}

// interval is the mean with its confidence interval by Student's t; of one value nothing is known.
func interval(all []float64) (mean, low, top float64) {
	mean = stat.Mean(all, nil)
	if len(all) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	_, dev := stat.MeanStdDev(all, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(all) - 1)}.Quantile(0.5 + confidence/2)
	half := t * dev / math.Sqrt(float64(len(all)))
	return mean, mean - half, mean + half
}

// Summary writes the folder's table in Markdown and gives it.
func WriteSummary(dir string) (string, error) {
	s, rows, err := LoadResults(dir)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nSimulated. Means over seeds; G with its %.0f%% interval. %d of %d runs are in.\n\n", s.Name,
		100*confidence, len(rows), len(s.Runs()))
	b.WriteString("|")
	for _, a := range s.Grid {
		fmt.Fprintf(&b, " %s |", a.Path)
	}
	b.WriteString(" policy | seeds | G | | worst 10 s | served | p50 | p99 | further relays | rules broken | most is lost |\n|")
	b.WriteString(strings.Repeat(" --- |", len(s.Grid)+11) + "\n")
	for _, cell := range s.Cells {
		for _, p := range s.Policies {
			var of []Row
			for _, r := range rows {
				if r.Policy == p && slices.Equal(r.Cell, cell.Values) {
					of = append(of, r)
				}
			}
			if len(of) == 0 {
				continue
			}
			mean := func(name string) float64 {
				sum := 0.0
				for _, r := range of {
					sum += r.Values[name]
				}
				return sum / float64(len(of))
			}
			var gs []float64
			broken := 0.0
			for _, r := range of {
				gs = append(gs, r.Values["g"])
				broken += r.Values["rule1"] + r.Values["rule2"] + r.Values["rule3"] + r.Values["rule4"]
			}
			g, low, top := interval(gs)
			spread := "one seed"
			if len(of) > 1 {
				spread = fmt.Sprintf("%.3f to %.3f", low, top)
			}
			b.WriteString("|")
			for _, v := range cell.Values {
				fmt.Fprintf(&b, " %s |", v)
			}
			lost, _, _ := strings.Cut(of[0].Text["losses"], ";")
			fmt.Fprintf(&b, " %s | %d | %.3f | %s | %.3f | %.3f | %.0f ms | %.0f ms | %.1f%% | %.0f | %s |\n", p, len(of), g, spread,
				mean("worst10"), mean("served"), 1000*mean("p50"), 1000*mean("p99"), 100*mean("further")/max(1, mean("relays")), broken, lost)
		}
	}
	return b.String(), os.WriteFile(filepath.Join(dir, tableFile), []byte(b.String()), 0o644)
}
