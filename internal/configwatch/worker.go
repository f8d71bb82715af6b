package configwatch

import (
	"log"
	"slices"
	"sync"

	"sandpass/internal/revision"
)

type taskKind int

const (
	update       taskKind = iota // an update's bytes
	reread                       // look at the disk
	localChanged                 // lay what is held over the proxy's own file again
)

// task is one thing for the worker.
type task struct {
	kind taskKind
	text []byte
}

// worker is the queue of the goroutine that checks and saves.
type worker struct {
	mutex   sync.Mutex
	more    sync.Cond // there is a task, or the end
	tasks   []task
	bytes   int  // of updates in tasks
	busy    bool // with a task that is not in tasks any more
	closed  bool
	closing chan struct{}
	done    sync.WaitGroup
}

func (w *worker) init() {
	w.more.L = &w.mutex
	w.closing = make(chan struct{})
}

// put adds a task and tells whether there was room; for one that is no update there always is.
func (w *worker) put(t task) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if t.kind == update && (w.bytes+len(t.text) > waitingMost || len(w.tasks) >= tasksMost) {
		return false
	}
	w.tasks = append(w.tasks, t)
	w.bytes += len(t.text)
	w.more.Signal()
	return true
}

// take waits for a task; there is none after close.
func (w *worker) take() (t task, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.busy = false
	for len(w.tasks) == 0 && !w.closed {
		w.more.Wait()
	}
	if w.closed {
		return task{}, false
	}
	t = w.tasks[0]
	w.tasks[0] = task{} // what waits behind it must not keep its bytes
	w.tasks = w.tasks[1:]
	w.bytes -= len(t.text)
	w.busy = true
	return t, true
}

// dropUpdates forgets the updates that wait.
func (w *worker) dropUpdates() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tasks = slices.DeleteFunc(w.tasks, func(t task) bool { return t.kind == update })
	w.bytes = 0
}

func (w *worker) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.busy && len(w.tasks) == 0
}

// close ends the worker after what it does now, and waits for it.
func (w *worker) close() {
	w.mutex.Lock()
	w.closed = true
	close(w.closing)
	w.more.Signal()
	w.mutex.Unlock()
	w.done.Wait()
}

// work carries out what the follower decides, one task after another.
func (c *Client) work() {
	for {
		t, ok := c.worker.take()
		if !ok {
			return
		}
		switch t.kind {
		case update:
			c.finish(c.follower.Received(t.text))
		case reread:
			c.finish(c.reread())
		case localChanged:
			c.reload()
		}
	}
}

// reload goes by the proxy's own file, which has changed. What is saved and did not fit the file before may fit it now.
func (c *Client) reload() {
	before := c.follower.InForce().Revision
	c.finish(c.reread())
	if c.follower.InForce().Revision == before {
		c.finish(c.follower.LocalChanged())
	}
}

func (c *Client) reread() Decision {
	if c.config.Folder == "" {
		return Decision{}
	}
	saved, err := c.file().load()
	if err != nil {
		log.Printf("msg=config_not_read error=%q", err)
		return Decision{}
	}
	return c.follower.Loaded(saved)
}

// finish takes the steps that a task leads to, and tells how it ended.
func (c *Client) finish(outcome Decision) {
	var laid ReloadableConfig
	for outcome.Step != Idle {
		var err error
		switch outcome.Step {
		case Check:
			laid, err = c.check(outcome.Candidate)
			outcome = c.follower.Checked(err)
		case Save:
			outcome = c.follower.Saved(c.file().save(outcome.Candidate))
		case Apply:
			outcome = c.follower.Applied(c.takeOverOnLoop(outcome.Candidate.Revision, laid))
		}
	}
	var refused *revision.Report
	if outcome.Report != nil && outcome.Report.Verdict != revision.InForce {
		refused = outcome.Report
	}
	c.publish(refused)
	c.tell(outcome)
}

// takeOverOnLoop has the loop take a configuration over and waits for it.
func (c *Client) takeOverOnLoop(number revision.Number, laid ReloadableConfig) error {
	done := make(chan error, 1)
	inForce := c.follower.InForce().Revision
	c.onLoop(func() {
		if c.paused && number > inForce {
			done <- errPaused
			return
		}
		err := c.takeOver(laid)
		if err == nil && number > inForce {
			c.since = c.loop.Now()
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

// tell reports to the replica and in the log.
func (c *Client) tell(outcome Decision) {
	if outcome.LocalError != nil {
		log.Printf("msg=reload_not_taken error=%q", outcome.LocalError)
	}
	report := outcome.Report
	if report == nil {
		return
	}
	if report.Verdict == revision.InForce {
		log.Printf("msg=config_in_force revision=%d checksum=%.12s", report.Revision, report.Checksum)
	} else {
		log.Printf("msg=config_not_taken revision=%d verdict=%s error=%q", report.Revision, report.Verdict, report.Reason)
	}
	c.onLoop(func() {
		if !c.opened {
			return
		}
		c.watch.Send(encode(report))
		if outcome.ReconnectReason != nil && c.watch.Connected() {
			c.watch.Reconnect(outcome.ReconnectReason)
			c.worker.dropUpdates()
		}
	})
}

// calls are what the worker wants done on the loop.
type calls struct {
	mutex sync.Mutex
	all   []func()
}

// onLoop has f called on the loop in its next turn.
func (c *Client) onLoop(f func()) {
	c.calls.mutex.Lock()
	c.calls.all = append(c.calls.all, f)
	c.calls.mutex.Unlock()
	c.loop.WakeUp()
}

func (c *calls) run() {
	c.mutex.Lock()
	all := c.all
	c.all = nil
	c.mutex.Unlock()
	for _, f := range all {
		f()
	}
}
