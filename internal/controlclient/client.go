// Package controlclient is the operators' HTTP client of a fleet's control replicas. It tries the replicas in turn and
// repeats a change only with the same ID, so that the change is made at most once.
package controlclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

const (
	attemptTimeout = 6 * time.Second // per replica; longer than a replica waits for a quorum
	retryDelay     = 200 * time.Millisecond
)

// Client sends requests to a fleet's replicas. It is safe for concurrent use.
type Client struct {
	replicas   []string
	http       *http.Client
	AllowStale bool // reads accept one replica's local state, without a quorum
}

// New returns a client of the replicas at the given host:port addresses, which are tried in this order.
func New(replicas []string) (*Client, error) {
	var addresses []string
	for _, replica := range replicas {
		if replica = strings.TrimSpace(replica); replica != "" {
			addresses = append(addresses, replica)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("no replicas are named: give --replicas or set SANDPASS_CONTROL")
	}
	return &Client{replicas: addresses, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}, nil
}

// NewID returns a random ID for a change.
func NewID() string {
	var id [16]byte
	rand.Read(id[:]) // documented never to fail
	return hex.EncodeToString(id[:])
}

// Apply requests a new revision until the outcome is known or the context ends. A request without an ID gets a random
// one. An error that a replica returned is a *controlapi.Error.
func (c *Client) Apply(ctx context.Context, request controlapi.ApplyRequest) (response controlapi.ApplyResponse, err error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	err = c.do(ctx, http.MethodPost, controlapi.ApplyPath, nil, request, &response)
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		err = &controlapi.Error{Kind: controlapi.KindUnknown, ID: request.ID,
			Message: "it is unknown whether the change was accepted: " + oneLine(unanswered.Error())}
	}
	return response, err
}

// History returns the newest revisions of one scope, or of all scopes if scope is nil.
func (c *Client) History(ctx context.Context, scope *revision.Scope, limit int) (response controlapi.HistoryResponse, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if scope != nil {
		query.Set("scope", scope.String())
	}
	err = c.do(ctx, http.MethodGet, controlapi.HistoryPath, query, nil, &response)
	return response, err
}

// ShowScope returns a scope's newest document.
func (c *Client) ShowScope(ctx context.Context, scope revision.Scope) (response controlapi.ShowResponse, err error) {
	query := url.Values{"scope": {scope.String()}}
	err = c.do(ctx, http.MethodGet, controlapi.ShowPath, query, nil, &response)
	return response, err
}

// ShowProxy returns the document merged for a proxy and the origin of each value.
func (c *Client) ShowProxy(ctx context.Context, proxy revision.Identity) (response controlapi.ShowResponse, err error) {
	query := url.Values{"proxy": {proxy.Proxy}, "region": {proxy.Region}, "zone": {proxy.Zone}, "service": {proxy.Service}}
	err = c.do(ctx, http.MethodGet, controlapi.ShowPath, query, nil, &response)
	return response, err
}

// Diff returns what a document would change in its scope.
func (c *Client) Diff(ctx context.Context, request controlapi.DiffRequest) (response controlapi.DiffResponse, err error) {
	err = c.do(ctx, http.MethodPost, controlapi.DiffPath, nil, request, &response)
	return response, err
}

// Status returns the state of the fleet. With a revision number the summary lists the proxies that lack that revision.
// With proxies the response lists every proxy.
func (c *Client) Status(ctx context.Context, number revision.Number, proxies bool) (
	response controlapi.StatusResponse, err error) {
	query := url.Values{}
	if number != 0 {
		query.Set("number", strconv.FormatUint(uint64(number), 10))
	}
	if proxies {
		query.Set("proxies", "true")
	}
	err = c.do(ctx, http.MethodGet, controlapi.StatusPath, query, nil, &response)
	return response, err
}

// do tries the replicas in turn until one gives a final result or the context ends. It returns the most specific
// error of all attempts.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, request, response any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return err
		}
	}
	if c.AllowStale && method == http.MethodGet {
		query.Set(controlapi.StaleParameter, "true")
	}
	var lastErr error
	for {
		for _, replica := range c.replicas {
			target := url.URL{Scheme: "http", Host: replica, Path: path, RawQuery: query.Encode()}
			err := c.attempt(ctx, method, target.String(), body, response)
			if err == nil || !isRetryable(err) {
				return err
			}
			lastErr = moreSpecific(lastErr, err)
			if ctx.Err() != nil {
				return lastErr
			}
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(retryDelay):
		}
	}
}

// unansweredError is the error of a request that may have reached a replica but got no response.
type unansweredError struct {
	modifying bool // the request may have changed the configuration
	err       error
}

func (e *unansweredError) Error() string { return e.err.Error() }
func (e *unansweredError) Unwrap() error { return e.err }

// wrapUnanswered wraps an error in an unansweredError, unless the connection could not be made at all.
func wrapUnanswered(method string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return err
	}
	return &unansweredError{method == http.MethodPost, err}
}

// oneLine replaces line breaks and runs of white space by single spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// isRetryable reports whether another replica, or the same one later, may give a final result. A change whose outcome is
// unknown can also be repeated, because its ID makes it idempotent.
func isRetryable(err error) bool {
	var apiErr *controlapi.Error
	return !errors.As(err, &apiErr) || apiErr.Kind == controlapi.KindNoQuorum || apiErr.Kind == controlapi.KindUnknown
}

// moreSpecific chooses which of two errors to report, the later one if both are equally specific.
func moreSpecific(previous, latest error) error {
	if previous != nil && specificity(previous) > specificity(latest) {
		return previous
	}
	return latest
}

// specificity ranks errors by how much they tell the operator. An error by which a change may have been made ranks
// highest.
func specificity(err error) int {
	var apiErr *controlapi.Error
	var unanswered *unansweredError
	switch {
	case errors.As(err, &apiErr) && apiErr.Kind == controlapi.KindUnknown:
		return 3
	case errors.As(err, &unanswered) && unanswered.modifying:
		return 2
	case errors.As(err, &apiErr):
		return 1
	}
	return 0
}

// attempt sends the request to one replica.
func (c *Client) attempt(ctx context.Context, method, target string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return wrapUnanswered(method, err)
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, controlapi.MaxBodyBytes))
	if err != nil {
		return wrapUnanswered(method, err)
	}
	if httpResponse.StatusCode != http.StatusOK {
		apiErr := &controlapi.Error{}
		if json.Unmarshal(data, apiErr) == nil && apiErr.Kind != "" {
			return apiErr
		}
		return fmt.Errorf("%s answered %s", target, httpResponse.Status)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("%s: malformed response: %w", target, err)
	}
	return nil
}
