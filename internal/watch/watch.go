// Package watch keeps one HTTP/1.1 answer open that brings JSON objects as they come, and opens it again after a loss.
//
// It serves the watch on discovery's endpoints and the one on a control replica's configuration. The request may have a
// body that stays open too, so that the client sends objects on the same connection. It runs on one internal/loop and
// holds one connection, beside a short one that tries the preferred server and, where there is one server alone, earlier
// ones that it may yet answer. It must never look at what an object means, and never stop asking before Close.
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
	unsentMost   = 256 << 10 // bytes that may wait to be sent: a server that reads nothing for so long is given up
	reasonMost   = 200       // bytes of a refusal's text that are told
	statusFine   = 200
	starvedPause = 0.01  // seconds after which an opening is tried again for which the system had no descriptor
	starvedMost  = 100   // such tries in a row, after which it counts as lost
	lateFor      = 3.5   // seconds that a silent opening is kept beside the next: what it would tell counts as told then
	lateMost     = 2     // such openings
	trickle      = 1.0   // seconds without a byte after which an object that has begun stands still
	returnFirst  = 20.0  // seconds on another server after which the preferred one is tried, with jitter
	returnLast   = 320.0 // and at most, doubling while it can't be reached
	returnOpens  = 2.0   // seconds in which the preferred one must take the connection
)

var (
	errSilent = errors.New("silent")
	errEnded  = errors.New("the answer ended")
	errUnsent = errors.New("the server does not read")
)

// Owner is whose watch it is. All methods are called on the loop.
type Handler interface {
	// Request is the head of the request to a server, with the empty line. With Config.Body it announces a chunked body.
	RequestHead(to netip.AddrPort) []byte
	// First is the first object of the request's body, nil for none; it is asked for with Config.Body alone.
	FirstMessage() []byte
	// Decode reads an object, which is good until the method returns. After an error it counts for no sign of life, and the
	// connection is given up.
	Decode(object []byte) error
	// Take acts on the object decoded last. After an error the connection is given up.
	Apply() error
	// Returned says that the first sign of life after a loss has come.
	Reconnected()
	// Lost says that the connection is lost; news is false where the same loss was told before.
	Disconnected(err error, news bool)
}

// Config says how a watch is kept.
type Config struct {
	Servers         []netip.AddrPort // the preferred one first, the others in the order in which they are tried
	MaxObjectBytes  int              // bytes of an object
	StreamRequest   bool             // the request has a body that stays open, and refusals are told with their text
	ReconnectSpread float64          // seconds over which clients that lost the same server come back, beside the usual wait
	Random          func() float64   // draws from [0, 1), for jitter
}

// Client is one watch. New makes it, Open starts it.
type Client struct {
	liveness.Watch
	*opening // the present one
	loop     *loop.Loop
	owner    Handler
	config   Config
	server   int         // the one asked now, a place in config.Servers
	late     []*opening  // earlier ones that a slow server may yet answer, the oldest first
	starved  int         // tries of this opening for which the system had no descriptor
	again    *loop.Timer // opens it after a loss
	back     *loop.Timer // tries the preferred server
	backWait float64     // seconds after which it is tried next
	trial    *loop.Conn  // connection that tries the preferred server
	openedAt float64
	lineAt   float64
}

// opening is one connection with what has come of its answer.
type opening struct {
	conn   *loop.Conn // nil before it is made and once it is given up
	msg    http1.Message
	chunks http1.ChunkReader
	cutter jsonstream.Splitter
	had    int     // bytes of the answer's body
	gotAt  float64 // when the latest of them came
	spoke  bool    // a whole object or an empty line has come
	until  float64 // when a late one is given up
}

func (o *opening) close() {
	if o.conn != nil {
		o.conn.Close()
		o.conn = nil
	}
}

// New makes a watch that is not open yet.
func New(l *loop.Loop, owner Handler, config Config) *Client {
	c := &Client{loop: l, owner: owner, config: config, backWait: returnFirst}
	c.Reset()
	return c
}

// Server is the address asked now.
func (c *Client) Server() netip.AddrPort { return c.config.Servers[c.server] }

// BodyBytes is how many bytes of the present answer's body have come.
func (c *Client) BodyBytesReceived() int { return c.had }

// Connected tells whether an answer is open and its head has come.
func (c *Client) Connected() bool { return c.conn != nil && c.msg.HeadComplete() }

// LineAt is when a server's last sign of life came, 0 before the first.
func (c *Client) LastReceivedAt() float64 { return c.lineAt }

// Open connects. Where the system has nothing for a socket it tries again soon: that says nothing of the server.
func (c *Client) Open() {
	next := c.newOpening()
	conn, err := c.loop.Dial(c.Server(), handler{c, next}, c.config.MaxObjectBytes)
	if loop.IsResourceExhausted(err) && c.starved < starvedMost {
		c.starved++
		c.again = c.loop.After(starvedPause, c.Open)
		return
	}
	c.starved = 0
	c.opening = next
	c.openedAt = c.loop.Now()
	c.ConnectStarted(c.openedAt)
	if err != nil {
		c.Reconnect(err)
		return
	}
	next.conn = conn
}

func (c *Client) newOpening() *opening {
	return &opening{cutter: jsonstream.Splitter{MaxObjectBytes: c.config.MaxObjectBytes}}
}

// Reset readies it for the start of an answer.
func (c *Client) Reset() { c.opening = c.newOpening() }

// Close ends the watch; Open starts it again.
func (c *Client) Close() {
	c.opening.close()
	c.dropKept(nil)
	c.again.Stop()
	c.back.Stop()
	c.endTrial()
}

// Turn leaves the servers where they were for others.
func (c *Client) SetServers(servers ...netip.AddrPort) {
	c.Close()
	c.config.Servers, c.server = servers, 0
	c.ResetBackoff()
	c.Open()
}

// Lose gives the connection up and opens another after a while, to the next server where there are several.
func (c *Client) Reconnect(err error) {
	if now := c.loop.Now(); c.mayAnswerYet(err, now) {
		c.keepLate(now)
	} else {
		c.opening.close()
	}
	wait, news := c.ConnectionLost(c.loop.Now(), err.Error(), c.config.Random())
	if c.config.ReconnectSpread > 0 {
		wait += c.config.ReconnectSpread * c.config.Random()
	}
	c.again = c.loop.After(wait, c.Open)
	c.owner.Disconnected(err, news)
	if c.server == 0 && c.loop.Now()-c.openedAt > returnFirst {
		c.backWait = returnFirst
	}
	c.server = (c.server + 1) % len(c.config.Servers)
	c.planReturn()
}

// mayAnswerYet tells whether the present opening, which is silent, is worth keeping beside the next: a crowded server answers
// late, and would do so each time. One that has spoken and says nothing more is broken.
func (c *Client) mayAnswerYet(err error, now float64) bool {
	return err == errSilent && c.conn != nil && len(c.config.Servers) == 1 && (!c.spoke || now-c.gotAt < trickle)
}

// keepLate sets the present opening aside. What is told of it stays.
func (c *Client) keepLate(now float64) {
	if len(c.late) == lateMost {
		c.late[0].close()
		c.late = c.late[1:]
	}
	c.until = now + lateFor
	c.late = append(c.late, c.opening)
	c.opening = &opening{had: c.had}
}

// dropLate gives up a late opening.
func (c *Client) dropLate(o *opening) {
	o.close()
	c.late = slices.DeleteFunc(c.late, func(x *opening) bool { return x == o })
}

// promote goes on with a late opening that has spoken, in the place of the present one.
func (c *Client) promote(o *opening) {
	c.dropKept(o)
	c.opening.close()
	c.again.Stop()
	c.opening = o
}

// dropKept gives up all late openings but one, which may be nil.
func (c *Client) dropKept(but *opening) {
	for _, o := range c.late {
		if o != but {
			o.close()
		}
	}
	c.late = nil
}

// Sweep gives up a connection that is silent past its heartbeats; it is called every 0.25 s at least.
func (c *Client) CheckLiveness(now float64) {
	if c.conn != nil && c.IsDead(now) {
		c.Reconnect(errSilent)
	}
	for len(c.late) > 0 && now > c.late[0].until {
		c.dropLate(c.late[0])
	}
}

// Look takes what has come before anything else has its turn.
func (c *Client) ReadPending() {
	if c.conn != nil {
		c.conn.ReadNow()
	}
}

// Send sends an object on the request's open body, where the answer has begun; it may be lost with the connection.
func (c *Client) Send(object []byte) {
	if !c.Connected() {
		return
	}
	write(c.conn, object)
	if c.conn.UnsentBytes() > unsentMost {
		c.Reconnect(errUnsent)
	}
}

// write sends an object with a line feed as one chunk.
func write(conn *loop.Conn, object []byte) {
	conn.Write(fmt.Appendf(nil, "%x\r\n", len(object)+1), object, []byte("\n\r\n"))
}

// handler is told what happens on an opening's connection.
type handler struct {
	c *Client
	o *opening
}

func (h handler) OnConnect(conn *loop.Conn) {
	conn.Write(h.c.owner.RequestHead(h.c.Server()))
	if h.c.config.StreamRequest {
		write(conn, h.c.owner.FirstMessage())
	}
}

func (h handler) OnFlushed(*loop.Conn) {}

func (h handler) OnDisconnect(_ *loop.Conn, err error) { h.fail(err) }

// fail gives the opening up; where it is the present one, the watch is lost.
func (h handler) fail(err error) {
	if h.o == h.c.opening {
		h.c.Reconnect(err)
	} else {
		h.c.dropLate(h.o)
	}
}

func (h handler) OnData(conn *loop.Conn) {
	o := h.o
	o.gotAt = h.c.loop.Now()
	if !o.msg.HeadComplete() {
		whole, err := o.msg.ParseResponseHead(conn.Unconsumed())
		if err == nil && whole && o.msg.Status != statusFine {
			err = h.refusal(conn.Unconsumed())
		}
		if err != nil {
			h.fail(err)
			return
		}
		if !whole {
			return
		}
		conn.Consume(o.msg.HeadSize())
		if o == h.c.opening {
			h.c.HeadReceived(o.gotAt)
		}
	}
	for len(conn.Unconsumed()) > 0 || o.msg.BodyLength() == o.had {
		data, used, done, err := o.piece(conn.Unconsumed())
		if err == nil {
			err = h.c.feed(o, data)
		}
		if err == nil && done {
			err = errEnded
		}
		if err != nil {
			h.fail(err)
			return
		}
		if o.conn != conn || used == 0 { // given up by its owner meanwhile, or more is needed
			return
		}
		conn.Consume(used)
	}
}

// refusal is what an answer says that is no watch.
func (h handler) refusal(in []byte) error {
	msg := &h.o.msg
	status := "status " + strconv.Itoa(msg.Status)
	text, _, _ := bytes.Cut(bytes.TrimSpace(in[msg.HeadSize():]), []byte("\n"))
	if !h.c.config.StreamRequest || msg.Chunked() || len(text) == 0 {
		return errors.New(status)
	}
	return fmt.Errorf("%s: %s", status, text[:min(len(text), reasonMost)])
}

// piece is the next part of the answer's body, which may be as long as it likes where its length is not said.
func (o *opening) piece(in []byte) (data []byte, used int, done bool, err error) {
	data, used = in, len(in)
	if o.msg.Chunked() {
		data, used, done, err = o.chunks.Next(in)
	} else if n := o.msg.BodyLength(); n >= 0 {
		data = in[:min(len(in), n-o.had)]
		used, done = len(data), o.had+len(data) == n
	}
	o.had += len(data)
	return data, used, done, err
}

// Feed takes each whole object in the data, however it is laid out; what is left is kept for the next. An empty line says
// that the server lives.
func (c *Client) Feed(data []byte) error { return c.feed(c.opening, data) }

func (c *Client) feed(o *opening, data []byte) error {
	for {
		object, rest, err := o.cutter.Next(data)
		if err != nil || object == nil {
			return err
		}
		data = rest
		if len(object) > 0 {
			if err := c.owner.Decode(object); err != nil {
				return err
			}
		}
		o.spoke = true
		if o != c.opening {
			c.promote(o)
		}
		c.lineAt = c.loop.Now()
		if c.LineReceived(c.lineAt) {
			c.owner.Reconnected()
		}
		if len(object) > 0 {
			if err := c.owner.Apply(); err != nil {
				return err
			}
		}
	}
}
