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

// Between two replicas goes one request in each direction whose body stays open: messages of the consensus core, each
// after its length in 4 bytes, big endian. The receiver answers with a byte now and then, by which the sender knows that
// the way is open both ways: after a silence it connects anew, so that a cut that has healed does not wait for TCP.
const (
	raftPath        = "/replica/raft"
	fleetHeader     = "Sandpass-Fleet"
	senderHeader    = "Sandpass-Replica"
	messageMost     = 64 << 20               // bytes of one message; a snapshot is the largest
	queueMost       = 512                    // messages that wait for one replica; further ones are dropped
	dialTime        = time.Second            // for a connection
	aliveInterval   = 500 * time.Millisecond // between two bytes of an answer
	silenceMost     = 2 * time.Second        // of the other side, before one connects anew
	reconnectPause  = 100 * time.Millisecond // between two attempts
	complainPause   = 10 * time.Second       // between two lines on one replica's bad messages
	replicaGoneTime = 5 * time.Second        // of silence, after which a replica's watches count as closed
)

// transport carries the core's messages to the other replicas.
type transport struct {
	server *Server
	client *http.Client
	peers  map[uint64]*peerLink
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// peerLink is the way to one replica.
type peerLink struct {
	id    uint64
	peer  Peer
	queue chan *raftpb.Message

	mu         sync.Mutex
	heard      time.Time // when anything last came from it
	refused    int       // messages from it, since the last line in the log
	complained time.Time // when that line was
}

func newTransport(server *Server) *transport {
	dialer := &net.Dialer{Timeout: dialTime, Control: dropDeadPeers}
	t := &transport{server: server, peers: map[uint64]*peerLink{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for id, peer := range server.peers {
		if id != server.id {
			t.peers[id] = &peerLink{id: id, peer: peer, queue: make(chan *raftpb.Message, queueMost), heard: time.Now()}
		}
	}
	return t
}

func (t *transport) start() {
	for _, link := range t.peers {
		t.done.Go(func() { t.keepConnected(link) })
	}
}

func (t *transport) stop() {
	t.cancel()
	t.done.Wait()
	t.client.CloseIdleConnections()
}

// send queues messages; one that finds no room is dropped, as the core allows.
func (t *transport) send(messages []*raftpb.Message) {
	for _, message := range messages {
		link := t.peers[message.GetTo()]
		if link == nil {
			continue
		}
		select {
		case link.queue <- message:
		default:
			t.lost(link, message)
		}
	}
}

// lost tells the core that a message did not arrive.
func (t *transport) lost(link *peerLink, message *raftpb.Message) {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.server.node.ReportUnreachable(link.id)
	if message != nil && message.GetType() == raftpb.MsgSnap {
		t.server.node.ReportSnapshot(link.id, false)
	}
	t.server.rouse()
}

// keepConnected keeps a stream to one replica open until the end.
func (t *transport) keepConnected(link *peerLink) {
	reachable := true // as the log has it
	for t.ctx.Err() == nil {
		answered, err := t.stream(link)
		if t.ctx.Err() == nil && (answered || reachable) {
			log.Printf("msg=control_replica_unreachable replica=%s error=%q", link.peer.Name, err)
			reachable = false
		}
		t.lost(link, nil)
		link.drain()
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// drain drops messages that have waited through an outage; the core sends what still counts again.
func (l *peerLink) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// stream sends messages over one connection until it breaks. It says whether the replica answered.
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
	silence := time.AfterFunc(silenceMost, func() { cancel(errors.New("it is silent")) })
	defer silence.Stop()
	var writing sync.WaitGroup
	defer writing.Wait()
	defer cancel(nil)
	writing.Go(func() { pipe.CloseWithError(t.writeMessages(ctx, link, pipe)) })
	answer, err := t.client.Do(request)
	if err != nil {
		return false, causeOf(ctx, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, lineMost))
		return false, fmt.Errorf("%s: %s", answer.Status, bytes.TrimSpace(text))
	}
	for piece := make([]byte, 64); ; {
		if _, err := answer.Body.Read(piece); err != nil {
			return answered, causeOf(ctx, err)
		}
		answered = true
		link.touch()
		silence.Reset(silenceMost)
	}
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// writeMessages writes what is queued, as many messages at once as there are.
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

func (t *transport) writeMessage(link *peerLink, out *bufio.Writer, message *raftpb.Message) error {
	text, err := proto.Marshal(message)
	if err == nil {
		_, err = out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
	}
	if err == nil {
		_, err = out.Write(text)
	}
	if message.GetType() == raftpb.MsgSnap {
		t.server.mu.Lock()
		t.server.node.ReportSnapshot(link.id, err == nil)
		t.server.mu.Unlock()
	}
	return err
}

// touch notes that something came from the replica.
func (l *peerLink) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
}

// silent is how long nothing came from the replica.
func (l *peerLink) silent() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
}

// silentReplicas names the replicas that were not heard for so long that their watches count as closed.
func (t *transport) silentReplicas() (names []string) {
	for _, link := range t.peers {
		if link.silent() > replicaGoneTime {
			names = append(names, link.peer.Name)
		}
	}
	return names
}

// sender finds the replica that a request is from; a foreign one is refused in one line.
func (s *Server) sender(w http.ResponseWriter, r *http.Request) *peerLink {
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

// serveRaft takes the core's messages of another replica.
func (s *Server) serveRaft(w http.ResponseWriter, r *http.Request) {
	link := s.sender(w, r)
	if link == nil {
		return
	}
	answer := http.NewResponseController(w)
	answer.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	var answering sync.WaitGroup
	defer answering.Wait()
	defer close(ended)
	answering.Go(func() { stayAlive(w, answer, ended, s.stop) })
	input := bufio.NewReader(r.Body)
	for {
		message, err := readMessage(input)
		if err != nil {
			if errors.Is(err, errBadMessage) {
				link.complain(err)
			}
			answer.SetReadDeadline(time.Now()) // so that net/http does not wait for the rest of the body
			return
		}
		link.touch()
		if message.GetFrom() != link.id {
			link.complain(errors.New("it is in another's name"))
			answer.SetReadDeadline(time.Now())
			return
		}
		s.step(link, message)
	}
}

// complain logs that a message was refused, and how many were since the last such line.
func (l *peerLink) complain(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	if time.Since(l.complained) < complainPause {
		return
	}
	log.Printf("msg=control_bad_message replica=%s count=%d error=%q", l.peer.Name, l.refused, err)
	l.complained, l.refused = time.Now(), 0
}

// stayAlive writes a byte to the answer now and then. When the replica stops, the connection is cut.
func stayAlive(w http.ResponseWriter, answer *http.ResponseController, ended, stop <-chan struct{}) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		answer.SetWriteDeadline(time.Now().Add(silenceMost))
		_, err := w.Write([]byte("\n"))
		if err == nil {
			err = answer.Flush()
		}
		if err != nil {
			answer.SetReadDeadline(time.Now())
			return
		}
		select {
		case <-ended:
			return
		case <-stop:
			answer.SetReadDeadline(time.Now())
			return
		case <-ticker.C:
		}
	}
}

var errBadMessage = errors.New("malformed message")

// readMessage reads one message; memory is taken only as its bytes come.
func readMessage(input io.Reader) (*raftpb.Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(input, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > messageMost {
		return nil, fmt.Errorf("%w: %d bytes, %d are allowed", errBadMessage, size, messageMost)
	}
	text, err := io.ReadAll(io.LimitReader(input, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(text) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(text, message); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadMessage, err)
	}
	return message, nil
}

// step passes a message to the core.
func (s *Server) step(link *peerLink, message *raftpb.Message) {
	if err := s.stepNode(link, message); err != nil {
		s.fail(err)
	}
	s.rouse()
}

// stepNode gives an error that the replica can't go on with; a message that is refused changes nothing.
func (s *Server) stepNode(link *peerLink, message *raftpb.Message) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer catchPanic(&err)
	if !s.passes(message) {
		return nil
	}
	if refusal := s.node.Step(message); refusal != nil {
		link.complain(refusal)
	}
	return nil
}
