// Package configwatch keeps a proxy's configuration up to date from the control replicas.
//
// An update is checked, saved to the state folder and applied, in this order, and the outcome is reported to the replica.
// StateMachine makes the decisions, without I/O. Client executes them: the connection runs on the proxy's loop, checks and disk
// writes on a goroutine of its own, so that no request waits for them. While no replica is reachable the proxy keeps its current
// configuration.
package configwatch

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"log"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"

	"sandpass/internal/loop"
	"sandpass/internal/revision"
	"sandpass/internal/statefile"
	"sandpass/internal/watch"
)

const (
	maxScopes        = 5                                           // number of scope kinds
	maxUpdateBytes   = maxScopes*revision.MaxDocumentBytes + 1<<16 // bytes of one update
	maxQueuedUpdates = 1024                                        // updates in the worker's queue
	maxQueuedBytes   = 2 * maxUpdateBytes                          // bytes of updates in the worker's queue
	reconnectSpread  = 0.5                                         // seconds over which the proxies of a lost replica reconnect
)

var (
	errQueueFull = errors.New("the update queue is full")
	errPaused    = errors.New("another process is replacing this one")
	errClosed    = errors.New("the proxy is shutting down")
)

// Config holds the identity, the replicas and the callbacks of a Client.
type Config struct {
	Identity revision.Identity
	Replicas []netip.AddrPort // the preferred one first
	Folder   string           // for the saved configuration; empty: it is not saved
	// Local returns the proxy's own configuration, onto which the received one is overlaid. It is called on any goroutine.
	Local func() ReloadableConfig
	// Check returns an error for an invalid configuration. It is never called on the loop.
	Check func(ReloadableConfig) error
}

// Client watches one proxy's configuration. A nil Client does nothing.
type Client struct {
	config  Config
	machine *StateMachine // owned by the worker once it runs
	initial ReloadableConfig

	// Used on the loop only.
	loop      *loop.Loop
	watch     *watch.Client
	apply     func(ReloadableConfig) error
	paused    bool
	opened    bool
	received  []byte  // the update decoded last
	appliedAt float64 // when the configuration in force was applied, at first the start
	startedAt float64
	lastError string // why the last connection was lost

	worker worker
	shared atomic.Pointer[sharedState]
	calls  callQueue
}

// sharedState is the part of the worker's state that other goroutines may read.
type sharedState struct {
	hello       revision.Hello
	counts      Counts
	lastRefused *revision.Report // the last update that was not applied
}

// New loads the saved configuration. It fails only if the folder belongs to another fleet; any other problem with the saved file
// is logged, and the proxy starts with its own file.
func New(config Config) (*Client, error) {
	c := &Client{config: config, machine: NewStateMachine(config.Identity, config.Folder != ""), initial: config.Local()}
	c.worker.init()
	if config.Folder != "" {
		saved, err := c.file().load()
		var mismatch *statefile.FleetMismatchError
		if errors.As(err, &mismatch) {
			return nil, err
		}
		if err != nil {
			log.Printf("msg=config_not_read error=%q", err)
		}
		c.restore(saved)
	}
	c.publish(nil)
	return c, nil
}

// file locates the saved configuration.
func (c *Client) file() configFile { return configFile{c.config.Folder, c.config.Identity} }

// restore makes the saved configuration the initial one.
func (c *Client) restore(saved Configuration) {
	if c.machine.Loaded(saved).Step != Check {
		return
	}
	overlaid, err := c.check(saved)
	if c.machine.Checked(err); err != nil {
		log.Printf("msg=config_not_taken revision=%d error=%q", saved.Revision, err)
		return
	}
	c.machine.Applied(nil)
	c.initial = overlaid
	log.Printf("msg=config_restored revision=%d checksum=%.12s", saved.Revision, saved.Checksum)
}

// InitialConfig returns the configuration with which the proxy starts.
func (c *Client) InitialConfig() ReloadableConfig { return c.initial }

// check overlays a configuration onto the proxy's own and validates the result.
func (c *Client) check(candidate Configuration) (ReloadableConfig, error) {
	overlaid, err := c.config.Local().Overlay(candidate.Effective)
	if err == nil {
		err = c.config.Check(overlaid)
	}
	return overlaid, err
}

// Start starts the worker. It is called on the loop's goroutine or before the loop runs. apply is called on the loop with a
// configuration that passed Check. RunPending must be called in each iteration from now on. Open connects to a replica.
func (c *Client) Start(l *loop.Loop, apply func(ReloadableConfig) error) {
	if c == nil {
		return
	}
	c.loop, c.apply = l, apply
	c.startedAt = l.Now()
	c.appliedAt = c.startedAt
	random := c.newRandom()
	c.watch = watch.New(l, watchHandler{c}, watch.Config{Servers: shuffleFallbacks(c.config.Replicas, random),
		MaxObjectBytes: maxUpdateBytes, StreamRequest: true, ReconnectSpread: reconnectSpread, Random: random.Float64})
	c.worker.done.Go(c.runWorker)
}

// newRandom returns a generator seeded by the proxy's name and start time: the configurations of a fleet may all name the same
// seed, but its proxies must draw different numbers.
func (c *Client) newRandom() *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(c.config.Identity.Fleet + "/" + c.config.Identity.Proxy))
	return rand.New(rand.NewPCG(h.Sum64(), math.Float64bits(c.startedAt)))
}

// shuffleFallbacks returns the replicas with all but the preferred one in random order, so that the proxies of a lost replica do
// not all move to the same one.
func shuffleFallbacks(replicas []netip.AddrPort, random *rand.Rand) []netip.AddrPort {
	order := slices.Clone(replicas)
	others := order[1:]
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return order
}

// Open connects to a replica, if the watch is not open.
func (c *Client) Open() {
	if c != nil && !c.opened {
		c.opened, c.paused = true, false
		c.watch.Open()
	}
}

// Pause closes the watch while another process replaces this one. No newer configuration is applied until Resume.
func (c *Client) Pause() {
	if c != nil && c.opened {
		c.opened, c.paused = false, true
		c.watch.Close()
	}
}

// Resume continues after Pause, with the configuration that the other process saved.
func (c *Client) Resume() {
	if c != nil && c.paused {
		c.ReloadSaved()
		c.Open()
	}
}

// ReloadSaved applies the saved configuration if it is newer than the one in force.
func (c *Client) ReloadSaved() {
	if c != nil {
		c.worker.enqueue(task{kind: reloadSavedTask})
	}
}

// ReloadLocal overlays the received configuration onto the proxy's own again, after that has changed. It is safe on any
// goroutine.
func (c *Client) ReloadLocal() { c.worker.enqueue(task{kind: localChangedTask}) }

// Idle reports whether no update is waiting or being processed.
func (c *Client) Idle() bool { return c == nil || c.worker.idle() }

// RunPending runs the calls that the worker queued for the loop.
func (c *Client) RunPending() {
	if c != nil {
		c.calls.run()
	}
}

// CheckLiveness closes a connection that has gone silent; it must be called at least every 0.25 s.
func (c *Client) CheckLiveness(now float64) {
	if c != nil && c.opened {
		c.watch.CheckLiveness(now)
	}
}

// Close stops the worker after a save in progress; call it after the loop's Run has returned.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.Pause()
	c.worker.close()
}

// publish updates the shared state; refused is the latest refusal, nil if there is no new one.
func (c *Client) publish(refused *revision.Report) {
	if last := c.shared.Load(); last != nil && refused == nil {
		refused = last.lastRefused
	}
	c.shared.Store(&sharedState{c.machine.Hello(), c.machine.Counts(), refused})
}

// watchHandler receives the events of the watch.
type watchHandler struct{ *Client }

// RequestHead returns the head of the watch's request.
func (h watchHandler) RequestHead(to netip.AddrPort) []byte {
	return []byte("POST " + revision.WatchPath + " HTTP/1.1\r\nHost: " + to.String() +
		"\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// FirstMessage returns the proxy's identity and the revisions that it holds.
func (h watchHandler) FirstMessage() []byte { return encode(h.shared.Load().hello) }

// Decode copies the object; the worker parses it.
func (h watchHandler) Decode(object []byte) error {
	h.received = append([]byte(nil), object...)
	return nil
}

// Apply queues an update for the worker.
func (h watchHandler) Apply() error {
	text := h.received
	h.Client.received = nil
	if !h.worker.enqueue(task{kind: updateTask, text: text}) {
		return errQueueFull
	}
	return nil
}

// Reconnected logs that a replica responds again.
func (h watchHandler) Reconnected() { log.Printf("msg=config_watch_back replica=%s", h.watch.Server()) }

// Disconnected logs that no replica is connected.
func (h watchHandler) Disconnected(err error, isNew bool) {
	h.Client.lastError = err.Error()
	if isNew {
		log.Printf("msg=config_watch_lost replica=%s error=%q byte=%d", h.watch.Server(), err, h.watch.BodyBytesReceived())
	}
}

// encode encodes a message as JSON.
func encode(value any) []byte {
	text, _ := json.Marshal(value) // messages contain no value that JSON can't encode
	return text
}
