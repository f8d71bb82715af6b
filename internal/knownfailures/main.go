// Command knownfailures runs go test on packages, passing over exactly the tests that KNOWN-RED.txt names, which it prints. It
// must never pass over anything else, nor let a line stand that is malformed, names no test, or names one that passes.
//
//	go run ./internal/knownfailures [FLAGS OF GO TEST --] PACKAGE...
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	file = "KNOWN-RED.txt"
	most = 3 // lines: more red than that is to be mended, not listed
)

// red is one line: PACKAGE TEST, CAUSE, issue N.
type red struct{ pkg, test, cause, issue string }

var form = regexp.MustCompile(`^(\S+) (Test[^\s,]*), (\S.*), issue (\d+)$`)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "knownred: %v\n", err)
		os.Exit(1)
	}
}

// read gives the lines of the file; a missing one is empty.
func read() (list []red, err error) {
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: not PACKAGE TEST, CAUSE, issue N: %q", file, i+1, line)
		}
		r := red{m[1], m[2], m[3], m[4]}
		if slices.ContainsFunc(list, func(x red) bool { return x.pkg == r.pkg && x.test == r.test }) {
			return nil, fmt.Errorf("%s:%d: %s %s is named twice", file, i+1, r.pkg, r.test)
		}
		if list = append(list, r); len(list) > most {
			return nil, fmt.Errorf("%s:%d: more than %d lines", file, i+1, most)
		}
	}
	return list, nil
}

func run(args []string, out io.Writer) error {
	var flags []string
	if i := slices.Index(args, "--"); i >= 0 {
		flags, args = args[:i], args[i+1:]
	}
	if len(args) == 0 {
		return errors.New("no packages")
	}
	list, err := read()
	if err != nil {
		return err
	}
	for _, r := range list {
		if err := goes(r, flags, out); err != nil {
			return err
		}
	}
	var failed error
	rest := slices.DeleteFunc(slices.Clone(args), func(p string) bool {
		return slices.ContainsFunc(list, func(r red) bool { return r.pkg == p })
	})
	if len(rest) > 0 {
		failed = goTest(out, append(slices.Clone(flags), rest...)...)
	}
	for _, p := range args {
		if slices.Contains(rest, p) {
			continue
		}
		var skip []string
		for _, r := range list {
			if r.pkg == p {
				skip = append(skip, exactly(r.test))
			}
		}
		failed = errors.Join(failed, goTest(out, append(slices.Clone(flags), "-skip", strings.Join(skip, "|"), p)...))
	}
	return failed
}

// goes runs one named test and tells it; an error says that it may not be named.
func goes(r red, flags []string, out io.Writer) error {
	cmd := exec.Command("go", slices.Concat([]string{"test"}, flags, []string{"-count=1", "-v", "-run", exactly(r.test), r.pkg})...)
	text, err := cmd.CombinedOutput()
	switch {
	case strings.Contains(string(text), "[build failed]"):
		return fmt.Errorf("%s: %s does not build", file, r.pkg)
	case !regexp.MustCompile(`(?m)^=== RUN\s+` + regexp.QuoteMeta(r.test) + `$`).Match(text):
		return fmt.Errorf("%s: no test is called %s in %s", file, r.test, r.pkg)
	case err == nil:
		return fmt.Errorf("%s: %s %s passes: its line is to be taken out", file, r.pkg, r.test)
	}
	fmt.Fprintf(out, "known red: %s %s: %s (issue %s)\n", r.pkg, r.test, r.cause, r.issue)
	return nil
}

// exactly is the pattern that matches this test, or subtest, alone.
func exactly(test string) string {
	parts := strings.Split(test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

func goTest(out io.Writer, args ...string) error {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}
