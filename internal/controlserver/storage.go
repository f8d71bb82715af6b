package controlserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"sandpass/internal/control"
)

// Storage keeps what a replica must not forget. After an error of Save the replica takes part in nothing any more: what is
// on the disk is then not known.
type Storage interface {
	// Load reads all that was saved. An error means that the record is damaged or belongs to somebody else.
	Load() (control.PersistedState, error)
	// Save writes a work's snapshot, compaction, hard state and entries, all of them or none; once it returns nil they
	// outlive the machine's power.
	Save(control.Work) error
	Close() error
}

// A record on the disk is the format's version (1 byte), the CRC32C of the key, the version and the content (4 bytes,
// little endian), and the content.
const (
	recordVersion = 1
	recordHead    = 5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordSum(key, content []byte) uint32 {
	sum := crc32.Update(0, castagnoli, key)
	sum = crc32.Update(sum, castagnoli, []byte{recordVersion})
	return crc32.Update(sum, castagnoli, content)
}

// sealRecord gives a content the head that openRecord checks.
func sealRecord(key, content []byte) []byte {
	record := make([]byte, recordHead, recordHead+len(content))
	record[0] = recordVersion
	binary.LittleEndian.PutUint32(record[1:], recordSum(key, content))
	return append(record, content...)
}

// openRecord gives a record's content, or says what is wrong with it.
func openRecord(key, record []byte) ([]byte, error) {
	if len(record) < recordHead {
		return nil, errors.New("it is too short")
	}
	if record[0] != recordVersion {
		return nil, fmt.Errorf("its format is %d, this program knows %d", record[0], recordVersion)
	}
	content := record[recordHead:]
	if binary.LittleEndian.Uint32(record[1:]) != recordSum(key, content) {
		return nil, errors.New("its checksum is wrong")
	}
	return content, nil
}

// sealMessage is sealRecord of a message.
func sealMessage(key []byte, message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return sealRecord(key, content), nil
}

// openMessage decodes a record's content.
func openMessage(key, record []byte, into proto.Message) error {
	content, err := openRecord(key, record)
	if err == nil {
		err = proto.Unmarshal(content, into)
	}
	if err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
