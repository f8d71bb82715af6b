// This file owns what a fault draws and what several together make of one backend, the same wherever a plan is carried
// out. It must never know which backends there are.

package faults

import (
	"math"
	"math/rand/v2"
)

const flicks = 0.5 // seconds of half a flicker

// Chance draws what the fault hits, from its own seed alone.
func (f Fault) Rand() *rand.Rand { return rand.New(rand.NewPCG(f.Seed, uint64(len(f.Kind)))) }

// Count is how many of n the fault hits: its share, at least one if there are any.
func (f Fault) TargetCount(n int) int { return min(n, max(1, int(math.Round(f.Share*float64(n))))) }

// Places draws a share of n places, at least one.
func (f Fault) PickIndexes(n int) []int { return f.Rand().Perm(n)[:f.TargetCount(n)] }

// Hit draws a share of a tier's backends, at least one, of the zone if one is named; a lost zone hits all of them.
func PickBackends[B any](f Fault, tier []B, zone func(B) int) []B {
	var all []B
	for _, b := range tier {
		if f.Zone < 0 || zone(b) == f.Zone {
			all = append(all, b)
		}
	}
	if f.Kind == ZoneLoss {
		return all
	}
	f.Rand().Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:f.TargetCount(len(all))]
}

// Cuts tells whether the fault lets nothing pass from one zone to another.
func (f Fault) Blocks(from, to int) bool {
	one := f.Zone == from && (f.To < 0 || f.To == to)
	other := f.Zone == to && (f.To < 0 || f.To == from)
	return f.Kind == Partition && from != to && (one || f.Hard >= 1 && other)
}

// Touches tells whether a fault of the ways between a zone and the others, or of all ways, is one of that from one zone to
// another.
func (f Fault) AffectsPath(from, to int) bool {
	return f.Zone < 0 || from != to && (f.Zone == from || f.Zone == to)
}

// Keyed tells whether a key is among those that the fault hits; none is where there is no key.
func (f Fault) HitsKey(key uint64) bool {
	if key == 0 {
		return false
	}
	x := (key ^ f.Seed) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xbf58476d1ce4e5b9
	return float64((x^x>>29)>>11)/(1<<53) < f.Share
}

// Burden is what faults make of a backend just now; each figure is a part from 0 to 1.
type Impairment struct {
	Slow, Errors, Refuse, TableFull, LoseAnswers, Reset float64
	Hang, IgnoresCancels                                bool
}

// Add lays one more fault that is in force on the backend. Speeds multiply; of the rest the hardest counts.
func (u *Impairment) Add(f Fault, now float64) {
	switch hard := f.SeverityAt(now); f.Kind {
	case Slow:
		u.Slow = 1 - (1-u.Slow)*(1-hard)
	case NoisyNeighbor:
		if int((now-f.From)/flicks)%2 == 0 {
			u.Slow = 1 - (1-u.Slow)*(1-hard)
		}
	case Errors:
		u.Errors = max(u.Errors, hard)
	case Refuse:
		u.Refuse = max(u.Refuse, hard)
	case FullTable:
		u.TableFull = max(u.TableFull, hard)
	case LoseAnswers:
		u.LoseAnswers = max(u.LoseAnswers, hard)
	case Reset:
		u.Reset = max(u.Reset, hard)
	case Hang:
		u.Hang = true
	case IgnoreCancels:
		u.IgnoresCancels = true
	}
}
