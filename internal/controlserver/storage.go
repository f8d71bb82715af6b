package controlserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"sandpass/internal/control"
)

// Storage persists the consensus state of a replica. After an error of Save the replica must stop, because the content of
// the disk is then unknown.
type Storage interface {
	// Load reads all saved records. An error means that a record is damaged or cannot be read.
	Load() (control.PersistedState, error)
	// Save writes the snapshot, compaction, hard state and entries of work, all of them or none. Once it returns nil, they
	// survive a power failure.
	Save(control.Work) error
	// Close releases the storage.
	Close() error
}

// A record on the disk consists of the format version (1 byte), the CRC32C of the key, the version and the content
// (4 bytes, little endian), and the content.
const (
	recordVersion     = 1
	recordHeaderBytes = 5
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// recordChecksum returns the CRC32C of the key, the format version and the content.
func recordChecksum(key, content []byte) uint32 {
	sum := crc32.Update(0, castagnoliTable, key)
	sum = crc32.Update(sum, castagnoliTable, []byte{recordVersion})
	return crc32.Update(sum, castagnoliTable, content)
}

// encodeRecord prepends the header that decodeRecord verifies to a content.
func encodeRecord(key, content []byte) []byte {
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(content))
	record[0] = recordVersion
	binary.LittleEndian.PutUint32(record[1:], recordChecksum(key, content))
	return append(record, content...)
}

// decodeRecord verifies a record's header and returns the content.
func decodeRecord(key, record []byte) ([]byte, error) {
	if len(record) < recordHeaderBytes {
		return nil, errors.New("too short")
	}
	if record[0] != recordVersion {
		return nil, fmt.Errorf("format version %d, this program supports %d", record[0], recordVersion)
	}
	content := record[recordHeaderBytes:]
	if binary.LittleEndian.Uint32(record[1:]) != recordChecksum(key, content) {
		return nil, errors.New("wrong checksum")
	}
	return content, nil
}

// encodeMessage encodes a message as a record.
func encodeMessage(key []byte, message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return encodeRecord(key, content), nil
}

// decodeMessage verifies a record and decodes its content into a message.
func decodeMessage(key, record []byte, target proto.Message) error {
	content, err := decodeRecord(key, record)
	if err == nil {
		err = proto.Unmarshal(content, target)
	}
	if err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
