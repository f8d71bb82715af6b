package scale

import (
	"net/netip"

	"sandpass/internal/faultnet"
	"sandpass/internal/scale/meter"
)

// siblingLinks forwards the messages between counted siblings and counts them. Other pairs of siblings have no forwarder: one
// of them is an in-process proxy without calls, so that they exchange no messages.
type siblingLinks struct {
	plan      Plan
	addresses addresses
	pairs     map[[2]int]*faultnet.DatagramForwarder // by the two indexes in the fleet, the smaller one first
}

// newSiblingLinks starts a forwarder for each pair of counted siblings, none if the plan has no Peers.
func newSiblingLinks(plan Plan, a addresses) (*siblingLinks, error) {
	s := &siblingLinks{plan: plan, addresses: a, pairs: map[[2]int]*faultnet.DatagramForwarder{}}
	if !plan.Peers {
		return s, nil
	}
	for i := range max(plan.RealProxies, plan.CountedProxies) {
		members, _ := siblingIndexes(plan.Fleet, i)
		for _, k := range members {
			if k >= max(plan.RealProxies, plan.CountedProxies) || k <= i {
				continue
			}
			pair, err := faultnet.NewDatagramForwarder(netip.MustParseAddrPort(a.at(i, siblingPort)),
				netip.MustParseAddrPort(a.at(k, siblingPort)),
				plan.Fleet.Sizes.Seed+uint64(i*len(plan.Fleet.Proxies)+k))
			if err != nil {
				s.close()
				return nil, err
			}
			s.pairs[[2]int{i, k}] = pair
		}
	}
	return s, nil
}

// peers returns the addresses that a proxy uses for its siblings and itself, and its own index among them.
func (s *siblingLinks) peers(i int) (texts []string, index int) {
	members, index := siblingIndexes(s.plan.Fleet, i)
	for _, k := range members {
		text := s.addresses.at(k, siblingPort)
		if pair := s.pairs[[2]int{min(i, k), max(i, k)}]; pair != nil && k != i {
			if text = pair.AddrForLeft(); k < i {
				text = pair.AddrForRight()
			}
		}
		texts = append(texts, text)
	}
	return texts, index
}

// traffic returns the traffic of each counted proxy with its siblings.
func (s *siblingLinks) traffic() []meter.Traffic {
	all := make([]meter.Traffic, max(s.plan.RealProxies, s.plan.CountedProxies))
	for ends, pair := range s.pairs {
		sent, received := pair.Delivered()
		left := meter.Traffic{BytesOut: sent.Bytes, MessagesOut: sent.Messages, BytesIn: received.Bytes,
			MessagesIn: received.Messages}
		all[ends[0]] = all[ends[0]].Plus(left)
		all[ends[1]] = all[ends[1]].Plus(left.Reversed())
	}
	return all
}

// close stops all forwarders.
func (s *siblingLinks) close() {
	for _, pair := range s.pairs {
		pair.Close()
	}
}
