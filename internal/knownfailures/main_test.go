package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Runs the command on a temporary module in which two packages have tests of the same names and some of them fail.
func TestKnownFailures(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) {
		t.Helper()
		path := filepath.Join(dir, name)
		os.MkdirAll(filepath.Dir(path), 0o755)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	writeFile("go.mod", "module m\n\ngo 1.24\n")
	const head = "package x\n\nimport \"testing\"\n\n"
	writeFile("one/x_test.go", head+"func TestA(t *testing.T) { t.Error(\"it fails\") }\nfunc TestAB(t *testing.T) {}\n"+
		"func TestC(t *testing.T) {\n\tt.Run(\"in\", func(t *testing.T) { t.Error(\"it fails\") })\n"+
		"\tt.Run(\"inner\", func(t *testing.T) {})\n}\n")
	writeFile("two/x_test.go", head+"func TestA(t *testing.T) {}\nfunc TestD(t *testing.T) { t.Error(\"it fails\") }\n")
	writeFile("four/x_test.go", head+"func TestA(t *testing.T) { nothing() }\n")
	t.Chdir(dir)

	const a, c, d = "m/one TestA, a cause, with a comma, issue 7\n",
		"m/one TestC/in, a cause, issue 7\n", "m/two TestD, a cause, issue 8\n"
	for name, tc := range map[string]struct{ lines, want string }{
		"all failing tests are listed":  {a + c + "\n" + d, ""},
		"no file":                       {"-", "go test"},
		"an empty file":                 {"", "go test"},
		"a failing test is not listed":  {a + c, "go test"},
		"a test of another package":     {a + c + "m/one TestD, a cause, issue 7\n", "no test is called TestD in m/one"},
		"an unknown test":               {a + "m/one TestN, a cause, issue 7\n", "no test is called TestN"},
		"an unknown subtest":            {a + "m/one TestC/out, a cause, issue 7\n", "no test is called TestC/out"},
		"an unknown package":            {"m/three TestA, a cause, issue 7\n", "no test is called TestA in m/three"},
		"a package that does not build": {"m/four TestA, a cause, issue 7\n", "m/four does not build"},
		"a listed test that passes":     {a + c + "m/two TestA, a cause, issue 7\n", "m/two TestA passes"},
		"a prefix of a test name":       {c + d + "m/one Test, a cause, issue 7\n", "no test is called Test in"},
		"more than three lines":         {a + c + d + "m/one TestAB, a cause, issue 7\n", "KNOWN-RED.txt:4: more than 3 lines"},
		"a line with no cause":          {"m/one TestA, issue 7\n", "KNOWN-RED.txt:1: not PACKAGE"},
		"a line with no issue":          {a + "m/one TestC/in, a cause\n", "KNOWN-RED.txt:2: not PACKAGE"},
		"a line with no package":        {"TestA, a cause, issue 7\n", "KNOWN-RED.txt:1: not PACKAGE"},
		"a duplicate line":              {a + a, "KNOWN-RED.txt:2: m/one TestA is named twice"},
		"a pattern instead of a name":   {"m/one Test.*, a cause, issue 7\n", "no test is called Test.*"},
	} {
		t.Run(name, func(t *testing.T) {
			os.Remove(filepath.Join(dir, listFile))
			if tc.lines != "-" {
				writeFile(listFile, tc.lines)
			}
			var out strings.Builder
			err := run([]string{"-count=1", "--", "m/one", "m/two"}, &out)
			if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("error %v, want %q; output:\n%s", err, tc.want, out.String())
			}
			if tc.want == "" && strings.Count(out.String(), "known red: ") != 3 {
				t.Errorf("want 3 known failures in the output:\n%s", out.String())
			}
		})
	}
}
