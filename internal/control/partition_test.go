package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/cryptotest"
	"time"

	"sandpass/internal/revision"
)

const (
	partitionDuration = time.Hour
	changeInterval    = 24 * time.Hour / 810 // 810 changes per day, as many as the operators make
	catchUpTime       = 3 * time.Second      // after the end of the partition
)

// setPartition blocks or unblocks all links between the given replicas and the others.
func (s *sim) setPartition(replicas []uint64, blocked bool) {
	inside := map[uint64]bool{}
	for _, id := range replicas {
		inside[id] = true
	}
	for from := range uint64(simReplicas) {
		for to := range uint64(simReplicas) {
			if inside[from+1] != inside[to+1] {
				s.blockedLinks[[2]uint64{from + 1, to + 1}] = blocked
			}
		}
	}
}

// runFor simulates a duration, with a submission at each interval (none if it is 0).
func (s *sim) runFor(duration, interval time.Duration) {
	rounds := int(duration / TickInterval)
	every := max(1, int(interval/TickInterval))
	for tick := range rounds {
		if interval > 0 && tick%every == every-1 {
			s.submit()
		}
		s.round()
		for i, proxy := range s.proxies {
			s.stepProxy(proxy, s.replicas[i%simReplicas])
		}
	}
}

func TestRegionCatchesUpWithinThreeSecondsOfOneHourPartition(t *testing.T) {
	for seed, region := range [][]uint64{{1, 2}, {3, 4}, {5}} {
		t.Run(fmt.Sprint("replicas ", region), func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, uint64(seed))
			s := newSim(seedChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, defects{})
			s.runFor(10*time.Second, time.Second)
			acceptedBefore := s.newestAccepted
			s.setPartition(region, true)
			s.runFor(partitionDuration, changeInterval)
			acceptedDuring := s.newestAccepted - acceptedBefore
			if s.violation != nil {
				t.Fatal(s.violation)
			}
			isolatedNewest := s.replicas[region[0]-1].node.State().NewestNumber()
			if acceptedDuring < 10 || isolatedNewest > acceptedBefore+revision.Number(1) {
				t.Errorf("%d revisions accepted during the partition, the isolated region went from revision %d to %d",
					acceptedDuring, acceptedBefore, isolatedNewest)
			}
			if s.checkReplicas(); s.violation == nil {
				t.Error("the replicas are equal during the partition, so the test verifies nothing")
			}
			s.violation = nil
			s.setPartition(region, false)
			s.runFor(catchUpTime, 0)
			if s.violation == nil {
				s.checkSettled()
			}
			if s.violation != nil {
				t.Fatal(s.violation)
			}
			t.Logf("%d revisions accepted during the partition, %d states restored from snapshots",
				acceptedDuring, s.counts["states restored"])
		})
	}
}
