package proxy

import (
	"strings"
	"testing"
	"time"
)

// Whatever time a request states, however little or odd, it has one final answer in it, or its error at once.
func TestOddDeadlines(t *testing.T) {
	b := newFakeBackend(t, hang)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	for _, said := range []string{"0", "0.000", "0.001", "0.010", "0.05", "-1", "-0", "1e3", "NaN", "Inf", "", "+1", "0x1p-2", "1_0", "999999999999", ".5", "5."} {
		t.Run(said, func(t *testing.T) {
			t.Parallel()
			for _, verb := range []string{"look", "pay"} {
				what := strings.Replace(requestText(verb, "Content-Length: 0\r\n"), "Req-Deadline: 2.5", "Req-Deadline: "+said, 1)
				began := time.Now()
				status, _, _ := r.dial(t).roundTrip(what)
				most := 3050 * time.Millisecond // the verb's own limit
				if strings.HasPrefix(said, "0") && !strings.Contains(said, "x") {
					most = 150 * time.Millisecond
				}
				if took := time.Since(began); status == 0 || status == 200 || took > most {
					t.Errorf("%s: %d after %v", verb, status, took)
				}
			}
		})
	}
}
