// Command sandpass is the proxy. This file owns the command line, the process's limits and its signals; it must
// never touch a socket.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/spf13/cobra"

	"sandpass/internal/proxy"
)

const memoryPart = 0.6 // of the memory allowed, from which the garbage collector works harder

func read(path, words string) (*proxy.Launch, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: set NODE_CONFIG or give --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	l, err := proxy.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if at := os.Getenv("NODE_OPS"); at != "" {
		l.Ops = at
	}
	l.Socket = os.Getenv("NODE_SOCKET_FD")
	if err := l.Heed(words); err != nil {
		return nil, err
	}
	return l, nil
}

func serve(path, words string) error {
	l, err := read(path, words)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	// Each kind has a channel of its own: one that comes while another waits must not be dropped.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	p, err := proxy.New(l)
	if err != nil {
		return err
	}
	p.OnMemory(func(bytes int64) { debug.SetMemoryLimit(int64(memoryPart * float64(bytes))) })
	var asked atomic.Bool
	go func() {
		<-ends
		signal.Reset(syscall.SIGINT) // a second Ctrl-C ends it at once; a second SIGTERM changes nothing
		asked.Store(true)
		p.Ring()
	}()
	go func() { // apart from the end, which must not wait for a file
		for range reloads {
			reload(path, words, p)
		}
	}()
	return p.Run(asked.Load)
}

// reload hands the configuration to the proxy anew; one that a start would not take changes nothing.
func reload(path, words string, p *proxy.Proxy) {
	l, err := read(path, words)
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
				l, err := read(path, words)
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
