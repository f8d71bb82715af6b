package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// startWithPipedLog starts a process whose standard error is a pipe.
func startWithPipedLog(t *testing.T) (cmd *exec.Cmd, log *os.File, address string) {
	t.Helper()
	config, address := writeConfig(t)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close() })
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	cmd, _ = sandpass(config, "serve")
	cmd.Stdout, cmd.Stderr = write, write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	write.Close()
	if err := waitReachable(address, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return cmd, read, address
}

// The reader of the log closes its pipe: log lines are lost, but the process must go on serving.
func TestLogReaderCloses(t *testing.T) {
	cmd, log, address := startWithPipedLog(t)
	log.Close()
	for range 3 {
		cmd.Process.Signal(syscall.SIGHUP) // causes a log line
		time.Sleep(50 * time.Millisecond)
		if err := waitReachable(address, 2*time.Second); err != nil {
			t.Fatalf("%v; the process: %v", err, cmd.Wait())
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// The reader of the log stalls: log lines wait or are dropped and counted, but the loop must not block.
func TestLogReaderStalls(t *testing.T) {
	cmd, log, address := startWithPipedLog(t)
	full, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/2", cmd.Process.Pid), os.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	fd := int(full.Fd())
	for unix.SetNonblock(fd, true); err == nil; _, err = unix.Write(fd, []byte("x\n")) {
	}
	full.Close()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for range 20 {
		cmd.Process.Signal(syscall.SIGHUP) // causes a log line
		time.Sleep(10 * time.Millisecond)
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("while the reader of the log stalls: %v", err)
		}
		io.Copy(io.Discard, response.Body)
	}
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(log)
		read <- string(text)
	}()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if text := <-read; !strings.Contains(text, "msg=ended") {
		t.Errorf("the log does not go on once it is read again; it ends with %q", text[max(0, len(text)-300):])
	}
}

// A SIGINT after SIGTERM, or repeated signals, must not cut the graceful shutdown short: open requests still get their response.
func TestRepeatedSignalsCauseOneShutdown(t *testing.T) {
	for _, series := range [][]syscall.Signal{{syscall.SIGTERM, syscall.SIGINT},
		{syscall.SIGTERM, syscall.SIGINT, syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGINT, syscall.SIGTERM}, {syscall.SIGINT, syscall.SIGTERM, syscall.SIGINT}} {
		t.Run(fmt.Sprint(series), func(t *testing.T) {
			t.Parallel()
			config, address := writeConfig(t)
			cmd, out := sandpass(config, "serve")
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			if err := waitReachable(address, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			for _, s := range series {
				cmd.Process.Signal(s)
				time.Sleep(50 * time.Millisecond)
			}
			if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "msg=ended") {
				t.Errorf("%v, %s", err, out)
			}
		})
	}
}
