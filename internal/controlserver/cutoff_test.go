package controlserver

import (
	"context"
	"testing"

	"sandpass/internal/faultnet"
)

func TestProxiesOfARegionThatWasCutOffAreCountedAgain(t *testing.T) {
	c := startCluster(t, 9, "")
	client := operatorOf(t, c.addresses()...)
	c.awaitLeader(client)
	fleet := c.startProxies(24)
	defer fleet.stop()
	await(t, electTime, "all proxies watch", allWatch(client, len(fleet.proxies)))
	c.cutRegion("ap", faultnet.Conditions{Blocked: true})
	await(t, electTime, "those of the region are taken for gone", func() (string, bool) {
		status, err := client.Status(context.Background(), 0, false)
		return "all are counted", err == nil && status.Summary.Targeted < len(fleet.proxies)
	})
	c.cutRegion("ap", faultnet.Conditions{})
	await(t, electTime, "all are counted again", allWatch(client, len(fleet.proxies)))
}
