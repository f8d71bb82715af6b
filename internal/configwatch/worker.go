package configwatch

import (
	"log"
	"slices"
	"sync"

	"sandpass/internal/revision"
)

// taskKind is the kind of work that a task asks for.
type taskKind int

const (
	updateTask       taskKind = iota // process the bytes of an update
	reloadSavedTask                  // load the saved configuration
	localChangedTask                 // overlay the configuration onto the proxy's own file again
)

// task is one item of the worker's queue.
type task struct {
	kind taskKind
	text []byte
}

// worker is the queue of the goroutine that checks and saves configurations.
type worker struct {
	mutex       sync.Mutex
	wake        sync.Cond // signals a new task, or close
	tasks       []task
	queuedBytes int  // of queued updates
	busy        bool // a dequeued task is being processed
	closed      bool
	closing     chan struct{}
	done        sync.WaitGroup
}

// init prepares the zero value.
func (w *worker) init() {
	w.wake.L = &w.mutex
	w.closing = make(chan struct{})
}

// enqueue adds a task and reports whether the queue had space. Only updates are limited.
func (w *worker) enqueue(t task) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if t.kind == updateTask && (w.queuedBytes+len(t.text) > maxQueuedBytes || len(w.tasks) >= maxQueuedUpdates) {
		return false
	}
	w.tasks = append(w.tasks, t)
	w.queuedBytes += len(t.text)
	w.wake.Signal()
	return true
}

// dequeue waits for a task; ok is false after close.
func (w *worker) dequeue() (t task, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.busy = false
	for len(w.tasks) == 0 && !w.closed {
		w.wake.Wait()
	}
	if w.closed {
		return task{}, false
	}
	t = w.tasks[0]
	w.tasks[0] = task{} // releases the bytes while later tasks wait
	w.tasks = w.tasks[1:]
	w.queuedBytes -= len(t.text)
	w.busy = true
	return t, true
}

// dropUpdates removes the queued updates.
func (w *worker) dropUpdates() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tasks = slices.DeleteFunc(w.tasks, func(t task) bool { return t.kind == updateTask })
	w.queuedBytes = 0
}

// idle reports whether no task is queued or being processed.
func (w *worker) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.busy && len(w.tasks) == 0
}

// close ends the worker after its current task, and waits for it.
func (w *worker) close() {
	w.mutex.Lock()
	w.closed = true
	close(w.closing)
	w.wake.Signal()
	w.mutex.Unlock()
	w.done.Wait()
}

// runWorker processes the tasks in order.
func (c *Client) runWorker() {
	for {
		t, ok := c.worker.dequeue()
		if !ok {
			return
		}
		switch t.kind {
		case updateTask:
			c.runSteps(c.machine.Received(t.text))
		case reloadSavedTask:
			c.runSteps(c.loadSaved())
		case localChangedTask:
			c.handleLocalChange()
		}
	}
}

// handleLocalChange overlays the configuration onto the proxy's own file after that has changed. A saved configuration that
// failed its check with the old file may pass with the new one, so it is tried first.
func (c *Client) handleLocalChange() {
	before := c.machine.InForce().Revision
	c.runSteps(c.loadSaved())
	if c.machine.InForce().Revision == before {
		c.runSteps(c.machine.LocalChanged())
	}
}

// loadSaved loads the saved configuration, if there is a state folder.
func (c *Client) loadSaved() Decision {
	if c.config.Folder == "" {
		return Decision{}
	}
	saved, err := c.file().load()
	if err != nil {
		log.Printf("msg=config_not_read error=%q", err)
		return Decision{}
	}
	return c.machine.Loaded(saved)
}

// runSteps executes the steps of a task and reports the result.
func (c *Client) runSteps(decision Decision) {
	var overlaid ReloadableConfig
	for decision.Step != Idle {
		var err error
		switch decision.Step {
		case Check:
			overlaid, err = c.check(decision.Candidate)
			decision = c.machine.Checked(err)
		case Save:
			decision = c.machine.Saved(c.file().save(decision.Candidate))
		case Apply:
			decision = c.machine.Applied(c.applyOnLoop(decision.Candidate.Revision, overlaid))
		}
	}
	var refused *revision.Report
	if decision.Report != nil && decision.Report.Verdict != revision.InForce {
		refused = decision.Report
	}
	c.publish(refused)
	c.reportDecision(decision)
}

// applyOnLoop applies a configuration on the loop and waits for the result.
func (c *Client) applyOnLoop(number revision.Number, overlaid ReloadableConfig) error {
	done := make(chan error, 1)
	inForce := c.machine.InForce().Revision
	c.callOnLoop(func() {
		if c.paused && number > inForce {
			done <- errPaused
			return
		}
		err := c.apply(overlaid)
		if err == nil && number > inForce {
			c.appliedAt = c.loop.Now()
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-c.worker.closing:
		return errClosed
	}
}

// reportDecision reports a result to the replica and logs it.
func (c *Client) reportDecision(decision Decision) {
	if decision.LocalError != nil {
		log.Printf("msg=reload_not_taken error=%q", decision.LocalError)
	}
	report := decision.Report
	if report == nil {
		return
	}
	if report.Verdict == revision.InForce {
		log.Printf("msg=config_in_force revision=%d checksum=%.12s", report.Revision, report.Checksum)
	} else {
		log.Printf("msg=config_not_taken revision=%d verdict=%s error=%q", report.Revision, report.Verdict, report.Reason)
	}
	c.callOnLoop(func() {
		if !c.opened {
			return
		}
		c.watch.Send(encode(report))
		if decision.ReconnectReason != nil && c.watch.Connected() {
			c.watch.Reconnect(decision.ReconnectReason)
			c.worker.dropUpdates()
		}
	})
}

// callQueue holds functions to run on the loop.
type callQueue struct {
	mutex   sync.Mutex
	pending []func()
}

// callOnLoop queues f for the loop's next iteration.
func (c *Client) callOnLoop(f func()) {
	c.calls.mutex.Lock()
	c.calls.pending = append(c.calls.pending, f)
	c.calls.mutex.Unlock()
	c.loop.WakeUp()
}

// run calls the queued functions in order.
func (c *callQueue) run() {
	c.mutex.Lock()
	pending := c.pending
	c.pending = nil
	c.mutex.Unlock()
	for _, f := range pending {
		f()
	}
}
