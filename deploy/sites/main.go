// Command sites generates variants of the site files of the kit in its own directory, from recipes that contain only the
// differences. Files of the kit must not be written where they would be committed, and no variant may be written if any part
// of a recipe is invalid.
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

// siteDirectory is the directory of the recipes and the variants, relative to the root of the repository.
const siteDirectory = "deploy/sites"

// companionFiles are the files that the benchmark reads from the directory of a site file.
var companionFiles = []string{"real.json", "wire.json", "unlock.txt"}

// recipeFile is the content of recipes.toml.
type recipeFile struct {
	Site []recipe `toml:"site"`
}

// recipe describes one variant of a base site file: new values for single keys of its tables, and lists that replace its
// class and tenant lists.
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
	if err := write(kit, siteDirectory); err != nil {
		fmt.Fprintf(os.Stderr, "deploy/sites/write: %v\n", err)
		os.Exit(1)
	}
}

// write generates all variants and writes them to the directory only if none of them has failed.
func write(kit, directory string) error {
	if _, err := os.Stat(kit); err != nil {
		return fmt.Errorf("the kit is missing: %w", err)
	}
	path := filepath.Join(directory, "recipes.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var all recipeFile
	if err := tomlconfig.Decode(text, &all); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	files := map[string][]byte{}
	for _, r := range all.Site {
		if r.Name == "" || r.Name != filepath.Base(r.Name) || r.Name == "recipes" {
			return fmt.Errorf("%s: site %q: not a name for a file", path, r.Name)
		}
		if files[r.Name+".toml"] != nil {
			return fmt.Errorf("%s: site %s is defined twice", path, r.Name)
		}
		base, err := os.ReadFile(filepath.Join(kit, r.Base))
		if err != nil {
			return fmt.Errorf("%s: site %s: base: %w", path, r.Name, err)
		}
		if files[r.Name+".toml"], err = r.apply(base); err != nil {
			return fmt.Errorf("%s: site %s: %w", path, r.Name, err)
		}
		for _, name := range companionFiles {
			if files[name], err = os.ReadFile(filepath.Join(kit, filepath.Dir(r.Base), name)); err != nil {
				return fmt.Errorf("%s: site %s: companion file of the base: %w", path, r.Name, err)
			}
		}
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name), text, fs.FileMode(0o644)); err != nil {
			return err
		}
	}
	return nil
}

// apply returns the base with the changes of the recipe.
func (r *recipe) apply(base []byte) ([]byte, error) {
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

// keysOf returns all keys that occur in the entries of a list.
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
