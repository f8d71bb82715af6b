package controlserver

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/revision"
)

const (
	maxLineBytes      = 64 << 10         // of a Hello or a Report
	helloTimeout      = 2 * time.Second  // for the Hello to be received
	heartbeatInterval = 2 * time.Second  // between two empty lines, sent also when there are no updates
	writeTimeout      = 5 * time.Second  // for a proxy to receive a line
	reportTimeout     = 10 * time.Second // for a proxy to report on an update
	readBufferBytes   = 4 << 10
)

// watch is a proxy's open request, over which it receives updates. Its session and counters are guarded by the server's
// lock.
type watch struct {
	server          *Server
	session         *control.Session
	updatesSent     int // updates sent to the proxy
	reportsReceived int // reports received on them
	writer          http.ResponseWriter
	controller      *http.ResponseController
	reported        chan struct{} // signals a report; buffer of one
	proxyGone       chan struct{} // closed once no more reports can be read
}

// serveWatch serves a proxy until it disconnects, stalls or violates the protocol, or the replica stops.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.acquireWatchSlot() {
		refuse(w, "the replica has too many watches or is stopping: watch another replica", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseWatchSlot()
	controller := http.NewResponseController(w)
	defer controller.SetReadDeadline(time.Now()) // so that net/http does not wait for the rest of the body
	controller.SetReadDeadline(time.Now().Add(helloTimeout))
	input := bufio.NewReaderSize(r.Body, readBufferBytes)
	hello, session, err := s.readHello(input)
	if err != nil {
		refuse(w, err.Error(), http.StatusBadRequest)
		return
	}
	controller.SetReadDeadline(time.Time{})
	s.sessionOpened(session)
	defer s.sessionClosed(session)
	watch := &watch{server: s, session: session, writer: w, controller: controller,
		reported: make(chan struct{}, 1), proxyGone: make(chan struct{})}
	var reader sync.WaitGroup
	defer reader.Wait()
	defer controller.SetReadDeadline(time.Now())
	reader.Go(func() { watch.readReports(input) })
	if err := watch.serve(); err != nil {
		log.Printf("msg=control_watch_ended proxy=%s error=%q", hello.Identity.Proxy, err)
	}
}

// acquireWatchSlot counts a new watch. It returns false if the limit is reached or the replica is stopping.
func (s *Server) acquireWatchSlot() bool {
	select {
	case <-s.stop:
		return false
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchCount >= MaxWatches {
		return false
	}
	s.watchCount++
	return true
}

// releaseWatchSlot uncounts a watch that has ended.
func (s *Server) releaseWatchSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchCount--
}

// readHello reads and checks the first line of a watch, and creates its session.
func (s *Server) readHello(input *bufio.Reader) (hello revision.Hello, session *control.Session, err error) {
	line, err := readLine(input)
	if err != nil {
		return hello, nil, fmt.Errorf("hello: %w", err)
	}
	if err := json.Unmarshal(line, &hello); err != nil {
		return hello, nil, fmt.Errorf("hello: %w", err)
	}
	if hello.Identity.Fleet != s.config.Fleet {
		return hello, nil, &control.FleetMismatchError{Fleet: fmt.Sprintf("%.128s", hello.Identity.Fleet), Want: s.config.Fleet}
	}
	hello.Protocol = min(hello.Protocol, revision.Protocol) // a proxy with a newer protocol is served with this replica's version
	session, err = control.NewSession(hello)
	return hello, session, err
}

var (
	errLineTooLong   = errors.New("the line is too long")
	errReportTimeout = errors.New("the proxy did not report on an update in time")
)

// readLine reads the next line that is not empty and returns it without its newline.
func readLine(input *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := input.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > maxLineBytes:
			return nil, errLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return nil, err
		case len(line) > 1:
			return line[:len(line)-1], nil
		default:
			line = line[:0]
		}
	}
}

// readReports reads the proxy's reports until its side of the request ends or a report is malformed.
func (w *watch) readReports(input *bufio.Reader) {
	defer close(w.proxyGone)
	for {
		line, err := readLine(input)
		if err != nil {
			return
		}
		var report revision.Report
		if err := json.Unmarshal(line, &report); err != nil {
			log.Printf("msg=control_bad_report proxy=%s error=%q", w.session.Identity().Proxy, err)
			return
		}
		w.server.handleReport(w, report)
		select {
		case w.reported <- struct{}{}:
		default:
		}
	}
}

// serve writes updates and heartbeats until the watch ends.
func (w *watch) serve() error {
	if err := w.writeLine(nil); err != nil { // tells the proxy at once that the watch was accepted
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	stop := w.server.stop
	var drainDeadline, reportDeadline <-chan time.Time
	for {
		update, changed, err := w.nextUpdate()
		if err != nil {
			return err
		}
		if update != nil {
			if err := w.sendUpdate(update, heartbeat); err != nil {
				return err
			}
			reportDeadline = time.After(reportTimeout)
			continue
		}
		select {
		case <-changed:
		case <-w.reported:
			if w.allReported() {
				reportDeadline = nil
			}
		case <-reportDeadline:
			return errReportTimeout
		case <-w.proxyGone:
			return nil
		case <-heartbeat.C:
			if err := w.writeLine(nil); err != nil {
				return err
			}
		case <-stop:
			stop, drainDeadline = nil, time.After(rand.N(drainDuration))
		case <-drainDeadline:
			return nil
		}
	}
}

// allReported reports whether the proxy has sent a report on every update that it got.
func (w *watch) allReported() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.reportsReceived == w.updatesSent
}

// nextUpdate returns the update to send now, if any, and a channel that is closed when there may be another.
func (w *watch) nextUpdate() (*revision.Update, <-chan struct{}, error) {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	update, err := w.session.NextUpdate(w.server.node.State())
	if update != nil {
		w.updatesSent++
	}
	var behind *control.ReplicaBehindError
	if errors.As(err, &behind) {
		err = nil // the proxy has a revision that this replica has not received yet, or cannot because it is disconnected
	}
	return update, w.server.stateChanged, err
}

// sendUpdate writes an update. A full configuration waits for the replica's rate limit while heartbeats continue.
func (w *watch) sendUpdate(update *revision.Update, heartbeat *time.Ticker) error {
	text, err := json.Marshal(update)
	if err != nil {
		return err
	}
	for update.Full {
		wait, ok := w.server.reserveFullUpdate(len(text))
		if ok {
			break
		}
		select {
		case <-time.After(wait):
		case <-heartbeat.C:
			if err := w.writeLine(nil); err != nil {
				return err
			}
		case <-w.proxyGone:
			return io.EOF
		case <-w.server.stop:
			return nil // serve ends the watch; the proxy gets the update from its next replica
		}
	}
	return w.writeLine(text)
}

// reserveFullUpdate takes size bytes from the rate limit for full configurations. If that is not possible yet, it returns
// how long to wait, and false.
func (s *Server) reserveFullUpdate(size int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.monotonicSeconds()
	if s.fullUpdateLimiter.TryTake(now, size) {
		return 0, true
	}
	const minWait = time.Millisecond
	return max(minWait, time.Duration((s.fullUpdateLimiter.EarliestTime(now, size)-now)*float64(time.Second))), false
}

// writeLine sends one line; nil sends an empty one. It fails if the proxy does not receive the line within writeTimeout.
func (w *watch) writeLine(line []byte) error {
	w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.writer.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.controller.Flush()
}
