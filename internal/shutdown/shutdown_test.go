package shutdown

import "testing"

// For any longest time limit, the steps must be in order, connections must be accepted for as long as they arrive, and
// everything must be answered before the kill may follow.
func TestPlanEndsBeforeKill(t *testing.T) {
	for limit := 0.01; limit < 20; limit *= 1.1 {
		p := NewPlan(limit)
		kill := min(limit+0.7, 3.7)
		if p.StopAccepting < 0.42 || p.CloseIdle < 0.42 || p.CloseIdle > p.AnswerOpen || p.StopAccepting > p.AnswerOpen ||
			p.AnswerOpen >= p.DeclineIncomplete || p.DeclineIncomplete > kill-0.04 {
			t.Fatalf("limit %.2f: %+v, the kill may follow at %.2f", limit, p, kill)
		}
		if limit > 0.6 && kill-p.AnswerOpen < 0.29 {
			t.Fatalf("limit %.2f: %+v leaves no time before the kill at %.2f", limit, p, kill)
		}
	}
}

func TestLastRequestsHaveTimeForAResponse(t *testing.T) {
	for _, x := range []struct{ limit, closeIdle, answerOpen float64 }{
		{2, 1.4, 2.4}, {3, 1.4, 3.4}, {10, 1.4, 3.4}, {1, 0.84, 1.4}, {0.4, 0.48, 0.8}, {0.2, 0.45, 0.6},
	} {
		if p := NewPlan(x.limit); p.CloseIdle < x.closeIdle-1e-9 || p.CloseIdle > x.closeIdle+1e-9 ||
			p.AnswerOpen < x.answerOpen-1e-9 || p.AnswerOpen > x.answerOpen+1e-9 {
			t.Errorf("limit %.2f: %+v", x.limit, p)
		}
	}
}

func TestEarliestDelaysNoStep(t *testing.T) {
	a, b := NewPlan(2), NewPlan(1)
	for _, p := range []Plan{a.Earliest(b), b.Earliest(a)} {
		if p.AnswerOpen != b.AnswerOpen || p.DeclineIncomplete != b.DeclineIncomplete ||
			p.CloseIdle != min(a.CloseIdle, b.CloseIdle) {
			t.Errorf("earliest plan %+v of %+v and %+v", p, a, b)
		}
	}
}

func TestMayClose(t *testing.T) {
	p := NewPlan(2)
	for _, x := range []struct {
		elapsed, age float64
		isNew        bool
		want         bool
	}{
		{1.3, 9, false, false}, {1.5, 0.01, false, true}, {1.5, 0.1, true, false}, {1.5, 0.4, true, true},
		{p.DeclineIncomplete, 0.01, true, true},
	} {
		if p.MayClose(x.elapsed, x.isNew, x.age) != x.want {
			t.Errorf("%+v", x)
		}
	}
}
