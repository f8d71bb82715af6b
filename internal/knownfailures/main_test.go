package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// In a module of the test's own two packages have tests of the same names, of which some fail.
func TestKnownRed(t *testing.T) {

	where := t.TempDir()
	put := func(name, text string) {
		t.Helper()
		path := filepath.Join(where, name)
		os.MkdirAll(filepath.Dir(path), 0o755)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put("go.mod", "module m\n\ngo 1.24\n")
	const head = "package x\n\nimport \"testing\"\n\n"
	put("one/x_test.go", head+"func TestA(t *testing.T) { t.Error(\"it fails\") }\nfunc TestAB(t *testing.T) {}\n"+
		"func TestC(t *testing.T) {\n\tt.Run(\"in\", func(t *testing.T) { t.Error(\"it fails\") })\n\tt.Run(\"inner\", func(t *testing.T) {})\n}\n")
	put("two/x_test.go", head+"func TestA(t *testing.T) {}\nfunc TestD(t *testing.T) { t.Error(\"it fails\") }\n")
	put("four/x_test.go", head+"func TestA(t *testing.T) { nothing() }\n")
	t.Chdir(where)

	const a, c, d = "m/one TestA, a cause, with a comma, issue 7\n", "m/one TestC/in, a cause, issue 7\n", "m/two TestD, a cause, issue 8\n"
	for name, x := range map[string]struct{ lines, says string }{
		"all that fail are named":        {a + c + "\n" + d, ""},
		"no file":                        {"-", "go test"},
		"an empty file":                  {"", "go test"},
		"one that fails is not named":    {a + c, "go test"},
		"a name stands for its package":  {a + c + "m/one TestD, a cause, issue 7\n", "no test is called TestD in m/one"},
		"a name that no test has":        {a + "m/one TestN, a cause, issue 7\n", "no test is called TestN"},
		"a subtest that no test has":     {a + "m/one TestC/out, a cause, issue 7\n", "no test is called TestC/out"},
		"a package that is none":         {"m/three TestA, a cause, issue 7\n", "no test is called TestA in m/three"},
		"a package that does not build":  {"m/four TestA, a cause, issue 7\n", "m/four does not build"},
		"a listed test that passes":      {a + c + "m/two TestA, a cause, issue 7\n", "m/two TestA passes"},
		"the beginning of a name":        {c + d + "m/one Test, a cause, issue 7\n", "no test is called Test in"},
		"more than three lines":          {a + c + d + "m/one TestAB, a cause, issue 7\n", "KNOWN-RED.txt:4: more than 3 lines"},
		"a line with no cause":           {"m/one TestA, issue 7\n", "KNOWN-RED.txt:1: not PACKAGE"},
		"a line with no issue":           {a + "m/one TestC/in, a cause\n", "KNOWN-RED.txt:2: not PACKAGE"},
		"a line with no package":         {"TestA, a cause, issue 7\n", "KNOWN-RED.txt:1: not PACKAGE"},
		"the same twice":                 {a + a, "KNOWN-RED.txt:2: m/one TestA is named twice"},
		"a pattern is no name of a test": {"m/one Test.*, a cause, issue 7\n", "no test is called Test.*"},
	} {
		t.Run(name, func(t *testing.T) {
			os.Remove(filepath.Join(where, file))
			if x.lines != "-" {
				put(file, x.lines)
			}
			var out strings.Builder
			err := run([]string{"-count=1", "--", "m/one", "m/two"}, &out)
			if x.says == "" && err != nil || x.says != "" && (err == nil || !strings.Contains(err.Error(), x.says)) {
				t.Errorf("%v, want %q\n%s", err, x.says, out.String())
			}
			if x.says == "" && strings.Count(out.String(), "known red: ") != 3 {
				t.Errorf("printed\n%s", out.String())
			}
		})
	}
}
