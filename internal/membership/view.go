// This file owns what a proxy knows of each sibling by messages: which life of it speaks, whether it answers, and in
// which form it is spoken to. It must never take a word of a former life for one of the present, nor give a sibling up
// for good.
package membership

import "math"

const (
	missesDead = 2    // questions in a row without any word, each asked after the one before was given up
	leaveFirst = 0.5  // seconds for which one that does not answer is not asked
	leaveLast  = 4.0  // and at most, doubling: so long may a return stay unseen where it says nothing itself
	trialFor   = 0.1  // seconds for which one question alone tries it again
	stepsBack  = 1.0  // seconds of words of a lower life, with none of the higher, after which that one is no more
	oldFor     = 10.0 // seconds for which the old form is spoken to one that does not answer in the new
	turnsKept  = 8    // questions of a sibling that are known again
	repeatFor  = 0.2  // seconds for which they are: a number comes again after 255
)

// View is what one proxy knows. The zero value knows nobody; Resize must follow.
type View struct {
	all []sibling
}

type sibling struct {
	life      uint64  // 0: not known
	lifeHeard float64 // latest word of it
	lower     uint64  // a lower one that has spoken since
	lowerFrom float64 // and since when
	heard     float64 // latest word of any life
	misses    int
	missedAt  float64         // when the last question was given up
	leave     float64         // seconds for which it is left next time
	until     float64         // not asked before
	old       bool            // speaks the old form
	oldUntil  float64         // is spoken to in it
	turns     [turnsKept]byte // of its latest questions
	askedAt   [turnsKept]float64
	nextTurn  int
}

// Resize sets how many siblings there are; what is known of those that stay is kept.
func (v *View) Resize(n int) {
	for len(v.all) < n {
		v.all = append(v.all, sibling{heard: math.Inf(-1), lifeHeard: math.Inf(-1)})
	}
	v.all = v.all[:n]
}

// Heard is told of a word: life says which life of the sibling speaks, 0 in the old form, which has none. It tells
// whether the word counts, and whether it is the first of a life, so that all that the former one said is void.
func (v *View) Heard(now float64, from int, life uint64) (counts, fresh bool) {
	if from < 0 || from >= len(v.all) {
		return false, false
	}
	s := &v.all[from]
	switch {
	case life == 0: // a process of an earlier version
		fresh = s.life != 0
		s.old, s.life = true, 0
	case life > s.life:
		fresh = s.life != 0 || s.old
		s.life, s.lifeHeard, s.lower, s.old = life, now, 0, false
	case life == s.life:
		s.lifeHeard, s.lower = now, 0
	case life != s.lower:
		s.lower, s.lowerFrom = life, now
		return false, false
	case now < max(s.lowerFrom, s.lifeHeard)+stepsBack: // late words of a former life
		return false, false
	default: // it goes on while the higher one is silent: a clock was set back
		fresh = true
		s.life, s.lifeHeard, s.lower = life, now, 0
	}
	s.heard, s.misses, s.leave, s.until = now, 0, 0, 0
	if life != 0 {
		s.oldUntil = 0
	}
	return true, fresh
}

// Repeats tells whether a question of that number has come from a sibling just now, and notes it.
func (v *View) Repeats(now float64, from int, turn byte) bool {
	s := &v.all[from]
	for i, t := range s.turns {
		if t == turn && now < s.askedAt[i]+repeatFor {
			return true
		}
	}
	s.turns[s.nextTurn], s.askedAt[s.nextTurn] = turn, now
	s.nextTurn = (s.nextTurn + 1) % len(s.turns)
	return false
}

// Missed is told that a question asked at a time was given up now without an answer.
func (v *View) Missed(now float64, at int, asked float64) {
	if at < 0 || at >= len(v.all) {
		return
	}
	s := &v.all[at]
	if s.heard >= asked || s.misses > 0 && asked < s.missedAt {
		return // it spoke since, or this one was out beside one that counts already
	}
	s.misses++
	s.missedAt = now
	if s.life == 0 && !s.old && now >= s.oldUntil { // never heard in the new form: it may know only the old one
		s.oldUntil = now + oldFor
		return
	}
	if s.misses >= missesDead || s.leave > 0 {
		s.leave = min(leaveLast, max(leaveFirst, 2*s.leave))
		s.until = now + s.leave
	}
}

// Lives tells whether a sibling is believed to be there.
func (v *View) Lives(now float64, at int) bool {
	return at >= 0 && at < len(v.all) && now >= v.all[at].until
}

// Ask is called when a question is about to be sent. One that was left alone is tried by one question at a time.
func (v *View) Ask(now float64, at int) {
	if s := &v.all[at]; s.leave > 0 {
		s.until = now + trialFor
	}
}

// Old tells whether a sibling is spoken to in the old form.
func (v *View) Old(now float64, at int) bool {
	s := &v.all[at]
	return s.old || now < s.oldUntil
}
