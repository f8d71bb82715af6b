package controlserver

import (
	"fmt"
	"log"
	"time"

	"sandpass/internal/control"
)

// drive passes time and work to the consensus core until the end.
func (s *Server) drive(ended <-chan struct{}) error {
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
		if err := s.work(); err != nil {
			return err
		}
	}
}

// tick passes time to the core and looks whether the leader has changed.
func (s *Server) tick() {
	silent := s.transport.silentReplicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joining && !s.silent() {
		s.node.Tick()
	}
	now := time.Now()
	if s.node.Leader() != 0 {
		s.led = now
	}
	if leading := s.node.IsLeader(); leading != s.leading {
		s.leading = leading
		log.Printf("msg=control_leading leads=%t term=%d", leading, s.node.Term())
		if leading {
			s.guard.ResetFromFleet(s.now(), s.view)
		}
	}
	if s.leading {
		for _, name := range silent {
			s.view.RecordReplicaLost(now, name)
		}
	}
	s.view.RemoveExpired(now)
}

// proposeDue proposes what follows from the proxies' reports, on the leader.
func (s *Server) proposeDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.node.IsLeader() {
		return
	}
	for _, command := range s.guard.PendingCommands(s.now(), s.node.State()) {
		if err := s.node.Propose(command); err != nil {
			log.Printf("msg=control_guard_not_proposed error=%q", err)
		}
	}
}

// work saves, sends and carries out what the core has ready. Nothing is sent before it is saved.
func (s *Server) work() (err error) {
	defer catchPanic(&err)
	for {
		work, any := s.ready()
		if !any {
			return nil
		}
		if err := s.storage.Save(work); err != nil {
			return fmt.Errorf("nothing can be saved, the replica takes part no more: %w", err)
		}
		s.sendUnlessSilent(work)
		if err := s.advance(work); err != nil {
			return err
		}
	}
}

// sendUnlessSilent sends a work's messages, which are saved.
func (s *Server) sendUnlessSilent(work control.Work) {
	s.mu.Lock()
	silent := s.silent()
	s.logged = s.logged || len(work.Entries) > 0 || work.Snapshot != nil
	s.mu.Unlock()
	if !silent {
		s.transport.send(work.Messages)
	}
}

func (s *Server) ready() (control.Work, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Ready()
}

// advance carries out a work's commands and tells who waits for them.
func (s *Server) advance(work control.Work) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress, err := s.node.Advance(work)
	if err != nil {
		return err
	}
	for _, applied := range progress.Applied {
		s.resolve(applied.Command.ID, applied.Outcome)
	}
	for _, id := range progress.Undecided {
		s.resolve(id, control.Outcome{Err: errUndecided})
	}
	for _, context := range progress.ReadContexts {
		if read := s.reads[string(context)]; read != nil {
			close(read)
			delete(s.reads, string(context))
		}
	}
	if len(progress.Applied) > 0 || progress.StateReplaced {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return nil
}

// resolve tells the outcome of a command to who waits for it.
func (s *Server) resolve(id string, outcome control.Outcome) {
	if waiting := s.outcomes[id]; waiting != nil {
		waiting <- outcome // it has room for one
		delete(s.outcomes, id)
	}
}
