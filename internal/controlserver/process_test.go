package controlserver

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/control"
	"sandpass/internal/faultnet"
	"sandpass/internal/revision"
)

// The test binary runs a control replica instead of tests if configVariable is set.
const (
	configVariable   = "SANDPASS_TEST_CONTROL" // path of the replica's configuration file
	defectVariable   = "SANDPASS_TEST_DEFECT"  // seeded defect, one of the constants below
	diskFullFileName = "full"                  // file in the replica's folder; while it exists, saving fails as on a full disk
)

// Seeded defects. Tests check that they are detected.
const (
	ackBeforeSync = "ack_before_sync" // Save returns before anything is on disk
	noCheck       = "no_check"        // revisions are not checked
)

func TestMain(m *testing.M) {
	if path := os.Getenv(configVariable); path != "" {
		if err := runReplica(path, os.Getenv(defectVariable)); err != nil {
			fmt.Fprintln(os.Stderr, "sandpass:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runReplica does what `sandpass control serve` does, with a storage that can fail.
func runReplica(path, defect string) error {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	config, err := ReadConfig(path)
	if err != nil {
		return err
	}
	check, err := newChecker(config.CheckBase)
	if err != nil {
		return err
	}
	if defect == noCheck {
		check = func(revision.Document) error { return nil }
	}
	boltStorage, err := OpenStorage(config.Folder, config.Fleet, config.Name)
	if err != nil {
		return err
	}
	var storage Storage = &diskFullStorage{boltStorage, filepath.Join(config.Folder, diskFullFileName)}
	if defect == ackBeforeSync {
		storage = &delayedStorage{Storage: storage}
	}
	server, err := newServer(config, storage, check)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		server.Stop()
	}()
	return server.Run()
}

// diskFullStorage fails with ENOSPC, like a full disk, while fullFile exists.
type diskFullStorage struct {
	Storage
	fullFile string
}

func (f *diskFullStorage) Save(work control.Work) error {
	if _, err := os.Stat(f.fullFile); err == nil {
		return syscall.ENOSPC
	}
	return f.Storage.Save(work)
}

// delayedStorage is the defect ackBeforeSync: it saves records some time after Save has returned.
type delayedStorage struct {
	Storage
	mu      sync.Mutex
	pending []control.Work
}

func (l *delayedStorage) Save(work control.Work) error {
	const saveDelay = 5 * time.Second
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, work)
	time.AfterFunc(saveDelay, l.saveOldest)
	return nil
}

func (l *delayedStorage) saveOldest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Storage.Save(l.pending[0])
	l.pending = l.pending[1:]
}

// replicaProcess is a replica that runs in its own process.
type replicaProcess struct {
	name, region, address string
	config, folder        string
	defect                string
	command               *exec.Cmd
	output                lockedBuffer
	ended                 chan struct{} // closed once the process has ended
}

// lockedBuffer is a buffer for the output of a process, safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// cluster is five replicas in three regions. All connections between replicas, and from proxies to replicas, go through
// forwarders that can delay or block them.
type cluster struct {
	t            *testing.T
	replicas     []*replicaProcess
	replicaLinks map[[2]int]*faultnet.StreamForwarder   // from one replica to another, by their indexes
	proxyLinks   map[string][]*faultnet.StreamForwarder // from the proxies of a region to each replica
}

var replicaRegions = []string{"eu", "eu", "us", "us", "ap"}

// freeAddress returns an address on which nothing listens. Its port is below the system's ephemeral ports, so that it
// stays free while its replica is down.
func freeAddress(t *testing.T) string {
	t.Helper()
	const first, count, attempts = 12000, 18000, 100
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		if listener, err := net.Listen("tcp4", address); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port was found")
	return ""
}

// startCluster starts five replicas and kills them at the end of the test.
func startCluster(t *testing.T, seed uint64, defect string) *cluster {
	t.Helper()
	return startReplicas(t, seed, defect, len(replicaRegions))
}

// startReplicas is like startCluster but starts only the first replicas, count of them.
func startReplicas(t *testing.T, seed uint64, defect string, count int) *cluster {
	t.Helper()
	c := &cluster{t: t, replicaLinks: map[[2]int]*faultnet.StreamForwarder{}, proxyLinks: map[string][]*faultnet.StreamForwarder{}}
	folder := t.TempDir()
	for i, region := range replicaRegions {
		name := fmt.Sprintf("c%d", i+1)
		c.replicas = append(c.replicas, &replicaProcess{name: name, region: region, address: freeAddress(t), defect: defect,
			config: filepath.Join(folder, name+".toml"), folder: filepath.Join(folder, name)})
	}
	for i, replica := range c.replicas {
		for _, region := range []string{"eu", "us", "ap"} {
			c.proxyLinks[region] = append(c.proxyLinks[region], c.stream(replica.address, seed+uint64(i)))
		}
		for j, other := range c.replicas {
			if i != j {
				c.replicaLinks[[2]int{i, j}] = c.stream(other.address, seed+uint64(10*i+j))
			}
		}
		c.writeConfig(i)
		if i < count {
			c.start(i)
		}
	}
	t.Cleanup(c.end)
	return c
}

// stream starts a forwarder to the target address.
func (c *cluster) stream(target string, seed uint64) *faultnet.StreamForwarder {
	forwarder, err := faultnet.NewStreamForwarder(target, seed)
	if err != nil {
		c.t.Fatal(err)
	}
	return forwarder
}

// writeConfig writes a replica's configuration file, in which the addresses of the other replicas are those of forwarders.
func (c *cluster) writeConfig(i int) {
	base, err := filepath.Abs("../../example/config.json")
	if err != nil {
		c.t.Fatal(err)
	}
	replica := c.replicas[i]
	text := fmt.Sprintf("fleet = \"shop\"\nname = %q\nfolder = %q\nlisten = %q\ncheck_base = %q\n",
		replica.name, replica.folder, replica.address, base)
	for j, other := range c.replicas {
		address := other.address
		if link := c.replicaLinks[[2]int{i, j}]; link != nil {
			address = link.Addr()
		}
		text += fmt.Sprintf("[[replica]]\nname = %q\naddress = %q\nregion = %q\n", other.name, address, other.region)
	}
	if err := os.WriteFile(replica.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts a replica's process.
func (c *cluster) start(i int) {
	replica := c.replicas[i]
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), configVariable+"="+replica.config, defectVariable+"="+replica.defect)
	command.Stderr, command.Stdout = &replica.output, &replica.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	replica.command, replica.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		command.Wait()
		close(ended)
	}(replica.ended)
}

// signal sends a signal to a replica's process. It does nothing if the process has ended.
func (c *cluster) signal(i int, signal syscall.Signal) {
	if err := c.replicas[i].command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		c.t.Error(err)
	}
}

// kill kills a replica's process and waits for its end.
func (c *cluster) kill(i int) {
	c.signal(i, syscall.SIGKILL)
	<-c.replicas[i].ended
}

// running reports whether a replica's process is running.
func (c *cluster) running(i int) bool {
	select {
	case <-c.replicas[i].ended:
		return false
	default:
		return true
	}
}

// end kills all replicas, closes the forwarders and, if the test failed, logs the output of the replicas.
func (c *cluster) end() {
	for i, replica := range c.replicas {
		if replica.command != nil {
			c.kill(i)
		}
	}
	for _, link := range c.replicaLinks {
		link.Close()
	}
	for _, links := range c.proxyLinks {
		for _, link := range links {
			link.Close()
		}
	}
	if c.t.Failed() {
		for _, replica := range c.replicas {
			c.t.Logf("%s:\n%s", replica.name, replica.output.String())
		}
	}
}

// setReplicaLinks sets the conditions between two replicas, for connections in both directions.
func (c *cluster) setReplicaLinks(i, j int, conditions faultnet.Conditions) {
	c.replicaLinks[[2]int{i, j}].SetConditions(conditions, conditions)
	c.replicaLinks[[2]int{j, i}].SetConditions(conditions, conditions)
}

// delayRegions sets the delay between the regions, in seconds one way.
func (c *cluster) delayRegions(delay float64) {
	for _, region := range []string{"eu", "us", "ap"} {
		c.cutRegion(region, faultnet.Conditions{Delay: delay})
	}
}

// cutRegion sets the conditions between a region and the others, for replicas and proxies.
func (c *cluster) cutRegion(region string, conditions faultnet.Conditions) {
	for i := range c.replicas {
		for j := range i {
			if (c.replicas[i].region == region) != (c.replicas[j].region == region) {
				c.setReplicaLinks(i, j, conditions)
			}
		}
		for from, links := range c.proxyLinks {
			if (c.replicas[i].region == region) != (from == region) {
				links[i].SetConditions(conditions, conditions)
			}
		}
	}
}

// addresses returns the addresses at which operators reach the replicas, without forwarders.
func (c *cluster) addresses() (addresses []string) {
	for _, replica := range c.replicas {
		addresses = append(addresses, replica.address)
	}
	return addresses
}

// addressesFrom returns the addresses at which a region's proxies reach the replicas, those of their region first.
func (c *cluster) addressesFrom(region string) (addresses []string) {
	for _, near := range []bool{true, false} {
		for i, replica := range c.replicas {
			if (replica.region == region) == near {
				addresses = append(addresses, c.proxyLinks[region][i].Addr())
			}
		}
	}
	return addresses
}
