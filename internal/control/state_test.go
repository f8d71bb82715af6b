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

// apply returns a command that adds a revision without canaries.
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

// applyTrial returns a command that adds a revision with canaries.
func applyTrial(id string, scope revision.Scope, base revision.Number, document string, canaries ...string) Command {
	command := apply(id, scope, base, document)
	command.Apply.Canaries = canaries
	return command
}

// rollback returns a command that restores the document of an earlier revision.
func rollback(scope revision.Scope, base, to revision.Number) Command {
	return Command{ID: "rollback", Apply: &ApplyCommand{Scope: scope, Base: base, RollbackOf: to}}
}

// release returns the command that releases a revision.
func release(number revision.Number) Command { return *releaseCommand(number) }

// hold returns the command that holds a revision because p1 refused it.
func hold(number revision.Number) Command { return *holdCommand(number, "p1", "no such key") }

// mustApply applies commands and fails the test if one is refused.
func mustApply(t *testing.T, s *State, commands ...Command) {
	t.Helper()
	for _, command := range commands {
		if outcome := s.Apply(command); outcome.Err != nil {
			t.Fatalf("%s: %v", command.ID, outcome.Err)
		}
	}
}

// stages formats the stages of all revisions, in ascending order.
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
		"a trial keeps the released revision": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyTrial("b", revision.FleetScope, 1, "{}", "p1")},
			"1 released, 2 trial",
		},
		"a trial is released": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyTrial("b", revision.FleetScope, 1, "{}", "p1"), release(2)},
			"1 superseded, 2 released",
		},
		"a trial is held": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyTrial("b", revision.FleetScope, 1, "{}", "p1"), hold(2)},
			"1 released, 2 held",
		},
		"held after its release": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyTrial("b", revision.FleetScope, 1, "{}", "p1"), release(2), hold(2)},
			"1 released, 2 held",
		},
		"a revision after a held one": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), applyTrial("b", revision.FleetScope, 1, "{}", "p1"), hold(2),
				apply("c", revision.FleetScope, 2, "{}")},
			"1 superseded, 2 held, 3 released",
		},
		"a trial is superseded": {
			[]Command{applyTrial("a", revision.FleetScope, 0, "{}", "p1"), applyTrial("b", revision.FleetScope, 1, "{}", "p2"),
				release(2)},
			"1 superseded, 2 released",
		},
		"scopes are independent": {
			[]Command{apply("a", revision.FleetScope, 0, "{}"), apply("b", zoneA, 0, "{}"), apply("c", revision.FleetScope, 1, "{}")},
			"1 superseded, 2 released, 3 released",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s, test.commands...)
			if got := stages(s); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestRefusedCommandsHaveNoEffect(t *testing.T) {
	long := strings.Repeat("x", MaxReasonBytes+1)
	for name, test := range map[string]struct {
		command Command
		want    any
	}{
		"stale base":            {apply("x", revision.FleetScope, 1, "{}"), new(*ConflictError)},
		"base not yet assigned": {apply("x", revision.FleetScope, 9, "{}"), new(*UnknownRevisionError)},
		"no scope":              {apply("x", revision.Scope{}, 0, "{}"), new(*InvalidCommandError)},
		"unknown kind":          {apply("x", revision.Scope{Kind: "rack", Name: "a"}, 0, "{}"), new(*InvalidCommandError)},
		"truncated document":    {apply("x", revision.FleetScope, 2, `{"a":`), new(*InvalidCommandError)},
		"null in the document":  {apply("x", revision.FleetScope, 2, `{"a":null}`), new(*InvalidCommandError)},
		"no document":           {apply("x", revision.FleetScope, 2, ""), new(*InvalidCommandError)},
		"no ID":                 {apply("", revision.FleetScope, 2, "{}"), new(*InvalidCommandError)},
		"long ID": {
			apply(strings.Repeat("x", MaxCommandIDBytes+1), revision.FleetScope, 2, "{}"), new(*InvalidCommandError)},
		"invalid canary name":        {applyTrial("x", revision.FleetScope, 2, "{}", "p 1"), new(*InvalidCommandError)},
		"no variant set":             {Command{ID: "x"}, new(*InvalidCommandError)},
		"long reason":                {Command{ID: "x", Hold: &HoldCommand{Number: 2, Reason: long}}, new(*InvalidCommandError)},
		"invalid UTF-8":              {Command{ID: "x", Hold: &HoldCommand{Number: 2, Reason: "\xff"}}, new(*InvalidCommandError)},
		"two variants set":           {Command{ID: "x", Hold: &HoldCommand{}, Release: &ReleaseCommand{}}, new(*InvalidCommandError)},
		"release of an older one":    {release(1), new(*StageError)},
		"hold of an older one":       {hold(1), new(*StageError)},
		"release of an unknown one":  {release(9), new(*UnknownRevisionError)},
		"rollback to an unknown one": {rollback(revision.FleetScope, 2, 9), new(*UnknownRevisionError)},
		"rollback across scopes":     {rollback(zoneB, 0, 1), new(*UnknownRevisionError)},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(simFleet)
			mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`), apply("b", revision.FleetScope, 1, `{"a":2}`))
			before := stages(s)
			outcome := s.Apply(test.command)
			if outcome.Err == nil || !errors.As(outcome.Err, test.want) {
				t.Errorf("got error %v, want %T", outcome.Err, test.want)
			}
			if strings.Contains(fmt.Sprint(outcome.Err), "\n") {
				t.Errorf("the error has more than one line: %q", outcome.Err)
			}
			if after := stages(s); after != before || s.NewestNumber() != 2 {
				t.Errorf("stages changed from %s to %s", before, after)
			}
		})
	}
}

func TestConflictListsInterveningChanges(t *testing.T) {
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
	var listed []string
	for _, change := range conflict.Changes {
		listed = append(listed, fmt.Sprint(change.Number, change.Author, change.Reason, change.Keys))
	}
	want := "[3annabecause of c[limits.rate] 4annabecause of d[x z]]"
	if fmt.Sprint(listed) != want || conflict.Newest != 4 {
		t.Errorf("got %v with newest %d, want %s with newest 4", listed, conflict.Newest, want)
	}
}

func TestRepeatedCommandIDHasNoEffect(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`))
	refused := s.Apply(apply("b", revision.FleetScope, 2, `{"a":2}`))
	mustApply(t, s, apply("c", revision.FleetScope, 1, `{"a":3}`))
	if outcome := s.Apply(apply("a", revision.FleetScope, 2, `{"a":4}`)); outcome.Number != 1 || outcome.Err != nil {
		t.Errorf("second command a: got %v", outcome)
	}
	// The base exists now, but the submitter was told that the command was refused.
	if outcome := s.Apply(apply("b", revision.FleetScope, 2, `{"a":2}`)); outcome.Err != refused.Err {
		t.Errorf("second command b: got %v, the first got %v", outcome, refused)
	}
	if s.NewestNumber() != 2 {
		t.Errorf("newest revision is %d, want 2", s.NewestNumber())
	}
	if outcome, found := s.Outcome("c"); !found || outcome.Number != 2 {
		t.Errorf("outcome of c: got %v, %v", outcome, found)
	}
	if _, found := s.Outcome("d"); found {
		t.Error("there is an outcome of d, which was never applied")
	}
}

func TestRollbackCreatesNewRevision(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s, apply("a", revision.FleetScope, 0, `{"a":1}`), apply("b", revision.FleetScope, 1, `{"a":2}`))
	mustApply(t, s, rollback(revision.FleetScope, 2, 1))
	latest, _ := s.Latest(revision.FleetScope)
	if latest.Number != 3 || string(latest.Document) != `{"a":1}` || latest.RollbackOf != 1 || latest.Previous != 2 {
		t.Errorf("got %+v", latest)
	}
}

func TestHistoryIsLimitedAndRetainsRequiredRevisions(t *testing.T) {
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
		t.Errorf("%d revisions are retained, want %d", len(s.entries), MaxHistoryRevisions)
	}
	if latest, found := s.Latest(zoneA); !found || string(latest.Document) != `{"a":2}` {
		t.Errorf("latest revision of the zone: got %v, %v", latest, found)
	}
	if _, found := s.Entry(3); found {
		t.Error("the fleet's first revision is still retained")
	}
	if mustApply(t, s, hold(2)); s.chains[zoneA].latestReleased().Number != 1 {
		t.Error("the revision that the zone falls back to is not retained")
	}
}

func TestDocumentBytesAreLimited(t *testing.T) {
	s := NewState(simFleet)
	large := fmt.Sprintf(`{"a":%q}`, strings.Repeat("x", revision.MaxDocumentBytes-100))
	for i := range 2 * MaxTotalDocumentBytes / len(large) {
		scope := revision.Scope{Kind: revision.ProxyKind, Name: fmt.Sprint("p", i)}
		outcome := s.Apply(apply(scope.Name, scope, 0, large))
		if s.documentBytes > MaxTotalDocumentBytes {
			t.Fatalf("%d bytes are retained", s.documentBytes)
		}
		if limit := new(LimitError); i > MaxTotalDocumentBytes/len(large) && !errors.As(outcome.Err, &limit) {
			t.Fatalf("document %d: got %v, want a LimitError", i, outcome)
		}
	}
}

func TestUnreleasedRevisionsOfAScopeAreLimited(t *testing.T) {
	s := NewState(simFleet)
	base := revision.Number(0)
	for i := range MaxUnreleasedRevisions {
		mustApply(t, s, applyTrial(fmt.Sprint(i), revision.FleetScope, base, "{}", "p1"))
		base = s.NewestNumber()
	}
	limit := new(LimitError)
	if outcome := s.Apply(applyTrial("x", revision.FleetScope, base, "{}", "p1")); !errors.As(outcome.Err, &limit) {
		t.Errorf("one more than the limit: got %v, want a LimitError", outcome)
	}
	mustApply(t, s, apply("at once", revision.FleetScope, base, "{}"))
}

func TestRememberedOutcomesAreLimited(t *testing.T) {
	s := NewState(simFleet)
	for i := range MaxRememberedOutcomes + 10 {
		s.Apply(Command{ID: fmt.Sprint(i), Release: &ReleaseCommand{Number: 1}})
	}
	if len(s.outcomes.byID) != MaxRememberedOutcomes || len(s.outcomes.order) != MaxRememberedOutcomes {
		t.Errorf("%d outcomes and %d IDs are retained", len(s.outcomes.byID), len(s.outcomes.order))
	}
}

// stateWithAllOutcomes returns a state with all stages and all kinds of outcomes.
func stateWithAllOutcomes(t testing.TB) *State {
	s := NewState(simFleet)
	s.Apply(apply("a", revision.FleetScope, 0, `{"html":"<&>\u2028","n":1.50}`))
	s.Apply(applyTrial("b", revision.FleetScope, 1, `{"n":2}`, "p1", "p2"))
	s.Apply(hold(2))
	s.Apply(applyTrial("c", zoneA, 0, `{"n":2}`, "p1"))
	s.Apply(apply("conflict", revision.FleetScope, 1, `{"n":3}`))
	s.Apply(apply("unknown", revision.FleetScope, 9, `{"n":3}`))
	s.Apply(apply("bad", revision.FleetScope, 2, `{"n":`))
	s.Apply(release(2))
	s.Apply(release(99))
	s.outcomes.add("limit", Outcome{Err: &LimitError{Resource: "scopes", Limit: 1}})
	return s
}

func TestSnapshotRestoresTheSameState(t *testing.T) {
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
		t.Errorf("error %v, marshaled\n%s\nand after reading it\n%s", err, text, again)
	}
	for _, id := range s.outcomes.order {
		if before, after := fmt.Sprint(s.outcomes.byID[id]), fmt.Sprint(read.outcomes.byID[id]); before != after {
			t.Errorf("outcome of %s changed from %s to %s", id, before, after)
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
		t.Errorf("checksums %s (%v) and %s (%v), %s before the command", one, err, other, otherErr, before)
	}
}

// withHeader prepends a valid header to a snapshot body.
func withHeader(body string) []byte {
	return fmt.Appendf(nil, "{\"format\":%d,\"checksum\":%q}\n%s", SnapshotFormatVersion, revision.Checksum([]byte(body)), body)
}

func TestInvalidSnapshotsAreRefused(t *testing.T) {
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
		"empty":                  nil,
		"no body":                []byte(`{"format":1}`),
		"truncated":              whole[:len(whole)-5],
		"a flipped bit":          slices.Concat(whole[:len(whole)-9], []byte{whole[len(whole)-9] ^ 1}, whole[len(whole)-8:]),
		"unknown format version": []byte("{\"format\":99}\n{}"),
		"invalid JSON":           withHeader("{"),
		"out of order":           withHeader(`{"newest":2,"entries":[` + second + "," + entry(1, "held", "{}", empty) + `]}`),
		"number above newest":    withHeader(`{"newest":1,"entries":[` + second + `]}`),
		"unknown stage":          withHeader(`{"newest":2,"entries":[` + entry(2, "lost", "{}", empty) + `]}`),
		"wrong checksum":         withHeader(`{"newest":2,"entries":[` + entry(2, "held", `{"a":1}`, empty) + `]}`),
		"no document":            withHeader(`{"newest":2,"entries":[` + entry(2, "held", `null`, empty) + `]}`),
		"number too high":        withHeader(`{"newest":18446744073709551615}`),
		"null entry":             withHeader(`{"newest":2,"entries":[null]}`),
		"duplicate outcome":      withHeader(`{"outcomes":[{"id":"a"},{"id":"a"}]}`),
		"unknown error kind":     withHeader(`{"outcomes":[{"id":"a","kind":"odd"}]}`),
		"missing error":          withHeader(`{"outcomes":[{"id":"a","kind":"stage"}]}`),
	} {
		invalid := new(SnapshotError)
		if _, err := UnmarshalState(text); !errors.As(err, &invalid) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
