package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// controlProgram is the program that implements `sandpass control`, in the same directory as this one. It is a separate program
// so that the proxy links neither consensus nor storage.
const controlProgram = "sandpass-control"

// controlCommand returns the `control` subcommand, which passes all its arguments on to controlProgram.
func controlCommand() *cobra.Command {
	return &cobra.Command{Use: "control", Short: "Change and watch the configuration of a fleet, or run a control replica",
		DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error { return runControl(args) }}
}

// runControl replaces this process with the control program by exec. It returns only if that fails.
func runControl(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), controlProgram)
	restoreDefaultSignals()
	err = syscall.Exec(path, append([]string{controlProgram}, args...), os.Environ())
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s not found; it must be installed in the same directory as sandpass", path)
	}
	return fmt.Errorf("%s: %w", path, err)
}
