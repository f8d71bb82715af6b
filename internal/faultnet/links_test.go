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

// echo answers each connection with what it gets, and ends its half when the other is ended.
func echo(t *testing.T) string {
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

func stream(t *testing.T, w Conditions) (*StreamForwarder, *net.TCPConn) {
	t.Helper()
	s, err := NewStreamForwarder(echo(t), 5)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetConditions(w, w)
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return s, c.(*net.TCPConn)
}

func TestAStreamLosesNoByteInBadWeather(t *testing.T) {
	_, c := stream(t, Conditions{Delay: 0.002, Jitter: 0.004, Loss: 0.1, RetransmitDelay: 0.01})
	chance := rand.New(rand.NewPCG(1, 1))
	text := make([]byte, 400<<10)
	for i := range text {
		text[i] = byte(chance.Uint32())
	}
	go func() {
		for at := 0; at < len(text); {
			n := min(len(text)-at, 1+chance.IntN(30<<10))
			if _, err := c.Write(text[at : at+n]); err != nil {
				return
			}
			at += n
		}
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, text) {
		t.Errorf("%d of %d bytes came back whole and in order, %v", len(got), len(text), err)
	}
}

// arrives tells whether a byte comes back within the time.
func arrives(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	var one [1]byte
	_, err := c.Read(one[:])
	return err == nil
}

func TestACutHoldsWhatIsSentUntilItHeals(t *testing.T) {
	for way, cut := range map[string][2]Conditions{
		"there": {{Blocked: true}, {}}, "back": {{}, {Blocked: true}}, "both": {{Blocked: true}, {Blocked: true}},
	} {
		s, c := stream(t, Conditions{})
		c.Write([]byte("a"))
		if !arrives(c, 5*time.Second) {
			t.Fatalf("%s: nothing came before the cut", way)
		}
		s.SetConditions(cut[0], cut[1])
		c.Write([]byte("b"))
		if arrives(c, 100*time.Millisecond) {
			t.Errorf("%s: a byte passed the cut", way)
		}
		s.SetConditions(Conditions{}, Conditions{})
		if !arrives(c, 5*time.Second) {
			t.Errorf("%s: what was sent in the cut never came", way)
		}
	}
}

func TestAConnectionMadeInACutIsSilentUntilItHeals(t *testing.T) {
	s, _ := stream(t, Conditions{Blocked: true})
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("a"))
	if arrives(c, 100*time.Millisecond) {
		t.Fatal("a byte passed the cut")
	}
	s.SetConditions(Conditions{}, Conditions{})
	if !arrives(c, 5*time.Second) {
		t.Error("nothing came once it had healed")
	}
}

func TestAResetBreaksWhatIsOpenAndNothingElse(t *testing.T) {
	s, c := stream(t, Conditions{})
	c.Write([]byte("a"))
	if !arrives(c, 5*time.Second) {
		t.Fatal("nothing came")
	}
	s.Reset()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("read after the reset: %v", err)
	}
	d, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Write([]byte("b"))
	if !arrives(d, 5*time.Second) {
		t.Error("a new connection does not pass")
	}
}

func TestNobodyAtTheTargetResets(t *testing.T) {
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
		return // reset before it was even here
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("read: %v", err)
	}
}

func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return netip.MustParseAddrPort(c.LocalAddr().String()) }

// pair gives two ends and the way between them, and reads what comes to the right one.
func pair(t *testing.T, seed uint64, w Conditions) (p *DatagramForwarder, left, right *net.UDPConn) {
	t.Helper()
	left, right = socket(t), socket(t)
	p, err := NewDatagramForwarder(addr(left), addr(right), seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.SetConditions(w, w)
	return p, left, right
}

// cross sends so many numbered datagrams, one after another, and a last one in good weather, and gives what came.
func cross(t *testing.T, seed uint64, w Conditions, count int) (got []string) {
	p, left, right := pair(t, seed, w)
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.AddrForLeft()))
	for i := range count {
		fmt.Fprint(udpTo{left, to}, i)
		if i%20 == 19 { // no faster than a socket's buffer holds
			for {
				carried, lost := p.ways[0].counts()
				if carried+lost > i-1 || w.Duplicate > 0 && carried+lost > i {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	for {
		_ = right.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		text := make([]byte, 100)
		n, from, err := right.ReadFromUDPAddrPort(text)
		if err != nil {
			return got
		}
		if from.String() != p.AddrForRight() {
			t.Fatalf("came from %v, the right end knows %s", from, p.AddrForRight())
		}
		got = append(got, string(text[:n]))
	}
}

type udpTo struct {
	c  *net.UDPConn
	to *net.UDPAddr
}

func (u udpTo) Write(text []byte) (int, error) { return u.c.WriteToUDP(text, u.to) }

func TestOneSeedLosesTheSameDatagrams(t *testing.T) {
	w := Conditions{Loss: 0.3}
	a, b, c := cross(t, 7, w, 200), cross(t, 7, w, 200), cross(t, 8, w, 200)
	if fmt.Sprint(a) != fmt.Sprint(b) || fmt.Sprint(a) == fmt.Sprint(c) {
		t.Errorf("%d, %d and, of another seed, %d came", len(a), len(b), len(c))
	}
	if len(a) < 110 || len(a) > 170 {
		t.Errorf("%d of 200 came where three in ten get lost", len(a))
	}
}

func TestDatagramsRepeatAndPass(t *testing.T) {
	if got := cross(t, 3, Conditions{Duplicate: 1}, 20); len(got) != 40 {
		t.Errorf("%d came of 20 that are all sent twice", len(got))
	}
	got, swapped := cross(t, 3, Conditions{Reorder: 0.4}, 60), 0
	for i := 1; i < len(got); i++ {
		var a, b int
		fmt.Sscan(got[i-1], &a)
		fmt.Sscan(got[i], &b)
		if b < a {
			swapped++
		}
	}
	if len(got) != 60 || swapped < 8 {
		t.Errorf("%d came, %d were passed by another", len(got), swapped)
	}
	if got := cross(t, 3, Conditions{Blocked: true}, 20); len(got) != 0 {
		t.Errorf("%d passed a cut", len(got))
	}
}

func TestStrangersDoNotPass(t *testing.T) {
	p, left, right := pair(t, 1, Conditions{})
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.AddrForLeft()))
	fmt.Fprint(udpTo{socket(t), to}, "stranger")
	fmt.Fprint(udpTo{left, to}, "friend")
	_ = right.SetReadDeadline(time.Now().Add(5 * time.Second))
	text := make([]byte, 100)
	if n, _, err := right.ReadFromUDPAddrPort(text); err != nil || string(text[:n]) != "friend" {
		t.Errorf("got %q, %v", text[:n], err)
	}
}

func TestWeatherThatCanNotBe(t *testing.T) {
	for _, w := range []Conditions{{Delay: -1}, {Loss: 1.1}, {Jitter: math.NaN()}, {Bandwidth: math.Inf(1)}, {Duplicate: -0.1}} {
		if w.Validate() == nil {
			t.Errorf("%+v is taken", w)
		}
	}
	if err := (Conditions{Delay: 1, Loss: 1, Bandwidth: 1e6, Blocked: true}).Validate(); err != nil {
		t.Error(err)
	}
}
