package http1

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

const validHead = "POST /buy?sid=7 HTTP/1.1\r\nHost: a\r\nReq-Id: 9b\r\nX-Two:  b c \r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"

// feedByteByByte feeds the text to a parser byte by byte and returns after how many bytes the message was complete.
func feedByteByByte(t *testing.T, text string, step func(*Message, []byte) (bool, error)) (*Message, []byte, int) {
	t.Helper()
	var m Message
	var in []byte
	for i := range len(text) {
		in = append(append(make([]byte, 0, len(in)+1), in...), text[i]) // the buffer moves with every read
		complete, err := step(&m, in)
		if err != nil {
			t.Fatalf("after %d bytes: %v", i+1, err)
		}
		if complete {
			return &m, in, i + 1
		}
	}
	t.Fatal("the message never was complete")
	return nil, nil, 0
}

func TestCommandInPieces(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nhello",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n003\r\nllo\r\n0\r\nTrail: er\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m, in, n := feedByteByByte(t, validHead+rest+"GET /", (*Message).ParseCommand)
			if n != len(validHead+rest) || m.Size() != n {
				t.Errorf("complete after %d bytes, size %d, want %d", n, m.Size(), len(validHead+rest))
			}
			if string(m.Method(in)) != "POST" || string(m.Target(in)) != "/buy?sid=7" || string(m.Body(in)) != "hello" {
				t.Errorf("parsed %s %s %q", m.Method(in), m.Target(in), m.Body(in))
			}
			if !m.KeepAlive || string(m.Get(in, "x-two")) != "b c" || m.Get(in, "none") != nil {
				t.Errorf("keep-alive %t, field %q", m.KeepAlive, m.Get(in, "x-two"))
			}
			if f := string(m.AppendFields(nil, in, "Host")); f != "Req-Id: 9b\r\nX-Two: b c\r\n" {
				t.Errorf("forwarded fields %q", f)
			}
		})
	}
}

func TestResponses(t *testing.T) {
	read := func(ended bool) func(*Message, []byte) (bool, error) {
		return func(m *Message, in []byte) (bool, error) { return m.ParseResponse(in, ended) }
	}
	m, in, n := feedByteByByte(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP", read(false))
	if m.Status != 200 || string(m.Body(in)) != "ok" || n != 65 || !m.KeepAlive {
		t.Errorf("after an interim response: %d %q after %d bytes, keep-alive %t", m.Status, m.Body(in), n, m.KeepAlive)
	}
	m, in, _ = feedByteByByte(t, "HTTP/1.1 200 OK\r\nSrv-Load: \x01\xffin;flight\rx\r\nContent-Length: 0\r\n\r\n", read(false))
	if m.Status != 200 || len(m.AppendFields(nil, in)) != 0 {
		t.Errorf("a malformed load report invalidates the response or is forwarded: %q", m.AppendFields(nil, in))
	}
	m, _, _ = feedByteByByte(t, "HTTP/1.1 204 \r\n\r\n", read(false))
	if m.Status != 204 {
		t.Errorf("no content: %d", m.Status)
	}
	text := []byte("HTTP/1.1 200 OK\r\n\r\nall of it")
	var open Message
	if complete, err := open.ParseResponse(text, false); complete || err != nil {
		t.Errorf("a body that ends with the connection, before that: complete %t, %v", complete, err)
	}
	if complete, _ := open.ParseResponse(text, true); !complete || open.KeepAlive || string(open.Body(text)) != "all of it" {
		t.Errorf("at the end of the connection: complete %t, keep-alive %t, %q", complete, open.KeepAlive, open.Body(text))
	}
	for name, text := range map[string]string{
		"garbage": "SSH-2.0-x\r\n\r\n", "status": "HTTP/1.1 2x0 OK\r\n\r\n", "short": "HTTP/1.1\r\n\r\n",
		"switch": "HTTP/1.1 101 X\r\n\r\n", "lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
		"chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
		"no line end": "\xb9=\x17", "half a line": "HTTP/2", "half a field": "HTTP/1.1 200 OK\r\nno colon \xff",
	} {
		var m Message
		if complete, err := m.ParseResponse([]byte(text), false); complete || err == nil {
			t.Errorf("%s: accepted as a response", name)
		}
	}
}

func TestMalformedCommands(t *testing.T) {
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
		"length and coding":     {validHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"two lengths":           {validHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
		"signed length":         {validHead + "Content-Length: +3\r\n\r\n", 400},
		"overflowing length":    {validHead + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"unknown coding":        {validHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"large body":            {validHead + "Content-Length: 33554433\r\n\r\n", 413},
		"large chunk":           {validHead + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n" + strings.Repeat("b", MaxBodyBytes+1), 413},
		"bad chunk size":        {validHead + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
		"chunk past its length": {validHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
		"two equal lengths":     {validHead + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
		"line feed in a chunk":  {validHead + "Transfer-Encoding: chunked\r\n\r\n1;a\nb\r\n", 400},
		"target of odd bytes":   {"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		// These are rejected before the line or chunk is complete.
		"noise":             {"\x16\x03\x01", 400},
		"half a field":      {"GET / HTTP/1.1\r\nno such name", 400},
		"half a chunk size": {validHead + "Transfer-Encoding: chunked\r\n\r\nzz", 400},
		"half a chunk":      {validHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nab", 400},
		"large head":        {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		"endless head":      {"GET /" + long, 431},
	} {
		t.Run(name, func(t *testing.T) {
			var m Message
			complete, err := m.ParseCommand([]byte(c.text))
			var protocolError *ProtocolError
			if complete || !errors.As(err, &protocolError) || protocolError.Status != c.status {
				t.Errorf("complete %t, %v, want %d", complete, err, c.status)
			}
		})
	}
}

// FuzzMessage checks that a complete message lies within the input, and that the result does not depend on how the input is
// split.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(validHead+"Content-Length: 5\r\n\r\nhello"), 7)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 30)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		for _, read := range []func(*Message, []byte) (bool, error){
			(*Message).ParseCommand, func(m *Message, in []byte) (bool, error) { return m.ParseResponse(in, false) },
		} {
			var one, two Message
			pieces := append([]byte{}, text...) // the data of chunks is joined in place
			first, bad := read(&two, pieces[:min(len(text), max(0, cut))])
			complete, err := read(&one, append([]byte{}, text...))
			if bad != nil && err == nil || first && !complete {
				t.Fatalf("the first part gives %t %v, all of it %t %v", first, bad, complete, err)
			}
			if first || bad != nil {
				continue
			}
			second, bad := read(&two, pieces)
			if second != complete || (bad == nil) != (err == nil) || complete && (one.Size() != two.Size() || one.Size() > len(text)) {
				t.Fatalf("in two parts %t %v %d, at once %t %v %d", second, bad, two.Size(), complete, err, one.Size())
			}
		}
	})
}

func TestMutatedMessagesDoNotPanic(t *testing.T) {
	seeds := []string{validHead + "Content-Length: 5\r\n\r\nhello", validHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
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
			if complete, err := cmd.ParseCommand(in[:n]); complete && err == nil && cmd.Size() > n {
				t.Fatalf("size of %q is reported as %d bytes", in[:n], cmd.Size())
			}
		}
		if complete, err := rsp.ParseResponse(in, i%2 == 0); complete && err == nil {
			_ = rsp.AppendFields(nil, in)
			_ = rsp.Body(in)
		}
	}
}

// Streaming may begin at any byte of a body, with the rest arriving byte by byte. The parts must make up the body, and its end
// must be found at the right byte.
func TestReadBodyPart(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 11\r\n\r\nhello world",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2;x=\"y\"\r\nhe\r\n009\r\nllo world\r\n00\r\nTrail: er\r\n\r\n",
	} {
		text := validHead + rest
		for cut := range len(text) {
			var m Message
			in := []byte(text[:cut])
			complete, err := m.ParseCommand(in)
			if err != nil {
				t.Fatalf("%s, %d bytes: %v", name, cut, err)
			}
			if !m.HeadComplete() || complete {
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
	if complete, err := m.ParseResponse([]byte(text), false); complete || err != nil {
		t.Errorf("a body that ends with the connection: complete %t, %v", complete, err)
	}
	if data, used, done, err := m.ReadBodyPart([]byte("cd")); string(data) != "cd" || used != 2 || done || err != nil {
		t.Errorf("%q %d %t %v", data, used, done, err)
	}
}

func TestAbsoluteFormTarget(t *testing.T) {
	for target, want := range map[string]string{"http://a/buy?x=http://b/": "/buy?x=http://b/", "HTTP://a:1/": "/", "http:///x": "",
		"http://a": "", "/http://a/b": "/http://a/b"} {
		var m Message
		text := "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"
		complete, err := m.ParseCommand([]byte(text))
		if want == "" && err == nil || want != "" && (!complete || string(m.Target([]byte(text))) != want) {
			t.Errorf("%s: %t %v", target, complete, err)
		}
	}
}
