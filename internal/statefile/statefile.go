// Package statefile reads and writes the files in which a process keeps something over its end.
//
// A file is one line with the form's name, its version, a checksum and the length, then the body. It is written to a
// temporary file, synced and renamed, so that it is there whole or not at all. Whatever is wrong with a file is an error of
// one line. It must never look into a body.
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
	sizeMost = 16 << 20 // bytes of a file: tens of thousands of backends
	headMost = 80       // bytes of its first line
)

// Form is one kind of file.
type Format struct {
	Name        string // first word of the file
	Version     int
	Suffix      string // of the file's name, with the dot
	Description string // "a snapshot", for errors
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Encode gives a file's bytes.
func (f Format) Encode(body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %08x %d\n", f.Name, f.Version, crc32.Checksum(body, table), len(body)), body...)
}

// Decode gives the body in a file's bytes, or tells in one line what is wrong with them.
func (f Format) Decode(text []byte) ([]byte, error) {
	head, body, whole := bytes.Cut(text, []byte("\n"))
	if !whole || len(head) > headMost {
		return nil, fmt.Errorf("it has no first line: torn, or not %s", f.Description)
	}
	var name string
	var v, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "%s %d %x %d", &name, &v, &sum, &length); err != nil && n < 2 || name != f.Name {
		return nil, fmt.Errorf("its first line is not that of %s", f.Description)
	} else if v != f.Version {
		return nil, fmt.Errorf("it has form %d, this program knows %d", v, f.Version)
	} else if n != 4 {
		return nil, errors.New("its first line is cut short")
	}
	if len(body) != length {
		return nil, fmt.Errorf("it is torn: %d bytes of %d", len(body), length)
	}
	if crc32.Checksum(body, table) != sum {
		return nil, errors.New("its checksum is wrong")
	}
	return body, nil
}

// Path is the file of the process of that name.
func (f Format) Path(folder, name string) string {
	return filepath.Join(folder, url.PathEscape(name)+f.Suffix)
}

// Read gives the body of a file. There may be none: nil without an error.
func (f Format) Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && (!info.Mode().IsRegular() || info.Size() > sizeMost) {
		return nil, fmt.Errorf("%s: no regular file of at most %d bytes", path, sizeMost)
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

// Foreign says that a folder is another fleet's.
type FleetMismatchError struct{ Folder, Fleet, WantFleet string }

func (f *FleetMismatchError) Error() string {
	return fmt.Sprintf("state: the folder %s is that of fleet %q, not of %q", f.Folder, f.Fleet, f.WantFleet)
}

// Write puts a file in place whole or not at all, and syncs the folder. After an error it may be in place all the same.
func Write(path string, text []byte) error {
	name, err := writeTemporary(path, text)
	if name != "" {
		defer os.Remove(name) // fails once the file is in place
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

// Replace does the same where allowed says so of what is there, and syncs the folder. While it looks and writes no other
// process does so in this folder: it holds the folder's lock. It tells whether the file was written.
func ReplaceIf(path string, text []byte, allowed func() bool) (written bool, err error) {
	name, err := writeTemporary(path, text)
	if name != "" {
		defer os.Remove(name) // fails once the file is in place
	}
	if err != nil {
		return false, err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return false, err
	}
	defer folder.Close() // and gives the lock back
	if err := lock(folder); err != nil {
		return false, fmt.Errorf("lock of %s: %w", folder.Name(), err)
	}
	if !allowed() {
		return false, nil
	}
	if err := os.Rename(name, path); err != nil {
		return false, err
	}
	return true, folder.Sync()
}

// lock waits for the lock of an open folder.
func lock(folder *os.File) error {
	for {
		if err := unix.Flock(int(folder.Fd()), unix.LOCK_EX); err != unix.EINTR {
			return err
		}
	}
}

// writeTemporary writes and syncs a file beside the one that it is to replace. The name is empty where there is none.
func writeTemporary(path string, text []byte) (name string, err error) {
	if err := fault(StepCreate); err != nil {
		return "", err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".state-*")
	if err != nil {
		return "", err
	}
	if err = fault(StepWrite); err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = fault(StepSync)
	}
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return f.Name(), err
}
