// This file owns the watch on discovery: its connection, its place in the list's history and the list's own words. It
// must never drop the last list it had, nor stop asking.
package proxy

import (
	"encoding/json"
	"errors"
	"log"
	"net/netip"
	"slices"
	"strconv"

	"sandpass/balance"
	"sandpass/internal/http1"
	"sandpass/internal/jsonstream"
	"sandpass/internal/liveness"
	"sandpass/internal/loop"
)

const lineMost = 8 << 20 // bytes of a message: tens of thousands of backends

// roster is a message of discovery's.
type roster struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

var states = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

type watch struct {
	at     netip.AddrPort
	conn   *loop.Conn
	msg    http1.Message
	chunks http1.Chunks
	index  int64
	has    bool // a list was had
	cutter jsonstream.Cutter
	had    int         // bytes of the answer's body
	again  *loop.Timer // opens it after a loss
	liveness.Watch
}

// connect opens the watch.
func (p *Proxy) connect() {
	w := &p.watch
	conn, err := p.loop.Dial(w.at, watcher{p}, lineMost)
	w.conn, w.cutter, w.chunks, w.had = conn, jsonstream.Cutter{Most: lineMost}, http1.Chunks{}, 0
	w.msg.Reset()
	w.Opened(p.loop.Now())
	if err != nil {
		w.conn = nil
		p.lostWatch(err)
	}
}

// turnTo leaves discovery where it was for another address. Indexes need not mean the same there, so the whole list is
// asked for; what was told so far holds until it comes.
func (p *Proxy) turnTo(at netip.AddrPort) {
	w := &p.watch
	if at == w.at {
		return
	}
	if w.conn != nil {
		w.conn.Close()
	}
	w.again.Stop()
	w.at, w.has = at, false
	w.Anew()
	p.connect()
}

// lostWatch opens it again after a while.
func (p *Proxy) lostWatch(err error) {
	w := &p.watch
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
	wait, news := w.Ended(p.loop.Now(), err.Error(), p.chance())
	if news {
		log.Printf("msg=watch_lost error=%q index=%d byte=%d", err, w.index, w.had)
	}
	w.again = p.loop.After(wait, p.connect)
	p.balancer.ListFailed(p.loop.Now())
}

// watcher hears the watch's connection.
type watcher struct{ p *Proxy }

func (h watcher) Up(c *loop.Conn) {
	query := "GET /api/targets?follow=1"
	if h.p.watch.has {
		query += "&since=" + strconv.FormatInt(h.p.watch.index, 10)
	}
	c.Write([]byte(query + " HTTP/1.1\r\nHost: " + h.p.watch.at.String() + "\r\n\r\n"))
}

func (h watcher) Flushed(*loop.Conn) {}

func (h watcher) Down(_ *loop.Conn, err error) { h.p.lostWatch(err) }

func (h watcher) Data(c *loop.Conn) {
	w := &h.p.watch
	if !w.msg.HeadWhole() {
		whole, err := w.msg.AnswerHead(c.In())
		if err == nil && whole && w.msg.Status != 200 {
			err = errors.New("status " + strconv.Itoa(w.msg.Status))
		}
		if err != nil {
			h.p.lostWatch(err)
			return
		}
		if !whole {
			return
		}
		c.Consume(w.msg.HeadSize())
		w.Head(h.p.loop.Now())
	}
	for len(c.In()) > 0 || w.msg.Length() == w.had {
		data, used, done, err := h.piece(c.In())
		if err == nil {
			err = h.lines(data)
		}
		if err == nil && done {
			err = errors.New("the answer ended")
		}
		if err != nil {
			h.p.lostWatch(err)
			return
		}
		if used == 0 {
			return
		}
		c.Consume(used)
	}
}

// piece is the next part of the answer's body, which may be as long as it likes where its length is not said.
func (h watcher) piece(in []byte) (data []byte, used int, done bool, err error) {
	w := &h.p.watch
	data, used = in, len(in)
	if w.msg.Chunked() {
		data, used, done, err = w.chunks.Next(in)
	} else if n := w.msg.Length(); n >= 0 {
		data = in[:min(len(in), n-w.had)]
		used, done = len(data), w.had+len(data) == n
	}
	w.had += len(data)
	return data, used, done, err
}

// lines takes each whole object in the data, however it is laid out; what is left is kept for the next. An empty line says
// that discovery lives.
func (h watcher) lines(data []byte) error {
	w := &h.p.watch
	for {
		object, rest, err := w.cutter.Next(data)
		if err != nil || object == nil {
			return err
		}
		data = rest
		var l roster
		if len(object) > 0 {
			if err := json.Unmarshal(object, &l); err != nil {
				return err
			}
		}
		if w.Line(h.p.loop.Now()) {
			log.Printf("msg=watch_back index=%d", w.index)
		}
		if len(object) > 0 {
			if h.p.take(&l); !w.has {
				return errors.New("changes before any list")
			}
		}
	}
}

// take brings the backends up to date and tells the Balancer. Changes where no list was had are true of those they name,
// drains above all, but never stand for the whole: that is still to be asked for.
func (p *Proxy) take(l *roster) {
	s := &p.backends
	if !l.Snapshot && p.watch.has && l.Index < p.watch.index {
		log.Printf("msg=old_news index=%d known=%d", l.Index, p.watch.index) // a later line may have said the contrary
		return
	}
	if l.Snapshot || p.watch.has {
		p.watch.index, p.watch.has = l.Index, true
	}
	var entries []balance.Entry
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		state, known := states[e.Status]
		at, err := netip.ParseAddrPort(e.Address)
		if !known || e.Name == "" || err != nil && state != balance.Gone {
			log.Printf("msg=list_entry_unknown name=%q status=%q address=%q", e.Name, e.Status, e.Address)
			continue
		}
		t := s.byName[e.Name]
		if t == nil {
			t = &target{name: e.Name, id: s.idOf(e.Name), state: balance.Gone}
			s.byName[e.Name], s.byID[t.id] = t, t
		}
		if t.at != at || t.since != e.SinceMs {
			t.dropIdle() // the process that they led to is no more, though its machine may not have said so
			t.since = e.SinceMs
		}
		if err == nil {
			t.at = at
		}
		named[e.Name] = true
		t.said = balance.Entry{ID: t.id, Zone: p.zone(e.Zone), Cell: e.Group, State: state, Size: e.Weight, Started: e.SinceMs / 1000}
		entries = append(entries, p.settle(t))
	}
	if l.Snapshot {
		for name, t := range s.byName {
			if !named[name] {
				t.said.State = balance.Gone
				p.settle(t)
			}
		}
		p.maintenance.forget(func(name string) bool { return named[name] })
	}
	p.balancer.Fleet(p.loop.Now(), l.Snapshot, entries)
}

// settle is where discovery's word and the operators' become the one that counts.
func (p *Proxy) settle(t *target) balance.Entry {
	e := p.maintenance.over(t.name, t.said)
	p.turn(t, e.State)
	return e
}

// knows tells whether a backend is listed or left out now; all other names are nobody's.
func (p *Proxy) knows(name string) bool {
	t := p.backends.byName[name]
	return t != nil && t.said.State != balance.Gone || p.maintenance.Out[name]
}

// leaveOut has nothing new go to a backend until it is called back.
func (p *Proxy) leaveOut(name string) {
	p.maintenance.leave(name)
	p.retell(name)
}

// callBack has a backend used again, as one that has just started.
func (p *Proxy) callBack(name string) {
	p.maintenance.call(name, p.loop.Now())
	p.retell(name)
}

// retell has what counts of a backend brought up to date.
func (p *Proxy) retell(name string) {
	if t := p.backends.byName[name]; t != nil && t.said.State != balance.Gone {
		p.balancer.Fleet(p.loop.Now(), false, []balance.Entry{p.settle(t)})
	}
}

// zone is the number of a zone; one that the settings don't name gets one of its own.
func (p *Proxy) zone(name string) int {
	n := slices.Index(p.names.Zones, name)
	if n < 0 {
		n = len(p.names.Zones)
		p.names.Zones = append(p.names.Zones, name)
	}
	return n
}

// sweepWatch opens the watch anew when it is silent past its heartbeats.
func (p *Proxy) sweepWatch(now float64) {
	if w := &p.watch; w.conn != nil && w.Dead(now) {
		p.lostWatch(errors.New("silent"))
	}
}

// turn notes a backend's state. Idle connections to one that wants nothing new are closed.
func (p *Proxy) turn(t *target, state balance.State) {
	if (t.state == balance.Ready) != (state == balance.Ready) {
		if state == balance.Ready {
			p.backends.usable++
		} else {
			p.backends.usable--
		}
	}
	t.state = state
	if state != balance.Ready {
		t.dropIdle()
	}
	p.backends.forget(t)
}
