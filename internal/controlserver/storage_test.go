package controlserver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/control"
)

func entry(term, index uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(data)}
}

func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(0), Commit: proto.Uint64(commit)}
}

func snapshot(term, index uint64, data string) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte(data), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{1}}, Term: proto.Uint64(term), Index: proto.Uint64(index)}}
}

// openStorage opens the storage of replica c1 and closes it at the end of the test.
func openStorage(t *testing.T, folder string) *BoltStorage {
	t.Helper()
	storage, err := OpenStorage(folder, "shop", "c1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { storage.Close() })
	return storage
}

// save saves works one after the other.
func save(t *testing.T, storage Storage, works ...control.Work) {
	t.Helper()
	for _, work := range works {
		if err := storage.Save(work); err != nil {
			t.Fatal(err)
		}
	}
}

// After entries were replaced and the log was compacted, a reopened storage must load the newest records.
func TestStorageLoadsSavedRecords(t *testing.T) {
	folder := t.TempDir()
	storage := openStorage(t, folder)
	save(t, storage,
		control.Work{HardState: hardState(1, 0), Entries: []*raftpb.Entry{entry(1, 1, "a"), entry(1, 2, "b"), entry(1, 3, "c")}},
		control.Work{HardState: hardState(2, 2), Entries: []*raftpb.Entry{entry(2, 3, "d"), entry(2, 4, "e")}}, // entry 3 is replaced
		control.Work{Compaction: &control.Compaction{Snapshot: snapshot(1, 2, "state"), FirstRetainedIndex: 3}})
	storage.Close()
	saved, err := openStorage(t, folder).Load()
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(saved.HardState, hardState(2, 2)) || !proto.Equal(saved.Snapshot, snapshot(1, 2, "state")) {
		t.Errorf("wrong hard state %v or snapshot %v", saved.HardState, saved.Snapshot)
	}
	if len(saved.Entries) != 2 || string(saved.Entries[0].Data) != "d" || string(saved.Entries[1].Data) != "e" {
		t.Errorf("got entries %v, want d and e", saved.Entries)
	}
}

// A storage file that belongs to another fleet or replica must not be opened.
func TestStorageRejectsOtherOwner(t *testing.T) {
	folder := t.TempDir()
	openStorage(t, folder).Close()
	for _, owner := range [][2]string{{"other", "c1"}, {"shop", "c2"}} {
		_, err := OpenStorage(folder, owner[0], owner[1])
		if err == nil || !strings.Contains(err.Error(), `belongs to "fleet shop, replica c1"`) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", owner, err)
		}
	}
}

// A storage file that is already open must not be opened again.
func TestStorageRejectsSecondOpen(t *testing.T) {
	folder := t.TempDir()
	openStorage(t, folder)
	if _, err := OpenStorage(folder, "shop", "c1"); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("got %v, want a lock timeout", err)
	}
}

// populatedStorageFile returns the content of a storage file with 40 entries.
func populatedStorageFile(t testing.TB) []byte {
	folder := t.TempDir()
	storage, err := OpenStorage(folder, "shop", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(40) {
		work := control.Work{HardState: hardState(1, i), Entries: []*raftpb.Entry{entry(1, i+1, strings.Repeat("content ", 300))}}
		if err := storage.Save(work); err != nil {
			t.Fatal(err)
		}
	}
	storage.Close()
	text, err := os.ReadFile(filepath.Join(folder, storageFileName))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// loadBytes writes a storage file with the given content, opens it and loads it.
func loadBytes(t testing.TB, text []byte) (control.PersistedState, error) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, storageFileName), text, fileMode); err != nil {
		t.Fatal(err)
	}
	storage, err := OpenStorage(folder, "shop", "c1")
	if err != nil {
		return control.PersistedState{}, err
	}
	defer storage.Close()
	return storage.Load()
}

// A truncated storage file must be refused with an error of one line, unless only unused pages are missing.
func TestTruncatedStorageFileIsRejected(t *testing.T) {
	text := populatedStorageFile(t)
	for _, size := range []int{100, 4096, 3 * 4096, len(text) / 2, len(text) - 4096} {
		saved, err := loadBytes(t, text[:size])
		if err == nil && len(saved.Entries) == 40 {
			continue // only unused pages are missing
		}
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), storageFileName) {
			t.Errorf("file truncated to %d of %d bytes: got error %v", size, len(text), err)
		}
	}
}

// A damaged byte anywhere in the storage file must be detected or must not change what is loaded.
func TestFlippedByteIsRejectedOrHarmless(t *testing.T) {
	text := populatedStorageFile(t)
	want, err := loadBytes(t, text)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for offset := 0; offset < len(text); offset += 509 {
		damaged := append([]byte(nil), text...)
		damaged[offset] ^= 0x40
		saved, err := loadBytes(t, damaged)
		if err != nil {
			rejected++
			continue
		}
		if len(saved.Entries) != len(want.Entries) || !proto.Equal(saved.HardState, want.HardState) {
			t.Fatalf("byte %d damaged: loaded %d entries and hard state %v", offset, len(saved.Entries), saved.HardState)
		}
		for i, entry := range saved.Entries {
			if !proto.Equal(entry, want.Entries[i]) {
				t.Fatalf("byte %d damaged: entry %d differs", offset, i+1)
			}
		}
	}
	if rejected == 0 {
		t.Error("no damage was detected")
	}
}

// A record that decodes must be identical to the encoding of its content.
func FuzzRecord(f *testing.F) {
	key := []byte("key")
	f.Add(encodeRecord(key, []byte("content")))
	f.Add([]byte{1, 2})
	f.Fuzz(func(t *testing.T, record []byte) {
		content, err := decodeRecord(key, record)
		if err == nil && string(encodeRecord(key, content)) != string(record) {
			t.Fatalf("%q differs from the encoding of its content", record)
		}
	})
}
