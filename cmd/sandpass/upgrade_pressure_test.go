package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

var residentPattern = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentMB returns the memory that a process has resident, in MiB, 0 once it has ended.
func residentMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	match := residentPattern.FindSubmatch(text)
	if match == nil {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(match[1]))
	return float64(kilobytes) / 1024
}

// Guards against an upgrade that takes the two processes over the memory limit, which counts them together, while a crowd of slow
// clients is connected.
func TestUpgradeBesideACrowdStaysWithinMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	large := make([]byte, 900<<10)
	backend := serveBackend(t, func(c net.Conn) {
		in := make([]byte, 4096)
		for {
			if _, err := c.Read(in); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4<<20)
			for range 64 {
				if _, err := c.Write(large[:64<<10]); err != nil {
					return
				}
			}
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	defer socket.Close()
	config, folder := writeConstrainedConfig(t, address, backend.Addr(), 12), t.TempDir()
	start := func() *exec.Cmd {
		cmd := exec.Command(program, "serve", "--config", config)
		cmd.ExtraFiles, cmd.Env = []*os.File{socket}, append(os.Environ(), "NODE_SOCKET_FD=3", "TMPDIR="+folder)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		return cmd
	}
	old := start()
	awaitReady(t, address)
	const actSeconds = 6 * time.Second
	crowdEnded := make(chan bool)
	go func() {
		defer close(crowdEnded)
		shortFields := strings.Repeat("a:\r\n", 3900)
		crowd(address, func(n int, c net.Conn) {
			c.SetDeadline(time.Now().Add(actSeconds))
			switch n % 3 {
			case 0:
				io.WriteString(c, requestHead("POST", "pay", n, "Content-Length: 250000\r\n\r\n"))
				writeSlowly(c, large[:250000], slowRate, actSeconds)
			case 1:
				io.WriteString(c, requestHead("GET", "look", n, shortFields))
				time.Sleep(actSeconds)
			case 2:
				io.WriteString(c, requestHead("GET", "look", n, "\r\n"))
				readSlowly(c, slowRate)
			}
		})
	}()
	time.Sleep(2 * time.Second) // the crowd's buffers fill
	next := start()
	peak, peakOld := 0.0, 0.0
	for done := false; !done; {
		select {
		case <-crowdEnded:
			done = true
		case <-time.After(20 * time.Millisecond):
		}
		if oldMB := residentMB(old.Process.Pid); oldMB+residentMB(next.Process.Pid) > peak {
			peak, peakOld = oldMB+residentMB(next.Process.Pid), oldMB
		}
	}
	t.Logf("peak %.1f MiB of %d, %.1f of the old process", peak, leastMemoryMB, peakOld)
	if peak > leastMemoryMB {
		t.Errorf("peak of %.1f MiB over the limit of %d", peak, leastMemoryMB)
	}
}
