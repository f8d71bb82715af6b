// This file handles the proxy's snapshot: when it is written, which parts are still valid after a restart, and how
// far the proxy has recovered since its start. Serving must not wait for a disk, and a bad snapshot must not fail a
// start, unless the folder belongs to another fleet.

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
	maxListAgeSeconds     = 6 * 3600.0 // after which a saved list is ignored: its addresses may have other owners
	clockToleranceSeconds = 1.0        // by which a snapshot may be newer than now, since clocks are adjusted
	usualRateWeight       = 0.002      // weight of each sample in the usual rates: an average over some two minutes
)

// errPersistTimeout is returned when a snapshot is not known to be saved in time.
var errPersistTimeout = errors.New("snapshot was not saved in time")

// snapshotState holds the statistics for the next snapshot and the progress since the start.
type snapshotState struct {
	writer        *snapshot.Writer // nil if no snapshots are written
	recovery      *recovery.Tracker
	usualAnswered float64 // usual fraction of ended commands that are answered
	usualLate     float64 // usual fraction of answers that are late
	answered      int     // since the last sample
	ended         int
}

// restoreSnapshot applies the previous process's snapshot, as far as its parts are still valid. It needs the
// Balancer. A newer list in the configuration takes precedence over the saved one.
func (p *Proxy) restoreSnapshot(known *endpointUpdate) error {
	stats, config, now := &p.snapshot, p.startConfig, p.loop.Now()
	stats.recovery = recovery.New(0, 0)
	if config.State.Folder == "" {
		return nil
	}
	saved, err := snapshot.Load(config.State.Folder, config.State.Fleet, config.Name)
	var mismatch *snapshot.FleetMismatchError
	if errors.As(err, &mismatch) {
		return err
	}
	if err != nil {
		log.Printf("msg=state_not_taken error=%q", err)
	}
	if saved == nil {
		return nil
	}
	age := now - saved.SavedUnix
	if seconds, known := boottime.Now().Since(saved.SavedAt); known {
		age = seconds
	}
	if age < -clockToleranceSeconds {
		log.Printf("msg=state_of_the_future seconds=%.1f", -age)
	} else {
		age = max(0, age)
	}
	state := handoverMessage{Discovery: saved.Discovery, Drained: saved.Drained}
	var list endpointUpdate
	var requests maintenance
	var ages processAges
	if len(saved.Endpoints) > 0 && age < maxListAgeSeconds && json.Unmarshal(saved.Endpoints, &list) == nil {
		state.Endpoints, state.StartAgesOnly = &list, known != nil && known.Index > list.Index
	}
	if len(saved.Maintenance) > 0 && json.Unmarshal(saved.Maintenance, &requests) == nil {
		state.Maintenance = &requests
	}
	if len(saved.StartAges) > 0 && json.Unmarshal(saved.StartAges, &ages) == nil {
		state.StartAges = &ages
	}
	p.applyState(&state, elapsedSince(saved.SavedAt))
	learned := balance.Snapshot{Incarnation: saved.Incarnation, TypicalLatency: saved.TypicalLatency,
		BaselineInFlight: saved.BaselineInFlight, InFlightPerBackend: saved.InFlightPerBackend,
		ArrivalRate: saved.ArrivalRate, AllLatencies: saved.AllLatencies,
		BackendWeights: map[balance.BackendID]float64{}}
	for _, v := range p.names.Verbs {
		learned.VerbLatencies = append(learned.VerbLatencies, saved.VerbLatencies[v.Name])
	}
	for name, weight := range saved.BackendWeights {
		if b := p.backends.byName[name]; b != nil {
			learned.BackendWeights[b.id] = weight
		}
	}
	p.balancer.Restore(now, learned, age)
	stats.usualAnswered, stats.usualLate = saved.AnsweredFraction, saved.LateFraction
	stats.recovery = recovery.New(saved.AnsweredFraction, saved.LateFraction)
	log.Printf("msg=state_taken age=%.1f backends=%d cordons=%d drained=%t", age, p.backends.readyCount,
		len(p.maintenance.Cordoned), saved.Drained)
	return nil
}

// startSnapshots starts to write snapshots if a folder is configured.
func (p *Proxy) startSnapshots() {
	config := p.startConfig
	if config.State.Folder == "" {
		return
	}
	p.snapshot.writer = snapshot.NewWriter(config.State.Folder, config.Name, func(err error) {
		if err != nil {
			log.Printf("msg=state_not_kept error=%q", err)
		} else {
			log.Printf("msg=state_kept_again")
		}
	})
	p.runEvery(config.State.SaveInterval, func() { p.saveSnapshot(nil) })
}

// writesSnapshots reports whether this process writes the snapshots: the predecessor does until it has handed over,
// and the successor does once it serves.
func (p *Proxy) writesSnapshots() bool {
	return p.snapshot.writer != nil && p.handover.done && !p.handover.successorServes
}

// persist saves a snapshot and calls back once it is on persistent storage, where configured, or with an error if
// that is not known within the given seconds.
func (p *Proxy) persist(within float64, callback func(error)) {
	if !p.writesSnapshots() {
		callback(nil)
		return
	}
	var timeout *loop.Timer
	once := func(err error) {
		if timeout != nil {
			timeout.Stop()
			timeout = nil
			callback(err)
		}
	}
	timeout = p.loop.After(within, func() { once(errPersistTimeout) })
	p.saveSnapshot(func(err error) { p.loop.PostFromAnyGoroutine(func() { once(err) }) })
}

// saveSnapshot passes the current state to the writer, which encodes and saves a copy on its own goroutine. saved may
// be nil; it is called as described at Put.
func (p *Proxy) saveSnapshot(saved func(error)) {
	stats := &p.snapshot
	if !p.writesSnapshots() {
		return
	}
	learned, state := p.balancer.Snapshot(), p.handoverState()
	s := &snapshot.State{Fleet: p.startConfig.State.Fleet, Name: p.startConfig.Name, SavedUnix: p.loop.Now(),
		SavedAt: boottime.Now(), Incarnation: learned.Incarnation, Discovery: state.Discovery,
		Drained: state.Drained, TypicalLatency: learned.TypicalLatency, BaselineInFlight: learned.BaselineInFlight,
		InFlightPerBackend: learned.InFlightPerBackend, ArrivalRate: learned.ArrivalRate,
		AllLatencies: learned.AllLatencies, AnsweredFraction: stats.usualAnswered, LateFraction: stats.usualLate,
		VerbLatencies: map[string][]byte{}, BackendWeights: map[string]float64{}}
	for i, v := range p.names.Verbs {
		s.VerbLatencies[v.Name] = learned.VerbLatencies[i]
	}
	for _, b := range p.backends.byName {
		if weight, ok := learned.BackendWeights[b.id]; ok {
			s.BackendWeights[b.name] = weight
		}
	}
	list, ages := state.Endpoints, state.StartAges
	requests := maintenance{maps.Clone(p.maintenance.Cordoned), maps.Clone(p.maintenance.Uncordoned)}
	stats.writer.Put(func() (*snapshot.State, error) {
		var errs [3]error
		s.Endpoints, errs[0] = json.Marshal(list)
		s.Maintenance, errs[1] = json.Marshal(requests)
		s.StartAges, errs[2] = json.Marshal(ages)
		return s, errors.Join(errs[:]...)
	}, saved)
}

// saveLastSnapshot saves the final state after the loop has ended.
func (p *Proxy) saveLastSnapshot() {
	if p.snapshot.writer != nil {
		p.saveSnapshot(nil)
		p.snapshot.writer.Close()
	}
}

// countEnded counts a command that has had its final answer.
func (s *snapshotState) countEnded(answered bool) {
	s.ended++
	if answered {
		s.answered++
	}
}

// trackRecovery samples the progress since the start and, once that is complete, the usual rates.
func (p *Proxy) trackRecovery() {
	stats := &p.snapshot
	lateFraction, livePeers := p.balancer.Stats()
	serving := p.canRelay() && p.acceptsClients()
	if stats.recovery.Observe(p.loop.Now(), serving, stats.answered, stats.ended, lateFraction) {
		seconds, timedOut := stats.recovery.TimeToFull()
		log.Printf("msg=full seconds=%.2f out_of_time=%t late=%.2f living=%.1f", seconds, timedOut, lateFraction, livePeers)
	}
	if stats.ended > 0 && stats.recovery.Phase() == recovery.Full {
		answeredFraction := float64(stats.answered) / float64(stats.ended)
		if stats.usualAnswered == 0 {
			stats.usualAnswered, stats.usualLate = answeredFraction, lateFraction
		}
		stats.usualAnswered += usualRateWeight * (answeredFraction - stats.usualAnswered)
		stats.usualLate += usualRateWeight * (lateFraction - stats.usualLate)
	}
	stats.answered, stats.ended = 0, 0
}

// status returns the state for the admin endpoint as one line of JSON.
func (p *Proxy) status() string {
	lateFraction, livePeers := p.balancer.Stats()
	seconds, timedOut := p.snapshot.recovery.TimeToFull()
	text, _ := json.Marshal(struct { // all values can be encoded
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
	}{p.snapshot.recovery.Phase().String(), seconds, timedOut, livePeers, p.network.PeerCount, lateFraction,
		p.snapshot.usualAnswered, p.backends.readyCount,
		len(p.commands), p.snapshot.writer != nil, p.control.Status()})
	return string(text)
}
