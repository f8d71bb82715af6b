package controlserver

import (
	"fmt"
	"log"
	"time"

	"sandpass/internal/control"
)

// runNode drives the consensus core with ticks and processes its output, until ended is closed.
func (s *Server) runNode(ended <-chan struct{}) error {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return nil
		case <-ticker.C:
			s.tick()
		case <-s.wake:
		}
		s.proposeDue()
		if err := s.processReady(); err != nil {
			return err
		}
	}
}

// tick advances the core's clock and detects whether this replica became or ceased to be the leader. On the leader it
// records the watches of lost replicas as closed.
func (s *Server) tick() {
	goneReplicas := s.transport.goneReplicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joining && !s.yielding() {
		s.node.Tick()
	}
	now := time.Now()
	if s.node.Leader() != 0 {
		s.leaderLastKnown = now
	}
	if leading := s.node.IsLeader(); leading != s.wasLeader {
		s.wasLeader = leading
		log.Printf("msg=control_leading leads=%t term=%d", leading, s.node.Term())
		if leading {
			s.canaryController.ResetFromFleet(s.monotonicSeconds(), s.view)
		}
	}
	if s.wasLeader {
		for _, name := range goneReplicas {
			s.view.RecordReplicaLost(now, name)
		}
	}
	s.view.RemoveExpired(now)
}

// proposeDue proposes, on the leader, the commands that the canary controller derives from the proxies' reports.
func (s *Server) proposeDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.node.IsLeader() {
		return
	}
	for _, command := range s.canaryController.PendingCommands(s.monotonicSeconds(), s.node.State()) {
		if err := s.node.Propose(command); err != nil {
			log.Printf("msg=control_guard_not_proposed error=%q", err)
		}
	}
}

// processReady saves, sends and applies what the core has ready. Nothing is sent before it is saved.
func (s *Server) processReady() (err error) {
	defer recoverPanic(&err)
	for {
		work, hasWork := s.ready()
		if !hasWork {
			return nil
		}
		if err := s.storage.Save(work); err != nil {
			return fmt.Errorf("saving to storage failed, the replica stops: %w", err)
		}
		s.sendUnlessYielding(work)
		if err := s.advance(work); err != nil {
			return err
		}
	}
}

// sendUnlessYielding sends the messages of work, whose records are already saved. A yielding replica drops them. It also
// updates everLogged.
func (s *Server) sendUnlessYielding(work control.Work) {
	s.mu.Lock()
	yielding := s.yielding()
	s.everLogged = s.everLogged || len(work.Entries) > 0 || work.Snapshot != nil
	s.mu.Unlock()
	if !yielding {
		s.transport.send(work.Messages)
	}
}

// ready returns the work that the core has ready, if any.
func (s *Server) ready() (control.Work, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Ready()
}

// advance applies the committed commands of work, and notifies the requests and watches that wait for them.
func (s *Server) advance(work control.Work) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress, err := s.node.Advance(work)
	if err != nil {
		return err
	}
	for _, applied := range progress.Applied {
		s.deliverOutcome(applied.Command.ID, applied.Outcome)
	}
	for _, id := range progress.Undecided {
		s.deliverOutcome(id, control.Outcome{Err: errUndecided})
	}
	for _, readContext := range progress.ReadContexts {
		if read := s.pendingReads[string(readContext)]; read != nil {
			close(read)
			delete(s.pendingReads, string(readContext))
		}
	}
	if len(progress.Applied) > 0 || progress.StateReplaced {
		close(s.stateChanged)
		s.stateChanged = make(chan struct{})
	}
	return nil
}

// deliverOutcome sends the outcome of a command to the request that waits for it, if any.
func (s *Server) deliverOutcome(id string, outcome control.Outcome) {
	if waiter := s.outcomeWaiters[id]; waiter != nil {
		waiter <- outcome // never blocks: the channel has a buffer of one
		delete(s.outcomeWaiters, id)
	}
}
