// Command knownfailures runs go test on packages and skips exactly the tests that KNOWN-RED.txt lists. It prints each skipped
// test. It fails if a line of the list is malformed, names no test, or names a test that passes.
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
	listFile   = "KNOWN-RED.txt"
	maxEntries = 3 // lines in the list; any further failing test has to be fixed
)

// knownFailure is one line of the list: PACKAGE TEST, CAUSE, issue N.
type knownFailure struct{ pkg, test, cause, issue string }

// linePattern matches one line of the list.
var linePattern = regexp.MustCompile(`^(\S+) (Test[^\s,]*), (\S.*), issue (\d+)$`)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "knownfailures: %v\n", err)
		os.Exit(1)
	}
}

// readList parses the list; a missing file is an empty list.
func readList() (list []knownFailure, err error) {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		match := linePattern.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("%s:%d: not PACKAGE TEST, CAUSE, issue N: %q", listFile, i+1, line)
		}
		entry := knownFailure{match[1], match[2], match[3], match[4]}
		if slices.ContainsFunc(list, func(other knownFailure) bool { return other.pkg == entry.pkg && other.test == entry.test }) {
			return nil, fmt.Errorf("%s:%d: %s %s is named twice", listFile, i+1, entry.pkg, entry.test)
		}
		if list = append(list, entry); len(list) > maxEntries {
			return nil, fmt.Errorf("%s:%d: more than %d lines", listFile, i+1, maxEntries)
		}
	}
	return list, nil
}

// run confirms each listed failure, then tests the packages in args without the listed tests. Flags for go test may stand
// before "--".
func run(args []string, out io.Writer) error {
	var flags []string
	if i := slices.Index(args, "--"); i >= 0 {
		flags, args = args[:i], args[i+1:]
	}
	if len(args) == 0 {
		return errors.New("no packages")
	}
	list, err := readList()
	if err != nil {
		return err
	}
	for _, entry := range list {
		if err := confirmFailure(entry, flags, out); err != nil {
			return err
		}
	}
	var failed error
	rest := slices.DeleteFunc(slices.Clone(args), func(p string) bool {
		return slices.ContainsFunc(list, func(entry knownFailure) bool { return entry.pkg == p })
	})
	if len(rest) > 0 {
		failed = goTest(out, append(slices.Clone(flags), rest...)...)
	}
	for _, p := range args {
		if slices.Contains(rest, p) {
			continue
		}
		var skip []string
		for _, entry := range list {
			if entry.pkg == p {
				skip = append(skip, exactPattern(entry.test))
			}
		}
		failed = errors.Join(failed, goTest(out, append(slices.Clone(flags), "-skip", strings.Join(skip, "|"), p)...))
	}
	return failed
}

// confirmFailure runs one listed test and prints its line. It returns an error if the test may not be listed.
func confirmFailure(entry knownFailure, flags []string, out io.Writer) error {
	cmd := exec.Command("go", slices.Concat([]string{"test"}, flags,
		[]string{"-count=1", "-v", "-run", exactPattern(entry.test), entry.pkg})...)
	text, err := cmd.CombinedOutput()
	switch {
	case strings.Contains(string(text), "[build failed]"):
		return fmt.Errorf("%s: %s does not build", listFile, entry.pkg)
	case !regexp.MustCompile(`(?m)^=== RUN\s+` + regexp.QuoteMeta(entry.test) + `$`).Match(text):
		return fmt.Errorf("%s: no test is called %s in %s", listFile, entry.test, entry.pkg)
	case err == nil:
		return fmt.Errorf("%s: %s %s passes: its line is to be taken out", listFile, entry.pkg, entry.test)
	}
	fmt.Fprintf(out, "known red: %s %s: %s (issue %s)\n", entry.pkg, entry.test, entry.cause, entry.issue)
	return nil
}

// exactPattern returns the -run pattern that matches only this test or subtest.
func exactPattern(test string) string {
	parts := strings.Split(test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

// goTest runs go test with the given arguments and copies its output to out.
func goTest(out io.Writer, args ...string) error {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}
