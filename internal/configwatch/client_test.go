package configwatch

import (
	"fmt"
	"net/netip"
	"testing"

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
