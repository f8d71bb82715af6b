package scale

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

// section is a generated section of the page.
type section struct {
	name string
	text func(d *Data) string
}

// sections are all generated sections.
var sections = []section{
	{"size", (*Data).sizeTable}, {"assumptions", (*Data).assumptionTable}, {"totals", (*Data).totalTable},
	{"roles", (*Data).roleTables},
	{"events", (*Data).eventTable}, {"added", (*Data).latencyTable}, {"likeness", (*Data).comparisonTable},
	{"predictions", (*Data).predictionTable},
}

// begin returns the line that marks the begin of the section.
func (s section) begin() string {
	return "<!-- begin " + s.name + ", written by sandlab scale report -->\n"
}

// end returns the line that marks the end of the section.
func (s section) end() string { return "<!-- end " + s.name + " -->\n" }

// Tables returns all generated sections and a table of all series.
func (d *Data) Tables() string {
	var out strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&out, "## %s\n\n%s\n", s.name, s.text(d))
	}
	fmt.Fprintf(&out, "## all series\n\n%s", d.seriesTable())
	return out.String()
}

// Page returns a page with its generated sections replaced.
func (d *Data) Page(page string) (string, error) {
	for _, s := range sections {
		before, rest, found := strings.Cut(page, s.begin())
		if !found {
			return "", fmt.Errorf("the page has no line %q", strings.TrimSpace(s.begin()))
		}
		_, after, found := strings.Cut(rest, s.end())
		if !found {
			return "", fmt.Errorf("the page has no line %q", strings.TrimSpace(s.end()))
		}
		page = before + s.begin() + "\n" + s.text(d) + "\n" + s.end() + after
	}
	return page, nil
}

// WritePage replaces the generated sections in the file of a page.
func (d *Data) WritePage(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := d.Page(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// UnlistedOverBudget returns the names of the totals over budget that the section Open of a page does not contain.
func (d *Data) UnlistedOverBudget(page string) (missing []string) {
	_, open, _ := strings.Cut(page, "\n## Open")
	open, _, _ = strings.Cut(open, "\n## ")
	for _, t := range d.OverBudget() {
		if !strings.Contains(open, t.Name()) {
			missing = append(missing, t.Name())
		}
	}
	return missing
}

// table builds a Markdown table.
type table struct{ out strings.Builder }

// newTable returns a table with its header row.
func newTable(header ...string) *table {
	t := &table{}
	t.row(header...)
	t.row(strings.Split(strings.Repeat("---,", len(header)-1)+"---", ",")...)
	return t
}

// row adds a row.
func (t *table) row(cells ...string) {
	fmt.Fprintf(&t.out, "| %s |\n", strings.Join(cells, " | "))
}

// String returns the table.
func (t *table) String() string { return t.out.String() }

// formatAmount formats a value with three digits in a unit that is easy to read, such as KB, % or ms.
func formatAmount(v float64, unit string) string {
	switch unit {
	case "bytes", "bytes/s":
		per := strings.TrimPrefix(unit, "bytes")
		for _, scale := range []struct {
			size float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
			if math.Abs(v) >= scale.size {
				return formatNumber(v/scale.size) + " " + scale.name + per
			}
		}
		return formatNumber(v) + " B" + per
	case "part of a core":
		return formatNumber(100*v) + "%"
	case "s":
		if math.Abs(v) < 1 {
			return formatNumber(1000*v) + " ms"
		}
		return formatNumber(v) + " s"
	case "connections", "":
		return formatNumber(v)
	}
	return formatNumber(v) + " " + unit
}

// formatNumber formats a number with three digits, or without a fraction from 100 on.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// sizeTable returns the table of the fleet size and the budget.
func (d *Data) sizeTable() string {
	s, b := d.Sizes, fleet.OperatorBudget
	t := newTable("what", "size", "from")
	t.row("proxies, each beside a backend", fmt.Sprint(s.Proxies), "operators")
	t.row("services", fmt.Sprint(s.Services), "operators")
	t.row("calls a second, all services together", formatNumber(s.CallsPerSecond), "operators")
	t.row("services that a call passes at most", fmt.Sprint(s.Depth), "operators")
	t.row("regions, zones", fmt.Sprintf("%d, %d", s.Regions, s.Zones), "operators")
	t.row("changes of configuration a day", formatNumber(s.ChangesPerDay), "operators")
	t.row("restarts a day", formatNumber(s.RestartsPerDay), "operators")
	t.row("control machines", fmt.Sprint(s.ControlMachines), "operators")
	t.row("a proxy's budget for control", fmt.Sprintf("%s of a core, %s, %s", formatAmount(b.ProxyCPU, "part of a core"),
		formatAmount(b.ProxyMemory, "bytes"),
		formatAmount(b.ProxyTraffic, "bytes/s")), "operators")
	t.row("a change in force everywhere within", formatAmount(b.InForceSeconds, "s"), "operators")
	t.row("added to 99 of 100 calls", formatAmount(b.AddedSeconds, "s"), "operators")
	return t.String()
}

// assumptionTable returns the table of the assumptions about the fleet.
func (d *Data) assumptionTable() string {
	f := fleet.Generate(d.Sizes)
	mean, most := f.CalleesPerProxy()
	service, backend := f.PeakCallRates()
	fronts := 0
	for _, p := range f.Proxies {
		if f.Services[p.Service].Level == 0 {
			fronts++
		}
	}
	t := newTable("assumption", "value", "how")
	t.row("services that a service calls", fmt.Sprintf("%d to %d; of a machine's backend %s in the mean, %d at most",
		d.Sizes.CalledLeast, d.Sizes.CalledMost,
		formatNumber(mean), most), "a, drawn from the seed")
	t.row("services that get calls from outside", fmt.Sprintf("%s of them; %d proxies",
		formatAmount(d.Sizes.FrontShare, "part of a core"), fronts), "a")
	t.row("calls a second at the busiest service, at its backend",
		fmt.Sprintf("%s, %s", formatNumber(service), formatNumber(backend)),
		"a: backends are shared out by calls")
	t.row("calls a second at a proxy, in the mean", formatNumber(d.Sizes.CallsPerSecond/float64(d.Sizes.Proxies)), "w")
	if s := d.findSeries(roleProxy, figureWholeList, ByProxies, string(WholeList)+" list"); s != nil {
		t.row("bytes of an entry in a whole list", formatNumber(s.Fit.Slope), "m, with the stand-in's names")
	}
	t.row("bytes of a change of configuration", fmt.Sprint(d.Sizes.ChangeBytes), "a")
	t.row("between two regions, one way", formatAmount(d.Sizes.LatencyMS/1000, "s"), "a")
	t.row("larger fleets", "services, calls and restarts grow with the proxies; changes, zones, regions and depth stay", "a")
	return t.String()
}

// factors are the fleet sizes for which totals are shown, as multiples of the operators' size.
var factors = []float64{1, 2, 4}

// totalTable returns the table of the totals and their budgets.
func (d *Data) totalTable() string {
	n := float64(d.Sizes.Proxies)
	t := newTable("role, what", fmt.Sprintf("at %.0f", n), fmt.Sprintf("at %.0f", 2*n), fmt.Sprintf("at %.0f", 4*n), "budget",
		"room")
	for _, total := range d.Totals() {
		cells := []string{total.Name()}
		for _, f := range factors {
			cells = append(cells, formatAmount(total.At(f*n), total.Unit)+" (w)")
		}
		if total.Budget == 0 {
			t.row(append(cells, "none stated", "-")...)
			continue
		}
		if total.At(n) == 0 {
			t.row(append(cells, formatAmount(total.Budget, total.Unit), "not measured")...)
			continue
		}
		room := total.Budget / total.At(n)
		text := fmt.Sprintf("%s times", formatNumber(room))
		if room < 1 {
			text = fmt.Sprintf("**over, %s times**", formatNumber(1/room))
		}
		t.row(append(cells, formatAmount(total.Budget, total.Unit), text)...)
	}
	return t.String()
}

// roleTables returns a table for each role with the terms of its totals.
func (d *Data) roleTables() string {
	var out strings.Builder
	role := ""
	var t *table
	flush := func() {
		if t != nil {
			fmt.Fprintf(&out, "### %s\n\n%s\n", strings.ToUpper(role[:1])+role[1:], t)
		}
	}
	n := float64(d.Sizes.Proxies)
	for _, total := range d.Totals() {
		if total.Role != role {
			flush()
			role = total.Role
			t = newTable("what", "part", fmt.Sprintf("at %.0f", n), fmt.Sprintf("at %.0f", 4*n), "law, residual", "carried by")
		}
		for _, term := range total.Terms {
			model := "-"
			if term.Series != nil {
				model = fmt.Sprintf("%s of %s, %s (%s)", term.Series.Fit.Model, term.Series.Variable,
					formatAmount(term.Series.Fit.RelativeResidual, "part of a core"), term.Series.Setting)
			}
			lastOrigin := Derived
			if term.Origin == Measured {
				lastOrigin = Predicted
			}
			t.row(total.Resource, term.Name, formatAmount(term.At(n), total.Unit)+" ("+string(term.Origin)+")",
				formatAmount(term.At(4*n), total.Unit)+" ("+string(lastOrigin)+")", model, term.Mechanism)
		}
	}
	flush()
	return strings.TrimSuffix(out.String(), "\n")
}

// eventTable returns the table of the events.
func (d *Data) eventTable() string {
	t := newTable("event", "lists", "in force: median, 99 in 100, last", "settled", "connections anew",
		"peaks in a second, and bytes in all", "load")
	for _, e := range d.Events {
		force := "-"
		if e.InForce != nil {
			force = fmt.Sprintf("%s, %s, %s", formatAmount(e.InForce.Median, "s"), formatAmount(e.InForce.P99, "s"),
				formatAmount(e.InForce.Max, "s"))
		}
		var peaks []string
		for _, p := range e.Peaks {
			text := fmt.Sprintf("%s: %s, in %s, out %s, in all %s", p.Role, formatAmount(p.CPU, "part of a core"),
				formatAmount(p.BytesIn, "bytes/s"), formatAmount(p.BytesOut, "bytes/s"),
				formatAmount(p.TotalBytes, "bytes"))
			if p.Memory > 0 {
				text += ", " + formatAmount(p.Memory, "bytes") + " of memory"
			}
			peaks = append(peaks, text)
		}
		name := fmt.Sprintf("%s (%d proxies)", e.Name, e.Proxies)
		if e.Note != "" {
			name += ". " + e.Note
		}
		t.row(name, e.Setting, force, formatAmount(e.SettledSeconds, "s"), fmt.Sprint(e.Connections), strings.Join(peaks, "; "),
			formatNumber(e.LoadAverage))
	}
	return t.String()
}

// latencyTable returns the table of the latency that proxies add.
func (d *Data) latencyTable() string {
	t := newTable("through", "calls/s", "straight p50, p99, p99.9", "through", "added p50", "added p99", "added p99.9",
		"failed", "load")
	three := func(v [3]float64) string {
		return fmt.Sprintf("%s, %s, %s", formatAmount(v[0], "s"), formatAmount(v[1], "s"), formatAmount(v[2], "s"))
	}
	for _, a := range d.AddedLatency {
		added := func(k int) string {
			return fmt.Sprintf("%s (%s to %s)", formatAmount(a.Proxied[k]-a.Direct[k], "s"), formatAmount(a.MinAdded[k], "s"),
				formatAmount(a.MaxAdded[k], "s"))
		}
		t.row(fmt.Sprintf("%s, %d rounds of %d calls", a.Name, a.Rounds, a.Calls), formatNumber(a.Rate), three(a.Direct),
			three(a.Proxied), added(0), added(1), added(2),
			fmt.Sprint(a.Failed), formatNumber(a.LoadAverage))
	}
	return t.String()
}

// comparisonTable returns the table that compares in-process with real proxies.
func (d *Data) comparisonTable() string {
	t := newTable("kind", "real, of a proxy", "hollow", "off")
	for _, c := range d.Comparisons {
		t.row(c.Kind, formatNumber(c.Real), formatNumber(c.InProcess), fmt.Sprintf("%+.1f%%", 100*c.RelativeDifference()))
	}
	return t.String()
}

// pageSeries returns the series that the page shows: those of the totals, of whole lists and of in-process proxies.
func (d *Data) pageSeries() (series []*Series) {
	add := func(s *Series) {
		if s != nil && !slices.Contains(series, s) {
			series = append(series, s)
		}
	}
	for _, total := range d.Totals() {
		for _, term := range total.Terms {
			add(term.Series)
		}
	}
	whole := string(WholeList) + " list"
	add(d.findSeries(roleProxy, figureWholeList, ByProxies, whole))
	add(d.findSeries(roleDiscovery, "all ask for whole lists, out, bytes", ByProxies, whole))
	add(d.findSeries(roleDiscovery, "all ask for whole lists, processor time, s", ByProxies, whole))
	for i, s := range d.Series {
		if s.Role == roleInProcess {
			add(&d.Series[i])
		}
	}
	add(d.findSeries(roleProxy, "a change of configuration, in force, last, s", ByProxies,
		controlSetting(d.Sizes.ControlMachines)))
	return series
}

// predictionTable returns the table of predicted and measured values at the largest size.
func (d *Data) predictionTable() string {
	t := newTable("role, figure", "setting", "law", "residual", "at the largest size: predicted", "measured", "off")
	for _, s := range d.pageSeries() {
		predicted, measured, off := "-", "-", "-"
		if p := s.Predicted; p != nil {
			predicted, measured = fmt.Sprintf("%s: %s", formatNumber(p.N), formatAmount(p.Predicted, s.Unit)),
				formatAmount(p.Measured, s.Unit)
			if p.Measured > 0 {
				off = fmt.Sprintf("%+.0f%%", 100*p.Error())
			}
		}
		t.row(s.Role+", "+s.Figure, s.Setting, fmt.Sprintf("%s of %s", s.Fit.Model, s.Variable),
			formatAmount(s.Fit.RelativeResidual, "part of a core"), predicted, measured, off)
	}
	return t.String()
}

// seriesTable returns the table of all series with their points.
func (d *Data) seriesTable() string {
	t := newTable("role", "figure", "against, setting", "measured", "law", "residual", "beyond: predicted, measured, off")
	for _, s := range d.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatNumber(p.N)+": "+formatAmount(p.Y, s.Unit))
		}
		model := string(s.Fit.Model)
		if s.Fit.Model == fit.Constant {
			model += ", " + formatAmount(s.Fit.Intercept, s.Unit)
		} else {
			model += fmt.Sprintf(", %s + %s each", formatAmount(s.Fit.Intercept, s.Unit), formatAmount(s.Fit.Slope, s.Unit))
		}
		beyond := "-"
		if p := s.Predicted; p != nil {
			beyond = fmt.Sprintf("%s: %s, %s, %+.0f%%", formatNumber(p.N), formatAmount(p.Predicted, s.Unit),
				formatAmount(p.Measured, s.Unit),
				100*p.Error())
		}
		t.row(s.Role, s.Figure, string(s.Variable)+", "+s.Setting, strings.Join(points, "; "), model,
			formatAmount(s.Fit.RelativeResidual, "part of a core"), beyond)
	}
	return t.String()
}
