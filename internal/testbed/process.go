// This file owns the proxies under test: their processes, their configuration and the agent of discovery that each has.
// It must never signal a process that it did not start.

package testbed

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyWithin = 10 * time.Second
	look        = 10 * time.Millisecond
	heartbeat   = 2 * time.Second
)

// process is one proxy.
type process struct {
	rig                    *Harness
	serial, tier, me, zone int
	listen                 string
	weight                 float64
	cmd                    *exec.Cmd
	agent                  *agent
	ended                  chan struct{}
	once                   sync.Once
	pool                   *pool // of the clients that come to it
	again                  bool  // takes the place of one that failed
	mu                     sync.Mutex
	still                  [][2]float64 // from when to when it stood still, -1 while it does
	asked                  float64      // when it was asked to end, 0 before
}

// free is an address that nobody listens at just now.
func free() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// config is what the proxy is told.
func (r *Harness) config(p *process, siblings int) map[string]any {
	w := &r.world
	var verbs, realms []map[string]any
	for _, v := range w.Verbs {
		effect := map[string]string{"pure": "idempotent", "receipted": "deduplicated", "effectful": "at_most_once"}[v.Effect]
		scope := v.Scope
		if scope == "" {
			scope = "all"
		}
		verbs = append(verbs, map[string]any{"name": v.Name, "effect": effect, "key_scope": scope, "window_ms": 1000 * v.DedupWindow,
			"response_goal_ms": 1000 * v.Goal, "time_limit_ms": 1000 * v.Limit, "utility": v.Utility, "overdue_utility": v.LateShare, "stream": false})
	}
	if p.tier == 0 {
		for i, c := range w.Customers {
			realms = append(realms, map[string]any{"name": customer(i), "allowance_per_s": c.Allowance * w.CommandRate()})
		}
	}
	zones := []string{}
	for z := range w.Zones {
		zones = append(zones, zone(z))
	}
	peers := []string{}
	if p.tier == 0 && r.peers != nil {
		peers = r.peers[p.me]
	}
	return map[string]any{
		"peers": peers,
		"name":  p.name(), "listen": p.listen, "discovery": p.agent.listener.Addr().String(),
		"seed":   fmt.Sprintf("%016x", r.seed+uint64(p.serial)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": cmp.Or(r.Stress.DescriptorLimit, 4096)},
		"settings": map[string]any{
			"me": p.me, "siblings": siblings, "tier": p.tier, "zone": p.zone, "discovery": "pushed", "azs": zones, "tick_ms": 1000 * w.Tick,
			"limits": map[string]any{"max_relays": w.Rules.MaxRelays, "max_open": 5000, "peers": len(peers) > 0, "second_copies": w.Rules.SecondCopies, "cancel": w.Rules.CancelRelays,
				"retry_after": w.Rules.MaxRetryAfter > 0, "max_retry_after_ms": 1000 * w.Rules.MaxRetryAfter, "connect_timeout_ms": 1000 * w.Rules.ConnectTimeout,
				"conn_idle_ms": 1000 * w.Tiers[p.tier].IdleTimeout},
			"load_info": map[string]any{"fields": []string{}, "how": "none"}, "overage_utility": w.Clients.OverageUtility,
			"safety": map[string]any{"cold_share": w.Rules.ColdShare, "cold_ms": 1000 * w.Rules.WarmUp, "fall_multiple": w.Rules.ColdMultiple},
			"realms": realms, "verbs": verbs,
		},
	}
}

// name is the proxy's: that of its place, so that one which comes after has it as well.
func (p *process) name() string { return fmt.Sprintf("p-%d-%d", p.tier, p.me) }

// operator writes the operators' file of the day where proxies keep what they know: once, since a proxy that reads it while
// it is written anew would find it empty.
func (r *Harness) operator() error {
	if r.SnapshotState == "" {
		return nil
	}
	folder := filepath.Join(r.dir, "state")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	r.words = filepath.Join(r.dir, "operator.toml")
	return os.WriteFile(r.words, fmt.Appendf(nil, "[state]\nfolder = %q\nfleet = \"rig\"\nevery = 0.25\n", folder), 0o600)
}

func customer(i int) string { return fmt.Sprintf("c%d", i) }
func zone(z int) string     { return fmt.Sprintf("z%d", z) }

const taken = "address already in use"

// startProcess starts a proxy and waits until it is ready. An address that was free may be another's by the time that
// the proxy listens; then it is another one's turn.
func (r *Harness) startProcess(tier, me, zone, siblings int, listen string) (p *process, err error) {
	for range 5 {
		if p, err = r.startOnce(tier, me, zone, siblings, listen); err == nil || listen != "" || !strings.Contains(err.Error(), taken) {
			break
		}
	}
	return p, err
}

func (r *Harness) startOnce(tier, me, zone, siblings int, listen string) (*process, error) {
	var err error
	p := &process{rig: r, tier: tier, me: me, zone: zone, listen: listen, weight: 1, ended: make(chan struct{})}
	if p.listen == "" {
		if p.listen, err = free(); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	r.processes++
	p.serial = r.processes
	r.mu.Unlock()
	if p.agent, err = r.startAgent(p); err != nil {
		return nil, err
	}
	text, err := json.Marshal(r.config(p, siblings))
	if err != nil {
		return nil, err
	}
	place := filepath.Join(r.dir, fmt.Sprintf("p-%d.json", p.serial))
	if err := os.WriteFile(place, text, 0o600); err != nil {
		return nil, err
	}
	args, env := r.program[1:], append(r.env[:len(r.env):len(r.env)], "NODE_CONFIG="+place, "TMPDIR="+r.dir)
	if tier == 0 {
		env = append(env, r.Stress.environment()...)
	}
	if r.words != "" && tier == 0 {
		env = append(env, operatorEnv+"="+r.words)
		if len(args) > 0 { // not a child of ours
			args = append(args[:len(args):len(args)], "--operator", r.words)
		}
	}
	p.cmd = exec.Command(r.program[0], args...)
	p.cmd.Env = append(os.Environ(), env...)
	out, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("p-%d.log", p.serial)))
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	err = p.cmd.Start()
	out.Close()
	if err != nil {
		p.agent.close()
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	p.pool = newPool(p.listen)
	for until := time.Now().Add(readyWithin); ; {
		if ready(p.listen) {
			return p, nil
		}
		select {
		case <-p.ended:
			p.agent.close()
			return nil, fmt.Errorf("proxy %d ended before it was ready: %s", p.serial, lastLine(filepath.Join(r.dir, fmt.Sprintf("p-%d.log", p.serial))))
		case <-time.After(look):
		}
		if time.Now().After(until) {
			p.kill()
			return nil, fmt.Errorf("proxy %d was not ready within %v", p.serial, readyWithin)
		}
	}
}

func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	end := len(text)
	for end > 0 && text[end-1] == '\n' {
		end--
	}
	at := end
	for at > 0 && text[at-1] != '\n' {
		at--
	}
	return string(text[at:end])
}

func ready(at string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := c.Get("http://" + at + "/-/ready")
	if err != nil {
		return false
	}
	q.Body.Close()
	return q.StatusCode == 200
}

// kill ends it at once, and waits.
func (p *process) kill() {
	p.once.Do(func() {
		p.cmd.Process.Kill()
		<-p.ended
		p.agent.close()
		if !p.rig.quiet {
			p.rig.books.killed(p.serial)
		}
	})
}

// stop asks it to end as planned, and kills it where it does not.
func (p *process) stop(within time.Duration) {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(within):
	}
	p.kill()
}

// cpu is the processor time in seconds that it used, once it has ended.
func (p *process) cpu() float64 {
	s := p.cmd.ProcessState
	if s == nil {
		return 0
	}
	return (s.UserTime() + s.SystemTime()).Seconds()
}

// ---- Discovery

// line is an entry as discovery words it.
type line struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
	b       *backend
	started time.Time
}

// tierList is a tier's history and who waits for more of it.
type tierList struct {
	mu     sync.Mutex
	all    []line
	more   chan struct{} // closed at each change
	silent chan struct{} // closed while discovery speaks, open while it is silent
}

func newTierList() *tierList {
	l := &tierList{more: make(chan struct{}), silent: make(chan struct{})}
	close(l.silent)
	return l
}

func (l *tierList) add(b *backend, status string) {
	since := 0.0
	if !b.started.IsZero() {
		since = float64(b.started.UnixMilli())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, line{Name: b.name, Address: b.address, Zone: zone(b.zone), Type: "m", Group: b.cell, Status: status,
		Weight: b.machine.cores, SinceMs: since, b: b, started: b.started})
	close(l.more)
	l.more = make(chan struct{})
}

// hush makes discovery silent, or has it speak again.
func (l *tierList) hush(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.silent = make(chan struct{})
	} else {
		close(l.silent)
	}
}

func (l *tierList) speaks() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// agent is what one proxy hears of discovery.
type agent struct {
	listener net.Listener
	server   *http.Server
	p        *process
	list     *tierList
	lag      time.Duration
}

func (r *Harness) startAgent(p *process) (*agent, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	lag := r.world.Discovery.Lag
	a := &agent{listener: l, p: p, list: r.lists[p.tier],
		lag: time.Duration((lag[0] + (lag[1]-lag[0])*float64(p.serial%7)/6) * float64(time.Second))}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return a, nil
}

func (a *agent) close() { a.server.Close() }

// ServeHTTP gives the whole list, or a watch from then on.
func (a *agent) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/api/targets" {
		http.NotFound(w, q)
		return
	}
	flush := func() error { return http.NewResponseController(w).Flush() }
	at := 0
	whole := true
	for {
		select {
		case <-a.list.speaks():
		case <-q.Context().Done():
			return
		}
		a.list.mu.Lock()
		now, more := append([]line(nil), a.list.all...), a.list.more
		a.list.mu.Unlock()
		var say []line
		if whole {
			latest := map[string]int{}
			for i, x := range now {
				latest[x.Name] = i
			}
			for i, x := range now {
				if latest[x.Name] == i && x.Status != "gone" {
					say = append(say, x)
				}
			}
		} else {
			say = now[at:]
		}
		for i, x := range say {
			var err error
			if say[i].Address, err = a.p.rig.through(a.p.zone, x.b); err != nil {
				a.p.rig.fail(err)
				return
			}
		}
		if len(say) > 0 || whole {
			for _, x := range say {
				if a.p.rig.quiet {
					break
				}
				a.p.rig.books.listed(a.p.serial, x.b, x.Status == "ready", x.started)
			}
			if json.NewEncoder(w).Encode(map[string]any{"index": len(now), "snapshot": whole, "endpoints": say}) != nil || flush() != nil {
				return
			}
			if q.URL.Query().Get("follow") != "1" {
				return
			}
		} else if _, err := w.Write([]byte("\n")); err != nil || flush() != nil {
			return
		}
		at, whole = len(now), false
		select {
		case <-more:
			select {
			case <-time.After(a.lag):
			case <-q.Context().Done():
				return
			}
		case <-time.After(heartbeat):
		case <-q.Context().Done():
			return
		}
	}
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
