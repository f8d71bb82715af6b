// Command standin2 plays one case of the review: it starts the project's proxy and the stand-ins around it, and checks one rule.
//
//	standin2 CASE ROOT RECORD
//
// ROOT is the repository, RECORD the file that it writes. TROUBLE=0 in the environment leaves out the disruption. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(r *record, p *platform, trouble bool) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns its exit status.
func play(name, root, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case=%s trouble=%t", name, trouble)
	p, err := newPlatform(r, root)
	if err == nil {
		go closeWhenStopped(p)
		err = cases[name](r, p, trouble)
		p.close()
	}
	if err != nil {
		r.cannotRun("%v", err)
	}
	return r.end()
}

// closeWhenStopped ends all processes that were started when this one is told to end.
func closeWhenStopped(p *platform) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	<-stopped
	p.close()
	os.Exit(2)
}
