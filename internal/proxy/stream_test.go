package proxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// numberedBody returns a body of n bytes that contains its offset every 4096 bytes.
func numberedBody(n int) []byte {
	b := bytes.Repeat([]byte("0123456789abcdefghijklmnopqrstu\n"), n/32+1)[:n]
	for i := 0; i+8 <= n; i += 4096 {
		copy(b[i:], fmt.Sprintf("%08d", i))
	}
	return b
}

// respondFramed answers 200 with the body framed by "length", "chunks" or "close", in pieces. beforePiece, if set, is called
// before each piece with the number of bytes sent, and closes the connection by returning false.
func respondFramed(framing string, body []byte, piece int,
	beforePiece func(sent int) bool) func(*fakeBackend, net.Conn, *http.Request) {
	return func(_ *fakeBackend, c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n")
		switch framing {
		case "length":
			fmt.Fprintf(c, "Content-Length: %d\r\nContent-Length: %d\r\n\r\n", len(body), len(body))
		case "chunks":
			fmt.Fprint(c, "Transfer-Encoding: chunked\r\n\r\n")
		case "close":
			fmt.Fprint(c, "\r\n")
		}
		for offset := 0; offset < len(body); offset += piece {
			part := body[offset:min(offset+piece, len(body))]
			if beforePiece != nil && !beforePiece(offset) {
				c.Close()
				return
			}
			if framing == "chunks" {
				fmt.Fprintf(c, "%x;a=\"b\"\r\n%s\r\n", len(part), part)
			} else if _, err := c.Write(part); err != nil {
				return
			}
		}
		if framing == "chunks" {
			io.WriteString(c, "000\r\nX-Sum: 1\r\n\r\n")
		} else if framing == "close" {
			c.Close()
		}
	}
}

func TestLargeAnswers(t *testing.T) {
	body := numberedBody(8 << 20)
	wantSum := sha256.Sum256(body)
	for _, framing := range []string{"length", "chunks", "close"} {
		t.Run("many at once are streamed completely with little memory: "+framing, func(t *testing.T) {
			t.Parallel()
			b := newFakeBackend(t, respondFramed(framing, body, 50000, nil))
			l := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
			l.loop.MaxBufferBytes = 8 << 20
			p := runProxy(t, l)
			results := make(chan error, 6)
			for range cap(results) {
				c := p.dial(t)
				go func() {
					io.WriteString(c, requestText("look"))
					rsp, err := http.ReadResponse(c.in, nil)
					if err != nil {
						results <- err
						return
					}
					h := sha256.New()
					if _, err = io.Copy(h, rsp.Body); err == nil && !bytes.Equal(h.Sum(nil), wantSum[:]) {
						err = fmt.Errorf("the body differs")
					}
					results <- err
				}()
			}
			for range cap(results) {
				if err := <-results; err != nil {
					t.Error(err)
				}
			}
			p.onLoop(func() {
				if p.loop.BufferedBytes() > 0 {
					t.Errorf("%d bytes are still buffered", p.loop.BufferedBytes())
				}
			})
		})
		t.Run("one that breaks off is detectably incomplete: "+framing, func(t *testing.T) {
			t.Parallel()
			b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
				respondFramed(framing, body, 50000, func(sent int) bool { return sent < 1<<20 })(b, c, r)
				resetConn(b, c, r)
			})
			if framing == "close" {
				b = newFakeBackend(t, func(_ *fakeBackend, c net.Conn, _ *http.Request) {
					c.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), body[:1<<20]...))
					time.Sleep(50 * time.Millisecond)
					resetConn(nil, c, nil)
				})
			}
			c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
			if status, got, _ := c.roundTrip(requestText("pay", "Content-Length: 0\r\n")); status == 200 {
				t.Errorf("%d bytes were taken for a complete answer", len(got))
			}
			if b.commands.Load() != 1 {
				t.Errorf("sent %d times", b.commands.Load())
			}
		})
	}
	t.Run("a client that does not read slows its own backend connection only", func(t *testing.T) {
		t.Parallel()
		var sent atomic.Int64
		b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
			if r.URL.Query().Get("sid") == "1" {
				echo(b, c, r)
				return
			}
			respondFramed("length", numberedBody(32<<20), 50000, func(n int) bool { sent.Store(int64(n)); return true })(b, c, r)
		})
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		c := p.dial(t)
		io.WriteString(c, strings.Replace(requestText("look"), "sid=1", "sid=2", 1))
		c.in.ReadByte()
		other := p.dial(t)
		for range 20 {
			if status, _, _ := other.roundTrip(requestText("look")); status != 200 {
				t.Errorf("another client got %d", status)
			}
		}
		time.Sleep(300 * time.Millisecond)
		var held int
		p.onLoop(func() { held = p.loop.BufferedBytes() })
		if n := sent.Load(); n > 24<<20 || held > 1<<20 {
			t.Errorf("%d bytes were read from the backend, %d are buffered", n, held)
		}
		c.in.UnreadByte()
		if status, got, _ := c.readAnswer(); status != 200 || len(got) != 32<<20 {
			t.Errorf("the whole answer: %d, %d bytes", status, len(got))
		}
	})
	t.Run("a slow one that makes progress may exceed its time limit, and is not cut by a drain", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, respondFramed("chunks", numberedBody(300<<10), 10<<10, func(int) bool {
			time.Sleep(120 * time.Millisecond)
			return true
		}))
		p := runWithAdmin(t, endpointList(1, true, readyEndpoint("s-1", b)), nil)
		c, began := p.dial(t), time.Now()
		io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
		c.in.Peek(1)
		if d := time.Since(began); d > 800*time.Millisecond {
			t.Errorf("the first byte arrived after %v", d)
		}
		p.wantAdminStatus(t, 200, "POST", "/admin/quiesce")
		if status, got, _ := c.readAnswer(); status != 200 || len(got) != 300<<10 || time.Since(began) < 3*time.Second {
			t.Errorf("%d, %d bytes after %v", status, len(got), time.Since(began))
		}
	})
	t.Run("an HTTP/1.0 client gets one of unknown length without chunks", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, respondFramed("chunks", numberedBody(200<<10), 50000, nil))
		c := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)).dial(t)
		io.WriteString(c, strings.Replace(requestText("look"), "HTTP/1.1", "HTTP/1.0", 1))
		all, err := io.ReadAll(c.in)
		if _, got, _ := bytes.Cut(all, []byte("\r\n\r\n")); err != nil || !bytes.Equal(got, numberedBody(200<<10)) {
			t.Errorf("%d bytes, %v", len(got), err)
		}
	})
}

func TestLargeCommands(t *testing.T) {
	body := numberedBody(3 << 20)
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", len(body)),
		"chunks": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run("one is streamed in slow pieces, and so is the next on its connection: "+name, func(t *testing.T) {
			t.Parallel()
			b := newFakeBackend(t, echo)
			l := newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil)
			l.loop.MaxBufferBytes = 1 << 20
			c := runProxy(t, l).dial(t)
			for range 2 {
				io.WriteString(c, requestText("pay", framing))
				if name == "length" {
					if status, _, _ := c.readAnswer(); status != 100 {
						t.Fatalf("status %d, want 100", status)
					}
				}
				go func() {
					for at := 0; at < len(body); at += 100_003 {
						part := body[at:min(at+100_003, len(body))]
						if name == "chunks" {
							fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
						} else {
							c.Write(part)
						}
						time.Sleep(10 * time.Millisecond)
					}
					if name == "chunks" {
						io.WriteString(c, "0\r\n\r\n")
					}
				}()
				if status, got, _ := c.readAnswer(); status != 200 || got != "echo:"+string(body) {
					t.Fatalf("%d, %d bytes", status, len(got))
				}
			}
			if b.commands.Load() != 2 {
				t.Errorf("2 commands were sent %d times", b.commands.Load())
			}
		})
	}
	// The outcome of a command with a streamed body depends on whether its last byte was written.
	for name, c := range map[string]struct {
		wait     time.Duration // from the client's first bytes until the backend resets the connection
		status   int
		readBody bool
	}{"a reset before the last byte is declined": {100 * time.Millisecond, 503, false},
		"a reset after the last byte is terminated and not sent again": {0, 502, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			var heads atomic.Int32
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err == nil {
						heads.Add(1)
						if c.readBody {
							io.Copy(io.Discard, r.Body)
						}
						time.Sleep(c.wait)
					}
					resetConn(nil, conn, nil)
				}
			}()
			p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", l), readyEndpoint("s-2", l)), nil))
			client := p.dial(t)
			io.WriteString(client, requestText("pay", fmt.Sprintf("Content-Length: %d\r\n", len(body))))
			client.Write(body[:1<<20])
			if c.readBody {
				client.Write(body[1<<20:])
			}
			if status, _, h := client.readAnswer(); status != c.status || !c.readBody && h.Get("Connection") != "close" {
				t.Errorf("%d %v", status, h)
			}
			if heads.Load() != 1 {
				t.Errorf("sent %d times", heads.Load())
			}
		})
	}
	t.Run("one that stalls is answered 408, and its backend connection is closed", func(t *testing.T) {
		t.Parallel()
		b := newFakeBackend(t, echo)
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", b)), nil))
		c := p.dial(t)
		io.WriteString(c, requestText("pay", "Content-Length: 3000000\r\n"))
		c.Write(body[:500_000])
		if status, _, _ := c.readAnswer(); status != 408 || b.commands.Load() != 0 {
			t.Errorf("%d, the backend got %d complete commands", status, b.commands.Load())
		}
		p.onLoop(func() {
			if len(p.commands) != 0 || len(p.backends.conns) != 0 {
				t.Errorf("%d commands and %d connections are still open", len(p.commands), len(p.backends.conns))
			}
		})
	})
	t.Run("a body at the rate of slow clients and a head that takes two seconds are accepted", func(t *testing.T) {
		t.Parallel()
		p := runProxy(t, newTestProxy(t, 200, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))), nil))
		c := p.dial(t)
		head := requestText("pay", "Content-Length: 200000\r\n")
		for i := 0; i < len(head); i += len(head)/20 + 1 {
			io.WriteString(c, head[i:min(len(head), i+len(head)/20+1)])
			time.Sleep(100 * time.Millisecond)
		}
		for at := 0; at < 200_000; at += 10_000 {
			c.Write(body[at : at+10_000])
			time.Sleep(156 * time.Millisecond)
		}
		if status, got, _ := c.readAnswer(); status != 200 || len(got) != 200_005 {
			t.Errorf("%d, %d bytes", status, len(got))
		}
	})
}
