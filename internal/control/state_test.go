package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sandpass/internal/revision"
)

var (
	zoneA    = revision.Scope{Kind: revision.ZoneKind, Name: "a"}
	zoneB    = revision.Scope{Kind: revision.ZoneKind, Name: "b"}
	cart     = revision.Scope{Kind: revision.ServiceKind, Name: "cart"}
	testTime = time.Date(2030, 5, 6, 7, 8, 9, 0, time.UTC)
)

// apply is a command without a trial.
func apply(id string, scope revision.Scope, base revision.Number, document string) Command {
	return Command{ID: id, Apply: &ApplyCommand{
		Scope:    scope,
		Base:     base,
		Document: revision.Document(document),
		Author:   "anna",
		Reason:   "because of " + id,
		Time:     testTime,
	}}
}

// tried is a command with a trial.
func applyWithCanaries(id string, scope revision.Scope, base revision.Number, document string, canaries ...string) Command {
	command := apply(id, scope, base, document)
	command.Apply.Canaries = canaries
	return command
}

func rollback(scope revision.Scope, base, to revision.Number) Command {
	return Command{ID: "rollback", Apply: &ApplyCommand{Scope: scope, Base: base, RollbackOf: to}}
}

func release(number revision.Number) Command { return *releaseCommand(number) }
func hold(number revision.Number) Command    { return *holdCommand(number, "p1", "no such key") }

// accept applies commands that have to be accepted.
func mustApply(t *testing.T, s *State, commands ...Command) {
	t.Helper()
	for _, command := range commands {
		if outcome := s.Apply(command); outcome.Err != nil {
			t.Fatalf("%s: %v", command.ID, outcome.Err)
		}
	}
}

// stages gives the stages of all revisions, ascending.
func stages(s *State) string {
	var list []string
	for _, entry := range slices.Backward(s.History(nil, MaxHistoryRevisions)) {
		list = append(list, fmt.Sprintf("%d %s", entry.Number, entry.Stage))
	}
	return strings.Join(list, ", ")
}

func TestStages(t *testing.T) {
	for name, test := range map[string]struct {
		commands []Command
		want     string
	}{
		"released at once": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), apply("b", revision.FleetScope, 1, "{}")},
			"1 superseded, 2 released",
		},
		"a trial leaves the released one": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p1")},
			"1 released, 2 trial",
		},
		"a trial ends well": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p1"), release(2)},
			"1 superseded, 2 released",
		},
		"a trial is held": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p1"), hold(2)},
			"1 released, 2 held",
		},
		"held after its release": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p1"), release(2), hold(2)},
			"1 released, 2 held",
		},
		"the next one after a held one": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p1"), hold(2),
				apply("c", revision.FleetScope, 2, "{}")},
			"1 superseded, 2 held, 3 released",
		},
		"a trial is overtaken": {
			[]Command{applyWithCanaries("a", revision.FleetScope, 0, "{}", "p1"), applyWithCanaries("b", revision.FleetScope, 1, "{}", "p2"), release(2)},
			"1 superseded, 2 released",
		},
		"scopes have chains of their own": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), apply("b", zoneA, 0, "{}"), apply("c", revision.FleetScope, 1, "{}")},
			"1 superseded, 2 released, 3 released",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s, test.commands...)
			if got := stages(s); got != test.want {
				t.Errorf("%s; wanted %s", got, test.want)
			}
		})
	}
}

func TestRefusedCommandsChangeNothing(t *testing.T) {
	long := strings.Repeat("x", MaxReasonBytes+1)
	for name, test := range map[string]struct {
		command Command
		want    any
	}{
		"stale base":         {apply("x", revision.FleetScope, 1, "{}"), new(*ConflictError)},
		"base to come":       {apply("x", revision.FleetScope, 9, "{}"), new(*UnknownRevisionError)},
		"no scope":           {apply("x", revision.Scope{}, 0, "{}"), new(*InvalidCommandError)},
		"unknown kind":       {apply("x", revision.Scope{Kind: "rack", Name: "a"}, 0, "{}"), new(*InvalidCommandError)},
		"cut document":       {apply("x", revision.FleetScope, 2, `{"a":`), new(*InvalidCommandError)},
		"null in it":         {apply("x", revision.FleetScope, 2, `{"a":null}`), new(*InvalidCommandError)},
		"no document":        {apply("x", revision.FleetScope, 2, ""), new(*InvalidCommandError)},
		"no ID":              {apply("", revision.FleetScope, 2, "{}"), new(*InvalidCommandError)},
		"long ID":            {apply(strings.Repeat("x", MaxCommandIDBytes+1), revision.FleetScope, 2, "{}"), new(*InvalidCommandError)},
		"bad canary":         {applyWithCanaries("x", revision.FleetScope, 2, "{}", "p 1"), new(*InvalidCommandError)},
		"nothing set":        {Command{ID: "x"}, new(*InvalidCommandError)},
		"long reason":        {Command{ID: "x", Hold: &HoldCommand{Number: 2, Reason: long}}, new(*InvalidCommandError)},
		"no UTF-8":           {Command{ID: "x", Hold: &HoldCommand{Number: 2, Reason: "\xff"}}, new(*InvalidCommandError)},
		"two set":            {Command{ID: "x", Hold: &HoldCommand{}, Release: &ReleaseCommand{}}, new(*InvalidCommandError)},
		"release of old":     {release(1), new(*StageError)},
		"hold of old":        {hold(1), new(*StageError)},
		"release of none":    {release(9), new(*UnknownRevisionError)},
		"rollback to none":   {rollback(revision.FleetScope, 2, 9), new(*UnknownRevisionError)},
		"rollback of zone's": {rollback(zoneB, 0, 1), new(*UnknownRevisionError)},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`), apply("b", revision.FleetScope, 1, `{"a":2}`))
			before := stages(s)
			outcome := s.Apply(test.command)
			if outcome.Err == nil || !errors.As(outcome.Err, test.want) {
				t.Errorf("%v; wanted %T", outcome.Err, test.want)
			}
			if strings.Contains(fmt.Sprint(outcome.Err), "\n") {
				t.Errorf("the error is no line: %q", outcome.Err)
			}
			if after := stages(s); after != before || s.NewestNumber() != 2 {
				t.Errorf("%s has become %s", before, after)
			}
		})
	}
}

func TestAConflictTellsWhatChangedMeanwhile(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("a", revision.FleetScope, 0, `{"limits":{"rate":1},"x":1}`),
		apply("b", zoneA, 0, `{"y":1}`),
		apply("c", revision.FleetScope, 1, `{"limits":{"rate":2},"x":1}`),
		apply("d", revision.FleetScope, 3, `{"limits":{"rate":2},"z":1}`))
	outcome := s.Apply(apply("e", revision.FleetScope, 1, "{}"))
	conflict := new(ConflictError)
	if !errors.As(outcome.Err, &conflict) {
		t.Fatal(outcome.Err)
	}
	var told []string
	for _, change := range conflict.Changes {
		told = append(told, fmt.Sprint(change.Number, change.Author, change.Reason, change.Keys))
	}
	want := "[3annabecause of c[limits.rate] 4annabecause of d[x z]]"
	if fmt.Sprint(told) != want || conflict.Newest != 4 {
		t.Errorf("%v, newest %d; wanted %s", told, conflict.Newest, want)
	}
}

func TestASecondCommandWithAnIDChangesNothing(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`))
	refused := s.Apply(apply("b", revision.FleetScope, 2, `{"a":2}`))
	mustApply(t, s, apply("c", revision.FleetScope, 1, `{"a":3}`))
	if outcome := s.Apply(apply("a", revision.FleetScope, 2, `{"a":4}`)); outcome.Number != 1 || outcome.Err != nil {
		t.Errorf("the second a: %v", outcome)
	}
	// Its base exists by now, but its submitter was told that it was refused.
	if outcome := s.Apply(apply("b", revision.FleetScope, 2, `{"a":2}`)); outcome.Err != refused.Err {
		t.Errorf("the second b: %v, the first %v", outcome, refused)
	}
	if s.NewestNumber() != 2 {
		t.Errorf("newest is %d", s.NewestNumber())
	}
	if outcome, known := s.Outcome("c"); !known || outcome.Number != 2 {
		t.Errorf("the outcome of c is told as %v, %v", outcome, known)
	}
	if _, known := s.Outcome("d"); known {
		t.Error("an outcome of d is told")
	}
}

func TestRollbackIsANewRevision(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`), apply("b", revision.FleetScope, 1, `{"a":2}`))
	mustApply(t, s, rollback(revision.FleetScope, 2, 1))
	latest, _ := s.Latest(revision.FleetScope)
	if latest.Number != 3 || string(latest.Document) != `{"a":1}` || latest.RollbackOf != 1 || latest.Previous != 2 {
		t.Errorf("%+v", latest)
	}
}

func TestHistoryIsBoundedAndKeepsWhatIsNeeded(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, apply("zone", zoneA, 0, `{"a":1}`), apply("zone 2", zoneA, 1, `{"a":2}`))
	base := revision.Number(0)
	for i := range MaxHistoryRevisions + 100 {
		command := apply(fmt.Sprint("f", i), revision.FleetScope, base, fmt.Sprintf(`{"a":%d}`, i))
		outcome := s.Apply(command)
		if outcome.Err != nil {
			t.Fatal(outcome.Err)
		}
		base = outcome.Number
	}
	if len(s.entries) != MaxHistoryRevisions {
		t.Errorf("%d revisions are kept", len(s.entries))
	}
	if latest, known := s.Latest(zoneA); !known || string(latest.Document) != `{"a":2}` {
		t.Errorf("the zone's latest: %v, %v", latest, known)
	}
	if _, known := s.Entry(3); known {
		t.Error("the fleet's first revision is kept")
	}
	if mustApply(t, s, hold(2)); s.chains[zoneA].latestReleased().Number != 1 {
		t.Error("what the zone goes back to is not kept")
	}
}

func TestDocumentBytesAreBounded(t *testing.T) {
	s := NewState(simFleet)
	large := fmt.Sprintf(`{"a":%q}`, strings.Repeat("x", revision.MaxDocumentBytes-100))
	for i := range 2 * MaxTotalDocumentBytes / len(large) {
		scope := revision.Scope{Kind: revision.ProxyKind, Name: fmt.Sprint("p", i)}
		outcome := s.Apply(apply(scope.Name, scope, 0, large))
		if s.documentBytes > MaxTotalDocumentBytes {
			t.Fatalf("%d bytes are kept", s.documentBytes)
		}
		if limit := new(LimitError); i > MaxTotalDocumentBytes/len(large) && !errors.As(outcome.Err, &limit) {
			t.Fatalf("document %d: %v", i, outcome)
		}
	}
}

func TestUnreleasedRevisionsOfAScopeAreBounded(t *testing.T) {
	s := NewState(simFleet)
	base := revision.Number(0)
	for i := range MaxUnreleasedRevisions {
		mustApply(t, s, applyWithCanaries(fmt.Sprint(i), revision.FleetScope, base, "{}", "p1"))
		base = s.NewestNumber()
	}
	limit := new(LimitError)
	if outcome := s.Apply(applyWithCanaries("x", revision.FleetScope, base, "{}", "p1")); !errors.As(outcome.Err, &limit) {
		t.Errorf("one more: %v", outcome)
	}
	mustApply(t, s, apply("at once", revision.FleetScope, base, "{}"))
}

func TestOutcomesAreBounded(t *testing.T) {
	s := NewState(simFleet)
	for i := range MaxRememberedOutcomes + 10 {
		s.Apply(Command{ID: fmt.Sprint(i), Release: &ReleaseCommand{Number: 1}})
	}
	if len(s.outcomes.byID) != MaxRememberedOutcomes || len(s.outcomes.order) != MaxRememberedOutcomes {
		t.Errorf("%d and %d outcomes are kept", len(s.outcomes.byID), len(s.outcomes.order))
	}
}

// everyOutcome gives a state with all stages and all kinds of outcomes.
func stateWithAllOutcomes(t testing.TB) *State {
	s := NewState(simFleet)
	s.Apply(apply("a", revision.FleetScope, 0, `{"html":"<&>\u2028","n":1.50}`))
	s.Apply(applyWithCanaries("b", revision.FleetScope, 1, `{"n":2}`, "p1", "p2"))
	s.Apply(hold(2))
	s.Apply(applyWithCanaries("c", zoneA, 0, `{"n":2}`, "p1"))
	s.Apply(apply("conflict", revision.FleetScope, 1, `{"n":3}`))
	s.Apply(apply("unknown", revision.FleetScope, 9, `{"n":3}`))
	s.Apply(apply("bad", revision.FleetScope, 2, `{"n":`))
	s.Apply(release(2))
	s.Apply(release(99))
	s.outcomes.add("limit", Outcome{Err: &LimitError{Resource: "scopes", Limit: 1}})
	return s
}

func TestASnapshotGivesTheSameState(t *testing.T) {
	s := stateWithAllOutcomes(t)
	text, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	read, err := UnmarshalState(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := read.Marshal()
	if err != nil || string(again) != string(text) {
		t.Errorf("%v\n%s\n%s", err, text, again)
	}
	for _, id := range s.outcomes.order {
		if before, after := fmt.Sprint(s.outcomes.byID[id]), fmt.Sprint(read.outcomes.byID[id]); before != after {
			t.Errorf("%s: %s has become %s", id, before, after)
		}
	}
	before, err := read.Checksum()
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, apply("z", revision.FleetScope, 2, "{}"))
	mustApply(t, read, apply("z", revision.FleetScope, 2, "{}"))
	one, err := s.Checksum()
	if other, otherErr := read.Checksum(); err != nil || otherErr != nil || one != other || one == before {
		t.Errorf("%s (%v) and %s (%v), before %s", one, err, other, otherErr, before)
	}
}

// sealed gives a snapshot's body a right header.
func withHeader(body string) []byte {
	return fmt.Appendf(nil, "{\"format\":%d,\"checksum\":%q}\n%s", SnapshotFormatVersion, revision.Checksum([]byte(body)), body)
}

func TestBadSnapshotsAreRefused(t *testing.T) {
	whole, err := stateWithAllOutcomes(t).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	entry := func(number int, stage, document, checksum string) string {
		return fmt.Sprintf(`{"number":%d,"scope":"fleet","stage":%q,"document":%s,"checksum":%q}`, number, stage, document, checksum)
	}
	empty := revision.Checksum(revision.EmptyDocument)
	second := entry(2, "held", "{}", empty)
	for name, text := range map[string][]byte{
		"nothing":         nil,
		"no body":         []byte(`{"format":1}`),
		"cut":             whole[:len(whole)-5],
		"a bit":           slices.Concat(whole[:len(whole)-9], []byte{whole[len(whole)-9] ^ 1}, whole[len(whole)-8:]),
		"another format":  []byte("{\"format\":99}\n{}"),
		"no JSON":         withHeader("{"),
		"out of order":    withHeader(`{"newest":2,"entries":[` + second + "," + entry(1, "held", "{}", empty) + `]}`),
		"beyond newest":   withHeader(`{"newest":1,"entries":[` + second + `]}`),
		"unknown stage":   withHeader(`{"newest":2,"entries":[` + entry(2, "lost", "{}", empty) + `]}`),
		"wrong checksum":  withHeader(`{"newest":2,"entries":[` + entry(2, "held", `{"a":1}`, empty) + `]}`),
		"no document":     withHeader(`{"newest":2,"entries":[` + entry(2, "held", `null`, empty) + `]}`),
		"endless":         withHeader(`{"newest":18446744073709551615}`),
		"null entry":      withHeader(`{"newest":2,"entries":[null]}`),
		"outcome twice":   withHeader(`{"outcomes":[{"id":"a"},{"id":"a"}]}`),
		"outcome unknown": withHeader(`{"outcomes":[{"id":"a","kind":"odd"}]}`),
		"outcome empty":   withHeader(`{"outcomes":[{"id":"a","kind":"stage"}]}`),
	} {
		bad := new(SnapshotError)
		if _, err := UnmarshalState(text); !errors.As(err, &bad) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
