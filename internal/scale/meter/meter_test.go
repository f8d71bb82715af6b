package meter

import (
	"io"
	"net"
	"os"
	"testing"
)

func TestConnCountsBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var counter Counter
	counted := &Listener{l, &counter}
	defer counted.Close()
	go func() {
		c, err := counted.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var in [5]byte
		io.ReadFull(c, in[:])
		c.Write([]byte("answer!"))
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if got, want := counter.Traffic(), (Traffic{BytesIn: 5, BytesOut: 7}); got != want {
		t.Errorf("traffic %+v, want %+v", got, want)
	}
}

func TestProcessUsage(t *testing.T) {
	used, err := ProcessUsage(os.Getpid())
	if err != nil || used.ResidentBytes < 1<<20 {
		t.Errorf("usage of this process: %+v, %v", used, err)
	}
	if _, err := ProcessUsage(-1); err == nil {
		t.Error("no error for a process that does not exist")
	}
}
