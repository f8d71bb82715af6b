package controlserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/controlapi"
	"sandpass/internal/controlclient"
	"sandpass/internal/faultnet"
	"sandpass/internal/revision"
)

const (
	seedsVariable      = "SANDPASS_CONTROL_SEEDS" // how many seeds; the long form of each fault where it is set
	defaultSeeds       = 2
	faultsPerSeed      = 3 // of a seed
	regionDelaySeconds = 0.035
	faultDuration      = 1500 * time.Millisecond // that a fault lasts
	shortPauseDuration = 3 * time.Second         // that a leader stands still
	longPauseDuration  = 10 * time.Second
	convergenceLimit   = 3 * time.Second // until all are equal after a fault is healed
	operatorInterval   = 100 * time.Millisecond
	readInterval       = 50 * time.Millisecond
)

// journal is what operators were told, and what must hold of it.
type operationLog struct {
	mu         sync.Mutex
	requested  map[string]bool            // checksums of documents that were asked for
	accepted   map[revision.Number]string // checksums of accepted documents
	unknown    int
	newest     revision.Number
	violations []string
}

func newOperationLog() *operationLog {
	return &operationLog{requested: map[string]bool{}, accepted: map[revision.Number]string{}}
}

func (j *operationLog) addViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

func (j *operationLog) recordRequest(checksum string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requested[checksum] = true
}

func (j *operationLog) recordResult(number revision.Number, checksum string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		if previous, known := j.accepted[number]; known {
			j.violations = append(j.violations, fmt.Sprintf("revision %d was accepted twice: %s, %s", number, previous, checksum))
		}
		j.accepted[number] = checksum
		j.newest = max(j.newest, number)
	case errorKind(err) == controlapi.KindUnknown:
		j.unknown++
	case errorKind(err) == controlapi.KindRefused, errorKind(err) == controlapi.KindBadRequest:
		j.violations = append(j.violations, fmt.Sprintf("a good revision was refused: %v", err))
	}
}

// count is how many revisions were accepted.
func (j *operationLog) acceptedCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.accepted)
}

func (j *operationLog) newestAccepted() revision.Number {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest
}

// compare finds accepted revisions that a history lost, and revisions that nobody asked for or that are there twice.
func (j *operationLog) compare(history []historyEntry) {
	found := map[revision.Number]string{}
	occurrencesByChecksum := map[string]int{}
	for _, entry := range history {
		found[entry.number] = entry.checksum
		occurrencesByChecksum[entry.checksum]++
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for number, checksum := range j.accepted {
		if found[number] != checksum {
			j.violations = append(j.violations, fmt.Sprintf("accepted revision %d is lost: %s in its place", number, found[number]))
		}
	}
	for checksum, occurrences := range occurrencesByChecksum {
		if !j.requested[checksum] || occurrences > 1 {
			j.violations = append(j.violations, fmt.Sprintf("document %s is in the history %d times, requested: %t",
				checksum, occurrences, j.requested[checksum]))
		}
	}
}

// historyLine is a revision in a history.
type historyEntry struct {
	number   revision.Number
	checksum string
}

func historyOf(client *controlclient.Client) (lines []historyEntry, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	history, err := client.History(ctx, nil, 0)
	for _, entry := range history.Revisions {
		lines = append(lines, historyEntry{entry.Number, entry.Checksum})
	}
	return lines, err
}

// operate changes configurations until the context ends. Every document is another.
func (j *operationLog) runOperator(ctx context.Context, client *controlclient.Client, seed uint64, operator int) {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	scopes := []revision.Scope{revision.FleetScope, {Kind: revision.RegionKind, Name: "us"}, {Kind: revision.ZoneKind, Name: "eu-0"},
		{Kind: revision.ServiceKind, Name: "s1"}, {Kind: revision.ProxyKind, Name: "p3"}}
	for n := 0; ctx.Err() == nil; n++ {
		document := testDocument(100000*operator + n)
		checksum := revision.Checksum(document)
		j.recordRequest(checksum)
		number, err := tryApply(client, scopes[random.IntN(len(scopes))], document, 8*time.Second)
		j.recordResult(number, checksum, err)
		select {
		case <-ctx.Done():
		case <-time.After(operatorInterval):
		}
	}
}

// read looks at the fleet through one replica until the context ends: what was accepted before must be told.
func (j *operationLog) runReader(ctx context.Context, name string, client *controlclient.Client) {
	for ctx.Err() == nil {
		newest := j.newestAccepted()
		history, err := client.History(ctx, nil, 1)
		if err == nil && newest > 0 && (len(history.Revisions) == 0 || history.Revisions[0].Number < newest) {
			j.addViolation("%s told %v as newest after revision %d was accepted", name, history.Revisions, newest)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
}

// scene is a cluster with proxies, operators and readers on which faults are played.
type faultScenario struct {
	*cluster
	random     *rand.Rand
	operator   *controlclient.Client
	fleet      *simFleet
	operations *operationLog
	longRun    bool
}

// fault is something that is done to a scene; heal undoes it.
type fault struct {
	name   string
	inject func(s *faultScenario) (heal func())
}

var faultCatalog = []fault{
	{"leader killed", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		s.kill(leader)
		time.Sleep(faultDuration)
		return func() { s.start(leader) }
	}},
	{"two of five killed", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		other := (leader + 1 + s.random.IntN(len(s.replicas)-1)) % len(s.replicas)
		s.kill(leader)
		s.kill(other)
		time.Sleep(faultDuration)
		return func() { s.start(leader); s.start(other) }
	}},
	{"leader stands still", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(map[bool]time.Duration{false: shortPauseDuration, true: longPauseDuration}[s.longRun])
		return func() { s.signal(leader, syscall.SIGCONT) }
	}},
	{"region eu cut", regionCut("eu")},
	{"region us cut", regionCut("us")},
	{"region ap cut", regionCut("ap")},
	{"leader hears nobody", oneWayCut(true)},
	{"nobody hears the leader", oneWayCut(false)},
	{"torn file", func(s *faultScenario) func() { return s.truncateFile() }},
	{"disk full", func(s *faultScenario) func() { return s.fillDisk() }},
	{"proxy restarted", func(s *faultScenario) func() {
		for range 10 {
			s.fleet.restart(s.random.IntN(len(s.fleet.proxies)))
			time.Sleep(faultDuration / 10)
		}
		return func() {}
	}},
	{"replica stops as told", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGTERM)
		<-s.replicas[leader].ended
		if code := s.replicas[leader].command.ProcessState.ExitCode(); code != 0 {
			s.operations.addViolation("a replica that was told to stop ended with %d", code)
		}
		return func() { s.start(leader) }
	}},
}

func regionCut(region string) func(*faultScenario) func() {
	return func(s *faultScenario) func() {
		s.cutRegion(region, faultnet.Conditions{Blocked: true})
		time.Sleep(2 * faultDuration)
		return func() { s.cutRegion(region, faultnet.Conditions{Delay: regionDelaySeconds}) }
	}
}

// oneWay cuts what goes to the leader, or what comes from it.
func oneWayCut(toLeader bool) func(*faultScenario) func() {
	return func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		setLeaderLinks := func(blocked faultnet.Conditions) {
			for i := range s.replicas {
				if i == leader {
					continue
				}
				open := faultnet.Conditions{Delay: regionDelaySeconds}
				to, from := s.replicaLinks[[2]int{i, leader}], s.replicaLinks[[2]int{leader, i}]
				if toLeader { // also what answers on connections that the leader made
					to.SetConditions(blocked, open)
					from.SetConditions(open, blocked)
				} else {
					to.SetConditions(open, blocked)
					from.SetConditions(blocked, open)
				}
			}
		}
		setLeaderLinks(faultnet.Conditions{Blocked: true})
		time.Sleep(2 * faultDuration)
		return func() { setLeaderLinks(faultnet.Conditions{Delay: regionDelaySeconds}) }
	}
}

// tearFile kills a replica, cuts its file off and sees that it says so and ends; healed, the file is whole again.
func (s *faultScenario) truncateFile() func() {
	victim := s.random.IntN(len(s.replicas))
	s.kill(victim)
	path := filepath.Join(s.replicas[victim].folder, storageFileName)
	content, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.Truncate(path, int64(s.random.IntN(len(content)*3/4))); err != nil {
		s.t.Fatal(err)
	}
	s.expectFailure(victim, storageFileName, func() { s.start(victim) })
	return func() {
		if err := os.WriteFile(path, content, fileMode); err != nil {
			s.t.Fatal(err)
		}
		s.start(victim)
	}
}

// fillDisk lets nothing more be saved at the leader: it says so and ends.
func (s *faultScenario) fillDisk() func() {
	leader := s.awaitLeader(s.operator)
	fullFile := filepath.Join(s.replicas[leader].folder, diskFullFileName)
	s.expectFailure(leader, syscall.ENOSPC.Error(), func() {
		if err := os.WriteFile(fullFile, nil, fileMode); err != nil {
			s.t.Fatal(err)
		}
	})
	return func() {
		os.Remove(fullFile)
		s.start(leader)
	}
}

// mustEnd waits until a replica has ended with exit code 1 and an error line that has the words.
func (s *faultScenario) expectFailure(i int, want string, trigger func()) {
	replica := s.replicas[i]
	outputStart := len(replica.output.String())
	trigger()
	select {
	case <-replica.ended:
	case <-time.After(electionTimeout):
		s.operations.addViolation("%s goes on: %s", replica.name, want)
		s.kill(i)
		return
	}
	text := strings.TrimSpace(replica.output.String()[outputStart:])
	last := text[strings.LastIndexByte(text, '\n')+1:]
	code := replica.command.ProcessState.ExitCode()
	if code != 1 || !strings.HasPrefix(last, "sandpass: ") || !strings.Contains(last, want) {
		s.operations.addViolation("%s ended with %d and %q, wanted %q", replica.name, code, last, want)
	}
}

// wantedSeeds says how many seeds to run, and whether in the long form.
func seedCount(t *testing.T) (count int, long bool) {
	text := os.Getenv(seedsVariable)
	if text == "" {
		return defaultSeeds, false
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return count, true
}

func TestNoRevisionLostUnderFaults(t *testing.T) {
	seeds, long := seedCount(t)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) { runFaultScenario(t, seed+1, long) })
	}
}

// playFaults plays some faults one after the other while operators change configurations.
func runFaultScenario(t *testing.T, seed uint64, long bool) {
	c := startCluster(t, seed, "")
	c.delayRegions(regionDelaySeconds)
	s := &faultScenario{cluster: c, random: rand.New(rand.NewPCG(seed, 0)), operator: newClient(t, c.addresses()...),
		operations: newOperationLog(), longRun: long}
	s.awaitLeader(s.operator)
	s.fleet = c.startProxies(24)
	defer s.fleet.stop()
	for _, kind := range s.chooseFaults(seed) {
		s.runUnderFault(kind, seed)
	}
	s.checkHistories()
}

// chooseFaults draws faults; the seeds begin with one kind after the other.
func (s *faultScenario) chooseFaults(seed uint64) (chosen []fault) {
	chosen = []fault{faultCatalog[int(seed-1)%len(faultCatalog)]}
	for len(chosen) < faultsPerSeed {
		chosen = append(chosen, faultCatalog[s.random.IntN(len(faultCatalog))])
	}
	return chosen
}

// underFault plays one fault among changes and reads, heals it, and waits until all proxies are equal.
func (s *faultScenario) runUnderFault(kind fault, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for operator := range 2 {
		number := len(s.operations.requested) + operator*50000
		workers.Go(func() { s.operations.runOperator(ctx, s.operator, seed, number) })
	}
	for _, replica := range s.replicas {
		workers.Go(func() { s.operations.runReader(ctx, replica.name, newClient(s.t, replica.address)) })
	}
	accepted := s.operations.acceptedCount()
	heal := kind.inject(s)
	heal()
	healed := time.Now()
	cancel()
	lastReason := ""
	took := await(s.t, 2*electionTimeout, kind.name+": all are equal", func() (string, bool) {
		why, equal := allInForce(s.operator, s.fleet.proxies)()
		if !equal {
			lastReason = fmt.Sprintf("%v: %s", time.Since(healed).Round(time.Millisecond), why)
		}
		return why, equal
	})
	workers.Wait()
	s.t.Logf("%s: %d revisions accepted meanwhile, all equal %v after the healing", kind.name, s.operations.acceptedCount()-accepted,
		took.Round(time.Millisecond))
	if took > convergenceLimit {
		s.t.Errorf("%s: all are equal only %v after the healing; last %s", kind.name, took.Round(time.Millisecond), lastReason)
	}
}

// check compares what operators were told with what all replicas know.
func (s *faultScenario) checkHistories() {
	history, err := historyOf(s.operator)
	if err != nil {
		s.t.Fatal(err)
	}
	s.operations.compare(history)
	for _, replica := range s.replicas {
		await(s.t, electionTimeout, replica.name+" knows all", func() (string, bool) {
			client := newClient(s.t, replica.address)
			client.AllowStale = true
			local, err := historyOf(client)
			return fmt.Sprintf("%d of %d revisions, %v", len(local), len(history), err), fmt.Sprint(local) == fmt.Sprint(history)
		})
	}
	if faults := s.fleet.violations(); faults != "" {
		s.t.Error(faults)
	}
	for _, fault := range s.operations.violations {
		s.t.Error(fault)
	}
	s.t.Logf("%d revisions accepted, %d with unknown outcome", len(s.operations.accepted), s.operations.unknown)
}
