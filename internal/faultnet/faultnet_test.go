package faultnet

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"
)

// startEchoServer echoes the bytes of each connection, closes its write side at the end of input, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
				_ = c.(*net.TCPConn).CloseWrite()
			}()
		}
	}()
	return l.Addr().String()
}

// newTestStream returns a forwarder to an echo server, with the same conditions in both directions, and a connection through it.
func newTestStream(t *testing.T, conditions Conditions) (*StreamForwarder, *net.TCPConn) {
	t.Helper()
	s, err := NewStreamForwarder(startEchoServer(t), 5)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetConditions(conditions, conditions)
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return s, c.(*net.TCPConn)
}

func TestStreamDeliversAllBytesInOrder(t *testing.T) {
	_, c := newTestStream(t, Conditions{Delay: 0.002, Jitter: 0.004, Loss: 0.1, RetransmitDelay: 0.01})
	rng := rand.New(rand.NewPCG(1, 1))
	payload := make([]byte, 400<<10)
	for i := range payload {
		payload[i] = byte(rng.Uint32())
	}
	go func() {
		for at := 0; at < len(payload); {
			n := min(len(payload)-at, 1+rng.IntN(30<<10))
			if _, err := c.Write(payload[at : at+n]); err != nil {
				return
			}
			at += n
		}
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, payload) {
		t.Errorf("received %d of %d bytes, or in another order; error %v", len(got), len(payload), err)
	}
}

// byteArrives reports whether a byte can be read within the given time.
func byteArrives(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	var one [1]byte
	_, err := c.Read(one[:])
	return err == nil
}

func TestBlockedStreamHoldsBytesUntilUnblocked(t *testing.T) {
	for directions, conditions := range map[string][2]Conditions{
		"to target": {{Blocked: true}, {}}, "to client": {{}, {Blocked: true}}, "both": {{Blocked: true}, {Blocked: true}},
	} {
		s, c := newTestStream(t, Conditions{})
		c.Write([]byte("a"))
		if !byteArrives(c, 5*time.Second) {
			t.Fatalf("%s: no byte arrived before the block", directions)
		}
		s.SetConditions(conditions[0], conditions[1])
		c.Write([]byte("b"))
		if byteArrives(c, 100*time.Millisecond) {
			t.Errorf("%s: a byte passed while blocked", directions)
		}
		s.SetConditions(Conditions{}, Conditions{})
		if !byteArrives(c, 5*time.Second) {
			t.Errorf("%s: the byte sent while blocked never arrived", directions)
		}
	}
}

func TestConnectionOpenedWhileBlockedIsSilentUntilUnblocked(t *testing.T) {
	s, _ := newTestStream(t, Conditions{Blocked: true})
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("a"))
	if byteArrives(c, 100*time.Millisecond) {
		t.Fatal("a byte passed while blocked")
	}
	s.SetConditions(Conditions{}, Conditions{})
	if !byteArrives(c, 5*time.Second) {
		t.Error("no byte arrived after the block ended")
	}
}

func TestResetBreaksOnlyOpenConnections(t *testing.T) {
	s, c := newTestStream(t, Conditions{})
	c.Write([]byte("a"))
	if !byteArrives(c, 5*time.Second) {
		t.Fatal("no byte arrived before the reset")
	}
	s.Reset()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("read after the reset returned %v, want a connection error", err)
	}
	d, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Write([]byte("b"))
	if !byteArrives(d, 5*time.Second) {
		t.Error("no byte arrived on a new connection after the reset")
	}
}

func TestUnreachableTargetResetsConnection(t *testing.T) {
	l, _ := net.Listen("tcp4", "127.0.0.1:0")
	gone := l.Addr().String()
	l.Close()
	s, err := NewStreamForwarder(gone, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		return // the reset arrived before Dial returned
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("read returned %v, want a connection error", err)
	}
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func localAddr(c *net.UDPConn) netip.AddrPort { return netip.MustParseAddrPort(c.LocalAddr().String()) }

// newTestPair returns two sockets and a forwarder between them with the same conditions in both directions.
func newTestPair(t *testing.T, seed uint64, conditions Conditions) (f *DatagramForwarder, left, right *net.UDPConn) {
	t.Helper()
	left, right = listenUDP(t), listenUDP(t)
	f, err := NewDatagramForwarder(localAddr(left), localAddr(right), seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.SetConditions(conditions, conditions)
	return f, left, right
}

// sendNumbered sends count numbered datagrams from left to right and returns those that arrive, in order of arrival.
func sendNumbered(t *testing.T, seed uint64, conditions Conditions, count int) (got []string) {
	f, left, right := newTestPair(t, seed, conditions)
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(f.AddrForLeft()))
	for i := range count {
		fmt.Fprint(udpWriter{left, to}, i)
		if i%20 == 19 { // paced, so that the socket buffer does not overflow
			for {
				scheduled, lost := f.directions[0].counts()
				if scheduled+lost > i-1 || conditions.Duplicate > 0 && scheduled+lost > i {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	for {
		_ = right.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		payload := make([]byte, 100)
		n, from, err := right.ReadFromUDPAddrPort(payload)
		if err != nil {
			return got
		}
		if from.String() != f.AddrForRight() {
			t.Fatalf("datagram came from %v, the right endpoint expects %s", from, f.AddrForRight())
		}
		got = append(got, string(payload[:n]))
	}
}

// udpWriter writes datagrams from a socket to one address.
type udpWriter struct {
	c  *net.UDPConn
	to *net.UDPAddr
}

func (u udpWriter) Write(payload []byte) (int, error) { return u.c.WriteToUDP(payload, u.to) }

func TestSameSeedLosesSameDatagrams(t *testing.T) {
	conditions := Conditions{Loss: 0.3}
	a, b, c := sendNumbered(t, 7, conditions, 200), sendNumbered(t, 7, conditions, 200), sendNumbered(t, 8, conditions, 200)
	if fmt.Sprint(a) != fmt.Sprint(b) || fmt.Sprint(a) == fmt.Sprint(c) {
		t.Errorf("received %d and %d datagrams with one seed, %d with another; want equal sequences for equal seeds only",
			len(a), len(b), len(c))
	}
	if len(a) < 110 || len(a) > 170 {
		t.Errorf("received %d of 200 datagrams at 30%% loss", len(a))
	}
}

func TestDatagramsAreDuplicatedReorderedAndBlocked(t *testing.T) {
	if got := sendNumbered(t, 3, Conditions{Duplicate: 1}, 20); len(got) != 40 {
		t.Errorf("received %d datagrams, want 40 since each of 20 is duplicated", len(got))
	}
	got, overtaken := sendNumbered(t, 3, Conditions{Reorder: 0.4}, 60), 0
	for i := 1; i < len(got); i++ {
		var a, b int
		fmt.Sscan(got[i-1], &a)
		fmt.Sscan(got[i], &b)
		if b < a {
			overtaken++
		}
	}
	if len(got) != 60 || overtaken < 8 {
		t.Errorf("received %d of 60 datagrams, %d of them overtaken; want all, and at least 8 overtaken", len(got), overtaken)
	}
	if got := sendNumbered(t, 3, Conditions{Blocked: true}, 20); len(got) != 0 {
		t.Errorf("%d datagrams passed while blocked", len(got))
	}
}

func TestDatagramsFromUnknownSourcesAreDropped(t *testing.T) {
	f, left, right := newTestPair(t, 1, Conditions{})
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(f.AddrForLeft()))
	fmt.Fprint(udpWriter{listenUDP(t), to}, "unknown source")
	fmt.Fprint(udpWriter{left, to}, "left endpoint")
	_ = right.SetReadDeadline(time.Now().Add(5 * time.Second))
	payload := make([]byte, 100)
	if n, _, err := right.ReadFromUDPAddrPort(payload); err != nil || string(payload[:n]) != "left endpoint" {
		t.Errorf("received %q, error %v; want only the datagram of the left endpoint", payload[:n], err)
	}
}

func TestInvalidConditionsAreRejected(t *testing.T) {
	for _, c := range []Conditions{{Delay: -1}, {Loss: 1.1}, {Jitter: math.NaN()}, {Bandwidth: math.Inf(1)}, {Duplicate: -0.1}} {
		if c.Validate() == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
	if err := (Conditions{Delay: 1, Loss: 1, Bandwidth: 1e6, Blocked: true}).Validate(); err != nil {
		t.Error(err)
	}
}
