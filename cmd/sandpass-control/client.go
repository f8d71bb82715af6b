package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/revision"
)

const (
	statusPollInterval = 100 * time.Millisecond // between two status requests of --wait
	maxDocumentRead    = revision.MaxDocumentBytes + 1
)

// changeOptions holds the flags shared by apply and rollback.
type changeOptions struct {
	author, reason string
	atOnce, wait   bool
}

// addFlags defines the flags on a command.
func (c *changeOptions) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&c.author, "author", os.Getenv("USER"), "who asks for it")
	command.Flags().StringVar(&c.reason, "reason", "", "why, in one line (needed)")
	command.Flags().BoolVar(&c.atOnce, "at-once", false, "send it to all proxies without a trial on few, for emergencies")
	command.Flags().BoolVar(&c.wait, "wait", false, "end when it is in force at all connected proxies that it concerns")
}

// validate reports a missing reason or author.
func (c *changeOptions) validate() error {
	if c.reason == "" {
		return usageError("--reason is missing")
	}
	if c.author == "" {
		return usageError("--author is missing, and USER is not set")
	}
	return nil
}

// readDocument reads a document from a file, or from input if path is "-", and returns it in canonical form.
func readDocument(path string, input io.Reader) (revision.Document, error) {
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, &codedError{exitUsage, err}
		}
		defer file.Close()
		input = file
	}
	text, err := io.ReadAll(io.LimitReader(input, maxDocumentRead))
	if err != nil {
		return nil, err
	}
	document, err := revision.Canonicalize(text)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return document, nil
}

// parseScope parses the value of --scope.
func parseScope(text string) (revision.Scope, error) {
	if text == "" {
		return revision.Scope{}, usageError("--scope is missing: fleet, region:NAME, zone:NAME, service:NAME or proxy:NAME")
	}
	scope, err := revision.ParseScope(text)
	if err != nil {
		return scope, &codedError{exitUsage, err}
	}
	return scope, nil
}

// applyCommand returns the command that applies a file to a scope.
func applyCommand(options *controlOptions) *cobra.Command {
	var change changeOptions
	var scope string
	var base int64
	command := &cobra.Command{Use: "apply FILE", Short: "Make a file a scope's configuration", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request, err := newApplyRequest(args[0], cmd.InOrStdin(), scope, change)
			if err != nil {
				return err
			}
			return submit(cmd, options, request, change.wait, base)
		}}
	change.addFlags(command)
	command.Flags().StringVar(&scope, "scope", "", "the proxies that it is for (needed)")
	command.Flags().Int64Var(&base, "base", -1, "the scope's revision that it was made from; by default the newest")
	return command
}

// newApplyRequest builds the request to apply the file at path, without its base revision.
func newApplyRequest(path string, input io.Reader, scope string, change changeOptions) (
	request controlapi.ApplyRequest, err error) {
	if err := change.validate(); err != nil {
		return request, err
	}
	if request.Scope, err = parseScope(scope); err != nil {
		return request, err
	}
	if request.Document, err = readDocument(path, input); err != nil {
		return request, err
	}
	request.ID = controlclient.NewID()
	request.Author, request.Reason, request.AtOnce = change.author, change.reason, change.atOnce
	return request, nil
}

// rollbackCommand returns the command that restores a revision's document.
func rollbackCommand(options *controlOptions) *cobra.Command {
	var change changeOptions
	command := &cobra.Command{Use: "rollback REVISION", Short: "Bring back a revision's document as a new revision of its scope",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil || number == 0 {
				return usageError("%q is not a revision number", args[0])
			}
			if err := change.validate(); err != nil {
				return err
			}
			return rollback(cmd, options, revision.Number(number), change)
		}}
	change.addFlags(command)
	return command
}

// rollback looks up the revision's scope in the history and submits a rollback based on the scope's newest revision.
func rollback(cmd *cobra.Command, options *controlOptions, number revision.Number, change changeOptions) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), options.timeout)
	defer cancel()
	history, err := client.History(ctx, nil, 0)
	if err != nil {
		return withNoQuorumCode(err)
	}
	for _, entry := range history.Revisions {
		if entry.Number == number {
			request := controlapi.ApplyRequest{ID: controlclient.NewID(), Scope: entry.Scope, Author: change.author,
				Reason: change.reason, AtOnce: change.atOnce, RollbackOf: number}
			return submit(cmd, options, request, change.wait, -1)
		}
	}
	return usageError("revision %d is not in the history", number)
}

// submit sends a change and, with wait, waits until it is in force. A base below 0 means the scope's newest revision.
func submit(cmd *cobra.Command, options *controlOptions, request controlapi.ApplyRequest, wait bool, base int64) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), options.timeout)
	defer cancel()
	if base < 0 {
		newest, err := client.ShowScope(ctx, request.Scope)
		if err != nil {
			return withNoQuorumCode(err)
		}
		base = int64(newest.Number)
	}
	request.Base = revision.Number(base)
	accepted, err := client.Apply(ctx, request)
	if err != nil {
		printConflict(cmd.ErrOrStderr(), err)
		return withNoQuorumCode(err)
	}
	if err := printApplied(cmd.OutOrStdout(), options.json, accepted, request.Base); err != nil || !wait {
		return err
	}
	return awaitInForce(ctx, cmd.ErrOrStderr(), client, accepted.Number)
}

// withNoQuorumCode gives exitNoQuorum to an error that has no exit code and was not returned by a replica.
func withNoQuorumCode(err error) error {
	var apiErr *controlapi.Error
	var coded *codedError
	if errors.As(err, &apiErr) || errors.As(err, &coded) {
		return err
	}
	return &codedError{exitNoQuorum, fmt.Errorf("no replica answers: %w", err)}
}

// awaitInForce waits until a revision is in force at all connected proxies in its scope. It returns an error when the
// revision is held or the context ends first.
func awaitInForce(ctx context.Context, progress io.Writer, client *controlclient.Client, number revision.Number) error {
	line := newProgressLine(progress)
	defer line.end()
	var last controlapi.StatusResponse
	for {
		status, err := client.Status(ctx, number, false)
		if err == nil {
			last = status
			line.show("revision %d in force at %d of %d proxies", number, status.Summary.InForce, status.Summary.Targeted)
			if requested := status.Requested; requested != nil && requested.HeldBy != "" {
				return &codedError{exitRefused, heldError(number, requested)}
			}
			if status.Requested != nil && len(status.Summary.Lagging) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return notInForceError(number, last)
		case <-time.After(statusPollInterval):
		}
	}
}

// heldError returns the error for a held revision, which names the proxy that refused it.
func heldError(number revision.Number, held *control.Entry) error {
	return fmt.Errorf("revision %d is held: proxy %s refused it: %s", number, held.HeldBy, held.HeldReason)
}

// notInForceError returns the error of a wait that timed out. It names the first few proxies that lack the revision.
func notInForceError(number revision.Number, status controlapi.StatusResponse) error {
	const maxNamed = 5
	text := fmt.Sprintf("revision %d is accepted, but not in force everywhere:", number)
	if status.Requested == nil {
		text += " its status could not be read"
	}
	for i, lag := range status.Summary.Lagging {
		if i == maxNamed {
			text += fmt.Sprintf(" and %d more", len(status.Summary.Lagging)-maxNamed)
			break
		}
		text += fmt.Sprintf(" %s (at %d)", lag.Proxy, lag.InForce)
	}
	return &codedError{exitNotInForce, errors.New(text)}
}

// diffCommand returns the command that compares a file with a scope's newest document.
func diffCommand(options *controlOptions) *cobra.Command {
	var scope string
	command := &cobra.Command{Use: "diff FILE", Short: "Show what a file would change in a scope", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			parsed, err := parseScope(scope)
			if err != nil {
				return err
			}
			document, err := readDocument(args[0], cmd.InOrStdin())
			if err != nil {
				return err
			}
			return runRead(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.DiffResponse, error) {
				return client.Diff(ctx, controlapi.DiffRequest{Scope: parsed, Document: document})
			}, printDiff)
		}}
	command.Flags().StringVar(&scope, "scope", "", "the scope that it is compared with (needed)")
	return command
}

// historyCommand returns the command that lists revisions.
func historyCommand(options *controlOptions) *cobra.Command {
	var scope string
	var limit int
	command := &cobra.Command{Use: "history", Short: "List the newest revisions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var scopeFilter *revision.Scope
			if scope != "" {
				parsed, err := parseScope(scope)
				if err != nil {
					return err
				}
				scopeFilter = &parsed
			}
			return runRead(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.HistoryResponse, error) {
				return client.History(ctx, scopeFilter, limit)
			}, printHistory)
		}}
	command.Flags().StringVar(&scope, "scope", "", "only this scope's")
	command.Flags().IntVar(&limit, "limit", 20, "at most so many, 0: all that are kept")
	return command
}

// showCommand returns the command that shows a document.
func showCommand(options *controlOptions) *cobra.Command {
	var scope string
	var proxy revision.Identity
	var origins bool
	command := &cobra.Command{Use: "show", Short: "Show a scope's document, or a proxy's merged one", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (scope == "") == (proxy.Proxy == "") {
				return usageError("exactly one of --scope and --proxy is required")
			}
			if proxy.Proxy != "" {
				return runRead(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.ShowResponse, error) {
					return client.ShowProxy(ctx, proxy)
				}, func(out io.Writer, response controlapi.ShowResponse) error { return printShow(out, response, origins) })
			}
			parsed, err := parseScope(scope)
			if err != nil {
				return err
			}
			return runRead(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.ShowResponse, error) {
				return client.ShowScope(ctx, parsed)
			}, func(out io.Writer, response controlapi.ShowResponse) error { return printShow(out, response, false) })
		}}
	flags := command.Flags()
	flags.StringVar(&scope, "scope", "", "the scope")
	flags.StringVar(&proxy.Proxy, "proxy", "", "the proxy")
	flags.StringVar(&proxy.Region, "region", "", "the proxy's region")
	flags.StringVar(&proxy.Zone, "zone", "", "the proxy's zone")
	flags.StringVar(&proxy.Service, "service", "", "the proxy's service")
	flags.BoolVar(&origins, "origins", false, "with --proxy: say for each value which scope and revision it comes from")
	return command
}

// statusCommand returns the command that shows the state of the fleet.
func statusCommand(options *controlOptions) *cobra.Command {
	var proxies bool
	command := &cobra.Command{Use: "status", Short: "Show how far the fleet is and how the replicas stand", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRead(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.StatusResponse, error) {
				return client.Status(ctx, 0, proxies)
			}, printStatus)
		}}
	command.Flags().BoolVar(&proxies, "proxies", false, "list every connected proxy")
	return command
}

// runRead sends a read with the given function and prints the response, as text or as JSON.
func runRead[T any](cmd *cobra.Command, options *controlOptions, read func(context.Context, *controlclient.Client) (T, error),
	print func(io.Writer, T) error) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), options.timeout)
	defer cancel()
	response, err := read(ctx, client)
	if err != nil {
		return withNoQuorumCode(err)
	}
	if options.json {
		return printJSON(cmd.OutOrStdout(), response)
	}
	return print(cmd.OutOrStdout(), response)
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
