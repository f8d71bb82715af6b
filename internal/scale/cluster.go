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
	controlFleet   = "scale"
	controlPort    = 9100
	firstReplica   = 62_000 // its machine's number: no proxy has it
	replicaReadyIn = 20 * time.Second
)

// replica is a control replica, `sandpass control serve`.
type replica struct {
	name, region, address string
	config, log           string
	command               *exec.Cmd
	ended                 chan struct{}
}

// door is the way from the proxies of a region to a replica.
type door struct {
	region  string
	replica int
}

// cluster is the control replicas, with the ways among them and from the proxies.
type cluster struct {
	program   []string
	directory string // of logs and configurations
	state     string // folder of what proxies save
	latency   float64
	replicas  []*replica
	ways      map[[2]int]*faultnet.StreamForwarder
	doors     map[door]*faultnet.StreamForwarder
	counted   map[int][]*faultnet.StreamForwarder // of a proxy that is counted, a way to each replica
	client    *controlclient.Client
}

// startCluster starts so many replicas, spread over the fleet's regions.
func startCluster(plan Plan, programs Programs, a addresses, directory string) (*cluster, error) {
	c := &cluster{program: programs.Proxy, directory: directory, latency: plan.Fleet.Sizes.LatencyMS / 1000,
		ways: map[[2]int]*faultnet.StreamForwarder{}, doors: map[door]*faultnet.StreamForwarder{}, counted: map[int][]*faultnet.StreamForwarder{}}
	for k := range plan.Replicas {
		name := fmt.Sprintf("control-%d", k+1)
		c.replicas = append(c.replicas, &replica{name: name, region: fmt.Sprintf("region-%d", k%plan.Fleet.Sizes.Regions+1),
			address: a.at(firstReplica+k, controlPort), config: filepath.Join(directory, name+".toml"),
			log: filepath.Join(directory, name+".log")})
	}
	if err := c.open(plan); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) open(plan Plan) (err error) {
	// What proxies save lies in memory: on one machine's disk their syncs would wait for one another, which on machines of
	// their own they don't.
	if c.state, err = os.MkdirTemp("/dev/shm", "sandlab-scale-"); err != nil {
		return err
	}
	for i := range c.replicas {
		for j := range c.replicas {
			if i != j {
				if c.ways[[2]int{i, j}], err = c.way(c.replicas[i].region, j); err != nil {
					return err
				}
			}
		}
	}
	for _, region := range regionsOf(plan) {
		for k := range c.replicas {
			if c.doors[door{region, k}], err = c.way(region, k); err != nil {
				return err
			}
		}
	}
	for i := range max(plan.RealProxies, plan.CountedProxies) {
		for k := range c.replicas {
			stream, err := c.way(plan.Fleet.Proxies[i].Region, k)
			if err != nil {
				return err
			}
			c.counted[i] = append(c.counted[i], stream)
		}
	}
	var direct []string
	for k, r := range c.replicas {
		if err := c.writeConfig(k); err != nil {
			return err
		}
		if err := c.start(k); err != nil {
			return err
		}
		direct = append(direct, r.address)
	}
	if c.client, err = controlclient.New(direct); err != nil {
		return err
	}
	return c.awaitLeader()
}

func regionsOf(plan Plan) (regions []string) {
	for k := range plan.Fleet.Sizes.Regions {
		regions = append(regions, fmt.Sprintf("region-%d", k+1))
	}
	return regions
}

// way leads from a region to a replica, with the regions' latency.
func (c *cluster) way(region string, k int) (*faultnet.StreamForwarder, error) {
	stream, err := faultnet.NewStreamForwarder(c.replicas[k].address, uint64(k+1))
	if err == nil {
		c.weather(stream, region, k, false)
	}
	return stream, err
}

func (c *cluster) weather(stream *faultnet.StreamForwarder, region string, k int, cut bool) {
	w := faultnet.Conditions{Blocked: cut}
	if region != c.replicas[k].region {
		w.Delay = c.latency
	}
	stream.SetConditions(w, w)
}

func (c *cluster) writeConfig(i int) error {
	r := c.replicas[i]
	text := fmt.Sprintf("fleet = %q\nname = %q\nfolder = %q\nlisten = %q\n", controlFleet, r.name,
		filepath.Join(c.directory, r.name), r.address)
	for j, other := range c.replicas {
		address := other.address
		if way := c.ways[[2]int{i, j}]; way != nil {
			address = way.Addr()
		}
		text += fmt.Sprintf("[[replica]]\nname = %q\naddress = %q\nregion = %q\n", other.name, address, other.region)
	}
	// The base is a proxy's own configuration, as each proxy has it.
	text = strings.Replace(text, "[[replica]]", "check_base = \"base.json\"\n[[replica]]", 1)
	return os.WriteFile(r.config, []byte(text), 0o600)
}

// start starts a replica's process.
func (c *cluster) start(k int) error {
	r := c.replicas[k]
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	r.command = exec.Command(c.program[0], "control", "serve", "--config", r.config)
	r.command.Stdout, r.command.Stderr = out, out
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // how it ended stands in its log
		close(ended)
	}(r.command, r.ended)
	return nil
}

// kill ends a replica at once and waits.
func (c *cluster) kill(k int) {
	r := c.replicas[k]
	if r.command == nil || r.ended == nil {
		return
	}
	_ = r.command.Process.Kill() // it may have ended
	<-r.ended
}

func (c *cluster) running(k int) bool {
	select {
	case <-c.replicas[k].ended:
		return false
	default:
		return true
	}
}

// status is the fleet as the leader knows it.
func (c *cluster) status(number revision.Number) (controlapi.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), replicaReadyIn)
	defer cancel()
	return c.client.Status(ctx, number, false)
}

func (c *cluster) awaitLeader() error {
	deadline := time.Now().Add(replicaReadyIn)
	for {
		status, err := c.status(0)
		if err == nil && status.Leader != "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no leader within %v: %w", replicaReadyIn, errors.Join(err, c.lastWords()))
		}
		time.Sleep(lookEvery)
	}
}

func (c *cluster) lastWords() error {
	var all []error
	for _, r := range c.replicas {
		text, _ := os.ReadFile(r.log) // none says nothing
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		all = append(all, fmt.Errorf("%s: %s", r.name, lines[len(lines)-1]))
	}
	return errors.Join(all...)
}

// leader is the index of the replica that leads, -1 while none does.
func (c *cluster) leader() int {
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
func (c *cluster) connected() ([]int, error) {
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
func (c *cluster) awaitConnected(ctx context.Context, wanted int, lost ...int) error {
	deadline := time.Now().Add(settledWithin)
	for {
		counts, err := c.connected()
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
			return fmt.Errorf("%d of %d proxies are connected to control after %v: %v", sum, wanted, settledWithin, err)
		}
		if err := pause(ctx, 5*lookEvery); err != nil {
			return err
		}
	}
}

// apply makes a revision of a scope and gives its number.
func (c *cluster) apply(ctx context.Context, base revision.Number, document revision.Document,
	atOnce bool) (revision.Number, error) {
	response, err := c.client.Apply(ctx, controlapi.ApplyRequest{Scope: revision.FleetScope, Base: base, Document: document,
		Author: "sandlab", Reason: "scale run", AtOnce: atOnce})
	return response.Number, err
}

// operatorFile writes what the operators say to a proxy, and gives the file's path.
func (c *cluster) operatorFile(plan Plan, i int) (string, error) {
	p := plan.Fleet.Proxies[i]
	var near, far []string
	for k, r := range c.replicas {
		at := ""
		if ways := c.counted[i]; len(ways) > 0 {
			at = ways[k].Addr()
		} else {
			at = c.doors[door{p.Region, k}].Addr()
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
		c.state, controlFleet, strings.Join(append(near, far...), ", "),
		controlFleet, p.Region, plan.Fleet.Zones[p.Zone], plan.Fleet.Services[p.Service].Name)
	path := filepath.Join(c.directory, p.Name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// cutRegion cuts a region off from the others, replicas and proxies, or heals the cut.
func (c *cluster) cutRegion(plan Plan, region string, on bool) {
	crosses := func(from string, k int) bool { return (from == region) != (c.replicas[k].region == region) }
	for ends, stream := range c.ways {
		if crosses(c.replicas[ends[0]].region, ends[1]) {
			c.weather(stream, c.replicas[ends[0]].region, ends[1], on)
		}
	}
	for at, stream := range c.doors {
		if crosses(at.region, at.replica) {
			c.weather(stream, at.region, at.replica, on)
		}
	}
	for i, streams := range c.counted {
		for k, stream := range streams {
			if crosses(plan.Fleet.Proxies[i].Region, k) {
				c.weather(stream, plan.Fleet.Proxies[i].Region, k, on)
			}
		}
	}
}

func streamTraffic(s *faultnet.StreamForwarder) meter.Traffic {
	there, back := s.Delivered()
	return meter.Traffic{BytesOut: there.Bytes, MessagesOut: there.Messages, BytesIn: back.Bytes, MessagesIn: back.Messages}
}

// proxyTraffic is what each counted proxy has said to replicas and heard from them; messages are pieces as they were read.
func (c *cluster) proxyTraffic() []meter.Traffic {
	all := make([]meter.Traffic, len(c.counted))
	for i, streams := range c.counted {
		for _, s := range streams {
			all[i] = all[i].Plus(streamTraffic(s))
		}
	}
	return all
}

// replicaTraffic is what each replica has read and written, with proxies and with one another.
func (c *cluster) replicaTraffic() []meter.Traffic {
	all := make([]meter.Traffic, len(c.replicas))
	for at, s := range c.doors {
		all[at.replica] = all[at.replica].Plus(streamTraffic(s).Reversed())
	}
	for _, streams := range c.counted {
		for k, s := range streams {
			all[k] = all[k].Plus(streamTraffic(s).Reversed())
		}
	}
	for ends, s := range c.ways {
		all[ends[0]] = all[ends[0]].Plus(streamTraffic(s))
		all[ends[1]] = all[ends[1]].Plus(streamTraffic(s).Reversed())
	}
	return all
}

func (c *cluster) close() {
	for k := range c.replicas {
		c.kill(k)
	}
	for _, s := range c.ways {
		closeStream(s)
	}
	for _, s := range c.doors {
		closeStream(s)
	}
	for _, streams := range c.counted {
		for _, s := range streams {
			closeStream(s)
		}
	}
	if c.state != "" {
		os.RemoveAll(c.state)
	}
}

func closeStream(s *faultnet.StreamForwarder) {
	if s != nil {
		s.Close()
	}
}
