package controlserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/control"
	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/revision"
)

// startAlone starts a fleet's only replica in the test's process; others may be named that do not run.
func startSingleReplica(t *testing.T, storage Storage, others ...Peer) (*Server, *controlclient.Client) {
	t.Helper()
	check, err := newChecker("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := &Config{Fleet: "shop", Name: "c1", Folder: t.TempDir(), Listen: "127.0.0.1:0",
		Replicas: append([]Peer{{Name: "c1", Address: "127.0.0.1:1", Region: "eu"}}, others...)}
	if storage == nil {
		storage = openStorage(t, config.Folder)
	}
	server, err := newServer(config, storage, check)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-ended; err != nil {
			t.Log("ended with:", err)
		}
	})
	return server, newClient(t, server.Address())
}

func awaitReadable(t *testing.T, client *controlclient.Client) {
	t.Helper()
	await(t, electionTimeout, "a leader", func() (string, bool) {
		_, err := client.Status(context.Background(), 0, false)
		return fmt.Sprint(err), err == nil
	})
}

// openWatch sends a first line to the watch and gives the answer.
func openWatch(t *testing.T, server *Server, line string) (*http.Response, *io.PipeWriter) {
	t.Helper()
	body, out := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), 2*electionTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+revision.WatchPath, body)
	if err != nil {
		t.Fatal(err)
	}
	go io.WriteString(out, line)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%.80s: %v", line, err)
	}
	t.Cleanup(func() { answer.Body.Close(); out.Close() })
	return answer, out
}

const goodHello = `{"protocol":1,"identity":{"fleet":"shop","proxy":"p1","zone":"eu-1"},"revision":0,"news":true}` + "\n"

func TestMalformedHelloIsRefused(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	for line, want := range map[string]string{
		"{\n":  "hello:",
		"[]\n": "hello:",
		`{"protocol":1,"identity":{"fleet":"other","proxy":"p1"}}` + "\n": `fleet "other" is not "shop"`,
		`{"protocol":1,"identity":{"fleet":"shop","proxy":"a b"}}` + "\n": "proxy",
		`{"protocol":0,"identity":{"fleet":"shop","proxy":"p1"}}` + "\n":  "protocol",
		strings.Repeat("x", maxLineBytes+1) + "\n":                        "too long",
		`{"protocol":1`: "hello:", // it never ends
	} {
		answer, _ := openWatch(t, server, line)
		text, _ := io.ReadAll(answer.Body)
		if answer.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) || bytes.Count(text, []byte("\n")) != 1 {
			t.Errorf("%.60q: %s %q, wanted %q", line, answer.Status, text, want)
		}
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || status.Newest != 0 || len(status.Proxies) != 0 {
		t.Errorf("%+v, %v", status, err)
	}
}

func TestWatchOfNewerProtocolIsServed(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	apply(t, client, revision.FleetScope, testDocument(1))
	answer, _ := openWatch(t, server, strings.Replace(goodHello, `"protocol":1`, `"protocol":2`, 1))
	lines := bufio.NewReader(answer.Body)
	var update revision.Update
	for update.Revision == 0 {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		if len(line) > 1 {
			if err := json.Unmarshal(line, &update); err != nil {
				t.Fatalf("%s: %v", line, err)
			}
		}
	}
	if update.Revision != 1 {
		t.Errorf("%+v", update)
	}
}

func TestIdleWatchGetsHeartbeatsAndEndsOnStop(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	answer, _ := openWatch(t, server, goodHello)
	lines := bufio.NewReader(answer.Body)
	start := time.Now()
	for range 2 { // the first one comes at once
		if line, err := lines.ReadString('\n'); err != nil || line != "\n" {
			t.Fatalf("%q, %v", line, err)
		}
	}
	if took := time.Since(start); took > heartbeatInterval+time.Second {
		t.Errorf("the heartbeat took %v", took)
	}
	start = time.Now()
	server.Stop()
	if _, err := io.Copy(io.Discard, lines); err != nil {
		t.Errorf("the watch did not end well: %v", err)
	}
	if took := time.Since(start); took > drainDuration+time.Second {
		t.Errorf("the watch ended %v after the replica was told to stop", took)
	}
}

func TestReplicaAtWatchLimitRefusesWatch(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	server.mu.Lock()
	server.watchCount = MaxWatches
	server.mu.Unlock()
	if answer, _ := openWatch(t, server, goodHello); answer.StatusCode != http.StatusServiceUnavailable {
		t.Error(answer.Status)
	}
}

func TestProxyWithoutReportIsDisconnected(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	apply(t, client, revision.FleetScope, testDocument(1))
	answer, _ := openWatch(t, server, goodHello)
	start := time.Now()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took < reportTimeout/2 || took > reportTimeout+2*time.Second {
		t.Errorf("it was dropped after %v", took)
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || len(status.Proxies) != 1 || status.Proxies[0].Connected {
		t.Errorf("%+v, %v", status.Proxies, err)
	}
}

func TestMalformedReportEndsOnlyItsWatch(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	answer, out := openWatch(t, server, goodHello)
	io.WriteString(out, `{"revision":7,"verdict":"in_force"}`+"\n") // it answers nothing
	io.WriteString(out, "no report\n")
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Log(err)
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || len(status.Proxies) != 1 || status.Proxies[0].InForce != 0 {
		t.Errorf("%+v, %v", status.Proxies, err)
	}
}

func TestMalformedReplicaMessagesAreIgnored(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil, Peer{Name: "c2", Address: "127.0.0.1:2"}, Peer{Name: "c3", Address: "127.0.0.1:3"})
	client.AllowStale = true
	awaitReadable(t, client)
	foreign, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: proto.Uint64(99), Term: proto.Uint64(9)})
	if err != nil {
		t.Fatal(err)
	}
	framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(foreign))), foreign...)
	for _, message := range []struct {
		path, fleet, sender, body string
		status                    int
	}{
		{raftPath, "other", "c2", "", http.StatusForbidden},
		{raftPath, "shop", "c9", "", http.StatusForbidden},
		{raftPath, "shop", "c1", "", http.StatusForbidden},
		{raftPath, "shop", "c2", "\xff\xff\xff\xff", http.StatusOK},
		{raftPath, "shop", "c2", "\x00\x00\x00\x04abcd", http.StatusOK},
		{raftPath, "shop", "c2", string(framed), http.StatusOK},
		{reportsPath, "other", "c2", "{}", http.StatusForbidden},
		{reportsPath, "shop", "c2", "{", http.StatusBadRequest},
		{reportsPath, "shop", "c2", `{"statuses":[{"identity":{"fleet":"shop","proxy":"p1"},"replica":"c3"}]}`, http.StatusBadRequest},
		{forwardPath, "other", "c2", "{}", http.StatusForbidden},
	} {
		request, _ := http.NewRequest(http.MethodPost, "http://"+server.Address()+message.path, strings.NewReader(message.body))
		request.Header.Set(fleetHeader, message.fleet)
		request.Header.Set(senderHeader, message.sender)
		request.Close = true
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%+v: %v", message, err)
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		if answer.StatusCode != message.status || message.status != http.StatusOK && bytes.Count(text, []byte("\n")) != 1 {
			t.Errorf("%+v: %s %q", message, answer.Status, text)
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if leader, proxies := server.node.Leader(), server.view.Statuses(); leader != 0 || len(proxies) != 0 {
		t.Errorf("leader %d, %v", leader, proxies)
	}
}

func TestInvalidApplyRequestsAreRefused(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	valid := `{"id":"%s","scope":"fleet","base":0,"author":"a","reason":"r","document":%s}`
	for body, want := range map[string]controlapi.Kind{
		"{":                                   controlapi.KindBadRequest,
		fmt.Sprintf(valid, "", "{}"):          controlapi.KindBadRequest,
		fmt.Sprintf(valid, "1", `{"a":null}`): controlapi.KindBadRequest,
		fmt.Sprintf(valid, "2", `[]`):         controlapi.KindBadRequest,
		strings.Replace(fmt.Sprintf(valid, "3", "{}"), "fleet", "rack:1", 1):             controlapi.KindBadRequest,
		strings.Replace(fmt.Sprintf(valid, "4", "{}"), `"r"`, `"r\nr"`, 1):               controlapi.KindBadRequest,
		strings.Repeat(" ", controlapi.MaxBodyBytes+1) + "{}":                            controlapi.KindBadRequest,
		fmt.Sprintf(valid, "5", `{"listen":"127.0.0.1:1"}`):                              controlapi.KindRefused,
		fmt.Sprintf(valid, "6", `{"settings":{"tick_ms":"soon"}}`):                       controlapi.KindRefused,
		strings.Replace(fmt.Sprintf(valid, "7", "{}"), `"base":0`, `"base":3`, 1):        controlapi.KindNotFound,
		strings.Replace(fmt.Sprintf(valid, "8", "{}"), `"base":0`, `"rollback_of":3`, 1): controlapi.KindNotFound,
	} {
		answer, err := http.Post("http://"+server.Address()+controlapi.ApplyPath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Errorf("%.80s: %v", body, err)
			continue
		}
		var refusal controlapi.Error
		err = json.NewDecoder(answer.Body).Decode(&refusal)
		answer.Body.Close()
		if err != nil || refusal.Kind != want || refusal.Message == "" || strings.Contains(refusal.Message, "\n") {
			t.Errorf("%.120q: %+v, %v; wanted %s", body, refusal, err, want)
		}
	}
	history, err := client.History(context.Background(), nil, 0)
	if err != nil || len(history.Revisions) != 0 {
		t.Errorf("%v, %v", history, err)
	}
}

func TestRepeatedApplyIsIdempotentAndConflictNamesAuthor(t *testing.T) {
	t.Parallel()
	_, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	request := controlapi.ApplyRequest{ID: "first", Scope: revision.FleetScope, Document: testDocument(1), Author: "anna",
		Reason: "more"}
	for range 3 {
		if accepted, err := client.Apply(context.Background(), request); err != nil || accepted.Number != 1 {
			t.Fatalf("%+v, %v", accepted, err)
		}
	}
	request.ID, request.Author, request.Document = "second", "bert", testDocument(2)
	_, err := client.Apply(context.Background(), request)
	var conflict *controlapi.Error
	if !errors.As(err, &conflict) || conflict.Kind != controlapi.KindConflict || len(conflict.Changed) != 1 ||
		conflict.Changed[0].Author != "anna" {
		t.Errorf("%+v", err)
	}
}

func TestWithoutQuorumWritesFailAndStaleReadsReportAge(t *testing.T) {
	t.Parallel()
	_, client := startSingleReplica(t, nil, Peer{Name: "c2", Address: "127.0.0.1:2"}, Peer{Name: "c3", Address: "127.0.0.1:3"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request := controlapi.ApplyRequest{Scope: revision.FleetScope, Document: testDocument(1), Author: "anna", Reason: "more"}
	if _, err := client.Apply(ctx, request); errorKind(err) != controlapi.KindNoQuorum {
		t.Errorf("%v", err)
	}
	client.AllowStale = true
	status, err := client.Status(context.Background(), 0, false)
	if err != nil || !status.Stale || status.AgeSeconds < 0.5 || len(status.Replicas) != 3 {
		t.Errorf("%+v, %v", status, err)
	}
}

// failingStorage fails from one operation on.
type failingStorage struct {
	Storage
	err                error
	savesBeforeFailure int
}

func (f *failingStorage) Save(work control.Work) error {
	if f.savesBeforeFailure--; f.savesBeforeFailure < 0 {
		return f.err
	}
	return f.Storage.Save(work)
}

func TestReplicaStopsWhenStorageFails(t *testing.T) {
	t.Parallel()
	for after := range 8 {
		t.Run(fmt.Sprintf("after %d", after), func(t *testing.T) {
			t.Parallel()
			checkFailingDisk(t, after)
		})
	}
}

// checkFailingDisk lets the disk fail after some operations, and compares what was accepted with what lies on it.
func checkFailingDisk(t *testing.T, saves int) {
	folder := t.TempDir()
	storage := &failingStorage{openStorage(t, folder), syscall.ENOSPC, saves}
	config := &Config{Fleet: "shop", Name: "c1", Folder: folder, Listen: "127.0.0.1:0",
		Replicas: []Peer{{Name: "c1", Address: "127.0.0.1:1"}}}
	server, err := newServer(config, storage, func(revision.Document) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	accepted, runErr := applyUntilStopped(newClient(t, server.Address()), ended)
	if !errors.Is(runErr, syscall.ENOSPC) || strings.Contains(runErr.Error(), "\n") {
		t.Errorf("after %d: %v", saves, runErr)
	}
	reopened, err := OpenStorage(folder, "shop", "c1")
	if err != nil {
		t.Fatal(err)
	}
	saved, err := reopened.Load()
	if err != nil {
		t.Fatal(err)
	}
	node, err := control.NewNode(control.NodeConfig{ID: replicaID("shop", "c1"), Peers: []uint64{replicaID("shop", "c1")},
		Fleet: "shop", Persisted: saved})
	if err != nil {
		t.Fatal(err)
	}
	for work, hasWork := node.Ready(); hasWork; work, hasWork = node.Ready() {
		if _, err := node.Advance(work); err != nil {
			t.Fatal(err)
		}
	}
	if newest := node.State().NewestNumber(); int(newest) < accepted {
		t.Errorf("after %d: %d accepted, %d are on the disk", saves, accepted, newest)
	}
	reopened.Close()
}

// applyUntilItEnds makes changes until the replica ends, and says how many were accepted.
func applyUntilStopped(client *controlclient.Client, ended <-chan error) (accepted int, runErr error) {
	for n := 0; ; n++ {
		select {
		case runErr = <-ended:
			return accepted, runErr
		default:
		}
		if _, err := tryApply(client, revision.FleetScope, testDocument(n), 300*time.Millisecond); err == nil {
			accepted++
		}
	}
}

func TestReadConfigRejectsInvalidFiles(t *testing.T) {
	t.Parallel()
	valid := "fleet = \"shop\"\nname = \"c1\"\nfolder = \"log\"\nlisten = \"127.0.0.1:0\"\n" +
		"[[replica]]\nname = \"c1\"\naddress = \"127.0.0.1:1\"\n"
	for text, want := range map[string]string{
		valid + "colour = 1\n":                                    "line 8, column 1: key replica.colour is unknown",
		"fleet = ":                                                "line 1",
		strings.Replace(valid, "shop", "a b", 1):                  "fleet",
		strings.Replace(valid, `"log"`, `""`, 1):                  "folder is missing",
		strings.Replace(valid, "127.0.0.1:0", "here", 1):          "listen",
		strings.Replace(valid, `name = "c1"`, `name = "c3"`, 1):   "c3 is not one of the replicas",
		valid + "[[replica]]\nname = \"c1\"\naddress = \"h:1\"\n": "twice",
		valid + "[[replica]]\nname = \"c2\"\naddress = \"h\"\n":   "replica c2: address",
	} {
		path := filepath.Join(t.TempDir(), "control.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(path)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, wanted %q", text, err, want)
		}
	}
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x08\x01"))
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		input := bytes.NewReader(text)
		for {
			if _, err := readMessage(input); err != nil {
				return
			}
		}
	})
}

func FuzzApplyBody(f *testing.F) {
	f.Add([]byte(`{"id":"1","scope":"fleet","author":"a","reason":"r","document":{}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request := controlapi.ApplyRequest{}
		recorder := httptest.NewRecorder()
		post := httptest.NewRequest(http.MethodPost, controlapi.ApplyPath, bytes.NewReader(body))
		if err := readBody(recorder, post, &request); err != nil {
			return
		}
		if err := validateRequest(&request); err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q", err)
		}
	})
}

func TestClosedConnectionReleasesSlotOnce(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newLimitListener(inner, 1)
	defer listener.Close()
	for range 3 {
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
		accepted.Close()
		client.Close()
	}
}
