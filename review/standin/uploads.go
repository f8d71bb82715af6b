// This file is the case "uploads": orders with long bodies come in groups, and the proxy has not enough memory to hold all of
// them while their backends work. A client sends its order on a connection that it has used before, asks whether it may send
// the body (Expect: 100-continue), and writes the whole body once the proxy says so.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadsFor      = 40 * time.Second
	uploadsMemoryMB = 32                             // LATER.md: 32 to 192 MB by language and day
	uploadBytes     = 250 << 10                      // DAYS.md: up to 32 MB
	shortBytes      = 2000                           // without the disruption
	groupSize       = 40                             // clients that send at the same moment
	groupPeriod     = 2 * groupSize * ordinaryPeriod // each client sends two commands
	orderWork       = 900 * time.Millisecond         // of a place-order; book-delivery takes less
	bookingWork     = 250 * time.Millisecond
	answerGrace     = 500 * time.Millisecond // FLEET.md: up to half a second after its time it only earns nothing
)

func init() { cases["uploads"] = uploads }

// uploads plays a small deployment with 33 commands a second, of which 57% are orders and bookings.
func uploads(s setup) (verdict, error) {
	endpoints, err := startBackends(10, func(r backendRequest) bool { return answerOrder(s, r) })
	if err != nil {
		return "", err
	}
	p, err := startDeployment(s, endpoints, uploadsMemoryMB, smallDeployment(true))
	defer p.end()
	if err != nil {
		return "", err
	}
	size := shortBytes
	if s.trouble {
		size = uploadBytes
	}
	body := strings.Repeat("x", size)
	var sent, lost atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(uploadsFor)
	for group := 0; time.Now().Before(stop) && p.running(); group++ {
		start := make(chan struct{})
		for n := range groupSize {
			clients.Add(1)
			go func() {
				defer clients.Done()
				sendOne(s, p.address, fmt.Sprintf("g%03d-%02d", group, n), uploadVerb(n), body, start, &sent, &lost)
			}()
		}
		time.Sleep(groupPeriod)
		close(start)
	}
	clients.Wait()
	s.record.add("%d commands were written whole, %d of them got no answer", sent.Load(), lost.Load())
	return judge(p, sent.Load(), lost.Load()), nil
}

// uploadVerb returns the verb of a group's nth client: of 20, 8 stock checks, 7 orders and 5 bookings, as the site has them.
func uploadVerb(n int) string {
	switch n %= 20; {
	case n < 8:
		return "stock-check"
	case n < 15:
		return "place-order"
	}
	return "book-delivery"
}

// sendOne opens a connection, uses it for a stock check, and sends its command with its group.
func sendOne(s setup, address, id, verb, body string, start <-chan struct{}, sent, lost *atomic.Int64) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	report(s, id+"-first", exchangeOn(conn, "GET", "stock-check", id+"-first", 6, ""), sent, lost)
	<-start
	s.record.add("client %s: sends a %s", id, verb)
	if verb == "stock-check" {
		report(s, id, exchangeOn(conn, "GET", verb, id, 6, ""), sent, lost)
		return
	}
	report(s, id, upload(conn, verb, id, body), sent, lost)
}

// upload sends a command whose body waits for the proxy's 100 Continue. A client that is not told to go on does not write the
// body, and its command is not taken.
func upload(conn net.Conn, verb, id, body string) (o outcome) {
	head := strings.Replace(requestHead("POST", verb, id, 6, len(body)), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1)
	if _, o.err = io.WriteString(conn, head); o.err != nil {
		return o
	}
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(6*time.Second + answerGrace))
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		o.err = err
		return o
	}
	if answer.StatusCode == http.StatusContinue {
		if _, o.err = io.WriteString(conn, body); o.err != nil {
			return o
		}
		o.written = time.Now()
		conn.SetReadDeadline(o.written.Add(6*time.Second + answerGrace))
		if answer, o.err = http.ReadResponse(reader, nil); o.err != nil {
			return o
		}
	}
	if _, o.err = io.Copy(io.Discard, answer.Body); o.err == nil {
		o.status = answer.StatusCode
	}
	return o
}

// answerOrder answers after the work that its verb takes.
func answerOrder(s setup, r backendRequest) bool {
	s.record.add("%s: request %s has come, %d bytes", r.backend, r.id, len(r.body))
	work := orderWork
	if r.verb == "book-delivery" {
		work = bookingWork
	}
	return r.work(work) && r.answerWhole("answer to "+r.id)
}
