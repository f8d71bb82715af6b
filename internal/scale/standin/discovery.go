// Package standin provides the stand-ins for other systems in a scale run: the discovery agents and the backends.
//
// Everything listens on loopback only. Traffic is counted at the stand-ins' ends of the sockets.
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

const heartbeatInterval = 2 * time.Second // between the empty lines of a watch without updates

// Endpoint is an entry of a backend list in the format of the discovery service.
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

// message is one update that a watch sends: the whole list or the entries added since the previous one.
type message struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// list is one backend list with all entries that were ever added.
type list struct {
	mu          sync.Mutex
	history     []Endpoint
	latestIndex map[string]int // index in history of the newest entry, by name
	changed     chan struct{}  // closed and replaced at each change
}

// newList returns a list with the given first entries.
func newList(endpoints []Endpoint) *list {
	l := &list{latestIndex: map[string]int{}, changed: make(chan struct{})}
	l.add(endpoints)
	return l
}

// add appends entries and wakes the open watches.
func (l *list) add(endpoints []Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range endpoints {
		l.latestIndex[e.Name] = len(l.history)
		l.history = append(l.history, e)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// updatesSince returns the entries added from an index on, or the current list if whole is set, and a channel that is closed
// at the next change.
func (l *list) updatesSince(index int, whole bool) (message, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := message{Index: len(l.history), Snapshot: whole}
	if !whole {
		m.Endpoints = append(m.Endpoints, l.history[index:]...)
		return m, l.changed
	}
	for i, e := range l.history {
		if l.latestIndex[e.Name] == i && e.Status != "gone" {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m, l.changed
}

// agent is the discovery agent of one machine.
type agent struct {
	counter     meter.Counter
	listener    net.Listener
	list        *list
	mu          sync.Mutex
	connections map[net.Conn]bool
	sending     chan struct{} // closed unless the agent is silent
	openWatches int           // open watches that have received the whole list
}

// Discovery is a stand-in for the discovery service, with an agent for each machine.
type Discovery struct {
	server *http.Server
	lists  []*list
	agents []*agent
	mu     sync.Mutex
	done   sync.WaitGroup
}

// agentContextKey is the context key of the agent that accepted a connection.
type agentContextKey struct{}

// NewDiscovery returns a discovery service with the given lists and without agents, which Listen adds.
func NewDiscovery(lists [][]Endpoint) *Discovery {
	d := &Discovery{}
	for _, endpoints := range lists {
		d.lists = append(d.lists, newList(endpoints))
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, agentContextKey{}, c.(*agentConn).agent)
		}}
	return d
}

// agentListener wraps each connection that it accepts in an agentConn.
type agentListener struct {
	net.Listener
	agent *agent
}

// agentConn counts the traffic of a connection for its agent.
type agentConn struct {
	meter.Conn
	agent *agent
}

// Accept waits for the next connection and registers it with the agent.
func (l agentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &agentConn{meter.Conn{Conn: c, Counter: &l.agent.counter}, l.agent}
	l.agent.mu.Lock()
	l.agent.connections[counted] = true
	l.agent.mu.Unlock()
	return counted, nil
}

// Close closes the connection and removes it from its agent.
func (c *agentConn) Close() error {
	c.agent.mu.Lock()
	delete(c.agent.connections, c)
	c.agent.mu.Unlock()
	return c.Conn.Close()
}

// Listen starts an agent that serves one of the lists on an address.
func (d *Discovery) Listen(address string, list int) error {
	if list < 0 || list >= len(d.lists) {
		return fmt.Errorf("list %d does not exist: there are %d lists", list, len(d.lists))
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	a := &agent{listener: l, list: d.lists[list], connections: map[net.Conn]bool{}, sending: make(chan struct{})}
	close(a.sending)
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	d.done.Go(func() { _ = d.server.Serve(agentListener{l, a}) }) // returns when the server is closed
	return nil
}

// Update adds entries to a list, which its agents send to their watches.
func (d *Discovery) Update(list int, endpoints []Endpoint) error {
	if list < 0 || list >= len(d.lists) {
		return fmt.Errorf("list %d does not exist: there are %d lists", list, len(d.lists))
	}
	d.lists[list].add(endpoints)
	return nil
}

// SetSilent makes agents stop sending, heartbeats included, or start again.
func (d *Discovery) SetSilent(agents []int, silent bool) {
	for _, i := range agents {
		d.agents[i].setSilent(silent)
	}
}

// setSilent makes the agent stop sending, or start again.
func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.sending:
		if silent {
			a.sending = make(chan struct{})
		}
	default:
		if !silent {
			close(a.sending)
		}
	}
}

// sendingGate returns a channel that is closed while the agent may send.
func (a *agent) sendingGate() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sending
}

// CloseConnections closes all connections of some agents, as the restart of an agent does.
func (d *Discovery) CloseConnections(agents []int) {
	for _, i := range agents {
		a := d.agents[i]
		a.mu.Lock()
		var open []net.Conn
		for c := range a.connections {
			open = append(open, c)
		}
		a.mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}
}

// Traffic returns, for each agent, the bytes and messages that it has read and written, and the number of open watches that
// have received the whole list.
func (d *Discovery) Traffic() (traffic []meter.Traffic, watching []int) {
	d.mu.Lock()
	agents := d.agents
	d.mu.Unlock()
	for _, a := range agents {
		traffic = append(traffic, a.counter.Traffic())
		a.mu.Lock()
		watching = append(watching, a.openWatches)
		a.mu.Unlock()
	}
	return traffic, watching
}

// Close stops all agents and waits for them.
func (d *Discovery) Close() {
	d.server.Close()
	d.done.Wait()
}

// ServeHTTP sends the whole list and, to a watch, all later updates.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := r.Context().Value(agentContextKey{}).(*agent)
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
		case <-a.sendingGate():
		case <-watch.done:
			return
		}
		update, changed := a.list.updatesSince(index, whole)
		if watch.write(update) != nil || !follow {
			return
		}
		if whole {
			a.addOpenWatches(1)
			defer a.addOpenWatches(-1)
		}
		index, whole = update.Index, false
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-watch.done:
			return
		}
	}
}

// addOpenWatches adds n to the number of open watches.
func (a *agent) addOpenWatches(n int) {
	a.mu.Lock()
	a.openWatches += n
	a.mu.Unlock()
}

// watch is one open response.
type watch struct {
	discovery *Discovery
	agent     *agent
	writer    http.ResponseWriter
	flush     func() error
	done      <-chan struct{}
}

// write sends an update, or a heartbeat if the update is empty.
func (w watch) write(m message) error {
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
