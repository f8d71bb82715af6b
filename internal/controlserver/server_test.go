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

// startSingleReplica starts one replica in the test's process. Its configuration may list other replicas, which do not
// run. A nil storage stands for a new BoltStorage.
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

// awaitReadable waits until the replica answers a status request.
func awaitReadable(t *testing.T, client *controlclient.Client) {
	t.Helper()
	await(t, electionTimeout, "a leader", func() (string, bool) {
		_, err := client.Status(context.Background(), 0, false)
		return fmt.Sprint(err), err == nil
	})
}

// openWatch opens a watch with the given first line and returns the response and the request's body.
func openWatch(t *testing.T, server *Server, firstLine string) (*http.Response, *io.PipeWriter) {
	t.Helper()
	body, out := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), 2*electionTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+revision.WatchPath, body)
	if err != nil {
		t.Fatal(err)
	}
	go io.WriteString(out, firstLine)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%.80s: %v", firstLine, err)
	}
	t.Cleanup(func() { response.Body.Close(); out.Close() })
	return response, out
}

const goodHello = `{"protocol":1,"identity":{"fleet":"shop","proxy":"p1","zone":"eu-1"},"revision":0,"news":true}` + "\n"

// A malformed or foreign Hello must be refused with an error of one line and must not change the fleet view.
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
		`{"protocol":1`: "hello:", // the line is not terminated
	} {
		response, _ := openWatch(t, server, line)
		text, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) ||
			bytes.Count(text, []byte("\n")) != 1 {
			t.Errorf("hello %.60q: got status %s and body %q, want %q", line, response.Status, text, want)
		}
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || status.Newest != 0 || len(status.Proxies) != 0 {
		t.Errorf("%+v, %v", status, err)
	}
}

// A proxy with a newer protocol version must be served with the replica's version.
func TestWatchOfNewerProtocolIsServed(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	apply(t, client, revision.FleetScope, testDocument(1))
	response, _ := openWatch(t, server, strings.Replace(goodHello, `"protocol":1`, `"protocol":2`, 1))
	lines := bufio.NewReader(response.Body)
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
		t.Errorf("got update %+v, want revision 1", update)
	}
}

// A watch without updates must receive heartbeats, and must end properly soon after the replica is stopped.
func TestIdleWatchGetsHeartbeatsAndEndsOnStop(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	response, _ := openWatch(t, server, goodHello)
	lines := bufio.NewReader(response.Body)
	start := time.Now()
	for range 2 { // the first one is sent at once
		if line, err := lines.ReadString('\n'); err != nil || line != "\n" {
			t.Fatalf("got line %q, error %v; want an empty line", line, err)
		}
	}
	if took := time.Since(start); took > heartbeatInterval+time.Second {
		t.Errorf("the heartbeat took %v", took)
	}
	start = time.Now()
	server.Stop()
	if _, err := io.Copy(io.Discard, lines); err != nil {
		t.Errorf("the watch did not end properly: %v", err)
	}
	if took := time.Since(start); took > drainDuration+time.Second {
		t.Errorf("the watch ended %v after Stop", took)
	}
}

// A replica with MaxWatches watches must refuse another one.
func TestReplicaAtWatchLimitRefusesWatch(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	server.mu.Lock()
	server.watchCount = MaxWatches
	server.mu.Unlock()
	if response, _ := openWatch(t, server, goodHello); response.StatusCode != http.StatusServiceUnavailable {
		t.Error(response.Status)
	}
}

// A proxy that does not report on an update within reportTimeout must be disconnected.
func TestProxyWithoutReportIsDisconnected(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	apply(t, client, revision.FleetScope, testDocument(1))
	response, _ := openWatch(t, server, goodHello)
	start := time.Now()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took < reportTimeout/2 || took > reportTimeout+2*time.Second {
		t.Errorf("the proxy was disconnected after %v", took)
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || len(status.Proxies) != 1 || status.Proxies[0].Connected {
		t.Errorf("%+v, %v", status.Proxies, err)
	}
}

// A report that belongs to no update must be ignored, and a malformed one must end its watch without other effects.
func TestMalformedReportEndsOnlyItsWatch(t *testing.T) {
	t.Parallel()
	server, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	response, out := openWatch(t, server, goodHello)
	io.WriteString(out, `{"revision":7,"verdict":"in_force"}`+"\n") // belongs to no update
	io.WriteString(out, "no report\n")
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Log(err)
	}
	status, err := client.Status(context.Background(), 0, true)
	if err != nil || len(status.Proxies) != 1 || status.Proxies[0].InForce != 0 {
		t.Errorf("%+v, %v", status.Proxies, err)
	}
}

// Malformed messages, and messages from senders that are not replicas of the fleet, must not change the replica's state.
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
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%+v: %v", message, err)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != message.status || message.status != http.StatusOK && bytes.Count(text, []byte("\n")) != 1 {
			t.Errorf("%+v: %s %q", message, response.Status, text)
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if leader, proxies := server.node.Leader(), server.view.Statuses(); leader != 0 || len(proxies) != 0 {
		t.Errorf("got leader %d and proxies %v, want none", leader, proxies)
	}
}

// Invalid changes must be refused with an error of one line and must not become revisions.
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
		response, err := http.Post("http://"+server.Address()+controlapi.ApplyPath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Errorf("%.80s: %v", body, err)
			continue
		}
		var refusal controlapi.Error
		err = json.NewDecoder(response.Body).Decode(&refusal)
		response.Body.Close()
		if err != nil || refusal.Kind != want || refusal.Message == "" || strings.Contains(refusal.Message, "\n") {
			t.Errorf("body %.120q: got %+v, error %v; want kind %s", body, refusal, err, want)
		}
	}
	history, err := client.History(context.Background(), nil, 0)
	if err != nil || len(history.Revisions) != 0 {
		t.Errorf("got history %v, error %v; want no revisions", history, err)
	}
}

// A repeated change with the same ID must return the first revision. A conflict must name the author of the other change.
func TestRepeatedApplyIsIdempotentAndConflictNamesAuthor(t *testing.T) {
	t.Parallel()
	_, client := startSingleReplica(t, nil)
	awaitReadable(t, client)
	request := controlapi.ApplyRequest{ID: "first", Scope: revision.FleetScope, Document: testDocument(1), Author: "anna",
		Reason: "more"}
	for range 3 {
		if accepted, err := client.Apply(context.Background(), request); err != nil || accepted.Number != 1 {
			t.Fatalf("got %+v, error %v; want revision 1", accepted, err)
		}
	}
	request.ID, request.Author, request.Document = "second", "bert", testDocument(2)
	_, err := client.Apply(context.Background(), request)
	var conflict *controlapi.Error
	if !errors.As(err, &conflict) || conflict.Kind != controlapi.KindConflict || len(conflict.Changed) != 1 ||
		conflict.Changed[0].Author != "anna" {
		t.Errorf("got error %+v, want a conflict with a change by anna", err)
	}
}

// Without a quorum, changes must fail with KindNoQuorum, and stale reads must report the age of the state.
func TestWithoutQuorumWritesFailAndStaleReadsReportAge(t *testing.T) {
	t.Parallel()
	_, client := startSingleReplica(t, nil, Peer{Name: "c2", Address: "127.0.0.1:2"}, Peer{Name: "c3", Address: "127.0.0.1:3"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request := controlapi.ApplyRequest{Scope: revision.FleetScope, Document: testDocument(1), Author: "anna", Reason: "more"}
	if _, err := client.Apply(ctx, request); errorKind(err) != controlapi.KindNoQuorum {
		t.Errorf("apply returned %v, want an error of kind no_quorum", err)
	}
	client.AllowStale = true
	status, err := client.Status(context.Background(), 0, false)
	if err != nil || !status.Stale || status.AgeSeconds < 0.5 || len(status.Replicas) != 3 {
		t.Errorf("%+v, %v", status, err)
	}
}

// failingStorage fails with err after some successful saves.
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

// A replica whose disk fails must stop, and must not have accepted revisions that are not on disk, whichever save fails.
func TestReplicaStopsWhenStorageFails(t *testing.T) {
	t.Parallel()
	for after := range 8 {
		t.Run(fmt.Sprintf("after %d", after), func(t *testing.T) {
			t.Parallel()
			checkFailingDisk(t, after)
		})
	}
}

// checkFailingDisk makes the disk fail after some saves and compares the accepted revisions with those on disk.
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
		t.Errorf("after %d saves: Run returned %v, want ENOSPC in one line", saves, runErr)
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
		t.Errorf("after %d saves: %d revisions accepted, %d are on disk", saves, accepted, newest)
	}
	reopened.Close()
}

// applyUntilStopped makes changes until the replica stops. It returns how many were accepted and the error of Run.
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

// Errors in a replica's file must be reported in one line that names the key or the position.
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
			t.Errorf("file %q: got error %v, want %q", text, err, want)
		}
	}
}

// Reading arbitrary bytes as messages must not panic.
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

// Validating an arbitrary request body must not panic and must return errors of one line.
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

// A connection that is closed twice must release its slot exactly once.
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
