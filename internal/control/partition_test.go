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
	changeInterval    = 24 * time.Hour / 810 // as many as the operators make
	catchUpTime       = 3 * time.Second      // of the healing
)

// cutOff cuts the ways between some replicas and the others, or heals them.
func (s *sim) setPartition(replicas []uint64, cut bool) {
	inside := map[uint64]bool{}
	for _, id := range replicas {
		inside[id] = true
	}
	for from := range uint64(simReplicas) {
		for to := range uint64(simReplicas) {
			if inside[from+1] != inside[to+1] {
				s.blockedLinks[[2]uint64{from + 1, to + 1}] = cut
			}
		}
	}
}

// pass lets time pass, with a change now and then.
func (s *sim) runFor(lasts, between time.Duration) {
	rounds := int(lasts / TickInterval)
	every := max(1, int(between/TickInterval))
	for n := range rounds {
		if between > 0 && n%every == every-1 {
			s.submit()
		}
		s.round()
		for i, proxy := range s.proxies {
			s.stepProxy(proxy, s.replicas[i%simReplicas])
		}
	}
}

func TestARegionCutOffForAnHourIsUpToDateAfterThreeSeconds(t *testing.T) {
	for number, region := range [][]uint64{{1, 2}, {3, 4}, {5}} {
		t.Run(fmt.Sprint("replicas ", region), func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, uint64(number))
			s := newSim(seedChooser{rand.New(rand.NewPCG(uint64(number), 2))}, defects{})
			s.runFor(10*time.Second, time.Second)
			before := s.newestAccepted
			s.setPartition(region, true)
			s.runFor(partitionDuration, changeInterval)
			during := s.newestAccepted - before
			if s.violation != nil {
				t.Fatal(s.violation)
			}
			far := s.replicas[region[0]-1].node.State().NewestNumber()
			if during < 10 || far > before+revision.Number(1) {
				t.Errorf("%d revisions accepted during the cut, the region cut off went from %d to %d", during, before, far)
			}
			if s.checkReplicas(); s.violation == nil {
				t.Error("the replicas are equal during the cut: the test shows nothing")
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
			t.Logf("%d revisions accepted during the cut, %d states restored by snapshot", during, s.counts["states restored"])
		})
	}
}
