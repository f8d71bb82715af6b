// Package controlserver is the I/O of a control replica: its storage, the messages between replicas, the proxies' watches
// and the operators' API. What a replica decides is internal/control's.
//
// One goroutine drives the consensus core; all else takes the server's lock for short looks at it. A replica whose storage
// fails takes part in nothing any more and ends with an error: what it could not save it must never acknowledge.
package controlserver

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/revision"
)

const (
	// WatchesMost is how many proxies may watch one replica.
	MaxWatches = 4096
	// WholeBytesRate is how many bytes a second of whole configurations a replica sends, over all its watches.
	FullUpdateBytesPerSecond = 8 << 20
	// WholeBytesBurst is how many of them it sends at once after a pause.
	FullUpdateBurstBytes = 2 << 20

	connectionsMost = MaxWatches + 512
	headerMost      = 16 << 10         // bytes of a request's header
	headerTime      = 5 * time.Second  // for a request's header to come
	bodyTime        = 10 * time.Second // for a request's body to come
	answerTime      = 20 * time.Second // for an answer to be made and taken
	idleTime        = 60 * time.Second // of a connection between requests
	peerDeadTime    = 10 * time.Second // for sent bytes to be acknowledged by the other machine
	drainTime       = 2 * time.Second  // over which the watches are closed at the end
	stopTime        = 4 * time.Second  // for all requests to end
)

// Server is one control replica.
type Server struct {
	config    *Config
	id        uint64
	peers     map[uint64]Peer // by identifier, this replica too
	storage   Storage
	check     control.ConfigChecker
	listener  net.Listener
	http      *http.Server
	transport *transport
	started   time.Time

	mu       sync.Mutex // guards what follows
	node     *control.Node
	view     *control.FleetView
	guard    *control.CanaryController
	pacer    *control.TokenBucket
	changed  chan struct{}                   // closed at each change of the state
	outcomes map[string]chan control.Outcome // of commands that were proposed here, by ID
	reads    map[string]chan struct{}        // of linearizable reads, by context
	dirty    map[string]bool                 // proxies whose status the leader has yet to learn
	open     map[string]*control.Session     // the newest watch here of each proxy
	watches  int
	leading  bool      // as of the last look
	led      time.Time // when a leader was last known
	joining  bool      // it does not vote yet
	logged   bool      // there was ever an entry in its log
	yielded  time.Time // when it last left the lead to another
	told     uint64    // the leader that has all statuses of this replica's proxies, 0 for none

	wake     chan struct{} // the core has work, or a report came
	failed   chan error    // the first error that the replica can't go on with
	stop     chan struct{} // closed at the end
	stopOnce sync.Once
}

// New opens a replica's storage and its address. Run is to follow.
func New(config *Config) (*Server, error) {
	check, err := newChecker(config.CheckBase)
	if err != nil {
		return nil, err
	}
	storage, err := OpenStorage(config.Folder, config.Fleet, config.Name)
	if err != nil {
		return nil, err
	}
	server, err := newServer(config, storage, check)
	if err != nil {
		storage.Close()
	}
	return server, err
}

// newServer makes a replica on a storage.
func newServer(config *Config, storage Storage, check control.ConfigChecker) (*Server, error) {
	s := &Server{config: config, id: replicaID(config.Fleet, config.Name), peers: map[uint64]Peer{}, storage: storage, check: check,
		started: time.Now(), led: time.Now(), view: control.NewFleetView(), guard: control.NewCanaryController(control.CanaryConfig{}),
		pacer: control.NewTokenBucket(FullUpdateBytesPerSecond, FullUpdateBurstBytes), changed: make(chan struct{}),
		outcomes: map[string]chan control.Outcome{}, reads: map[string]chan struct{}{}, dirty: map[string]bool{},
		open: map[string]*control.Session{},
		wake: make(chan struct{}, 1), failed: make(chan error, 1), stop: make(chan struct{})}
	var ids []uint64
	for _, peer := range config.Replicas {
		id := replicaID(config.Fleet, peer.Name)
		s.peers[id] = peer
		ids = append(ids, id)
	}
	persisted, err := storage.Load()
	if err != nil {
		return nil, err
	}
	s.joining = mustJoin(config.Folder)
	s.logged = len(persisted.Entries) > 0 || persisted.Snapshot != nil
	if s.node, err = startNode(control.NodeConfig{ID: s.id, Peers: ids, Fleet: config.Fleet, Persisted: persisted}); err != nil {
		return nil, err
	}
	if len(ids) == 1 { // nobody else's vote is to be awaited
		if err := s.node.Campaign(); err != nil {
			return nil, err
		}
	}
	listen := net.ListenConfig{Control: dropDeadPeers}
	listener, err := listen.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = boundListener(listener, connectionsMost)
	s.transport = newTransport(s)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerMost}
	return s, nil
}

// startNode starts the core; a record that it can't go on from is an error.
func startNode(config control.NodeConfig) (node *control.Node, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("the saved log does not fit together: %v", fault)
		}
	}()
	return control.NewNode(config)
}

// dropDeadPeers ends connections to machines that acknowledge nothing for some time; connections inherit it.
func dropDeadPeers(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerDeadTime.Milliseconds()))
	})
	return errors.Join(err, failure)
}

func (s *Server) routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+revision.WatchPath, s.serveWatch)
	routes.HandleFunc("POST "+raftPath, s.serveRaft)
	routes.HandleFunc("POST "+reportsPath, s.serveReports)
	routes.HandleFunc("POST "+forwardPath, s.serveForward)
	routes.HandleFunc("POST "+joinPath, s.serveJoin)
	routes.HandleFunc("POST "+controlapi.ApplyPath, s.serveApply)
	routes.HandleFunc("POST "+controlapi.DiffPath, s.serveDiff)
	routes.HandleFunc("GET "+controlapi.HistoryPath, s.serveHistory)
	routes.HandleFunc("GET "+controlapi.ShowPath, s.serveShow)
	routes.HandleFunc("GET "+controlapi.StatusPath, s.serveStatus)
	return boundTime(routes)
}

// boundTime bounds how long a request's body may take to come and its answer to be taken; the handlers whose requests
// stay open set bounds of their own. A request that is refused before it was read is not read to its end.
func boundTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := http.NewResponseController(w)
		if err := answer.EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		answer.SetReadDeadline(time.Now().Add(bodyTime))
		answer.SetWriteDeadline(time.Now().Add(answerTime))
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request whose body stays open, and reads no more of it.
func refuse(w http.ResponseWriter, reason string, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
	answer := http.NewResponseController(w)
	answer.Flush()
	answer.SetReadDeadline(time.Now())
}

// Address is where the replica listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop has Run end; the watches are closed spread over some time, so that their proxies move to other replicas.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// Run serves until Stop, which gives nil, or until an error that the replica can't go on with.
func (s *Server) Run() error {
	log.Printf("msg=control_serves fleet=%s replica=%s address=%s replicas=%d", s.config.Fleet, s.config.Name,
		s.Address(), len(s.peers))
	driven, served := make(chan error, 1), make(chan error, 1)
	ended := make(chan struct{})
	go func() { driven <- s.drive(ended) }()
	go func() { served <- s.http.Serve(s.listener) }()
	go s.sendReports(ended)
	if s.joining {
		go s.join(ended)
	}
	s.transport.start()
	var err error
	driving := true
	select {
	case <-s.stop:
	case err = <-driven:
		driving = false
	case err = <-served:
	case err = <-s.failed:
	}
	s.Stop()
	s.transport.stop() // the others elect a new leader meanwhile
	if err == nil {
		s.shutdown()
	}
	s.http.Close()
	close(ended)
	if driving {
		<-driven
	}
	return errors.Join(err, s.storage.Close())
}

// shutdown waits for the requests to end, the watches among them.
func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		log.Printf("msg=control_requests_cut error=%q", err)
	}
}

// fail ends the replica with an error.
func (s *Server) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

// now is a steady clock, in seconds.
func (s *Server) now() float64 { return time.Since(s.started).Seconds() }

// rouse has the driver look for work.
func (s *Server) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// leader names the leader as far as it is known here; the second result says whether it is this replica.
func (s *Server) leader() (peer Peer, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.node.Leader()], s.node.IsLeader()
}

// catchPanic turns a panic of the core, which a log that contradicts the other replicas' brings about, into an error.
func catchPanic(err *error) {
	if fault := recover(); fault != nil {
		log.Printf("msg=control_panic stack=%q", debug.Stack())
		*err = fmt.Errorf("the consensus core can't go on: %v", fault)
	}
}
