// This file serves the admin endpoint: its listener, its connections and the answers to requests. It must not wait
// for clients, backends or memory. Each operation is implemented by one method elsewhere.

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
	adminDescriptors     = 16 // reserved for the listener, its connections and some that are being accepted
	maxAdminConns        = 12
	adminReadSeconds     = 2.0     // to receive a request; it is to be answered within 1 s of its last byte
	adminLingerSeconds   = 0.5     // for the caller to read the answer and close
	maxAdminRequestBytes = 4 << 10 // the size of a first read buffer, which is allocated even when memory is short
	maxAdminDiscardBytes = 1 << 20 // discarded after a request, so that closing doesn't reset the answer
)

// adminServer is the admin endpoint.
type adminServer struct {
	addr     netip.AddrPort // invalid if there is no admin endpoint
	listener *loop.Listener
	conns    list.List // *adminConn, oldest first
}

// parseAdminAddr parses the endpoint's address. An empty text means no endpoint.
func parseAdminAddr(text string) (addr netip.AddrPort, err error) {
	if text != "" {
		if addr, err = netip.ParseAddrPort(text); err != nil {
			err = fmt.Errorf("ops: %w", err)
		}
	}
	return addr, err
}

// listenAdmin opens the admin listener.
func (p *Proxy) listenAdmin() (err error) {
	admin := &p.admin
	if admin.addr.IsValid() {
		always := func() bool { return true } // acceptAdmin closes old connections instead
		if admin.listener, err = p.loop.Listen(admin.addr, maxAdminRequestBytes, always, p.acceptAdmin,
			p.onDescriptorShortage); err != nil {
			err = fmt.Errorf("ops: %w", err)
		}
	}
	return err
}

// adminConn is one connection to the admin endpoint. It carries one request.
type adminConn struct {
	p        *Proxy
	conn     *loop.Conn
	msg      http1.Message
	element  *list.Element
	answered bool // the answer has been written
	closed   bool
}

// acceptAdmin handles a new connection. If there are too many, the oldest ones without an answer are closed first, so
// that silent callers can't keep others out.
func (p *Proxy) acceptAdmin(conn *loop.Conn) loop.Handler {
	admin := &p.admin
	c := &adminConn{p: p, conn: conn}
	c.element = admin.conns.PushBack(c)
	p.loop.After(adminReadSeconds, func() {
		if !c.closed && !c.answered {
			c.respond(408, "the call did not come in time")
		}
	})
	for _, answered := range [2]bool{false, true} {
		for e := admin.conns.Front(); e != nil && admin.conns.Len() > maxAdminConns; {
			old := e.Value.(*adminConn)
			if e = e.Next(); old != c && old.answered == answered {
				old.close()
			}
		}
	}
	return c
}

// close closes the connection. Every admin connection is closed here.
func (c *adminConn) close() {
	if !c.closed {
		c.closed = true
		c.p.admin.conns.Remove(c.element)
		c.conn.Close()
	}
}

// OnConnect does nothing, since the connection was accepted.
func (c *adminConn) OnConnect(*loop.Conn) {}

// OnFlushed closes the write side once the answer is sent.
func (c *adminConn) OnFlushed(*loop.Conn) {
	if c.answered {
		c.conn.CloseWrite()
	}
}

// OnDisconnect closes the connection.
func (c *adminConn) OnDisconnect(*loop.Conn, error) { c.close() }

// OnData reads the request.
func (c *adminConn) OnData(*loop.Conn) {
	if c.answered {
		return
	}
	if !c.msg.HeadComplete() {
		c.conn.Consume(http1.LeadingBlankLines(c.conn.Unconsumed()))
	}
	request := c.conn.Unconsumed()
	if len(request) == 0 {
		return
	}
	complete, err := c.msg.ParseCommand(request)
	var protocolErr *http1.ProtocolError
	switch {
	case errors.As(err, &protocolErr):
		c.respond(protocolErr.Status, protocolErr.Text)
	case complete:
		c.handle(string(c.msg.Method(request)), string(c.msg.Target(request)))
	case c.conn.ReadBufferFull():
		c.respond(413, "the call is too large")
	}
}

// respond sends the answer and ends the request.
func (c *adminConn) respond(status int, text string, fields ...string) {
	if c.closed || c.answered {
		return
	}
	c.answered = true
	c.conn.Write(c.p.responseHead(status, len(text)+1, false), []byte(strings.Join(fields, "")+"\r\n"+text+"\n"))
	if !c.conn.HasUnsent() {
		c.conn.CloseWrite()
	}
	c.conn.Discard(maxAdminDiscardBytes)
	c.p.loop.After(adminLingerSeconds, c.close)
}

// handle executes a complete request.
func (c *adminConn) handle(method, target string) {
	path, _, _ := strings.Cut(target, "?")
	relative, _ := strings.CutPrefix(path, "/admin/")
	operation, id, hasID := strings.Cut(relative, "/")
	id, err := url.PathUnescape(id)
	wantMethod := "POST"
	if operation == "health" || operation == "status" {
		wantMethod = "GET"
	}
	switch {
	case relative == path || err != nil || hasID != (id != "") ||
		hasID != (operation == "cordon" || operation == "uncordon") || successText(operation) == "":
		c.respond(404, "no such call")
		return
	case method != wantMethod:
		c.respond(405, "the call is a "+wantMethod, "Allow: "+wantMethod+"\r\n")
		return
	case operation == "health" && !c.p.acceptsClients():
		c.respond(503, "no clients are taken yet, or any more")
		return
	case operation == "status":
		c.respond(200, c.p.status())
		return
	case operation == "health":
		c.respond(200, "clients are taken")
		return
	}
	c.runOperation(operation, id, c.p.loop.Now()+operationTimeoutSeconds)
}

// runOperation runs an operation on this proxy, in all its processes. While a handover is under way, it waits for the
// predecessor's state first.
func (c *adminConn) runOperation(operation, id string, until float64) {
	p := c.p
	switch {
	case !p.handover.done && p.loop.Now() < until:
		p.loop.After(pollIntervalSeconds, func() { c.runOperation(operation, id, until) })
	case !p.handover.done:
		c.respond(503, "the process before this one has not handed over yet")
	case id != "" && !p.knowsBackend(id):
		c.respond(404, "no backend has this id")
	default:
		log.Printf("msg=ops call=%s id=%q", operation, id)
		p.applyEverywhere(operation, id, func(err error) {
			if err != nil {
				log.Printf("msg=ops_not_kept call=%s id=%q error=%q", operation, id, err)
				c.respond(503, "it holds here, but would not outlive this process: call again")
				return
			}
			c.respond(200, successText(operation))
		})
	}
}

// successText returns the answer to a successful request, or "" if there is no such request.
func successText(operation string) string {
	return map[string]string{"status": "how it stands", "health": "clients are taken", "quiesce": "clients are sent away",
		"resume": "the drain is over",
		"cordon": "nothing new goes there", "uncordon": "it is used again, cold"}[operation]
}

// applyOperation applies a lasting operation in this process.
func (p *Proxy) applyOperation(operation, id string) {
	switch operation {
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
