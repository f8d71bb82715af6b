package configwatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandpass/internal/revision"
)

var (
	identity   = revision.Identity{Fleet: "shop", Proxy: "p1", Region: "eu", Zone: "eu-1", Service: "cart"}
	zone       = revision.Scope{Kind: revision.ZoneKind, Name: "eu-1"}
	ownScope   = revision.Scope{Kind: revision.ProxyKind, Name: "p1"}
	errRefused = errors.New("settings: verbs is missing")
)

// testConfiguration returns revision 3, with one document for the fleet and one for the zone.
func testConfiguration(t testing.TB) Configuration {
	t.Helper()
	c, err := newConfiguration(identity, 3, []revision.ScopeDocument{
		{Scope: revision.FleetScope, Number: 1, Document: revision.Document(`{"settings":{"a":1,"b":1}}`)},
		{Scope: zone, Number: 3, Document: revision.Document(`{"settings":{"b":3}}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newTestMachine(c Configuration, persistent bool) *StateMachine {
	m := NewStateMachine(identity, persistent)
	m.inForce, m.newest = c, c.Revision
	return m
}

func encodeUpdate(u revision.Update) []byte {
	text, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	return text
}

// checksum returns the checksum of the documents merged over each other.
func checksum(t testing.TB, documents ...string) string {
	t.Helper()
	var all []revision.Document
	for _, doc := range documents {
		all = append(all, revision.Document(doc))
	}
	merged, err := revision.Merge(all...)
	if err != nil {
		t.Fatal(err)
	}
	return revision.Checksum(merged)
}

func testUpdate(t testing.TB) revision.Update {
	return revision.Update{Revision: 4, Checksum: checksum(t, `{"settings":{"a":1,"b":1}}`, `{"settings":{"b":4,"c":4}}`),
		Scopes: []revision.Change{{Scope: zone, Number: 4, From: 3, Patch: revision.Document(`{"settings":{"b":4,"c":4}}`)}}}
}

func TestStepsOfAnUpdate(t *testing.T) {
	for _, persistent := range []bool{true, false} {
		m := newTestMachine(testConfiguration(t), persistent)
		step := m.Received(encodeUpdate(testUpdate(t)))
		if step.Step != Check || string(step.Candidate.Effective) != `{"settings":{"a":1,"b":4,"c":4}}` {
			t.Fatalf("%+v", step)
		}
		if step = m.Checked(nil); persistent {
			if step.Step != Save {
				t.Fatalf("%+v", step)
			}
			step = m.Saved(nil)
		}
		if step.Step != Apply || m.InForce().Revision != 3 {
			t.Fatalf("%+v with %d in force", step, m.InForce().Revision)
		}
		end := m.Applied(nil)
		want := &revision.Report{Revision: 4, Verdict: revision.InForce, Checksum: testUpdate(t).Checksum}
		if end.Step != Idle || !reflect.DeepEqual(end.Report, want) || m.InForce().Revision != 4 ||
			m.Counts() != (Counts{InForce: 1}) {
			t.Errorf("%+v, %+v", end.Report, m.Counts())
		}
		hello := m.Hello()
		if hello.Revision != 4 || len(hello.Documents) != 2 || hello.Documents[1].Number != 4 ||
			hello.Documents[1].Document != nil {
			t.Errorf("%+v", hello)
		}
	}
}

func TestFailedStepKeepsTheConfigurationInForce(t *testing.T) {
	for name, fail := range map[string]func(m *StateMachine) Decision{
		"the check": func(m *StateMachine) Decision { return m.Checked(errRefused) },
		"the disk":  func(m *StateMachine) Decision { m.Checked(nil); return m.Saved(errRefused) },
		"applying":  func(m *StateMachine) Decision { m.Checked(nil); m.Saved(nil); return m.Applied(errRefused) },
	} {
		m := newTestMachine(testConfiguration(t), true)
		m.Received(encodeUpdate(testUpdate(t)))
		end := fail(m)
		if end.Step != Idle || end.Report.Verdict != revision.Refused || end.Report.Revision != 4 ||
			!strings.Contains(end.Report.Reason, errRefused.Error()) || end.Report.Checksum != testConfiguration(t).Checksum {
			t.Errorf("%s: %+v", name, end.Report)
		}
		if !reflect.DeepEqual(m.InForce(), testConfiguration(t)) || m.Counts() != (Counts{Refused: 1}) {
			t.Errorf("%s: %+v", name, m.InForce())
		}
		if m.Received(encodeUpdate(testUpdate(t))).Step != Check {
			t.Errorf("%s: the same update is not processed again", name)
		}
	}
}

func TestInvalidUpdates(t *testing.T) {
	document := revision.Document(`{"settings":{"b":4,"c":4}}`)
	full := func(u *revision.Update) {
		u.Full = true
		u.Scopes = []revision.Change{
			{Scope: revision.FleetScope, Number: 1, Document: revision.Document(`{"settings":{"a":1,"b":1}}`)},
			{Scope: zone, Number: 4, Document: document},
		}
	}
	for name, c := range map[string]struct {
		modify    func(u *revision.Update)
		reason    string
		reconnect bool
	}{
		"wrong checksum":       {func(u *revision.Update) { u.Checksum = "f00" }, "checksum f00", false},
		"wrong checksum, full": {func(u *revision.Update) { full(u); u.Checksum = "f00" }, "checksum f00", true},
		"another scope": {func(u *revision.Update) { u.Scopes[0].Scope.Name = "us-1" },
			"scopes[0] zone:us-1: this proxy does not belong", false},
		"another base": {func(u *revision.Update) { u.Scopes[0].From = 2 },
			"the patch applies to number 2, the current number is 3", false},
		"a lower number":           {func(u *revision.Update) { u.Scopes[0].Number = 2 }, "number 2 is below 3", false},
		"no number":                {func(u *revision.Update) { u.Scopes[0].Number = 0 }, "number 0 in an update", false},
		"number above":             {func(u *revision.Update) { u.Scopes[0].Number = 5 }, "number 5 in an update to revision 4", false},
		"no change":                {func(u *revision.Update) { u.Scopes[0].Patch = nil }, "exactly one of patch and document", false},
		"both":                     {func(u *revision.Update) { u.Scopes[0].Document = document }, "exactly one of patch and document", false},
		"a patch in a full update": {func(u *revision.Update) { u.Full = true }, "patch in a full update", true},
		"twice": {func(u *revision.Update) { u.Scopes = append(u.Scopes, u.Scopes[0]) },
			"scopes[1] zone:eu-1: duplicate scope", false},
		"older revision":  {func(u *revision.Update) { u.Revision, u.Scopes[0].Number = 2, 2 }, "revision 2 is below 3", false},
		"older, and full": {func(u *revision.Update) { full(u); u.Revision = 2 }, "revision 2 is below 3", true},
		"same, not full":  {func(u *revision.Update) { u.Revision, u.Scopes[0].Number = 3, 3 }, "is not a full one", false},
		"no revision":     {func(u *revision.Update) { u.Revision = 0 }, "without a revision", true},
		"a null in a document": {func(u *revision.Update) { full(u); u.Scopes[1].Document = revision.Document(`{"x":null}`) },
			"scopes[1] zone:eu-1: x is null", true},
		"nested too deep": {func(u *revision.Update) {
			full(u)
			u.Scopes[1].Document = revision.Document(strings.Repeat(`{"a":`, 70) + "1" + strings.Repeat("}", 70))
		}, "nested", true},
		"too large": {func(u *revision.Update) {
			full(u)
			u.Scopes[1].Document = revision.Document(`{"a":"` + strings.Repeat("x", revision.MaxDocumentBytes) + `"}`)
		}, "are allowed", true},
		"too large as a patch": {func(u *revision.Update) {
			u.Scopes[0].Patch = revision.Document(`{"a":"` + strings.Repeat("x", revision.MaxDocumentBytes) + `"}`)
		}, "are allowed", false},
		"too large together": {func(u *revision.Update) {
			full(u)
			u.Scopes[0].Document = revision.Document(`{"a":"` + strings.Repeat("x", 600_000) + `"}`)
			u.Scopes[1].Document = revision.Document(`{"b":"` + strings.Repeat("x", 600_000) + `"}`)
		}, "are allowed", true},
	} {
		m, update := newTestMachine(testConfiguration(t), true), testUpdate(t)
		c.modify(&update)
		end := m.Received(encodeUpdate(update))
		if end.Step != Idle || end.Report.Verdict != revision.Unknown || end.Report.Revision != update.Revision ||
			!strings.Contains(end.Report.Reason, c.reason) || (end.ReconnectReason != nil) != c.reconnect {
			t.Errorf("%s: %+v, reconnect: %v", name, end.Report, end.ReconnectReason)
		}
		if !reflect.DeepEqual(m.InForce(), testConfiguration(t)) || m.Counts() != (Counts{Unknown: 1}) {
			t.Errorf("%s: %+v", name, m.InForce())
		}
	}
	for text, reason := range map[string]string{
		`{"revision":4,`: "byte 14", `[]`: "byte 1", `{"revision":-1}`: "byte 14", "": "byte 0",
		`{"scopes":[{"scope":"rack:1"}]}`: `scope "rack:1" is unknown`,
		`{"revision":1e400}`:              "byte 17",
	} {
		m := newTestMachine(testConfiguration(t), true)
		end := m.Received([]byte(text))
		if end.Step != Idle || end.Report.Verdict != revision.Unknown || !strings.Contains(end.Report.Reason, reason) ||
			end.ReconnectReason == nil {
			t.Errorf("%s: %+v, reconnect: %v", text, end.Report, end.ReconnectReason)
		}
	}
}

func TestDuplicateUpdate(t *testing.T) {
	m := newTestMachine(testConfiguration(t), true)
	m.Received(encodeUpdate(testUpdate(t)))
	m.Checked(nil)
	m.Saved(nil)
	m.Applied(nil)
	end := m.Received(encodeUpdate(testUpdate(t)))
	if end.Step != Idle || end.Report.Verdict != revision.InForce || end.Report.Revision != 4 {
		t.Errorf("%+v", end.Report)
	}
}

// A revision that was held back is released after a later one: it arrives as a full update with the number in force.
func TestFullUpdateToTheRevisionInForce(t *testing.T) {
	m := newTestMachine(testConfiguration(t), true)
	own := revision.Document(`{"settings":{"d":2}}`)
	update := revision.Update{Revision: 3, Full: true, Scopes: []revision.Change{
		{Scope: revision.FleetScope, Number: 1, Document: testConfiguration(t).Documents[0].Document},
		{Scope: zone, Number: 3, Document: testConfiguration(t).Documents[1].Document},
		{Scope: ownScope, Number: 2, Document: own},
	}, Checksum: checksum(t, string(testConfiguration(t).Effective), string(own))}
	if m.Received(encodeUpdate(update)).Step != Check || m.Checked(nil).Step != Save || m.Saved(nil).Step != Apply {
		t.Fatal("unexpected steps")
	}
	if end := m.Applied(nil); end.Report.Verdict != revision.InForce || len(m.InForce().Documents) != 3 {
		t.Errorf("%+v", end.Report)
	}
}

// A saved revision counts after a restart, even if it was never applied.
func TestUpdateBelowTheSavedRevision(t *testing.T) {
	later := testUpdate(t)
	later.Revision, later.Scopes[0].Number = 6, 6
	between := testUpdate(t)
	between.Revision, between.Scopes[0].Number = 5, 5
	for name, reach6 := range map[string]func(m *StateMachine){
		"saved, not applied": func(m *StateMachine) {
			m.Received(encodeUpdate(later))
			m.Checked(nil)
			m.Saved(nil)
			m.Applied(errRefused)
		},
		"written despite a disk error": func(m *StateMachine) {
			m.Received(encodeUpdate(later))
			m.Checked(nil)
			m.Saved(errRefused)
		},
		"saved by another process, invalid here": func(m *StateMachine) {
			saved := testConfiguration(t)
			saved.Revision = 6
			m.Loaded(saved)
			m.Checked(errRefused)
		},
	} {
		m := newTestMachine(testConfiguration(t), true)
		reach6(m)
		if m.InForce().Revision != 3 {
			t.Fatalf("%s: revision %d in force", name, m.InForce().Revision)
		}
		if end := m.Received(encodeUpdate(between)); end.Step != Idle || !strings.Contains(end.Report.Reason, "5 is below 6") {
			t.Errorf("%s: %+v", name, end.Report)
		}
		if step := m.Received(encodeUpdate(later)); step.Step != Check {
			t.Errorf("%s: the saved revision is not processed: %+v", name, step.Report)
		}
	}
}

func TestOlderSavedConfiguration(t *testing.T) {
	m := newTestMachine(testConfiguration(t), true)
	older := testConfiguration(t)
	older.Revision = 2
	if m.Loaded(older).Step != Idle || m.Loaded(testConfiguration(t)).Step != Idle {
		t.Error("an older configuration is processed")
	}
}

func TestMovedProxyDropsItsOldZone(t *testing.T) {
	moved := identity
	moved.Zone = "eu-2"
	before, err := newConfiguration(moved, 3, testConfiguration(t).Documents)
	if err != nil || string(before.Effective) != `{"settings":{"a":1,"b":1}}` {
		t.Fatalf("%s, %v", before.Effective, err)
	}
	m := NewStateMachine(moved, true)
	m.Loaded(before)
	m.Checked(nil)
	m.Applied(nil)
	m.Received(encodeUpdate(revision.Update{Revision: 5, Checksum: checksum(t, `{"settings":{"a":5,"b":1}}`),
		Scopes: []revision.Change{
			{Scope: revision.FleetScope, Number: 5, From: 1, Patch: revision.Document(`{"settings":{"a":5}}`)}}}))
	m.Checked(nil)
	m.Saved(nil)
	if end := m.Applied(nil); end.Report.Verdict != revision.InForce || len(m.InForce().Documents) != 1 {
		t.Errorf("%+v, %+v", end.Report, m.InForce().Documents)
	}
}

func TestOverlay(t *testing.T) {
	local := ReloadableConfig{Discovery: "127.0.0.1:1",
		Settings: json.RawMessage(`{"me": 0, "x": null, "limits": {"a": 1, "b": 1.50}}`)}
	same, err := local.Overlay(nil)
	if err != nil || !reflect.DeepEqual(same, local) {
		t.Errorf("%+v, %v", same, err)
	}
	overlaid, err := local.Overlay(revision.Document(`{"peers":["127.0.0.1:2"],"settings":{"limits":{"a":2}}}`))
	want := `{"me":0,"x":null,"limits":{"a":2,"b":1.50}}`
	if err != nil || string(overlaid.Settings) != want || overlaid.Discovery != local.Discovery || len(overlaid.Peers) != 1 {
		t.Errorf("%s %+v, %v", overlaid.Settings, overlaid, err)
	}
	overlaid, err = (ReloadableConfig{}).Overlay(revision.Document(`{"discovery":"x"}`))
	if err != nil || overlaid.Settings != nil || overlaid.Peers != nil {
		t.Errorf("%+v, %v", overlaid, err)
	}
	for text, reason := range map[string]string{
		`{"known":{},"listen":"x"}`: "known: it needs a start",
		`{"discovery":3}`:           "cannot unmarshal", `{"peers":"x"}`: "cannot unmarshal",
	} {
		if _, err := local.Overlay(revision.Document(text)); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// history simulates a fleet's revisions and one proxy that receives them: its process, its disk and the updates in flight.
type history struct {
	revisions []Configuration // configurations by revision, from 0
	machine   *StateMachine
	disk      Configuration
	current   Decision // the proxy's current step
	inFlight  [][]byte // updates sent, not yet lost
	highest   revision.Number
}

func newHistory() *history {
	return &history{revisions: []Configuration{{}}, machine: NewStateMachine(identity, true)}
}

// change adds a revision.
func (h *history) change(t *rapid.T) {
	scope := rapid.SampledFrom(identity.Scopes()).Draw(t, "scope")
	document := revision.Document(fmt.Sprintf(`{"settings":{%q:%d}}`, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
		rapid.IntRange(0, 3).Draw(t, "value")))
	last := h.revisions[len(h.revisions)-1]
	number := revision.Number(len(h.revisions))
	var documents []revision.ScopeDocument
	for _, doc := range last.Documents {
		if doc.Scope != scope {
			documents = append(documents, doc)
		}
	}
	next, err := newConfiguration(identity, number,
		append(documents, revision.ScopeDocument{Scope: scope, Number: number, Document: document}))
	if err != nil {
		t.Fatal(err)
	}
	h.revisions = append(h.revisions, next)
}

// send sends an update from any revision to the same or a later one.
func (h *history) send(t *rapid.T) {
	h.sendFrom(t, h.revisions[rapid.IntRange(0, len(h.revisions)-1).Draw(t, "from")])
}

func (h *history) sendFrom(t *rapid.T, from Configuration) {
	to := h.revisions[rapid.IntRange(int(from.Revision), len(h.revisions)-1).Draw(t, "to")]
	update := revision.Update{Revision: to.Revision, Checksum: to.Checksum,
		Full: from.Revision == 0 || from.Revision == to.Revision || rapid.Bool().Draw(t, "full")}
	for _, doc := range to.Documents {
		before := from.document(doc.Scope)
		change := revision.Change{Scope: doc.Scope, Number: doc.Number}
		if update.Full {
			change.Document = doc.Document
		} else if before.Number == doc.Number {
			continue
		} else {
			var err error
			change.From = before.Number
			if change.Patch, err = revision.Diff(before.Document, doc.Document); err != nil {
				t.Fatal(err)
			}
		}
		update.Scopes = append(update.Scopes, change)
	}
	text := encodeUpdate(update)
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
	case 1:
		text = []byte(strings.Replace(string(text), "settings", "setting", 1))
	case 2:
		text = []byte(strings.Replace(string(text), "eu", "us", 1))
	}
	h.inFlight = append(h.inFlight, text)
}

// deliver delivers any update in flight, possibly again later.
func (h *history) deliver(t *rapid.T) {
	if h.finish(t); len(h.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.inFlight)-1).Draw(t, "which")
	h.current = h.machine.Received(h.inFlight[i])
	if rapid.Bool().Draw(t, "gone") {
		h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
	}
}

// step executes the current step, with or without a failure.
func (h *history) step(t *rapid.T) {
	var err error
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		err = errRefused
	}
	candidate := h.current.Candidate
	switch h.current.Step {
	case Idle:
		return
	case Check:
		h.current = h.machine.Checked(err)
	case Save:
		if err == nil || rapid.Bool().Draw(t, "written despite the error") {
			h.write(t, candidate)
		}
		h.current = h.machine.Saved(err)
	case Apply:
		h.current = h.machine.Applied(err)
	}
	r := h.current.Report
	if r != nil && r.Verdict == revision.InForce && (h.disk.Revision < r.Revision || h.machine.InForce().Revision != r.Revision) {
		t.Fatalf("reported revision %d in force, but %d is in force and %d is saved",
			r.Revision, h.machine.InForce().Revision, h.disk.Revision)
	}
}

func (h *history) write(t *rapid.T, c Configuration) {
	if c.Revision < h.disk.Revision {
		t.Fatalf("revision %d written over %d", c.Revision, h.disk.Revision)
	}
	h.disk = c
}

// finish executes steps until the proxy is idle.
func (h *history) finish(t *rapid.T) {
	for h.current.Step != Idle {
		h.step(t)
	}
}

// next sends the update that applies to the configuration in force, as a replica does that knows it.
func (h *history) next(t *rapid.T) {
	h.sendFrom(t, h.revisions[h.machine.InForce().Revision])
	if h.current.Step == Idle {
		h.current = h.machine.Received(h.inFlight[len(h.inFlight)-1])
	}
}

// restart ends the process at any step; a write in progress may or may not have reached the disk.
func (h *history) restart(t *rapid.T) {
	if h.current.Step == Save && rapid.Bool().Draw(t, "written") {
		h.write(t, h.current.Candidate)
	}
	h.machine, h.current = NewStateMachine(identity, true), Decision{}
	if h.machine.Loaded(h.disk).Step == Check {
		h.machine.Checked(nil)
		h.machine.Applied(nil)
	}
}

func (h *history) localChanged(t *rapid.T) {
	if h.current.Step == Idle {
		h.current = h.machine.LocalChanged()
	}
}

// check runs after every action: the configuration in force is one of the fleet's revisions, complete, and never older than
// before. A scope may have an earlier number than in that revision only if the content is equal, as its checksum shows.
func (h *history) check(t *rapid.T) {
	c := h.machine.InForce()
	if c.Revision < h.highest {
		t.Fatalf("revision %d in force after %d", c.Revision, h.highest)
	}
	h.highest = c.Revision
	want := h.revisions[c.Revision]
	if c.Checksum != want.Checksum || string(c.Effective) != string(want.Effective) {
		t.Fatalf("revision %d is %s, but %s is in force", c.Revision, want.Effective, c.Effective)
	}
	for _, doc := range c.Documents {
		if number := want.document(doc.Scope).Number; doc.Number > number {
			t.Fatalf("scope %s has number %d, want at most %d", doc.Scope, doc.Number, number)
		}
	}
}

// Runs random histories with lost, duplicated, reordered and damaged updates, failing checks and disks, and restarts at any step.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		t.Repeat(map[string]func(*rapid.T){
			"change": h.change, "send": h.send, "send more": h.send, "deliver": h.deliver, "step": h.step,
			"finish": h.finish, "next": h.next, "next again": h.next,
			"restart": h.restart, "local changed": h.localChanged, "": h.check,
		})
	})
}

// No input may cause a panic, or a candidate whose checksum differs from the update's own.
func FuzzUpdate(f *testing.F) {
	f.Add(encodeUpdate(testUpdate(f)))
	f.Add([]byte(`{"revision":4,"whole":true,"scopes":[{"scope":"fleet","number":4,"document":{"a":[1]}}],"checksum":"x"}`))
	f.Add([]byte(`{"revision":4,"scopes":[{"scope":"zone:eu-1","number":4,"from":3,"patch":{"settings":null}}]}`))
	f.Add([]byte(`{"revision":4,"scopes":[{"scope":"zone:eu-1","number":4,"from":3,"patch":[1]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		machine := newTestMachine(testConfiguration(t), true)
		end := machine.Received(text)
		if end.Step == Idle {
			if end.Report == nil || strings.ContainsAny(end.Report.Reason, "\n\r") ||
				!reflect.DeepEqual(machine.InForce(), testConfiguration(t)) {
				t.Fatalf("%+v", end.Report)
			}
			return
		}
		if end.Candidate.Revision < 3 || revision.Checksum(end.Candidate.Effective) != end.Candidate.Checksum {
			t.Fatalf("%+v", end.Candidate)
		}
		if _, err := (ReloadableConfig{}).Overlay(end.Candidate.Effective); err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatal(err)
		}
	})
}
