package configwatch

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"sandpass/internal/loop"
	"sandpass/internal/revision"
)

// The proxies of a lost replica spread over all the others. A proxy keeps its order of replicas until it restarts.
func TestFallbackReplicasAreShuffled(t *testing.T) {
	var replicas []netip.AddrPort
	for i := range 5 {
		replicas = append(replicas, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)))
	}
	const proxies = 560
	second := map[netip.AddrPort]int{}
	for i := range proxies {
		c := &Client{config: Config{Identity: revision.Identity{Fleet: "shop", Proxy: fmt.Sprint("p", i)}, Replicas: replicas}}
		order := shuffleFallbacks(replicas, c.newRandom())
		if order[0] != replicas[0] || len(order) != len(replicas) {
			t.Fatalf("%v", order)
		}
		second[order[1]]++
	}
	for _, replica := range replicas[1:] {
		if n := second[replica]; n < proxies/8 || n > proxies*3/8 {
			t.Errorf("%d of %d go to %s", n, proxies, replica)
		}
	}
	if one := shuffleFallbacks(replicas[:1], (&Client{}).newRandom()); len(one) != 1 {
		t.Errorf("%v", one)
	}
}

func TestQueueLimits(t *testing.T) {
	var w worker
	w.init()
	large := make([]byte, maxUpdateBytes)
	for i := range 3 {
		if queued := w.enqueue(task{kind: updateTask, text: large}); queued != (i < 2) {
			t.Errorf("%d large updates queued: %t", i+1, queued)
		}
	}
	if !w.enqueue(task{kind: localChangedTask}) || w.idle() {
		t.Error("a change of the local file was not queued")
	}
	w.dropUpdates()
	if w.queuedBytes != 0 || len(w.tasks) != 1 {
		t.Errorf("%d bytes, %d tasks", w.queuedBytes, len(w.tasks))
	}
	for n := 1; w.enqueue(task{kind: updateTask}); n++ {
		if n > maxQueuedUpdates {
			t.Fatalf("%d updates queued", n)
		}
	}
	for range maxQueuedUpdates {
		if _, ok := w.dequeue(); !ok {
			t.Fatal("the queue is closed")
		}
	}
	w.close()
	if _, ok := w.dequeue(); ok {
		t.Error("a task after close")
	}
}

// testClient is a client on a loop of its own, without a replica; the test controls its checks and receives what it applies.
type testClient struct {
	*Client
	loopCalls chan func()
	checks    chan chan error // each check blocks until the test sends its result
	applied   chan ReloadableConfig
	running   chan bool
}

func newTestClient(t *testing.T, folder string) *testClient {
	t.Helper()
	r := &testClient{loopCalls: make(chan func(), 1),
		checks: make(chan chan error), applied: make(chan ReloadableConfig, 10), running: make(chan bool)}
	var err error
	r.Client, err = New(Config{Identity: identity,
		Replicas: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Folder: folder,
		Local: func() ReloadableConfig { return ReloadableConfig{Settings: []byte(`{"settings":0}`)} },
		Check: func(ReloadableConfig) error {
			result := make(chan error)
			r.checks <- result
			return <-result
		}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	r.Start(l, func(overlaid ReloadableConfig) error { r.applied <- overlaid; return nil })
	go func() {
		defer close(r.running)
		l.Run(func() {
			select {
			case f := <-r.loopCalls:
				f()
			default:
			}
			r.RunPending()
		})
	}()
	t.Cleanup(func() {
		r.do(l.Stop)
		<-r.running
		r.Close()
		l.Close()
	})
	return r
}

// do runs f on the loop and waits for it.
func (r *testClient) do(f func()) {
	done := make(chan bool)
	r.loopCalls <- func() { f(); close(done) }
	r.loop.WakeUp()
	<-done
}

// An update that is being checked or saved when another process replaces this one must not be applied. It is applied on Resume,
// after that process is lost.
func TestNoUpdateIsAppliedWhilePaused(t *testing.T) {
	r := newTestClient(t, t.TempDir())
	first := revision.Update{Revision: 1, Checksum: checksum(t, `{"settings":{"a":1}}`), Scopes: []revision.Change{
		{Scope: revision.FleetScope, Number: 1, Document: revision.Document(`{"settings":{"a":1}}`)}}}
	r.do(r.Open)
	r.worker.enqueue(task{kind: updateTask, text: encodeUpdate(first)})
	check := <-r.checks
	if r.Idle() {
		t.Error("idle while a check is running")
	}
	r.do(r.Pause)
	check <- nil
	r.do(func() {}) // the iteration in which it would have been applied
	for !r.Idle() {
		runtime.Gosched()
	}
	if len(r.applied) > 0 || r.shared.Load().hello.Revision != 0 {
		t.Fatalf("%d configurations applied, in force %+v", len(r.applied), r.shared.Load().hello)
	}
	if saved, err := r.file().load(); err != nil || saved.Revision != 1 {
		t.Errorf("saved revision %d, %v", saved.Revision, err)
	}
	r.do(r.Resume)
	check = <-r.checks
	check <- nil
	if overlaid := <-r.applied; !strings.Contains(string(overlaid.Settings), `"a":1`) {
		t.Errorf("%s", overlaid.Settings)
	}
}
