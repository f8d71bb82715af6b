// This file is the case "readers": some clients take a few response goals to read their answers, at a deployment whose settings
// state how many answers a proxy can hold for such clients.

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
	readersFor      = 30 * time.Second
	fetchSeconds    = 5                      // time limit of template-fetch
	fetchWork       = 200 * time.Millisecond // of template-fetch
	templateBytes   = 128 << 10              // of most templates
	longBytes       = 4 << 20                // of those that some clients read slowly; DAYS.md: up to 32 MB
	slowReaderEvery = 8                      // one client in so many reads slowly: 12.5%
	readingTime     = 6 * time.Second        // 3 response goals of 2 s: 700 kB/s
	pieceBytes      = 16 << 10
	longPrefix      = "long-"  // of the ids of commands for long templates
	socketBuffer    = 32 << 10 // of a backend's connection and a slow client's, so that little waits in the kernel
	responseRoom    = 40       // limits.response_room
)

func init() { cases["readers"] = readers }

// readers plays a proxy of a small deployment with 33 commands a second. With the disruption one client in eight reads slowly.
func readers(s setup) (verdict, error) {
	var cutOff, read atomic.Int64
	var broken sync.Map // ids of the answers that a backend could not give to their end
	endpoints, err := startBackends(10, func(r backendRequest) bool { return answerTemplate(s, r, &broken) })
	if err != nil {
		return "", err
	}
	p, err := startDeployment(s, endpoints, 192, closingsDeployment())
	defer p.end()
	if err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	stop := time.Now().Add(readersFor)
	for n := 0; time.Now().Before(stop) && p.running(); n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id, long := fmt.Sprintf("r%05d", n), n%slowReaderEvery == 3
			if long {
				id = longPrefix + id
			}
			if fetch(s, p.address, id, s.trouble && long) {
				read.Add(1)
			} else if waitBroken(&broken, id) {
				cutOff.Add(1)
			}
		}()
		time.Sleep(ordinaryPeriod)
	}
	clients.Wait()
	s.record.add("%d answers were whole, %d were cut off while their backends gave them", read.Load(), cutOff.Load())
	if !p.running() {
		return verdict("the proxy ended by itself: " + p.state), nil
	}
	if n := cutOff.Load(); n > 0 {
		return verdict(fmt.Sprintf("%d answers were cut off while their backends still gave them, %d were whole", n, read.Load())), nil
	}
	return "", nil
}

// waitBroken reports whether the backend could not give the answer to its end. It learns that a moment after the client.
func waitBroken(broken *sync.Map, id string) bool {
	for range 50 {
		if _, found := broken.Load(id); found {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// answerTemplate gives a template, as fast as it is taken.
func answerTemplate(s setup, r backendRequest, broken *sync.Map) bool {
	r.conn.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	if !r.work(fetchWork) {
		return false
	}
	line, size := "template for "+r.id+"\n", templateBytes
	if strings.HasPrefix(r.id, longPrefix) {
		size = longBytes
	}
	body := strings.Repeat(line, size/len(line))
	s.record.add("%s: answers request %s, %d bytes", r.backend, r.id, len(body))
	if !r.answerWhole(body) {
		s.record.add("%s: the connection broke while it gave the answer to %s", r.backend, r.id)
		broken.Store(r.id, true)
		return false
	}
	return true
}

// fetch asks for a template and reads the answer, slowly or at once. It reports whether the answer was whole, or never began: only
// an answer that has begun and can't be read to its end counts.
func fetch(s setup, address, id string, slowly bool) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	defer conn.Close()
	if slowly {
		conn.(*net.TCPConn).SetReadBuffer(socketBuffer)
	}
	s.record.add("client %s: sends a template-fetch", id)
	io.WriteString(conn, requestHead("GET", "template-fetch", id, fetchSeconds, 0))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		s.record.add("client %s: no answer, %v", id, err)
		return true
	}
	began, length, piece := time.Now(), int64(0), make([]byte, pieceBytes)
	for err == nil {
		var n int
		n, err = answer.Body.Read(piece)
		if length += int64(n); slowly {
			time.Sleep(time.Until(began.Add(readingTime * time.Duration(length) / longBytes)))
		}
	}
	s.record.add("client %s: slowly %t, read %d of %d bytes in %.1f s, %v", id, slowly, length, answer.ContentLength,
		time.Since(began).Seconds(), err)
	return err == io.EOF && length == answer.ContentLength
}

// closingsDeployment returns the settings object of a proxy of the first tier of ../given/kit/more/closings-north.toml, with one site and one office of it.
func closingsDeployment() map[string]any {
	settings := smallDeployment(true)
	settings["tiers"], settings["azs"] = []string{"packet-front", "packet-store"}, []string{"bangor"}
	limits := settings["limits"].(map[string]any)
	limits["max_relays"], limits["probes"], limits["retry_after"] = 3, false, true
	limits["response_room"] = responseRoom
	settings["load_info"] = map[string]any{"fields": []string{}, "how": "none"}
	settings["safety"] = map[string]any{"cold_share": 0.13, "cold_ms": 24000, "fall_multiple": 4, "fall_ms": 3000,
		"drain_grace_ms": 2000, "grace_to_answer_ms": 50}
	settings["verbs"] = []any{verbSettings("template-fetch", "idempotent", "all", 5000, 2000, 5000, 3),
		verbSettings("draft-save", "idempotent", "all", 5000, 1500, 4000, 5),
		verbSettings("packet-submit", "deduplicated", "cell", 1500, 1200, 3000, 5),
		verbSettings("deed-record", "at_most_once", "all", 5000, 1200, 4000, 8)}
	return settings
}
