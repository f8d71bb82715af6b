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
	seedsVariable      = "SANDPASS_CONTROL_SEEDS" // number of seeds to run; if set, faults have their long form
	defaultSeeds       = 2
	faultsPerSeed      = 3 // faults injected per seed
	regionDelaySeconds = 0.035
	faultDuration      = 1500 * time.Millisecond // of a fault; some last twice as long
	shortPauseDuration = 3 * time.Second         // during which a leader is stopped by SIGSTOP
	longPauseDuration  = 10 * time.Second
	convergenceLimit   = 3 * time.Second // for all proxies to converge after a fault is healed
	operatorInterval   = 100 * time.Millisecond
	readInterval       = 50 * time.Millisecond
)

// operationLog records the changes that operators requested and their results, and finds violations: accepted revisions
// that are lost, made twice or never requested.
type operationLog struct {
	mu         sync.Mutex
	requested  map[string]bool            // checksums of requested documents
	accepted   map[revision.Number]string // checksums of accepted documents
	unknown    int
	newest     revision.Number
	violations []string
}

// newOperationLog returns an empty operation log.
func newOperationLog() *operationLog {
	return &operationLog{requested: map[string]bool{}, accepted: map[revision.Number]string{}}
}

// addViolation records an event that must never happen.
func (l *operationLog) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordRequest records that a document was requested.
func (l *operationLog) recordRequest(checksum string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested[checksum] = true
}

// recordResult records the result of a request.
func (l *operationLog) recordResult(number revision.Number, checksum string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		if previous, known := l.accepted[number]; known {
			l.violations = append(l.violations, fmt.Sprintf("revision %d was accepted twice: %s, %s", number, previous, checksum))
		}
		l.accepted[number] = checksum
		l.newest = max(l.newest, number)
	case errorKind(err) == controlapi.KindUnknown:
		l.unknown++
	case errorKind(err) == controlapi.KindRefused, errorKind(err) == controlapi.KindBadRequest:
		l.violations = append(l.violations, fmt.Sprintf("a valid revision was refused: %v", err))
	}
}

// acceptedCount returns the number of accepted revisions.
func (l *operationLog) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

// newestAccepted returns the newest accepted revision, 0 for none.
func (l *operationLog) newestAccepted() revision.Number {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// compare compares a history with the log. Accepted revisions that are missing, and documents that were not requested or
// occur twice, are violations.
func (l *operationLog) compare(history []historyEntry) {
	found := map[revision.Number]string{}
	occurrencesByChecksum := map[string]int{}
	for _, entry := range history {
		found[entry.number] = entry.checksum
		occurrencesByChecksum[entry.checksum]++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, checksum := range l.accepted {
		if found[number] != checksum {
			l.violations = append(l.violations, fmt.Sprintf("accepted revision %d is lost: the history has %s in its place",
				number, found[number]))
		}
	}
	for checksum, occurrences := range occurrencesByChecksum {
		if !l.requested[checksum] || occurrences > 1 {
			l.violations = append(l.violations, fmt.Sprintf("document %s is in the history %d times, requested: %t",
				checksum, occurrences, l.requested[checksum]))
		}
	}
}

// historyEntry is a revision in a history.
type historyEntry struct {
	number   revision.Number
	checksum string
}

// historyOf returns all revisions that a client reads.
func historyOf(client *controlclient.Client) (lines []historyEntry, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	history, err := client.History(ctx, nil, 0)
	for _, entry := range history.Revisions {
		lines = append(lines, historyEntry{entry.Number, entry.Checksum})
	}
	return lines, err
}

// runOperator changes random scopes until the context ends, each time with a different document.
func (l *operationLog) runOperator(ctx context.Context, client *controlclient.Client, seed uint64, operator int) {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	scopes := []revision.Scope{revision.FleetScope, {Kind: revision.RegionKind, Name: "us"}, {Kind: revision.ZoneKind, Name: "eu-0"},
		{Kind: revision.ServiceKind, Name: "s1"}, {Kind: revision.ProxyKind, Name: "p3"}}
	for n := 0; ctx.Err() == nil; n++ {
		document := testDocument(100000*operator + n)
		checksum := revision.Checksum(document)
		l.recordRequest(checksum)
		number, err := tryApply(client, scopes[random.IntN(len(scopes))], document, 8*time.Second)
		l.recordResult(number, checksum, err)
		select {
		case <-ctx.Done():
		case <-time.After(operatorInterval):
		}
	}
}

// runReader reads the newest revision from one replica until the context ends. A read must return at least the newest
// revision that was accepted before the read began.
func (l *operationLog) runReader(ctx context.Context, name string, client *controlclient.Client) {
	for ctx.Err() == nil {
		newest := l.newestAccepted()
		history, err := client.History(ctx, nil, 1)
		if err == nil && newest > 0 && (len(history.Revisions) == 0 || history.Revisions[0].Number < newest) {
			l.addViolation("%s returned %v as the newest revision after revision %d was accepted", name, history.Revisions, newest)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
}

// faultScenario is a cluster with proxies, operators and readers into which faults are injected.
type faultScenario struct {
	*cluster
	random     *rand.Rand
	operator   *controlclient.Client
	fleet      *simFleet
	operations *operationLog
	longRun    bool
}

// fault is a failure that can be injected into a scenario. The function heal undoes it.
type fault struct {
	name   string
	inject func(s *faultScenario) (heal func())
}

// faultCatalog lists the faults that seeds choose from.
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
	{"leader stopped by SIGSTOP", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(map[bool]time.Duration{false: shortPauseDuration, true: longPauseDuration}[s.longRun])
		return func() { s.signal(leader, syscall.SIGCONT) }
	}},
	{"region eu disconnected", regionCut("eu")},
	{"region us disconnected", regionCut("us")},
	{"region ap disconnected", regionCut("ap")},
	{"leader receives nothing", oneWayCut(true)},
	{"leader's messages are lost", oneWayCut(false)},
	{"storage file truncated", func(s *faultScenario) func() { return s.truncateFile() }},
	{"disk full", func(s *faultScenario) func() { return s.fillDisk() }},
	{"proxies restarted", func(s *faultScenario) func() {
		for range 10 {
			s.fleet.restart(s.random.IntN(len(s.fleet.proxies)))
			time.Sleep(faultDuration / 10)
		}
		return func() {}
	}},
	{"leader stopped by SIGTERM", func(s *faultScenario) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGTERM)
		<-s.replicas[leader].ended
		if code := s.replicas[leader].command.ProcessState.ExitCode(); code != 0 {
			s.operations.addViolation("a replica stopped by SIGTERM ended with exit code %d", code)
		}
		return func() { s.start(leader) }
	}},
}

// regionCut returns a fault that disconnects a region from the others.
func regionCut(region string) func(*faultScenario) func() {
	return func(s *faultScenario) func() {
		s.cutRegion(region, faultnet.Conditions{Blocked: true})
		time.Sleep(2 * faultDuration)
		return func() { s.cutRegion(region, faultnet.Conditions{Delay: regionDelaySeconds}) }
	}
}

// oneWayCut returns a fault that blocks all data sent to the leader, or all data sent by it.
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
				if toLeader { // including responses on connections that the leader opened
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

// truncateFile kills a replica and truncates its storage file. The restarted replica must end with an error that names the
// file. Healing restores the file.
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

// fillDisk makes saving fail at the leader as on a full disk. The leader must end with that error.
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

// expectFailure triggers a failure and checks that the replica ends with exit code 1 and a last line that is an error
// containing want.
func (s *faultScenario) expectFailure(i int, want string, trigger func()) {
	replica := s.replicas[i]
	outputStart := len(replica.output.String())
	trigger()
	select {
	case <-replica.ended:
	case <-time.After(electionTimeout):
		s.operations.addViolation("%s keeps running, expected it to end with: %s", replica.name, want)
		s.kill(i)
		return
	}
	text := strings.TrimSpace(replica.output.String()[outputStart:])
	last := text[strings.LastIndexByte(text, '\n')+1:]
	code := replica.command.ProcessState.ExitCode()
	if code != 1 || !strings.HasPrefix(last, "sandpass: ") || !strings.Contains(last, want) {
		s.operations.addViolation("%s ended with exit code %d and %q, want %q", replica.name, code, last, want)
	}
}

// seedCount returns the number of seeds to run, and whether the long form of faults is used.
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

// While replicas crash, stop, lose their disk or are disconnected, no accepted revision may be lost or made twice, reads
// must not be stale, and all proxies must converge after each fault.
func TestNoRevisionLostUnderFaults(t *testing.T) {
	seeds, long := seedCount(t)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) { runFaultScenario(t, seed+1, long) })
	}
}

// runFaultScenario injects the faults of a seed one after the other while operators change configurations.
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

// chooseFaults chooses the faults of a seed at random, except the first one: consecutive seeds begin with consecutive
// faults of the catalog.
func (s *faultScenario) chooseFaults(seed uint64) (chosen []fault) {
	chosen = []fault{faultCatalog[int(seed-1)%len(faultCatalog)]}
	for len(chosen) < faultsPerSeed {
		chosen = append(chosen, faultCatalog[s.random.IntN(len(faultCatalog))])
	}
	return chosen
}

// runUnderFault injects one fault during changes and reads, heals it, and waits until all proxies are up to date.
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
	took := await(s.t, 2*electionTimeout, kind.name+": all proxies are up to date", func() (string, bool) {
		why, equal := allInForce(s.operator, s.fleet.proxies)()
		if !equal {
			lastReason = fmt.Sprintf("%v: %s", time.Since(healed).Round(time.Millisecond), why)
		}
		return why, equal
	})
	workers.Wait()
	s.t.Logf("%s: %d revisions accepted, all proxies up to date %v after healing", kind.name, s.operations.acceptedCount()-accepted,
		took.Round(time.Millisecond))
	if took > convergenceLimit {
		s.t.Errorf("%s: all proxies up to date only %v after healing; last reason %s", kind.name,
			took.Round(time.Millisecond), lastReason)
	}
}

// checkHistories compares the operation log with the history, and the history with that of each replica.
func (s *faultScenario) checkHistories() {
	history, err := historyOf(s.operator)
	if err != nil {
		s.t.Fatal(err)
	}
	s.operations.compare(history)
	for _, replica := range s.replicas {
		await(s.t, electionTimeout, replica.name+" has all revisions", func() (string, bool) {
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
