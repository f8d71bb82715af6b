package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/cryptotest"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/revision"
)

func FuzzUnmarshalState(f *testing.F) {
	whole, err := stateWithAllOutcomes(f).Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole, false)
	f.Add([]byte(`{"newest":1,"entries":[null]}`), true)
	f.Fuzz(func(t *testing.T, text []byte, addHeader bool) {
		if addHeader {
			text = withHeader(string(text))
		}
		s, err := UnmarshalState(text)
		if invalid := new(SnapshotError); err != nil {
			if !errors.As(err, &invalid) {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		exerciseState(t, s)
	})
}

// exerciseState calls the functions that read a state and those that change it.
func exerciseState(t *testing.T, s *State) {
	s.History(nil, 10)
	identity := testIdentity
	identity.Fleet = s.Fleet()
	_, _ = s.UpdateFor(revision.Hello{Identity: identity})
	_, _ = s.ValueOrigins(identity)
	NewCanaryController(CanaryConfig{}).PendingCommands(1, s)
	latest, _ := s.Latest(revision.FleetScope)
	s.Apply(applyTrial("new", revision.FleetScope, latest.Number, `{"a":1}`, "p1"))
	s.Apply(hold(s.NewestNumber()))
	if _, err := s.Marshal(); err != nil {
		t.Fatal(err)
	}
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range []Command{applyTrial("a", zoneA, 3, `{"a":1}`, "p1"), release(2), hold(2)} {
		text, err := EncodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		command, err := DecodeCommand(text)
		if invalid := new(InvalidCommandError); err != nil {
			if !errors.As(err, &invalid) {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		s := deliveryState(t)
		before := s.NewestNumber()
		if outcome := s.Apply(command); outcome.Err != nil && s.NewestNumber() != before {
			t.Fatalf("the command failed with %v but created revision %d", outcome.Err, s.NewestNumber())
		}
		first, err := s.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		read, err := UnmarshalState(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := read.Marshal()
		if err != nil || string(first) != string(second) {
			t.Fatalf("%v\n%s\n%s", err, first, second)
		}
	})
}

func FuzzUpdate(f *testing.F) {
	for _, text := range []string{
		`{"identity":{"fleet":"shop","proxy":"p1","zone":"a"},"revision":4,"held":[{"scope":"fleet","number":4}]}`,
		`{"identity":{"fleet":"shop","proxy":"p9","zone":"a"},"revision":5,"held":[{"scope":"zone:a","number":5}]}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var hello revision.Hello
		if json.Unmarshal(text, &hello) != nil {
			return
		}
		s := deliveryState(t)
		update, err := s.UpdateFor(hello)
		if err != nil || update == nil {
			return
		}
		if update.Revision < hello.Revision || update.Revision == hello.Revision && !update.Full {
			t.Fatalf("got update %s, but revision %d is in force", describeUpdate(update), hello.Revision)
		}
		for _, change := range update.Scopes {
			if change.Number < heldNumber(hello.Documents, change.Scope) {
				t.Fatalf("update %s goes back to a lower number for hello %s", describeUpdate(update), text)
			}
		}
	})
}

func FuzzStep(f *testing.F) {
	seed := &raftpb.Message{Type: raftpb.MsgApp.Enum(), Term: proto.Uint64(9), Index: proto.Uint64(2), LogTerm: proto.Uint64(1)}
	text, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(0), text)
	f.Fuzz(func(t *testing.T, to uint8, text []byte) {
		cryptotest.SetGlobalRandom(t, 1)
		s := newSim(seedChooser{rand.New(rand.NewPCG(1, 1))}, defects{})
		if err := s.replicas[0].node.Campaign(); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			s.round()
		}
		s.checkFuzzedMessage(t, s.replicas[to%simReplicas], text)
	})
}

// checkFuzzedMessage passes a message to a replica as if a peer had sent it. The replica may refuse it or fail with an
// error, but no call may panic.
func (s *sim) checkFuzzedMessage(t *testing.T, r *simReplica, text []byte) {
	message := &raftpb.Message{}
	if proto.Unmarshal(text, message) != nil {
		return
	}
	message.To = proto.Uint64(r.id)
	message.From = proto.Uint64(r.id%simReplicas + 1)
	err := r.node.Step(message)
	for range 3 {
		r.node.Tick()
		work, any := r.node.Ready()
		if !any {
			break
		}
		if _, err := r.node.Advance(work); err != nil {
			break
		}
	}
	if invalid, failed := new(MessageError), new(NodeFailedError); err != nil &&
		!errors.As(err, &invalid) && !errors.As(err, &failed) {
		t.Fatalf("%T: %v", err, err)
	}
	if fmt.Sprint(err) == "" {
		t.Fatal("the error has no text")
	}
}
