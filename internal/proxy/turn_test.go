package proxy

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// freeUDP is a loopback address that nobody has.
func freeUDPAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// moved are settings of the other layout: messages, keys, another own zone, verbs in another order and a new one.
func alternateSettings(siblings string) string {
	text := strings.NewReplacer(`"siblings": 1`, `"siblings": `+siblings+`, "zone": 1, "family_info": {"warm_keys": true}`,
		`"azs": ["a", "b"]`, `"azs": ["b", "a", "c"]`, `"cancel": true`, `"cancel": true, "peers": true`).Replace(settingsText)
	at := strings.Index(text, `"verbs": [`) + len(`"verbs": [`)
	return text[:at] + `{"name": "scan", "effect": "at_most_once", "key_scope": "all", "window_ms": 5000,
		"response_goal_ms": 2500, "time_limit_ms": 3000, "utility": 2, "overdue_utility": 0.5, "stream": false},` + text[at:]
}

// An operator moves a running proxy to the new layout and back: what was open then has its one answer, and each
// command goes by the settings that held when it came.
func TestThereAndBack(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") {
			<-release
		}
		echo(b, c, r)
	})
	known := endpointList(1, true, readyEndpoint("s-b", b))
	at := freeUDPAddr(t)
	old, new := testConfig(known, nil, settingsText), testConfig(known, nil, alternateSettings("1"))
	new.Peers = []string{at}
	p, err := New(old)
	if err != nil {
		t.Fatal(err)
	}
	r := runProxy(t, p)
	time.Sleep(600 * time.Millisecond) // the known list will do
	open := func() *testClient {
		c := r.dial(t)
		io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
		time.Sleep(50 * time.Millisecond)
		return c
	}
	says := func(verb string, want int) {
		t.Helper()
		if status, body, _ := r.dial(t).roundTrip(requestText(verb, "Content-Length: 0\r\n", "Req-Extra: resource=7\r\n")); status != want {
			t.Errorf("%s: %d %s, want %d", verb, status, body, want)
		}
	}
	turn := func(l *Config) { r.Reload(l); time.Sleep(50 * time.Millisecond) }
	listening := func(want bool) {
		t.Helper()
		c, err := net.ListenPacket("udp", at)
		if err == nil {
			c.Close()
		}
		if (err != nil) != want {
			t.Errorf("messages are taken: %t, want %t", err != nil, want)
		}
	}
	says("scan", 404)
	first := open()
	turn(new)
	says("scan", 200)
	says("look", 200)
	listening(true)
	second := open()
	bad := testConfig(known, nil, strings.Replace(alternateSettings("1"), `"at_most_once"`, `"perhaps"`, 1))
	bad.Peers = new.Peers
	turn(bad) // changes nothing, though it is past Check
	says("scan", 200)
	listening(true)
	turn(old)
	says("scan", 404)
	says("look", 200)
	listening(false)
	third := open()
	close(release)
	for i, c := range []*testClient{first, second, third} {
		if status, body, _ := c.readAnswer(); status != 200 {
			t.Errorf("open command %d: %d %s", i, status, body)
		}
	}
	if n := b.commands.Load(); n != 7 {
		t.Errorf("%d relays for 7 commands", n)
	}
}

// besideOne is a proxy with a stand-in for its one sibling, and where that one finds it.
func startWithPeer(t *testing.T, lines ...jsonObject) (r *testProxy, to *net.UDPAddr, sibling net.PacketConn) {
	t.Helper()
	sibling, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sibling.Close() })
	at := freeUDPAddr(t)
	l := testConfig(endpointList(1, true, lines...), nil, alternateSettings("2"))
	l.Peers = []string{at, sibling.LocalAddr().String()}
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(at)), sibling
}

// A proxy and a stand-in for its one sibling: commands are answered though the sibling has no word for it, and the
// proxy answers the sibling's questions on the cells that it keeps, but no stranger's.
func TestMessages(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	var lines []jsonObject
	for _, name := range []string{"s-a", "s-b", "s-c", "s-d", "s-e", "s-f", "s-g", "s-h"} {
		l := readyEndpoint(name, b)
		l["group"] = len(lines)
		lines = append(lines, l)
	}
	r, to, sibling := startWithPeer(t, lines...)
	time.Sleep(600 * time.Millisecond)
	for range 20 {
		if status, body, _ := r.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%d %s", status, body)
		}
	}
	read := func(c net.PacketConn) (texts []string) {
		in := make([]byte, 1000)
		for {
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			n, _, err := c.ReadFrom(in)
			if err != nil {
				return texts
			}
			texts = append(texts, string(in[:n]))
		}
	}
	if asked := read(sibling); len(asked) == 0 {
		t.Error("the sibling was never asked")
	}
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	for _, c := range []net.PacketConn{sibling, stranger} {
		c.WriteTo(make([]byte, 300), to) // longer than any message
		for cell := range byte(8) {
			c.WriteTo([]byte{0x12, cell, 0, 0, 0, 255, 0}, to)
		}
	}
	granted := read(sibling) // who asks found out that this one is to be asked
	if len(granted) < 8 {
		t.Errorf("%d of 8 questions were answered", len(granted))
	}
	for _, g := range granted {
		if g[0] == 0x13 && len(g) != 7 {
			t.Errorf("% x to a sibling that speaks the form without a life", g)
		}
	}
	if granted := read(stranger); len(granted) > 0 {
		t.Errorf("a stranger got %d answers", len(granted))
	}
}
