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

// The proxies of a replica that is lost go to all the others, each again to the same while it is one process.
func TestProxiesSpreadOverTheOtherReplicas(t *testing.T) {
	var replicas []netip.AddrPort
	for i := range 5 {
		replicas = append(replicas, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)))
	}
	const proxies = 560
	second := map[netip.AddrPort]int{}
	for i := range proxies {
		c := &Client{config: Config{Identity: revision.Identity{Fleet: "shop", Proxy: fmt.Sprint("p", i)}, Replicas: replicas}}
		order := spreadOut(replicas, c.jitter())
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
	if one := spreadOut(replicas[:1], (&Client{}).jitter()); len(one) != 1 {
		t.Errorf("%v", one)
	}
}

func TestWhatWaitsIsBounded(t *testing.T) {
	var w worker
	w.init()
	large := make([]byte, messageMost)
	for i := range 3 {
		if room := w.put(task{kind: update, text: large}); room != (i < 2) {
			t.Errorf("room for %d large updates: %t", i+1, room)
		}
	}
	if !w.put(task{kind: localChanged}) || w.idle() {
		t.Error("no room for a new file of the proxy's own")
	}
	w.dropUpdates()
	if w.bytes != 0 || len(w.tasks) != 1 {
		t.Errorf("%d bytes, %d tasks", w.bytes, len(w.tasks))
	}
	for n := 1; w.put(task{kind: update}); n++ {
		if n > tasksMost {
			t.Fatalf("%d updates wait", n)
		}
	}
	for range tasksMost {
		if _, ok := w.take(); !ok {
			t.Fatal("it has ended")
		}
	}
	w.close()
	if _, ok := w.take(); ok {
		t.Error("a task after the end")
	}
}

// looped is a client on a loop of its own, without a replica; what it takes over and what it checks is the test's.
type looped struct {
	*Client
	todo    chan func()
	checks  chan chan error // each check waits for what the test sends
	taken   chan ReloadableConfig
	running chan bool
}

func newLooped(t *testing.T, folder string) *looped {
	t.Helper()
	r := &looped{todo: make(chan func(), 1), checks: make(chan chan error), taken: make(chan ReloadableConfig, 10), running: make(chan bool)}
	var err error
	r.Client, err = New(Config{Identity: identity, Replicas: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Folder: folder,
		Local: func() ReloadableConfig { return ReloadableConfig{Settings: []byte(`{"settings":0}`)} },
		Check: func(ReloadableConfig) error {
			answer := make(chan error)
			r.checks <- answer
			return <-answer
		}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	r.Start(l, func(laid ReloadableConfig) error { r.taken <- laid; return nil })
	go func() {
		defer close(r.running)
		l.Run(func() {
			select {
			case f := <-r.todo:
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

func (r *looped) do(f func()) {
	done := make(chan bool)
	r.todo <- func() { f(); close(done) }
	r.loop.WakeUp()
	<-done
}

// An update that is being checked or saved when another process takes this one's place is not taken over; it counts once that
// process is lost.
func TestNothingNewerIsTakenOverWhilePaused(t *testing.T) {
	r := newLooped(t, t.TempDir())
	first := revision.Update{Revision: 1, Checksum: sum(t, `{"settings":{"a":1}}`), Scopes: []revision.Change{
		{Scope: revision.FleetScope, Number: 1, Document: revision.Document(`{"settings":{"a":1}}`)}}}
	r.do(r.Open)
	r.worker.put(task{kind: update, text: encoded(first)})
	check := <-r.checks
	if r.Idle() {
		t.Error("nothing waits, it says, with a check under way")
	}
	r.do(r.Pause)
	check <- nil
	r.do(func() {}) // and the turn in which it would be taken over
	for !r.Idle() {
		runtime.Gosched()
	}
	if len(r.taken) > 0 || r.public.Load().hello.Revision != 0 {
		t.Fatalf("taken over: %d, in force %+v", len(r.taken), r.public.Load().hello)
	}
	if saved, err := r.file().load(); err != nil || saved.Revision != 1 {
		t.Errorf("revision %d is saved, %v", saved.Revision, err)
	}
	r.do(r.Resume)
	check = <-r.checks
	check <- nil
	if laid := <-r.taken; !strings.Contains(string(laid.Settings), `"a":1`) {
		t.Errorf("%s", laid.Settings)
	}
}
