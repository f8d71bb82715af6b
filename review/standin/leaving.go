// This file is the case "leaving": clients leave while an answer without a length is passed on to them, in a deployment whose
// settings forbid to cancel attempts.

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
	leavingFor     = 20 * time.Second
	ordinaryPeriod = 30 * time.Millisecond  // 33 commands a second
	ordinaryWork   = 400 * time.Millisecond // of a stock check
	longEvery      = 25                     // one command in so many has a long answer: 4%
	longParts      = 4                      // of a long answer
	partPeriod     = 150 * time.Millisecond
	lastPart       = 600 * time.Millisecond // from the last part to the end of the connection
	leaveAfter     = 500 * time.Millisecond // from the head of the answer
)

func init() { cases["leaving"] = leaving }

// leaving plays a small deployment. With the disruption, the clients of long answers leave when they have read a part.
func leaving(s setup) (verdict, error) {
	endpoints, err := startBackends(8, func(r backendRequest) bool { return answerLeaving(s, r) })
	if err != nil {
		return "", err
	}
	p, err := startDeployment(s, endpoints, 192, smallDeployment(false))
	defer p.end()
	if err != nil {
		return "", err
	}
	var sent, lost atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(leavingFor)
	for n := 0; time.Now().Before(stop) && p.running(); n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if n%longEvery == 5 {
				askLong(s, p.address, fmt.Sprintf("long-%05d", n))
				return
			}
			id := fmt.Sprintf("r%05d", n)
			s.record.add("client %s: sends a stock-check", id)
			report(s, id, exchange(p.address, "GET", "stock-check", id, 6, ""), &sent, &lost)
		}()
		time.Sleep(ordinaryPeriod)
	}
	clients.Wait()
	return judge(p, sent.Load(), lost.Load()), nil
}

// answerLeaving answers an ordinary command after its work, and a long one in parts, up to the end of the connection.
func answerLeaving(s setup, r backendRequest) bool {
	s.record.add("%s: request %s has come", r.backend, r.id)
	if !strings.HasPrefix(r.id, "long-") {
		return r.work(ordinaryWork) && r.answerWhole("answer to "+r.id)
	}
	io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	for i := range longParts {
		fmt.Fprintf(r.conn, "part %d of the answer to %s\n", i, r.id)
		time.Sleep(partPeriod)
	}
	time.Sleep(lastPart)
	s.record.add("%s: the answer to %s ends with its connection", r.backend, r.id)
	return false
}

// askLong asks for a long answer. With the disruption the client closes its connection while the answer comes.
func askLong(s setup, address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	s.record.add("client %s: sends a stock-check", id)
	io.WriteString(conn, requestHead("GET", "stock-check", id, 6, 0))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.record.add("client %s: %v", id, err)
		return
	}
	if s.trouble {
		time.Sleep(leaveAfter)
		s.record.add("client %s leaves", id)
		return
	}
	text, err := io.ReadAll(answer.Body)
	s.record.add("client %s: status %d, %d bytes, error %v", id, answer.StatusCode, len(text), err)
}
