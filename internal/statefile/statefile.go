// Package statefile reads and writes files that hold a process's state across restarts.
//
// A file has one header line with the format's name, its version, a checksum and the body's length, then the body. It is written
// to a temporary file, synced and renamed, so that it is either complete or absent. Every problem with a file is a one-line
// error. The package does not interpret the body.
package statefile

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"net/url"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	maxFileBytes   = 16 << 20 // enough for tens of thousands of backends
	maxHeaderBytes = 80       // bytes of the header line
)

// Format is a kind of state file.
type Format struct {
	Name        string // first word of the header
	Version     int
	Suffix      string // of the file name, with the dot
	Description string // for errors, such as "a snapshot"
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the bytes of a file with the body.
func (f Format) Encode(body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %08x %d\n", f.Name, f.Version, crc32.Checksum(body, crcTable), len(body)), body...)
}

// Decode returns the body of a file's bytes, or a one-line error.
func (f Format) Decode(text []byte) ([]byte, error) {
	header, body, complete := bytes.Cut(text, []byte("\n"))
	if !complete || len(header) > maxHeaderBytes {
		return nil, fmt.Errorf("no header line: the file is truncated, or not %s", f.Description)
	}
	var name string
	var v, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(header), "%s %d %x %d", &name, &v, &sum, &length); err != nil && n < 2 || name != f.Name {
		return nil, fmt.Errorf("the header is not that of %s", f.Description)
	} else if v != f.Version {
		return nil, fmt.Errorf("format version %d, this program reads version %d", v, f.Version)
	} else if n != 4 {
		return nil, errors.New("the header is truncated")
	}
	if len(body) != length {
		return nil, fmt.Errorf("truncated: %d bytes of %d", len(body), length)
	}
	if crc32.Checksum(body, crcTable) != sum {
		return nil, errors.New("checksum mismatch")
	}
	return body, nil
}

// Path returns the path of a process's file.
func (f Format) Path(folder, name string) string {
	return filepath.Join(folder, url.PathEscape(name)+f.Suffix)
}

// Read returns the body of a file. It returns nil without an error if the file does not exist.
func (f Format) Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && (!info.Mode().IsRegular() || info.Size() > maxFileBytes) {
		return nil, fmt.Errorf("%s: not a regular file of at most %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	body, err := f.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return body, nil
}

// FleetMismatchError reports a folder that belongs to another fleet.
type FleetMismatchError struct{ Folder, Fleet, WantFleet string }

func (f *FleetMismatchError) Error() string {
	return fmt.Sprintf("state: the folder %s is that of fleet %q, not of %q", f.Folder, f.Fleet, f.WantFleet)
}

// Write replaces a file atomically and syncs the folder. After an error the new file may be in place all the same.
func Write(path string, text []byte) error {
	name, err := writeTemporary(path, text)
	if name != "" {
		defer os.Remove(name) // fails after the rename
	}
	if err != nil {
		return err
	}
	if err := os.Rename(name, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// ReplaceIf replaces a file atomically if allowed returns true, and syncs the folder. It holds the folder's lock while allowed
// inspects the present file and the new one is put in place, so that no other process does so at the same time. It reports
// whether the file was written.
func ReplaceIf(path string, text []byte, allowed func() bool) (written bool, err error) {
	name, err := writeTemporary(path, text)
	if name != "" {
		defer os.Remove(name) // fails after the rename
	}
	if err != nil {
		return false, err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return false, err
	}
	defer folder.Close() // also releases the lock
	if err := lock(folder); err != nil {
		return false, fmt.Errorf("locking %s: %w", folder.Name(), err)
	}
	if !allowed() {
		return false, nil
	}
	if err := os.Rename(name, path); err != nil {
		return false, err
	}
	return true, folder.Sync()
}

// lock waits for the exclusive lock of an open folder.
func lock(folder *os.File) error {
	for {
		if err := unix.Flock(int(folder.Fd()), unix.LOCK_EX); err != unix.EINTR {
			return err
		}
	}
}

// writeTemporary writes and syncs a temporary file in the folder of path. The name is empty if no file was created.
func writeTemporary(path string, text []byte) (name string, err error) {
	if err := injectFault(StepCreate); err != nil {
		return "", err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".state-*")
	if err != nil {
		return "", err
	}
	if err = injectFault(StepWrite); err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = injectFault(StepSync)
	}
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return f.Name(), err
}
