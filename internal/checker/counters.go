package checker

// OperationRequested records an operation that a client wants done, and its utility.
func (c *Checker) OperationRequested(at float64, customer int, utility float64) {
	c.report.Operations++
	c.report.OfferedUtility += utility
	c.report.OfferedBySecond[c.second(at)] += utility
	c.report.OfferedByTenth[min(int(tenthsPerSecond*at), len(c.report.OfferedByTenth)-1)] += utility
	if customer < len(c.report.customers) {
		c.report.customers[customer][0] += utility
	}
}

// second returns the index of a time in the counts by second.
func (c *Checker) second(at float64) int { return min(int(at), len(c.report.OfferedBySecond)-1) }

// OperationAnswered records that a client received its answer to an operation that was due at a time, and the utility of
// the answer now.
func (c *Checker) OperationAnswered(due, at float64, customer int, utility float64) {
	c.report.Answered++
	c.report.ServedUtility += utility
	c.report.ServedBySecond[c.second(due)] += utility
	c.report.ServedByTenth[min(int(tenthsPerSecond*due), len(c.report.ServedByTenth)-1)] += utility
	if customer < len(c.report.customers) {
		c.report.customers[customer][1] += utility
	}
	_ = c.report.Latency.Add(max(at-due, 1e-6)) // fails only for NaN
}

// OperationLost records utility that was lost, with its cause and place.
func (c *Checker) OperationLost(loss Loss, utility float64) {
	s := &c.report.loss[loss.Cause][loss.Place][min(max(loss.Tier, 0), 7)]
	s.count++
	s.utility += utility
}

// ConnectionOpened records that an instance opens a connection to a backend.
func (c *Checker) ConnectionOpened(at float64, backend int) {
	c.countPerSecond(c.report.ConnectionsByBackend, backend, at)
}

// ListRequested records that an instance requests the whole backend list from discovery.
func (c *Checker) ListRequested(at float64, instance int) {
	c.countPerSecond(c.report.ListsByInstance, instance, at)
}

// countPerSecond adds one to the count of a backend or instance in the second of the time at.
func (c *Checker) countPerSecond(counts map[int][]int, id int, at float64) {
	s := counts[id]
	for n := c.second(max(0, at)); len(s) <= n; {
		s = append(s, 0)
	}
	s[c.second(max(0, at))]++
	counts[id] = s
}

// DeclinedLate records a command that was declined after more than half of its time without ever being relayed.
func (c *Checker) DeclinedLate(utility float64) {
	c.report.LateDeclines++
	c.report.Costs += c.config.LateDeclinePrice * utility
}

// MessageSent records a message to a peer.
func (c *Checker) MessageSent() { c.report.Messages++ }
