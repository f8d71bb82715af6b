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
	storageFile     = "replica.db"
	storageLockWait = time.Second // for another process to let go of the file
	folderMode      = 0o755
	fileMode        = 0o600
	indexBytes      = 8 // of an entry's key
)

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	ownerKey      = []byte("owner")
	hardStateKey  = []byte("hard_state")
	snapshotKey   = []byte("snapshot")
)

// BoltStorage is a Storage in one bbolt file, whose transactions are synced when they end.
type BoltStorage struct {
	db *bbolt.DB
}

// OpenStorage opens the file in a folder, or makes it. One that belongs to another fleet or replica is refused, and so is
// a damaged one; the file is left as it is then.
func OpenStorage(folder, fleet, name string) (storage *BoltStorage, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	if err := markJoining(folder); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, storageFile)
	defer nameDamage(path, &err)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: storageLockWait})
	if err != nil {
		return nil, err
	}
	if err := prepareStorage(db, path, fmt.Sprintf("fleet %s, replica %s", fleet, name)); err != nil {
		db.Close()
		return nil, err
	}
	return &BoltStorage{db}, nil
}

// nameDamage turns an error, or the fault of reading past a torn file's end, into an error that names the file.
func nameDamage(path string, err *error) {
	if fault := recover(); fault != nil {
		*err = fmt.Errorf("it is damaged: %v", fault)
	}
	if *err != nil {
		*err = fmt.Errorf("%s: %w", path, *err)
	}
	debug.SetPanicOnFault(false)
}

// prepareStorage checks a file's structure and owner; a new one gets them.
func prepareStorage(db *bbolt.DB, path, owner string) error {
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
			return meta.Put(ownerKey, sealRecord(ownerKey, []byte(owner)))
		}
		found, err := openRecord(ownerKey, record)
		if err != nil {
			return fmt.Errorf("record %q: %w", ownerKey, err)
		}
		if string(found) != owner {
			return fmt.Errorf("it belongs to %q, not to %s", found, owner)
		}
		return nil
	})
}

// checkStructure finds a file that was cut off or whose pages do not fit each other.
func checkStructure(db *bbolt.DB, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("it is damaged: %d bytes, %d are expected", info.Size(), tx.Size())
		}
		var first error
		for err := range tx.Check() {
			if first == nil {
				first = fmt.Errorf("it is damaged: %w", err)
			}
		}
		return first
	})
}

// Load reads all records and checks each.
func (s *BoltStorage) Load() (saved control.PersistedState, err error) {
	debug.SetPanicOnFault(true)
	defer nameDamage(s.db.Path(), &err)
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if record := meta.Get(hardStateKey); record != nil {
			saved.HardState = &raftpb.HardState{}
			if err := openMessage(hardStateKey, record, saved.HardState); err != nil {
				return err
			}
		}
		if record := meta.Get(snapshotKey); record != nil {
			saved.Snapshot = &raftpb.Snapshot{}
			if err := openMessage(snapshotKey, record, saved.Snapshot); err != nil {
				return err
			}
		}
		return tx.Bucket(entriesBucket).ForEach(func(key, record []byte) error {
			entry := &raftpb.Entry{}
			if err := openMessage(key, record, entry); err != nil {
				return err
			}
			saved.Entries = append(saved.Entries, entry)
			return nil
		})
	})
	if err == nil {
		err = checkPersisted(saved)
	}
	return saved, err
}

// checkPersisted finds a gap between records that are whole. The core checks how they follow from the snapshot.
func checkPersisted(saved control.PersistedState) error {
	for i := 1; i < len(saved.Entries); i++ {
		if before, index := saved.Entries[i-1].GetIndex(), saved.Entries[i].GetIndex(); index != before+1 {
			return fmt.Errorf("it is damaged: entry %d follows entry %d", index, before)
		}
	}
	return nil
}

// Save writes a work's records in one synced transaction.
func (s *BoltStorage) Save(work control.Work) (err error) {
	if work.Snapshot == nil && work.Compaction == nil && work.HardState == nil && len(work.Entries) == 0 {
		return nil
	}
	defer nameDamage(s.db.Path(), &err)
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

// putMessage writes one record.
func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	record, err := sealMessage(key, message)
	if err != nil {
		return err
	}
	return bucket.Put(key, record)
}

// saveSnapshot writes a snapshot and deletes the entries below an index.
func saveSnapshot(meta, entries *bbolt.Bucket, snapshot *raftpb.Snapshot, firstKept uint64) error {
	if err := putMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	}
	return dropBelow(entries, firstKept)
}

// saveEntries writes entries in the place of all from the first one's index on.
func saveEntries(bucket *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := dropFrom(bucket, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// dropBelow deletes the entries below an index.
func dropBelow(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.First() {
		if len(key) != indexBytes {
			return errors.New("an entry's key is damaged")
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

// dropFrom deletes entries from an index on.
func dropFrom(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(entryKey(index)); key != nil; key, _ = cursor.Seek(entryKey(index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close lets go of the file.
func (s *BoltStorage) Close() error { return s.db.Close() }
