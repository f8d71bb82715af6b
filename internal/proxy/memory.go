// This file owns the proxy's snapshot: when it is written, what of it still counts after a restart, and in which phase after
// the start the proxy is. It must never wait for a disk while it serves, nor have a start fail for a snapshot, unless the
// folder is another fleet's.
package proxy

import (
	"encoding/json"
	"errors"
	"log"
	"maps"

	"sandpass/balance"
	"sandpass/internal/boottime"
	"sandpass/internal/configwatch"
	"sandpass/internal/loop"
	"sandpass/internal/recovery"
	"sandpass/internal/snapshot"
)

const (
	listMostAge    = 6 * 3600.0 // seconds after which a kept list is no longer taken: addresses have found other owners
	clockTolerance = 1.0        // seconds by which a snapshot may be newer than now: clocks are set
	usualGain      = 0.002      // by which each look moves what is usually served: over some two minutes
)

// errSlowDisk is why a promise is not known to hold when its time is up.
var errSlowDisk = errors.New("the folder that lasts takes too long")

// snapshot is what goes into the next one, and how the start goes.
type snapshotState struct {
	keeper   *snapshot.Writer // nil: none is written
	recovery *recovery.Tracker
	served   float64 // usual part of ended commands that are answered
	late     float64 // usual part of answers that are late
	answered int     // since the last look
	ended    int
}

// restoreSnapshot takes the snapshot of the process before this one, each part as far as it still counts, once the Balancer is
// there. Where the configuration names a newer list, that one counts.
func (p *Proxy) restoreSnapshot(known *endpointUpdate) error {
	m, l, now := &p.snapshot, p.startConfig, p.loop.Now()
	m.recovery = recovery.New(0, 0)
	if l.State.Folder == "" {
		return nil
	}
	s, err := snapshot.Load(l.State.Folder, l.State.Fleet, l.Name)
	var foreign *snapshot.FleetMismatchError
	if errors.As(err, &foreign) {
		return err
	}
	if err != nil {
		log.Printf("msg=state_not_taken error=%q", err)
	}
	if s == nil {
		return nil
	}
	age := now - s.SavedUnix
	if seconds, known := boottime.Now().Since(s.SavedAt); known {
		age = seconds
	}
	if age < -clockTolerance {
		log.Printf("msg=state_of_the_future seconds=%.1f", -age)
	} else {
		age = max(0, age)
	}
	w := handoverMessage{Discovery: s.Discovery, Drained: s.Drained}
	var list endpointUpdate
	var out maintenance
	var young ages
	if len(s.Endpoints) > 0 && age < listMostAge && json.Unmarshal(s.Endpoints, &list) == nil {
		w.List, w.OldList = &list, known != nil && known.Index > list.Index
	}
	if len(s.Maintenance) > 0 && json.Unmarshal(s.Maintenance, &out) == nil {
		w.Maintenance = &out
	}
	if len(s.StartAges) > 0 && json.Unmarshal(s.StartAges, &young) == nil {
		w.Ages = &young
	}
	p.takeOver(&w, elapsedSince(s.SavedAt))
	learned := balance.Snapshot{Incarnation: s.Incarnation, TypicalLatency: s.TypicalLatency, BaselineInFlight: s.BaselineInFlight, InFlightPerBackend: s.InFlightPerBackend, ArrivalRate: s.ArrivalRate, AllLatencies: s.AllLatencies,
		Weights: map[balance.BackendID]float64{}}
	for _, v := range p.names.Verbs {
		learned.VerbLatencies = append(learned.VerbLatencies, s.VerbLatencies[v.Name])
	}
	for name, weight := range s.BackendWeights {
		if t := p.backends.byName[name]; t != nil {
			learned.Weights[t.id] = weight
		}
	}
	p.balancer.Restore(now, learned, age)
	m.served, m.late = s.AnsweredFraction, s.LateFraction
	m.recovery = recovery.New(s.AnsweredFraction, s.LateFraction)
	log.Printf("msg=state_taken age=%.1f backends=%d cordons=%d drained=%t", age, p.backends.readyCount, len(p.maintenance.Cordoned), s.Drained)
	return nil
}

// keepSnapshots begins to write snapshots, where operators name a folder.
func (p *Proxy) startSnapshots() {
	l := p.startConfig
	if l.State.Folder == "" {
		return
	}
	p.snapshot.keeper = snapshot.NewWriter(l.State.Folder, l.Name, func(err error) {
		if err != nil {
			log.Printf("msg=state_not_kept error=%q", err)
		} else {
			log.Printf("msg=state_kept_again")
		}
	})
	p.runEvery(l.State.SaveInterval, func() { p.saveSnapshot(nil) })
}

// ownsFile tells whether this process writes the snapshots: the one before it does until it has handed over, and the one
// after it from when that serves.
func (p *Proxy) ownsFile() bool {
	return p.snapshot.keeper != nil && p.handover.done && !p.handover.successorServes
}

// promise calls back once what operators said is on the disk that lasts, where there is one, or with the error why that is not
// known. It waits for so many seconds at most.
func (p *Proxy) promise(within float64, then func(error)) {
	if !p.ownsFile() {
		then(nil)
		return
	}
	var late *loop.Timer
	once := func(err error) {
		if late != nil {
			late.Stop()
			late = nil
			then(err)
		}
	}
	late = p.loop.After(within, func() { once(errSlowDisk) })
	p.saveSnapshot(func(err error) { p.loop.PostFromAnyGoroutine(func() { once(err) }) })
}

// saveSnapshot hands over what is known now; it is encoded and written elsewhere, from copies. saved may be nil; it is called
// as Keeper.Put says.
func (p *Proxy) saveSnapshot(saved func(error)) {
	m := &p.snapshot
	if !p.ownsFile() {
		return
	}
	b, w := p.balancer.Snapshot(), p.handoverState()
	s := &snapshot.State{Fleet: p.startConfig.State.Fleet, Name: p.startConfig.Name, SavedUnix: p.loop.Now(), SavedAt: boottime.Now(), Incarnation: b.Incarnation, Discovery: w.Discovery,
		Drained: w.Drained, TypicalLatency: b.TypicalLatency, BaselineInFlight: b.BaselineInFlight, InFlightPerBackend: b.InFlightPerBackend, ArrivalRate: b.ArrivalRate, AllLatencies: b.AllLatencies, AnsweredFraction: m.served, LateFraction: m.late,
		VerbLatencies: map[string][]byte{}, BackendWeights: map[string]float64{}}
	for i, v := range p.names.Verbs {
		s.VerbLatencies[v.Name] = b.VerbLatencies[i]
	}
	for _, t := range p.backends.byName { // a map into a map
		if weight, ok := b.Weights[t.id]; ok {
			s.BackendWeights[t.name] = weight
		}
	}
	list, young := w.List, w.Ages
	out := maintenance{maps.Clone(p.maintenance.Cordoned), maps.Clone(p.maintenance.Uncordoned)}
	m.keeper.Put(func() (*snapshot.State, error) {
		var errs [3]error
		s.Endpoints, errs[0] = json.Marshal(list)
		s.Maintenance, errs[1] = json.Marshal(out)
		s.StartAges, errs[2] = json.Marshal(young)
		return s, errors.Join(errs[:]...)
	}, saved)
}

// saveLastSnapshot writes for the last time, after the loop.
func (p *Proxy) saveLastSnapshot() {
	if p.snapshot.keeper != nil {
		p.saveSnapshot(nil)
		p.snapshot.keeper.Close()
	}
}

// count counts a command that has had its final answer.
func (m *snapshotState) countEnded(answered bool) {
	m.ended++
	if answered {
		m.answered++
	}
}

// followRecovery looks at how the start goes, and what is usual once it is over.
func (p *Proxy) trackRecovery() {
	m := &p.snapshot
	late, living := p.balancer.Stats()
	serving := p.canRelay() && p.acceptsClients()
	if m.recovery.Observe(p.loop.Now(), serving, m.answered, m.ended, late) {
		took, out := m.recovery.TimeToFull()
		log.Printf("msg=full seconds=%.2f out_of_time=%t late=%.2f living=%.1f", took, out, late, living)
	}
	if m.ended > 0 && m.recovery.Phase() == recovery.Full {
		part := float64(m.answered) / float64(m.ended)
		if m.served == 0 {
			m.served, m.late = part, late
		}
		m.served += usualGain * (part - m.served)
		m.late += usualGain * (late - m.late)
	}
	m.answered, m.ended = 0, 0
}

// status is what the admin endpoint shows of all that, one line of JSON.
func (p *Proxy) status() string {
	late, living := p.balancer.Stats()
	took, out := p.snapshot.recovery.TimeToFull()
	text, _ := json.Marshal(struct { // has no value that can't be encoded
		Phase    string              `json:"phase"`
		ToFull   float64             `json:"time_to_full_s"`
		OutOf    bool                `json:"out_of_time"`
		Living   float64             `json:"living"`
		Siblings int                 `json:"siblings"`
		Late     float64             `json:"late_part"`
		Served   float64             `json:"usually_answered_part"`
		Backends int                 `json:"backends"`
		Open     int                 `json:"open"`
		Kept     bool                `json:"state_kept"`
		Control  *configwatch.Status `json:"control,omitempty"`
	}{p.snapshot.recovery.Phase().String(), took, out, living, p.network.PeerCount, late, p.snapshot.served, p.backends.readyCount,
		len(p.commands), p.snapshot.keeper != nil, p.control.Status()})
	return string(text)
}
