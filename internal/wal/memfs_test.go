package wal

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"syscall"
)

var errInjected = errors.New("injected fault")

// inode holds a file's content. A crash may lose writes that are not synced.
type inode struct {
	data       []byte
	synced     int  // length of the durable part
	syncFailed bool // a sync failed: unsynced data never becomes durable
}

// dirOp is an unsynced change of a directory.
type dirOp struct {
	from, to string // from is empty for a creation, to for a removal
	file     *inode
}

// memFS is an in-memory file system that simulates the loss of unsynced data, torn
// writes, failed writes and syncs, and a crash at any operation.
type memFS struct {
	rand    *rand.Rand
	files   map[string]*inode // as seen by processes
	durable map[string]*inode // directory entries that survive a crash
	pending []dirOp
	locked  map[string]bool
	// opsLeft is the number of operations before the crash; negative for no crash.
	opsLeft int
	stopped bool
	// failRate is the probability that a write or sync fails.
	failRate  float64
	losses    lossModel
	ops       int
	tornFiles int
}

// lossModel describes what a crash may lose, beyond the loss of any unsynced directory
// change and any unsynced write.
type lossModel struct {
	everything   bool // all unsynced changes and writes are lost
	ownSync      bool // the sync of a new file makes its name durable
	splitRenames bool // the two names of a rename survive independently
}

func newMemFS(r *rand.Rand) *memFS {
	return &memFS{rand: r, files: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, opsLeft: -1}
}

func (m *memFS) countOp() error {
	m.ops++
	if m.opsLeft == 0 {
		m.stopped = true
	}
	m.opsLeft--
	if m.stopped {
		return errInjected
	}
	return nil
}

func (m *memFS) injectsError() bool { return m.failRate > 0 && m.rand.Float64() < m.failRate }

// kill simulates the end of the process: written data remains readable.
func (m *memFS) kill() {
	m.locked = map[string]bool{}
	m.stopped, m.opsLeft = false, -1
}

// crash simulates a crash of the operating system. A random part of the unsynced
// directory changes and writes survives.
func (m *memFS) crash() {
	m.kill()
	inOrder := m.rand.IntN(2) == 0
	for _, op := range m.pending {
		if m.losses.everything {
			break
		}
		if m.losses.splitRenames && op.from != "" && op.to != "" {
			m.applyHalves(op)
			continue
		}
		if m.rand.IntN(2) == 0 {
			m.applyDirOp(op)
		} else if inOrder {
			break
		}
	}
	m.pending = nil
	m.files = map[string]*inode{}
	names := make([]string, 0, len(m.durable))
	for name := range m.durable {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f := m.afterCrash(m.durable[name])
		m.files[name], m.durable[name] = f, f
	}
}

// afterCrash returns the content of a file after a crash: the synced part, followed
// by nothing, a prefix, a copy with a zeroed range, or all of the unsynced part.
func (m *memFS) afterCrash(f *inode) *inode {
	tail := slices.Clone(f.data[f.synced:])
	if m.losses.everything {
		tail = nil
	}
	if len(tail) > 0 {
		switch m.rand.IntN(4) {
		case 0:
			tail = nil
		case 1:
			tail = tail[:m.rand.IntN(len(tail))]
			m.tornFiles++
		case 2:
			at := m.rand.IntN(len(tail))
			clear(tail[at:min(len(tail), at+1+m.rand.IntN(512))])
			m.tornFiles++
		}
	}
	data := append(slices.Clone(f.data[:f.synced]), tail...)
	return &inode{data: data, synced: len(data)}
}

func (m *memFS) applyDirOp(op dirOp) {
	if op.from != "" {
		if m.durable[op.from] == nil && op.to == "" {
			return
		}
		delete(m.durable, op.from)
	}
	if op.to != "" {
		m.durable[op.to] = op.file
	}
}

// applyHalves applies each half of a rename or loses it.
func (m *memFS) applyHalves(op dirOp) {
	if m.rand.IntN(2) == 0 {
		m.applyDirOp(dirOp{from: op.from})
	}
	if m.rand.IntN(2) == 0 {
		m.applyDirOp(dirOp{to: op.to, file: op.file})
	}
}

// recordCreation makes the name under which a file was created durable.
func (m *memFS) recordCreation(f *inode) {
	m.pending = slices.DeleteFunc(m.pending, func(op dirOp) bool {
		created := op.file == f && op.from == ""
		if created {
			m.applyDirOp(op)
		}
		return created
	})
}

// wipe empties the disk.
func (m *memFS) wipe() {
	m.kill()
	m.files, m.durable, m.pending = map[string]*inode{}, map[string]*inode{}, nil
}

func (m *memFS) MkdirAll(string) error { return m.countOp() }

func (m *memFS) List(dir string) ([]string, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return bytes.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	f := &inode{}
	m.files[name] = f
	m.pending = append(m.pending, dirOp{to: name, file: f})
	return &memFile{m, f}, nil
}

func (m *memFS) Append(name string) (File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return &memFile{m, f}, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	f := m.files[from]
	delete(m.files, from)
	m.files[to] = f
	m.pending = append(m.pending, dirOp{from: from, to: to, file: f})
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.files, name)
	m.pending = append(m.pending, dirOp{from: name})
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	if m.injectsError() {
		return syscall.EIO
	}
	for _, op := range m.pending {
		m.applyDirOp(op)
	}
	m.pending = nil
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locked[name] {
		return nil, errors.New("locked by another process")
	}
	m.locked[name] = true
	return &memLock{m, name}, nil
}

type memLock struct {
	fs   *memFS
	name string
}

func (l *memLock) Close() error { delete(l.fs.locked, l.name); return nil }

type memFile struct {
	fs *memFS
	*inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.countOp(); err != nil {
		// The crash interrupts the write.
		f.data = append(f.data, b[:f.fs.rand.IntN(len(b)+1)]...)
		return 0, err
	}
	if f.fs.injectsError() {
		n := f.fs.rand.IntN(len(b) + 1)
		f.data = append(f.data, b[:n]...)
		return n, syscall.ENOSPC
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	if f.fs.injectsError() {
		f.syncFailed = true
		return syscall.EIO
	}
	if !f.syncFailed {
		f.synced = len(f.data)
		if f.fs.losses.ownSync {
			f.fs.recordCreation(f.inode)
		}
	}
	return nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

func (f *memFile) Close() error { return nil }
