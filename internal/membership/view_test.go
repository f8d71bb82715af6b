package membership

import (
	"math/rand/v2"
	"testing"
)

func view(n int) *View {
	v := &View{}
	v.Resize(n)
	return v
}

func TestOneMissProvesNothingTwoInARowDo(t *testing.T) {
	v := view(3)
	v.Heard(10, 1, 7)
	v.Missed(10.1, 1, 10.06)
	for range 50 { // questions that were out at the same time count once
		v.Missed(10.12, 1, 10.07)
	}
	if !v.Lives(10.13, 1) {
		t.Error("given up for one miss, though fifty questions shared it")
	}
	v.Missed(10.2, 1, 10.15)
	if v.Lives(10.21, 1) {
		t.Error("two misses in a row, and it is still asked")
	}
	if !v.Lives(10.21, 2) {
		t.Error("another is given up for it")
	}
	v.Heard(10.3, 1, 7)
	if !v.Lives(10.3, 1) {
		t.Error("it spoke, and is not asked")
	}
}

func TestOneThatIsGivenUpIsTriedByOneQuestionAtATime(t *testing.T) {
	v := view(2)
	v.Heard(0, 1, 7)
	now, tries, last := 1.0, 0, 0.0
	for ; now < 60; now += 0.01 {
		if v.Lives(now, 1) {
			v.Ask(now, 1)
			tries, last = tries+1, now
			v.Missed(now+0.04, 1, now)
		}
	}
	if tries > 25 {
		t.Errorf("%d questions in a minute to one that never answers", tries)
	}
	if last < 60-leaveLast-0.2 {
		t.Errorf("not tried after %.1f s", last)
	}
}

func TestAFormerLifeNoLongerCounts(t *testing.T) {
	v := view(2)
	says := func(now float64, life uint64, counts, fresh bool) {
		t.Helper()
		if c, f := v.Heard(now, 1, life); c != counts || f != fresh {
			t.Errorf("at %.1f s life %d: counts %t, fresh %t", now, life, c, f)
		}
	}
	says(1, 100, true, false)
	says(2, 100, true, false)
	says(3, 200, true, true) // a new process: what the old one said is void
	says(3.1, 100, false, false)
	says(3.2, 100, false, false) // late words of the old one
	says(3.3, 200, true, false)
	says(3.9, 100, false, false)
	says(4.2, 100, false, false) // within stepsBack of the higher one's last word
	says(4.25, 200, true, false)
	// A restart whose clock was set back: it goes on alone, and soon counts.
	says(9, 50, false, false)
	says(9.5, 50, false, false)
	says(10.1, 50, true, true)
	says(10.2, 50, true, false)
	says(10.3, 200, true, true) // the higher life speaks again: it was a cut, not an end
}

func TestOldAndNewFormBesideOneAnother(t *testing.T) {
	v := view(3)
	if v.Old(0, 1) {
		t.Error("a sibling nobody has heard is first spoken to in the new form")
	}
	v.Missed(0.04, 1, 0)
	if !v.Old(0.05, 1) || !v.Lives(0.05, 1) {
		t.Error("one that does not answer in the new form is to be asked in the old one before it is given up")
	}
	if counts, fresh := v.Heard(0.1, 1, 0); !counts || fresh {
		t.Error("a word in the old form counts")
	}
	if !v.Old(100, 1) {
		t.Error("who speaks the old form is spoken to in it")
	}
	if counts, fresh := v.Heard(200, 1, 9); !counts || !fresh || v.Old(200, 1) {
		t.Error("a sibling that was renewed speaks the new form, and its former life's words are void")
	}
	v.Missed(201, 1, 200.9)
	if v.Old(201.1, 1) {
		t.Error("one miss of a sibling that speaks the new form is no reason for the old one")
	}
}

// Any words in any order: never a panic, never a sibling given up while it speaks, and who speaks last is the life that
// counts.
func FuzzView(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		chance := rand.New(rand.NewPCG(seed, 1))
		v, now := view(3), 0.0
		for range 300 {
			now += chance.Float64() * 0.3
			at := chance.IntN(5) - 1
			switch chance.IntN(3) {
			case 0:
				if counts, fresh := v.Heard(now, at, chance.Uint64N(4)); counts && !v.Lives(now, at) || fresh && !counts {
					t.Fatal("it has just spoken, and is not asked")
				}
			case 1:
				v.Missed(now, at, now-0.1*chance.Float64())
			case 2:
				if v.Lives(now, at) {
					v.Ask(now, at)
					v.Old(now, at)
				}
			}
		}
		for _, s := range v.all {
			if s.until > now+leaveLast {
				t.Fatalf("left alone for %.1f s", s.until-now)
			}
		}
	})
}
