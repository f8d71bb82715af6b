package scale

import (
	"os"
	"strings"
	"testing"

	"sandpass/internal/scale/fit"
	"sandpass/internal/scale/fleet"
)

const (
	dataFile = "../../docs/capacity.json"
	pageFile = "../../docs/CAPACITY.md"
)

// TestPageMatchesData checks that the generated sections of the page match the data file, that the page lists every total over
// budget, and that in-process proxies are within the tolerance.
func TestPageMatchesData(t *testing.T) {
	data, err := ReadData(dataFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := data.Page(string(text))
	if err != nil {
		t.Fatal(err)
	}
	if page != string(text) {
		t.Error("docs/CAPACITY.md differs from docs/capacity.json: run sandlab scale report docs/capacity.json --page docs/CAPACITY.md")
	}
	for _, name := range data.UnlistedOverBudget(string(text)) {
		t.Errorf("%s is over budget and not listed as open", name)
	}
	for _, c := range OutsideTolerance(data.Comparisons) {
		t.Errorf("%s: in-process proxies differ from real ones by %+.1f%%", c.Kind, 100*c.RelativeDifference())
	}
}

// overBudget returns the data of a fleet whose messages between siblings exceed the budget.
func overBudget() *Data {
	return &Data{Sizes: fleet.Default(), Series: []Series{{Role: roleProxy, Figure: figureSiblingBytes, Unit: "bytes/s",
		Variable: ByCallRate, Setting: "6 siblings",
		Points: []fit.Point{{N: 157, Y: 23_000}}, Fit: fit.Fit{Model: fit.Linear, Slope: 147}}}}
}

func TestTotalOverBudgetMustBeListed(t *testing.T) {
	const name = "proxy beside a backend, bytes a second, both ways"
	data := overBudget()
	if missing := data.UnlistedOverBudget("# Page\n\n## Open\n\nNothing.\n\n## Next\n\n" + name); len(missing) == 0 ||
		missing[0] != name {
		t.Errorf("not listed: %q", missing)
	}
	listed := "\n## Open\n"
	for _, total := range data.OverBudget() {
		listed += "- " + total.Name() + "\n"
	}
	if missing := data.UnlistedOverBudget(listed); len(missing) != 0 {
		t.Errorf("not listed: %q", missing)
	}
}

func TestPageRestoresEditedFigures(t *testing.T) {
	data, page := overBudget(), ""
	for _, s := range sections {
		page += s.begin() + s.end()
	}
	page, err := data.Page(page)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := data.Page(page); err != nil || again != page {
		t.Errorf("generating the page again changes it: %v", err)
	}
	restored, err := data.Page(strings.Replace(page, "46 KB/s", "4.6 KB/s", 1))
	if err != nil || restored != page || !strings.Contains(page, "46 KB/s") {
		t.Errorf("an edited figure was not replaced: %v", err)
	}
	if _, err := data.Page("# Page"); err == nil {
		t.Error("no error for a page without sections")
	}
}
