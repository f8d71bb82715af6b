package controlserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/control"
)

const (
	storageFileName    = "replica.db"
	storageLockTimeout = time.Second // for another process to release the file lock
	folderMode         = 0o755
	fileMode           = 0o600
	entryKeyBytes      = 8 // size of an entry's key
)

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	ownerKey      = []byte("owner")
	hardStateKey  = []byte("hard_state")
	snapshotKey   = []byte("snapshot")
)

// BoltStorage is a Storage in one bbolt file. Each transaction is synced to disk when it is committed.
type BoltStorage struct {
	db *bbolt.DB
}

// OpenStorage opens the storage file in a folder, or creates it. A file that is damaged, or belongs to another fleet or
// replica, is an error and stays unchanged.
func OpenStorage(folder, fleet, name string) (storage *BoltStorage, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	if err := markJoining(folder); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, storageFileName)
	defer wrapStorageError(path, &err)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: storageLockTimeout})
	if err != nil {
		return nil, err
	}
	if err := initStorage(db, path, fmt.Sprintf("fleet %s, replica %s", fleet, name)); err != nil {
		db.Close()
		return nil, err
	}
	return &BoltStorage{db}, nil
}

// wrapStorageError adds the file name to an error. It also recovers from the memory fault of reading past the end of a
// truncated file and returns it as an error.
func wrapStorageError(path string, err *error) {
	if recovered := recover(); recovered != nil {
		*err = fmt.Errorf("the file is damaged: %v", recovered)
	}
	if *err != nil {
		*err = fmt.Errorf("%s: %w", path, *err)
	}
	debug.SetPanicOnFault(false)
}

// initStorage checks the structure and the owner of a file. A new file gets its buckets and its owner record.
func initStorage(db *bbolt.DB, path, owner string) error {
	debug.SetPanicOnFault(true)
	if err := checkStructure(db, path); err != nil {
		return err
	}
	return db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entriesBucket); err != nil {
			return err
		}
		record := meta.Get(ownerKey)
		if record == nil {
			return meta.Put(ownerKey, encodeRecord(ownerKey, []byte(owner)))
		}
		found, err := decodeRecord(ownerKey, record)
		if err != nil {
			return fmt.Errorf("record %q: %w", ownerKey, err)
		}
		if string(found) != owner {
			return fmt.Errorf("the file belongs to %q, not to %s", found, owner)
		}
		return nil
	})
}

// checkStructure detects a truncated file and pages that are inconsistent with each other.
func checkStructure(db *bbolt.DB, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("the file is damaged: it has %d bytes, expected %d", info.Size(), tx.Size())
		}
		var first error
		for err := range tx.Check() {
			if first == nil {
				first = fmt.Errorf("the file is damaged: %w", err)
			}
		}
		return first
	})
}

// Load reads all records and verifies the checksum of each.
func (s *BoltStorage) Load() (saved control.PersistedState, err error) {
	debug.SetPanicOnFault(true)
	defer wrapStorageError(s.db.Path(), &err)
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if record := meta.Get(hardStateKey); record != nil {
			saved.HardState = &raftpb.HardState{}
			if err := decodeMessage(hardStateKey, record, saved.HardState); err != nil {
				return err
			}
		}
		if record := meta.Get(snapshotKey); record != nil {
			saved.Snapshot = &raftpb.Snapshot{}
			if err := decodeMessage(snapshotKey, record, saved.Snapshot); err != nil {
				return err
			}
		}
		return tx.Bucket(entriesBucket).ForEach(func(key, record []byte) error {
			entry := &raftpb.Entry{}
			if err := decodeMessage(key, record, entry); err != nil {
				return err
			}
			saved.Entries = append(saved.Entries, entry)
			return nil
		})
	})
	if err == nil {
		err = checkEntryIndexes(saved)
	}
	return saved, err
}

// checkEntryIndexes detects gaps between intact entries. The consensus core checks that they follow the snapshot.
func checkEntryIndexes(saved control.PersistedState) error {
	for i := 1; i < len(saved.Entries); i++ {
		if previous, index := saved.Entries[i-1].GetIndex(), saved.Entries[i].GetIndex(); index != previous+1 {
			return fmt.Errorf("the file is damaged: entry %d follows entry %d", index, previous)
		}
	}
	return nil
}

// Save writes the records of work in one synced transaction.
func (s *BoltStorage) Save(work control.Work) (err error) {
	if work.Snapshot == nil && work.Compaction == nil && work.HardState == nil && len(work.Entries) == 0 {
		return nil
	}
	defer wrapStorageError(s.db.Path(), &err)
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if work.Snapshot != nil {
			if err := saveSnapshot(meta, entries, work.Snapshot, math.MaxUint64); err != nil {
				return err
			}
		}
		if work.Compaction != nil {
			if err := saveSnapshot(meta, entries, work.Compaction.Snapshot, work.Compaction.FirstRetainedIndex); err != nil {
				return err
			}
		}
		if work.HardState != nil {
			if err := putMessage(meta, hardStateKey, work.HardState); err != nil {
				return err
			}
		}
		return saveEntries(entries, work.Entries)
	})
}

// putMessage writes one message as a record.
func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	record, err := encodeMessage(key, message)
	if err != nil {
		return err
	}
	return bucket.Put(key, record)
}

// saveSnapshot writes a snapshot and deletes the entries below firstRetained.
func saveSnapshot(meta, entries *bbolt.Bucket, snapshot *raftpb.Snapshot, firstRetained uint64) error {
	if err := putMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	}
	return deleteEntriesBelow(entries, firstRetained)
}

// saveEntries writes entries. They replace all stored entries from the index of the first one on.
func saveEntries(bucket *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntriesFrom(bucket, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of an entry: its index in big endian, so that keys sort by index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteEntriesBelow deletes the entries below an index.
func deleteEntriesBelow(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.First() {
		if len(key) != entryKeyBytes {
			return errors.New("the key of an entry is damaged")
		}
		if binary.BigEndian.Uint64(key) >= index {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesFrom deletes the entries from an index on.
func deleteEntriesFrom(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(entryKey(index)); key != nil; key, _ = cursor.Seek(entryKey(index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (s *BoltStorage) Close() error { return s.db.Close() }
