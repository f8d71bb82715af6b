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
	waitPause    = 100 * time.Millisecond // between two looks at who is missing
	documentMost = revision.MaxDocumentBytes + 1
)

// change is what apply and rollback have in common.
type change struct {
	author, reason string
	atOnce, wait   bool
}

func (c *change) flags(command *cobra.Command) {
	command.Flags().StringVar(&c.author, "author", os.Getenv("USER"), "who asks for it")
	command.Flags().StringVar(&c.reason, "reason", "", "why, in one line (needed)")
	command.Flags().BoolVar(&c.atOnce, "at-once", false, "send it to all proxies without a trial on few, for emergencies")
	command.Flags().BoolVar(&c.wait, "wait", false, "end when it is in force at all connected proxies that it concerns")
}

func (c *change) check() error {
	if c.reason == "" {
		return usageError("--reason is missing")
	}
	if c.author == "" {
		return usageError("--author is missing, and USER is not set")
	}
	return nil
}

// readDocument reads a file, - for the standard input, in canonical form.
func readDocument(path string, input io.Reader) (revision.Document, error) {
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, &codedError{exitUsage, err}
		}
		defer file.Close()
		input = file
	}
	text, err := io.ReadAll(io.LimitReader(input, documentMost))
	if err != nil {
		return nil, err
	}
	document, err := revision.Canonicalize(text)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return document, nil
}

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

func applyCommand(options *controlOptions) *cobra.Command {
	var made change
	var scope string
	var base int64
	command := &cobra.Command{Use: "apply FILE", Short: "Make a file a scope's configuration", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request, err := applyRequest(args[0], cmd.InOrStdin(), scope, made)
			if err != nil {
				return err
			}
			return submit(cmd, options, request, made.wait, base)
		}}
	made.flags(command)
	command.Flags().StringVar(&scope, "scope", "", "the proxies that it is for (needed)")
	command.Flags().Int64Var(&base, "base", -1, "the scope's revision that it was made from; by default the newest")
	return command
}

func applyRequest(path string, input io.Reader, scope string, made change) (request controlapi.ApplyRequest, err error) {
	if err := made.check(); err != nil {
		return request, err
	}
	if request.Scope, err = parseScope(scope); err != nil {
		return request, err
	}
	if request.Document, err = readDocument(path, input); err != nil {
		return request, err
	}
	request.ID = controlclient.NewID()
	request.Author, request.Reason, request.AtOnce = made.author, made.reason, made.atOnce
	return request, nil
}

func rollbackCommand(options *controlOptions) *cobra.Command {
	var made change
	command := &cobra.Command{Use: "rollback REVISION", Short: "Bring back a revision's document as a new revision of its scope",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil || number == 0 {
				return usageError("%q is not the number of a revision", args[0])
			}
			if err := made.check(); err != nil {
				return err
			}
			return rollback(cmd, options, revision.Number(number), made)
		}}
	made.flags(command)
	return command
}

// rollback finds the revision's scope and submits it anew on top of the scope's newest revision.
func rollback(cmd *cobra.Command, options *controlOptions, number revision.Number, made change) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), options.timeout)
	defer cancel()
	history, err := client.History(ctx, nil, 0)
	if err != nil {
		return outOfReach(err)
	}
	for _, entry := range history.Revisions {
		if entry.Number == number {
			request := controlapi.ApplyRequest{ID: controlclient.NewID(), Scope: entry.Scope, Author: made.author,
				Reason: made.reason, AtOnce: made.atOnce, RollbackOf: number}
			return submit(cmd, options, request, made.wait, -1)
		}
	}
	return usageError("revision %d is not in the history", number)
}

// submit asks for a change and waits until it is in force, if wanted. A base below 0 is the scope's newest revision.
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
			return outOfReach(err)
		}
		base = int64(newest.Number)
	}
	request.Base = revision.Number(base)
	accepted, err := client.Apply(ctx, request)
	if err != nil {
		printConflict(cmd.ErrOrStderr(), err)
		return outOfReach(err)
	}
	if err := printApplied(cmd.OutOrStdout(), options.json, accepted, request.Base); err != nil || !wait {
		return err
	}
	return awaitInForce(ctx, cmd.ErrOrStderr(), client, accepted.Number)
}

// outOfReach gives the exit code for "no replica can be reached" to errors that no replica gave.
func outOfReach(err error) error {
	var answered *controlapi.Error
	var coded *codedError
	if errors.As(err, &answered) || errors.As(err, &coded) {
		return err
	}
	return &codedError{exitNoQuorum, fmt.Errorf("no replica answers: %w", err)}
}

// awaitInForce ends when a revision is in force at all connected proxies that it concerns, when it is held, or when the
// context ends.
func awaitInForce(ctx context.Context, progress io.Writer, client *controlclient.Client, number revision.Number) error {
	line := newProgressLine(progress)
	defer line.end()
	var last controlapi.StatusResponse
	for {
		status, err := client.Status(ctx, number, false)
		if err == nil {
			last = status
			line.show("revision %d in force at %d of %d proxies", number, status.Summary.InForce, status.Summary.Targeted)
			if asked := status.Requested; asked != nil && asked.HeldBy != "" {
				return &codedError{exitRefused, heldError(number, asked)}
			}
			if status.Requested != nil && len(status.Summary.Lagging) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return waitedInVain(number, last)
		case <-time.After(waitPause):
		}
	}
}

// heldError says who refused a revision.
func heldError(number revision.Number, held *control.Entry) error {
	return fmt.Errorf("revision %d is held: proxy %s refuses it: %s", number, held.HeldBy, held.HeldReason)
}

// waitedInVain says who is missing.
func waitedInVain(number revision.Number, status controlapi.StatusResponse) error {
	const named = 5
	text := fmt.Sprintf("revision %d is accepted, but not in force everywhere:", number)
	if status.Requested == nil {
		text += " its state could not be read"
	}
	for i, lag := range status.Summary.Lagging {
		if i == named {
			text += fmt.Sprintf(" and %d more", len(status.Summary.Lagging)-named)
			break
		}
		text += fmt.Sprintf(" %s (at %d)", lag.Proxy, lag.InForce)
	}
	return &codedError{exitWaiting, errors.New(text)}
}

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
			return ask(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.DiffResponse, error) {
				return client.Diff(ctx, controlapi.DiffRequest{Scope: parsed, Document: document})
			}, printDiff)
		}}
	command.Flags().StringVar(&scope, "scope", "", "the scope that it is compared with (needed)")
	return command
}

func historyCommand(options *controlOptions) *cobra.Command {
	var scope string
	var limit int
	command := &cobra.Command{Use: "history", Short: "List the newest revisions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var wanted *revision.Scope
			if scope != "" {
				parsed, err := parseScope(scope)
				if err != nil {
					return err
				}
				wanted = &parsed
			}
			return ask(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.HistoryResponse, error) {
				return client.History(ctx, wanted, limit)
			}, printHistory)
		}}
	command.Flags().StringVar(&scope, "scope", "", "only this scope's")
	command.Flags().IntVar(&limit, "limit", 20, "at most so many, 0: all that are kept")
	return command
}

func showCommand(options *controlOptions) *cobra.Command {
	var scope string
	var proxy revision.Identity
	var origins bool
	command := &cobra.Command{Use: "show", Short: "Show a scope's document, or a proxy's merged one", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (scope == "") == (proxy.Proxy == "") {
				return usageError("give either --scope or --proxy")
			}
			if proxy.Proxy != "" {
				return ask(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.ShowResponse, error) {
					return client.ShowProxy(ctx, proxy)
				}, func(out io.Writer, response controlapi.ShowResponse) error { return printShow(out, response, origins) })
			}
			parsed, err := parseScope(scope)
			if err != nil {
				return err
			}
			return ask(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.ShowResponse, error) {
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

func statusCommand(options *controlOptions) *cobra.Command {
	var proxies bool
	command := &cobra.Command{Use: "status", Short: "Show how far the fleet is and how the replicas stand", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd, options, func(ctx context.Context, client *controlclient.Client) (controlapi.StatusResponse, error) {
				return client.Status(ctx, 0, proxies)
			}, printStatus)
		}}
	command.Flags().BoolVar(&proxies, "proxies", false, "list every connected proxy")
	return command
}

// ask reads something and prints it, as a table or as JSON.
func ask[T any](cmd *cobra.Command, options *controlOptions, question func(context.Context, *controlclient.Client) (T, error),
	print func(io.Writer, T) error) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), options.timeout)
	defer cancel()
	response, err := question(ctx, client)
	if err != nil {
		return outOfReach(err)
	}
	if options.json {
		return printJSON(cmd.OutOrStdout(), response)
	}
	return print(cmd.OutOrStdout(), response)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
