// Command sandpass is the proxy. This file owns the command line and the process's limits; it must
// never touch a socket.
package main

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
	memoryPart = 0.6                    // of the memory allowed, from which the garbage collector works harder
	lastLines  = 300 * time.Millisecond // for the log's last lines to be written at the end

	readPause      = 50 * time.Millisecond // between tries to read a configuration while descriptors lack
	startRetryFor  = 20 * time.Second      // in which it is tried at the start: a process must be ready after 30 s
	reloadRetryFor = 3 * time.Second       // and at SIGHUP: it counts 4 s after that
)

// readConfiguration reads the configuration and what the operators say beside it.
func readConfiguration(path, words string) (*proxy.Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: set NODE_CONFIG or give --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	l, err := proxy.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if at := os.Getenv("NODE_OPS"); at != "" {
		l.Ops = at
	}
	l.Socket = os.Getenv("NODE_SOCKET_FD")
	if err := l.LoadOperatorFile(words); err != nil {
		return nil, err
	}
	return l, nil
}

// readWithin reads the configuration, again and again for so long while the system lacks descriptors or memory.
func readWithin(path, words string, long time.Duration) (*proxy.Config, error) {
	for until := time.Now().Add(long); ; time.Sleep(readPause) {
		l, err := readConfiguration(path, words)
		if !loop.IsTransient(err) || time.Now().After(until) {
			return l, err
		}
	}
}

// serve runs the proxy until it was asked to end and all that it took has its answer.
func serve(path, words string) error {
	lines := logbuffer.New(os.Stderr)
	log.SetOutput(lines)
	defer lines.Close(lastLines)
	runtime.GOMAXPROCS(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var asked atomic.Bool
	var started atomic.Pointer[proxy.Proxy]
	go followEnd(&asked, cancel, func() {
		if p := started.Load(); p != nil {
			p.WakeUp()
		}
	})
	p, err := start(ctx, path, words)
	if ctx.Err() != nil && err != nil {
		log.Printf("msg=ended_before_start")
		return nil
	}
	if err != nil {
		return err
	}
	started.Store(p)
	p.OnMemoryLimit(func(bytes int64) { debug.SetMemoryLimit(int64(memoryPart * float64(bytes))) })
	go func() { // apart from the end, which must not wait for a file
		for range reloadSignals {
			reload(path, words, p)
		}
	}()
	return p.Run(asked.Load)
}

// start reads the configuration and makes the proxy; it waits for neither a file nor the kernel once the context has ended.
func start(ctx context.Context, path, words string) (*proxy.Proxy, error) {
	type result struct {
		launch *proxy.Config
		err    error
	}
	read := make(chan result, 1)
	go func() {
		l, err := readWithin(path, words, startRetryFor)
		read <- result{l, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-read:
		if r.err != nil {
			return nil, r.err
		}
		return proxy.NewContext(ctx, r.launch)
	}
}

// reload hands the configuration to the proxy anew; one that a start would not take changes nothing.
func reload(path, words string, p *proxy.Proxy) {
	l, err := readWithin(path, words, reloadRetryFor)
	if err == nil {
		err = proxy.Check(l)
	}
	if err != nil {
		log.Printf("msg=reload_not_taken error=%q", err)
		return
	}
	p.Reload(l)
}

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	var path, words string
	root := &cobra.Command{Use: "sandpass", Short: "A load balancer for services that call services",
		SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&path, "config", os.Getenv("NODE_CONFIG"), "the configuration, JSON")
	root.PersistentFlags().StringVar(&words, "operator", "", "what the operators say beside it, TOML; see deploy/sandpass.toml")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the proxy", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(path, words) }},
		&cobra.Command{Use: "check", Short: "Tell whether a configuration is good", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				defaultSignals()
				l, err := readConfiguration(path, words)
				if err == nil {
					err = proxy.Check(l)
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
