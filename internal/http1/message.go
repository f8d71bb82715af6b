// Package http1 reads HTTP/1.1 messages out of the bytes at hand. This file owns the heads: it keeps places within
// the bytes, not copies, so that a buffer may move between calls. It must never do I/O, never take a message for
// whole that is not, and never guess where a message ends: what is ambiguous is a Fault.
package http1

import (
	"bytes"
	"strings"
)

const (
	MaxHeadBytes = 16 << 10 // bytes of a head; common servers take 8 to 16 KiB
	MaxBodyBytes = 32 << 20 // bytes of any body
	// Held is how many bytes of an answer's body are kept together before any go on.
	MaxBufferedResponseBody = 64 << 10
	// HeldCommand is the same for a command's.
	MaxBufferedCommandBody = 256 << 10
	// Report is the field in which a backend tells its load.
	LoadReportField = "Srv-Load"
	nameMost        = 64 // bytes in which a line's beginning is judged before it is whole
	// MaxMessage is what a buffer must hold for a command; one whose chunks take more goes on as it comes.
	MaxBufferedCommand = MaxHeadBytes + MaxBufferedCommandBody
	// MaxWhole is the same for an answer: chunks come with their own lines.
	MaxBufferedResponse = MaxHeadBytes + 2*MaxBufferedResponseBody
)

// Fault is what is wrong with a message and the status that says so to a client.
type ProtocolError struct {
	Status int
	Text   string
}

func (f *ProtocolError) Error() string { return f.Text }

func fault(status int, text string) error { return &ProtocolError{status, text} }

// span is a place in the message, counted from its start.
type span struct{ from, to int }

func (s span) of(in []byte) []byte { return in[s.from:s.to] }

type field struct{ name, value span }

// Message is one command or answer, read step by step. The zero value is ready; Reset readies it for the next.
type Message struct {
	Status    int  // of an answer
	KeepAlive bool // the connection may carry another message
	method    span
	target    span
	fields    []field
	begun     bool // the first line has been read
	old       bool // HTTP/1.0
	at        int  // where the line starts that is being read
	judged    int  // bytes looked at
	head      int  // bytes of the head, 0 while it is not whole
	length    int  // of the body, -1 if it goes on to the end of the connection
	chunked   bool
	chunks    ChunkReader
	raw       int // bytes read of the message
	body      int // bytes of the body decoded so far
}

// Blank is how many bytes of blank lines stand before a command; they are let pass.
func LeadingBlankLines(in []byte) (n int) {
	for bytes.HasPrefix(in[n:], []byte("\r\n")) {
		n += 2
	}
	return n
}

// Reset forgets the message.
func (m *Message) Reset() { *m = Message{fields: m.fields[:0]} }

// Size is how many bytes of the message have been read, of a whole one all that it took.
func (m *Message) Size() int { return m.raw }

// Length is how many bytes the body has, -1 where that is not said.
func (m *Message) BodyLength() int {
	if m.chunked {
		return -1
	}
	return m.length
}

// Decoded is how many bytes of the body have been read.
func (m *Message) DecodedBytes() int { return m.body }

// Old tells a message of HTTP/1.0, whose sender knows no chunks.
func (m *Message) IsHTTP10() bool { return m.old }

// Rest reads on in a body whose head and first part, Size bytes, have been consumed: the next piece of it at the start of
// in, how many bytes are done with, and whether the body is whole. With nothing used it needs more bytes.
func (m *Message) ReadBodyPart(in []byte) (data []byte, used int, done bool, err error) {
	switch {
	case m.chunked:
		data, used, done, err = m.chunks.Next(in)
	case m.length < 0:
		data, used = in, len(in)
	default:
		used = min(m.length-m.body, len(in))
		data, done = in[:used], m.body+used == m.length
	}
	if m.body += len(data); m.body > MaxBodyBytes && err == nil {
		err = fault(413, "the body is too large")
	}
	return data, used, done, err
}

// Begun tells whether any of the message is there, interim answers apart.
func (m *Message) Started(in []byte) bool { return m.begun || len(in) > m.at }

// HeadWhole tells whether the head has been read.
func (m *Message) HeadComplete() bool { return m.head > 0 }

// HeadSize is how many bytes the head took.
func (m *Message) HeadSize() int { return m.head }

// Chunked tells whether the body comes in chunks.
func (m *Message) Chunked() bool { return m.chunked }

func (m *Message) Method(in []byte) []byte { return m.method.of(in) }
func (m *Message) Target(in []byte) []byte { return m.target.of(in) }
func (m *Message) Body(in []byte) []byte   { return in[m.head : m.head+m.body] }

// Get is the value of the first field of that name, nil if there is none.
func (m *Message) Get(in []byte, name string) []byte {
	for _, f := range m.fields {
		if is(f.name.of(in), name) {
			return f.value.of(in)
		}
	}
	return nil
}

func is(text []byte, name string) bool {
	return len(text) == len(name) && strings.EqualFold(string(text), name)
}

// hopByHop fields concern one connection or are written anew; they don't go on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", LoadReportField}

// AppendFields writes the fields that go on with the message, but for those named.
func (m *Message) AppendFields(to, in []byte, but ...string) []byte {
	connection := m.CountFields(in, "Connection") > 0
next:
	for _, f := range m.fields {
		name := f.name.of(in)
		for _, list := range [2][]string{hopByHop, but} {
			for _, n := range list {
				if is(name, n) {
					continue next
				}
			}
		}
		if connection && m.IsConnectionOption(in, string(name)) {
			continue
		}
		to = append(append(to, name...), ": "...)
		to = append(append(to, f.value.of(in)...), "\r\n"...)
	}
	return to
}

// lists tells whether a comma-separated value names the word.
func lists(value, word string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.Trim(part, " \t"), word) {
			return true
		}
	}
	return false
}

// Command reads a command from the bytes that begin with it and tells whether it is whole.
func (m *Message) ParseCommand(in []byte) (bool, error) {
	if m.head == 0 {
		whole, err := m.readHead(in, false)
		if !whole || err != nil {
			return false, err
		}
		if hosts := m.CountFields(in, "Host"); hosts > 1 || hosts == 0 && !m.old {
			return false, fault(400, "one Host field is needed")
		}
		m.length = max(0, m.length)
		m.head, m.raw = m.at, m.at
	}
	return m.readBody(in, false)
}

// Answer reads an answer and tells whether it is whole; ended says that the connection has ended after these bytes.
func (m *Message) ParseResponse(in []byte, ended bool) (bool, error) {
	if whole, err := m.ParseResponseHead(in); !whole || err != nil {
		return false, err
	}
	return m.readBody(in, ended)
}

// AnswerHead reads an answer's head alone, for a body that is used as it comes. Interim answers (1xx) are passed
// over by taking their bytes for part of the head.
func (m *Message) ParseResponseHead(in []byte) (bool, error) {
	for m.head == 0 {
		if whole, err := m.readHead(in, true); !whole || err != nil {
			return false, err
		}
		switch n := m.Status; {
		case n == 101:
			return false, fault(502, "switching protocols was not asked for")
		case n < 200:
			m.begun, m.fields = false, m.fields[:0]
			continue
		case n == 204 || n == 304:
			m.length, m.chunked = 0, false
		case m.length < 0 && !m.chunked:
			m.KeepAlive = false
		}
		m.head, m.raw = m.at, m.at
	}
	return true, nil
}

// readHead judges the head's lines as they come, also the one that is not whole yet: what can't become a head any more
// is a Fault at once, since nothing may follow. It tells whether the empty line has come.
func (m *Message) readHead(in []byte, answer bool) (bool, error) {
	for {
		from := max(m.at, m.judged)
		n := bytes.IndexByte(in[from:], '\n')
		end := from + n + 1
		if n < 0 {
			end = len(in)
		}
		if end > MaxHeadBytes || n < 0 && end == MaxHeadBytes {
			return false, fault(431, "the head is too large")
		}
		text := in[m.at:end]
		if n < 0 {
			m.judged = max(m.at, end-1) // the last byte is looked at again: a line feed may follow it
			return false, m.begins(bytes.TrimSuffix(text, []byte("\r")), from-m.at, answer)
		}
		if !bytes.HasSuffix(text, []byte("\r\n")) {
			return false, fault(400, "a line feed alone")
		}
		text = text[:len(text)-2]
		if err := m.begins(text, min(from-m.at, len(text)), answer); err != nil {
			return false, err
		}
		at := m.at
		m.at, m.judged = end, end
		var err error
		switch {
		case !m.begun && answer:
			err = m.firstOfAnswer(text)
		case !m.begun:
			err = m.firstOfCommand(text, at)
		case len(text) > 0:
			err = m.readField(text, at, answer)
		default:
			return true, m.framing()
		}
		if err != nil {
			return false, err
		}
		m.begun = true
	}
}

// begins tells what is wrong with a line so far, whose bytes before fresh were looked at before.
func (m *Message) begins(text []byte, fresh int, answer bool) error {
	const known = "HTTP/1."
	mark := byte(':')
	switch {
	case !m.begun && answer:
		if n := min(len(text), len(known)); string(text[:n]) != known[:n] {
			return fault(502, "malformed first line")
		}
		mark = 0
	case !m.begun:
		mark = ' '
	case isReport(text):
		return nil // what a backend tells of itself must not spoil its answer, and does not go on
	}
	for _, b := range text[fresh:] {
		if b < ' ' && b != '\t' || b == 0x7f {
			return fault(400, "control bytes in the head")
		}
	}
	if name, _, _ := bytes.Cut(text[:min(len(text), nameMost)], []byte{mark}); mark != 0 && len(name) > 0 && !token(name) {
		return fault(400, "malformed line")
	}
	return nil
}

// isReport tells a line with a backend's load report.
func isReport(text []byte) bool {
	return len(text) > len(LoadReportField) && is(text[:len(LoadReportField)], LoadReportField) && text[len(LoadReportField)] == ':'
}

func (m *Message) firstOfCommand(text []byte, at int) error {
	one, two := bytes.IndexByte(text, ' '), bytes.LastIndexByte(text, ' ')
	if one <= 0 || two == one {
		return fault(400, "malformed first line")
	}
	for _, b := range text[one+1 : two] {
		if b <= ' ' || b >= 0x7f {
			return fault(400, "malformed target")
		}
	}
	m.method, m.target = span{at, at + one}, span{at + one + 1, at + two}
	if scheme := "http://"; two-one > len(scheme) && strings.EqualFold(string(text[one+1:one+1+len(scheme)]), scheme) {
		// The absolute form must be understood; what goes on is the path.
		slash := bytes.IndexByte(text[one+1+len(scheme):two], '/')
		if slash <= 0 {
			return fault(400, "malformed target")
		}
		m.target.from += len(scheme) + slash
	}
	return m.version(text[two+1:])
}

func (m *Message) firstOfAnswer(text []byte) error {
	code, _, _ := bytes.Cut(text[min(len(text), 9):], []byte(" "))
	if len(text) < 12 || text[8] != ' ' || len(code) != 3 {
		return fault(502, "malformed first line")
	}
	n, ok := number(code, 10)
	if !ok || n < 100 {
		return fault(502, "malformed status")
	}
	m.Status = n
	return m.version(text[:8])
}

func (m *Message) version(text []byte) error {
	m.old = string(text) == "HTTP/1.0"
	m.length, m.chunked, m.KeepAlive = -1, false, !m.old
	switch {
	case m.old || string(text) == "HTTP/1.1":
		return nil
	case bytes.HasPrefix(text, []byte("HTTP/")):
		return fault(505, "the HTTP version is not supported")
	}
	return fault(400, "malformed first line")
}

// readField reads a field's line, and what it says of body and connection.
func (m *Message) readField(text []byte, at int, answer bool) error {
	colon := bytes.IndexByte(text, ':')
	if colon <= 0 || !token(text[:colon]) {
		return fault(400, "malformed field")
	}
	value := bytes.Trim(text[colon+1:], " \t")
	from := at + colon + 1 + len(text[colon+1:]) - len(bytes.TrimLeft(text[colon+1:], " \t"))
	m.fields = append(m.fields, field{span{at, at + colon}, span{from, from + len(value)}})
	switch name := text[:colon]; {
	case is(name, "Content-Length"):
		n, ok := number(value, 10)
		if !ok || m.length >= 0 && (!answer || n != m.length) {
			return fault(400, "malformed or repeated Content-Length") // an answer's may be said twice alike
		}
		m.length = n
	case is(name, "Transfer-Encoding"):
		if m.chunked || m.old || !is(value, "chunked") {
			return fault(501, "only one transfer coding, chunked, is known")
		}
		m.chunked = true
	case is(name, "Connection"):
		if lists(string(value), "close") {
			m.KeepAlive = false
		} else if m.old && lists(string(value), "keep-alive") {
			m.KeepAlive = true
		}
	}
	return nil
}

// framing judges what the whole head says of the body.
func (m *Message) framing() error {
	if m.chunked && m.length >= 0 {
		return fault(400, "both Content-Length and Transfer-Encoding")
	}
	if m.length > MaxBodyBytes {
		return fault(413, "the body is too large")
	}
	return nil
}

// Count is how many fields have that name.
func (m *Message) CountFields(in []byte, name string) (n int) {
	for _, f := range m.fields {
		if is(f.name.of(in), name) {
			n++
		}
	}
	return n
}

// Named tells whether a Connection field says that the named one concerns this connection alone.
func (m *Message) IsConnectionOption(in []byte, name string) bool {
	for _, f := range m.fields {
		if is(f.name.of(in), "Connection") && lists(string(f.value.of(in)), name) {
			return true
		}
	}
	return false
}

// readBody tells whether the body is whole. Chunks are moved together in place.
func (m *Message) readBody(in []byte, ended bool) (bool, error) {
	switch {
	case m.chunked:
		for {
			data, used, done, err := m.chunks.Next(in[m.raw:])
			if err != nil {
				return false, err
			}
			m.body += copy(in[m.head+m.body:], data)
			m.raw += used
			if m.body > MaxBodyBytes {
				return false, fault(413, "the body is too large")
			}
			if done || used == 0 {
				return done, nil
			}
		}
	case m.length < 0:
		m.raw, m.body = len(in), len(in)-m.head
		if m.body > MaxBodyBytes {
			return false, fault(413, "the body is too large")
		}
		return ended, nil
	}
	m.body = min(m.length, len(in)-m.head)
	m.raw = m.head + m.body
	return m.body == m.length, nil
}

func token(text []byte) bool {
	for _, b := range text {
		switch {
		case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		case strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0:
		default:
			return false
		}
	}
	return len(text) > 0
}

// number reads digits alone: no sign, no blanks, nothing that overflows.
func number(text []byte, base int) (n int, ok bool) {
	for _, b := range text {
		var d int
		switch {
		case b >= '0' && b <= '9':
			d = int(b - '0')
		case base == 16 && b|0x20 >= 'a' && b|0x20 <= 'f':
			d = int(b|0x20-'a') + 10
		default:
			return 0, false
		}
		if n = n*base + d; n > 1<<40 {
			return 0, false
		}
	}
	return n, len(text) > 0
}
