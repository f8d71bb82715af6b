// Package lab runs experiments on the emulator. An experiment file names a world, policies, a grid of parameters and seeds;
// each combination is one run and one row of a result table.
//
// The package parses experiment files, executes runs in parallel, maintains the result folder, compares and charts results,
// and searches for runs in which a policy does badly. Every run is recorded, and no value is changed after its run.
package lab

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sandpass/internal/baseline"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
	"sandpass/internal/tomlconfig"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name         string         `toml:"name"`
	Policies     []string       `toml:"policies"`
	Seeds        []uint64       `toml:"seeds"`
	RandomFaults int            `toml:"drawn"` // number of faults drawn for each seed in addition to the plan
	World        emulator.World `toml:"world"`
	Plan         faults.Plan    `toml:"plan"`
	Grid         []Axis         `toml:"grid"`
}

// Axis is one parameter of the grid with its values. Path is the parameter's path in the file, such as world.load,
// world.tiers[0].cores, plan[1].hard or drawn.
type Axis struct {
	Path   string `toml:"path"`
	Values []any  `toml:"values"`
}

// Cell is one combination of grid values, with the world and plan that result from it.
type Cell struct {
	Values       []string // one for each axis
	World        emulator.World
	Plan         faults.Plan
	RandomFaults int
}

// ExpandedExperiment is a validated experiment with all cells of its grid.
type ExpandedExperiment struct {
	Experiment
	Text  []byte // TOML text of the file, with the axes added on the command line
	Cells []Cell
}

// ReadExperiment reads an experiment file; over holds further axes in the form "path=value,value".
func ReadExperiment(path string, over []string) (*ExpandedExperiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := ParseExperiment(text, over)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseExperiment parses and validates the text of an experiment file. An error names the line and column, or the key.
func ParseExperiment(text []byte, over []string) (*ExpandedExperiment, error) {
	if err := tomlconfig.Decode(text, &Experiment{}); err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, tomlconfig.WithPosition(err)
	}
	axes, err := collectAxes(tree, over)
	if err != nil {
		return nil, err
	}
	if len(over) > 0 {
		grid := []any{}
		for _, a := range axes {
			grid = append(grid, map[string]any{"path": a.Path, "values": a.Values})
		}
		tree["grid"] = grid
		if text, err = toml.Marshal(tree); err != nil {
			return nil, err
		}
	}
	base, err := defaultTree()
	if err != nil {
		return nil, err
	}
	full := mergeDefaults(base, tree, "").(map[string]any)
	s := &ExpandedExperiment{Text: text}
	if s.Experiment, err = decodeExperiment(full); err != nil {
		return nil, err
	}
	for i, p := range s.Policies {
		if _, err := baseline.Factory(p); err != nil {
			return nil, fmt.Errorf("policies[%d]: %w", i, err)
		}
	}
	if len(s.Policies) == 0 || len(s.Seeds) == 0 {
		return nil, errors.New("policies and seeds must not be empty")
	}
	if err := s.addCells(full, axes, nil); err != nil {
		return nil, err
	}
	return s, nil
}

// collectAxes returns the axes of the file, followed by those of the command line.
func collectAxes(tree map[string]any, over []string) ([]Axis, error) {
	var axes []Axis
	grid, _ := tree["grid"].([]any)
	for i, g := range grid {
		t, _ := g.(map[string]any)
		path, _ := t["path"].(string)
		values, _ := t["values"].([]any)
		if path == "" || len(values) == 0 {
			return nil, fmt.Errorf("grid[%d]: a path and at least one value are needed", i)
		}
		axes = append(axes, Axis{path, values})
	}
	for _, given := range over {
		path, list, ok := strings.Cut(given, "=")
		if !ok || path == "" || list == "" {
			return nil, fmt.Errorf("--over %q is not path=value,value", given)
		}
		a := Axis{Path: path}
		for _, v := range strings.Split(list, ",") {
			a.Values = append(a.Values, parseLiteral(v))
		}
		axes = append(axes, a)
	}
	return axes, nil
}

// parseLiteral parses a command line value as an integer, float or boolean; anything else is a string.
func parseLiteral(v string) any {
	if n, err := strconv.ParseInt(v, 10, 64); err == nil {
		return n
	}
	if f, err := strconv.ParseFloat(v, 64); err == nil {
		return f
	}
	if b, err := strconv.ParseBool(v); err == nil {
		return b
	}
	return v
}

// defaultTree returns the values for keys that a file omits, as a TOML tree.
func defaultTree() (map[string]any, error) {
	text, err := toml.Marshal(Experiment{Name: "unnamed", Policies: []string{"module", "two", "top"}, Seeds: []uint64{1, 2, 3},
		World: emulator.Default(), Plan: faults.Plan{{Zone: -1, To: -1, Share: 1}}})
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	return tree, toml.Unmarshal(text, &tree)
}

// mergeDefaults merges the given values over the defaults. In a list of tables each table is merged over the default table at
// its index, or over the last one.
func mergeDefaults(base, over any, path string) any {
	switch given := over.(type) {
	case map[string]any:
		defaults, ok := base.(map[string]any)
		if !ok {
			return over
		}
		merged := map[string]any{}
		for k, v := range defaults {
			merged[k] = v
		}
		for k, v := range given {
			if x, ok := merged[k]; ok {
				merged[k] = mergeDefaults(x, v, path+"."+k)
			} else {
				merged[k] = v
			}
		}
		if _, hasPlan := given["plan"]; !hasPlan && path == "" {
			delete(merged, "plan") // the default plan only holds the default values of a fault
		}
		return merged
	case []any:
		defaults, ok := base.([]any)
		if !ok || len(defaults) == 0 {
			return over
		}
		var merged []any
		for i, v := range given {
			if _, table := v.(map[string]any); table {
				v = mergeDefaults(defaults[min(i, len(defaults)-1)], v, path+"[]")
			}
			merged = append(merged, v)
		}
		return merged
	case int64: // an integer given for a float value
		if _, ok := base.(float64); ok {
			return float64(given)
		}
	}
	return over
}

// decodeExperiment decodes a merged tree; unknown keys are an error.
func decodeExperiment(tree map[string]any) (Experiment, error) {
	var x Experiment
	text, err := toml.Marshal(tree)
	if err != nil {
		return x, err
	}
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	err = d.Decode(&x)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	if errors.As(err, &strict) && len(strict.Errors) > 0 { // the position does not refer to the file
		return x, fmt.Errorf("key %s is unknown", strings.Join(strict.Errors[0].Key(), "."))
	}
	if errors.As(err, &decode) {
		return x, fmt.Errorf("%s: %s", strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return x, err
}

// addCells adds the cells of the grid; the last axis varies fastest.
func (s *ExpandedExperiment) addCells(tree map[string]any, axes []Axis, values []string) error {
	if len(values) < len(axes) {
		a := axes[len(values)]
		for i, v := range a.Values {
			t, err := withValue(tree, a.Path, v)
			if err != nil {
				return fmt.Errorf("grid: %s: %w", a.Path, err)
			}
			if err := s.addCells(t.(map[string]any), axes, append(values[:len(values):len(values)], fmt.Sprint(a.Values[i]))); err != nil {
				return err
			}
		}
		return nil
	}
	x, err := decodeExperiment(tree)
	if err != nil {
		return err
	}
	where := ""
	for i, v := range values {
		where += fmt.Sprintf("%s = %s: ", axes[i].Path, v)
	}
	if err := x.World.Check(); err != nil {
		return fmt.Errorf("%s%w", where, err)
	}
	if err := x.Plan.Check(x.World.Bounds()); err != nil {
		return fmt.Errorf("%s%w", where, err)
	}
	if x.RandomFaults < 0 || x.RandomFaults > 100 {
		return fmt.Errorf("%sdrawn = %d is not between 0 and 100", where, x.RandomFaults)
	}
	s.Grid = axes
	s.Cells = append(s.Cells, Cell{values, x.World, x.Plan, x.RandomFaults})
	return nil
}

// withValue returns a copy of the tree with the value at path replaced. The tree itself is not changed.
func withValue(tree any, path string, v any) (any, error) {
	if path == "" {
		if _, float := tree.(float64); float {
			if n, ok := v.(int64); ok {
				return float64(n), nil
			}
		}
		return v, nil
	}
	head, rest, _ := strings.Cut(path, ".")
	name, index, listed := strings.Cut(head, "[")
	t, ok := tree.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("the parent of %q is not a table", name)
	}
	old, ok := t[name]
	if !ok {
		return nil, fmt.Errorf("there is no %q", name)
	}
	if listed {
		list, ok := old.([]any)
		n, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil || !ok || n < 0 || n >= len(list) {
			return nil, fmt.Errorf("%s has no index %s", name, strings.TrimSuffix(index, "]"))
		}
		inner, err := withValue(list[n], rest, v)
		if err != nil {
			return nil, err
		}
		list = append([]any(nil), list...)
		list[n], v = inner, list
		v = list
	} else {
		inner, err := withValue(old, rest, v)
		if err != nil {
			return nil, err
		}
		v = inner
	}
	changed := map[string]any{}
	for k, x := range t {
		changed[k] = x
	}
	changed[name] = v
	return changed, nil
}

// PlanFor returns the faults of a cell for a seed: those of its plan, followed by the randomly drawn ones.
func (c *Cell) PlanFor(seed uint64) faults.Plan {
	return append(append(faults.Plan(nil), c.Plan...), faults.Random(seed, c.RandomFaults, c.World.Bounds())...)
}
