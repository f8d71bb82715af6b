// This file owns the operators' door: its listener, its connections and what each call is answered. It must never wait
// for clients, backends or memory, and never do by itself what a call asks for: each is one method elsewhere.
package proxy

import (
	"container/list"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"net/url"
	"strings"

	"sandpass/internal/http1"
	"sandpass/internal/loop"
)

const (
	adminDescriptors = 16      // kept for the door: its listener, its connections and some that are being accepted
	doorMost         = 12      // connections at the door
	doorSilent       = 2.0     // seconds that a call may take to be said: an answer is due within 1 s of the whole call
	doorLinger       = 0.5     // seconds for the caller to read its answer and close
	doorBytes        = 4 << 10 // bytes of a call: a first read buffer, which no lack of memory keeps out
	doorDrained      = 1 << 20 // bytes of more than a call that are thrown away, so that the answer is not reset
)

// door is where operators call.
type adminServer struct {
	addr     netip.AddrPort // invalid: there is none
	listener *loop.Listener
	calls    list.List // of *call, the oldest first
}

// doorAt decodes the address; without one there is no door.
func parseAdminAddr(text string) (at netip.AddrPort, err error) {
	if text != "" {
		if at, err = netip.ParseAddrPort(text); err != nil {
			err = fmt.Errorf("ops: %w", err)
		}
	}
	return at, err
}

// openDoor has operators' calls come in.
func (p *Proxy) listenAdmin() (err error) {
	d := &p.admin
	if d.addr.IsValid() {
		always := func() bool { return true } // the door makes room itself, in accept
		if d.listener, err = p.loop.Listen(d.addr, doorBytes, always, p.called, p.onDescriptorShortage); err != nil {
			err = fmt.Errorf("ops: %w", err)
		}
	}
	return err
}

// call is one connection at the door, which carries one call.
type adminConn struct {
	p     *Proxy
	conn  *loop.Conn
	msg   http1.Message
	place *list.Element
	said  bool // is being answered
	gone  bool
}

// called takes a connection. Callers that say nothing must not keep others out: the oldest of them goes first.
func (p *Proxy) called(conn *loop.Conn) loop.Handler {
	d := &p.admin
	c := &adminConn{p: p, conn: conn}
	c.place = d.calls.PushBack(c)
	p.loop.After(doorSilent, func() {
		if !c.gone && !c.said {
			c.answer(408, "the call did not come in time")
		}
	})
	for _, said := range [2]bool{false, true} {
		for e := d.calls.Front(); e != nil && d.calls.Len() > doorMost; {
			old := e.Value.(*adminConn)
			if e = e.Next(); old != c && old.said == said {
				old.close()
			}
		}
	}
	return c
}

// close is the one place where a connection at the door is given back.
func (c *adminConn) close() {
	if !c.gone {
		c.gone = true
		c.p.admin.calls.Remove(c.place)
		c.conn.Close()
	}
}

func (c *adminConn) OnConnect(*loop.Conn) {}

func (c *adminConn) OnFlushed(*loop.Conn) {
	if c.said {
		c.conn.CloseWrite()
	}
}

func (c *adminConn) OnDisconnect(*loop.Conn, error) { c.close() }

func (c *adminConn) OnData(*loop.Conn) {
	if c.said {
		return
	}
	if !c.msg.HeadComplete() {
		c.conn.Consume(http1.LeadingBlankLines(c.conn.Unconsumed()))
	}
	in := c.conn.Unconsumed()
	if len(in) == 0 {
		return
	}
	whole, err := c.msg.ParseCommand(in)
	var f *http1.ProtocolError
	switch {
	case errors.As(err, &f):
		c.answer(f.Status, f.Text)
	case whole:
		c.carryOut(string(c.msg.Method(in)), string(c.msg.Target(in)))
	case c.conn.ReadBufferFull():
		c.answer(413, "the call is too large")
	}
}

// answer ends the call; the status says yes or no.
func (c *adminConn) answer(status int, text string, fields ...string) {
	if c.gone || c.said {
		return
	}
	c.said = true
	c.conn.Write(c.p.responseHead(status, len(text)+1, false), []byte(strings.Join(fields, "")+"\r\n"+text+"\n"))
	if !c.conn.HasUnsent() {
		c.conn.CloseWrite()
	}
	c.conn.Discard(doorDrained)
	c.p.loop.After(doorLinger, c.close)
}

// carryOut does what a whole call asks for.
func (c *adminConn) carryOut(method, target string) {
	path, _, _ := strings.Cut(target, "?")
	rest, _ := strings.CutPrefix(path, "/admin/")
	word, id, named := strings.Cut(rest, "/")
	id, err := url.PathUnescape(id)
	due := "POST"
	if word == "health" || word == "status" {
		due = "GET"
	}
	switch {
	case rest == path || err != nil || named != (id != "") || named != (word == "cordon" || word == "uncordon") || phrase(word) == "":
		c.answer(404, "no such call")
		return
	case method != due:
		c.answer(405, "the call is a "+due, "Allow: "+due+"\r\n")
		return
	case word == "health" && !c.p.acceptsClients():
		c.answer(503, "no clients are taken yet, or any more")
		return
	case word == "status":
		c.answer(200, c.p.status())
		return
	case word == "health":
		c.answer(200, "clients are taken")
		return
	}
	c.operate(word, id, c.p.loop.Now()+operateWithin)
}

// operate carries out a call on this proxy, in all its processes. One that is about to be handed what counts waits for it.
func (c *adminConn) operate(word, id string, until float64) {
	p := c.p
	switch {
	case !p.handover.done && p.loop.Now() < until:
		p.loop.After(pollIntervalSeconds, func() { c.operate(word, id, until) })
	case !p.handover.done:
		c.answer(503, "the process before this one has not handed over yet")
	case id != "" && !p.knows(id):
		c.answer(404, "no backend has this id")
	default:
		log.Printf("msg=ops call=%s id=%q", word, id)
		p.operateAll(word, id, func(err error) {
			if err != nil {
				log.Printf("msg=ops_not_kept call=%s id=%q error=%q", word, id, err)
				c.answer(503, "it holds here, but would not outlive this process: call again")
				return
			}
			c.answer(200, phrase(word))
		})
	}
}

// phrase is what a yes to the call says, nothing where there is no such call.
func phrase(word string) string {
	return map[string]string{"status": "how it stands", "health": "clients are taken", "quiesce": "clients are sent away", "resume": "the drain is over",
		"cordon": "nothing new goes there", "uncordon": "it is used again, cold"}[word]
}

// operate carries out one call that stands, in this process.
func (p *Proxy) operate(word, id string) {
	switch word {
	case "cordon":
		p.cordon(id)
	case "uncordon":
		p.uncordon(id)
	case "quiesce":
		p.startDrain()
	case "resume":
		p.endDrain()
	}
}
