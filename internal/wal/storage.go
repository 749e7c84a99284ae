package wal

import (
	"crypto/rand"
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// batchesPerSegment is the least number of records that fit into a segment. It
// bounds the entries in one record, unless that holds a single one.
const batchesPerSegment = 4

// entryOverheadBytes is an upper bound of the encoded size of an entry without
// its data.
const entryOverheadBytes = 40

const lockName = "lock"

// Options hold the settings of a storage.
type Options struct {
	// Cluster is the identity of the cluster. It is stored when the folder is
	// created and has to be equal later. Empty accepts any existing folder.
	Cluster string
	// FS is the file system, by default Disk.
	FS FS
	// Random is the source of replica identities, by default crypto/rand.
	Random io.Reader

	segmentBytes int64 // by default MaxSegmentBytes
}

// Storage is the durable state of a replica. It is not safe for use by several
// goroutines at once.
type Storage struct {
	fs       FS
	folder   string
	lock     io.Closer
	identity Identity
	err      error

	file      File
	size      int64
	sequence  uint64
	maxSize   int64
	segments  []segmentInfo // all segments in order; the last one is written to
	hardState consensus.HardState
	durable   consensus.HardState // as in the last record
	last      position            // end of the log
	snapshot  uint64              // index of the last snapshot
	buf       []byte
}

// segmentInfo describes a segment file.
type segmentInfo struct {
	sequence uint64
	last     uint64 // end of the log before the segment
}

// Open opens a data folder, or creates it with a new replica identity, and
// returns what a core continues from.
func Open(folder string, o Options) (*Storage, consensus.Start, error) {
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.segmentBytes == 0 {
		o.segmentBytes = MaxSegmentBytes
	}
	s := &Storage{fs: o.FS, folder: folder, maxSize: o.segmentBytes}
	if err := s.fs.MkdirAll(folder); err != nil {
		return nil, consensus.Start{}, errs.New("create data folder: %w", err)
	}
	lock, err := s.fs.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, consensus.Start{}, err
	}
	s.lock = lock
	start, err := s.open(o)
	if err != nil {
		if s.file != nil {
			_ = s.file.Close()
		}
		_ = lock.Close()
		return nil, consensus.Start{}, err
	}
	return s, start, nil
}

func (s *Storage) open(o Options) (consensus.Start, error) {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return consensus.Start{}, errs.New("open data folder: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return consensus.Start{}, errs.New("remove unfinished file: %w", err)
			}
		}
	}
	if !slices.Contains(names, identityName) {
		return consensus.Start{}, s.create(o, names)
	}
	if s.identity, err = readIdentity(s.fs, s.folder); err != nil {
		return consensus.Start{}, err
	}
	if o.Cluster != "" && o.Cluster != s.identity.Cluster {
		return consensus.Start{}, &ClusterError{s.folder, s.identity.Cluster, o.Cluster}
	}
	return s.load(names)
}

// create makes an empty storage. The identity is written last: a folder without
// one has never been used by a replica, so that leftovers are removed.
func (s *Storage) create(o Options, names []string) error {
	for _, name := range names {
		if _, ok := parseName(name, segmentPrefix, segmentSuffix); ok && name != segmentName(1) {
			return &DamageError{File: s.path(name), Text: "a segment without an identity file"}
		}
		if _, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok {
			return &DamageError{File: s.path(name), Text: "a snapshot without an identity file"}
		}
	}
	id, err := newReplicaID(o.Random)
	if err != nil {
		return err
	}
	s.identity = Identity{Replica: id, Cluster: o.Cluster}
	if err := s.startSegment(); err != nil {
		return err
	}
	if err := writeIdentity(s.fs, s.folder, s.identity); err != nil {
		return errs.New("write identity: %w", err)
	}
	return nil
}

// load reads the newest snapshot and all segments.
func (s *Storage) load(names []string) (consensus.Start, error) {
	var start consensus.Start
	var segments, snapshots []uint64
	for _, name := range names {
		if n, ok := parseName(name, segmentPrefix, segmentSuffix); ok {
			segments = append(segments, n)
		}
		if n, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok {
			snapshots = append(snapshots, n)
		}
	}
	if len(segments) == 0 {
		return start, &DamageError{File: s.path(identityName), Text: "there is no log segment beside it"}
	}
	if len(snapshots) > 0 {
		index := snapshots[len(snapshots)-1]
		path := s.path(snapshotName(index))
		data, err := s.fs.ReadFile(path)
		if err != nil {
			return start, errs.New("read snapshot: %w", err)
		}
		if start.Snapshot, err = decodeSnapshot(path, index, data); err != nil {
			return start, err
		}
		s.snapshot = index
	}
	p, err := s.readSegments(segments)
	if err != nil {
		return start, err
	}
	start.Entries = p.after(start.Snapshot)
	start.HardState = p.hardState
	if start.Snapshot != nil {
		start.HardState.Commit = max(start.HardState.Commit, s.snapshot)
		if start.HardState.Term < start.Snapshot.Term {
			// The crash came between a received snapshot and its hard state.
			start.HardState.Term, start.HardState.Vote = start.Snapshot.Term, 0
		}
	}
	s.hardState, s.durable, s.last = start.HardState, start.HardState, p.last()
	if err := s.finishInstall(start); err != nil {
		return start, err
	}
	return start, s.removeObsolete()
}

// finishInstall drops the log that a received snapshot replaces, if a crash
// came between saving the snapshot and dropping the log.
func (s *Storage) finishInstall(start consensus.Start) error {
	if start.Snapshot == nil || len(start.Entries) > 0 {
		return nil
	}
	end := position{start.Snapshot.Index, start.Snapshot.Term}
	if s.last == end {
		return nil
	}
	return s.write(&record{Reset: &end})
}

func (s *Storage) readSegments(segments []uint64) (*replay, error) {
	p := &replay{replica: s.identity.Replica, covered: s.snapshot}
	for i, sequence := range segments {
		path := s.path(segmentName(sequence))
		data, err := s.fs.ReadFile(path)
		if err != nil {
			return nil, errs.New("read segment: %w", err)
		}
		before := p.last().Index
		isLast := i == len(segments)-1
		end, err := p.read(path, sequence, data, isLast)
		if err != nil {
			return nil, err
		}
		s.segments = append(s.segments, segmentInfo{sequence, before})
		if !isLast {
			continue
		}
		if err := s.reopen(path, data[:end]); err != nil {
			return nil, err
		}
		s.size, s.sequence = int64(end), sequence
	}
	return p, nil
}

// reopen writes the valid part of the last segment anew, which also cuts a torn
// tail. What was read may never have reached the disk, after a kill between
// write and sync or after a failed sync, and a later sync of the same file need
// not write it.
func (s *Storage) reopen(path string, data []byte) error {
	err := writeAtomically(s.fs, s.folder, filepath.Base(path), func(write func([]byte) error) error { return write(data) })
	if err != nil {
		return errs.New("rewrite last segment: %w", err)
	}
	if s.file, err = s.fs.Append(path); err != nil {
		return errs.New("open segment: %w", err)
	}
	return nil
}

func (s *Storage) path(name string) string { return filepath.Join(s.folder, name) }

// Identity returns the identities stored in the folder.
func (s *Storage) Identity() Identity { return s.identity }

// Err returns the error that made the storage unusable, or nil.
func (s *Storage) Err() error { return s.err }

// fail makes the storage unusable.
func (s *Storage) fail(err error) error {
	if err != nil && s.err == nil {
		s.err = err
	}
	return s.err
}

// Save makes a Ready's snapshot, hard state and entries durable. A hard state
// that needs no sync is kept and written with the next record.
func (s *Storage) Save(r consensus.Ready) error {
	if s.err != nil {
		return s.err
	}
	return s.fail(s.save(r))
}

func (s *Storage) save(r consensus.Ready) error {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		if err := s.writeSnapshot(r.Snapshot); err != nil {
			return err
		}
		reset := position{r.Snapshot.Index, r.Snapshot.Term}
		if err := s.write(&record{Reset: &reset}); err != nil {
			return err
		}
		if err := s.removeObsolete(); err != nil {
			return err
		}
	}
	if len(r.Entries) == 0 {
		if !r.MustSync || r.Snapshot != nil {
			return nil
		}
		return s.write(&record{})
	}
	return s.saveEntries(r.Entries)
}

// saveEntries writes entries in records of bounded size.
func (s *Storage) saveEntries(entries []consensus.Entry) error {
	for len(entries) > 0 {
		n, total := 0, 0
		for n < len(entries) {
			total += entryOverheadBytes + len(entries[n].Data)
			if n > 0 && int64(total) > s.maxSize/batchesPerSegment {
				break
			}
			n++
		}
		if err := s.write(&record{Entries: entries[:n]}); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

// write appends a record with the hard state and syncs it.
func (s *Storage) write(rec *record) error {
	end := s.last
	if rec.Reset != nil {
		end = *rec.Reset
	}
	if n := len(rec.Entries); n > 0 {
		end = position{rec.Entries[n-1].Index, rec.Entries[n-1].Term}
	}
	rec.HardState = s.hardStateUpTo(end)
	if err := s.encode(rec); err != nil {
		return err
	}
	if s.size+int64(len(s.buf)) > s.maxSize {
		if err := s.startSegment(); err != nil {
			return err
		}
		if err := s.encode(rec); err != nil {
			return err
		}
	}
	if _, err := s.file.Write(s.buf); err != nil {
		return errs.New("write log: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return errs.New("sync log: %w", err)
	}
	s.size += int64(len(s.buf))
	s.last, s.durable = end, *rec.HardState
	return nil
}

// hardStateUpTo returns the hard state with a commit index within the log as it
// will be after the next write. The rest of the log may be lost in a crash.
func (s *Storage) hardStateUpTo(end position) *consensus.HardState {
	hs := s.hardState
	hs.Commit = min(hs.Commit, end.Index)
	return &hs
}

func (s *Storage) encode(rec *record) error {
	var err error
	s.buf, err = appendRecord(s.buf[:0], salt(s.identity.Replica, s.sequence), s.size, rec)
	return err
}

// startSegment creates the next segment. It appears with its whole header, so
// that only later records can be torn. The header repeats the last durable hard
// state: the commit index of a newer one may stand for entries that the next
// record is about to put in place of others.
func (s *Storage) startSegment() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errs.New("close segment: %w", err)
		}
		s.file = nil
	}
	next := s.sequence + 1
	h := segmentHeader{Version: formatVersion, Replica: s.identity.Replica, Sequence: next, Last: s.last, HardState: s.durable}
	header, err := appendRecord(nil, salt(s.identity.Replica, next), 0, &h)
	if err != nil {
		return err
	}
	name := segmentName(next)
	err = writeAtomically(s.fs, s.folder, name, func(write func([]byte) error) error { return write(header) })
	if err != nil {
		return errs.New("create segment: %w", err)
	}
	if s.file, err = s.fs.Append(s.path(name)); err != nil {
		return errs.New("open segment: %w", err)
	}
	s.sequence, s.size = next, int64(len(header))
	s.segments = append(s.segments, segmentInfo{next, s.last.Index})
	return nil
}

// SaveSnapshot makes a snapshot of the own state machine durable and removes
// the segments that it makes obsolete.
func (s *Storage) SaveSnapshot(snap consensus.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if snap.Index <= s.snapshot {
		return nil
	}
	err := s.writeSnapshot(&snap)
	if err == nil {
		err = s.removeObsolete()
	}
	return s.fail(err)
}

func (s *Storage) writeSnapshot(snap *consensus.Snapshot) error {
	err := writeAtomically(s.fs, s.folder, snapshotName(snap.Index), func(write func([]byte) error) error {
		return encodeSnapshot(snap, write)
	})
	if err != nil {
		return errs.New("write snapshot: %w", err)
	}
	s.snapshot = snap.Index
	return nil
}

// removeObsolete removes older snapshots, and the segments that hold nothing
// after the last snapshot. Each removal of a segment is synced before the next
// one, so that a crash never leaves a gap.
func (s *Storage) removeObsolete() error {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return errs.New("list data folder: %w", err)
	}
	for _, name := range names {
		index, ok := parseName(name, snapshotPrefix, snapshotSuffix)
		if !ok || index >= s.snapshot {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return errs.New("remove snapshot: %w", err)
		}
	}
	for len(s.segments) > 1 && s.segments[1].last <= s.snapshot {
		if err := s.fs.Remove(s.path(segmentName(s.segments[0].sequence))); err != nil {
			return errs.New("remove segment: %w", err)
		}
		if err := s.fs.SyncDir(s.folder); err != nil {
			return errs.New("remove segment: %w", err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Close ends the use of the folder.
func (s *Storage) Close() error {
	if s.lock == nil {
		return nil
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	err = errors.Join(err, s.lock.Close())
	s.lock, s.file = nil, nil
	_ = s.fail(ErrClosed)
	return err
}
