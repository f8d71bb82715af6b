// Package lab plays experiments on the emulator: a file names a world, policies, a grid of parameters and seeds; each
// combination is one run and one row of a table.
//
// It owns the experiment's file, the runs side by side, the folder of results, what is compared and charted from it,
// and the search for days on which a policy does badly. It must never change a figure after a run, nor leave one out.
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

// Experiment is what a file asks for.
type Experiment struct {
	Name         string         `toml:"name"`
	Policies     []string       `toml:"policies"`
	Seeds        []uint64       `toml:"seeds"`
	RandomFaults int            `toml:"drawn"` // faults drawn anew for each seed, beside those of the plan
	World        emulator.World `toml:"world"`
	Plan         faults.Plan    `toml:"plan"`
	Grid         []Axis         `toml:"grid"`
}

// Axis is one parameter of the grid, named by its path in the file: world.load, world.tiers[0].cores, plan[1].hard, drawn.
type Axis struct {
	Path   string `toml:"path"`
	Values []any  `toml:"values"`
}

// Cell is one combination of the grid.
type Cell struct {
	Values       []string // one for each axis
	World        emulator.World
	Plan         faults.Plan
	RandomFaults int
}

// Sheet is an experiment that was read and checked, with its cells.
type ExpandedExperiment struct {
	Experiment
	Text  []byte // as it stands in the file, with the axes added on the command line
	Cells []Cell
}

// Read reads an experiment's file; over are further axes as "path=value,value".
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

// Parse reads an experiment's text. An error names the line and column, or the key.
func ParseExperiment(text []byte, over []string) (*ExpandedExperiment, error) {
	if err := tomlconfig.Decode(text, &Experiment{}); err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, tomlconfig.WithPosition(err)
	}
	axes, err := axesOf(tree, over)
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
	base, err := defaults()
	if err != nil {
		return nil, err
	}
	full := merge(base, tree, "").(map[string]any)
	s := &ExpandedExperiment{Text: text}
	if s.Experiment, err = build(full); err != nil {
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
	if err := s.fill(full, axes, nil); err != nil {
		return nil, err
	}
	return s, nil
}

func axesOf(tree map[string]any, over []string) ([]Axis, error) {
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
	for _, o := range over {
		path, list, ok := strings.Cut(o, "=")
		if !ok || path == "" || list == "" {
			return nil, fmt.Errorf("--over %q is not path=value,value", o)
		}
		a := Axis{Path: path}
		for _, v := range strings.Split(list, ",") {
			a.Values = append(a.Values, literal(v))
		}
		axes = append(axes, a)
	}
	return axes, nil
}

func literal(v string) any {
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

// defaults is the tree of what a file does not say.
func defaults() (map[string]any, error) {
	text, err := toml.Marshal(Experiment{Name: "unnamed", Policies: []string{"module", "two", "top"}, Seeds: []uint64{1, 2, 3},
		World: emulator.Default(), Plan: faults.Plan{{Zone: -1, To: -1, Share: 1}}})
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	return tree, toml.Unmarshal(text, &tree)
}

// merge lays what is said over what holds by default. Of a list of tables each is laid over its like, or the last.
func merge(under, over any, path string) any {
	switch o := over.(type) {
	case map[string]any:
		u, ok := under.(map[string]any)
		if !ok {
			return over
		}
		all := map[string]any{}
		for k, v := range u {
			all[k] = v
		}
		for k, v := range o {
			if x, ok := all[k]; ok {
				all[k] = merge(x, v, path+"."+k)
			} else {
				all[k] = v
			}
		}
		if _, said := o["plan"]; !said && path == "" {
			delete(all, "plan") // the one by default is only the form of a fault
		}
		return all
	case []any:
		u, ok := under.([]any)
		if !ok || len(u) == 0 {
			return over
		}
		var all []any
		for i, v := range o {
			if _, table := v.(map[string]any); table {
				v = merge(u[min(i, len(u)-1)], v, path+"[]")
			}
			all = append(all, v)
		}
		return all
	case int64: // a whole number where a figure with decimals stands
		if _, ok := under.(float64); ok {
			return float64(o)
		}
	}
	return over
}

func build(tree map[string]any) (Experiment, error) {
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
	if errors.As(err, &strict) && len(strict.Errors) > 0 { // the place is not one in the file
		return x, fmt.Errorf("key %s is unknown", strings.Join(strict.Errors[0].Key(), "."))
	}
	if errors.As(err, &decode) {
		return x, fmt.Errorf("%s: %s", strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return x, err
}

// fill makes the cells, the last axis turning fastest.
func (s *ExpandedExperiment) fill(tree map[string]any, axes []Axis, at []string) error {
	if len(at) < len(axes) {
		a := axes[len(at)]
		for i, v := range a.Values {
			t, err := put(tree, a.Path, v)
			if err != nil {
				return fmt.Errorf("grid: %s: %w", a.Path, err)
			}
			if err := s.fill(t.(map[string]any), axes, append(at[:len(at):len(at)], fmt.Sprint(a.Values[i]))); err != nil {
				return err
			}
		}
		return nil
	}
	x, err := build(tree)
	if err != nil {
		return err
	}
	where := ""
	for i, v := range at {
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
	s.Cells = append(s.Cells, Cell{at, x.World, x.Plan, x.RandomFaults})
	return nil
}

// put gives a tree with one value in it changed; the tree itself stays.
func put(tree any, path string, v any) (any, error) {
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
		return nil, fmt.Errorf("nothing has a %q", name)
	}
	old, ok := t[name]
	if !ok {
		return nil, fmt.Errorf("there is no %q", name)
	}
	if listed {
		list, ok := old.([]any)
		n, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil || !ok || n < 0 || n >= len(list) {
			return nil, fmt.Errorf("%s has no place %s", name, strings.TrimSuffix(index, "]"))
		}
		inner, err := put(list[n], rest, v)
		if err != nil {
			return nil, err
		}
		list = append([]any(nil), list...)
		list[n], v = inner, list
		v = list
	} else {
		inner, err := put(old, rest, v)
		if err != nil {
			return nil, err
		}
		v = inner
	}
	all := map[string]any{}
	for k, x := range t {
		all[k] = x
	}
	all[name] = v
	return all, nil
}

// PlanFor is the plan of a cell at a seed: what is written, and what is drawn.
func (c *Cell) PlanFor(seed uint64) faults.Plan {
	return append(append(faults.Plan(nil), c.Plan...), faults.Random(seed, c.RandomFaults, c.World.Bounds())...)
}
