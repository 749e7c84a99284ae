package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"
)

// FS is the set of file system operations that the storage uses. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	// List returns the base names of the files in a directory.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock acquires an exclusive lock, which is held until Close or the end of the
	// process. It fails if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
	// Truncate sets the length of the file.
	Truncate(size int64) error
}

// Disk implements FS on the operating system's file system.
type Disk struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll creates a directory and its missing parents, and makes each of their
// directory entries durable.
func (d Disk) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := d.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return d.SyncDir(parent)
}

// List returns the base names of the files in a directory.
func (Disk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates an empty file for writing.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for appending.
func (Disk) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a directory, which makes the creation, renaming and removal of its
// entries durable.
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock acquires an exclusive lock on a file, which it creates if necessary.
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errs.New("lock %s: another process uses the data folder: %w", name, err)
	}
	return f, nil
}
