package shutdown

import "testing"

// Whatever the verbs, each step comes in its order, connections are taken for as long as they come, and all is answered
// before the kill may come.
func TestEveryPlanIsOverBeforeTheKill(t *testing.T) {
	for limit := 0.01; limit < 20; limit *= 1.1 {
		p := NewPlan(limit)
		kill := min(limit+0.7, 3.7)
		if p.StopAccepting < 0.42 || p.CloseIdle < 0.42 || p.CloseIdle > p.AnswerOpen || p.StopAccepting > p.AnswerOpen || p.AnswerOpen >= p.DeclineIncomplete || p.DeclineIncomplete > kill-0.04 {
			t.Fatalf("limit %.2f: %+v, the kill may come at %.2f", limit, p, kill)
		}
		if limit > 0.6 && kill-p.AnswerOpen < 0.29 {
			t.Fatalf("limit %.2f: %+v leaves no time before the kill at %.2f", limit, p, kill)
		}
	}
}

func TestWhatComesLastHasTimeForItsAnswer(t *testing.T) {
	for _, x := range []struct{ limit, leave, end float64 }{{2, 1.4, 2.4}, {3, 1.4, 3.4}, {10, 1.4, 3.4}, {1, 0.84, 1.4}, {0.4, 0.48, 0.8}, {0.2, 0.45, 0.6}} {
		if p := NewPlan(x.limit); p.CloseIdle < x.leave-1e-9 || p.CloseIdle > x.leave+1e-9 || p.AnswerOpen < x.end-1e-9 || p.AnswerOpen > x.end+1e-9 {
			t.Errorf("limit %.2f: %+v", x.limit, p)
		}
	}
}

func TestNoStepIsPutOff(t *testing.T) {
	a, b := NewPlan(2), NewPlan(1)
	for _, p := range []Plan{a.Earliest(b), b.Earliest(a)} {
		if p.AnswerOpen != b.AnswerOpen || p.DeclineIncomplete != b.DeclineIncomplete || p.CloseIdle != min(a.CloseIdle, b.CloseIdle) {
			t.Errorf("%+v of %+v and %+v", p, a, b)
		}
	}
}

func TestWhoMayBeClosed(t *testing.T) {
	p := NewPlan(2)
	for _, x := range []struct {
		t, age float64
		new    bool
		may    bool
	}{{1.3, 9, false, false}, {1.5, 0.01, false, true}, {1.5, 0.1, true, false}, {1.5, 0.4, true, true}, {p.DeclineIncomplete, 0.01, true, true}} {
		if p.MayClose(x.t, x.new, x.age) != x.may {
			t.Errorf("%+v", x)
		}
	}
}
