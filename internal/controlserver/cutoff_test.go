package controlserver

import (
	"context"
	"testing"

	"sandpass/internal/faultnet"
)

func TestProxiesAreCountedAgainAfterRegionCut(t *testing.T) {
	c := startCluster(t, 9, "")
	client := newClient(t, c.addresses()...)
	c.awaitLeader(client)
	fleet := c.startProxies(24)
	defer fleet.stop()
	await(t, electionTimeout, "all proxies watch", allConnected(client, len(fleet.proxies)))
	c.cutRegion("ap", faultnet.Conditions{Blocked: true})
	await(t, electionTimeout, "those of the region are taken for gone", func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return "all are counted", err == nil && status.Summary.Targeted < len(fleet.proxies)
	})
	c.cutRegion("ap", faultnet.Conditions{})
	await(t, electionTimeout, "all are counted again", allConnected(client, len(fleet.proxies)))
}
