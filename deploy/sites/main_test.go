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

// kitOf is a kit of the test's own, and a folder with the recipe.
func kitOf(t *testing.T, recipe string) (kit, into string) {
	t.Helper()
	kit, into = t.TempDir(), t.TempDir()
	put := func(path, text string) {
		os.MkdirAll(filepath.Dir(path), 0o755)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put(filepath.Join(kit, "sites/base.toml"), base)
	for _, name := range beside {
		put(filepath.Join(kit, "sites", name), name)
	}
	put(filepath.Join(into, "recipes.toml"), recipe)
	return kit, into
}

func TestWrites(t *testing.T) {
	kit, into := kitOf(t, recipeText)
	if err := write(kit, into); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(filepath.Join(into, "short.toml"))
	for _, want := range []string{"name = 'short'", "grace_ms = 300", "name = 'c'", "window_ms = 50"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	if strings.Contains(string(text), "'a'") {
		t.Error("a class of the base is left")
	}
	for _, name := range beside {
		if _, err := os.Stat(filepath.Join(into, name)); err != nil {
			t.Error(err)
		}
	}
}

// What is wrong is one line with its place, and nothing is written.
func TestBadRecipes(t *testing.T) {
	for want, change := range map[string][2]string{
		"line 3, column 1: key site.bass is unknown":   {`base = `, `bass = `},
		"tables.rules.grace: the base has no such key": {"grace_ms", "grace"},
		"tables.rule: the base has no such table":      {"tables.rules", "tables.rule"},
		"class[0].window: the base has no such key":    {"window_ms", "window"},
		"base: open":             {"sites/base.toml", "sites/none.toml"},
		"not a name":             {`"short"`, `"../short"`},
		"line 5, column 13":      {"300", "3oo"},
		"site short comes twice": {"[[site]]", "[[site]]\nname = \"short\"\nbase = \"sites/base.toml\"\n[[site]]"},
	} {
		kit, into := kitOf(t, strings.Replace(recipeText, change[0], change[1], 1))
		err := write(kit, into)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", want, err)
		}
		if files, _ := os.ReadDir(into); len(files) != 1 {
			t.Errorf("%s: %d files", want, len(files))
		}
	}
	_, into := kitOf(t, recipeText)
	if err := write(filepath.Join(into, "nowhere"), into); err == nil || !strings.Contains(err.Error(), "the kit is missing") {
		t.Error(err)
	}
}
