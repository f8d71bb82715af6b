package proxy

import (
	"strings"
	"testing"
	"time"
)

// A request with any Req-Deadline, however short or malformed, gets one answer within that time or an error at once.
func TestUnusualDeadlines(t *testing.T) {
	b := newFakeBackend(t, hang)
	r := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-a", b)), nil))
	time.Sleep(600 * time.Millisecond)
	for _, deadline := range []string{"0", "0.000", "0.001", "0.010", "0.05", "-1", "-0", "1e3", "NaN", "Inf",
		"", "+1", "0x1p-2", "1_0", "999999999999", ".5", "5."} {
		t.Run(deadline, func(t *testing.T) {
			t.Parallel()
			for _, verb := range []string{"look", "pay"} {
				request := strings.Replace(requestText(verb, "Content-Length: 0\r\n"),
					"Req-Deadline: 2.5", "Req-Deadline: "+deadline, 1)
				began := time.Now()
				status, _, _ := r.dial(t).roundTrip(request)
				maxDuration := 3050 * time.Millisecond // the verb's time limit
				if strings.HasPrefix(deadline, "0") && !strings.Contains(deadline, "x") {
					maxDuration = 150 * time.Millisecond
				}
				if took := time.Since(began); status == 0 || status == 200 || took > maxDuration {
					t.Errorf("%s: %d after %v", verb, status, took)
				}
			}
		})
	}
}
