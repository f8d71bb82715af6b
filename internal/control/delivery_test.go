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

// numbers are those of some scopes.
type scopeNumbers map[revision.Scope]revision.Number

// held lists numbers of scopes.
func scopeDocuments(scopes scopeNumbers) []revision.ScopeDocument {
	var list []revision.ScopeDocument
	for scope, number := range scopes {
		list = append(list, revision.ScopeDocument{Scope: scope, Number: number})
	}
	return list
}

// told gives an update in one line.
func describeUpdate(update *revision.Update) string {
	if update == nil {
		return "nothing"
	}
	text := fmt.Sprint(update.Revision)
	if update.Full {
		text += " whole"
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

// deliveryState has revisions 1, 2, 4 and 6 (on trial at p1) of the fleet, 3 and 5 of zone a, the latter held.
func deliveryState(t testing.TB) *State {
	s := NewState(simFleet)
	for _, command := range []Command{
		apply("1", revision.FleetScope, 0, `{"a":1,`+paddingMember+`}`),
		apply("2", revision.FleetScope, 1, `{"a":2,`+paddingMember+`}`),
		apply("3", zoneA, 0, `{"b":3,`+paddingMember+`}`),
		apply("4", revision.FleetScope, 2, `{"a":4,`+paddingMember+`}`),
		applyWithCanaries("5", zoneA, 3, `{"b":5,`+paddingMember+`}`, "p9"),
		hold(5),
		applyWithCanaries("6", revision.FleetScope, 4, `{"a":6,`+paddingMember+`}`, "p1"),
	} {
		if outcome := s.Apply(command); outcome.Err != nil {
			t.Fatal(command.ID, outcome.Err)
		}
	}
	return s
}

func TestUpdates(t *testing.T) {
	s := deliveryState(t)
	sum := func(list ...revision.Number) string {
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
		proxy    string
		revision revision.Number
		held     scopeNumbers
		checksum string
		want     string
		after    string
	}{
		"a new canary":      {proxy: "p1", want: "6 whole fleet@6 zone:a@3", after: sum(6, 3)},
		"a new other proxy": {proxy: "p2", want: "4 whole fleet@4 zone:a@3", after: sum(4, 3)},
		"a canary behind": {
			"p1", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sum(4, 3), `6 fleet@6 from 4 by {"a":6}`, sum(6, 3)},
		"another that has all": {"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sum(4, 3), "nothing", ""},
		"a wrong checksum":     {"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, sum(4), "4 whole fleet@4 zone:a@3", sum(4, 3)},
		"no checksum":          {"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneA: 3}, "", "4 whole fleet@4 zone:a@3", sum(4, 3)},
		"two behind":           {"p2", 1, scopeNumbers{revision.FleetScope: 1}, sum(1), `4 fleet@4 from 1 by {"a":4} zone:a@3`, sum(4, 3)},
		"holds a held one":     {"p9", 5, scopeNumbers{revision.FleetScope: 4, zoneA: 5}, sum(4, 5), "nothing", ""},
		"and lacks another":    {"p9", 5, scopeNumbers{revision.FleetScope: 2, zoneA: 5}, sum(2, 5), "5 whole fleet@4 zone:a@5", sum(4, 5)},
		"and lost it":          {"p9", 5, scopeNumbers{revision.FleetScope: 4, zoneA: 5}, sum(4), "5 whole fleet@4 zone:a@5", sum(4, 5)},
		"moved from a zone":    {"p2", 4, scopeNumbers{revision.FleetScope: 4, zoneB: 2}, sum(4), "4 whole fleet@4 zone:a@3", sum(4, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			identity := testIdentity
			identity.Proxy = test.proxy
			update, err := s.UpdateFor(revision.Hello{
				Identity: identity, Revision: test.revision, Documents: scopeDocuments(test.held), Checksum: test.checksum,
			})
			if err != nil || describeUpdate(update) != test.want {
				t.Fatalf("%s, %v; wanted %s", describeUpdate(update), err, test.want)
			}
			if update != nil && update.Checksum != test.after {
				t.Errorf("checksum %s; wanted %s", update.Checksum, test.after)
			}
		})
	}
}

func TestUpdatesThatCannotBeGiven(t *testing.T) {
	s := deliveryState(t)
	foreign := testIdentity
	foreign.Fleet = "other"
	for name, test := range map[string]struct {
		hello revision.Hello
		want  any
	}{
		"another fleet":       {revision.Hello{Identity: foreign}, new(*FleetMismatchError)},
		"a scope ahead":       {revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{zoneA: 7})}, new(*ReplicaBehindError)},
		"a number ahead":      {revision.Hello{Identity: testIdentity, Revision: 7}, new(*ReplicaBehindError)},
		"another's number":    {revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{zoneA: 4})}, new(*UnknownRevisionError)},
		"a scope without any": {revision.Hello{Identity: testIdentity, Documents: scopeDocuments(scopeNumbers{cart: 4})}, new(*UnknownRevisionError)},
	} {
		if update, err := s.UpdateFor(test.hello); update != nil || !errors.As(err, test.want) {
			t.Errorf("%s: %v, %v", name, describeUpdate(update), err)
		}
	}
}

func TestANumberThatThePatchLibraryTakesForEqualIsSentWhole(t *testing.T) {
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
		t.Errorf("%s leads to %s", describeUpdate(update), document)
	}
}

// document draws a canonical document.
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

func TestMergedIsWhatAProxyMerges(t *testing.T) {
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
			t.Fatalf("%s, %v; a proxy has %s", got.document(), err, want)
		}
		checksum, err := s.mergedChecksum(entries)
		if err != nil || checksum != revision.Checksum(want) {
			t.Fatalf("checksum %s, %v", checksum, err)
		}
	})
}

func TestWhatIsKeptForManyProxiesIsBounded(t *testing.T) {
	kept := newBoundedCache[int, string](100)
	for i := range 1000 {
		kept.put(i, "value", 7)
		if _, known := kept.get(i); !known || len(kept.values) > 100/7 {
			t.Fatalf("after %d values %d are kept", i, len(kept.values))
		}
	}
}

func TestExplainGivesEachValueItsScope(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("1", revision.FleetScope, 0, `{"limits":{"rate":1,"burst":[2,3]},"x":{"y":1},"e":{},"f":{"g":1}}`),
		apply("2", zoneA, 0, `{"limits":{"rate":4},"x":5,"z":{"a.b":true}}`),
		apply("3", zoneB, 0, `{"limits":{"rate":9}}`),
		applyWithCanaries("4", cart, 0, `{"limits":{"rate":8}}`, "p1"),
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
		t.Errorf("%s\nwanted\n%s", got, want)
	}
}

func TestExplainHasTheValuesOfTheMergedDocument(t *testing.T) {
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
			t.Fatalf("%v; wanted %v", got, want)
		}
	})
}

// leaves gives all values of an object by their paths.
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

func TestDifferences(t *testing.T) {
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
		t.Errorf("%s\nwanted\n%s", got, want)
	}
}

func TestCheckApplyChecksEachCombinationOnce(t *testing.T) {
	s := NewState(simFleet)
	mustApply(t, s,
		apply("1", revision.FleetScope, 0, `{"least":1}`),
		apply("2", zoneA, 0, `{"most":5}`),
		apply("3", zoneB, 0, `{"most":2}`))
	identities := []revision.Identity{testIdentity, testIdentity, testIdentity, {Fleet: simFleet, Proxy: "q", Zone: "b", Service: "cart"}}
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
	wrong := new(CheckError)
	if !errors.As(err, &wrong) || err.Error() != "fleet + zone:b + service:cart: least is above most" {
		t.Errorf("%v", err)
	}
	want := `[{"least":3} {"least":3,"most":5} {"least":3,"most":2}]`
	if fmt.Sprint(checked) != want {
		t.Errorf("%v; wanted %s", checked, want)
	}
	unknown := new(UnknownRevisionError)
	err = s.CheckApply(ApplyCommand{Scope: cart, RollbackOf: 1}, identities, check)
	if !errors.As(err, &unknown) {
		t.Errorf("a rollback to another scope's revision: %v", err)
	}
}

func TestASessionSendsOneUpdateAtATimeAndNoneTwice(t *testing.T) {
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
			t.Fatalf("%s, %v; wanted %s", describeUpdate(update), err, want)
		}
		return update
	}
	report := func(update *revision.Update, verdict revision.Verdict) {
		t.Helper()
		if !session.HandleReport(revision.Report{Revision: update.Revision, Verdict: verdict}) {
			t.Fatal("the report is not taken")
		}
	}
	first := next("4 whole fleet@4 zone:a@3")
	next("nothing")
	if session.HandleReport(revision.Report{Revision: 3, Verdict: revision.InForce}) {
		t.Error("a report on what was never sent is taken")
	}
	report(first, revision.Refused)
	next("nothing")
	mustApply(t, s, release(6))
	second := next("6 whole fleet@6 zone:a@3")
	report(second, revision.InForce)
	next("nothing")
	mustApply(t, s, apply("7", revision.FleetScope, 6, `{"a":7,`+paddingMember+`}`))
	third := next(`7 fleet@7 from 6 by {"a":7}`)
	report(third, revision.Unknown)
	fourth := next("7 whole fleet@7 zone:a@3")
	report(fourth, revision.Unknown)
	next("nothing")
	mustApply(t, s, apply("8", revision.FleetScope, 7, `{"a":8,`+paddingMember+`}`))
	fifth := next("8 whole fleet@8 zone:a@3")
	session.CancelSent()
	next("8 whole fleet@8 zone:a@3")
	if !session.HandleReport(revision.Report{Revision: 8, Verdict: revision.InForce, Checksum: fifth.Checksum}) {
		t.Error("the report is not taken")
	}
	next("nothing")
	if hello := session.Hello(); hello.Revision != 8 || hello.Checksum != fifth.Checksum {
		t.Errorf("%+v", hello)
	}
}

func TestAWatchWithoutIdentityOrOfAnotherProtocolIsRefused(t *testing.T) {
	for _, hello := range []revision.Hello{
		{Protocol: revision.Protocol},
		{Protocol: 99, Identity: testIdentity},
		{Protocol: revision.Protocol, Identity: revision.Identity{Fleet: simFleet, Proxy: "a b"}},
	} {
		if _, err := NewSession(hello); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v", hello, err)
		}
	}
}
