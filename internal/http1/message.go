// Package http1 parses HTTP/1.1 messages incrementally from a buffer. A command is a request of a client.
//
// The parser does no I/O. It stores offsets into the buffer and no copies, so that the buffer may move between calls, and nothing
// for each header field: a head of many short fields takes no more memory than its bytes. It never
// reports an incomplete message as complete and never guesses where a message ends: an ambiguous message is a ProtocolError.
package http1

import (
	"bytes"
	"iter"
	"slices"
	"strings"
)

const (
	// MaxHeadBytes bounds a message's head; common servers accept 8 to 16 KiB.
	MaxHeadBytes = 16 << 10
	// MaxBodyBytes bounds a message's body.
	MaxBodyBytes = 32 << 20
	// MaxBufferedResponseBody is up to which size a response's body is buffered before any of it is forwarded.
	MaxBufferedResponseBody = 64 << 10
	// MaxBufferedCommandBody is the same for a command's body.
	MaxBufferedCommandBody = 256 << 10
	// LoadReportField is the name of the header field in which a backend reports its load.
	LoadReportField        = "Srv-Load"
	maxUnfinishedNameBytes = 64 // bytes of an incomplete line in which its name is checked
	// MaxBufferedCommand is the size of a buffer for a complete command. A command whose chunks take more is streamed.
	MaxBufferedCommand = MaxHeadBytes + MaxBufferedCommandBody
	// MaxBufferedResponse is the same for a response; twice the body leaves room for the size lines of its chunks.
	MaxBufferedResponse = MaxHeadBytes + 2*MaxBufferedResponseBody
)

// ProtocolError says what is wrong with a message and which status reports that to a client.
type ProtocolError struct {
	Status int
	Text   string
}

// Error returns the text.
func (e *ProtocolError) Error() string { return e.Text }

// newProtocolError returns a ProtocolError as an error.
func newProtocolError(status int, text string) error { return &ProtocolError{status, text} }

// span is a range of bytes, as offsets from the start of the message.
type span struct{ from, to int }

// slice returns the bytes of the range.
func (s span) slice(in []byte) []byte { return in[s.from:s.to] }

// Message is a command or a response that is parsed step by step. The zero value is ready for use; Reset prepares it for the
// next message.
type Message struct {
	Status     int  // of a response
	KeepAlive  bool // the connection may carry another message
	method     span
	target     span
	fields     span // the field lines parsed so far
	started    bool // the request line or status line has been parsed
	http10     bool // HTTP/1.0
	lineStart  int  // offset of the line that is being parsed
	scanned    int  // offset up to which the bytes have been checked
	headSize   int  // bytes of the head, 0 while it is incomplete
	bodyLength int  // bytes of the body, -1 if it ends with the connection
	chunked    bool
	chunks     ChunkReader
	size       int // bytes of the message parsed
	decoded    int // bytes of the body decoded so far
}

// LeadingBlankLines returns how many bytes of blank lines precede a command; they are to be skipped.
func LeadingBlankLines(in []byte) (n int) {
	for bytes.HasPrefix(in[n:], []byte("\r\n")) {
		n += 2
	}
	return n
}

// Reset prepares m for the next message.
func (m *Message) Reset() { *m = Message{} }

// Size returns how many bytes of the message have been parsed; for a complete message, that is its length in the buffer.
func (m *Message) Size() int { return m.size }

// BodyLength returns how many bytes the body has, -1 if the head does not say.
func (m *Message) BodyLength() int {
	if m.chunked {
		return -1
	}
	return m.bodyLength
}

// DecodedBytes returns how many bytes of the body have been decoded.
func (m *Message) DecodedBytes() int { return m.decoded }

// IsHTTP10 reports whether the message is HTTP/1.0, whose sender does not understand chunks.
func (m *Message) IsHTTP10() bool { return m.http10 }

// ReadBodyPart continues a body after the head and the first part of it, Size bytes, have been consumed. It returns the next
// piece of the body at the start of in, how many bytes of in were used, and whether the body is complete. If used is 0, it
// needs more bytes.
func (m *Message) ReadBodyPart(in []byte) (data []byte, used int, done bool, err error) {
	switch {
	case m.chunked:
		data, used, done, err = m.chunks.Next(in)
	case m.bodyLength < 0:
		data, used = in, len(in)
	default:
		used = min(m.bodyLength-m.decoded, len(in))
		data, done = in[:used], m.decoded+used == m.bodyLength
	}
	if m.decoded += len(data); m.decoded > MaxBodyBytes && err == nil {
		err = newProtocolError(413, "the body is too large")
	}
	return data, used, done, err
}

// Started reports whether any byte of the message has arrived, apart from interim responses.
func (m *Message) Started(in []byte) bool { return m.started || len(in) > m.lineStart }

// HeadComplete reports whether the head has been parsed.
func (m *Message) HeadComplete() bool { return m.headSize > 0 }

// HeadSize returns how many bytes the head has, 0 while it is incomplete.
func (m *Message) HeadSize() int { return m.headSize }

// Chunked reports whether the body has the chunked coding.
func (m *Message) Chunked() bool { return m.chunked }

// Method returns the method of a command.
func (m *Message) Method(in []byte) []byte { return m.method.slice(in) }

// Target returns the request target of a command; of an absolute URI, the part from the path on.
func (m *Message) Target(in []byte) []byte { return m.target.slice(in) }

// Body returns the part of the body that has been decoded.
func (m *Message) Body(in []byte) []byte { return in[m.headSize : m.headSize+m.decoded] }

// eachField yields name and value of each header field in turn.
func (m *Message) eachField(in []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for lines := m.fields.slice(in); len(lines) > 0; {
			end := bytes.IndexByte(lines, '\n') + 1
			name, value, _ := bytes.Cut(lines[:end-len("\r\n")], []byte{':'})
			if !yield(name, bytes.Trim(value, " \t")) {
				return
			}
			lines = lines[end:]
		}
	}
}

// Get returns the value of the first field with that name, nil if there is none.
func (m *Message) Get(in []byte, name string) []byte {
	for fieldName, value := range m.eachField(in) {
		if equalFold(fieldName, name) {
			return value
		}
	}
	return nil
}

// equalFold reports whether the text is the name, ignoring case.
func equalFold(text []byte, name string) bool {
	return len(text) == len(name) && strings.EqualFold(string(text), name)
}

// hopByHop lists the fields that concern one connection or are generated by the proxy; they are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", LoadReportField}

// AppendFields appends the fields that are forwarded with the message, except those given.
func (m *Message) AppendFields(to, in []byte, except ...string) []byte {
	options := m.ConnectionOptions(in)
	for name, value := range m.eachField(in) {
		isName := func(n string) bool { return equalFold(name, n) }
		if slices.ContainsFunc(hopByHop, isName) || slices.ContainsFunc(except, isName) || options.Contains(string(name)) {
			continue
		}
		to = append(append(to, name...), ": "...)
		to = append(append(to, value...), "\r\n"...)
	}
	return to
}

// ConnectionOptions are the names that Connection fields list, in lower case: fields that concern one connection only. It is nil
// if they list nothing but close and keep-alive.
type ConnectionOptions map[string]struct{}

// Contains reports whether a field name is among the options.
func (o ConnectionOptions) Contains(name string) bool {
	if len(o) == 0 {
		return false
	}
	_, listed := o[strings.ToLower(name)]
	return listed
}

// ConnectionOptions returns the names that the message's Connection fields list.
func (m *Message) ConnectionOptions(in []byte) (options ConnectionOptions) {
	for name, value := range m.eachField(in) {
		if !equalFold(name, "Connection") {
			continue
		}
		for part := range strings.SplitSeq(string(value), ",") {
			option := strings.ToLower(strings.Trim(part, " \t"))
			if option == "close" || option == "keep-alive" {
				continue
			}
			if options == nil {
				options = ConnectionOptions{}
			}
			options[option] = struct{}{}
		}
	}
	return options
}

// listContains reports whether a comma-separated value contains the word.
func listContains(value, word string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.Trim(part, " \t"), word) {
			return true
		}
	}
	return false
}

// ParseCommand parses a command at the start of in and reports whether it is complete.
func (m *Message) ParseCommand(in []byte) (bool, error) {
	if m.headSize == 0 {
		complete, err := m.readHead(in, false)
		if !complete || err != nil {
			return false, err
		}
		if hosts := m.CountFields(in, "Host"); hosts > 1 || hosts == 0 && !m.http10 {
			return false, newProtocolError(400, "one Host field is needed")
		}
		m.bodyLength = max(0, m.bodyLength)
		m.headSize, m.size = m.lineStart, m.lineStart
	}
	return m.readBody(in, false)
}

// ParseResponse parses a response at the start of in and reports whether it is complete. ended says that the connection was
// closed after these bytes.
func (m *Message) ParseResponse(in []byte, ended bool) (bool, error) {
	if complete, err := m.ParseResponseHead(in); !complete || err != nil {
		return false, err
	}
	return m.readBody(in, ended)
}

// ParseResponseHead parses only the head of a response, for a body that is streamed, and reports whether the head is complete.
// Interim responses (1xx) are skipped by counting their bytes as part of the head.
func (m *Message) ParseResponseHead(in []byte) (bool, error) {
	for m.headSize == 0 {
		if complete, err := m.readHead(in, true); !complete || err != nil {
			return false, err
		}
		switch n := m.Status; {
		case n == 101:
			return false, newProtocolError(502, "switching protocols was not asked for")
		case n < 200:
			m.started = false
			continue
		case n == 204 || n == 304:
			m.bodyLength, m.chunked = 0, false
		case m.bodyLength < 0 && !m.chunked:
			m.KeepAlive = false
		}
		m.headSize, m.size = m.lineStart, m.lineStart
	}
	return true, nil
}

// readHead parses the lines of a head and reports whether the empty line after it has arrived. An incomplete line is checked
// too: bytes that can't become a valid head are a ProtocolError at once, since the sender may send nothing more.
func (m *Message) readHead(in []byte, response bool) (bool, error) {
	for {
		from := max(m.lineStart, m.scanned)
		lineFeed := bytes.IndexByte(in[from:], '\n')
		end := from + lineFeed + 1
		if lineFeed < 0 {
			end = len(in)
		}
		if end > MaxHeadBytes || lineFeed < 0 && end == MaxHeadBytes {
			return false, newProtocolError(431, "the head is too large")
		}
		text := in[m.lineStart:end]
		if lineFeed < 0 {
			m.scanned = max(m.lineStart, end-1) // the last byte is checked again: it may be a CR that a line feed follows
			return false, m.checkLineStart(bytes.TrimSuffix(text, []byte("\r")), from-m.lineStart, response)
		}
		if !bytes.HasSuffix(text, []byte("\r\n")) {
			return false, newProtocolError(400, "a line feed alone")
		}
		text = text[:len(text)-2]
		if err := m.checkLineStart(text, min(from-m.lineStart, len(text)), response); err != nil {
			return false, err
		}
		lineStart := m.lineStart
		m.lineStart, m.scanned = end, end
		var err error
		switch {
		case !m.started && response:
			m.fields = span{end, end}
			err = m.parseStatusLine(text)
		case !m.started:
			m.fields = span{end, end}
			err = m.parseRequestLine(text, lineStart)
		case len(text) > 0:
			m.fields.to = end
			err = m.parseField(text, response)
		default:
			return true, m.checkFraming()
		}
		if err != nil {
			return false, err
		}
		m.started = true
	}
}

// checkLineStart reports what is wrong with a line that may be incomplete. Its first checked bytes were checked before.
func (m *Message) checkLineStart(text []byte, checked int, response bool) error {
	const prefix = "HTTP/1."
	delimiter := byte(':')
	switch {
	case !m.started && response:
		if n := min(len(text), len(prefix)); string(text[:n]) != prefix[:n] {
			return newProtocolError(502, "malformed first line")
		}
		delimiter = 0
	case !m.started:
		delimiter = ' '
	case isLoadReport(text):
		return nil // a malformed load report must not invalidate the response; the field is not forwarded
	}
	for _, b := range text[checked:] {
		if b < ' ' && b != '\t' || b == 0x7f {
			return newProtocolError(400, "control bytes in the head")
		}
	}
	if name, _, _ := bytes.Cut(text[:min(len(text), maxUnfinishedNameBytes)], []byte{delimiter}); delimiter != 0 &&
		len(name) > 0 && !isToken(name) {
		return newProtocolError(400, "malformed line")
	}
	return nil
}

// isLoadReport reports whether a line is a backend's load report.
func isLoadReport(text []byte) bool {
	return len(text) > len(LoadReportField) && equalFold(text[:len(LoadReportField)], LoadReportField) &&
		text[len(LoadReportField)] == ':'
}

// parseRequestLine parses the first line of a command, which starts at the given offset.
func (m *Message) parseRequestLine(text []byte, lineStart int) error {
	first, last := bytes.IndexByte(text, ' '), bytes.LastIndexByte(text, ' ')
	if first <= 0 || last == first {
		return newProtocolError(400, "malformed first line")
	}
	for _, b := range text[first+1 : last] {
		if b <= ' ' || b >= 0x7f {
			return newProtocolError(400, "malformed target")
		}
	}
	m.method, m.target = span{lineStart, lineStart + first}, span{lineStart + first + 1, lineStart + last}
	if scheme := "http://"; last-first > len(scheme) && strings.EqualFold(string(text[first+1:first+1+len(scheme)]), scheme) {
		// A server must accept the absolute form (RFC 9112, 3.2.2); only the path is forwarded.
		slash := bytes.IndexByte(text[first+1+len(scheme):last], '/')
		if slash <= 0 {
			return newProtocolError(400, "malformed target")
		}
		m.target.from += len(scheme) + slash
	}
	return m.parseVersion(text[last+1:])
}

// parseStatusLine parses the first line of a response.
func (m *Message) parseStatusLine(text []byte) error {
	code, _, _ := bytes.Cut(text[min(len(text), 9):], []byte(" "))
	if len(text) < 12 || text[8] != ' ' || len(code) != 3 {
		return newProtocolError(502, "malformed first line")
	}
	n, ok := parseNumber(code, 10)
	if !ok || n < 100 {
		return newProtocolError(502, "malformed status")
	}
	m.Status = n
	return m.parseVersion(text[:8])
}

// parseVersion parses the HTTP version and sets what it implies for body and connection.
func (m *Message) parseVersion(text []byte) error {
	m.http10 = string(text) == "HTTP/1.0"
	m.bodyLength, m.chunked, m.KeepAlive = -1, false, !m.http10
	switch {
	case m.http10 || string(text) == "HTTP/1.1":
		return nil
	case bytes.HasPrefix(text, []byte("HTTP/")):
		return newProtocolError(505, "the HTTP version is not supported")
	}
	return newProtocolError(400, "malformed first line")
}

// parseField parses a field line and applies the fields on framing and connection.
func (m *Message) parseField(text []byte, response bool) error {
	colon := bytes.IndexByte(text, ':')
	if colon <= 0 || !isToken(text[:colon]) {
		return newProtocolError(400, "malformed field")
	}
	value := bytes.Trim(text[colon+1:], " \t")
	switch name := text[:colon]; {
	case equalFold(name, "Content-Length"):
		n, ok := parseNumber(value, 10)
		if !ok || m.bodyLength >= 0 && (!response || n != m.bodyLength) {
			return newProtocolError(400, "malformed or repeated Content-Length") // a response may repeat the same length
		}
		m.bodyLength = n
	case equalFold(name, "Transfer-Encoding"):
		if m.chunked || m.http10 || !equalFold(value, "chunked") {
			return newProtocolError(501, "only one transfer coding, chunked, is known")
		}
		m.chunked = true
	case equalFold(name, "Connection"):
		if listContains(string(value), "close") {
			m.KeepAlive = false
		} else if m.http10 && listContains(string(value), "keep-alive") {
			m.KeepAlive = true
		}
	}
	return nil
}

// checkFraming checks what the complete head says about the body.
func (m *Message) checkFraming() error {
	if m.chunked && m.bodyLength >= 0 {
		return newProtocolError(400, "both Content-Length and Transfer-Encoding")
	}
	if m.bodyLength > MaxBodyBytes {
		return newProtocolError(413, "the body is too large")
	}
	return nil
}

// CountFields returns how many fields have that name.
func (m *Message) CountFields(in []byte, name string) (n int) {
	for fieldName := range m.eachField(in) {
		if equalFold(fieldName, name) {
			n++
		}
	}
	return n
}

// readBody reads the body and reports whether it is complete. The data of chunks is joined in place.
func (m *Message) readBody(in []byte, ended bool) (bool, error) {
	switch {
	case m.chunked:
		for {
			data, used, done, err := m.chunks.Next(in[m.size:])
			if err != nil {
				return false, err
			}
			m.decoded += copy(in[m.headSize+m.decoded:], data)
			m.size += used
			if m.decoded > MaxBodyBytes {
				return false, newProtocolError(413, "the body is too large")
			}
			if done || used == 0 {
				return done, nil
			}
		}
	case m.bodyLength < 0:
		m.size, m.decoded = len(in), len(in)-m.headSize
		if m.decoded > MaxBodyBytes {
			return false, newProtocolError(413, "the body is too large")
		}
		return ended, nil
	}
	m.decoded = min(m.bodyLength, len(in)-m.headSize)
	m.size = m.headSize + m.decoded
	return m.decoded == m.bodyLength, nil
}

// isToken reports whether the text is a token of RFC 9110.
func isToken(text []byte) bool {
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

// parseNumber parses digits only: no sign, no blanks, and no number over 1<<40.
func parseNumber(text []byte, base int) (n int, ok bool) {
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
