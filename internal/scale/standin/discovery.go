// Package standin has what stands in for other systems in a scale run: discovery's agents and the backends.
//
// All of it listens on loopback only. Traffic is counted at the stand-in's ends of the sockets.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sandpass/internal/scale/meter"
)

const heartbeat = 2 * time.Second // between empty lines of a watch that has nothing to say

// Endpoint is an entry as discovery words it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// message is what a watch carries.
type message struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// list is the history of one list.
type list struct {
	mu      sync.Mutex
	history []Endpoint
	latest  map[string]int // by name, the place of the newest entry
	changed chan struct{}  // closed at each change
}

func newList(endpoints []Endpoint) *list {
	l := &list{latest: map[string]int{}, changed: make(chan struct{})}
	l.add(endpoints)
	return l
}

func (l *list) add(endpoints []Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range endpoints {
		l.latest[e.Name] = len(l.history)
		l.history = append(l.history, e)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since gives what is new from an index on, or the whole list.
func (l *list) since(index int, whole bool) (message, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := message{Index: len(l.history), Snapshot: whole}
	if !whole {
		m.Endpoints = append(m.Endpoints, l.history[index:]...)
		return m, l.changed
	}
	for i, e := range l.history {
		if l.latest[e.Name] == i && e.Status != "gone" {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m, l.changed
}

// agent is discovery's on one machine.
type agent struct {
	counter  meter.Counter
	listener net.Listener
	list     *list
	mu       sync.Mutex
	open     map[net.Conn]bool
	speaking chan struct{} // closed while it speaks
	watching int           // answers that are open and have had the whole list
}

// Discovery has an agent for each machine.
type Discovery struct {
	server *http.Server
	lists  []*list
	agents []*agent
	mu     sync.Mutex
	done   sync.WaitGroup
}

type agentKey struct{}

// NewDiscovery makes the lists; agents are added by Listen.
func NewDiscovery(lists [][]Endpoint) *Discovery {
	d := &Discovery{}
	for _, endpoints := range lists {
		d.lists = append(d.lists, newList(endpoints))
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, agentKey{}, c.(*agentConn).agent)
		}}
	return d
}

// agentListener hands out counted connections that know their agent.
type agentListener struct {
	net.Listener
	agent *agent
}

type agentConn struct {
	meter.Conn
	agent *agent
}

func (l agentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &agentConn{meter.Conn{Conn: c, Counter: &l.agent.counter}, l.agent}
	l.agent.mu.Lock()
	l.agent.open[counted] = true
	l.agent.mu.Unlock()
	return counted, nil
}

// Close closes the connection.
func (c *agentConn) Close() error {
	c.agent.mu.Lock()
	delete(c.agent.open, c)
	c.agent.mu.Unlock()
	return c.Conn.Close()
}

// Listen starts an agent at an address that tells one of the lists.
func (d *Discovery) Listen(address string, list int) error {
	if list < 0 || list >= len(d.lists) {
		return fmt.Errorf("list %d is not one of %d", list, len(d.lists))
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	a := &agent{listener: l, list: d.lists[list], open: map[net.Conn]bool{}, speaking: make(chan struct{})}
	close(a.speaking)
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	d.done.Go(func() { _ = d.server.Serve(agentListener{l, a}) }) // ends with the server
	return nil
}

// Change adds entries to a list; each agent of it tells them.
func (d *Discovery) Update(list int, endpoints []Endpoint) error {
	if list < 0 || list >= len(d.lists) {
		return fmt.Errorf("list %d is not one of %d", list, len(d.lists))
	}
	d.lists[list].add(endpoints)
	return nil
}

// Silence has agents say nothing, heartbeats included, or speak again.
func (d *Discovery) SetSilent(agents []int, on bool) {
	for _, i := range agents {
		d.agents[i].silence(on)
	}
}

func (a *agent) silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.speaking:
		if on {
			a.speaking = make(chan struct{})
		}
	default:
		if !on {
			close(a.speaking)
		}
	}
}

// speaks is closed while the agent is not silent.
func (a *agent) speaks() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.speaking
}

// Break closes all connections of some agents, as an agent does that starts anew.
func (d *Discovery) CloseConnections(agents []int) {
	for _, i := range agents {
		a := d.agents[i]
		a.mu.Lock()
		var open []net.Conn
		for c := range a.open {
			open = append(open, c)
		}
		a.mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}
}

// Traffic is what each agent has read and written, and how many watches of each are open and up to date.
func (d *Discovery) Traffic() (traffic []meter.Traffic, watching []int) {
	d.mu.Lock()
	agents := d.agents
	d.mu.Unlock()
	for _, a := range agents {
		traffic = append(traffic, a.counter.Traffic())
		a.mu.Lock()
		watching = append(watching, a.watching)
		a.mu.Unlock()
	}
	return traffic, watching
}

// Close ends all agents.
func (d *Discovery) Close() {
	d.server.Close()
	d.done.Wait()
}

// ServeHTTP gives the whole list, and what is new from then on.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := r.Context().Value(agentKey{}).(*agent)
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	a.counter.AddRead(0, 1)
	watch := watch{discovery: d, agent: a, writer: w, flush: http.NewResponseController(w).Flush, done: r.Context().Done()}
	follow := r.URL.Query().Get("follow") == "1"
	index, whole := 0, true
	for {
		select {
		case <-a.speaks():
		case <-watch.done:
			return
		}
		news, changed := a.list.since(index, whole)
		if watch.tell(news) != nil || !follow {
			return
		}
		if whole {
			a.watch(1)
			defer a.watch(-1)
		}
		index, whole = news.Index, false
		select {
		case <-changed:
		case <-time.After(heartbeat):
		case <-watch.done:
			return
		}
	}
}

func (a *agent) watch(n int) {
	a.mu.Lock()
	a.watching += n
	a.mu.Unlock()
}

// watch is one open answer.
type watch struct {
	discovery *Discovery
	agent     *agent
	writer    http.ResponseWriter
	flush     func() error
	done      <-chan struct{}
}

// tell writes what is new, or a heartbeat where nothing is.
func (w watch) tell(m message) error {
	text := []byte("\n")
	if m.Snapshot || len(m.Endpoints) > 0 {
		var err error
		if text, err = json.Marshal(m); err != nil {
			return err
		}
		text = append(text, '\n')
	}
	if _, err := w.writer.Write(text); err != nil {
		return err
	}
	w.agent.counter.AddWritten(0, 1)
	return w.flush()
}
