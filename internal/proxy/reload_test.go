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

// freeUDPAddr returns an unused UDP address on the loopback interface.
func freeUDPAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// alternateSettings returns settings that differ from settingsText in peer messages, keys, own zone, order of zones and verbs,
// and an additional verb.
func alternateSettings(siblings string) string {
	text := strings.NewReplacer(`"siblings": 1`, `"siblings": `+siblings+`, "zone": 1, "family_info": {"warm_keys": true}`,
		`"azs": ["a", "b"]`, `"azs": ["b", "a", "c"]`, `"cancel": true`, `"cancel": true, "peers": true`).Replace(settingsText)
	start := strings.Index(text, `"verbs": [`) + len(`"verbs": [`)
	return text[:start] + `{"name": "scan", "effect": "at_most_once", "key_scope": "all", "window_ms": 5000,
		"response_goal_ms": 2500, "time_limit_ms": 3000, "utility": 2, "overdue_utility": 0.5, "stream": false},` + text[start:]
}

// A running proxy is reloaded with other settings and back. Commands open across a reload are answered once, and each command
// follows the settings in force when it arrived.
func TestReloadThereAndBack(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") {
			<-release
		}
		echo(b, c, r)
	})
	known := endpointList(1, true, readyEndpoint("s-b", b))
	messageAddr := freeUDPAddr(t)
	oldConfig, newConfig := testConfig(known, nil, settingsText), testConfig(known, nil, alternateSettings("1"))
	newConfig.Peers = []string{messageAddr}
	p, err := New(oldConfig)
	if err != nil {
		t.Fatal(err)
	}
	r := runProxy(t, p)
	time.Sleep(600 * time.Millisecond) // after discoveryGraceSeconds the known list is used
	sendOpenCommand := func() *testClient {
		c := r.dial(t)
		io.WriteString(c, requestText("pay", "Content-Length: 0\r\n"))
		time.Sleep(50 * time.Millisecond)
		return c
	}
	expectStatus := func(verb string, want int) {
		t.Helper()
		if status, body, _ := r.dial(t).roundTrip(requestText(verb, "Content-Length: 0\r\n",
			"Req-Extra: resource=7\r\n")); status != want {
			t.Errorf("%s: %d %s, want %d", verb, status, body, want)
		}
	}
	reload := func(l *Config) { r.Reload(l); time.Sleep(50 * time.Millisecond) }
	expectMessageSocket := func(want bool) {
		t.Helper()
		c, err := net.ListenPacket("udp", messageAddr)
		if err == nil {
			c.Close()
		}
		if (err != nil) != want {
			t.Errorf("the message socket is open: %t, want %t", err != nil, want)
		}
	}
	expectStatus("scan", 404)
	first := sendOpenCommand()
	reload(newConfig)
	expectStatus("scan", 200)
	expectStatus("look", 200)
	expectMessageSocket(true)
	second := sendOpenCommand()
	bad := testConfig(known, nil, strings.Replace(alternateSettings("1"), `"at_most_once"`, `"perhaps"`, 1))
	bad.Peers = newConfig.Peers
	reload(bad) // not checked before; must change nothing
	expectStatus("scan", 200)
	expectMessageSocket(true)
	reload(oldConfig)
	expectStatus("scan", 404)
	expectStatus("look", 200)
	expectMessageSocket(false)
	third := sendOpenCommand()
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

// startWithPeer starts a proxy with one peer, which the test plays through a socket, and returns the proxy's message address.
func startWithPeer(t *testing.T, endpoints ...jsonObject) (r *testProxy, messageAddr *net.UDPAddr, peer net.PacketConn) {
	t.Helper()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	at := freeUDPAddr(t)
	l := testConfig(endpointList(1, true, endpoints...), nil, alternateSettings("2"))
	l.Peers = []string{at, peer.LocalAddr().String()}
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(at)), peer
}

// A proxy with one peer, played by the test: commands are answered though the peer is silent. The proxy answers the peer's
// questions about the cells that it is responsible for, but none from an unknown address.
func TestPeerMessages(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	var endpoints []jsonObject
	for _, name := range []string{"s-a", "s-b", "s-c", "s-d", "s-e", "s-f", "s-g", "s-h"} {
		l := readyEndpoint(name, b)
		l["group"] = len(endpoints)
		endpoints = append(endpoints, l)
	}
	r, messageAddr, peer := startWithPeer(t, endpoints...)
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
	if messages := read(peer); len(messages) == 0 {
		t.Error("the peer got no message")
	}
	unknownPeer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unknownPeer.Close()
	for _, c := range []net.PacketConn{peer, unknownPeer} {
		c.WriteTo(make([]byte, 300), messageAddr) // longer than any valid message
		for cell := range byte(8) {
			c.WriteTo([]byte{0x12, cell, 0, 0, 0, 255, 0}, messageAddr)
		}
	}
	answers := read(peer) // the sender has determined that this proxy is responsible
	if len(answers) < 8 {
		t.Errorf("%d of 8 questions were answered", len(answers))
	}
	for _, g := range answers {
		if g[0] == 0x13 && len(g) != 7 {
			t.Errorf("% x to a peer that uses the message form without a lifetime", g)
		}
	}
	if answers := read(unknownPeer); len(answers) > 0 {
		t.Errorf("an unknown address got %d answers", len(answers))
	}
}
