// Command sandpass is the proxy.
package main

// This file implements the command line and sets the limits of the process; it does no network I/O.

import (
	"context"
	"fmt"
	"log"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"sandpass/internal/logbuffer"
	"sandpass/internal/loop"
	"sandpass/internal/proxy"
)

const (
	gcMemoryFraction = 0.6                    // part of the configured memory that is set as Go's soft memory limit
	logFlushTimeout  = 300 * time.Millisecond // time to write the last log lines at exit

	readRetryInterval  = 50 * time.Millisecond // between attempts to read it while resources are exhausted
	startRetryTimeout  = 20 * time.Second      // time for the attempts at startup: it must be ready after 30 s
	reloadRetryTimeout = 3 * time.Second       // and after SIGHUP: the change must be in force after 4 s
)

// readConfiguration reads the configuration, the operator file and the settings in the environment.
func readConfiguration(path, operatorPath string) (*proxy.Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: set NODE_CONFIG or give --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := proxy.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if address := os.Getenv("NODE_OPS"); address != "" {
		config.Ops = address
	}
	config.Socket = os.Getenv("NODE_SOCKET_FD")
	if err := config.LoadOperatorFile(operatorPath); err != nil {
		return nil, err
	}
	return config, nil
}

// readWithRetry reads the configuration and retries until the timeout while the system lacks descriptors or memory.
func readWithRetry(path, operatorPath string, timeout time.Duration) (*proxy.Config, error) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(readRetryInterval) {
		config, err := readConfiguration(path, operatorPath)
		if !loop.IsTransient(err) || time.Now().After(deadline) {
			return config, err
		}
	}
}

// serve runs the proxy until a shutdown was requested and all accepted requests have been answered.
func serve(path, operatorPath string) error {
	logWriter := logbuffer.New(os.Stderr)
	log.SetOutput(logWriter)
	defer logWriter.Close(logFlushTimeout)
	runtime.GOMAXPROCS(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var shutdownRequested atomic.Bool
	var startedProxy atomic.Pointer[proxy.Proxy]
	go handleShutdownSignals(&shutdownRequested, cancel, func() {
		if p := startedProxy.Load(); p != nil {
			p.WakeUp()
		}
	})
	p, err := start(ctx, path, operatorPath)
	if ctx.Err() != nil && err != nil {
		log.Printf("msg=ended_before_start")
		return nil
	}
	if err != nil {
		return err
	}
	startedProxy.Store(p)
	p.OnMemoryLimit(func(bytes int64) { debug.SetMemoryLimit(int64(gcMemoryFraction * float64(bytes))) })
	go func() { // separate from the shutdown, which must not wait for a file
		for range reloadSignals {
			reload(path, operatorPath, p)
		}
	}()
	return p.Run(shutdownRequested.Load)
}

// start reads the configuration and creates the proxy. Once the context is canceled it waits for neither a file nor the kernel.
func start(ctx context.Context, path, operatorPath string) (*proxy.Proxy, error) {
	type result struct {
		config *proxy.Config
		err    error
	}
	read := make(chan result, 1)
	go func() {
		config, err := readWithRetry(path, operatorPath, startRetryTimeout)
		read <- result{config, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-read:
		if r.err != nil {
			return nil, r.err
		}
		return proxy.NewContext(ctx, r.config)
	}
}

// reload reads the configuration again and passes it to the proxy. A configuration with which the proxy would not start changes
// nothing.
func reload(path, operatorPath string, p *proxy.Proxy) {
	config, err := readWithRetry(path, operatorPath, reloadRetryTimeout)
	if err == nil {
		err = proxy.Check(config)
	}
	if err != nil {
		log.Printf("msg=reload_not_taken error=%q", err)
		return
	}
	p.Reload(config)
}

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	var path, operatorPath string
	root := &cobra.Command{Use: "sandpass", Short: "A load balancer for services that call services",
		SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&path, "config", os.Getenv("NODE_CONFIG"), "the configuration, JSON")
	root.PersistentFlags().StringVar(&operatorPath, "operator", "", "what the operators say beside it, TOML; see deploy/sandpass.toml")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the proxy", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(path, operatorPath) }},
		&cobra.Command{Use: "check", Short: "Tell whether a configuration is good", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				restoreDefaultSignals()
				config, err := readConfiguration(path, operatorPath)
				if err == nil {
					err = proxy.Check(config)
				}
				if err == nil {
					fmt.Fprintln(cmd.OutOrStdout(), "the configuration is good")
				}
				return err
			}},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) }},
		controlCommand(),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandpass:", err)
		os.Exit(1)
	}
}

// version returns the module version, the VCS revision and the Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "sandpass (unknown)"
	}
	text := "sandpass " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
