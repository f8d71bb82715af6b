package controlserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Two replicas keep one HTTP request open in each direction. Its body carries the messages of the consensus core, each
// preceded by its length in 4 bytes, big endian. The receiver writes a byte to the response every keepaliveInterval, so
// that the sender knows that the connection works in both directions. Without a byte for silenceTimeout the sender
// reconnects, so that recovery from a network partition does not wait for TCP's retransmission.
const (
	raftPath              = "/replica/raft"
	fleetHeader           = "Sandpass-Fleet"
	senderHeader          = "Sandpass-Replica"
	maxMessageBytes       = 64 << 20               // a snapshot is the largest message
	maxQueuedMessages     = 512                    // per replica; further messages are dropped
	dialTimeout           = time.Second            // for a connection attempt, and for a join request
	keepaliveInterval     = 500 * time.Millisecond // between two keepalive bytes of a response
	silenceTimeout        = 2 * time.Second        // without bytes from the other side, after which the connection is closed
	reconnectDelay        = 100 * time.Millisecond // between two connection attempts
	badMessageLogInterval = 10 * time.Second       // between two log lines about one replica's rejected messages
	replicaGoneTimeout    = 5 * time.Second        // without messages from a replica, after which its watches count as closed
)

// transport sends the core's messages to the other replicas.
type transport struct {
	server  *Server
	client  *http.Client
	peers   map[uint64]*peerLink
	ctx     context.Context
	cancel  context.CancelFunc
	streams sync.WaitGroup
}

// peerLink is the connection to one replica.
type peerLink struct {
	id    uint64
	peer  Peer
	queue chan *raftpb.Message

	mu            sync.Mutex
	lastReceived  time.Time // when anything was last received from the replica
	rejectedCount int       // messages from the replica rejected since the last log line
	lastRejectLog time.Time // time of that log line
}

// newTransport returns a transport to all other replicas of a server. It sends nothing until start is called.
func newTransport(server *Server) *transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
	t := &transport{server: server, peers: map[uint64]*peerLink{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for id, peer := range server.peers {
		if id != server.id {
			t.peers[id] = &peerLink{id: id, peer: peer, queue: make(chan *raftpb.Message, maxQueuedMessages), lastReceived: time.Now()}
		}
	}
	return t
}

// start begins to connect to all other replicas.
func (t *transport) start() {
	for _, link := range t.peers {
		t.streams.Go(func() { t.keepConnected(link) })
	}
}

// stop closes all streams and waits for their goroutines.
func (t *transport) stop() {
	t.cancel()
	t.streams.Wait()
	t.client.CloseIdleConnections()
}

// send queues messages. If a queue is full the message is dropped, which the core tolerates.
func (t *transport) send(messages []*raftpb.Message) {
	for _, message := range messages {
		link := t.peers[message.GetTo()]
		if link == nil {
			continue
		}
		select {
		case link.queue <- message:
		default:
			t.reportUndelivered(link, message)
		}
	}
}

// reportUndelivered tells the core that a replica is unreachable, and that a snapshot was not delivered if message is one.
func (t *transport) reportUndelivered(link *peerLink, message *raftpb.Message) {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.server.node.ReportUnreachable(link.id)
	if message != nil && message.GetType() == raftpb.MsgSnap {
		t.server.node.ReportSnapshot(link.id, false)
	}
	t.server.wakeDriver()
}

// keepConnected keeps a stream to one replica open until the transport stops.
func (t *transport) keepConnected(link *peerLink) {
	loggedReachable := true // according to the last log line
	for t.ctx.Err() == nil {
		answered, err := t.stream(link)
		if t.ctx.Err() == nil && (answered || loggedReachable) {
			log.Printf("msg=control_replica_unreachable replica=%s error=%q", link.peer.Name, err)
			loggedReachable = false
		}
		t.reportUndelivered(link, nil)
		link.discardQueued()
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// discardQueued drops the messages queued during an outage. The core sends again what is still needed.
func (l *peerLink) discardQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// stream sends messages over one connection until it breaks. answered reports whether the replica sent a keepalive byte.
func (t *transport) stream(link *peerLink) (answered bool, err error) {
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	body, pipe := io.Pipe()
	defer body.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+link.peer.Address+raftPath, body)
	if err != nil {
		return false, err
	}
	request.Header.Set(fleetHeader, t.server.config.Fleet)
	request.Header.Set(senderHeader, t.server.config.Name)
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(errors.New("no keepalive received in time")) })
	defer watchdog.Stop()
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel(nil)
	writer.Go(func() { pipe.CloseWithError(t.writeMessages(ctx, link, pipe)) })
	response, err := t.client.Do(request)
	if err != nil {
		return false, contextCause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
		return false, fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	}
	for buffer := make([]byte, 64); ; {
		if _, err := response.Body.Read(buffer); err != nil {
			return answered, contextCause(ctx, err)
		}
		answered = true
		link.markReceived()
		watchdog.Reset(silenceTimeout)
	}
}

// contextCause returns the reason why the context was canceled, or err if it was not canceled.
func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// writeMessages writes queued messages until the context ends. It flushes when the queue is empty.
func (t *transport) writeMessages(ctx context.Context, link *peerLink, out io.Writer) error {
	buffered := bufio.NewWriter(out)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-link.queue:
			if err := t.writeMessage(link, buffered, message); err != nil {
				return err
			}
		}
		if len(link.queue) == 0 {
			if err := buffered.Flush(); err != nil {
				return err
			}
		}
	}
}

// writeMessage writes one message after its length, and reports to the core whether a snapshot was written.
func (t *transport) writeMessage(link *peerLink, out *bufio.Writer, message *raftpb.Message) error {
	data, err := proto.Marshal(message)
	if err == nil {
		_, err = out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(data))))
	}
	if err == nil {
		_, err = out.Write(data)
	}
	if message.GetType() == raftpb.MsgSnap {
		t.server.mu.Lock()
		t.server.node.ReportSnapshot(link.id, err == nil)
		t.server.mu.Unlock()
	}
	return err
}

// markReceived records that something was received from the replica.
func (l *peerLink) markReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
}

// silentFor returns the time since anything was received from the replica.
func (l *peerLink) silentFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastReceived)
}

// goneReplicas returns the names of the replicas that have been silent for so long that their watches count as closed.
func (t *transport) goneReplicas() (names []string) {
	for _, link := range t.peers {
		if link.silentFor() > replicaGoneTimeout {
			names = append(names, link.peer.Name)
		}
	}
	return names
}

// senderLink returns the link of the replica that sent a request. If the sender is not a replica of this fleet, it refuses
// the request in one line and returns nil.
func (s *Server) senderLink(w http.ResponseWriter, r *http.Request) *peerLink {
	fleet, name := r.Header.Get(fleetHeader), r.Header.Get(senderHeader)
	if fleet != s.config.Fleet {
		refuse(w, fmt.Sprintf("fleet %.128q is not %q", fleet, s.config.Fleet), http.StatusForbidden)
		return nil
	}
	link := s.transport.peers[replicaID(fleet, name)]
	if link == nil {
		refuse(w, fmt.Sprintf("%.128q is not one of the other replicas", name), http.StatusForbidden)
	}
	return link
}

// serveRaft receives the stream of core messages of another replica.
func (s *Server) serveRaft(w http.ResponseWriter, r *http.Request) {
	link := s.senderLink(w, r)
	if link == nil {
		return
	}
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	var keepalives sync.WaitGroup
	defer keepalives.Wait()
	defer close(ended)
	keepalives.Go(func() { sendKeepalives(w, controller, ended, s.stop) })
	input := bufio.NewReader(r.Body)
	for {
		message, err := readMessage(input)
		if err != nil {
			if errors.Is(err, errMalformedMessage) {
				link.logRejected(err)
			}
			controller.SetReadDeadline(time.Now()) // so that net/http does not wait for the rest of the body
			return
		}
		link.markReceived()
		if message.GetFrom() != link.id {
			link.logRejected(errors.New("the sender of the message is another replica"))
			controller.SetReadDeadline(time.Now())
			return
		}
		s.step(link, message)
	}
}

// logRejected logs that a message was rejected, with the number of rejections since the last such line. It logs at most
// once per badMessageLogInterval.
func (l *peerLink) logRejected(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejectedCount++
	if time.Since(l.lastRejectLog) < badMessageLogInterval {
		return
	}
	log.Printf("msg=control_bad_message replica=%s count=%d error=%q", l.peer.Name, l.rejectedCount, err)
	l.lastRejectLog, l.rejectedCount = time.Now(), 0
}

// sendKeepalives writes a byte to the response every keepaliveInterval. When the replica stops or
// the byte cannot be written, it ends the stream by an expired read deadline.
func sendKeepalives(w http.ResponseWriter, controller *http.ResponseController, ended, stop <-chan struct{}) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		controller.SetWriteDeadline(time.Now().Add(silenceTimeout))
		_, err := w.Write([]byte("\n"))
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			controller.SetReadDeadline(time.Now())
			return
		}
		select {
		case <-ended:
			return
		case <-stop:
			controller.SetReadDeadline(time.Now())
			return
		case <-ticker.C:
		}
	}
}

var errMalformedMessage = errors.New("malformed message")

// readMessage reads one message. It allocates memory only as the bytes arrive, not by the announced length.
func readMessage(input io.Reader) (*raftpb.Message, error) {
	var header [4]byte
	if _, err := io.ReadFull(input, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", errMalformedMessage, size, maxMessageBytes)
	}
	data, err := io.ReadAll(io.LimitReader(input, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedMessage, err)
	}
	return message, nil
}

// step passes a message to the core and wakes the driver.
func (s *Server) step(link *peerLink, message *raftpb.Message) {
	if err := s.stepNode(link, message); err != nil {
		s.fail(err)
	}
	s.wakeDriver()
}

// stepNode passes a message to the core. It returns only fatal errors; a rejected message is logged and changes nothing.
func (s *Server) stepNode(link *peerLink, message *raftpb.Message) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer recoverPanic(&err)
	if !s.acceptsMessage(message) {
		return nil
	}
	if refusal := s.node.Step(message); refusal != nil {
		link.logRejected(refusal)
	}
	return nil
}
