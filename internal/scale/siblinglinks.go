package scale

import (
	"net/netip"

	"sandpass/internal/faultnet"
	"sandpass/internal/scale/meter"
)

// relays stand between siblings and count their messages. Where one of two is hollow and no calls come to it, there is none: they
// say nothing to one another.
type siblingLinks struct {
	plan      Plan
	addresses addresses
	pairs     map[[2]int]*faultnet.DatagramForwarder // by the fleet's indexes, the smaller first
}

func newSiblingLinks(plan Plan, a addresses) (*siblingLinks, error) {
	r := &siblingLinks{plan: plan, addresses: a, pairs: map[[2]int]*faultnet.DatagramForwarder{}}
	if !plan.Peers {
		return r, nil
	}
	for i := range max(plan.RealProxies, plan.CountedProxies) {
		members, _ := siblingIndexes(plan.Fleet, i)
		for _, k := range members {
			if k >= max(plan.RealProxies, plan.CountedProxies) || k <= i {
				continue
			}
			pair, err := faultnet.NewDatagramForwarder(netip.MustParseAddrPort(a.at(i, siblingPort)), netip.MustParseAddrPort(a.at(k, siblingPort)),
				plan.Fleet.Sizes.Seed+uint64(i*len(plan.Fleet.Proxies)+k))
			if err != nil {
				r.close()
				return nil, err
			}
			r.pairs[[2]int{i, k}] = pair
		}
	}
	return r, nil
}

// peers are the addresses at which a proxy finds its siblings, and its own place among them.
func (r *siblingLinks) peers(i int) (texts []string, place int) {
	members, place := siblingIndexes(r.plan.Fleet, i)
	for _, k := range members {
		text := r.addresses.at(k, siblingPort)
		if pair := r.pairs[[2]int{min(i, k), max(i, k)}]; pair != nil && k != i {
			if text = pair.AddrForLeft(); k < i {
				text = pair.AddrForRight()
			}
		}
		texts = append(texts, text)
	}
	return texts, place
}

// traffic is what each counted proxy has said to siblings and heard from them.
func (r *siblingLinks) traffic() []meter.Traffic {
	all := make([]meter.Traffic, max(r.plan.RealProxies, r.plan.CountedProxies))
	for ends, pair := range r.pairs {
		there, back := pair.Delivered()
		left := meter.Traffic{BytesOut: there.Bytes, MessagesOut: there.Messages, BytesIn: back.Bytes, MessagesIn: back.Messages}
		all[ends[0]] = all[ends[0]].Plus(left)
		all[ends[1]] = all[ends[1]].Plus(left.Reversed())
	}
	return all
}

func (r *siblingLinks) close() {
	for _, pair := range r.pairs {
		pair.Close()
	}
}
