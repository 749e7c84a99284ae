package control

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"cactusspar/internal/wal"
)

var errNoPower = errors.New("no power")

// powerFS is an in-memory file system of an instance that may lose its power: data that
// was not synced is then gone. Names are lost unless their folder was synced or, with
// ownSync, their file.
type powerFS struct {
	rand    *rand.Rand
	ownSync bool
	off     bool
	opsLeft int                   // operations before the power loss; negative for no power loss
	files   map[string]*powerFile // as seen by processes
	durable map[string]*powerFile // names that survive a power loss
}

type powerFile struct {
	data   []byte
	synced int
}

func newPowerFS(r *rand.Rand) *powerFS {
	return &powerFS{rand: r, ownSync: r.IntN(2) == 0, opsLeft: -1, files: map[string]*powerFile{}, durable: map[string]*powerFile{}}
}

// restore turns the power on.
func (p *powerFS) restore() { p.off, p.opsLeft = false, -1 }

// cut ends all operations until restore. Half of the times, each name that was created,
// renamed or removed without a sync is kept or lost independently; otherwise all are lost.
func (p *powerFS) cut() {
	p.off, p.opsLeft = true, -1
	if p.rand.IntN(2) == 0 {
		names := map[string]bool{}
		for name := range p.files {
			names[name] = true
		}
		for name := range p.durable {
			names[name] = true
		}
		for _, name := range sortedNames(names) {
			if p.rand.IntN(2) == 0 {
				p.record(name)
			}
		}
	}
	p.files = map[string]*powerFile{}
	for name, f := range p.durable {
		kept := &powerFile{data: slices.Clone(f.data[:f.synced]), synced: f.synced}
		p.files[name], p.durable[name] = kept, kept
	}
}

func sortedNames(names map[string]bool) []string {
	var out []string
	for name := range names {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// record makes the present state of a name durable.
func (p *powerFS) record(name string) {
	if f := p.files[name]; f != nil {
		p.durable[name] = f
	} else {
		delete(p.durable, name)
	}
}

// check counts an operation.
func (p *powerFS) check() error {
	if p.opsLeft == 0 {
		p.cut()
	}
	if p.off {
		return errNoPower
	}
	p.opsLeft--
	return nil
}

func (p *powerFS) MkdirAll(string) error { return p.check() }

func (p *powerFS) List(dir string) ([]string, error) {
	names := map[string]bool{}
	for name := range p.files {
		if filepath.Dir(name) == dir {
			names[filepath.Base(name)] = true
		}
	}
	return sortedNames(names), p.check()
}

func (p *powerFS) ReadFile(name string) ([]byte, error) {
	f := p.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), p.check()
}

func (p *powerFS) Create(name string) (wal.File, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	f := &powerFile{}
	p.files[name] = f
	return &openPowerFile{p, name, f}, nil
}

func (p *powerFS) Append(name string) (wal.File, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	f := p.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return &openPowerFile{p, name, f}, nil
}

func (p *powerFS) Rename(from, to string) error {
	if err := p.check(); err != nil {
		return err
	}
	p.files[to] = p.files[from]
	delete(p.files, from)
	return nil
}

func (p *powerFS) Remove(name string) error {
	if err := p.check(); err != nil {
		return err
	}
	delete(p.files, name)
	return nil
}

func (p *powerFS) SyncDir(dir string) error {
	if err := p.check(); err != nil {
		return err
	}
	names := map[string]bool{}
	for name := range p.files {
		names[name] = true
	}
	for name := range p.durable {
		names[name] = true
	}
	for name := range names {
		if filepath.Dir(name) == dir {
			p.record(name)
		}
	}
	return nil
}

func (p *powerFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), p.check() }

type openPowerFile struct {
	fs   *powerFS
	name string
	*powerFile
}

func (f *openPowerFile) Write(b []byte) (int, error) {
	if err := f.fs.check(); err != nil {
		return 0, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *openPowerFile) Sync() error {
	if err := f.fs.check(); err != nil {
		return err
	}
	f.synced = len(f.data)
	if f.fs.ownSync && f.fs.files[f.name] == f.powerFile {
		f.fs.record(f.name)
	}
	return nil
}

func (f *openPowerFile) Truncate(size int64) error {
	if err := f.fs.check(); err != nil {
		return err
	}
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

func (f *openPowerFile) Close() error { return nil }
