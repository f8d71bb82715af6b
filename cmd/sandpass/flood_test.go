package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	quietSeconds      = 1.0
	floodSeconds      = 4.0
	responseGoal      = time.Second            // of the example configuration
	betweenRequests   = 25 * time.Millisecond  // of the client beside the flood
	floodBatchBytes   = 64 << 10               // written in one call
	floodRedialPeriod = 200 * time.Microsecond // between connections that the proxy closes
)

// echoBackend answers each request at once.
func echoBackend(t *testing.T) net.Listener {
	t.Helper()
	return serveBackend(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n%8d", n); err != nil {
				return
			}
		}
	})
}

// flood writes requests at full speed until the time is over, on one connection as long as that stays open, and reads what comes back
// unless deaf. first, if set, comes at the start of each connection. It returns the number of requests written.
func flood(address, first string, request func(n int) string, deaf bool, until time.Time) (sent int) {
	for ; time.Now().Before(until); time.Sleep(floodRedialPeriod) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		c.SetDeadline(until)
		ended := make(chan bool)
		go func() {
			defer close(ended)
			if !deaf {
				io.Copy(io.Discard, c)
				c.Close()
			}
		}()
		io.WriteString(c, first)
		for err == nil {
			var batch bytes.Buffer
			for batch.Len() < floodBatchBytes {
				sent++
				batch.WriteString(request(sent))
			}
			_, err = c.Write(batch.Bytes())
		}
		c.Close()
		<-ended
	}
	return sent
}

// askInTurn is a client that sends one request after another. It returns the answers a second and the longest wait for one.
func (p *constrainedProxy) askInTurn(seconds float64) (perSecond float64, slowest time.Duration) {
	p.t.Helper()
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	for n := 1; time.Now().Before(until); n++ { // the flood's ids are 0 and above
		began := time.Now()
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			p.t.Fatal(err)
		}
		answer := roundTrip(conn, requestHead("GET", "look", -n, "Connection: close\r\n\r\n"))
		conn.Close()
		slowest = max(slowest, time.Since(began))
		if strings.HasPrefix(answer, "HTTP/1.1 200") {
			perSecond += 1 / seconds
		} else if !strings.HasPrefix(answer, "HTTP/1.1 503") {
			p.t.Errorf("another client got %.80q after %v", answer, time.Since(began))
		}
		time.Sleep(betweenRequests)
	}
	return perSecond, slowest
}

// Guards against one client that harms others: while it sends small or unsound requests on one connection at full speed, also
// under ever new names, others' answers must be in time and memory within its limit.
func TestFloodOnOneConnectionHarmsNoOther(t *testing.T) {
	program := buildProgram(t)
	backend := echoBackend(t)
	request := func(verb, fields string) func(n int) string {
		return func(n int) string {
			return requestHead(map[string]string{"look": "GET", "pay": "POST"}[verb], verb, n, strings.ReplaceAll(fields, "#", fmt.Sprint(n)))
		}
	}
	constant := func(text string) func(int) string { return func(int) string { return text } }
	get := func(fields string) func(int) string { return request("look", fields+"\r\n") }
	post := func(fields string) func(int) string {
		return func(n int) string {
			return requestHead("POST", "pay", n, strings.ReplaceAll(fields, "#", fmt.Sprint(n))+"Content-Length: 0\r\n\r\n")
		}
	}
	unsoundChunks := requestHead("POST", "pay", 0, "Transfer-Encoding: chunked\r\n\r\n")
	for name, c := range map[string]struct {
		first   string
		request func(int) string
	}{
		"readiness":           {"", constant("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")},
		"readiness, unread":   {"", constant("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")},
		"no time, unread":     {"", func(n int) string { return strings.Replace(get("")(n), "Deadline: 6", "Deadline: 0.00001", 1) }},
		"blank lines":         {"", constant("\r\n")},
		"requests":            {"", get("")},
		"effects":             {"", post("")},
		"new customers":       {"", func(n int) string { return strings.Replace(get("")(n), "acme", fmt.Sprint("c", n), 1) }},
		"new resources":       {"", get("Req-Extra: resource=r-#\r\n")},
		"new fields":          {"", get("X-#: #\r\n")},
		"new verbs":           {"", func(n int) string { return strings.ReplaceAll(get("")(n), "look", fmt.Sprint("v", n)) }},
		"no time left":        {"", func(n int) string { return strings.Replace(get("")(n), "Deadline: 6", "Deadline: 0", 1) }},
		"hardly any time":     {"", func(n int) string { return strings.Replace(get("")(n), "Deadline: 6", "Deadline: 0.00001", 1) }},
		"the same id":         {"", constant(get("")(0))},
		"no id":               {"", func(n int) string { return strings.Replace(get("")(n), "Req-Id", "X-Id", 1) }},
		"noise":               {"", constant("\x00\x01\x02")},
		"chunks of one byte":  {unsoundChunks, constant("1\r\nx\r\n")},
		"very many fields":    {"", get(strings.Repeat("a:\r\n", 3500) + "Connection: b\r\n")},
		"options and fields":  {"", get("Connection: " + strings.Repeat("a,", 3000) + "b\r\n" + strings.Repeat("c:\r\n", 2000))},
		"large and unsound":   {"", request("pay", "Content-Length: 90000000000\r\n\r\n")},
		"interim is expected": {"", post("Expect: 100-continue\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			p := startConstrained(t, program, backend.Addr(), 1)
			quiet, _ := p.askInTurn(quietSeconds)
			sent := make(chan int)
			go func() {
				until := time.Now().Add(time.Duration(floodSeconds * float64(time.Second)))
				sent <- flood(p.address, c.first, c.request, strings.Contains(name, "unread"), until)
			}()
			perSecond, slowest := p.askInTurn(floodSeconds)
			peak := p.peakMemoryMB()
			t.Logf("%d flooded, others: %.1f answers a second (%.1f without), the slowest after %v; peak %.1f MiB of %d", <-sent,
				perSecond, quiet, slowest.Round(time.Millisecond), peak, leastMemoryMB)
			if slowest > responseGoal || perSecond < quiet/2 {
				t.Errorf("%.1f answers a second of %.1f, the slowest after %v", perSecond, quiet, slowest)
			}
			if peak > leastMemoryMB {
				t.Errorf("peak of %.1f MiB over the limit of %d", peak, leastMemoryMB)
			}
		})
	}
}
