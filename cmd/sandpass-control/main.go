// Command sandpass-control manages the configuration of a fleet of proxies: it runs a control replica, and it is the
// operators' command line. `sandpass control` runs it. This file defines the command tree and the exit codes.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/controlserver"
)

// Exit codes of the control commands.
const (
	exitOK         = 0
	exitError      = 1
	exitUsage      = 2
	exitConflict   = 3
	exitRefused    = 4
	exitNoQuorum   = 5
	exitNotInForce = 6
)

const controlHelp = `Configuration of a fleet of proxies, kept by control replicas.

Exit codes: 0 done; 1 another error; 2 usage or bad input; 3 conflict with another operator's change;
4 refused by the check, or held because a proxy refused it; 5 no quorum, or no replica can be reached;
6 with --wait: accepted, but not in force everywhere in time.`

// codedError is an error with the exit code of the process.
type codedError struct {
	code  int
	cause error
}

// Error returns the message of the wrapped error.
func (e *codedError) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped error.
func (e *codedError) Unwrap() error { return e.cause }

// usageError formats an error with the exit code for usage.
func usageError(format string, args ...any) error {
	return &codedError{exitUsage, fmt.Errorf(format, args...)}
}

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	if err := controlCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandpass control:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code of the process for an error.
func exitCode(err error) int {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	var apiErr *controlapi.Error
	if !errors.As(err, &apiErr) {
		return exitError
	}
	switch apiErr.Kind {
	case controlapi.KindConflict:
		return exitConflict
	case controlapi.KindRefused:
		return exitRefused
	case controlapi.KindNoQuorum, controlapi.KindUnknown:
		return exitNoQuorum
	case controlapi.KindBadRequest, controlapi.KindNotFound:
		return exitUsage
	}
	return exitError
}

// controlOptions are the flags that all client commands share.
type controlOptions struct {
	replicas string
	json     bool
	stale    bool
	timeout  time.Duration
}

// client returns a client of the replicas given by the flags.
func (o *controlOptions) client() (*controlclient.Client, error) {
	client, err := controlclient.New(strings.Split(o.replicas, ","))
	if err != nil {
		return nil, &codedError{exitUsage, err}
	}
	client.AllowStale = o.stale
	return client, nil
}

// controlCommand returns `sandpass control` with all its subcommands.
func controlCommand() *cobra.Command {
	options := &controlOptions{}
	control := &cobra.Command{Use: "sandpass-control", Args: cobra.ArbitraryArgs,
		Annotations: map[string]string{cobra.CommandDisplayNameAnnotation: "sandpass control"},
		Short:       "Change and watch the configuration of a fleet", Long: controlHelp,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError("unknown control command %q; see sandpass control --help", args[0])
			}
			return cmd.Help()
		}}
	control.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &codedError{exitUsage, err} })
	flags := control.PersistentFlags()
	flags.StringVar(&options.replicas, "replicas", os.Getenv("SANDPASS_CONTROL"), "addresses of the replicas, asked in this order")
	flags.BoolVar(&options.json, "json", false, "print JSON for scripts")
	flags.BoolVar(&options.stale, "stale", false, "read what one replica knows, also without a quorum; it may be old")
	flags.DurationVar(&options.timeout, "timeout", 10*time.Second, "how long to try, and to wait with --wait")
	control.AddCommand(controlServeCommand(), applyCommand(options), diffCommand(options), historyCommand(options),
		showCommand(options), rollbackCommand(options), statusCommand(options))
	for _, command := range control.Commands() {
		command.Args = usageArgs(command.Args)
	}
	return control
}

// usageArgs wraps an argument check so that its errors have the exit code for usage.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &codedError{exitUsage, err}
		}
		return nil
	}
}

// controlServeCommand returns the command that runs a replica.
func controlServeCommand() *cobra.Command {
	var path string
	command := &cobra.Command{Use: "serve", Short: "Run a control replica", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serveControl(path) }}
	command.Flags().StringVar(&path, "config", "", "the replica's file, TOML")
	return command
}

// serveControl runs a replica until SIGTERM, SIGINT or a fatal error.
func serveControl(path string) error {
	if path == "" {
		return usageError("--config is missing")
	}
	config, err := controlserver.ReadConfig(path)
	if err != nil {
		return &codedError{exitUsage, err}
	}
	server, err := controlserver.New(config)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		signal.Reset(syscall.SIGINT) // a second Ctrl-C kills the process
		server.Stop()
	}()
	return server.Run()
}
