package faults

import (
	"math"
	"math/rand/v2"
)

const flickerHalfPeriodSeconds = 0.5 // seconds for which the neighbor is on, and then off

// Rand returns a random source that depends only on the fault's seed and kind, so that the targets are the same wherever a
// plan is carried out.
func (f Fault) Rand() *rand.Rand { return rand.New(rand.NewPCG(f.Seed, uint64(len(f.Kind)))) }

// TargetCount returns how many of n targets the fault hits: its share, at least one if there are any.
func (f Fault) TargetCount(n int) int { return min(n, max(1, int(math.Round(f.Share*float64(n))))) }

// PickIndexes draws the fault's share of the indexes below n, at least one.
func (f Fault) PickIndexes(n int) []int { return f.Rand().Perm(n)[:f.TargetCount(n)] }

// PickBackends draws the fault's share of a tier's backends, at least one, only from its zone if it names one. A ZoneLoss
// hits all backends of its zone.
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

// Blocks tells whether the fault is a Partition that blocks traffic from one zone to another.
func (f Fault) Blocks(from, to int) bool {
	one := f.Zone == from && (f.To < 0 || f.To == to)
	other := f.Zone == to && (f.To < 0 || f.To == from)
	return f.Kind == Partition && from != to && (one || f.Hard >= 1 && other)
}

// AffectsPath tells whether a network fault applies to the path from one zone to another: to every path if it names no
// zone, and else to the paths between its zone and the others.
func (f Fault) AffectsPath(from, to int) bool {
	return f.Zone < 0 || from != to && (f.Zone == from || f.Zone == to)
}

// HitsKey tells whether a key is among the share of keys that the fault hits. Key 0 means no key and is never hit.
func (f Fault) HitsKey(key uint64) bool {
	if key == 0 {
		return false
	}
	x := (key ^ f.Seed) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xbf58476d1ce4e5b9
	return float64((x^x>>29)>>11)/(1<<53) < f.Share
}

// Impairment is the combined effect of the active faults on one backend. Each number is a share from 0 to 1.
type Impairment struct {
	Slow, Errors, Refuse, TableFull, LoseAnswers, Reset float64
	Hang, IgnoresCancels                                bool
}

// Add adds the effect of one active fault. Losses of speed multiply; of the other effects the most severe counts.
func (i *Impairment) Add(f Fault, now float64) {
	switch severity := f.SeverityAt(now); f.Kind {
	case Slow:
		i.Slow = 1 - (1-i.Slow)*(1-severity)
	case NoisyNeighbor:
		if int((now-f.From)/flickerHalfPeriodSeconds)%2 == 0 {
			i.Slow = 1 - (1-i.Slow)*(1-severity)
		}
	case Errors:
		i.Errors = max(i.Errors, severity)
	case Refuse:
		i.Refuse = max(i.Refuse, severity)
	case FullTable:
		i.TableFull = max(i.TableFull, severity)
	case LoseAnswers:
		i.LoseAnswers = max(i.LoseAnswers, severity)
	case Reset:
		i.Reset = max(i.Reset, severity)
	case Hang:
		i.Hang = true
	case IgnoreCancels:
		i.IgnoresCancels = true
	}
}
