//go:build cgo

package main

// The C library calls installStartupHandlers before any Go code runs. Go's runtime keeps an ignored SIGHUP ignored until it is
// passed to os/signal, and forwards a SIGTERM that was not passed to os/signal to the handler that was installed before.

/*
#include <signal.h>
#include <unistd.h>

static volatile sig_atomic_t starting = 1;
static int sighupWasIgnored = 1; // by the parent process

static void exitDuringStartup(int number) {
	if (starting)
		_exit(0);
	signal(number, SIG_DFL);
	raise(number);
}

__attribute__((constructor)) static void installStartupHandlers(void) {
	signal(SIGTERM, exitDuringStartup);
	sighupWasIgnored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
}

static void restoreDefaults(void) {
	starting = 0;
	if (!sighupWasIgnored)
		signal(SIGHUP, SIG_DFL);
}
*/
import "C"

// restoreStartupSignals restores the default actions of SIGTERM and SIGHUP. From the start of the process until then, a SIGTERM
// that Go does not handle exits with status 0, since nothing is open yet, and a SIGHUP is ignored, since the configuration is
// read later.
func restoreStartupSignals() { C.restoreDefaults() }
