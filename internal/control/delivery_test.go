package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandpass/internal/revision"
)

var testIdentity = revision.Identity{Fleet: simFleet, Proxy: "p1", Region: "eu", Zone: "a", Service: "cart"}

// scopeNumbers maps scopes to revision numbers.
type scopeNumbers map[revision.Scope]revision.Number

// scopeDocuments converts scopeNumbers to a list without documents.
func scopeDocuments(scopes scopeNumbers) []revision.ScopeDocument {
	var list []revision.ScopeDocument
	for scope, number := range scopes {
		list = append(list, revision.ScopeDocument{Scope: scope, Number: number})
	}
	return list
}

// describeUpdate formats an update in one line.
func describeUpdate(update *revision.Update) string {
	if update == nil {
		return "nothing"
	}
	text := fmt.Sprint(update.Revision)
	if update.Full {
		text += " full"
	}
	for _, change := range update.Scopes {
		text += fmt.Sprintf(" %v@%d", change.Scope, change.Number)
		if change.From != 0 {
			text += fmt.Sprintf(" from %d by %s", change.From, change.Patch)
		}
	}
	return text
}

const paddingMember = `"filler":"as long as it takes for a change to be shorter than the whole document"`

// deliveryState returns a state with revisions 1, 2, 4 and 6 of the fleet and 3 and 5 of zone a. Revision 6 is on trial with
// canary p1, and revision 5 is held.
func deliveryState(t testing.TB) *State {
	s := NewState(simFleet)
	for _, command := range []Command{
		apply("1", revision.FleetScope, 0, `{"a":1,`+paddingMember+`}`),
		apply("2", revision.FleetScope, 1, `{"a":2,`+paddingMember+`}`),
		apply("3", zoneA, 0, `{"b":3,`+paddingMember+`}`),
		apply("4", revision.FleetScope, 2, `{"a":4,`+paddingMember+`}`),
		applyTrial("5", zoneA, 3, `{"b":5,`+paddingMember+`}`, "p9"),
		hold(5),
		applyTrial("6", revision.FleetScope, 4, `{"a":6,`+paddingMember+`}`, "p1"),
	} {
		if outcome := s.Apply(command); outcome.Err != nil {
			t.Fatal(command.ID, outcome.Err)
		}
	}
	return s
}

func TestUpdateFor(t *testing.T) {
	s := deliveryState(t)
	sumOf := func(list ...revision.Number) string {
		var documents []revision.Document
		for _, number := range list {
			documents = append(documents, s.entries[number].Document)
		}
		merged, err := revision.Merge(documents...)
		if err != nil {
			t.Fatal(err)
		}
		return revision.Checksum(merged)
	}
	for name, test := range map[string]struct {
		proxy         string
		revision      revision.Number
		held          scopeNumbers
		checksum      string
		want          string
		checksumAfter string
	}{
		"a new canary":      {proxy: "p1", want: "6 full fleet@6 zone:a@3", checksumAfter: sumOf(6, 3)},
		"a new other proxy": {proxy: "p2", want: "4 full fleet@4 zone:a@3", checksumAfter: sumOf(4, 3)},
		"a canary that lags": {
			"p1", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sumOf(4, 3), `6 fleet@6 from 4 by {"a":6}`, sumOf(6, 3)},
		"another proxy that is up to date": {"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sumOf(4, 3), "nothing", ""},
		"a wrong checksum": {
			"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sumOf(4), "4 full fleet@4 zone:a@3", sumOf(4, 3)},
		"no checksum": {
			"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, "", "4 full fleet@4 zone:a@3", sumOf(4, 3)},
		"two revisions behind": {
			"p2", 1, scopeNumbers{revision.FleetScope: 1}, sumOf(1), `4 fleet@4 from 1 by {"a":4} zone:a@3`, sumOf(4, 3)},
		"holds a held revision": {"p9", 5, scopeNumbers{revision.FleetScope: 4, zoneA: 5}, sumOf(4, 5), "nothing", ""},
		"holds it and lacks another": {
			"p9", 5, scopeNumbers{revision.FleetScope: 2, zoneA: 5}, sumOf(2, 5), "5 full fleet@4 zone:a@5", sumOf(4, 5)},
		"holds it with a wrong checksum": {
			"p9", 5, scopeNumbers{revision.FleetScope: 4, zoneA: 5}, sumOf(4), "5 full fleet@4 zone:a@5", sumOf(4, 5)},
		"moved from another zone": {
			"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneB: 2}, sumOf(4), "4 full fleet@4 zone:a@3", sumOf(4, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			identity := testIdentity
			identity.Proxy = test.proxy
			update, err := s.UpdateFor(revision.Hello{
				Identity: identity, Revision: test.revision, Documents: scopeDocuments(test.held), Checksum: test.checksum,
			})
			if err != nil || describeUpdate(update) != test.want {
				t.Fatalf("got %s, %v, want %s", describeUpdate(update), err, test.want)
			}
			if update != nil && update.Checksum != test.checksumAfter {
				t.Errorf("got checksum %s, want %s", update.Checksum, test.checksumAfter)
			}
		})
	}
}

func TestUpdateForErrors(t *testing.T) {
	s := deliveryState(t)
	foreign := testIdentity
	foreign.Fleet = "other"
	for name, test := range map[string]struct {
		hello revision.Hello
		want  any
	}{
		"another fleet": {revision.Hello{Identity: foreign}, new(*FleetMismatchError)},
		"a newer scope revision": {
			revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{zoneA: 7})}, new(*ReplicaBehindError)},
		"a newer revision": {revision.Hello{Identity: testIdentity, Revision: 7}, new(*ReplicaBehindError)},
		"a number of another scope": {
			revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{zoneA: 4})}, new(*UnknownRevisionError)},
		"a scope without revisions": {
			revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{cart: 4})}, new(*UnknownRevisionError)},
	} {
		if update, err := s.UpdateFor(test.hello); update != nil || !errors.As(err, test.want) {
			t.Errorf("%s: got %v, %v, want %T", name, describeUpdate(update), err, test.want)
		}
	}
}

func TestNumberThatPatchLibraryTreatsAsEqualIsSentInFull(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("1", revision.FleetScope, 0, `{"a":9007199254740992,`+paddingMember+`}`),
		apply("2", revision.FleetScope, 1, `{"a":9007199254740993,`+paddingMember+`}`))
	update, err := s.UpdateFor(revision.Hello{
		Identity:  testIdentity,
		Revision:  1,
		Documents: scopeDocuments(scopeNumbers{revision.FleetScope: 1}),
		Checksum:  s.entries[1].Checksum,
	})
	if err != nil || update == nil {
		t.Fatal(update, err)
	}
	document := update.Scopes[0].Document
	if update.Scopes[0].From != 0 {
		if document, err = revision.ApplyPatch(s.entries[1].Document, update.Scopes[0].Patch); err != nil {
			t.Fatal(err)
		}
	}
	if revision.Checksum(document) != update.Checksum {
		t.Errorf("%s produces %s, which does not match its checksum", describeUpdate(update), document)
	}
}

// documentGenerator generates canonical documents.
func documentGenerator() *rapid.Generator[revision.Document] {
	key := rapid.SampledFrom([]string{"a", "b", "c.d", "<", ""})
	var value *rapid.Generator[any]
	value = rapid.Custom(func(t *rapid.T) any {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			return rapid.MapOfN(key, rapid.Deferred(func() *rapid.Generator[any] { return value }), 0, 3).Draw(t, "object")
		case 1:
			return rapid.SliceOfN(rapid.IntRange(0, 9), 0, 2).Draw(t, "list")
		case 2:
			return rapid.String().Draw(t, "text")
		}
		return rapid.Float64Range(-1e9, 1e9).Draw(t, "number")
	})
	return rapid.Custom(func(t *rapid.T) revision.Document {
		text, err := revision.Encode(rapid.MapOfN(key, value, 0, 4).Draw(t, "document"))
		if err != nil {
			t.Fatal(err)
		}
		canonical, err := revision.Canonicalize(text)
		if err != nil {
			t.Fatal(err)
		}
		return canonical
	})
}

func TestMergedTreeEqualsProxyMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(simFleet)
		documents := rapid.SliceOfN(documentGenerator(), 0, 5).Draw(t, "documents")
		var entries []*Entry
		for i, one := range documents {
			entries = append(entries, &Entry{Revision: revision.Revision{Number: revision.Number(i + 1), Document: one}})
		}
		want, err := revision.Merge(documents...)
		if err != nil {
			t.Fatal(err)
		}
		got, err := s.mergedTree(entries)
		if err != nil || string(got.document()) != string(want) {
			t.Fatalf("got %s, %v, a proxy merges %s", got.document(), err, want)
		}
		checksum, err := s.mergedChecksum(entries)
		if err != nil || checksum != revision.Checksum(want) {
			t.Fatalf("got checksum %s, %v, want %s", checksum, err, revision.Checksum(want))
		}
	})
}

func TestBoundedCacheLimit(t *testing.T) {
	cached := newBoundedCache[int, string](100)
	for i := range 1000 {
		cached.put(i, "value", 7)
		if _, found := cached.get(i); !found || len(cached.values) > 100/7 {
			t.Fatalf("after value %d, %d values are cached", i, len(cached.values))
		}
	}
}

func TestValueOriginsNameTheScope(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("1", revision.FleetScope, 0, `{"limits":{"rate":1,"burst":[2,3]},"x":{"y":1},"e":{},"f":{"g":1}}`),
		apply("2", zoneA, 0, `{"limits":{"rate":4},"x":5,"z":{"a.b":true}}`),
		apply("3", zoneB, 0, `{"limits":{"rate":9}}`),
		applyTrial("4", cart, 0, `{"limits":{"rate":8}}`, "p1"),
		apply("5", revision.Scope{Kind: revision.ProxyKind, Name: "p1"}, 0, `{"x":{"w":6},"e":{"h":1},"f":{}}`))
	origins, err := s.ValueOrigins(testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, origin := range origins {
		lines = append(lines, fmt.Sprintf("%s=%s %v@%d", origin.Path, origin.Value, origin.Scope, origin.Number))
	}
	want := `e.h=1 proxy:p1@5
f.g=1 fleet@1
limits.burst=[2,3] fleet@1
limits.rate=4 zone:a@2
x.w=6 proxy:p1@5
z."a.b"=true zone:a@2`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestValueOriginsCoverTheMergedDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(simFleet)
		for i, scope := range testIdentity.Scopes() {
			outcome := s.Apply(apply(fmt.Sprint(i), scope, 0, string(documentGenerator().Draw(t, "document"))))
			if outcome.Err != nil {
				t.Fatal(outcome.Err)
			}
		}
		merged, err := s.mergedTree(s.releasedEntries(testIdentity))
		if err != nil {
			t.Fatal(err)
		}
		origins, err := s.ValueOrigins(testIdentity)
		if err != nil {
			t.Fatal(err)
		}
		var value map[string]any
		decoder := json.NewDecoder(bytes.NewReader(merged.document()))
		decoder.UseNumber()
		if err := decoder.Decode(&value); err != nil {
			t.Fatal(err)
		}
		want := map[string]string{}
		collectLeaves("", value, want)
		got := map[string]string{}
		for _, origin := range origins {
			got[origin.Path] = string(origin.Value)
		}
		if len(origins) != len(want) || !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// collectLeaves collects all values of an object by their paths.
func collectLeaves(path string, object map[string]any, into map[string]string) {
	for key, value := range object {
		if inner, is := value.(map[string]any); is && len(inner) > 0 {
			collectLeaves(joinPath(path, key), inner, into)
			continue
		}
		text, _ := revision.Encode(value)
		into[joinPath(path, key)] = string(text)
	}
}

func TestDiffDocuments(t *testing.T) {
	changes, err := DiffDocuments(
		revision.Document(`{"a":{"b":1,"c":2},"d":[1],"e":1,"f":{"g":1},"same":{"x":1}}`),
		revision.Document(`{"a":{"b":1,"c":3},"d":[1,2],"f":2,"h":{"i":1},"same":{"x":1}}`))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, change := range changes {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", change.Path, change.Before, change.After))
	}
	want := `a.c: 2 -> 3
d: [1] -> [1,2]
e: 1 -> 
f: {"g":1} -> 2
h: ` + " -> " + `{"i":1}`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestCheckApplyChecksEachCombinationOnce(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("1", revision.FleetScope, 0, `{"least":1}`),
		apply("2", zoneA, 0, `{"most":5}`),
		apply("3", zoneB, 0, `{"most":2}`))
	identities := []revision.Identity{
		testIdentity, testIdentity, testIdentity, {Fleet: simFleet, Proxy: "q", Zone: "b", Service: "cart"},
	}
	identities[1].Proxy = "p2"
	identities[2].Service = "stock"
	var checked []string
	command := *apply("x", cart, 0, `{"least":3}`).Apply
	check := func(effective revision.Document) error {
		checked = append(checked, string(effective))
		if strings.Contains(string(effective), `"most":2`) {
			return errors.New("least is above most")
		}
		return nil
	}
	err := s.CheckApply(command, identities, check)
	checkError := new(CheckError)
	if !errors.As(err, &checkError) || err.Error() != "fleet + zone:b + service:cart: least is above most" {
		t.Errorf("got %v", err)
	}
	want := `[{"least":3} {"least":3,"most":5} {"least":3,"most":2}]`
	if fmt.Sprint(checked) != want {
		t.Errorf("got checks of %v, want %s", checked, want)
	}
	unknown := new(UnknownRevisionError)
	err = s.CheckApply(ApplyCommand{Scope: cart, RollbackOf: 1}, identities, check)
	if !errors.As(err, &unknown) {
		t.Errorf("rollback to another scope's revision: got %v", err)
	}
}

func TestSessionSendsOneUpdateAtATimeAndNoRefusedOneAgain(t *testing.T) {
	s := deliveryState(t)
	identity := testIdentity
	identity.Proxy = "p2"
	session, err := NewSession(revision.Hello{Protocol: revision.Protocol, Identity: identity})
	if err != nil {
		t.Fatal(err)
	}
	next := func(want string) *revision.Update {
		t.Helper()
		update, err := session.NextUpdate(s)
		if err != nil || describeUpdate(update) != want {
			t.Fatalf("got %s, %v, want %s", describeUpdate(update), err, want)
		}
		return update
	}
	report := func(update *revision.Update, verdict revision.Verdict) {
		t.Helper()
		if !session.HandleReport(revision.Report{Revision: update.Revision, Verdict: verdict}) {
			t.Fatal("the report is not accepted")
		}
	}
	first := next("4 full fleet@4 zone:a@3")
	next("nothing")
	if session.HandleReport(revision.Report{Revision: 3, Verdict: revision.InForce}) {
		t.Error("a report for an update that was never sent is accepted")
	}
	report(first, revision.Refused)
	next("nothing")
	mustApply(t, s, release(6))
	second := next("6 full fleet@6 zone:a@3")
	report(second, revision.InForce)
	next("nothing")
	mustApply(t, s, apply("7", revision.FleetScope, 6, `{"a":7,`+paddingMember+`}`))
	third := next(`7 fleet@7 from 6 by {"a":7}`)
	report(third, revision.Unknown)
	fourth := next("7 full fleet@7 zone:a@3")
	report(fourth, revision.Unknown)
	next("nothing")
	mustApply(t, s, apply("8", revision.FleetScope, 7, `{"a":8,`+paddingMember+`}`))
	fifth := next("8 full fleet@8 zone:a@3")
	session.CancelSent()
	next("8 full fleet@8 zone:a@3")
	if !session.HandleReport(revision.Report{Revision: 8, Verdict: revision.InForce, Checksum: fifth.Checksum}) {
		t.Error("the report is not accepted")
	}
	next("nothing")
	if hello := session.Hello(); hello.Revision != 8 || hello.Checksum != fifth.Checksum {
		t.Errorf("got hello %+v", hello)
	}
}

func TestNewSessionRefusesInvalidHello(t *testing.T) {
	for _, hello := range []revision.Hello{
		{Protocol: revision.Protocol},
		{Protocol: 99, Identity: testIdentity},
		{Protocol: revision.Protocol, Identity: revision.Identity{Fleet: simFleet, Proxy: "a b"}},
	} {
		if _, err := NewSession(hello); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: got error %v", hello, err)
		}
	}
}
