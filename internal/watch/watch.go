// Package watch keeps one HTTP/1.1 response open that streams JSON objects, and reopens it after a loss.
//
// It serves the watch on discovery's endpoints and the watch on a control replica's configuration. The request may have a body
// that stays open too, so that the client can send objects on the same connection. A client runs on one internal/loop and holds
// one connection, plus a short one that tries the preferred server and, with a single server, earlier connections that it may
// still answer. The package never interprets an object, and keeps reconnecting until Close.
package watch

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"sandpass/internal/http1"
	"sandpass/internal/jsonstream"
	"sandpass/internal/liveness"
	"sandpass/internal/loop"
)

const (
	maxUnsentBytes          = 256 << 10 // bytes queued for sending; beyond that the server counts as not reading
	maxReasonBytes          = 200       // bytes of a rejection's text in the error
	statusOK                = 200
	descriptorRetryDelay    = 0.01  // seconds before opening is retried when the process was out of descriptors
	maxDescriptorRetries    = 100   // consecutive retries of that kind before the connection counts as lost
	lingerTimeout           = 3.5   // seconds that a silent connection is kept; later data counts as received anyway
	maxLingering            = 2     // silent connections kept at once
	stallTimeout            = 1.0   // seconds without a byte after which a partially received object counts as stalled
	preferredDelayMin       = 20.0  // seconds on another server before the preferred one is tried, with jitter
	preferredDelayMax       = 320.0 // upper bound of that delay, which doubles while the preferred server is unreachable
	preferredConnectTimeout = 2.0   // seconds within which the preferred server must accept the connection
)

var (
	errSilent        = errors.New("silent")
	errResponseEnded = errors.New("the answer ended")
	errNotReading    = errors.New("the server reads too slowly")
)

// Handler receives the events of a watch. All methods are called on the loop.
type Handler interface {
	// RequestHead returns the head of the request to a server, with the empty line. With Config.StreamRequest it announces a
	// chunked body.
	RequestHead(to netip.AddrPort) []byte
	// FirstMessage returns the first object of the request's body, nil for none. It is called with Config.StreamRequest only.
	FirstMessage() []byte
	// Decode parses an object, which is valid until the method returns. An object that Decode rejects does not count as a sign of
	// life, and the connection is closed.
	Decode(object []byte) error
	// Apply acts on the object decoded last. After an error the connection is closed.
	Apply() error
	// Reconnected reports the first sign of life after a loss.
	Reconnected()
	// Disconnected reports that the connection is lost; isNew is false if the same loss has been reported before.
	Disconnected(err error, isNew bool)
}

// Config holds the servers and limits of a watch.
type Config struct {
	Servers         []netip.AddrPort // the preferred one first, the others in the order in which they are tried
	MaxObjectBytes  int              // size limit of one object
	StreamRequest   bool             // the request has a body that stays open, and rejections are reported with their text
	ReconnectSpread float64          // seconds added to the usual delay at most, to spread the clients of a lost server
	Random          func() float64   // returns numbers in [0, 1), for jitter
}

// Client is one watch. New creates it, Open starts it.
type Client struct {
	liveness.Watch
	*stream           // the current one
	loop              *loop.Loop
	handler           Handler
	config            Config
	serverIndex       int         // index of the current server in config.Servers
	lingering         []*stream   // earlier connections that a slow server may still answer, oldest first
	descriptorRetries int         // retries of the current attempt because the process was out of descriptors
	reopenTimer       *loop.Timer // reopens the watch after a loss
	preferredTimer    *loop.Timer // starts or times out the next attempt on the preferred server
	preferredDelay    float64     // seconds before the next attempt on the preferred server
	preferredConn     *loop.Conn  // connection attempt to the preferred server
	openedAt          float64
	lastReceivedAt    float64
}

// stream is one connection and the parse state of its response.
type stream struct {
	conn        *loop.Conn // nil before it is dialed and after it is closed
	msg         http1.Message
	chunks      http1.ChunkReader
	splitter    jsonstream.Splitter
	bodyBytes   int     // bytes of the response body
	lastByteAt  float64 // when the latest of them arrived
	delivered   bool    // a whole object or an empty line has arrived
	lingerUntil float64 // when a lingering stream is closed
}

// close closes the connection, if there is one.
func (s *stream) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// New creates a watch that is not open yet.
func New(l *loop.Loop, handler Handler, config Config) *Client {
	c := &Client{loop: l, handler: handler, config: config, preferredDelay: preferredDelayMin}
	c.Reset()
	return c
}

// Server returns the address of the current server.
func (c *Client) Server() netip.AddrPort { return c.config.Servers[c.serverIndex] }

// BodyBytesReceived returns the number of bytes of the current response body.
func (c *Client) BodyBytesReceived() int { return c.bodyBytes }

// Connected reports whether a response is open and its head has arrived.
func (c *Client) Connected() bool { return c.conn != nil && c.msg.HeadComplete() }

// LastReceivedAt returns when the last object or empty line arrived from any server, 0 before the first.
func (c *Client) LastReceivedAt() float64 { return c.lastReceivedAt }

// Open connects to the current server. If the process is out of descriptors it retries shortly, since that is no fault of the
// server.
func (c *Client) Open() {
	next := c.newStream()
	conn, err := c.loop.Dial(c.Server(), streamHandler{c, next}, c.config.MaxObjectBytes)
	if loop.IsResourceExhausted(err) && c.descriptorRetries < maxDescriptorRetries {
		c.descriptorRetries++
		c.reopenTimer = c.loop.After(descriptorRetryDelay, c.Open)
		return
	}
	c.descriptorRetries = 0
	c.stream = next
	c.openedAt = c.loop.Now()
	c.ConnectStarted(c.openedAt)
	if err != nil {
		c.Reconnect(err)
		return
	}
	next.conn = conn
}

// newStream returns a stream without a connection.
func (c *Client) newStream() *stream {
	return &stream{splitter: jsonstream.Splitter{MaxObjectBytes: c.config.MaxObjectBytes}}
}

// Reset discards the parse state, for the start of a new response.
func (c *Client) Reset() { c.stream = c.newStream() }

// Close ends the watch; Open starts it again.
func (c *Client) Close() {
	c.stream.close()
	c.dropLingeringExcept(nil)
	c.reopenTimer.Stop()
	c.preferredTimer.Stop()
	c.closePreferred()
}

// SetServers replaces the servers and reconnects.
func (c *Client) SetServers(servers ...netip.AddrPort) {
	c.Close()
	c.config.Servers, c.serverIndex = servers, 0
	c.ResetBackoff()
	c.Open()
}

// Reconnect closes the connection and opens another after a delay, to the next server if there are several.
func (c *Client) Reconnect(err error) {
	if now := c.loop.Now(); c.mayStillRespond(err, now) {
		c.keepLingering(now)
	} else {
		c.stream.close()
	}
	wait, isNew := c.ConnectionLost(c.loop.Now(), err.Error(), c.config.Random())
	if c.config.ReconnectSpread > 0 {
		wait += c.config.ReconnectSpread * c.config.Random()
	}
	c.reopenTimer = c.loop.After(wait, c.Open)
	c.handler.Disconnected(err, isNew)
	if c.serverIndex == 0 && c.loop.Now()-c.openedAt > preferredDelayMin {
		c.preferredDelay = preferredDelayMin
	}
	c.serverIndex = (c.serverIndex + 1) % len(c.config.Servers)
	c.schedulePreferred()
}

// mayStillRespond reports whether the current silent stream is worth keeping beside the next one: an overloaded server responds
// late, and would do so on every connection. A stream that delivered data and then stopped is broken.
func (c *Client) mayStillRespond(err error, now float64) bool {
	return err == errSilent && c.conn != nil && len(c.config.Servers) == 1 && (!c.delivered || now-c.lastByteAt < stallTimeout)
}

// keepLingering sets the current stream aside. The count of received bytes carries over.
func (c *Client) keepLingering(now float64) {
	if len(c.lingering) == maxLingering {
		c.lingering[0].close()
		c.lingering = c.lingering[1:]
	}
	c.lingerUntil = now + lingerTimeout
	c.lingering = append(c.lingering, c.stream)
	c.stream = &stream{bodyBytes: c.bodyBytes}
}

// dropLingering closes one lingering stream.
func (c *Client) dropLingering(s *stream) {
	s.close()
	c.lingering = slices.DeleteFunc(c.lingering, func(other *stream) bool { return other == s })
}

// promote replaces the current stream with a lingering one that delivered data.
func (c *Client) promote(s *stream) {
	c.dropLingeringExcept(s)
	c.stream.close()
	c.reopenTimer.Stop()
	c.stream = s
}

// dropLingeringExcept closes all lingering streams but one, which may be nil.
func (c *Client) dropLingeringExcept(except *stream) {
	for _, s := range c.lingering {
		if s != except {
			s.close()
		}
	}
	c.lingering = nil
}

// CheckLiveness closes a connection that missed its heartbeats; it must be called at least every 0.25 s.
func (c *Client) CheckLiveness(now float64) {
	if c.conn != nil && c.IsDead(now) {
		c.Reconnect(errSilent)
	}
	for len(c.lingering) > 0 && now > c.lingering[0].lingerUntil {
		c.dropLingering(c.lingering[0])
	}
}

// ReadPending reads data that has already arrived, before other events are handled.
func (c *Client) ReadPending() {
	if c.conn != nil {
		c.conn.ReadNow()
	}
}

// Send sends an object on the request's open body, if the response has begun; the object may be lost with the connection.
func (c *Client) Send(object []byte) {
	if !c.Connected() {
		return
	}
	writeChunk(c.conn, object)
	if c.conn.UnsentBytes() > maxUnsentBytes {
		c.Reconnect(errNotReading)
	}
}

// writeChunk sends an object and a line feed as one chunk.
func writeChunk(conn *loop.Conn, object []byte) {
	conn.Write(fmt.Appendf(nil, "%x\r\n", len(object)+1), object, []byte("\n\r\n"))
}

// streamHandler receives the events of one stream's connection.
type streamHandler struct {
	client *Client
	stream *stream
}

// OnConnect sends the request.
func (h streamHandler) OnConnect(conn *loop.Conn) {
	conn.Write(h.client.handler.RequestHead(h.client.Server()))
	if h.client.config.StreamRequest {
		writeChunk(conn, h.client.handler.FirstMessage())
	}
}

func (h streamHandler) OnFlushed(*loop.Conn) {}

func (h streamHandler) OnDisconnect(_ *loop.Conn, err error) { h.fail(err) }

// fail closes the stream; if it is the current one, the watch reconnects.
func (h streamHandler) fail(err error) {
	if h.stream == h.client.stream {
		h.client.Reconnect(err)
	} else {
		h.client.dropLingering(h.stream)
	}
}

// OnData parses the response's head and body.
func (h streamHandler) OnData(conn *loop.Conn) {
	s := h.stream
	s.lastByteAt = h.client.loop.Now()
	if !s.msg.HeadComplete() {
		complete, err := s.msg.ParseResponseHead(conn.Unconsumed())
		if err == nil && complete && s.msg.Status != statusOK {
			err = h.rejection(conn.Unconsumed())
		}
		if err != nil {
			h.fail(err)
			return
		}
		if !complete {
			return
		}
		conn.Consume(s.msg.HeadSize())
		if s == h.client.stream {
			h.client.HeadReceived(s.lastByteAt)
		}
	}
	for len(conn.Unconsumed()) > 0 || s.msg.BodyLength() == s.bodyBytes {
		data, used, done, err := s.nextBodyPart(conn.Unconsumed())
		if err == nil {
			err = h.client.feed(s, data)
		}
		if err == nil && done {
			err = errResponseEnded
		}
		if err != nil {
			h.fail(err)
			return
		}
		if s.conn != conn || used == 0 { // closed by its handler meanwhile, or more data is needed
			return
		}
		conn.Consume(used)
	}
}

// rejection returns the error for a response whose status is not 200.
func (h streamHandler) rejection(in []byte) error {
	msg := &h.stream.msg
	status := "status " + strconv.Itoa(msg.Status)
	text, _, _ := bytes.Cut(bytes.TrimSpace(in[msg.HeadSize():]), []byte("\n"))
	if !h.client.config.StreamRequest || msg.Chunked() || len(text) == 0 {
		return errors.New(status)
	}
	return fmt.Errorf("%s: %s", status, text[:min(len(text), maxReasonBytes)])
}

// nextBodyPart returns the next part of the response body. Without a Content-Length the body has no limit.
func (s *stream) nextBodyPart(in []byte) (data []byte, used int, done bool, err error) {
	data, used = in, len(in)
	if s.msg.Chunked() {
		data, used, done, err = s.chunks.Next(in)
	} else if n := s.msg.BodyLength(); n >= 0 {
		data = in[:min(len(in), n-s.bodyBytes)]
		used, done = len(data), s.bodyBytes+len(data) == n
	}
	s.bodyBytes += len(data)
	return data, used, done, err
}

// Feed processes each whole object in the data, regardless of its layout, and keeps an incomplete one for the next call. An empty
// line is a heartbeat.
func (c *Client) Feed(data []byte) error { return c.feed(c.stream, data) }

// feed processes data of one stream. A lingering stream that delivers a message becomes the current one.
func (c *Client) feed(s *stream, data []byte) error {
	for {
		object, rest, err := s.splitter.Next(data)
		if err != nil || object == nil {
			return err
		}
		data = rest
		if len(object) > 0 {
			if err := c.handler.Decode(object); err != nil {
				return err
			}
		}
		s.delivered = true
		if s != c.stream {
			c.promote(s)
		}
		c.lastReceivedAt = c.loop.Now()
		if c.LineReceived(c.lastReceivedAt) {
			c.handler.Reconnected()
		}
		if len(object) > 0 {
			if err := c.handler.Apply(); err != nil {
				return err
			}
		}
	}
}
