// Package configwatch keeps a proxy's configuration up to date from the control replicas.
//
// An update is checked, saved to the state folder and taken over, in this order; the replica is told what became of it.
// Follower decides, free of I/O. Client carries it out: the connection on the proxy's loop, checks and the disk on a
// goroutine of its own, so that no request waits for them. Without any replica the proxy goes on with what it holds.
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
	scopesMost  = 5                                            // kinds of scopes
	messageMost = scopesMost*revision.MaxDocumentBytes + 1<<16 // bytes of an update
	tasksMost   = 1024                                         // and how many of them
	waitingMost = 2 * messageMost                              // bytes of updates that wait to be looked at
	spread      = 0.5                                          // seconds over which the proxies of a lost replica come back
)

var (
	errTooMany = errors.New("more updates than can be taken")
	errPaused  = errors.New("another process has this proxy's place")
	errClosed  = errors.New("the proxy has ended")
)

// Config says whose configuration is watched and how.
type Config struct {
	Identity revision.Identity
	Replicas []netip.AddrPort // the preferred one first
	Folder   string           // where it is saved, empty: nowhere
	// Local is the proxy's own configuration, over which the held one is laid. Any goroutine calls it.
	Local func() ReloadableConfig
	// Check tells what is wrong with a configuration, if anything. It is never called on the loop.
	Check func(ReloadableConfig) error
}

// Client watches one proxy's configuration. A nil Client does nothing.
type Client struct {
	config   Config
	follower *StateMachine // belongs to the worker once it runs
	start    ReloadableConfig

	// On the loop.
	loop     *loop.Loop
	watch    *watch.Client
	takeOver func(ReloadableConfig) error
	paused   bool
	opened   bool
	received []byte  // the update decoded last
	since    float64 // when what is in force came into force, the start at first
	started  float64
	lost     string // why the last connection was lost

	worker worker
	public atomic.Pointer[published]
	calls  calls
}

// published is what others may read of the worker's state.
type published struct {
	hello   revision.Hello
	counts  Counts
	refused *revision.Report // the last one
}

// New reads what was saved. It is an error where the folder is another fleet's; whatever else is wrong is a line in the
// log, and the proxy's own file counts.
func New(config Config) (*Client, error) {
	c := &Client{config: config, follower: NewStateMachine(config.Identity, config.Folder != ""), start: config.Local()}
	c.worker.init()
	if config.Folder != "" {
		saved, err := c.file().load()
		var foreign *statefile.FleetMismatchError
		if errors.As(err, &foreign) {
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

func (c *Client) file() file { return file{c.config.Folder, c.config.Identity} }

// restore has the proxy start with what was saved.
func (c *Client) restore(saved Configuration) {
	if c.follower.Loaded(saved).Step != Check {
		return
	}
	laid, err := c.check(saved)
	if c.follower.Checked(err); err != nil {
		log.Printf("msg=config_not_taken revision=%d error=%q", saved.Revision, err)
		return
	}
	c.follower.Applied(nil)
	c.start = laid
	log.Printf("msg=config_restored revision=%d checksum=%.12s", saved.Revision, saved.Checksum)
}

// Start is the configuration with which the proxy starts.
func (c *Client) InitialConfig() ReloadableConfig { return c.start }

// check lays a configuration over the proxy's own and checks that.
func (c *Client) check(candidate Configuration) (ReloadableConfig, error) {
	laid, err := c.config.Local().Overlay(candidate.Effective)
	if err == nil {
		err = c.config.Check(laid)
	}
	return laid, err
}

// Run begins the work, on the loop's goroutine or before it runs. takeOver is called on the loop with a configuration that
// Check found good; Turn must be called in each turn from now on. The watch is opened by Open.
func (c *Client) Start(l *loop.Loop, takeOver func(ReloadableConfig) error) {
	if c == nil {
		return
	}
	c.loop, c.takeOver = l, takeOver
	c.started = l.Now()
	c.since = c.started
	jitter := c.jitter()
	c.watch = watch.New(l, owner{c}, watch.Config{Servers: spreadOut(c.config.Replicas, jitter), MaxObjectBytes: messageMost, StreamRequest: true,
		ReconnectSpread: spread, Random: jitter.Float64})
	c.worker.done.Go(c.work)
}

// jitter draws numbers that differ between the proxies of a fleet, whose configurations may name the same seed.
func (c *Client) jitter() *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(c.config.Identity.Fleet + "/" + c.config.Identity.Proxy))
	return rand.New(rand.NewPCG(h.Sum64(), math.Float64bits(c.started)))
}

// spreadOut draws the order of all but the preferred replica, so that the proxies of one that is lost don't all go to the same.
func spreadOut(replicas []netip.AddrPort, jitter *rand.Rand) []netip.AddrPort {
	order := slices.Clone(replicas)
	others := order[1:]
	jitter.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return order
}

// Open begins the watch, if it is not open.
func (c *Client) Open() {
	if c != nil && !c.opened {
		c.opened, c.paused = true, false
		c.watch.Open()
	}
}

// Pause ends the watch: another process takes this one's place. Nothing newer is taken over until Resume.
func (c *Client) Pause() {
	if c != nil && c.opened {
		c.opened, c.paused = false, true
		c.watch.Close()
	}
}

// Resume goes on after Pause, from what the other process has saved.
func (c *Client) Resume() {
	if c != nil && c.paused {
		c.ReloadSaved()
		c.Open()
	}
}

// Reread takes over what lies on the disk, where that is newer than what is in force.
func (c *Client) ReloadSaved() {
	if c != nil {
		c.worker.put(task{kind: reread})
	}
}

// Reload lays what is held over the proxy's own configuration again, which has changed. Any goroutine may call it.
func (c *Client) ReloadLocal() { c.worker.put(task{kind: localChanged}) }

// Settled tells that nothing waits to be looked at or taken over.
func (c *Client) Idle() bool { return c == nil || c.worker.idle() }

// Turn does on the loop what the worker has asked for.
func (c *Client) RunPending() {
	if c != nil {
		c.calls.run()
	}
}

// Sweep gives up a connection that is silent; it is called every 0.25 s at least.
func (c *Client) CheckLiveness(now float64) {
	if c != nil && c.opened {
		c.watch.CheckLiveness(now)
	}
}

// Close ends the work once what is being saved is on the disk, after the loop's run.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.Pause()
	c.worker.close()
}

// publish makes the worker's state known; refused is the last refusal, nil where there is no new one.
func (c *Client) publish(refused *revision.Report) {
	if last := c.public.Load(); last != nil && refused == nil {
		refused = last.refused
	}
	c.public.Store(&published{c.follower.Hello(), c.follower.Counts(), refused})
}

// owner is told what the watch brings.
type owner struct{ *Client }

// Request is the head of the watch's request.
func (o owner) RequestHead(to netip.AddrPort) []byte {
	return []byte("POST " + revision.WatchPath + " HTTP/1.1\r\nHost: " + to.String() +
		"\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// First says who the proxy is and what it holds.
func (o owner) FirstMessage() []byte { return encode(o.public.Load().hello) }

// Decode keeps a copy: what is in it is looked at by the worker.
func (o owner) Decode(object []byte) error {
	o.received = append([]byte(nil), object...)
	return nil
}

// Take hands an update to the worker.
func (o owner) Apply() error {
	text := o.received
	o.Client.received = nil
	if !o.worker.put(task{kind: update, text: text}) {
		return errTooMany
	}
	return nil
}

// Returned says that a replica answers again.
func (o owner) Reconnected() { log.Printf("msg=config_watch_back replica=%s", o.watch.Server()) }

// Lost says that no replica is connected.
func (o owner) Disconnected(err error, news bool) {
	o.Client.lost = err.Error()
	if news {
		log.Printf("msg=config_watch_lost replica=%s error=%q byte=%d", o.watch.Server(), err, o.watch.BodyBytesReceived())
	}
}

func encode(value any) []byte {
	text, _ := json.Marshal(value) // a message has no value that can't be encoded
	return text
}
