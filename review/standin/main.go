// Command standin plays the cases of this folder: it starts the proxy with the command of the deploy file, is its discovery,
// its backends and its clients, and tells whether the rule held.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes, as the scripts return them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict string

// setup is what a case gets.
type setup struct {
	root, folder string // of the repository, and a temporary one
	trouble      bool   // with the disruption
	record       *record
}

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func(setup) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	runtime.LockOSThread() // the proxy is killed when the thread that started it ends
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays one case and returns the exit code.
func play(name, root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "sandpass-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	result, err := cases[name](setup{root, folder, os.Getenv("TROUBLE") != "0", rec})
	if log, readErr := os.ReadFile(filepath.Join(folder, "proxy.log")); readErr == nil {
		rec.add("the proxy's log:\n%s", log)
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case result != "":
		rec.add("BROKEN: %s", result)
		fmt.Println("BROKEN:", result)
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}
