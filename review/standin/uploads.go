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
	uploadsMemoryMB = 32        // LATER.md: 32 to 192 MB by language and day
	uploadBytes     = 250 << 10 // DAYS.md: up to 32 MB
	shortBytes      = 2000      // without the disruption
	groupSize       = 20        // clients that send at the same moment
	groups          = 3         // each sends in its turn
	groupPeriod     = groupSize * ordinaryPeriod
	orderWork       = 900 * time.Millisecond // of a place-order; book-delivery takes less
	bookingWork     = 250 * time.Millisecond
	answerGrace     = 500 * time.Millisecond // FLEET.md: up to half a second after its time it only earns nothing
)

func init() { cases["uploads"] = uploads }

// uploads plays a small deployment with 33 commands a second, of which 60% are orders and bookings.
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
	var turns [groups]chan struct{}
	for group := range groups {
		turns[group] = make(chan struct{})
		for n := range groupSize {
			clients.Add(1)
			go func() {
				defer clients.Done()
				sendInTurn(s, p.address, fmt.Sprintf("g%d-%02d", group, n), n, body, turns[group], &sent, &lost)
			}()
		}
	}
	stop := time.Now().Add(uploadsFor)
	for turn := 0; time.Now().Before(stop) && p.running(); turn++ {
		for range groupSize {
			select {
			case turns[turn%groups] <- struct{}{}:
			default: // this client still waits for an answer
			}
		}
		time.Sleep(groupPeriod)
	}
	for _, turn := range turns {
		close(turn)
	}
	clients.Wait()
	s.record.add("%d commands were written whole, %d of them got no answer", sent.Load(), lost.Load())
	return judge(p, sent.Load(), lost.Load()), nil
}

// uploadVerb returns the nth verb: of 20, 8 are stock checks, 7 orders and 5 bookings, about as the site has them.
func uploadVerb(n int) string {
	switch n %= 20; {
	case n < 8:
		return "stock-check"
	case n < 15:
		return "place-order"
	}
	return "book-delivery"
}

// sendInTurn is one client: at each of its group's turns it sends a command, on the connection that it keeps. The first command on
// a connection is a stock check. After an error the client opens another connection.
func sendInTurn(s setup, address, name string, n int, body string, turns <-chan struct{}, sent, lost *atomic.Int64) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	number := 0
	for range turns {
		verb, id := uploadVerb(n+number), fmt.Sprintf("%s-%03d", name, number)
		number++
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				s.record.add("client %s: %v", id, err)
				continue
			}
			verb = "stock-check"
		}
		s.record.add("client %s: sends a %s", id, verb)
		var o outcome
		if verb == "stock-check" {
			o = exchangeOn(conn, "GET", verb, id, 6, "")
		} else {
			o = upload(conn, verb, id, body)
		}
		report(s, id, o, sent, lost)
		if o.err != nil || o.closes {
			conn.Close()
			conn = nil
		}
	}
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
		o.status, o.closes = answer.StatusCode, answer.Close
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
