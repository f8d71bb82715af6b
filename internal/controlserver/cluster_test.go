package controlserver

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/revision"
)

const (
	electionTimeout    = 10 * time.Second // for a cluster to elect a leader
	propagationTimeout = 3 * time.Second  // for a change to reach all proxies
	pollInterval       = 20 * time.Millisecond
)

// await polls a condition until it holds and returns the time that this took. It fails the test after the timeout, with
// the reason that the condition returned last.
func await(t *testing.T, timeout time.Duration, what string, condition func() (string, bool)) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		why, ok := condition()
		took := time.Since(start)
		if ok {
			return took
		}
		if took > timeout {
			t.Fatalf("%s: not within %v: %s", what, timeout, why)
		}
		time.Sleep(pollInterval)
	}
}

// newClient returns an operator's client of the replicas at the given addresses.
func newClient(t *testing.T, replicas ...string) *controlclient.Client {
	t.Helper()
	client, err := controlclient.New(replicas)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// awaitLeader waits until the replicas have a leader and returns its index in the cluster.
func (c *cluster) awaitLeader(client *controlclient.Client) int {
	c.t.Helper()
	leader := -1
	await(c.t, electionTimeout, "a leader", func() (string, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := client.Status(ctx, 0, false)
		if err != nil {
			return err.Error(), false
		}
		for i, replica := range c.replicas {
			if replica.name == status.Leader {
				leader = i
			}
		}
		return "the status names no leader", leader >= 0
	})
	return leader
}

// testDocument returns a valid configuration that differs for each n.
func testDocument(n int) revision.Document {
	return revision.Document(fmt.Sprintf(`{"settings":{"overage_utility":0.%06d}}`, n+1))
}

// apply changes a scope on top of its newest revision and returns the new revision's number.
func apply(t *testing.T, client *controlclient.Client, scope revision.Scope, document revision.Document) revision.Number {
	t.Helper()
	number, err := tryApply(client, scope, document, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// tryApply is like apply, but returns errors.
func tryApply(client *controlclient.Client, scope revision.Scope, document revision.Document, timeout time.Duration) (
	revision.Number, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	current, err := client.ShowScope(ctx, scope)
	if err != nil {
		return 0, err
	}
	response, err := client.Apply(ctx, controlapi.ApplyRequest{Scope: scope, Base: current.Number, Document: document,
		Author: "tester", Reason: "a test"})
	return response.Number, err
}

// allInForce returns a condition for await: all proxies have the configuration in force that the control plane has for
// them.
func allInForce(client *controlclient.Client, proxies []*simProxy) func() (string, bool) {
	return func() (string, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		reasons := make(chan string, len(proxies))
		for _, proxy := range proxies {
			go func() { reasons <- whyBehind(ctx, client, proxy) }()
		}
		why := ""
		for range proxies {
			if reason := <-reasons; reason != "" {
				why = reason
			}
		}
		return why, why == ""
	}
}

// whyBehind returns why a proxy is not up to date; empty if it is.
func whyBehind(ctx context.Context, client *controlclient.Client, proxy *simProxy) string {
	want, err := client.ShowProxy(ctx, proxy.identity)
	if err != nil {
		return err.Error()
	}
	if number, checksum := proxy.state(); checksum != want.Checksum {
		return fmt.Sprintf("%s has revision %d, want %d", proxy.identity.Proxy, number, want.Number)
	}
	return ""
}

// errorKind returns the kind of an error that a replica returned; empty for other errors.
func errorKind(err error) controlapi.Kind {
	var apiErr *controlapi.Error
	if errors.As(err, &apiErr) {
		return apiErr.Kind
	}
	return ""
}

// Changes must come into force at all proxies while messages between the regions are delayed, and a zone's change only at
// the proxies of that zone.
func TestAppliedChangesReachAllProxies(t *testing.T) {
	c := startCluster(t, 1, "")
	c.delayRegions(0.035)
	client := newClient(t, c.addresses()...)
	c.awaitLeader(client)
	fleet := c.startProxies(24)
	defer fleet.stop()
	await(t, electionTimeout, "all proxies watch", func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return fmt.Sprint(status.Summary.Targeted, err), status.Summary.Targeted == len(fleet.proxies)
	})
	for n := range 5 {
		start := time.Now()
		number := apply(t, client, revision.FleetScope, testDocument(n))
		acceptedAfter := time.Since(start)
		await(t, propagationTimeout, "in force", func() (string, bool) {
			for _, proxy := range fleet.proxies {
				if at, _ := proxy.state(); at < number {
					return fmt.Sprintf("%s is at revision %d", proxy.identity.Proxy, at), false
				}
			}
			return "", true
		})
		t.Logf("revision %d accepted after %v, in force after %v", number, acceptedAfter.Round(time.Millisecond),
			time.Since(start).Round(time.Millisecond))
	}
	zone := apply(t, client, revision.Scope{Kind: revision.ZoneKind, Name: "us-1"}, revision.Document(`{"settings":{"tick_ms":7}}`))
	await(t, propagationTimeout, "the zone's configuration", allInForce(client, fleet.proxies))
	for _, proxy := range fleet.proxies {
		if number, _ := proxy.state(); (proxy.identity.Zone == "us-1") != (number == zone) {
			t.Errorf("%s in zone %s is at revision %d", proxy.identity.Proxy, proxy.identity.Zone, number)
		}
	}
	if faults := fleet.violations(); faults != "" {
		t.Error(faults)
	}
}
