// This file manages the proxies under test: their processes, their configuration and the discovery agent of each. It signals
// only processes that it started.

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
	readyTimeout      = 10 * time.Second
	pollInterval      = 10 * time.Millisecond
	heartbeatInterval = 2 * time.Second
)

// process is one proxy process.
type process struct {
	harness                   *Harness
	serial, tier, index, zone int
	listen                    string
	weight                    float64
	cmd                       *exec.Cmd
	agent                     *discoveryAgent
	ended                     chan struct{}
	once                      sync.Once
	pool                      *connPool // connections of its clients
	restarted                 bool      // replaces a proxy that failed
	mu                        sync.Mutex
	stalls                    [][2]float64 // start and end of each stall, end -1 while stalled
	stopRequested             float64      // when it was asked to stop, 0 before
}

// freeAddress returns an address at which no one listens at the moment.
func freeAddress() (string, error) {
	l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// proxyConfig returns the configuration of a proxy.
func (h *Harness) proxyConfig(p *process, instances int) map[string]any {
	w := &h.world
	var verbs, realms []map[string]any
	for _, v := range w.Verbs {
		effect := map[string]string{"pure": "idempotent", "receipted": "deduplicated", "effectful": "at_most_once"}[v.Effect]
		scope := v.Scope
		if scope == "" {
			scope = "all"
		}
		verbs = append(verbs, map[string]any{"name": v.Name, "effect": effect, "key_scope": scope, "window_ms": 1000 * v.DedupWindow,
			"response_goal_ms": 1000 * v.Goal, "time_limit_ms": 1000 * v.Limit, "utility": v.Utility, "overdue_utility": v.LateShare,
			"stream": false})
	}
	if p.tier == 0 {
		for i, c := range w.Customers {
			realms = append(realms, map[string]any{"name": customerName(i), "allowance_per_s": c.Allowance * w.CommandRate()})
		}
	}
	zones := []string{}
	for z := range w.Zones {
		zones = append(zones, zoneName(z))
	}
	peers := []string{}
	if p.tier == 0 && h.peerAddrs != nil {
		peers = h.peerAddrs[p.index]
	}
	return map[string]any{
		"peers": peers,
		"name":  p.name(), "listen": p.listen, "discovery": p.agent.listener.Addr().String(),
		"seed":   fmt.Sprintf("%016x", h.seed+uint64(p.serial)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": cmp.Or(h.Stress.DescriptorLimit, 4096)},
		"settings": map[string]any{
			"me": p.index, "siblings": instances, "tier": p.tier, "zone": p.zone, "discovery": "pushed", "azs": zones,
			"tick_ms": 1000 * w.Tick,
			"limits": map[string]any{"max_relays": w.Rules.MaxRelays, "max_open": 5000, "peers": len(peers) > 0,
				"second_copies": w.Rules.Hedges, "cancel": w.Rules.CancelRelays,
				"retry_after": w.Rules.MaxRetryAfter > 0, "max_retry_after_ms": 1000 * w.Rules.MaxRetryAfter,
				"connect_timeout_ms": 1000 * w.Rules.ConnectTimeout,
				"conn_idle_ms":       1000 * w.Tiers[p.tier].IdleTimeout},
			"load_info": map[string]any{"fields": []string{}, "how": "none"}, "overage_utility": w.Clients.OverageUtility,
			"safety": map[string]any{"cold_share": w.Rules.ColdShare, "cold_ms": 1000 * w.Rules.WarmUp,
				"fall_multiple": w.Rules.ColdMultiple},
			"realms": realms, "verbs": verbs,
		},
	}
}

// name returns the proxy's name. It depends on the index only, so that a replacement has the same name.
func (p *process) name() string { return fmt.Sprintf("p-%d-%d", p.tier, p.index) }

// writeOperatorFile writes the operator file if proxies store snapshots. It is written only once, since a proxy that reads the
// file while it is rewritten would find it empty.
func (h *Harness) writeOperatorFile() error {
	if h.SnapshotState == "" {
		return nil
	}
	folder := filepath.Join(h.dir, "state")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	h.operatorFile = filepath.Join(h.dir, "operator.toml")
	return os.WriteFile(h.operatorFile, fmt.Appendf(nil, "[state]\nfolder = %q\nfleet = \"rig\"\nevery = 0.25\n", folder), 0o600)
}

// customerName returns the name of a customer.
func customerName(i int) string { return fmt.Sprintf("c%d", i) }

// zoneName returns the name of a zone.
func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// addressInUse is part of the proxy's error if its listen address is taken.
const addressInUse = "address already in use"

// startProcess starts a proxy and waits until it is ready. A free address may be taken by the time the proxy listens; then
// another address is tried.
func (h *Harness) startProcess(tier, index, zone, instances int, listen string) (p *process, err error) {
	for range 5 {
		if p, err = h.startOnce(tier, index, zone, instances, listen); err == nil || listen != "" ||
			!strings.Contains(err.Error(), addressInUse) {
			break
		}
	}
	return p, err
}

// startOnce makes one attempt to start a proxy.
func (h *Harness) startOnce(tier, index, zone, instances int, listen string) (*process, error) {
	var err error
	p := &process{harness: h, tier: tier, index: index, zone: zone, listen: listen, weight: 1, ended: make(chan struct{})}
	if p.listen == "" {
		if p.listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.mu.Lock()
	h.processCount++
	p.serial = h.processCount
	h.mu.Unlock()
	if p.agent, err = h.startAgent(p); err != nil {
		return nil, err
	}
	text, err := json.Marshal(h.proxyConfig(p, instances))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(h.dir, fmt.Sprintf("p-%d.json", p.serial))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	args, env := h.program[1:], append(h.env[:len(h.env):len(h.env)], "NODE_CONFIG="+path, "TMPDIR="+h.dir)
	if tier == 0 {
		env = append(env, h.Stress.environment()...)
	}
	if h.operatorFile != "" && tier == 0 {
		env = append(env, operatorEnv+"="+h.operatorFile)
		if len(args) > 0 { // a sandpass program, which takes flags
			args = append(args[:len(args):len(args)], "--operator", h.operatorFile)
		}
	}
	p.cmd = exec.Command(h.program[0], args...)
	p.cmd.Env = append(os.Environ(), env...)
	out, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("p-%d.log", p.serial)))
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
	p.pool = newConnPool(p.listen)
	for deadline := time.Now().Add(readyTimeout); ; {
		if isReady(p.listen) {
			return p, nil
		}
		select {
		case <-p.ended:
			p.agent.close()
			return nil, fmt.Errorf("proxy %d ended before it was ready: %s", p.serial, lastLine(out.Name()))
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			p.kill()
			return nil, fmt.Errorf("proxy %d was not ready within %v: %s", p.serial, readyTimeout, lastLine(out.Name()))
		}
	}
}

// lastLine returns the last line of a file.
func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	end := len(text)
	for end > 0 && text[end-1] == '\n' {
		end--
	}
	start := end
	for start > 0 && text[start-1] != '\n' {
		start--
	}
	return string(text[start:end])
}

// isReady reports whether the proxy at an address answers its readiness check with status 200.
func isReady(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.once.Do(func() {
		p.cmd.Process.Kill()
		<-p.ended
		p.agent.close()
		if !p.harness.withoutChecker {
			p.harness.recorder.instanceKilled(p.serial)
		}
	})
}

// stop sends SIGTERM, and kills the process if it has not ended after the timeout.
func (p *process) stop(timeout time.Duration) {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(timeout):
	}
	p.kill()
}

// cpu returns the CPU seconds of a process that has ended.
func (p *process) cpu() float64 {
	s := p.cmd.ProcessState
	if s == nil {
		return 0
	}
	return (s.UserTime() + s.SystemTime()).Seconds()
}

// endpointEntry is an entry of the endpoint list in the format of discovery.
type endpointEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
	backend *backend
	started time.Time
}

// endpointHistory is the history of a tier's endpoint list.
type endpointHistory struct {
	mu       sync.Mutex
	entries  []endpointEntry
	changed  chan struct{} // closed at each change
	speaking chan struct{} // closed while discovery answers, open while it is silent
}

// newEndpointHistory returns an empty history whose discovery answers.
func newEndpointHistory() *endpointHistory {
	l := &endpointHistory{changed: make(chan struct{}), speaking: make(chan struct{})}
	close(l.speaking)
	return l
}

// add appends an entry for a backend and wakes the watches.
func (l *endpointHistory) add(b *backend, status string) {
	since := 0.0
	if !b.started.IsZero() {
		since = float64(b.started.UnixMilli())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, endpointEntry{Name: b.name, Address: b.address, Zone: zoneName(b.zone), Type: "m",
		Group: b.cell, Status: status,
		Weight: b.machine.cores, SinceMs: since, backend: b, started: b.started})
	close(l.changed)
	l.changed = make(chan struct{})
}

// setSilent makes discovery silent, or lets it answer again.
func (l *endpointHistory) setSilent(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.speaking = make(chan struct{})
	} else {
		close(l.speaking)
	}
}

// whenSpeaking returns a channel that is closed while discovery answers.
func (l *endpointHistory) whenSpeaking() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speaking
}

// discoveryAgent is the discovery server of one proxy.
type discoveryAgent struct {
	listener net.Listener
	server   *http.Server
	proxy    *process
	history  *endpointHistory
	lag      time.Duration
}

// startAgent starts the discovery server of a proxy. Its lag depends on the proxy's serial number.
func (h *Harness) startAgent(p *process) (*discoveryAgent, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	lag := h.world.Discovery.Lag
	a := &discoveryAgent{listener: l, proxy: p, history: h.lists[p.tier],
		lag: time.Duration((lag[0] + (lag[1]-lag[0])*float64(p.serial%7)/6) * float64(time.Second))}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return a, nil
}

// close stops the server.
func (a *discoveryAgent) close() { a.server.Close() }

// ServeHTTP sends the whole list and, if asked to follow, its changes from then on.
func (a *discoveryAgent) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/api/targets" {
		http.NotFound(w, request)
		return
	}
	flush := func() error { return http.NewResponseController(w).Flush() }
	sentCount := 0
	snapshot := true
	for {
		select {
		case <-a.history.whenSpeaking():
		case <-request.Context().Done():
			return
		}
		a.history.mu.Lock()
		history, changed := append([]endpointEntry(nil), a.history.entries...), a.history.changed
		a.history.mu.Unlock()
		var entries []endpointEntry
		if snapshot {
			latest := map[string]int{}
			for i, x := range history {
				latest[x.Name] = i
			}
			for i, x := range history {
				if latest[x.Name] == i && x.Status != "gone" {
					entries = append(entries, x)
				}
			}
		} else {
			entries = history[sentCount:]
		}
		for i, x := range entries {
			var err error
			if entries[i].Address, err = a.proxy.harness.backendAddr(a.proxy.zone, x.backend); err != nil {
				a.proxy.harness.fail(err)
				return
			}
		}
		if len(entries) > 0 || snapshot {
			for _, x := range entries {
				if a.proxy.harness.withoutChecker {
					break
				}
				a.proxy.harness.recorder.endpointListed(a.proxy.serial, x.backend, x.Status == "ready", x.started)
			}
			if json.NewEncoder(w).Encode(map[string]any{"index": len(history), "snapshot": snapshot, "endpoints": entries}) != nil ||
				flush() != nil {
				return
			}
			if request.URL.Query().Get("follow") != "1" {
				return
			}
		} else if _, err := w.Write([]byte("\n")); err != nil || flush() != nil {
			return
		}
		sentCount, snapshot = len(history), false
		select {
		case <-changed:
			select {
			case <-time.After(a.lag):
			case <-request.Context().Done():
				return
			}
		case <-time.After(heartbeatInterval):
		case <-request.Context().Done():
			return
		}
	}
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
