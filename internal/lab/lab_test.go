package lab

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallExperiment is a short experiment of two cells, two policies and two seeds.
const smallExperiment = `
name = "little"
policies = ["module", "two"]
seeds = [1, 2]
drawn = 1

[world]
length = 5
warmup = 0
instances = 4

[[world.tiers]]
backends = 6

[[world.tiers]]
backends = 6

[[plan]]
kind = "slow"
share = 0.5
from = 1
for = 2
hard = 0.9

[[grid]]
path = "world.load"
values = [0.3, 0.6]
`

// mustParse parses an experiment and fails the test on an error.
func mustParse(t testing.TB, text string, over ...string) *ExpandedExperiment {
	t.Helper()
	s, err := ParseExperiment([]byte(text), over)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestInvalidExperiments(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		over             []string
	}{
		{"unknown key", "name = \"x\"\n[world]\nlod = 2\n", "line 3, column 1: key world.lod is unknown", nil},
		{"not TOML", "name = \n", "line 1, column", nil},
		{"wrong type", "[world]\nload = \"much\"\n", "line 2, column", nil},
		{"policy", `policies = ["best"]`, `policies[0]: policy "best" is unknown`, nil},
		{"no seeds", `seeds = []`, "seeds must not be empty", nil},
		{"value out of range", "[world]\nload = -1", "world.load = -1 is not between", nil},
		{"tier value out of range", "[[world.tiers]]\ncores = 0\n", "world.tiers[0].cores = 0 is not between", nil},
		{"work for another number of tiers", "[[world.tiers]]\n", "work has 2 figures for 1 tiers", nil},
		{"unknown zone", "[[plan]]\nkind = \"zone\"\nzone = 9\n", "fault[0] (zone): zone 9 is not one of 3", nil},
		{"unknown tier", "[[plan]]\nkind = \"slow\"\ntier = 4\n", "fault[0] (slow): tier 4 is not one of 2", nil},
		{"empty axis", "[[grid]]\npath = \"world.load\"\nvalues = []\n", "grid[0]: a path and at least one value", nil},
		{"unknown axis", "[[grid]]\npath = \"world.lod\"\nvalues = [1]\n", `grid: world.lod: there is no "lod"`, nil},
		{"axis index out of range", "[[grid]]\npath = \"world.tiers[7].cores\"\nvalues = [1]\n", "tiers has no index 7", nil},
		{"axis of another type", "[[grid]]\npath = \"world.load\"\nvalues = [\"much\"]\n", "world.load", nil},
		{"axis value out of range", "[[grid]]\npath = \"world.load\"\nvalues = [0.5, -3.0]\n",
			"world.load = -3: world.load = -3 is not between", nil},
		{"sweep without values", "", `--over "load" is not path=value,value`, []string{"load"}},
	} {
		_, err := ParseExperiment([]byte(c.text), c.over)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", c.name, err, c.want)
		}
	}
}

func TestExperimentOverridesDefaults(t *testing.T) {
	s := mustParse(t, smallExperiment, "world.tiers[1].cores=1,4")
	if len(s.Cells) != 4 || len(s.Runs()) != 16 {
		t.Fatalf("%d cells, %d runs", len(s.Cells), len(s.Runs()))
	}
	c := s.Cells[3]
	if c.World.Load != 0.6 || c.World.Tiers[1].Cores != 4 || c.World.Tiers[0].Cores != 2 || c.World.Tiers[0].Backends != 6 ||
		len(c.World.Verbs) != 4 {
		t.Errorf("cell %v is %+v", c.Values, c.World)
	}
	if f := c.Plan[0]; f.Zone != -1 || f.Share != 0.5 || f.Hard != 0.9 {
		t.Errorf("fault %+v", f)
	}
	if p := c.PlanFor(7); len(p) != 2 || p[1] != c.PlanFor(7)[1] {
		t.Errorf("plan %v", p)
	}
	if s := mustParse(t, `name = "none"`); len(s.Cells[0].Plan) != 0 {
		t.Errorf("an experiment without a plan has faults: %v", s.Cells[0].Plan)
	}
}

// readResultFiles returns the rows and time series of a result folder as text.
func readResultFiles(t testing.TB, dir string) string {
	t.Helper()
	var all []byte
	for _, name := range []string{rowsFile, timeSeriesFile} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	return string(all)
}

// runMissing opens a result folder and runs what is missing in it.
func runMissing(t testing.TB, ctx context.Context, dir string, s *ExpandedExperiment, cores int, progress func(RunResult)) error {
	t.Helper()
	f, err := OpenResultFolder(dir, s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	return f.RunMissing(ctx, cores, progress)
}

func TestResultsDoNotDependOnCoreCount(t *testing.T) {
	s := mustParse(t, smallExperiment)
	oneCore, manyCores := t.TempDir(), t.TempDir()
	if err := runMissing(t, context.Background(), oneCore, s, 1, func(RunResult) {}); err != nil {
		t.Fatal(err)
	}
	if err := runMissing(t, context.Background(), manyCores, s, 8, func(RunResult) {}); err != nil {
		t.Fatal(err)
	}
	if readResultFiles(t, oneCore) != readResultFiles(t, manyCores) {
		t.Error("results differ between 1 and 8 cores")
	}
	for _, dir := range []string{oneCore, manyCores} {
		if _, err := WriteSummary(dir); err != nil {
			t.Error(err)
		}
	}
	charts, err := DrawCharts(oneCore, 0, "g")
	if err != nil || len(charts) != 3 {
		t.Fatalf("charts %v, error %v; want 3 charts", charts, err)
	}
	for _, m := range charts {
		if b, err := os.ReadFile(m); err != nil || !bytes.HasPrefix(b, []byte("\x89PNG")) || len(b) < 5000 {
			t.Errorf("%s: %v, %d bytes", m, err, len(b))
		}
	}
}

// An interrupted experiment keeps its rows and resumes after them. Only an incomplete last line is dropped.
func TestInterruptedAndTruncatedResultsResume(t *testing.T) {
	s := mustParse(t, smallExperiment)
	dir, uninterrupted := t.TempDir(), t.TempDir()
	if err := runMissing(t, context.Background(), uninterrupted, s, 4, func(RunResult) {}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := 0
	if err := runMissing(t, ctx, dir, s, 1, func(RunResult) {
		if n++; n == 3 {
			stop()
		}
	}); err != context.Canceled {
		t.Fatalf("interrupted experiment returned %v", err)
	}
	if _, rows, err := LoadResults(dir); err != nil || len(rows) != 3 {
		t.Fatalf("%d rows after the interruption, want 3; error %v", len(rows), err)
	}
	for _, name := range []string{rowsFile, timeSeriesFile} { // truncate the last line of each
		place := filepath.Join(dir, name)
		st, err := os.Stat(place)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Truncate(place, st.Size()-7); err != nil {
			t.Fatal(err)
		}
	}
	if _, rows, err := LoadResults(dir); err != nil || len(rows) != 2 {
		t.Fatalf("%d rows readable beside an incomplete one, want 2; error %v", len(rows), err)
	}
	if err := runMissing(t, context.Background(), dir, s, 2, func(RunResult) {}); err != nil {
		t.Fatal(err)
	}
	if readResultFiles(t, dir) != readResultFiles(t, uninterrupted) {
		t.Error("resumed results differ from uninterrupted ones")
	}
}

func TestForeignFoldersAreRejected(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenResultFolder(dir, mustParse(t, smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	if _, err := OpenResultFolder(dir, mustParse(t, smallExperiment, "drawn=0,1")); err == nil ||
		!strings.Contains(err.Error(), "another experiment") {
		t.Errorf("another experiment's folder: %v", err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, "letter.txt"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenResultFolder(other, mustParse(t, smallExperiment)); err == nil ||
		!strings.Contains(err.Error(), "is not empty") {
		t.Errorf("folder with other files: %v", err)
	}
}

// A full disk ends the experiment with an error that names the file. Rows written before stay intact.
func TestFullDisk(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("/dev/full does not exist")
	}
	s := mustParse(t, smallExperiment)
	dir := t.TempDir()
	f, err := OpenResultFolder(dir, s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n := 0
	err = f.RunMissing(context.Background(), 2, func(RunResult) {
		if n++; n == 2 {
			f.timeSeries.Close()
			if f.timeSeries, err = os.OpenFile("/dev/full", os.O_WRONLY, 0); err != nil {
				t.Fatal(err)
			}
		}
	})
	if err == nil || !strings.Contains(err.Error(), "no space left") || !strings.Contains(err.Error(), "full") {
		t.Errorf("error on a full disk: %v", err)
	}
	if _, rows, err := LoadResults(dir); err != nil || len(rows) != 2 {
		t.Errorf("%d rows, want 2; error %v", len(rows), err)
	}
}

func TestCompare(t *testing.T) {
	row := func(seed uint64, policy string, g float64) Row {
		return Row{Seed: seed, Policy: policy, Values: map[string]float64{"g": g, "operations": 5}, Text: map[string]string{"plan": ""}}
	}
	var better, same []Row
	for i := range uint64(8) {
		noise := float64(i*7%5) / 100
		better = append(better, row(i, "a", 0.8+noise), row(i, "b", 0.7+noise+float64(i%2)/100))
		same = append(same, row(i, "a", 0.7+float64(i%2)/10), row(i, "b", 0.7+float64((i+1)%2)/10))
	}
	d, err := Compare(PolicyRows{better, "a"}, PolicyRows{better, "b"}, "g")
	if err != nil || !d[0].Significant() || d[0].Pairs != 8 || !strings.Contains(d[0].String(), "A is higher") {
		t.Errorf("%v, %v", d, err)
	}
	if d, err = Compare(PolicyRows{same, "a"}, PolicyRows{same, "b"}, "g"); err != nil || d[0].Significant() ||
		!strings.Contains(d[0].String(), "no difference shown") {
		t.Errorf("%v, %v", d, err)
	}
	if d, err = Compare(PolicyRows{same[:1], "a"}, PolicyRows{same[1:2], "b"}, "g"); err != nil || d[0].Significant() {
		t.Errorf("one pair reported as significant: %v, %v", d, err)
	}
	if _, err = Compare(PolicyRows{same, "a"}, PolicyRows{same, "c"}, "g"); err == nil {
		t.Error("no error without a common pair")
	}
	if _, err = Compare(PolicyRows{same, "a"}, PolicyRows{same, "b"}, "joy"); err == nil || !strings.Contains(err.Error(), "joy") {
		t.Errorf("unknown metric: %v", err)
	}
	same[1].Text = map[string]string{"plan": "another"}
	if _, err = Compare(PolicyRows{same, "a"}, PolicyRows{same, "b"}, "g"); err == nil ||
		!strings.Contains(err.Error(), "not comparable") {
		t.Errorf("different plans: %v", err)
	}
}

// The search finds an existing weakness, and Shrink reduces it to what matters.
func TestSearchAndShrink(t *testing.T) {
	s := mustParse(t, strings.Replace(smallExperiment, `["module", "two"]`, `["random"]`, 1)+"\n")
	s.Cells[0].Plan, s.Cells[0].RandomFaults = nil, 2
	var first []SearchResult
	for _, cores := range []int{1, 6} {
		best, err := s.Search(context.Background(), "random", 3, 24, cores, func(int, SearchResult) {})
		if err != nil || len(best) == 0 {
			t.Fatal(err)
		}
		if first == nil {
			first = best
		}
		if best[0].Loss != first[0].Loss || best[0].Seed != first[0].Seed {
			t.Errorf("the search on %d cores found %v, on one core %v", cores, best[0], first[0])
		}
	}
	worst := first[0]
	if worst.Loss <= 0.05 {
		t.Fatalf("the search found a loss of only %v for random choice against the oracle", worst.Loss)
	}
	small, err := Shrink(context.Background(), worst, 0.7, 4, func(SearchResult) {})
	if err != nil || small.Loss < 0.7*worst.Loss {
		t.Fatalf("%v, %v", small, err)
	}
	if len(small.Plan) > len(worst.Plan) || small.World.Instances > worst.World.Instances ||
		len(small.World.Verbs) >= len(worst.World.Verbs) {
		t.Errorf("not shrunk: %v, from %v", small, worst)
	}
	text, err := small.ExperimentTOML("small")
	if err != nil {
		t.Fatal(err)
	}
	reread := mustParse(t, string(text))
	d, err := reread.Run(Run{Policy: "random", Seed: reread.Seeds[0]})
	if err != nil || d.Report.Score(false) != small.G {
		t.Errorf("the run read back from TOML has G %v, want %v; error %v", d.Report.Score(false), small.G, err)
	}
}

// Runs found by a search and shrunk, each with the share of the oracle's G that the module has to reach.
func TestKnownWeakRuns(t *testing.T) {
	for _, c := range []struct {
		file  string
		least float64 // share of the oracle's G
	}{
		// Two of four backends lose a tenth of their answers. They used to be avoided as if dead, which overloaded the other
		// two (0.82).
		{"lost-answers.toml", 0.97},
	} {
		s, err := ReadExperiment(filepath.Join("testdata", c.file), nil)
		if err != nil {
			t.Fatal(err)
		}
		var g [2]float64
		for i, p := range []string{"module", "top"} {
			d, err := s.Run(Run{Policy: p, Seed: s.Seeds[0]})
			if err != nil {
				t.Fatal(err)
			}
			if d.Report.ViolationCount() > 0 {
				t.Errorf("%s, %s: %v", c.file, p, d.Report.Violations[0])
			}
			g[i] = d.Report.Score(true)
		}
		if g[0] < c.least*g[1] {
			t.Errorf("%s: module %.3f, top %.3f: below a share of %.2f", c.file, g[0], g[1], c.least)
		}
	}
}
