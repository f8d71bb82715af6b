// This file owns bodies that are passed on as they come: answers on their way to a client, commands on their way to a
// backend. It must never hold more than a mark and what one read brings, begin an answer twice, or let one that broke
// off look whole.
package proxy

import (
	"log"
	"strconv"
	"strings"

	"sandpass/balance"
	"sandpass/internal/http1"
)

const (
	passMark    = 64 << 10 // bytes that may wait to be written on one side before the other is read on
	passTight   = 4 << 10  // the same while more than half of the buffers' part of the memory is in use
	passAfter   = 0.25     // seconds of an answer of unknown length after which it goes on as it comes, if it moves
	passLast    = 0.05     // seconds before the time limit by which it goes on in any case: of a long one the first bytes are timed
	endlessFrom = 0.4      // seconds after the limit at which what is no long answer by then is cut: half a second late it is lost
	answerStill = 10.0     // seconds that a backend may stand still in an answer that the client has begun to get
	bodyStill   = 2.5      // seconds that a client may stand still in a body that is passed on: it is owed an answer within 3
	leastRate   = 32e3     // bytes a second that a client must send at least of a body: half of what slow ones do
	bodyGrace   = 1.0      // seconds more that any body may take
)

// piece writes a part of a body, as a chunk where the length is not said; nothing ends it.
func appendPiece(to []byte, chunked bool, data []byte) []byte {
	if !chunked {
		return append(to, data...)
	}
	to = append(strconv.AppendInt(to, int64(len(data)), 16), "\r\n"...)
	return append(append(to, data...), "\r\n"...)
}

// mark is how many bytes may wait on one side before the other is read on: hundreds of slow ones fill any memory.
func (p *Proxy) mark() int {
	if p.loop.Held() > p.loop.Most/2 {
		return passTight
	}
	return passMark
}

// ---- Answers.

// passes tells whether an answer that is not whole is to go on as it comes.
func (l *link) passes(now float64) bool {
	m := &l.msg
	if !m.HeadWhole() {
		return false
	}
	return m.Length() > http1.Held || m.Decoded() > http1.Held || l.conn.Full() ||
		m.Length() < 0 && m.Decoded() > 0 && l.begun > 0 && now > min(l.begun+passAfter, l.relay.cmd.expires-passLast)
}

// pass begins to pass the answer on: from here on the command belongs to this relay.
func (l *link) pass() {
	p, r, now := l.p, l.relay, l.p.loop.Now()
	cmd, c := r.cmd, r.cmd.from
	if l.msg.Status != 200 {
		l.answer(false) // its head says all that is wanted of it
		return
	}
	if cmd.done || c == nil || cmd.stream != nil { // a loser that may not be called back
		l.ended(balance.Moot)
		return
	}
	in := l.conn.In()
	cmd.stream, cmd.fed, r.took = l, true, now-r.sent
	cmd.timer.Stop()
	if l.msg.Length() < 0 {
		cmd.timer = p.loop.After(cmd.expires+endlessFrom-now, func() { l.endless(cmd) })
	}
	l.timer.Stop()
	c.keep = c.msg.Keep && !p.closes() && !c.coming && (l.msg.Length() >= 0 || !c.msg.Old())
	c.chunked = l.msg.Length() < 0 && !c.msg.Old()
	h := p.headOf(200, l.msg.Length(), c.chunked, c.keep)
	h = append(l.msg.AppendFields(h, in), "\r\n"...)
	if body := l.msg.Body(in); len(body) > 0 {
		h = appendPiece(h, c.chunked, body)
	}
	p.scratch = h
	c.conn.Write(h)
	l.conn.Consume(l.msg.Size())
	l.conn.Widen()
	l.moved = now
	l.timer = p.loop.After(answerStill, l.still)
	p.balancer.Started(now, cmd.id, r.n)
	l.passOn()
}

// passOn passes on what has come.
func (l *link) passOn() {
	c := l.relay.cmd.from
	if c == nil { // the client has gone, and the relay may not be called back
		l.ended(balance.Moot)
		return
	}
	l.moved = l.p.loop.Now()
	for {
		in := l.conn.In()
		data, used, done, err := l.msg.Rest(in)
		if err != nil {
			l.p.bad++
			l.breakOff(balance.Reset)
			return
		}
		if len(data) > 0 && c.chunked {
			l.p.scratch = appendPiece(l.p.scratch[:0], true, data)
			c.conn.Write(l.p.scratch)
		} else if len(data) > 0 {
			c.conn.Write(data)
		}
		if l.conn.Consume(used); done {
			l.passed(l.msg.Keep)
			return
		}
		if used == 0 || used == len(in) {
			break
		}
	}
	if c.conn.Backlog() > l.p.mark() {
		l.conn.Hold()
		l.waits = true
	}
}

// goOn reads on once the client has taken what there was.
func (l *link) goOn() {
	if l.waits {
		l.waits, l.moved = false, l.p.loop.Now()
		l.conn.Resume()
	}
}

// still ends a passage of which one side stands still: the backend, or the client that takes nothing.
func (l *link) still() {
	now, r := l.p.loop.Now(), l.relay
	since, most := l.moved, answerStill
	if c := r.cmd.from; l.waits && c != nil {
		since, most = max(l.moved, c.conn.SentAt()), untaken
	}
	if left := since + most - now; left > 0 {
		l.timer = l.p.loop.After(left, l.still)
		return
	}
	log.Printf("msg=answer_stands command=%d untaken=%t", r.cmd.id, l.waits)
	l.breakOff(balance.Reset)
}

// passed ends a passage that is whole.
func (l *link) passed(keep bool) {
	p, r := l.p, l.relay
	cmd, c := r.cmd, r.cmd.from
	l.timer.Stop()
	if c.chunked {
		c.conn.Write([]byte("0\r\n\r\n"))
	}
	p.answered++
	p.snapshot.count(true)
	cmd.done, cmd.from, cmd.stream = true, nil, nil
	c.answered(c.keep)
	r.link = nil
	l.msg.Reset()
	l.begun = 0
	l.conn.Narrow()
	l.rest(keep)
	p.report(r, balance.Answered)
}

// endless ends a passage soon after its command's time limit if it is no long answer by then: one that trickles on would never
// end, while of a long one only the first bytes are timed.
func (l *link) endless(cmd *command) {
	if cmd.stream == l && l.msg.Decoded() <= http1.Held {
		log.Printf("msg=answer_endless command=%d bytes=%d", cmd.id, l.msg.Decoded())
		l.p.bad++
		l.breakOff(balance.TimedOut)
	}
}

// breakOff ends a passage that can't be made whole, so that the client can tell.
func (l *link) breakOff(result balance.Result) {
	l.p.cut(l.relay.cmd)
	l.ended(result)
}

// cut ends the connection of a client whose answer has begun and does not become whole.
func (p *Proxy) cut(cmd *command) {
	c := cmd.from
	cmd.done, cmd.from, cmd.stream = true, nil, nil
	if c == nil {
		return
	}
	p.broken++
	c.cmd = nil
	p.clients.owed--
	if !c.chunked {
		c.conn.Abort()
	}
	c.close()
}

// ---- Commands.

// tooLong tells whether a command that is not whole is to be passed on as it comes.
func (c *client) tooLong() bool {
	return c.msg.HeadWhole() && (c.msg.Length() > http1.HeldCommand || c.conn.Full())
}

// feedTo passes on what is there of a command, head and all, and has the rest follow.
func (c *client) feedTo(l *link, head []byte) {
	p, in := c.p, c.conn.In()
	cmd := c.cmd
	if body := c.msg.Body(in); len(body) > 0 {
		head = appendPiece(head, c.msg.Chunked(), body)
	}
	p.scratch = head
	l.conn.Write(head)
	if !c.invited && strings.EqualFold(string(c.msg.Get(in, "Expect")), "100-continue") {
		c.invited = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.conn.Consume(c.msg.Size())
	c.conn.Widen()
	c.feed, c.passed, c.moved, cmd.fed = l, true, p.loop.Now(), true
	cmd.timer.Stop()
	n := l.relay.n
	p.loop.Post(func() { // never from inside a call of the Balancer's
		if c.cmd == cmd && c.feed == l {
			p.balancer.Started(p.loop.Now(), cmd.id, n)
			c.conn.Resume()
			c.feedOn()
		}
	})
}

// feedOn passes on what has come.
func (c *client) feedOn() {
	l := c.feed
	c.moved = c.p.loop.Now()
	for in := c.conn.In(); len(in) > 0; in = c.conn.In() {
		data, used, done, err := c.msg.Rest(in)
		if err != nil {
			c.spoilt(400, "malformed body")
			return
		}
		if len(data) > 0 && c.msg.Chunked() {
			c.p.scratch = appendPiece(c.p.scratch[:0], true, data)
			l.conn.Write(c.p.scratch)
		} else if len(data) > 0 {
			l.conn.Write(data)
		}
		c.conn.Consume(used)
		if done {
			c.allCame()
			return
		}
		if used == 0 {
			break
		}
	}
	if l.conn.Backlog() > c.p.mark() {
		c.conn.Hold()
		c.holds = true
	}
}

// feedMore reads on once the backend has taken what there was.
func (c *client) feedMore() {
	if c.holds {
		c.holds, c.moved = false, c.p.loop.Now()
		c.conn.Resume()
	}
}

// allCame ends the passage of a command's body: its time counts from here.
func (c *client) allCame() {
	p, cmd, l := c.p, c.cmd, c.feed
	if c.msg.Chunked() {
		l.conn.Write([]byte("0\r\n\r\n"))
	}
	c.conn.Pause()
	c.conn.Narrow()
	c.feed, c.coming = nil, false
	now := p.loop.Now()
	cmd.expires, l.relay.sent = now+cmd.wait, now
	if cmd.stream == nil {
		cmd.timer = p.loop.After(cmd.wait, func() { p.timeOut(cmd) })
	}
}

// spoilt ends a command whose body can't be read any further: it never ran.
func (c *client) spoilt(status int, text string) {
	p, cmd, feed := c.p, c.cmd, c.feed
	if cmd.stream != nil {
		p.cut(cmd)
	} else {
		cmd.from, cmd.done = nil, true
		c.bad(status, text)
	}
	p.balancer.Departed(p.loop.Now(), cmd.id)
	feed.ended(balance.Moot)
	p.forget(cmd)
}

// sweepBodies ends the passage of commands of which one side stands still: the client, or the backend that takes nothing.
func (p *Proxy) sweepBodies(now float64) {
	for e := p.clients.in[busy].Front(); e != nil; {
		c := e.Value.(*client)
		switch e = e.Next(); {
		case c.feed == nil:
		case c.holds && now-max(c.moved, c.feed.conn.SentAt()) > answerStill:
			c.feed.ended(balance.Unconnected)
		case !c.holds && now-c.moved > bodyStill:
			c.spoilt(408, "the body did not come in time")
		}
	}
}
