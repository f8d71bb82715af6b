package http1

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

const good = "POST /buy?sid=7 HTTP/1.1\r\nHost: a\r\nReq-Id: 9b\r\nX-Two:  b c \r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"

// grow feeds the text byte by byte, as the smallest reads would, and tells where it was whole.
func grow(t *testing.T, text string, step func(*Message, []byte) (bool, error)) (*Message, []byte, int) {
	t.Helper()
	var m Message
	var in []byte
	for i := range len(text) {
		in = append(append(make([]byte, 0, len(in)+1), in...), text[i]) // moved with every read
		whole, err := step(&m, in)
		if err != nil {
			t.Fatalf("after %d bytes: %v", i+1, err)
		}
		if whole {
			return &m, in, i + 1
		}
	}
	t.Fatal("it never was whole")
	return nil, nil, 0
}

func TestCommandInPieces(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nhello",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n003\r\nllo\r\n0\r\nTrail: er\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m, in, n := grow(t, good+rest+"GET /", (*Message).ParseCommand)
			if n != len(good+rest) || m.Size() != n {
				t.Errorf("whole after %d bytes, size %d, want %d", n, m.Size(), len(good+rest))
			}
			if string(m.Method(in)) != "POST" || string(m.Target(in)) != "/buy?sid=7" || string(m.Body(in)) != "hello" {
				t.Errorf("read %s %s %q", m.Method(in), m.Target(in), m.Body(in))
			}
			if !m.KeepAlive || string(m.Get(in, "x-two")) != "b c" || m.Get(in, "none") != nil {
				t.Errorf("keep %t, field %q", m.KeepAlive, m.Get(in, "x-two"))
			}
			if f := string(m.AppendFields(nil, in, "Host")); f != "Req-Id: 9b\r\nX-Two: b c\r\n" {
				t.Errorf("goes on with %q", f)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	read := func(ended bool) func(*Message, []byte) (bool, error) {
		return func(m *Message, in []byte) (bool, error) { return m.ParseResponse(in, ended) }
	}
	m, in, n := grow(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP", read(false))
	if m.Status != 200 || string(m.Body(in)) != "ok" || n != 65 || !m.KeepAlive {
		t.Errorf("after an interim answer: %d %q after %d bytes, keep %t", m.Status, m.Body(in), n, m.KeepAlive)
	}
	m, in, _ = grow(t, "HTTP/1.1 200 OK\r\nSrv-Load: \x01\xffin;flight\rx\r\nContent-Length: 0\r\n\r\n", read(false))
	if m.Status != 200 || len(m.AppendFields(nil, in)) != 0 {
		t.Errorf("a load report that can't be read spoils its answer or goes on: %q", m.AppendFields(nil, in))
	}
	m, _, _ = grow(t, "HTTP/1.1 204 \r\n\r\n", read(false))
	if m.Status != 204 {
		t.Errorf("no content: %d", m.Status)
	}
	text := []byte("HTTP/1.1 200 OK\r\n\r\nall of it")
	var open Message
	if whole, err := open.ParseResponse(text, false); whole || err != nil {
		t.Errorf("a body that runs to the end is not whole before it: %t %v", whole, err)
	}
	if whole, _ := open.ParseResponse(text, true); !whole || open.KeepAlive || string(open.Body(text)) != "all of it" {
		t.Errorf("at the end: %t, keep %t, %q", whole, open.KeepAlive, open.Body(text))
	}
	for name, text := range map[string]string{
		"garbage": "SSH-2.0-x\r\n\r\n", "status": "HTTP/1.1 2x0 OK\r\n\r\n", "short": "HTTP/1.1\r\n\r\n",
		"switch": "HTTP/1.1 101 X\r\n\r\n", "lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
		"chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
		"no line's end": "\xb9=\x17", "half a line": "HTTP/2", "half a field": "HTTP/1.1 200 OK\r\nno colon \xff",
	} {
		var m Message
		if whole, err := m.ParseResponse([]byte(text), false); whole || err == nil {
			t.Errorf("%s: taken for an answer", name)
		}
	}
}

func TestBadCommands(t *testing.T) {
	long := strings.Repeat("a", MaxHeadBytes)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no version":            {"GET /\r\n\r\n", 400},
		"another protocol":      {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"blank in the target":   {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"no host":               {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":             {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"blank before colon":    {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"folded line":           {"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", 400},
		"control byte":          {"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", 400},
		"line feed alone":       {"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400},
		"length and coding":     {good + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"two lengths":           {good + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
		"signed length":         {good + "Content-Length: +3\r\n\r\n", 400},
		"overflowing length":    {good + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"unknown coding":        {good + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"large body":            {good + "Content-Length: 33554433\r\n\r\n", 413},
		"large chunk":           {good + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n" + strings.Repeat("b", MaxBodyBytes+1), 413},
		"bad chunk size":        {good + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
		"chunk past its length": {good + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
		"two equal lengths":     {good + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
		"line feed in a chunk":  {good + "Transfer-Encoding: chunked\r\n\r\n1;a\nb\r\n", 400},
		"target of odd bytes":   {"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		// Nothing need follow for these to be told.
		"noise":             {"\x16\x03\x01", 400},
		"half a field":      {"GET / HTTP/1.1\r\nno such name", 400},
		"half a chunk size": {good + "Transfer-Encoding: chunked\r\n\r\nzz", 400},
		"half a chunk":      {good + "Transfer-Encoding: chunked\r\n\r\n1\r\nab", 400},
		"large head":        {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		"endless head":      {"GET /" + long, 431},
	} {
		t.Run(name, func(t *testing.T) {
			var m Message
			whole, err := m.ParseCommand([]byte(c.text))
			var f *ProtocolError
			if whole || !errors.As(err, &f) || f.Status != c.status {
				t.Errorf("whole %t, %v, want %d", whole, err, c.status)
			}
		})
	}
}

// FuzzMessage holds the parser to its word: what it takes for whole lies within the bytes, and however the bytes come, the
// end is the same.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(good+"Content-Length: 5\r\n\r\nhello"), 7)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 30)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		for _, read := range []func(*Message, []byte) (bool, error){
			(*Message).ParseCommand, func(m *Message, in []byte) (bool, error) { return m.ParseResponse(in, false) },
		} {
			var one, two Message
			pieces := append([]byte{}, text...) // chunks are moved together in place
			first, bad := read(&two, pieces[:min(len(text), max(0, cut))])
			whole, err := read(&one, append([]byte{}, text...))
			if bad != nil && err == nil || first && !whole {
				t.Fatalf("a beginning is judged %t %v, all of it %t %v", first, bad, whole, err)
			}
			if first || bad != nil {
				continue
			}
			again, bad := read(&two, pieces)
			if again != whole || (bad == nil) != (err == nil) || whole && (one.Size() != two.Size() || one.Size() > len(text)) {
				t.Fatalf("in pieces %t %v %d, at once %t %v %d", again, bad, two.Size(), whole, err, one.Size())
			}
		}
	})
}

func TestNothingPanics(t *testing.T) {
	seeds := []string{good + "Content-Length: 5\r\n\r\nhello", good + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 30000 {
		in := []byte(seeds[i%len(seeds)])
		for range 1 + random.IntN(4) {
			at := random.IntN(len(in))
			switch random.IntN(3) {
			case 0:
				in[at] = byte(random.IntN(256))
			case 1:
				in = append(in[:at], in[min(len(in)-1, at+random.IntN(8)):]...)
			case 2:
				in = append(in[:at:at], append([]byte("\r\n"), in[at:]...)...)
			}
		}
		var cmd, rsp Message
		for n := random.IntN(len(in) + 1); n <= len(in); n += 1 + random.IntN(9) {
			if whole, err := cmd.ParseCommand(in[:n]); whole && err == nil && cmd.Size() > n {
				t.Fatalf("%q is said to be %d bytes", in[:n], cmd.Size())
			}
		}
		if whole, err := rsp.ParseResponse(in, i%2 == 0); whole && err == nil {
			_ = rsp.AppendFields(nil, in)
			_ = rsp.Body(in)
		}
	}
}

// A body may be passed on from any byte on, and its rest come byte by byte: the pieces are the body, and its end is seen
// where it is.
func TestRest(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 11\r\n\r\nhello world",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2;x=\"y\"\r\nhe\r\n009\r\nllo world\r\n00\r\nTrail: er\r\n\r\n",
	} {
		text := good + rest
		for cut := range len(text) {
			var m Message
			in := []byte(text[:cut])
			whole, err := m.ParseCommand(in)
			if err != nil {
				t.Fatalf("%s, %d bytes: %v", name, cut, err)
			}
			if !m.HeadComplete() || whole {
				continue
			}
			body, ended := string(m.Body(in)), -1
			in = in[m.Size():]
			for i := cut; i <= len(text) && ended < 0; i++ {
				for len(in) > 0 {
					data, used, done, err := m.ReadBodyPart(in)
					if err != nil {
						t.Fatalf("%s from %d at %d: %v", name, cut, i, err)
					}
					body += string(data)
					if in = in[used:]; done {
						ended = i
					}
					if used == 0 || done {
						break
					}
				}
				if i < len(text) {
					in = append(in, text[i])
				}
			}
			if body != "hello world" || ended != len(text) {
				t.Errorf("%s from %d: %q, ended at %d of %d", name, cut, body, ended, len(text))
			}
		}
	}
	var m Message
	text := "HTTP/1.1 200 OK\r\n\r\nab"
	if whole, err := m.ParseResponse([]byte(text), false); whole || err != nil {
		t.Errorf("one that ends with its connection: %t %v", whole, err)
	}
	if data, used, done, err := m.ReadBodyPart([]byte("cd")); string(data) != "cd" || used != 2 || done || err != nil {
		t.Errorf("%q %d %t %v", data, used, done, err)
	}
}

func TestAbsoluteForm(t *testing.T) {
	for target, want := range map[string]string{"http://a/buy?x=http://b/": "/buy?x=http://b/", "HTTP://a:1/": "/", "http:///x": "",
		"http://a": "", "/http://a/b": "/http://a/b"} {
		var m Message
		text := "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"
		whole, err := m.ParseCommand([]byte(text))
		if want == "" && err == nil || want != "" && (!whole || string(m.Target([]byte(text))) != want) {
			t.Errorf("%s: %t %v", target, whole, err)
		}
	}
}
