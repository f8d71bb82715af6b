package checker

// Asked is told of what a client wants done, and what that is worth.
func (c *Checker) OperationRequested(at float64, customer int, worth float64) {
	c.a.Operations++
	c.a.OfferedUtility += worth
	c.a.OfferedBySecond[c.second(at)] += worth
	c.a.OfferedByTenth[min(int(tenth*at), len(c.a.OfferedByTenth)-1)] += worth
	if customer < len(c.a.customers) {
		c.a.customers[customer][0] += worth
	}
}

func (c *Checker) second(at float64) int { return min(int(at), len(c.a.OfferedBySecond)-1) }

// Answered is told that a client has its answer, for what was due at a time, and of its worth now.
func (c *Checker) OperationAnswered(due, at float64, customer int, worth float64) {
	c.a.Answered++
	c.a.ServedUtility += worth
	c.a.ServedBySecond[c.second(due)] += worth
	c.a.ServedByTenth[min(int(tenth*due), len(c.a.ServedByTenth)-1)] += worth
	if customer < len(c.a.customers) {
		c.a.customers[customer][1] += worth
	}
	_ = c.a.Latency.Add(max(at-due, 1e-6)) // fails only for what is no number
}

// Lost is told that worth was lost, and how.
func (c *Checker) OperationLost(l Loss, worth float64) {
	s := &c.a.loss[l.Cause][l.Place][min(max(l.Tier, 0), 7)]
	s.count++
	s.worth += worth
}

// ConnectionOpened is told that an instance opens a connection to a backend.
func (c *Checker) ConnectionOpened(at float64, backend int) {
	c.tick(c.a.ConnectionsByBackend, backend, at)
}

// ListRequested is told that an instance asks discovery for the whole list.
func (c *Checker) ListRequested(at float64, instance int) { c.tick(c.a.ListsByInstance, instance, at) }

// tick counts one more for who it is of, in the second.
func (c *Checker) tick(all map[int][]int, who int, at float64) {
	s := all[who]
	for n := c.second(max(0, at)); len(s) <= n; {
		s = append(s, 0)
	}
	s[c.second(max(0, at))]++
	all[who] = s
}

// RejectedLate is told of a refusal after more than half of the time, with nothing ever sent.
func (c *Checker) DeclinedLate(worth float64) {
	c.a.LateDeclines++
	c.a.Costs += c.terms.LateDeclinePrice * worth
}

// MessageSent is told of a message to a peer.
func (c *Checker) MessageSent() { c.a.Messages++ }
