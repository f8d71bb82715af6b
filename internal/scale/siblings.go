package scale

import (
	"context"
	"fmt"
	"time"

	"sandpass/internal/scale/fleet"
	"sandpass/internal/scale/meter"
)

// datagramHeaders are the bytes of IPv4 and UDP around each message between siblings, which the socket does not show.
const datagramHeaderBytes = 28

// KeeperOptions say how messages between siblings are measured: real proxies, with calls.
type SiblingOptions struct {
	Siblings      []int     // real proxies of one service, each with calls at Rates' last but one
	Rates         []float64 // calls a second to each of Fixed proxies
	FixedSiblings int
	FixedRate     float64 // calls a second to each where siblings vary
	Seconds       float64
}

// Keepers measures messages between siblings against calls, and against siblings.
func SiblingSlopes(ctx context.Context, o SiblingOptions, programs Programs, progress func(string)) ([]Series, error) {
	byCalls := seriesBuilder{against: ByCallRate, setting: fmt.Sprintf("%d siblings", o.FixedSiblings)}
	for _, rate := range o.Rates {
		figures, err := siblingFigures(ctx, o.FixedSiblings, rate, o.Seconds, programs)
		if err != nil {
			return nil, fmt.Errorf("%.0f calls a second: %w", rate, err)
		}
		byCalls.add(rate, figures)
		progress(fmt.Sprintf("%d siblings, %.0f calls/s", o.FixedSiblings, rate))
	}
	bySiblings := seriesBuilder{against: BySiblings, setting: fmt.Sprintf("%.0f calls/s", o.FixedRate)}
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

// keeperFigures runs so many siblings as real proxies with calls, with their messages counted and without messages.
func siblingFigures(ctx context.Context, n int, rate, seconds float64, programs Programs) ([]figure, error) {
	notes, with, err := siblingRun(ctx, n, rate, seconds, true, programs)
	if err != nil {
		return nil, err
	}
	_, without, err := siblingRun(ctx, n, rate, seconds, false, programs)
	if err != nil {
		return nil, err
	}
	per := func(f func(meter.Traffic) int64) float64 { return mean(notes, f) / seconds }
	return []figure{
		{roleProxy, "siblings' messages, in", "messages/s", per(messagesIn)},
		{roleProxy, "siblings' messages, out", "messages/s", per(messagesOut)},
		{roleProxy, "siblings' messages, in", "bytes/s", per(bytesIn)},
		{roleProxy, "siblings' messages, out", "bytes/s", per(bytesOut)},
		{roleProxy, "siblings' messages, in, with IP and UDP headers", "bytes/s", per(bytesIn) + datagramHeaderBytes*per(messagesIn)},
		{roleProxy, "siblings' messages, busiest proxy, both ways", "bytes/s", busiest(notes) / seconds},
		{roleProxy, "processor time with calls and messages", "part of a core", with},
		{roleProxy, "processor time with calls, no messages", "part of a core", without},
		{roleProxy, "processor time of siblings' messages", "part of a core", with - without},
	}, nil
}

// busiest is the most that one has read and written.
func busiest(traffic []meter.Traffic) (most float64) {
	for _, t := range traffic {
		most = max(most, float64(t.BytesIn+t.BytesOut))
	}
	return most
}

// siblingRun gives what was said between siblings, and the part of a core that a proxy took.
func siblingRun(ctx context.Context, n int, rate, seconds float64, peers bool,
	programs Programs) ([]meter.Traffic, float64, error) {
	sizes := fleet.Default()
	sizes.Proxies, sizes.Services, sizes.Depth, sizes.FrontShare = n, 1, 1, 1
	plan := Plan{Fleet: fleet.Generate(sizes), RealProxies: n, ListScope: ServiceList, Peers: peers, CountedProxies: n}
	r, ctx, err := Deploy(ctx, plan, programs)
	if err != nil {
		return nil, 0, err
	}
	defer r.Close()
	if err := r.startBackends(); err != nil {
		return nil, 0, err
	}
	all := allProxies(plan.Fleet)
	r.sendCalls(ctx, all, rate, 1) // connections are open and usual latencies known from here on
	before, used, started := r.siblingLinks.traffic(), r.usage(), time.Now()
	good, bad := r.sendCalls(ctx, all, rate, seconds)
	after, notes := r.usage(), r.siblingLinks.traffic()
	if bad*100 > good {
		return nil, 0, fmt.Errorf("%d calls failed, %d did not", bad, good)
	}
	for i := range notes {
		notes[i] = notes[i].Minus(before[i])
	}
	return notes, after.cpuSince(used, roleProxy, time.Since(started).Seconds()), ctx.Err()
}
