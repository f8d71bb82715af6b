package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a message, which are not visible at the socket.
const datagramHeaderBytes = 28

// SiblingOptions are the parameters of the measurement of messages between siblings. All proxies have processes of their own
// and receive calls.
type SiblingOptions struct {
	Siblings      []int     // numbers of siblings, ascending, each with calls at FixedRate
	Rates         []float64 // calls per second to each of FixedSiblings proxies, ascending
	FixedSiblings int
	FixedRate     float64 // calls per second to each proxy while the number of siblings varies
	Seconds       float64 // duration of each measurement
}

// SiblingSlopes measures how the messages between siblings grow with the call rate and with the number of siblings.
func SiblingSlopes(ctx context.Context, o SiblingOptions, programs Programs, progress func(string)) ([]Series, error) {
	byCalls := seriesBuilder{variable: ByCallRate, setting: fmt.Sprintf("%d siblings", o.FixedSiblings)}
	for _, rate := range o.Rates {
		figures, err := siblingFigures(ctx, o.FixedSiblings, rate, o.Seconds, programs)
		if err != nil {
			return nil, fmt.Errorf("%.0f calls per second: %w", rate, err)
		}
		byCalls.add(rate, figures)
		progress(fmt.Sprintf("%d siblings, %.0f calls/s", o.FixedSiblings, rate))
	}
	bySiblings := seriesBuilder{variable: BySiblings, setting: fmt.Sprintf("%.0f calls/s", o.FixedRate)}
	for _, n := range o.Siblings {
		figures, err := siblingFigures(ctx, n, o.FixedRate, o.Seconds, programs)
		if err != nil {
			return nil, fmt.Errorf("%d siblings: %w", n, err)
		}
		bySiblings.add(float64(n), figures)
		progress(fmt.Sprintf("%d siblings, %.0f calls/s", n, o.FixedRate))
	}
	series, err := byCalls.fit(o.Rates[len(o.Rates)-1])
	if err != nil {
		return nil, err
	}
	more, err := bySiblings.fit(float64(o.Siblings[len(o.Siblings)-1]))
	return append(series, more...), err
}

// siblingFigures measures n siblings under calls, once with messages, which are counted, and once without.
func siblingFigures(ctx context.Context, n int, rate, seconds float64, programs Programs) ([]figure, error) {
	messages, with, err := siblingRun(ctx, n, rate, seconds, true, programs)
	if err != nil {
		return nil, err
	}
	_, without, err := siblingRun(ctx, n, rate, seconds, false, programs)
	if err != nil {
		return nil, err
	}
	per := func(f func(meter.Traffic) int64) float64 { return mean(messages, f) / seconds }
	return []figure{
		{roleProxy, "siblings' messages, in", "messages/s", per(messagesIn)},
		{roleProxy, "siblings' messages, out", "messages/s", per(messagesOut)},
		{roleProxy, "siblings' messages, in", "bytes/s", per(bytesIn)},
		{roleProxy, "siblings' messages, out", "bytes/s", per(bytesOut)},
		{roleProxy, "siblings' messages, in, with IP and UDP headers", "bytes/s",
			per(bytesIn) + datagramHeaderBytes*per(messagesIn)},
		{roleProxy, "siblings' messages, busiest proxy, both ways", "bytes/s", busiest(messages) / seconds},
		{roleProxy, "processor time with calls and messages", "part of a core", with},
		{roleProxy, "processor time with calls, no messages", "part of a core", without},
		{roleProxy, "processor time of siblings' messages", "part of a core", with - without},
	}, nil
}

// busiest returns the largest number of bytes that one proxy has read and written.
func busiest(traffic []meter.Traffic) (most float64) {
	for _, t := range traffic {
		most = max(most, float64(t.BytesIn+t.BytesOut))
	}
	return most
}

// siblingRun returns the traffic of each proxy with its siblings, and the mean share of a core that a proxy used.
func siblingRun(ctx context.Context, n int, rate, seconds float64, peers bool,
	programs Programs) ([]meter.Traffic, float64, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth, sizes.FrontShare = n, 1, 1, 1
	plan := Plan{Fleet: fleet.Generate(sizes), RealProxies: n, ListScope: ServiceList, Peers: peers, CountedProxies: n}
	d, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, 0, err
	}
	defer d.Close()
	if err := d.startBackends(); err != nil {
		return nil, 0, err
	}
	all := allProxies(plan.Fleet)
	d.sendCalls(ctx, all, rate, 1) // opens the connections and lets the proxies learn latencies
	before, used, started := d.siblingLinks.traffic(), d.usage(), time.Now()
	succeeded, failed := d.sendCalls(ctx, all, rate, seconds)
	after, messages := d.usage(), d.siblingLinks.traffic()
	if failed*100 > succeeded {
		return nil, 0, fmt.Errorf("%d calls failed, %d succeeded", failed, succeeded)
	}
	for i := range messages {
		messages[i] = messages[i].Minus(before[i])
	}
	return messages, after.cpuSince(used, roleProxy, time.Since(started).Seconds()), ctx.Err()
}
