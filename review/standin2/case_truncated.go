// This file is the case of a long answer with no length that is reset on the way and reaches its client as a whole one.

package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["truncated"] = truncatedCase }

const (
	truncatedClients = 160
	shortestAnswer   = 400 << 10 // bytes of the first answer; the pages: answers of up to 32 MB occur
	answerStep       = 4 << 10   // by which each further one is longer
	slowClientRate   = 64 << 10  // bytes a second; the pages: a body at 64 kB a second
	slowClientBuffer = 32 << 10  // receive buffer of a client on a poor link
	untilReset       = 500 * time.Millisecond
	answerEnd        = "the end"
)

// truncatedCase has slow clients read long answers that end with their connection. Each is reset before its end; without trouble each is
// given whole.
func truncatedCase(r *record, p *platform, trouble bool) error {
	var mu sync.Mutex
	given := 0
	f, err := startFleet(r, 4, warehouseWindow, nil, func(name string, _ *http.Request) behaviour {
		mu.Lock()
		defer mu.Unlock()
		given++
		length := shortestAnswer + given*answerStep
		return behaviour{work: warmWork, give: func(conn net.Conn, id string) { giveUnmeasured(r, conn, name, id, length, trouble) }}
	})
	if err != nil {
		return err
	}
	defer f.stop()
	proxy, err := f.startProxy(p, configuration("n0", freeAddress(), f.discovery.address(), warehouseVerbs()))
	if err != nil {
		return err
	}
	for _, a := range f.readSlowly(proxy.listen) {
		if a.status == http.StatusOK && !strings.HasSuffix(a.body, answerEnd) {
			r.breaks("the client of id=%s has a whole answer 200 of %d bytes, and the answer was reset before its end", a.id, len(a.body))
		}
	}
	return nil
}

// giveUnmeasured writes an answer without a length, which ends with the connection. With trouble a reset takes the place of its end.
func giveUnmeasured(r *record, conn net.Conn, name, id string, length int, trouble bool) {
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", length))
	time.Sleep(untilReset)
	if trouble {
		r.note("backend=%s resets its answer to id=%s after %d bytes", name, id, length)
		reset(conn)
		return
	}
	io.WriteString(conn, answerEnd)
	r.note("backend=%s ends its answer to id=%s after %d bytes", name, id, length+len(answerEnd))
}

// readSlowly has clients ask at the rate of the site and read their answers slowly.
func (f *fleet) readSlowly(address string) []answer {
	answers := make([]answer, truncatedClients)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() {
			c, err := connect(f.world, address)
			if err != nil {
				f.world.record.note("client can't connect: %v", err)
				return
			}
			defer c.conn.Close()
			c.conn.(*net.TCPConn).SetReadBuffer(slowClientBuffer)
			c.readRate = slowClientRate
			answers[i] = c.do(newRequest("stock-check", "idempotent", warehouseLimit, 0))
		})
		time.Sleep(time.Second / warehouseRate)
	}
	all.Wait()
	return answers
}
