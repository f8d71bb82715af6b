// Package controlclient asks the control replicas of a fleet on an operator's behalf. It tries the replicas in turn and
// repeats a change only with the same ID, so that it is made once at most.
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
	attemptTime = 6 * time.Second // for one replica to answer; longer than it waits for a quorum
	retryPause  = 200 * time.Millisecond
)

// Client asks a fleet's replicas. It may be used by several goroutines.
type Client struct {
	replicas   []string
	http       *http.Client
	AllowStale bool // reads are content with what one replica knows by itself
}

// New makes a client of the replicas at the addresses, host:port each, asked in this order.
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

// NewID draws the ID of a change.
func NewID() string {
	var text [16]byte
	rand.Read(text[:]) // never fails, by its documentation
	return hex.EncodeToString(text[:])
}

// Apply asks for a new revision until the outcome is known or the context ends; an ID is drawn where there is none. An
// error is a *controlapi.Error where a replica gave it.
func (c *Client) Apply(ctx context.Context, request controlapi.ApplyRequest) (response controlapi.ApplyResponse, err error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	err = c.ask(ctx, http.MethodPost, controlapi.ApplyPath, nil, request, &response)
	var sent *unansweredError
	if errors.As(err, &sent) {
		err = &controlapi.Error{Kind: controlapi.KindUnknown, ID: request.ID,
			Message: "whether it was accepted is not known: " + oneLine(sent.Error())}
	}
	return response, err
}

// History gives the newest revisions, of one scope or of all.
func (c *Client) History(ctx context.Context, scope *revision.Scope, limit int) (response controlapi.HistoryResponse, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if scope != nil {
		query.Set("scope", scope.String())
	}
	err = c.ask(ctx, http.MethodGet, controlapi.HistoryPath, query, nil, &response)
	return response, err
}

// ShowScope gives a scope's newest document.
func (c *Client) ShowScope(ctx context.Context, scope revision.Scope) (response controlapi.ShowResponse, err error) {
	query := url.Values{"scope": {scope.String()}}
	err = c.ask(ctx, http.MethodGet, controlapi.ShowPath, query, nil, &response)
	return response, err
}

// ShowProxy gives a proxy's merged document and where each value comes from.
func (c *Client) ShowProxy(ctx context.Context, proxy revision.Identity) (response controlapi.ShowResponse, err error) {
	query := url.Values{"proxy": {proxy.Proxy}, "region": {proxy.Region}, "zone": {proxy.Zone}, "service": {proxy.Service}}
	err = c.ask(ctx, http.MethodGet, controlapi.ShowPath, query, nil, &response)
	return response, err
}

// Diff tells what a document would change in its scope.
func (c *Client) Diff(ctx context.Context, request controlapi.DiffRequest) (response controlapi.DiffResponse, err error) {
	err = c.ask(ctx, http.MethodPost, controlapi.DiffPath, nil, request, &response)
	return response, err
}

// Status tells how the fleet stands. With a number it has the proxies that lack this revision; proxies asks for all.
func (c *Client) Status(ctx context.Context, number revision.Number, proxies bool) (
	response controlapi.StatusResponse, err error) {
	query := url.Values{}
	if number != 0 {
		query.Set("number", strconv.FormatUint(uint64(number), 10))
	}
	if proxies {
		query.Set("proxies", "true")
	}
	err = c.ask(ctx, http.MethodGet, controlapi.StatusPath, query, nil, &response)
	return response, err
}

// ask goes to the replicas in turn until one knows the answer.
func (c *Client) ask(ctx context.Context, method, path string, query url.Values, request, response any) error {
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
	var last error
	for {
		for _, replica := range c.replicas {
			target := url.URL{Scheme: "http", Host: replica, Path: path, RawQuery: query.Encode()}
			err := c.attempt(ctx, method, target.String(), body, response)
			if err == nil || !worthRepeating(err) {
				return err
			}
			last = better(last, err)
			if ctx.Err() != nil {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryPause):
		}
	}
}

// unansweredError is a request that was sent to a replica which gave no answer.
type unansweredError struct {
	change bool // the request was one for a change
	cause  error
}

func (e *unansweredError) Error() string { return e.cause.Error() }
func (e *unansweredError) Unwrap() error { return e.cause }

// unanswered marks the error of a request that may have reached the replica.
func unanswered(method string, err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	return &unansweredError{method == http.MethodPost, err}
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// worthRepeating tells whether another replica, or the same one later, may know more. A change has an ID, so that it may
// be asked for again also where its outcome is not known.
func worthRepeating(err error) bool {
	var answered *controlapi.Error
	return !errors.As(err, &answered) || answered.Kind == controlapi.KindNoQuorum || answered.Kind == controlapi.KindUnknown
}

// better chooses which of two errors the operator is told, the later one where both say as much.
func better(before, now error) error {
	if before != nil && weight(before) > weight(now) {
		return before
	}
	return now
}

// weight orders errors by how much they say: that a change may have been made says most.
func weight(err error) int {
	var answered *controlapi.Error
	var sent *unansweredError
	switch {
	case errors.As(err, &answered) && answered.Kind == controlapi.KindUnknown:
		return 3
	case errors.As(err, &sent) && sent.change:
		return 2
	case errors.As(err, &answered):
		return 1
	}
	return 0
}

// attempt asks one replica.
func (c *Client) attempt(ctx context.Context, method, target string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return unanswered(method, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, controlapi.MaxBodyBytes))
	if err != nil {
		return unanswered(method, err)
	}
	if answer.StatusCode != http.StatusOK {
		refusal := &controlapi.Error{}
		if json.Unmarshal(text, refusal) == nil && refusal.Kind != "" {
			return refusal
		}
		return fmt.Errorf("%s answered %s", target, answer.Status)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("%s: the answer is malformed: %w", target, err)
	}
	return nil
}
