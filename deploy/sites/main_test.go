package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const base = `name = "base"
[rules]
grace_ms = 400
[[class]]
name = "a"
share = [0.4, 0.6]
[[class]]
name = "b"
window_ms = 100
`

const recipeText = `[[site]]
name = "short"
base = "sites/base.toml"
[site.tables.rules]
grace_ms = 300
[[site.class]]
name = "c"
window_ms = 50
`

// newKit creates a kit with one base site, and a directory with the recipe.
func newKit(t *testing.T, recipe string) (kit, directory string) {
	t.Helper()
	kit, directory = t.TempDir(), t.TempDir()
	put := func(path, text string) {
		os.MkdirAll(filepath.Dir(path), 0o755)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put(filepath.Join(kit, "sites/base.toml"), base)
	for _, name := range companionFiles {
		put(filepath.Join(kit, "sites", name), name)
	}
	put(filepath.Join(directory, "recipes.toml"), recipe)
	return kit, directory
}

// TestWrites checks the content of a variant and that the companion files are copied.
func TestWrites(t *testing.T) {
	kit, directory := newKit(t, recipeText)
	if err := write(kit, directory); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(filepath.Join(directory, "short.toml"))
	for _, want := range []string{"name = 'short'", "grace_ms = 300", "name = 'c'", "window_ms = 50"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the variant does not contain %s:\n%s", want, text)
		}
	}
	if strings.Contains(string(text), "'a'") {
		t.Error("the variant contains a class of the base")
	}
	for _, name := range companionFiles {
		if _, err := os.Stat(filepath.Join(directory, name)); err != nil {
			t.Error(err)
		}
	}
}

// TestBadRecipes checks that an invalid recipe gives an error of one line with the position, and that nothing is written.
func TestBadRecipes(t *testing.T) {
	for want, change := range map[string][2]string{
		"line 3, column 1: key site.bass is unknown":   {`base = `, `bass = `},
		"tables.rules.grace: the base has no such key": {"grace_ms", "grace"},
		"tables.rule: the base has no such table":      {"tables.rules", "tables.rule"},
		"class[0].window: the base has no such key":    {"window_ms", "window"},
		"base: open":                  {"sites/base.toml", "sites/none.toml"},
		"not a name":                  {`"short"`, `"../short"`},
		"line 5, column 13":           {"300", "3oo"},
		"site short is defined twice": {"[[site]]", "[[site]]\nname = \"short\"\nbase = \"sites/base.toml\"\n[[site]]"},
	} {
		kit, directory := newKit(t, strings.Replace(recipeText, change[0], change[1], 1))
		err := write(kit, directory)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want one line with %q, got %v", want, err)
		}
		if files, _ := os.ReadDir(directory); len(files) != 1 {
			t.Errorf("%s: %d files in the directory, want only the recipe", want, len(files))
		}
	}
	_, directory := newKit(t, recipeText)
	if err := write(filepath.Join(directory, "nowhere"), directory); err == nil || !strings.Contains(err.Error(), "the kit is missing") {
		t.Error(err)
	}
}
