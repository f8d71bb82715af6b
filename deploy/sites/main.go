// Command sites writes variants of the kit's deployments into its own folder, by a recipe that holds only what differs. It
// must never put anything of the kit where it would be committed, nor write a variant of a recipe that it did not wholly
// understand.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"sandpass/internal/tomlconfig"
)

const folder = "deploy/sites"

// beside are the files that a bench reads next to a site.
var beside = []string{"real.json", "wire.json", "unlock.txt"}

// recipes is the file of them.
type recipes struct {
	Site []recipe `toml:"site"`
}

// recipe is one variant: single keys of tables that the base has, and lists that stand in place of its own.
type recipe struct {
	Name   string                    `toml:"name"`
	Base   string                    `toml:"base"`
	Tables map[string]map[string]any `toml:"tables"`
	Class  []map[string]any          `toml:"class"`
	Tenant []map[string]any          `toml:"tenant"`
}

func main() {
	kit := "../given/kit"
	if len(os.Args) > 1 {
		kit = os.Args[1]
	}
	if err := write(kit, folder); err != nil {
		fmt.Fprintf(os.Stderr, "deploy/sites/write: %v\n", err)
		os.Exit(1)
	}
}

// write makes all variants and only then puts them into the folder.
func write(kit, into string) error {
	if _, err := os.Stat(kit); err != nil {
		return fmt.Errorf("the kit is missing: %w", err)
	}
	path := filepath.Join(into, "recipes.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var all recipes
	if err := tomlconfig.Decode(text, &all); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	files := map[string][]byte{}
	for _, r := range all.Site {
		if r.Name == "" || r.Name != filepath.Base(r.Name) || r.Name == "recipes" {
			return fmt.Errorf("%s: site %q: not a name for a file", path, r.Name)
		}
		if files[r.Name+".toml"] != nil {
			return fmt.Errorf("%s: site %s comes twice", path, r.Name)
		}
		base, err := os.ReadFile(filepath.Join(kit, r.Base))
		if err != nil {
			return fmt.Errorf("%s: site %s: base: %w", path, r.Name, err)
		}
		if files[r.Name+".toml"], err = r.over(base); err != nil {
			return fmt.Errorf("%s: site %s: %w", path, r.Name, err)
		}
		for _, name := range beside {
			if files[name], err = os.ReadFile(filepath.Join(kit, filepath.Dir(r.Base), name)); err != nil {
				return fmt.Errorf("%s: site %s: beside its base: %w", path, r.Name, err)
			}
		}
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(into, name), text, fs.FileMode(0o644)); err != nil {
			return err
		}
	}
	return nil
}

// over is the base with the recipe's changes.
func (r *recipe) over(base []byte) ([]byte, error) {
	site := map[string]any{}
	if err := toml.Unmarshal(base, &site); err != nil {
		return nil, fmt.Errorf("base %s: %w", r.Base, tomlconfig.WithPosition(err))
	}
	site["name"] = r.Name
	for name, keys := range r.Tables {
		table, ok := site[name].(map[string]any)
		if !ok {
			return nil, fmt.Errorf("tables.%s: the base has no such table", name)
		}
		for key, value := range keys {
			if _, ok := table[key]; !ok {
				return nil, fmt.Errorf("tables.%s.%s: the base has no such key", name, key)
			}
			table[key] = value
		}
	}
	for name, list := range map[string][]map[string]any{"class": r.Class, "tenant": r.Tenant} {
		if len(list) == 0 {
			continue
		}
		known, err := keysOf(site[name])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		for i, entry := range list {
			for key := range entry {
				if !slices.Contains(known, key) {
					return nil, fmt.Errorf("%s[%d].%s: the base has no such key", name, i, key)
				}
			}
		}
		site[name] = list
	}
	return toml.Marshal(site)
}

// keysOf are the keys that any entry of a list has.
func keysOf(list any) (known []string, err error) {
	entries, ok := list.([]any)
	if !ok {
		return nil, errors.New("the base has no such list")
	}
	for _, e := range entries {
		if m, ok := e.(map[string]any); ok {
			for key := range m {
				known = append(known, key)
			}
		}
	}
	return known, nil
}
