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
	firstReplicaMachine = 62_000 // its machine's number: no proxy has it
	replicaTimeout      = 20 * time.Second
)

// replica is a control replica, `sandpass control serve`.
type replica struct {
	name, region, address string
	configPath, logPath   string
	command               *exec.Cmd
	done                  chan struct{}
}

// door is the way from the proxies of a region to a replica.
type regionLink struct {
	region  string
	replica int
}

// cluster is the control replicas, with the ways among them and from the proxies.
type controlCluster struct {
	program              []string
	directory            string // of logs and configurations
	stateDirectory       string // folder of what proxies save
	regionLatencySeconds float64
	replicas             []*replica
	replicaLinks         map[[2]int]*faultnet.StreamForwarder
	regionLinks          map[regionLink]*faultnet.StreamForwarder
	proxyLinks           map[int][]*faultnet.StreamForwarder // of a proxy that is counted, a way to each replica
	client               *controlclient.Client
}

// startCluster starts so many replicas, spread over the fleet's regions.
func startCluster(plan Plan, programs Programs, a addresses, directory string) (*controlCluster, error) {
	c := &controlCluster{program: programs.Proxy, directory: directory, regionLatencySeconds: plan.Fleet.Sizes.LatencyMS / 1000,
		replicaLinks: map[[2]int]*faultnet.StreamForwarder{}, regionLinks: map[regionLink]*faultnet.StreamForwarder{}, proxyLinks: map[int][]*faultnet.StreamForwarder{}}
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

func (c *controlCluster) open(plan Plan) (err error) {
	// What proxies save lies in memory: on one machine's disk their syncs would wait for one another, which on machines of
	// their own they don't.
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

func regionNames(plan Plan) (regions []string) {
	for k := range plan.Fleet.Sizes.Regions {
		regions = append(regions, fmt.Sprintf("region-%d", k+1))
	}
	return regions
}

// way leads from a region to a replica, with the regions' latency.
func (c *controlCluster) newLink(region string, k int) (*faultnet.StreamForwarder, error) {
	stream, err := faultnet.NewStreamForwarder(c.replicas[k].address, uint64(k+1))
	if err == nil {
		c.configureLink(stream, region, k, false)
	}
	return stream, err
}

func (c *controlCluster) configureLink(stream *faultnet.StreamForwarder, region string, k int, cut bool) {
	w := faultnet.Conditions{Blocked: cut}
	if region != c.replicas[k].region {
		w.Delay = c.regionLatencySeconds
	}
	stream.SetConditions(w, w)
}

func (c *controlCluster) writeConfig(i int) error {
	r := c.replicas[i]
	text := fmt.Sprintf("fleet = %q\nname = %q\nfolder = %q\nlisten = %q\n", controlFleet, r.name,
		filepath.Join(c.directory, r.name), r.address)
	for j, other := range c.replicas {
		address := other.address
		if way := c.replicaLinks[[2]int{i, j}]; way != nil {
			address = way.Addr()
		}
		text += fmt.Sprintf("[[replica]]\nname = %q\naddress = %q\nregion = %q\n", other.name, address, other.region)
	}
	// The base is a proxy's own configuration, as each proxy has it.
	text = strings.Replace(text, "[[replica]]", "check_base = \"base.json\"\n[[replica]]", 1)
	return os.WriteFile(r.configPath, []byte(text), 0o600)
}

// start starts a replica's process.
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
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // how it ended stands in its log
		close(ended)
	}(r.command, r.done)
	return nil
}

// kill ends a replica at once and waits.
func (c *controlCluster) killReplica(k int) {
	r := c.replicas[k]
	if r.command == nil || r.done == nil {
		return
	}
	_ = r.command.Process.Kill() // it may have ended
	<-r.done
}

func (c *controlCluster) running(k int) bool {
	select {
	case <-c.replicas[k].done:
		return false
	default:
		return true
	}
}

// status is the fleet as the leader knows it.
func (c *controlCluster) status(number revision.Number) (controlapi.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
	defer cancel()
	return c.client.Status(ctx, number, false)
}

func (c *controlCluster) awaitLeader() error {
	deadline := time.Now().Add(replicaTimeout)
	for {
		status, err := c.status(0)
		if err == nil && status.Leader != "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no leader within %v: %w", replicaTimeout, errors.Join(err, c.lastLogLines()))
		}
		time.Sleep(pollInterval)
	}
}

func (c *controlCluster) lastLogLines() error {
	var all []error
	for _, r := range c.replicas {
		text, _ := os.ReadFile(r.logPath) // none says nothing
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		all = append(all, fmt.Errorf("%s: %s", r.name, lines[len(lines)-1]))
	}
	return errors.Join(all...)
}

// leader is the index of the replica that leads, -1 while none does.
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

// connected is how many proxies are connected to each replica.
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

// awaitConnected waits until so many proxies are connected, none of them to a replica that was lost.
func (c *controlCluster) awaitConnected(ctx context.Context, wanted int, lost ...int) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		counts, err := c.connectedProxies()
		sum := 0
		gone := 0 // proxies that are told as connected to what was lost
		for k, n := range counts {
			sum += n
			if slices.Contains(lost, k) {
				gone += n
			}
		}
		if err == nil && sum >= wanted && gone == 0 {
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

// apply makes a revision of a scope and gives its number.
func (c *controlCluster) apply(ctx context.Context, base revision.Number, document revision.Document,
	atOnce bool) (revision.Number, error) {
	response, err := c.client.Apply(ctx, controlapi.ApplyRequest{Scope: revision.FleetScope, Base: base, Document: document,
		Author: "sandlab", Reason: "scale run", AtOnce: atOnce})
	return response.Number, err
}

// operatorFile writes what the operators say to a proxy, and gives the file's path.
func (c *controlCluster) operatorFile(plan Plan, i int) (string, error) {
	p := plan.Fleet.Proxies[i]
	var near, far []string
	for k, r := range c.replicas {
		at := ""
		if ways := c.proxyLinks[i]; len(ways) > 0 {
			at = ways[k].Addr()
		} else {
			at = c.regionLinks[regionLink{p.Region, k}].Addr()
		}
		if r.region == p.Region {
			near = append(near, fmt.Sprintf("%q", at))
		} else {
			far = append(far, fmt.Sprintf("%q", at))
		}
	}
	if len(near) > 1 { // the proxies of a region share its replicas
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

// cutRegion cuts a region off from the others, replicas and proxies, or heals the cut.
func (c *controlCluster) setRegionCut(plan Plan, region string, on bool) {
	crosses := func(from string, k int) bool { return (from == region) != (c.replicas[k].region == region) }
	for ends, stream := range c.replicaLinks {
		if crosses(c.replicas[ends[0]].region, ends[1]) {
			c.configureLink(stream, c.replicas[ends[0]].region, ends[1], on)
		}
	}
	for at, stream := range c.regionLinks {
		if crosses(at.region, at.replica) {
			c.configureLink(stream, at.region, at.replica, on)
		}
	}
	for i, streams := range c.proxyLinks {
		for k, stream := range streams {
			if crosses(plan.Fleet.Proxies[i].Region, k) {
				c.configureLink(stream, plan.Fleet.Proxies[i].Region, k, on)
			}
		}
	}
}

func streamTraffic(s *faultnet.StreamForwarder) meter.Traffic {
	there, back := s.Delivered()
	return meter.Traffic{BytesOut: there.Bytes, MessagesOut: there.Messages, BytesIn: back.Bytes, MessagesIn: back.Messages}
}

// proxyTraffic is what each counted proxy has said to replicas and heard from them; messages are pieces as they were read.
func (c *controlCluster) proxyTraffic() []meter.Traffic {
	all := make([]meter.Traffic, len(c.proxyLinks))
	for i, streams := range c.proxyLinks {
		for _, s := range streams {
			all[i] = all[i].Plus(streamTraffic(s))
		}
	}
	return all
}

// replicaTraffic is what each replica has read and written, with proxies and with one another.
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

func closeStream(s *faultnet.StreamForwarder) {
	if s != nil {
		s.Close()
	}
}
