// Package controlserver does the I/O of a control replica: its storage, the messages between replicas, the proxies'
// watches and the operators' API. Package control makes the replica's decisions.
//
// One goroutine drives the consensus core. All other goroutines take the server's lock for short accesses to it. A replica
// whose storage fails stops with an error, because it must never acknowledge what it could not save.
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
	// MaxWatches is the largest number of proxies that watch one replica.
	MaxWatches = 4096
	// FullUpdateBytesPerSecond limits the rate of full configurations that a replica sends, over all its watches.
	FullUpdateBytesPerSecond = 8 << 20
	// FullUpdateBurstBytes is how many bytes of full configurations a replica may send at once after a pause.
	FullUpdateBurstBytes = 2 << 20

	maxConnections  = MaxWatches + 512
	maxHeaderBytes  = 16 << 10         // of a request
	headerTimeout   = 5 * time.Second  // for a request's header to be received
	bodyTimeout     = 10 * time.Second // for a request's body to be received
	responseTimeout = 20 * time.Second // for a response to be computed and received
	idleTimeout     = 60 * time.Second // of a connection between requests
	tcpUserTimeout  = 10 * time.Second // for sent bytes to be acknowledged by the other host
	drainDuration   = 2 * time.Second  // over which a stopping replica spreads the closing of its watches
	shutdownTimeout = 4 * time.Second  // for all requests to end after Stop
)

// Server is one control replica.
type Server struct {
	config    *Config
	id        uint64
	peers     map[uint64]Peer // by identifier, including this replica
	storage   Storage
	check     control.ConfigChecker
	listener  net.Listener
	http      *http.Server
	transport *transport
	started   time.Time

	mu                sync.Mutex // guards the fields below, up to wake
	node              *control.Node
	view              *control.FleetView
	canaryController  *control.CanaryController
	fullUpdateLimiter *control.TokenBucket
	stateChanged      chan struct{}                   // closed and replaced at each change of the replicated state
	outcomeWaiters    map[string]chan control.Outcome // of commands that were proposed at this replica, by ID
	pendingReads      map[string]chan struct{}        // linearizable reads that are not confirmed yet, by context
	unsentStatuses    map[string]bool                 // proxies whose status has yet to be sent to the leader
	openSessions      map[string]*control.Session     // each proxy's newest watch at this replica
	watchCount        int
	wasLeader         bool      // whether this replica led at the last tick
	leaderLastKnown   time.Time // when a leader was last known
	joining           bool      // the replica does not vote yet
	everLogged        bool      // the replica's log had an entry at some time
	lastYield         time.Time // when the replica last yielded as a leader
	syncedLeader      uint64    // the leader that gets only changed statuses of this replica's proxies, 0 for none

	wake        chan struct{} // wakes runNode: the core has work, or a report arrived
	fatalErrors chan error    // the first fatal error
	stop        chan struct{} // closed by Stop
	stopOnce    sync.Once
}

// New opens a replica's storage and listens on its address. Run must be called next.
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

// newServer creates a replica with an open storage and a checker.
func newServer(config *Config, storage Storage, check control.ConfigChecker) (*Server, error) {
	s := &Server{config: config, id: replicaID(config.Fleet, config.Name), peers: map[uint64]Peer{}, storage: storage, check: check,
		started: time.Now(), leaderLastKnown: time.Now(), view: control.NewFleetView(),
		canaryController:  control.NewCanaryController(control.CanaryConfig{}),
		fullUpdateLimiter: control.NewTokenBucket(FullUpdateBytesPerSecond, FullUpdateBurstBytes), stateChanged: make(chan struct{}),
		outcomeWaiters: map[string]chan control.Outcome{}, pendingReads: map[string]chan struct{}{}, unsentStatuses: map[string]bool{},
		openSessions: map[string]*control.Session{},
		wake:         make(chan struct{}, 1), fatalErrors: make(chan error, 1), stop: make(chan struct{})}
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
	s.everLogged = len(persisted.Entries) > 0 || persisted.Snapshot != nil
	if s.node, err = startNode(control.NodeConfig{ID: s.id, Peers: ids, Fleet: config.Fleet, Persisted: persisted}); err != nil {
		return nil, err
	}
	if len(ids) == 1 { // there are no other votes to wait for
		if err := s.node.Campaign(); err != nil {
			return nil, err
		}
	}
	listen := net.ListenConfig{Control: setTCPUserTimeout}
	listener, err := listen.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = newLimitListener(listener, maxConnections)
	s.transport = newTransport(s)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	return s, nil
}

// startNode starts the core. A panic of the core because of inconsistent records is returned as an error.
func startNode(config control.NodeConfig) (node *control.Node, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("the stored log is inconsistent: %v", recovered)
		}
	}()
	return control.NewNode(config)
}

// setTCPUserTimeout makes the kernel close connections whose sent bytes are not acknowledged for tcpUserTimeout. Accepted
// connections inherit the option from the listener.
func setTCPUserTimeout(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// routes returns the handler of all paths.
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
	return withDeadlines(routes)
}

// withDeadlines sets deadlines for receiving a request's body and for sending the response. Handlers whose requests stay
// open set their own deadlines. With full duplex enabled, a request that is refused before its body was read is not read
// to its end.
func withDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if err := controller.EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		controller.SetWriteDeadline(time.Now().Add(responseTimeout))
		next.ServeHTTP(w, r)
	})
}

// refuse sends an error response to a request whose body stays open, and stops reading the body.
func refuse(w http.ResponseWriter, reason string, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
	controller := http.NewResponseController(w)
	controller.Flush()
	controller.SetReadDeadline(time.Now())
}

// Address returns the address that the replica listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop makes Run return. The closing of the watches is spread over drainDuration, so that their proxies do not all move to
// other replicas at once.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// Run serves until Stop is called, and then returns nil, or until a fatal error, which it returns.
func (s *Server) Run() error {
	log.Printf("msg=control_serves fleet=%s replica=%s address=%s replicas=%d", s.config.Fleet, s.config.Name,
		s.Address(), len(s.peers))
	nodeDone, serveDone := make(chan error, 1), make(chan error, 1)
	ended := make(chan struct{})
	go func() { nodeDone <- s.runNode(ended) }()
	go func() { serveDone <- s.http.Serve(s.listener) }()
	go s.sendReports(ended)
	if s.joining {
		go s.join(ended)
	}
	s.transport.start()
	var err error
	nodeRunning := true
	select {
	case <-s.stop:
	case err = <-nodeDone:
		nodeRunning = false
	case err = <-serveDone:
	case err = <-s.fatalErrors:
	}
	s.Stop()
	s.transport.stop() // the other replicas elect a new leader meanwhile
	if err == nil {
		s.shutdown()
	}
	s.http.Close()
	close(ended)
	if nodeRunning {
		<-nodeDone
	}
	return errors.Join(err, s.storage.Close())
}

// shutdown waits for all requests to end, including the watches.
func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		log.Printf("msg=control_requests_cut error=%q", err)
	}
}

// fail makes Run return an error, unless another fatal error is already pending.
func (s *Server) fail(err error) {
	select {
	case s.fatalErrors <- err:
	default:
	}
}

// monotonicSeconds returns the time since the start of the replica, in seconds.
func (s *Server) monotonicSeconds() float64 { return time.Since(s.started).Seconds() }

// wakeDriver makes runNode look for work.
func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// leader returns the leader that this replica knows, the zero Peer if none. self reports whether it is this replica.
func (s *Server) leader() (peer Peer, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.node.Leader()], s.node.IsLeader()
}

// recoverPanic returns a panic of the core as an error. The core panics if its log contradicts that of other replicas.
func recoverPanic(err *error) {
	if recovered := recover(); recovered != nil {
		log.Printf("msg=control_panic stack=%q", debug.Stack())
		*err = fmt.Errorf("the consensus core panicked: %v", recovered)
	}
}
