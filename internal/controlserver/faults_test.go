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
	seedsVariable = "SANDPASS_CONTROL_SEEDS" // how many seeds; the long form of each fault where it is set
	usualSeeds    = 2
	usualFaults   = 3 // of a seed
	regionDelay   = 0.035
	faultTime     = 1500 * time.Millisecond // that a fault lasts
	stopTimeShort = 3 * time.Second         // that a leader stands still
	stopTimeLong  = 10 * time.Second
	healTime      = 3 * time.Second // until all are equal after a fault is healed
	operatorPause = 100 * time.Millisecond
	readPause     = 50 * time.Millisecond
)

// journal is what operators were told, and what must hold of it.
type journal struct {
	mu       sync.Mutex
	attempts map[string]bool            // checksums of documents that were asked for
	accepted map[revision.Number]string // checksums of accepted documents
	unknown  int
	newest   revision.Number
	faults   []string
}

func newJournal() *journal {
	return &journal{attempts: map[string]bool{}, accepted: map[revision.Number]string{}}
}

func (j *journal) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

func (j *journal) asked(sum string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[sum] = true
}

func (j *journal) answered(number revision.Number, sum string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		if before, twice := j.accepted[number]; twice {
			j.faults = append(j.faults, fmt.Sprintf("revision %d was accepted twice: %s, %s", number, before, sum))
		}
		j.accepted[number] = sum
		j.newest = max(j.newest, number)
	case kindOf(err) == controlapi.KindUnknown:
		j.unknown++
	case kindOf(err) == controlapi.KindRefused, kindOf(err) == controlapi.KindBadRequest:
		j.faults = append(j.faults, fmt.Sprintf("a good revision was refused: %v", err))
	}
}

// count is how many revisions were accepted.
func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.accepted)
}

func (j *journal) newestAccepted() revision.Number {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest
}

// compare finds accepted revisions that a history lost, and revisions that nobody asked for or that are there twice.
func (j *journal) compare(history []historyLine) {
	found := map[revision.Number]string{}
	times := map[string]int{}
	for _, line := range history {
		found[line.number] = line.sum
		times[line.sum]++
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for number, sum := range j.accepted {
		if found[number] != sum {
			j.faults = append(j.faults, fmt.Sprintf("accepted revision %d is lost: %s in its place", number, found[number]))
		}
	}
	for sum, count := range times {
		if !j.attempts[sum] || count > 1 {
			j.faults = append(j.faults, fmt.Sprintf("document %s is in the history %d times, asked for: %t", sum, count, j.attempts[sum]))
		}
	}
}

// historyLine is a revision in a history.
type historyLine struct {
	number revision.Number
	sum    string
}

func historyOf(client *controlclient.Client) (lines []historyLine, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	history, err := client.History(ctx, nil, 0)
	for _, entry := range history.Revisions {
		lines = append(lines, historyLine{entry.Number, entry.Checksum})
	}
	return lines, err
}

// operate changes configurations until the context ends. Every document is another.
func (j *journal) operate(ctx context.Context, client *controlclient.Client, seed uint64, operator int) {
	chance := rand.New(rand.NewPCG(seed, uint64(operator)))
	scopes := []revision.Scope{revision.FleetScope, {Kind: revision.RegionKind, Name: "us"}, {Kind: revision.ZoneKind, Name: "eu-0"},
		{Kind: revision.ServiceKind, Name: "s1"}, {Kind: revision.ProxyKind, Name: "p3"}}
	for n := 0; ctx.Err() == nil; n++ {
		document := utility(100000*operator + n)
		sum := revision.Checksum(document)
		j.asked(sum)
		number, err := tryApply(client, scopes[chance.IntN(len(scopes))], document, 8*time.Second)
		j.answered(number, sum, err)
		select {
		case <-ctx.Done():
		case <-time.After(operatorPause):
		}
	}
}

// read looks at the fleet through one replica until the context ends: what was accepted before must be told.
func (j *journal) read(ctx context.Context, name string, client *controlclient.Client) {
	for ctx.Err() == nil {
		before := j.newestAccepted()
		history, err := client.History(ctx, nil, 1)
		if err == nil && before > 0 && (len(history.Revisions) == 0 || history.Revisions[0].Number < before) {
			j.fault("%s told %v as newest after revision %d was accepted", name, history.Revisions, before)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readPause):
		}
	}
}

// scene is a cluster with proxies, operators and readers on which faults are played.
type scene struct {
	*cluster
	chance   *rand.Rand
	operator *controlclient.Client
	fleet    *simFleet
	journal  *journal
	long     bool
}

// fault is something that is done to a scene; heal undoes it.
type fault struct {
	name string
	play func(s *scene) (heal func())
}

var faultKinds = []fault{
	{"leader killed", func(s *scene) func() {
		leader := s.awaitLeader(s.operator)
		s.kill(leader)
		time.Sleep(faultTime)
		return func() { s.start(leader) }
	}},
	{"two of five killed", func(s *scene) func() {
		leader := s.awaitLeader(s.operator)
		other := (leader + 1 + s.chance.IntN(len(s.replicas)-1)) % len(s.replicas)
		s.kill(leader)
		s.kill(other)
		time.Sleep(faultTime)
		return func() { s.start(leader); s.start(other) }
	}},
	{"leader stands still", func(s *scene) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(map[bool]time.Duration{false: stopTimeShort, true: stopTimeLong}[s.long])
		return func() { s.signal(leader, syscall.SIGCONT) }
	}},
	{"region eu cut", cutting("eu")},
	{"region us cut", cutting("us")},
	{"region ap cut", cutting("ap")},
	{"leader hears nobody", oneWay(true)},
	{"nobody hears the leader", oneWay(false)},
	{"torn file", func(s *scene) func() { return s.tearFile() }},
	{"disk full", func(s *scene) func() { return s.fillDisk() }},
	{"proxy restarted", func(s *scene) func() {
		for range 10 {
			s.fleet.restart(s.chance.IntN(len(s.fleet.proxies)))
			time.Sleep(faultTime / 10)
		}
		return func() {}
	}},
	{"replica stops as told", func(s *scene) func() {
		leader := s.awaitLeader(s.operator)
		s.signal(leader, syscall.SIGTERM)
		<-s.replicas[leader].ended
		if code := s.replicas[leader].command.ProcessState.ExitCode(); code != 0 {
			s.journal.fault("a replica that was told to stop ended with %d", code)
		}
		return func() { s.start(leader) }
	}},
}

func cutting(region string) func(*scene) func() {
	return func(s *scene) func() {
		s.cutRegion(region, faultnet.Conditions{Blocked: true})
		time.Sleep(2 * faultTime)
		return func() { s.cutRegion(region, faultnet.Conditions{Delay: regionDelay}) }
	}
}

// oneWay cuts what goes to the leader, or what comes from it.
func oneWay(toLeader bool) func(*scene) func() {
	return func(s *scene) func() {
		leader := s.awaitLeader(s.operator)
		set := func(there faultnet.Conditions) {
			for i := range s.replicas {
				if i == leader {
					continue
				}
				back := faultnet.Conditions{Delay: regionDelay}
				to, from := s.ways[[2]int{i, leader}], s.ways[[2]int{leader, i}]
				if toLeader { // also what answers on connections that the leader made
					to.SetConditions(there, back)
					from.SetConditions(back, there)
				} else {
					to.SetConditions(back, there)
					from.SetConditions(there, back)
				}
			}
		}
		set(faultnet.Conditions{Blocked: true})
		time.Sleep(2 * faultTime)
		return func() { set(faultnet.Conditions{Delay: regionDelay}) }
	}
}

// tearFile kills a replica, cuts its file off and sees that it says so and ends; healed, the file is whole again.
func (s *scene) tearFile() func() {
	torn := s.chance.IntN(len(s.replicas))
	s.kill(torn)
	path := filepath.Join(s.replicas[torn].folder, storageFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.Truncate(path, int64(s.chance.IntN(len(whole)*3/4))); err != nil {
		s.t.Fatal(err)
	}
	s.mustEnd(torn, storageFile, func() { s.start(torn) })
	return func() {
		if err := os.WriteFile(path, whole, fileMode); err != nil {
			s.t.Fatal(err)
		}
		s.start(torn)
	}
}

// fillDisk lets nothing more be saved at the leader: it says so and ends.
func (s *scene) fillDisk() func() {
	leader := s.awaitLeader(s.operator)
	mark := filepath.Join(s.replicas[leader].folder, fullMark)
	s.mustEnd(leader, syscall.ENOSPC.Error(), func() {
		if err := os.WriteFile(mark, nil, fileMode); err != nil {
			s.t.Fatal(err)
		}
	})
	return func() {
		os.Remove(mark)
		s.start(leader)
	}
}

// mustEnd waits until a replica has ended with exit code 1 and an error line that has the words.
func (s *scene) mustEnd(i int, words string, cause func()) {
	replica := s.replicas[i]
	before := len(replica.output.String())
	cause()
	select {
	case <-replica.ended:
	case <-time.After(electTime):
		s.journal.fault("%s goes on: %s", replica.name, words)
		s.kill(i)
		return
	}
	text := strings.TrimSpace(replica.output.String()[before:])
	last := text[strings.LastIndexByte(text, '\n')+1:]
	code := replica.command.ProcessState.ExitCode()
	if code != 1 || !strings.HasPrefix(last, "sandpass: ") || !strings.Contains(last, words) {
		s.journal.fault("%s ended with %d and %q, wanted %q", replica.name, code, last, words)
	}
}

// wantedSeeds says how many seeds to run, and whether in the long form.
func wantedSeeds(t *testing.T) (count int, long bool) {
	text := os.Getenv(seedsVariable)
	if text == "" {
		return usualSeeds, false
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return count, true
}

func TestFaultsLoseNothing(t *testing.T) {
	seeds, long := wantedSeeds(t)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) { playFaults(t, seed+1, long) })
	}
}

// playFaults plays some faults one after the other while operators change configurations.
func playFaults(t *testing.T, seed uint64, long bool) {
	c := startCluster(t, seed, "")
	c.delayRegions(regionDelay)
	s := &scene{cluster: c, chance: rand.New(rand.NewPCG(seed, 0)), operator: operatorOf(t, c.addresses()...),
		journal: newJournal(), long: long}
	s.awaitLeader(s.operator)
	s.fleet = c.startProxies(24)
	defer s.fleet.stop()
	for _, kind := range s.chooseFaults(seed) {
		s.underFault(kind, seed)
	}
	s.check()
}

// chooseFaults draws faults; the seeds begin with one kind after the other.
func (s *scene) chooseFaults(seed uint64) (chosen []fault) {
	chosen = []fault{faultKinds[int(seed-1)%len(faultKinds)]}
	for len(chosen) < usualFaults {
		chosen = append(chosen, faultKinds[s.chance.IntN(len(faultKinds))])
	}
	return chosen
}

// underFault plays one fault among changes and reads, heals it, and waits until all proxies are equal.
func (s *scene) underFault(kind fault, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var busy sync.WaitGroup
	for operator := range 2 {
		number := len(s.journal.attempts) + operator*50000
		busy.Go(func() { s.journal.operate(ctx, s.operator, seed, number) })
	}
	for _, replica := range s.replicas {
		busy.Go(func() { s.journal.read(ctx, replica.name, operatorOf(s.t, replica.address)) })
	}
	accepted := s.journal.count()
	heal := kind.play(s)
	heal()
	healed := time.Now()
	cancel()
	last := ""
	took := await(s.t, 2*electTime, kind.name+": all are equal", func() (string, bool) {
		why, equal := allAt(s.operator, s.fleet.proxies)()
		if !equal {
			last = fmt.Sprintf("%v: %s", time.Since(healed).Round(time.Millisecond), why)
		}
		return why, equal
	})
	busy.Wait()
	s.t.Logf("%s: %d revisions accepted meanwhile, all equal %v after the healing", kind.name, s.journal.count()-accepted,
		took.Round(time.Millisecond))
	if took > healTime {
		s.t.Errorf("%s: all are equal only %v after the healing; last %s", kind.name, took.Round(time.Millisecond), last)
	}
}

// check compares what operators were told with what all replicas know.
func (s *scene) check() {
	history, err := historyOf(s.operator)
	if err != nil {
		s.t.Fatal(err)
	}
	s.journal.compare(history)
	for _, replica := range s.replicas {
		await(s.t, electTime, replica.name+" knows all", func() (string, bool) {
			client := operatorOf(s.t, replica.address)
			client.AllowStale = true
			own, err := historyOf(client)
			return fmt.Sprintf("%d of %d revisions, %v", len(own), len(history), err), fmt.Sprint(own) == fmt.Sprint(history)
		})
	}
	if faults := s.fleet.faults(); faults != "" {
		s.t.Error(faults)
	}
	for _, fault := range s.journal.faults {
		s.t.Error(fault)
	}
	s.t.Logf("%d revisions accepted, %d with unknown outcome", len(s.journal.accepted), s.journal.unknown)
}
