package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	streamCount       = 240 // exchanges for each choice of settings
	concurrentStreams = 24
	streamDeadline    = 600 * time.Millisecond
	maxStreamPause    = 60 * time.Millisecond
	giveUpPeriod      = 25 * time.Millisecond
)

// streamPlan says how one client and the backends of its command behave.
type streamPlan struct {
	verb         string
	http10       bool // the client's version
	bodyBytes    int  // of the command
	sentBytes    int  // of these, after which the client leaves if they are fewer
	readsBody    bool // the backend reads the body before it answers
	framing      string
	answerBytes  int
	givenBytes   int    // of these, after which the backend ends the connection as told by end if they are fewer
	end          string // close, reset or hang
	pause        time.Duration
	hangsAtFirst bool // the first backend does not answer
	leaves       string
	readBytes    int // of the answer, after which the client leaves
}

// oneOf returns one of the values.
func oneOf[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// randomStreamPlan draws a plan.
func randomStreamPlan(random *rand.Rand) streamPlan {
	s := streamPlan{verb: oneOf(random, "look", "pay", "order"), http10: random.IntN(6) == 0, readsBody: random.IntN(3) > 0,
		framing: oneOf(random, "length", "chunks", "close"), answerBytes: oneOf(random, 500, 100<<10, 600<<10),
		end: oneOf(random, "close", "reset", "hang"), pause: time.Duration(random.Int64N(int64(maxStreamPause))),
		hangsAtFirst: random.IntN(10) == 0, leaves: oneOf(random, "", "", "close", "reset", "half close")}
	if s.verb != "look" {
		s.bodyBytes = oneOf(random, 0, 2000, 300<<10)
	}
	s.sentBytes, s.givenBytes = s.bodyBytes, s.answerBytes
	if s.leaves != "" && random.IntN(4) == 0 {
		s.sentBytes = random.IntN(s.bodyBytes + 1)
	}
	if random.IntN(4) == 0 {
		s.givenBytes = random.IntN(s.answerBytes)
	}
	s.readBytes = random.IntN(s.answerBytes)
	return s
}

// wantBytes returns how many bytes a whole answer has, or -1 if it can't be whole.
func (s *streamPlan) wantBytes() int {
	switch {
	case s.givenBytes == s.answerBytes:
		return s.answerBytes
	case s.framing == "close" && s.end == "close":
		return s.givenBytes
	}
	return -1
}

// requestID returns the Req-Id of the plan with this number.
func requestID(number int) string { return fmt.Sprintf("stream-%d", number) }

// request returns the command's head. number tells the backends which plan it is.
func (s *streamPlan) request(number int) string {
	method, version, fields := "GET", "1.1", ""
	if s.verb != "look" {
		method, fields = "POST", fmt.Sprintf("Content-Length: %d\r\n", s.bodyBytes)
	}
	if s.verb == "order" {
		fields += fmt.Sprintf("Idempotency-Key: k%d\r\n", number)
	}
	if s.http10 {
		version = "1.0"
	}
	return fmt.Sprintf("%s /%s/x?sid=%d HTTP/%s\r\nHost: app\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"+
		"Req-Deadline: %.1f\r\n%s\r\n", method, s.verb, number, version, requestID(number), s.verb,
		streamDeadline.Seconds(), fields)
}

// serve answers one request as planned. It reports whether the connection can carry another one.
func (s *streamPlan) serve(c net.Conn, r *http.Request, isFirst bool) bool {
	if s.readsBody {
		io.Copy(io.Discard, r.Body)
	}
	if s.hangsAtFirst && isFirst {
		c.Read(make([]byte, 1))
		return false
	}
	respondFramed(s.framing, numberedBody(s.answerBytes)[:s.givenBytes], 50_000, nil)(nil, answerConn{c, s}, r)
	if s.givenBytes == s.answerBytes {
		io.Copy(io.Discard, r.Body)
		return s.framing != "close"
	}
	time.Sleep(s.pause)
	switch s.end {
	case "reset":
		resetConn(nil, c, r)
	case "hang":
		c.Read(make([]byte, 1))
	}
	return false
}

// answerConn corrects what respondFramed writes for a part of an answer: the head states the whole length, the last chunk is
// left out, and the connection stays open.
type answerConn struct {
	net.Conn
	plan *streamPlan
}

func (c answerConn) Close() error { return nil }

func (c answerConn) Write(data []byte) (int, error) {
	if c.plan.givenBytes < c.plan.answerBytes && bytes.HasPrefix(data, []byte("000\r\n")) {
		return len(data), nil
	}
	if bytes.HasPrefix(data, []byte("Content-Length: ")) {
		_, err := fmt.Fprintf(c.Conn, "Content-Length: %d\r\n\r\n", c.plan.answerBytes)
		return len(data), err
	}
	return c.Conn.Write(data)
}

// play sends the command as its client does, and returns what is wrong with what the client got.
func (s *streamPlan) play(address string, number int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() {
		io.WriteString(conn, s.request(number))
		conn.Write(numberedBody(s.sentBytes))
	}()
	client := &testClient{conn, nil}
	if s.leaves != "" {
		return client.leave(s)
	}
	client.in = bufio.NewReader(conn)
	rsp, err := http.ReadResponse(client.in, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	got, err := io.ReadAll(rsp.Body)
	want := s.wantBytes()
	if rsp.StatusCode == 200 && err == nil && (want < 0 || !bytes.Equal(got, numberedBody(s.answerBytes)[:want])) {
		return fmt.Errorf("%d bytes were taken for a whole answer, want %d", len(got), want)
	}
	return nil
}

// leave reads a part of the answer and ends the connection.
func (c *testClient) leave(s *streamPlan) error {
	time.Sleep(s.pause)
	if s.sentBytes == s.bodyBytes {
		io.CopyN(io.Discard, c.Conn, int64(s.readBytes))
	}
	switch s.leaves {
	case "reset":
		c.Conn.(*net.TCPConn).SetLinger(0)
	case "half close":
		c.Conn.(*net.TCPConn).CloseWrite()
		time.Sleep(s.pause)
	}
	return nil
}

// Guards against a handler that relies on a client, a command, a relay or a connection that another event has ended: streams in
// both directions end in any way, under each choice of the settings that decide what stays open then. STREAM_SEED selects
// another seed for a run by hand.
func TestStreamsEndInAnyWay(t *testing.T) {
	seed := uint64(57)
	if text := os.Getenv("STREAM_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	for choice := range 8 {
		cancel, hedges, room := choice&1 != 0, choice&2 != 0, choice>>2*2
		t.Run(fmt.Sprintf("cancel %t, hedges %t, room and commands given up %t", cancel, hedges, room > 0), func(t *testing.T) {
			t.Parallel()
			settings := strings.NewReplacer(`"cancel": true`, fmt.Sprintf(`"cancel": %t`, cancel),
				`"second_copies": true`, fmt.Sprintf(`"second_copies": %t`, hedges),
				`"max_relays": 3`, fmt.Sprintf(`"max_relays": 3, "response_room": %d`, room),
				`"response_goal_ms": 2500`, `"response_goal_ms": 200`).Replace(settingsText)
			random := rand.New(rand.NewPCG(seed, uint64(choice)))
			plans := make([]streamPlan, streamCount)
			for i := range plans {
				plans[i] = randomStreamPlan(random)
			}
			playStreams(t, settings, plans, room > 0)
		})
	}
}

// giveUpOldest gives up the oldest open command as the Balancer does, now and then, and notes its Req-Id. It must be called before
// the first command.
func giveUpOldest(p *Proxy, givenUp *sync.Map) {
	p.loop.PostFromAnyGoroutine(func() {
		p.runEvery(giveUpPeriod.Seconds(), func() {
			var oldest *command
			for _, cmd := range p.commands {
				if !cmd.done && (oldest == nil || cmd.id < oldest.id) {
					oldest = cmd
				}
			}
			if oldest != nil {
				givenUp.Store(oldest.key, true)
				p.Terminate(oldest.id)
				p.balancer.ClientDisconnected(p.loop.Now(), oldest.id)
			}
		})
	})
}

// playStreams plays the plans with some at a time, and checks that nothing is left of them. If givesUp is set, the oldest open
// command is given up every giveUpPeriod.
func playStreams(t *testing.T, settings string, plans []streamPlan, givesUp bool) {
	var seen sync.Map // numbers of plans of which a backend has had a request
	var endpoints []jsonObject
	for i := range 4 {
		endpoints = append(endpoints, readyEndpoint(fmt.Sprintf("s-%d", i), newRawBackend(t, func(c net.Conn, r *http.Request) bool {
			number, err := strconv.Atoi(r.URL.Query().Get("sid"))
			if err != nil {
				t.Errorf("a backend got %s", r.URL)
				return false
			}
			_, isRepeat := seen.LoadOrStore(number, true)
			return plans[number].serve(c, r, !isRepeat)
		})))
	}
	config := testConfig(endpointList(1, true, endpoints...), nil, settings)
	config.Limits.Sockets = 400
	created, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	p := runProxy(t, created)
	var givenUp sync.Map // Req-Ids
	if givesUp {
		giveUpOldest(p.Proxy, &givenUp)
	}
	numbers := make(chan int)
	var clients sync.WaitGroup
	for range concurrentStreams {
		clients.Go(func() {
			for n := range numbers {
				err := plans[n].play(p.Addr().String(), n)
				if _, givenUp := givenUp.Load(keyOf(requestID(n))); err != nil && !givenUp {
					t.Errorf("%+v: %v", plans[n], err)
				}
			}
		})
	}
	for n := range plans {
		numbers <- n
	}
	close(numbers)
	clients.Wait()
	p.wantNothingOpen(t)
	p.await(t, "all buffers are released", func() bool { return p.loop.BufferedBytes() == 0 })
	p.onLoop(func() {
		if p.clients.awaitingAnswer != 0 {
			t.Errorf("%d clients count as waiting", p.clients.awaitingAnswer)
		}
		for bc := range p.backends.conns {
			if bc.relay != nil || bc.answer != answerBuffered {
				t.Errorf("a connection to %s carries a relay of no command", bc.backend.name)
			}
		}
	})
}
