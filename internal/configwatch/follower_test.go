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

// holds is a configuration with one document for the fleet and one for the zone, as of revision 3.
func holds(t testing.TB) Configuration {
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

func following(c Configuration, keeps bool) *StateMachine {
	f := NewStateMachine(identity, keeps)
	f.inForce, f.newest = c, c.Revision
	return f
}

func encoded(u revision.Update) []byte {
	text, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	return text
}

// sum is the checksum of the documents laid over each other.
func sum(t testing.TB, documents ...string) string {
	t.Helper()
	var all []revision.Document
	for _, one := range documents {
		all = append(all, revision.Document(one))
	}
	merged, err := revision.Merge(all...)
	if err != nil {
		t.Fatal(err)
	}
	return revision.Checksum(merged)
}

func good(t testing.TB) revision.Update {
	return revision.Update{Revision: 4, Checksum: sum(t, `{"settings":{"a":1,"b":1}}`, `{"settings":{"b":4,"c":4}}`),
		Scopes: []revision.Change{{Scope: zone, Number: 4, From: 3, Patch: revision.Document(`{"settings":{"b":4,"c":4}}`)}}}
}

func TestAnUpdateIsCheckedThenSavedThenTakenOver(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		f := following(holds(t), keeps)
		step := f.Received(encoded(good(t)))
		if step.Step != Check || string(step.Candidate.Effective) != `{"settings":{"a":1,"b":4,"c":4}}` {
			t.Fatalf("%+v", step)
		}
		if step = f.Checked(nil); keeps {
			if step.Step != Save {
				t.Fatalf("%+v", step)
			}
			step = f.Saved(nil)
		}
		if step.Step != Apply || f.InForce().Revision != 3 {
			t.Fatalf("%+v with %d in force", step, f.InForce().Revision)
		}
		end := f.Applied(nil)
		want := &revision.Report{Revision: 4, Verdict: revision.InForce, Checksum: good(t).Checksum}
		if end.Step != Idle || !reflect.DeepEqual(end.Report, want) || f.InForce().Revision != 4 || f.Counts() != (Counts{InForce: 1}) {
			t.Errorf("%+v, %+v", end.Report, f.Counts())
		}
		hello := f.Hello()
		if hello.Revision != 4 || len(hello.Documents) != 2 || hello.Documents[1].Number != 4 || hello.Documents[1].Document != nil {
			t.Errorf("%+v", hello)
		}
	}
}

func TestWhatFailsLeavesWhatWasInForce(t *testing.T) {
	for name, fail := range map[string]func(f *StateMachine) Decision{
		"the check":    func(f *StateMachine) Decision { return f.Checked(errRefused) },
		"the disk":     func(f *StateMachine) Decision { f.Checked(nil); return f.Saved(errRefused) },
		"the takeover": func(f *StateMachine) Decision { f.Checked(nil); f.Saved(nil); return f.Applied(errRefused) },
	} {
		f := following(holds(t), true)
		f.Received(encoded(good(t)))
		end := fail(f)
		if end.Step != Idle || end.Report.Verdict != revision.Refused || end.Report.Revision != 4 ||
			!strings.Contains(end.Report.Reason, errRefused.Error()) || end.Report.Checksum != holds(t).Checksum {
			t.Errorf("%s: %+v", name, end.Report)
		}
		if !reflect.DeepEqual(f.InForce(), holds(t)) || f.Counts() != (Counts{Refused: 1}) {
			t.Errorf("%s: %+v", name, f.InForce())
		}
		if f.Received(encoded(good(t))).Step != Check {
			t.Errorf("%s: the same update is not looked at again", name)
		}
	}
}

func TestWhatDoesNotFollowIsUnknown(t *testing.T) {
	document := revision.Document(`{"settings":{"b":4,"c":4}}`)
	whole := func(u *revision.Update) {
		u.Full = true
		u.Scopes = []revision.Change{
			{Scope: revision.FleetScope, Number: 1, Document: revision.Document(`{"settings":{"a":1,"b":1}}`)},
			{Scope: zone, Number: 4, Document: document},
		}
	}
	for name, c := range map[string]struct {
		spoil  func(u *revision.Update)
		reason string
		giveUp bool
	}{
		"wrong checksum":   {func(u *revision.Update) { u.Checksum = "f00" }, "checksum f00", false},
		"wrong, and whole": {func(u *revision.Update) { whole(u); u.Checksum = "f00" }, "checksum f00", true},
		"another scope": {func(u *revision.Update) { u.Scopes[0].Scope.Name = "us-1" },
			"scopes[0] zone:us-1: this proxy does not lie", false},
		"a gap":              {func(u *revision.Update) { u.Scopes[0].From = 2 }, "a patch of 2, and 3 is held", false},
		"a lower number":     {func(u *revision.Update) { u.Scopes[0].Number = 2 }, "number 2 is below 3", false},
		"no number":          {func(u *revision.Update) { u.Scopes[0].Number = 0 }, "number 0 in an update", false},
		"a number above":     {func(u *revision.Update) { u.Scopes[0].Number = 5 }, "number 5 in an update to revision 4", false},
		"no change":          {func(u *revision.Update) { u.Scopes[0].Patch = nil }, "one of patch and document", false},
		"both":               {func(u *revision.Update) { u.Scopes[0].Document = document }, "one of patch and document", false},
		"a patch in a whole": {func(u *revision.Update) { u.Full = true }, "a patch where the whole is due", true},
		"twice": {func(u *revision.Update) { u.Scopes = append(u.Scopes, u.Scopes[0]) },
			"scopes[1] zone:eu-1: it comes twice", false},
		"back":            {func(u *revision.Update) { u.Revision, u.Scopes[0].Number = 2, 2 }, "revision 2 is below 3", false},
		"back, and whole": {func(u *revision.Update) { whole(u); u.Revision = 2 }, "revision 2 is below 3", true},
		"again, in part":  {func(u *revision.Update) { u.Revision, u.Scopes[0].Number = 3, 3 }, "without the whole", false},
		"no revision":     {func(u *revision.Update) { u.Revision = 0 }, "without a revision", true},
		"a null in a document": {func(u *revision.Update) { whole(u); u.Scopes[1].Document = revision.Document(`{"x":null}`) },
			"scopes[1] zone:eu-1: x is null", true},
		"nested too deep": {func(u *revision.Update) {
			whole(u)
			u.Scopes[1].Document = revision.Document(strings.Repeat(`{"a":`, 70) + "1" + strings.Repeat("}", 70))
		}, "nested", true},
		"too large": {func(u *revision.Update) {
			whole(u)
			u.Scopes[1].Document = revision.Document(`{"a":"` + strings.Repeat("x", revision.MaxDocumentBytes) + `"}`)
		}, "are allowed", true},
		"too large as a patch": {func(u *revision.Update) {
			u.Scopes[0].Patch = revision.Document(`{"a":"` + strings.Repeat("x", revision.MaxDocumentBytes) + `"}`)
		}, "are allowed", false},
		"too large together": {func(u *revision.Update) {
			whole(u)
			u.Scopes[0].Document = revision.Document(`{"a":"` + strings.Repeat("x", 600_000) + `"}`)
			u.Scopes[1].Document = revision.Document(`{"b":"` + strings.Repeat("x", 600_000) + `"}`)
		}, "are allowed", true},
	} {
		f, update := following(holds(t), true), good(t)
		c.spoil(&update)
		end := f.Received(encoded(update))
		if end.Step != Idle || end.Report.Verdict != revision.Unknown || end.Report.Revision != update.Revision ||
			!strings.Contains(end.Report.Reason, c.reason) || (end.ReconnectReason != nil) != c.giveUp {
			t.Errorf("%s: %+v, given up %v", name, end.Report, end.ReconnectReason)
		}
		if !reflect.DeepEqual(f.InForce(), holds(t)) || f.Counts() != (Counts{Unknown: 1}) {
			t.Errorf("%s: %+v", name, f.InForce())
		}
	}
	for text, reason := range map[string]string{
		`{"revision":4,`: "byte 14", `[]`: "byte 1", `{"revision":-1}`: "byte 14", "": "byte 0",
		`{"scopes":[{"scope":"rack:1"}]}`: `scope "rack:1" is unknown`,
		`{"revision":1e400}`:              "byte 17",
	} {
		f := following(holds(t), true)
		end := f.Received([]byte(text))
		if end.Step != Idle || end.Report.Verdict != revision.Unknown || !strings.Contains(end.Report.Reason, reason) ||
			end.ReconnectReason == nil {
			t.Errorf("%s: %+v, given up %v", text, end.Report, end.ReconnectReason)
		}
	}
}

func TestAnUpdateThatComesTwiceIsInForce(t *testing.T) {
	f := following(holds(t), true)
	f.Received(encoded(good(t)))
	f.Checked(nil)
	f.Saved(nil)
	f.Applied(nil)
	end := f.Received(encoded(good(t)))
	if end.Step != Idle || end.Report.Verdict != revision.InForce || end.Report.Revision != 4 {
		t.Errorf("%+v", end.Report)
	}
}

// A revision that was held back is released after a later one: it comes as the whole, with the number that is in force.
func TestTheWholeOfTheSameNumberReplacesWhatIsHeld(t *testing.T) {
	f := following(holds(t), true)
	own := revision.Document(`{"settings":{"d":2}}`)
	update := revision.Update{Revision: 3, Full: true, Scopes: []revision.Change{
		{Scope: revision.FleetScope, Number: 1, Document: holds(t).Documents[0].Document},
		{Scope: zone, Number: 3, Document: holds(t).Documents[1].Document},
		{Scope: ownScope, Number: 2, Document: own},
	}, Checksum: sum(t, string(holds(t).Effective), string(own))}
	if f.Received(encoded(update)).Step != Check || f.Checked(nil).Step != Save || f.Saved(nil).Step != Apply {
		t.Fatal("it is not taken over")
	}
	if end := f.Applied(nil); end.Report.Verdict != revision.InForce || len(f.InForce().Documents) != 3 {
		t.Errorf("%+v", end.Report)
	}
}

// What was saved counts for a restart, also where it did not come into force.
func TestNothingBelowWhatIsSavedIsTaken(t *testing.T) {
	later := good(t)
	later.Revision, later.Scopes[0].Number = 6, 6
	between := good(t)
	between.Revision, between.Scopes[0].Number = 5, 5
	for name, toSix := range map[string]func(f *StateMachine){
		"saved, and not taken over": func(f *StateMachine) {
			f.Received(encoded(later))
			f.Checked(nil)
			f.Saved(nil)
			f.Applied(errRefused)
		},
		"written, though the disk failed": func(f *StateMachine) {
			f.Received(encoded(later))
			f.Checked(nil)
			f.Saved(errRefused)
		},
		"another process's, and not good here": func(f *StateMachine) {
			saved := holds(t)
			saved.Revision = 6
			f.Loaded(saved)
			f.Checked(errRefused)
		},
	} {
		f := following(holds(t), true)
		toSix(f)
		if f.InForce().Revision != 3 {
			t.Fatalf("%s: %d is in force", name, f.InForce().Revision)
		}
		if end := f.Received(encoded(between)); end.Step != Idle || !strings.Contains(end.Report.Reason, "5 is below 6") {
			t.Errorf("%s: %+v", name, end.Report)
		}
		if step := f.Received(encoded(later)); step.Step != Check {
			t.Errorf("%s: what is saved is not taken: %+v", name, step.Report)
		}
	}
}

func TestAnOlderFileIsPassedOver(t *testing.T) {
	f := following(holds(t), true)
	older := holds(t)
	older.Revision = 2
	if f.Loaded(older).Step != Idle || f.Loaded(holds(t)).Step != Idle {
		t.Error("it is looked at")
	}
}

func TestAMovedProxyHoldsNothingOfItsOldZone(t *testing.T) {
	moved := identity
	moved.Zone = "eu-2"
	before, err := newConfiguration(moved, 3, holds(t).Documents)
	if err != nil || string(before.Effective) != `{"settings":{"a":1,"b":1}}` {
		t.Fatalf("%s, %v", before.Effective, err)
	}
	f := NewStateMachine(moved, true)
	f.Loaded(before)
	f.Checked(nil)
	f.Applied(nil)
	f.Received(encoded(revision.Update{Revision: 5, Checksum: sum(t, `{"settings":{"a":5,"b":1}}`), Scopes: []revision.Change{
		{Scope: revision.FleetScope, Number: 5, From: 1, Patch: revision.Document(`{"settings":{"a":5}}`)}}}))
	f.Checked(nil)
	f.Saved(nil)
	if end := f.Applied(nil); end.Report.Verdict != revision.InForce || len(f.InForce().Documents) != 1 {
		t.Errorf("%+v, %+v", end.Report, f.InForce().Documents)
	}
}

func TestOnlyReloadableKeysAreLaidOver(t *testing.T) {
	local := ReloadableConfig{Discovery: "127.0.0.1:1", Settings: json.RawMessage(`{"me": 0, "x": null, "limits": {"a": 1, "b": 1.50}}`)}
	same, err := local.Overlay(nil)
	if err != nil || !reflect.DeepEqual(same, local) {
		t.Errorf("%+v, %v", same, err)
	}
	laid, err := local.Overlay(revision.Document(`{"peers":["127.0.0.1:2"],"settings":{"limits":{"a":2}}}`))
	want := `{"me":0,"x":null,"limits":{"a":2,"b":1.50}}`
	if err != nil || string(laid.Settings) != want || laid.Discovery != local.Discovery || len(laid.Peers) != 1 {
		t.Errorf("%s %+v, %v", laid.Settings, laid, err)
	}
	laid, err = (ReloadableConfig{}).Overlay(revision.Document(`{"discovery":"x"}`))
	if err != nil || laid.Settings != nil || laid.Peers != nil {
		t.Errorf("%+v, %v", laid, err)
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

// world is a fleet's history with one proxy that follows it: process, disk and what is on the way.
type world struct {
	truth   []Configuration // by revision, from 0
	follow  *StateMachine
	disk    Configuration
	pending Decision // what the proxy's process is at
	onWay   [][]byte // updates sent
	highest revision.Number
}

func newWorld() *world {
	return &world{truth: []Configuration{{}}, follow: NewStateMachine(identity, true)}
}

// change accepts a revision.
func (w *world) change(t *rapid.T) {
	scope := rapid.SampledFrom(identity.Scopes()).Draw(t, "scope")
	document := revision.Document(fmt.Sprintf(`{"settings":{%q:%d}}`, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
		rapid.IntRange(0, 3).Draw(t, "value")))
	last := w.truth[len(w.truth)-1]
	number := revision.Number(len(w.truth))
	var held []revision.ScopeDocument
	for _, one := range last.Documents {
		if one.Scope != scope {
			held = append(held, one)
		}
	}
	next, err := newConfiguration(identity, number, append(held, revision.ScopeDocument{Scope: scope, Number: number, Document: document}))
	if err != nil {
		t.Fatal(err)
	}
	w.truth = append(w.truth, next)
}

// send puts an update on the way, for a proxy that holds one revision, to a later or the same one.
func (w *world) send(t *rapid.T) {
	w.sendFrom(t, w.truth[rapid.IntRange(0, len(w.truth)-1).Draw(t, "from")])
}

func (w *world) sendFrom(t *rapid.T, from Configuration) {
	to := w.truth[rapid.IntRange(int(from.Revision), len(w.truth)-1).Draw(t, "to")]
	update := revision.Update{Revision: to.Revision, Checksum: to.Checksum,
		Full: from.Revision == 0 || from.Revision == to.Revision || rapid.Bool().Draw(t, "whole")}
	for _, one := range to.Documents {
		before := from.of(one.Scope)
		change := revision.Change{Scope: one.Scope, Number: one.Number}
		if update.Full {
			change.Document = one.Document
		} else if before.Number == one.Number {
			continue
		} else {
			var err error
			change.From = before.Number
			if change.Patch, err = revision.Diff(before.Document, one.Document); err != nil {
				t.Fatal(err)
			}
		}
		update.Scopes = append(update.Scopes, change)
	}
	text := encoded(update)
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
	case 1:
		text = []byte(strings.Replace(string(text), "settings", "setting", 1))
	case 2:
		text = []byte(strings.Replace(string(text), "eu", "us", 1))
	}
	w.onWay = append(w.onWay, text)
}

// deliver brings any update on the way, which may come again.
func (w *world) deliver(t *rapid.T) {
	if w.finish(t); len(w.onWay) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.onWay)-1).Draw(t, "which")
	w.pending = w.follow.Received(w.onWay[i])
	if rapid.Bool().Draw(t, "gone") {
		w.onWay = append(w.onWay[:i], w.onWay[i+1:]...)
	}
}

// step lets the process do what it is at, well or not.
func (w *world) step(t *rapid.T) {
	var err error
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		err = errRefused
	}
	candidate := w.pending.Candidate
	switch w.pending.Step {
	case Idle:
		return
	case Check:
		w.pending = w.follow.Checked(err)
	case Save:
		if err == nil || rapid.Bool().Draw(t, "written all the same") {
			w.write(t, candidate)
		}
		w.pending = w.follow.Saved(err)
	case Apply:
		w.pending = w.follow.Applied(err)
	}
	r := w.pending.Report
	if r != nil && r.Verdict == revision.InForce && (w.disk.Revision < r.Revision || w.follow.InForce().Revision != r.Revision) {
		t.Fatalf("%d reported in force, %d is, and %d is saved", r.Revision, w.follow.InForce().Revision, w.disk.Revision)
	}
}

func (w *world) write(t *rapid.T, c Configuration) {
	if c.Revision < w.disk.Revision {
		t.Fatalf("%d is written over %d", c.Revision, w.disk.Revision)
	}
	w.disk = c
}

// finish lets the process end what it is at.
func (w *world) finish(t *rapid.T) {
	for w.pending.Step != Idle {
		w.step(t)
	}
}

// next brings the update that follows from what is in force, as a replica that knows that sends it.
func (w *world) next(t *rapid.T) {
	w.sendFrom(t, w.truth[w.follow.InForce().Revision])
	if w.pending.Step == Idle {
		w.pending = w.follow.Received(w.onWay[len(w.onWay)-1])
	}
}

// restart ends the process at whatever it was; a write may or may not have reached the disk.
func (w *world) restart(t *rapid.T) {
	if w.pending.Step == Save && rapid.Bool().Draw(t, "written") {
		w.write(t, w.pending.Candidate)
	}
	w.follow, w.pending = NewStateMachine(identity, true), Decision{}
	if w.follow.Loaded(w.disk).Step == Check {
		w.follow.Checked(nil)
		w.follow.Applied(nil)
	}
}

func (w *world) localChanged(t *rapid.T) {
	if w.pending.Step == Idle {
		w.pending = w.follow.LocalChanged()
	}
}

// check holds after every step: one of the fleet's revisions is in force, whole, and none before one that was. A scope may be
// held as of an earlier number only where that makes no difference, which the checksum says.
func (w *world) check(t *rapid.T) {
	c := w.follow.InForce()
	if c.Revision < w.highest {
		t.Fatalf("%d in force after %d", c.Revision, w.highest)
	}
	w.highest = c.Revision
	want := w.truth[c.Revision]
	if c.Checksum != want.Checksum || string(c.Effective) != string(want.Effective) {
		t.Fatalf("revision %d is %s, in force is %s", c.Revision, want.Effective, c.Effective)
	}
	for _, one := range c.Documents {
		if number := want.of(one.Scope).Number; one.Number > number {
			t.Fatalf("%s is held as of %d, it is %d", one.Scope, one.Number, number)
		}
	}
}

// Updates lost, doubled, out of order or spoilt, checks and disks that fail, restarts at any step.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"change": w.change, "send": w.send, "send more": w.send, "deliver": w.deliver, "step": w.step, "finish": w.finish, "next": w.next, "next again": w.next,
			"restart": w.restart, "local changed": w.localChanged, "": w.check,
		})
	})
}

// Whatever comes: no panic, and nothing is in force that does not have the update's own checksum.
func FuzzUpdate(f *testing.F) {
	f.Add(encoded(good(f)))
	f.Add([]byte(`{"revision":4,"whole":true,"scopes":[{"scope":"fleet","number":4,"document":{"a":[1]}}],"checksum":"x"}`))
	f.Add([]byte(`{"revision":4,"scopes":[{"scope":"zone:eu-1","number":4,"from":3,"patch":{"settings":null}}]}`))
	f.Add([]byte(`{"revision":4,"scopes":[{"scope":"zone:eu-1","number":4,"from":3,"patch":[1]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		follower := following(holds(t), true)
		end := follower.Received(text)
		if end.Step == Idle {
			if end.Report == nil || strings.ContainsAny(end.Report.Reason, "\n\r") || !reflect.DeepEqual(follower.InForce(), holds(t)) {
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
