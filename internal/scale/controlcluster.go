package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/faultnet"
	"sandpass/internal/revision"
	"sandpass/internal/scale/meter"
)

const (
	controlFleet        = "scale"
	controlPort         = 9100
	firstReplicaMachine = 62_000 // index of the machine of the first replica, above those of all proxies
	replicaTimeout      = 20 * time.Second
)

// replica is a control replica, a process that runs `sandpass control serve`.
type replica struct {
	name, region, address string
	configPath, logPath   string
	command               *exec.Cmd
	done                  chan struct{}
}

// regionLink identifies the link from the proxies of a region to a replica.
type regionLink struct {
	region  string
	replica int
}

// controlCluster is the control replicas and the links between them and from the proxies. The links forward connections: they
// count the traffic, add the latency between regions and can be cut.
type controlCluster struct {
	program              []string
	directory            string // for logs and configurations
	stateDirectory       string // where the proxies save their state
	regionLatencySeconds float64
	replicas             []*replica
	replicaLinks         map[[2]int]*faultnet.StreamForwarder
	regionLinks          map[regionLink]*faultnet.StreamForwarder
	proxyLinks           map[int][]*faultnet.StreamForwarder // of each counted proxy, a link to each replica
	client               *controlclient.Client
}

// startCluster starts the replicas of the plan, distributed over the regions of the fleet.
func startCluster(plan Plan, programs Programs, a addresses, directory string) (*controlCluster, error) {
	c := &controlCluster{program: programs.Proxy, directory: directory, regionLatencySeconds: plan.Fleet.Sizes.LatencyMS / 1000,
		replicaLinks: map[[2]int]*faultnet.StreamForwarder{}, regionLinks: map[regionLink]*faultnet.StreamForwarder{},
		proxyLinks: map[int][]*faultnet.StreamForwarder{}}
	for k := range plan.Replicas {
		name := fmt.Sprintf("control-%d", k+1)
		c.replicas = append(c.replicas, &replica{name: name, region: fmt.Sprintf("region-%d", k%plan.Fleet.Sizes.Regions+1),
			address: a.at(firstReplicaMachine+k, controlPort), configPath: filepath.Join(directory, name+".toml"),
			logPath: filepath.Join(directory, name+".log")})
	}
	if err := c.open(plan); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// open creates the links, starts the replicas and waits for a leader.
func (c *controlCluster) open(plan Plan) (err error) {
	// The proxies save their state to a file system in memory. On one shared disk their fsync calls would delay one another,
	// which they do not on separate machines.
	if c.stateDirectory, err = os.MkdirTemp("/dev/shm", "sandlab-scale-"); err != nil {
		return err
	}
	for i := range c.replicas {
		for j := range c.replicas {
			if i != j {
				if c.replicaLinks[[2]int{i, j}], err = c.newLink(c.replicas[i].region, j); err != nil {
					return err
				}
			}
		}
	}
	for _, region := range regionNames(plan) {
		for k := range c.replicas {
			if c.regionLinks[regionLink{region, k}], err = c.newLink(region, k); err != nil {
				return err
			}
		}
	}
	for i := range max(plan.RealProxies, plan.CountedProxies) {
		for k := range c.replicas {
			stream, err := c.newLink(plan.Fleet.Proxies[i].Region, k)
			if err != nil {
				return err
			}
			c.proxyLinks[i] = append(c.proxyLinks[i], stream)
		}
	}
	var direct []string
	for k, r := range c.replicas {
		if err := c.writeConfig(k); err != nil {
			return err
		}
		if err := c.startReplica(k); err != nil {
			return err
		}
		direct = append(direct, r.address)
	}
	if c.client, err = controlclient.New(direct); err != nil {
		return err
	}
	return c.awaitLeader()
}

// regionNames returns the names of the regions of the fleet.
func regionNames(plan Plan) (regions []string) {
	for k := range plan.Fleet.Sizes.Regions {
		regions = append(regions, fmt.Sprintf("region-%d", k+1))
	}
	return regions
}

// newLink creates a link from a region to a replica, with the latency between the regions.
func (c *controlCluster) newLink(region string, k int) (*faultnet.StreamForwarder, error) {
	stream, err := faultnet.NewStreamForwarder(c.replicas[k].address, uint64(k+1))
	if err == nil {
		c.configureLink(stream, region, k, false)
	}
	return stream, err
}

// configureLink sets the latency of a link from a region to a replica, and whether it is cut.
func (c *controlCluster) configureLink(stream *faultnet.StreamForwarder, region string, k int, cut bool) {
	w := faultnet.Conditions{Blocked: cut}
	if region != c.replicas[k].region {
		w.Delay = c.regionLatencySeconds
	}
	stream.SetConditions(w, w)
}

// writeConfig writes the configuration file of a replica.
func (c *controlCluster) writeConfig(i int) error {
	r := c.replicas[i]
	text := fmt.Sprintf("fleet = %q\nname = %q\nfolder = %q\nlisten = %q\n", controlFleet, r.name,
		filepath.Join(c.directory, r.name), r.address)
	for j, other := range c.replicas {
		address := other.address
		if link := c.replicaLinks[[2]int{i, j}]; link != nil {
			address = link.Addr()
		}
		text += fmt.Sprintf("[[replica]]\nname = %q\naddress = %q\nregion = %q\n", other.name, address, other.region)
	}
	// The base that changes are checked against is the configuration of a proxy.
	text = strings.Replace(text, "[[replica]]", "check_base = \"base.json\"\n[[replica]]", 1)
	return os.WriteFile(r.configPath, []byte(text), 0o600)
}

// startReplica starts the process of a replica.
func (c *controlCluster) startReplica(k int) error {
	r := c.replicas[k]
	out, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	r.command = exec.Command(c.program[0], "control", "serve", "--config", r.configPath)
	r.command.Stdout, r.command.Stderr = out, out
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait() // the log shows how it ended
		close(done)
	}(r.command, r.done)
	return nil
}

// killReplica kills a replica and waits until it has ended.
func (c *controlCluster) killReplica(k int) {
	r := c.replicas[k]
	if r.command == nil || r.done == nil {
		return
	}
	_ = r.command.Process.Kill() // an error means that it has already ended
	<-r.done
}

// running reports whether the process of a replica has not ended.
func (c *controlCluster) running(k int) bool {
	select {
	case <-c.replicas[k].done:
		return false
	default:
		return true
	}
}

// status returns the status of the fleet that the leader reports.
func (c *controlCluster) status(number revision.Number) (controlapi.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
	defer cancel()
	return c.client.Status(ctx, number, false)
}

// awaitLeader waits until the replicas have elected a leader.
func (c *controlCluster) awaitLeader() error {
	deadline := time.Now().Add(replicaTimeout)
	for {
		status, err := c.status(0)
		if err == nil && status.Leader != "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no control leader elected within %v: %w", replicaTimeout, errors.Join(err, c.lastLogLines()))
		}
		time.Sleep(pollInterval)
	}
}

// lastLogLines returns an error with the last log line of each replica.
func (c *controlCluster) lastLogLines() error {
	var all []error
	for _, r := range c.replicas {
		text, _ := os.ReadFile(r.logPath) // without a log the line is empty
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		all = append(all, fmt.Errorf("%s: %s", r.name, lines[len(lines)-1]))
	}
	return errors.Join(all...)
}

// leaderIndex returns the index of the leader, -1 if there is none.
func (c *controlCluster) leaderIndex() int {
	status, err := c.status(0)
	if err != nil {
		return -1
	}
	for k, r := range c.replicas {
		if r.name == status.Leader {
			return k
		}
	}
	return -1
}

// connectedProxies returns the number of proxies connected to each replica.
func (c *controlCluster) connectedProxies() ([]int, error) {
	status, err := c.status(0)
	if err != nil {
		return nil, err
	}
	counts := make([]int, len(c.replicas))
	for _, s := range status.Replicas {
		for k, r := range c.replicas {
			if r.name == s.Name {
				counts[k] = s.Proxies
			}
		}
	}
	return counts, nil
}

// awaitConnected waits until the wanted number of proxies is connected, none of them to a lost replica.
func (c *controlCluster) awaitConnected(ctx context.Context, wanted int, lost ...int) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		counts, err := c.connectedProxies()
		sum := 0
		stale := 0 // proxies reported as connected to a lost replica
		for k, n := range counts {
			sum += n
			if slices.Contains(lost, k) {
				stale += n
			}
		}
		if err == nil && sum >= wanted && stale == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d proxies are connected to control after %v: %v", sum, wanted, settleTimeout, err)
		}
		if err := sleep(ctx, 5*pollInterval); err != nil {
			return err
		}
	}
}

// apply creates a revision of the fleet scope and returns its number.
func (c *controlCluster) apply(ctx context.Context, base revision.Number, document revision.Document,
	atOnce bool) (revision.Number, error) {
	response, err := c.client.Apply(ctx, controlapi.ApplyRequest{Scope: revision.FleetScope, Base: base, Document: document,
		Author: "sandlab", Reason: "scale run", AtOnce: atOnce})
	return response.Number, err
}

// operatorFile writes the operator file of a proxy and returns its path. Replicas of its own region come first.
func (c *controlCluster) operatorFile(plan Plan, i int) (string, error) {
	p := plan.Fleet.Proxies[i]
	var near, far []string
	for k, r := range c.replicas {
		address := ""
		if links := c.proxyLinks[i]; len(links) > 0 {
			address = links[k].Addr()
		} else {
			address = c.regionLinks[regionLink{p.Region, k}].Addr()
		}
		if r.region == p.Region {
			near = append(near, fmt.Sprintf("%q", address))
		} else {
			far = append(far, fmt.Sprintf("%q", address))
		}
	}
	if len(near) > 1 { // spread the proxies of a region over its replicas
		k := (i / plan.Fleet.Sizes.Regions) % len(near)
		near[0], near[k] = near[k], near[0]
	}
	text := fmt.Sprintf("[state]\nfolder = %q\nfleet = %q\nevery = 3600.0\n\n"+
		"[control]\nreplicas = [%s]\nfleet = %q\nregion = %q\nzone = %q\nservice = %q\n",
		c.stateDirectory, controlFleet, strings.Join(append(near, far...), ", "),
		controlFleet, p.Region, plan.Fleet.Zones[p.Zone], plan.Fleet.Services[p.Service].Name)
	path := filepath.Join(c.directory, p.Name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// setRegionCut cuts all links between a region and the others, of replicas and proxies, or restores them.
func (c *controlCluster) setRegionCut(plan Plan, region string, cut bool) {
	crosses := func(from string, k int) bool { return (from == region) != (c.replicas[k].region == region) }
	for ends, stream := range c.replicaLinks {
		if crosses(c.replicas[ends[0]].region, ends[1]) {
			c.configureLink(stream, c.replicas[ends[0]].region, ends[1], cut)
		}
	}
	for at, stream := range c.regionLinks {
		if crosses(at.region, at.replica) {
			c.configureLink(stream, at.region, at.replica, cut)
		}
	}
	for i, streams := range c.proxyLinks {
		for k, stream := range streams {
			if crosses(plan.Fleet.Proxies[i].Region, k) {
				c.configureLink(stream, plan.Fleet.Proxies[i].Region, k, cut)
			}
		}
	}
}

// streamTraffic returns the traffic of a link as seen by the end that opens connections.
func streamTraffic(s *faultnet.StreamForwarder) meter.Traffic {
	sent, received := s.Delivered()
	return meter.Traffic{BytesOut: sent.Bytes, MessagesOut: sent.Messages, BytesIn: received.Bytes, MessagesIn: received.Messages}
}

// proxyTraffic returns the traffic of each counted proxy with the replicas. A message is what the link has read at once, which
// need not be one message of the protocol.
func (c *controlCluster) proxyTraffic() []meter.Traffic {
	all := make([]meter.Traffic, len(c.proxyLinks))
	for i, streams := range c.proxyLinks {
		for _, s := range streams {
			all[i] = all[i].Plus(streamTraffic(s))
		}
	}
	return all
}

// proxyHeartbeats returns the part of each counted proxy's traffic that is heartbeats of the watch.
func (c *controlCluster) proxyHeartbeats() []meter.Traffic {
	all := make([]meter.Traffic, len(c.proxyLinks))
	for i, streams := range c.proxyLinks {
		for _, s := range streams {
			sent, received := s.Delivered()
			all[i] = all[i].Plus(meter.Traffic{
				BytesOut: sent.EmptyLines * int64(len(faultnet.EmptyLine)), MessagesOut: sent.EmptyLines,
				BytesIn: received.EmptyLines * int64(len(faultnet.EmptyLine)), MessagesIn: received.EmptyLines})
		}
	}
	return all
}

// replicaTraffic returns the traffic of each replica with the proxies and the other replicas.
func (c *controlCluster) replicaTraffic() []meter.Traffic {
	all := make([]meter.Traffic, len(c.replicas))
	for at, s := range c.regionLinks {
		all[at.replica] = all[at.replica].Plus(streamTraffic(s).Reversed())
	}
	for _, streams := range c.proxyLinks {
		for k, s := range streams {
			all[k] = all[k].Plus(streamTraffic(s).Reversed())
		}
	}
	for ends, s := range c.replicaLinks {
		all[ends[0]] = all[ends[0]].Plus(streamTraffic(s))
		all[ends[1]] = all[ends[1]].Plus(streamTraffic(s).Reversed())
	}
	return all
}

// close kills the replicas, closes the links and removes the saved state.
func (c *controlCluster) close() {
	for k := range c.replicas {
		c.killReplica(k)
	}
	for _, s := range c.replicaLinks {
		closeStream(s)
	}
	for _, s := range c.regionLinks {
		closeStream(s)
	}
	for _, streams := range c.proxyLinks {
		for _, s := range streams {
			closeStream(s)
		}
	}
	if c.stateDirectory != "" {
		os.RemoveAll(c.stateDirectory)
	}
}

// closeStream closes a link unless it failed to be created.
func closeStream(s *faultnet.StreamForwarder) {
	if s != nil {
		s.Close()
	}
}
