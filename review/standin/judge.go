// This file has what the cases share: the start of a deployment, what is recorded of a command, and the verdict.

package main

import (
	"fmt"
	"sync/atomic"
)

// startDeployment starts discovery and a proxy for these backends. The proxy is never nil.
func startDeployment(s setup, endpoints []endpoint, memoryMB int, settings map[string]any) (*proxyProcess, error) {
	d, err := startDiscovery(endpoints)
	if err != nil {
		return &proxyProcess{}, err
	}
	return startProxy(s.root, s.folder, configuration{Name: "n0", Discovery: d.address, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}, Known: d.whole(), Settings: settings})
}

// report records a command's outcome and counts it if the proxy had taken it: if its last byte was written.
func report(s setup, id string, o outcome, sent, lost *atomic.Int64) {
	s.record.add("client %s: written %t, status %d, error %v", id, !o.written.IsZero(), o.status, o.err)
	if o.written.IsZero() {
		return
	}
	sent.Add(1)
	if o.status == 0 {
		lost.Add(1)
	}
}

// judge returns the verdict on the commands that the proxy had taken.
func judge(p *proxyProcess, sent, lost int64) verdict {
	switch {
	case !p.running():
		return verdict(fmt.Sprintf("the proxy ended by itself (%s); %d of %d commands taken got no answer", p.state, lost, sent))
	case lost > 0:
		return verdict(fmt.Sprintf("%d of %d commands taken got no answer", lost, sent))
	}
	return ""
}
