package controlserver

import (
	"context"
	"testing"

	"sandpass/internal/faultnet"
)

// The leader counts the proxies of a disconnected region as gone. They must be counted again once the region is
// reconnected, although their watches stayed open and they sent no new reports.
func TestProxiesAreCountedAgainAfterRegionCut(t *testing.T) {
	c := startCluster(t, 9, "")
	client := newClient(t, c.addresses()...)
	c.awaitLeader(client)
	fleet := c.startProxies(24)
	defer fleet.stop()
	await(t, electionTimeout, "all proxies watch", allConnected(client, len(fleet.proxies)))
	c.cutRegion("ap", faultnet.Conditions{Blocked: true})
	await(t, electionTimeout, "proxies of the region are counted as gone", func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return "all proxies are counted", err == nil && status.Summary.Targeted < len(fleet.proxies)
	})
	c.cutRegion("ap", faultnet.Conditions{})
	await(t, electionTimeout, "all proxies are counted again", allConnected(client, len(fleet.proxies)))
}
