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
	lineMost       = 64 << 10         // bytes of a Hello or a Report
	helloTime      = 2 * time.Second  // for the Hello to come
	heartbeatTime  = 2 * time.Second  // between two lines, also where there is nothing to say
	writeTime      = 5 * time.Second  // for a proxy to take a line
	reportTime     = 10 * time.Second // for a proxy to report on an update
	bodyReaderSize = 4 << 10
)

// watch is a proxy's open request. Its session and counts are guarded by the server's lock.
type watch struct {
	server   *Server
	session  *control.Session
	sent     int // updates
	answers  int // reports on them
	out      http.ResponseWriter
	answer   *http.ResponseController
	reported chan struct{} // has room for one
	gone     chan struct{} // closed once the proxy says no more
}

// serveWatch serves a proxy until it goes, stalls or breaks the protocol, or the replica ends.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.enterWatch() {
		refuse(w, "the replica is full or ends: watch another one", http.StatusServiceUnavailable)
		return
	}
	defer s.leaveWatch()
	answer := http.NewResponseController(w)
	defer answer.SetReadDeadline(time.Now()) // net/http does not wait for the rest of the body then
	answer.SetReadDeadline(time.Now().Add(helloTime))
	input := bufio.NewReaderSize(r.Body, bodyReaderSize)
	hello, session, err := s.readHello(input)
	if err != nil {
		refuse(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer.SetReadDeadline(time.Time{})
	s.opened(session)
	defer s.closed(session)
	watch := &watch{server: s, session: session, out: w, answer: answer, reported: make(chan struct{}, 1), gone: make(chan struct{})}
	var reading sync.WaitGroup
	defer reading.Wait()
	defer answer.SetReadDeadline(time.Now())
	reading.Go(func() { watch.readReports(input) })
	if err := watch.serve(); err != nil {
		log.Printf("msg=control_watch_ended proxy=%s error=%q", hello.Identity.Proxy, err)
	}
}

func (s *Server) enterWatch() bool {
	select {
	case <-s.stop:
		return false
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches >= MaxWatches {
		return false
	}
	s.watches++
	return true
}

func (s *Server) leaveWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches--
}

// readHello reads and checks a watch's first line.
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
	hello.Protocol = min(hello.Protocol, revision.Protocol) // a newer proxy is answered as this replica can
	session, err = control.NewSession(hello)
	return hello, session, err
}

var (
	errLineTooLong = errors.New("the line is too long")
	errNoReport    = errors.New("it does not report on an update")
)

// readLine reads a line that is not empty, without its end.
func readLine(input *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		piece, err := input.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case len(line) > lineMost:
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

// readReports takes the proxy's reports until it says no more.
func (w *watch) readReports(input *bufio.Reader) {
	defer close(w.gone)
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
		w.server.reported(w, report)
		select {
		case w.reported <- struct{}{}:
		default:
		}
	}
}

// serve writes updates and heartbeats.
func (w *watch) serve() error {
	if err := w.write(nil); err != nil { // the proxy sees at once that it is taken
		return err
	}
	heartbeat := time.NewTicker(heartbeatTime)
	defer heartbeat.Stop()
	stop := w.server.stop
	var drained, overdue <-chan time.Time
	for {
		update, changed, err := w.next()
		if err != nil {
			return err
		}
		if update != nil {
			if err := w.sendUpdate(update, heartbeat); err != nil {
				return err
			}
			overdue = time.After(reportTime)
			continue
		}
		select {
		case <-changed:
		case <-w.reported:
			if w.answered() {
				overdue = nil
			}
		case <-overdue:
			return errNoReport
		case <-w.gone:
			return nil
		case <-heartbeat.C:
			if err := w.write(nil); err != nil {
				return err
			}
		case <-stop:
			stop, drained = nil, time.After(rand.N(drainTime))
		case <-drained:
			return nil
		}
	}
}

// answered tells whether the proxy has reported on all that it was sent.
func (w *watch) answered() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.answers == w.sent
}

// next gives the update to send now, if any, and a channel that is closed when there may be another.
func (w *watch) next() (*revision.Update, <-chan struct{}, error) {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	update, err := w.session.NextUpdate(w.server.node.State())
	if update != nil {
		w.sent++
	}
	var ahead *control.ReplicaBehindError
	if errors.As(err, &ahead) {
		err = nil // this replica learns of it in a moment, or is cut off
	}
	return update, w.server.changed, err
}

// sendUpdate writes an update; a whole configuration waits for its place in the replica's rate, and heartbeats go on.
func (w *watch) sendUpdate(update *revision.Update, heartbeat *time.Ticker) error {
	text, err := json.Marshal(update)
	if err != nil {
		return err
	}
	for update.Full {
		wait, ok := w.server.pace(len(text))
		if ok {
			break
		}
		select {
		case <-time.After(wait):
		case <-heartbeat.C:
			if err := w.write(nil); err != nil {
				return err
			}
		case <-w.gone:
			return io.EOF
		case <-w.server.stop:
			return nil // serve ends the watch; what was not sent, the next replica sends
		}
	}
	return w.write(text)
}

// pace says whether so many bytes of a whole configuration may leave now, or for how long to wait.
func (s *Server) pace(bytes int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.pacer.TryTake(now, bytes) {
		return 0, true
	}
	const least = time.Millisecond
	return max(least, time.Duration((s.pacer.EarliestTime(now, bytes)-now)*float64(time.Second))), false
}

// write sends one line, nil for an empty one. A proxy that does not take it in time is dropped.
func (w *watch) write(line []byte) error {
	w.answer.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := w.out.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.answer.Flush()
}
