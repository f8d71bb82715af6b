package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"sandpass/internal/configwatch"
	"sandpass/internal/operator"
	"sandpass/internal/revision"
)

// replica is a fake control replica. It sends the updates that a test queues to the proxy that watches.
type replica struct {
	*httptest.Server
	hellos  chan revision.Hello
	reports chan revision.Report
	updates chan string // complete lines
}

// newReplica starts a replica for the duration of the test.
func newReplica(t *testing.T) *replica {
	t.Helper()
	r := startReplica(t, "127.0.0.1:0")
	t.Cleanup(r.stop)
	return r
}

// startReplica starts a replica at an address.
func startReplica(t *testing.T, at string) *replica {
	t.Helper()
	r := &replica{hellos: make(chan revision.Hello, 100), reports: make(chan revision.Report, 100),
		updates: make(chan string, 100)}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	r.Server = httptest.NewUnstartedServer(http.HandlerFunc(r.watch))
	r.Server.Listener.Close()
	r.Server.Listener = listener
	r.Start()
	return r
}

// stop ends the replica and all watches on it.
func (r *replica) stop() {
	r.CloseClientConnections()
	r.Close()
}

// watch serves one watch.
func (r *replica) watch(w http.ResponseWriter, request *http.Request) {
	control := http.NewResponseController(w)
	if request.Method != "POST" || request.URL.Path != revision.WatchPath || control.EnableFullDuplex() != nil {
		http.Error(w, "no watch", http.StatusNotFound)
		return
	}
	in := json.NewDecoder(request.Body)
	var hello revision.Hello
	if err := in.Decode(&hello); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if hello.Identity.Fleet != "shop" {
		http.Error(w, "fleet "+hello.Identity.Fleet+" is not shop", http.StatusConflict)
		return
	}
	r.hellos <- hello
	io.WriteString(w, "\n")
	control.Flush()
	go func() {
		for {
			var report revision.Report
			if in.Decode(&report) != nil {
				return
			}
			r.reports <- report
		}
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		line := "\n"
		select {
		case <-request.Context().Done():
			return
		case line = <-r.updates:
		case <-ticker.C:
		}
		io.WriteString(w, line)
		control.Flush()
	}
}

func (r *replica) address() string { return r.Listener.Addr().String() }

// receive returns the next value that a replica received.
func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(8 * time.Second):
		var none T
		t.Fatalf("no %T", none)
		return none
	}
}

// wantsReport waits for a report and checks its revision and verdict.
func wantsReport(t *testing.T, r *replica, number revision.Number, verdict revision.Verdict) revision.Report {
	t.Helper()
	report := receive(t, r.reports)
	if report.Revision != number || report.Verdict != verdict {
		t.Fatalf("%+v, want %d %s", report, number, verdict)
	}
	return report
}

// history is the configuration that the replicas have for one proxy.
type history struct {
	identity  revision.Identity
	revision  revision.Number
	documents map[revision.Scope]revision.ScopeDocument
}

func newHistory() *history {
	return &history{identity: revision.Identity{Fleet: "shop", Proxy: "n0", Zone: "eu-1"},
		documents: map[revision.Scope]revision.ScopeDocument{}}
}

// change adds a revision with a new document of a scope, and returns the update for it.
func (h *history) change(t *testing.T, scope revision.Scope, text string) revision.Update {
	t.Helper()
	document, err := revision.Canonicalize([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	before, ok := h.documents[scope]
	if !ok {
		before.Document = revision.EmptyDocument
	}
	patch, err := revision.Diff(before.Document, document)
	if err != nil {
		t.Fatal(err)
	}
	h.revision++
	h.documents[scope] = revision.ScopeDocument{Scope: scope, Number: h.revision, Document: document}
	return revision.Update{Revision: h.revision, Checksum: h.checksum(t),
		Scopes: []revision.Change{{Scope: scope, Number: h.revision, From: before.Number, Patch: patch}}}
}

// checksum returns the checksum of the effective configuration.
func (h *history) checksum(t *testing.T) string {
	t.Helper()
	var held []revision.ScopeDocument
	for _, document := range h.documents {
		held = append(held, document)
	}
	effective, err := revision.EffectiveDocument(h.identity, held)
	if err != nil {
		t.Fatal(err)
	}
	return revision.Checksum(effective)
}

// whole returns the update with all documents.
func (h *history) whole(t *testing.T) revision.Update {
	t.Helper()
	u := revision.Update{Revision: h.revision, Full: true, Checksum: h.checksum(t)}
	for _, document := range h.documents {
		u.Scopes = append(u.Scopes, revision.Change{Scope: document.Scope, Number: document.Number, Document: document.Document})
	}
	return u
}

// send queues an update.
func (r *replica) send(u revision.Update) {
	text, _ := json.Marshal(u)
	r.updates <- string(text) + "\n"
}

// controlledConfig is a configuration that names these replicas.
func controlledConfig(known, folder string, replicas ...*replica) *Config {
	cfg := testConfig(known, nil, settingsText)
	cfg.Control = operator.Control{Fleet: "shop", Zone: "eu-1"}
	for _, r := range replicas {
		cfg.Control.Replicas = append(cfg.Control.Replicas, r.address())
	}
	if folder != "" {
		cfg.State = operator.State{Folder: folder, Fleet: "shop", SaveInterval: 1}
	}
	return cfg
}

func (r *testProxy) controlStatus() (s configwatch.Status) {
	r.onLoop(func() { s = *r.control.Status() })
	return s
}

func TestChangeAppliesWithOpenRequests(t *testing.T) {
	t.Parallel()
	answer := make(chan bool)
	b := newFakeBackend(t, func(b *fakeBackend, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") {
			<-answer
		}
		echo(b, c, r)
	})
	r, h := newReplica(t), newHistory()
	p := startProxy(t, controlledConfig(endpointList(1, true, readyEndpoint("s-1", b)), t.TempDir(), r))
	hello := receive(t, r.hellos)
	if hello.Protocol != revision.Protocol || hello.Identity != h.identity || hello.Revision != 0 || len(hello.Documents) > 0 {
		t.Errorf("%+v", hello)
	}
	open := p.dial(t)
	io.WriteString(open, requestText("pay"))
	p.await(t, "the request is relayed", func() bool { return b.commands.Load() == 1 })
	r.send(h.change(t, revision.FleetScope, `{"settings": {"limits": {"max_relays": 2}, "tick_ms": 7}}`))
	if report := wantsReport(t, r, 1, revision.InForce); report.Checksum != h.checksum(t) {
		t.Errorf("%+v", report)
	}
	zone := revision.Scope{Kind: revision.ZoneKind, Name: "eu-1"}
	r.send(h.change(t, zone, `{"settings": {"realms": [{"name": "mill", "allowance_per_s": 5}]}}`))
	wantsReport(t, r, 2, revision.InForce)
	p.onLoop(func() {
		if len(p.names.Customers) != 1 || p.names.Customers[0] != "mill" {
			t.Errorf("customers are %v", p.names.Customers)
		}
	})
	close(answer)
	if status, body, _ := open.readAnswer(); status != 200 {
		t.Errorf("the open request got %d %s", status, body)
	}
	if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
		t.Errorf("%d after the change", status)
	}
	if s := p.controlStatus(); s.Revision != 2 || s.Checksum != h.checksum(t) || !s.Connected || s.Replica != r.address() ||
		s.Updates.InForce != 2 || s.LastRefused != nil {
		t.Errorf("%+v", s)
	}
}

func TestRefusedUpdateChangesNothing(t *testing.T) {
	t.Parallel()
	r, h := newReplica(t), newHistory()
	p := startProxy(t, controlledConfig("", t.TempDir(), r))
	receive(t, r.hellos)
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 7}}`))
	wantsReport(t, r, 1, revision.InForce)
	inForce := h.documents[revision.FleetScope]
	for text, reason := range map[string]string{
		`{"settings": {"tick_ms": -1}}`:     "settings: tick_ms is below 0",
		`{"settings": {"azs": []}, "x": 1}`: "x: it needs a start",
		`{"limits": {"sockets": 9}}`:        "limits: it needs a start",
		`{"peers": 3}`:                      "cannot unmarshal",
		`{"discovery": "nowhere"}`:          "discovery: ",
	} {
		r.send(h.change(t, revision.FleetScope, text))
		report := wantsReport(t, r, h.revision, revision.Refused)
		if !strings.Contains(report.Reason, reason) || strings.Contains(report.Reason, "\n") {
			t.Errorf("%s: refused as %q", text, report.Reason)
		}
		if s := p.controlStatus(); s.Revision != 1 || s.LastRefused == nil || s.LastRefused.Revision != h.revision {
			t.Errorf("%+v", s)
		}
		h.documents[revision.FleetScope] = inForce // what the proxy holds
	}
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 8}}`))
	wantsReport(t, r, h.revision, revision.InForce)
}

func TestRestartUsesSavedConfigWithoutReplica(t *testing.T) {
	t.Parallel()
	folder, h := t.TempDir(), newHistory()
	r := newReplica(t)
	cfg := controlledConfig("", folder, r)
	first, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := &testProxy{Proxy: first, runResult: make(chan error, 1), loopCalls: make(chan func(), 1)}
	go func() { p.runResult <- p.Run(p.shutdownRequested.Load) }()
	receive(t, r.hellos)
	r.send(h.change(t, revision.FleetScope, `{"settings": {"realms": [{"name": "mill", "allowance_per_s": 5}]}}`))
	wantsReport(t, r, 1, revision.InForce)
	p.requestShutdown()
	if err := <-p.runResult; err != nil {
		t.Fatal(err)
	}
	address := r.address()
	r.stop()
	again, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if names := again.names.Customers; len(names) != 1 || names[0] != "mill" {
		t.Errorf("starts with customers %v", names)
	}
	q := runProxy(t, again)
	q.await(t, "the watch is lost", func() bool { return !q.control.Status().Connected })
	r = startReplica(t, address)
	defer r.stop()
	if hello := receive(t, r.hellos); hello.Revision != 1 || len(hello.Documents) != 1 || hello.Documents[0].Document != nil ||
		hello.Checksum != h.checksum(t) {
		t.Errorf("%+v", hello)
	}
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 9}}`))
	wantsReport(t, r, 2, revision.InForce)
}

func TestReplicaFailoverAndFleetMismatch(t *testing.T) {
	t.Parallel()
	first, second, h := newReplica(t), newReplica(t), newHistory()
	p := startProxy(t, controlledConfig("", "", first, second))
	receive(t, first.hellos)
	first.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 7}}`))
	wantsReport(t, first, 1, revision.InForce)
	first.stop()
	if hello := receive(t, second.hellos); hello.Revision != 1 {
		t.Errorf("%+v", hello)
	}
	second.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 8}}`))
	wantsReport(t, second, 2, revision.InForce)
	if s := p.controlStatus(); s.Replica != second.address() || s.Revision != 2 {
		t.Errorf("%+v", s)
	}

	foreign := controlledConfig("", "", second)
	foreign.Control.Fleet = "mill"
	q := startProxy(t, foreign)
	q.await(t, "the watch is refused",
		func() bool { return q.control.Status().LastError == "status 409: fleet mill is not shop" })
	if status := q.controlStatus(); status.Revision != 0 || status.Connected {
		t.Errorf("%+v", status)
	}
}

func TestReloadMergesHeldConfig(t *testing.T) {
	t.Parallel()
	r, h := newReplica(t), newHistory()
	cfg := controlledConfig("", "", r)
	p := startProxy(t, cfg)
	receive(t, r.hellos)
	r.send(h.change(t, revision.FleetScope, `{"settings": {"realms": [{"name": "mill", "allowance_per_s": 5}]}}`))
	wantsReport(t, r, 1, revision.InForce)
	other := newFakeBackend(t, echo)
	changed := *cfg
	changed.Discovery = other.Addr().String()
	p.Reload(&changed)
	p.await(t, "the new discovery address is in use",
		func() bool { return p.watch.addr == netip.MustParseAddrPort(changed.Discovery) })
	p.onLoop(func() {
		if len(p.names.Customers) != 1 || p.names.Customers[0] != "mill" {
			t.Errorf("customers are %v", p.names.Customers)
		}
	})
}

// A new version must start with the saved configuration, and must not accept clients before the newest one that the
// old version applied is in force. The old version applies nothing more unless the new one is lost.
func TestNewVersionStartsFromSavedConfig(t *testing.T) {
	t.Parallel()
	r, h := newReplica(t), newHistory()
	cfg := inheritingConfig(t, endpointList(1, true, readyEndpoint("s-1", newFakeBackend(t, echo))))
	controlledCfg := controlledConfig("", t.TempDir(), r)
	cfg.Control, cfg.State = controlledCfg.Control, controlledCfg.State
	fd, _ := strconv.Atoi(cfg.Socket)
	one := startProxy(t, cfg)
	receive(t, r.hellos)
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 6}}`))
	wantsReport(t, r, 1, revision.InForce)
	open := one.dial(t) // keeps the old version running
	open.roundTrip(requestText("look"))

	newVersion, err := New(nextVersionConfig(t, cfg, fd))
	if err != nil {
		t.Fatal(err)
	}
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 7}}`))
	wantsReport(t, r, 2, revision.InForce)
	two := runProxyWithHook(t, newVersion, func() {
		if newVersion.acceptsClients() && newVersion.control.Status().Revision < 2 {
			t.Error("accepts clients with an older configuration than the old version")
		}
	})
	if hello := receive(t, r.hellos); hello.Revision != 2 {
		t.Errorf("hello of the new version: %+v", hello)
	}
	r.send(h.change(t, revision.FleetScope, `{"settings": {"tick_ms": 8}}`))
	wantsReport(t, r, 3, revision.InForce)
	if s := one.controlStatus(); s.Revision != 2 || s.Connected {
		t.Errorf("the old version: %+v", s)
	}
	two.await(t, "the new version serves", func() bool { return two.acceptsClients() })

	two.onLoop(func() { two.handover.predecessor.conn.Close() })
	if hello := receive(t, r.hellos); hello.Revision != 2 && hello.Revision != 3 {
		t.Errorf("hello of the old version: %+v", hello)
	}
	one.await(t, "the configuration saved by the new version is in force",
		func() bool { return one.control.Status().Revision == 3 })
}

// Malformed updates from a replica must change nothing, and the next watch must continue from the same revision.
func TestMalformedReplicaUpdates(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	r, h := newReplica(t), newHistory()
	p := startProxy(t, controlledConfig(endpointList(1, true, readyEndpoint("s-1", b)), t.TempDir(), r))
	receive(t, r.hellos)
	for _, malformed := range []string{
		"}\n", "noise\n", `{"revision":1,"scopes":[}` + "\n", `{"revision":1,` + "\n\n", `{"revision":"x"}` + "\n",
		"{}\n", "[]\n",
		`{"revision":9,"scopes":[{"scope":"rack:1","number":9,"document":{}}]}` + "\n",
		`{"revision":9,"whole":true,"scopes":[{"scope":"fleet","number":9,"document":{"a":1}}],"checksum":"x"}` + "\n",
		`{"a":"` + strings.Repeat("x", 6<<20) + `"}` + "\n",
	} {
		r.updates <- malformed
		hello := receive(t, r.hellos) // the watch is reopened
		if hello.Revision != h.revision {
			t.Errorf("after %.40q: %+v", malformed, hello)
		}
		if status, _, _ := p.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("after %.40q: %d", malformed, status)
		}
		for len(r.reports) > 0 {
			if report := <-r.reports; report.Verdict != revision.Unknown || strings.Contains(report.Reason, "\n") {
				t.Errorf("after %.40q: %+v", malformed, report)
			}
		}
		r.send(h.change(t, revision.FleetScope, fmt.Sprintf(`{"settings": {"tick_ms": %d}}`, 5+h.revision)))
		for receive(t, r.reports).Verdict != revision.InForce { // skip reports about the malformed update
		}
	}
	if s := p.controlStatus(); s.Revision != h.revision || s.Checksum != h.checksum(t) || s.Updates.Unknown == 0 {
		t.Errorf("%+v", s)
	}
}

// When updates arrive during reloads of the local file, both must be in force in the end, without a lost update.
func TestUpdatesDuringReloads(t *testing.T) {
	t.Parallel()
	const updateCount = 30
	r, h := newReplica(t), newHistory()
	cfg := controlledConfig("", t.TempDir(), r)
	p := startProxy(t, cfg)
	receive(t, r.hellos)
	last := *cfg
	go func() {
		for i := range updateCount {
			changed := *cfg
			changed.Discovery = fmt.Sprintf("127.0.0.1:%d", 1+i)
			p.Reload(&changed)
		}
	}()
	for i := range updateCount {
		r.send(h.change(t, revision.FleetScope, fmt.Sprintf(`{"settings": {"limits": {"max_open": %d}}}`, 100+i)))
	}
	for i := range updateCount {
		wantsReport(t, r, revision.Number(1+i), revision.InForce)
	}
	last.Discovery = fmt.Sprintf("127.0.0.1:%d", updateCount)
	p.await(t, "both changes are in force", func() bool {
		return p.watch.addr.String() == last.Discovery && p.network.MaxOpenRequests == 100+updateCount-1 &&
			p.control.Status().Revision == updateCount
	})
}

func TestDescriptorsReservedForControl(t *testing.T) {
	t.Parallel()
	p := runProxy(t, newTestProxy(t, 200, "", nil))
	p.onLoop(func() {
		if p.control.Client != nil || p.reservedDescriptors() != baseDescriptors || strings.Contains(p.status(), "control") {
			t.Errorf("%d descriptors, %s", p.reservedDescriptors(), p.status())
		}
	})
	controlled := controlledConfig("", "", newReplica(t))
	q := startProxy(t, controlled)
	q.onLoop(func() {
		if q.reservedDescriptors() != baseDescriptors+controlDescriptors {
			t.Errorf("%d descriptors", q.reservedDescriptors())
		}
	})
}
