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

// minRecordsPerSegment is the least number of records for which a segment has room.
// It limits the entries in one record, except for a record with a single entry.
const minRecordsPerSegment = 4

// entryOverheadBytes is an upper bound for the encoded size of an entry without
// its data.
const entryOverheadBytes = 40

const lockFileName = "lock"

// Options holds the settings of a Storage.
type Options struct {
	// Cluster is the identity of the cluster. It is stored when the folder is
	// created, and must match when the folder is opened again. If empty, a folder
	// of any cluster is accepted.
	Cluster string
	// FS is the file system; the default is Disk.
	FS FS
	// Random is the source of replica IDs; the default is crypto/rand.
	Random io.Reader

	segmentBytes int64 // the default is MaxSegmentBytes
}

// Storage holds the durable state of a replica. It is not safe for concurrent use.
type Storage struct {
	fs       FS
	folder   string
	lock     io.Closer
	identity Identity
	err      error

	file             File
	size             int64
	sequence         uint64
	maxSize          int64
	segments         []segmentInfo // all segments in order; records are appended to the last one
	hardState        consensus.HardState
	durableHardState consensus.HardState // the hard state in the last record
	last             position            // position of the last entry
	lastSnapshot     uint64              // index of the last snapshot
	buf              []byte
}

// segmentInfo describes a segment file.
type segmentInfo struct {
	sequence   uint64
	lastBefore uint64 // index of the last entry before the segment
}

// Open opens a data folder, or creates one with a new replica ID, and returns the
// state from which a consensus.Core resumes.
func Open(folder string, o Options) (*Storage, consensus.DurableState, error) {
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
		return nil, consensus.DurableState{}, errs.New("create data folder: %w", writeError(err))
	}
	lock, err := s.fs.Lock(filepath.Join(folder, lockFileName))
	if err != nil {
		return nil, consensus.DurableState{}, writeError(err)
	}
	s.lock = lock
	durable, err := s.open(o)
	if err != nil {
		if s.file != nil {
			_ = s.file.Close()
		}
		_ = lock.Close()
		return nil, consensus.DurableState{}, err
	}
	return s, durable, nil
}

func (s *Storage) open(o Options) (consensus.DurableState, error) {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return consensus.DurableState{}, errs.New("open data folder: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return consensus.DurableState{}, errs.New("remove temporary file: %w", err)
			}
		}
	}
	if !slices.Contains(names, identityFileName) {
		return consensus.DurableState{}, s.initialise(o, names)
	}
	if s.identity, err = readIdentity(s.fs, s.folder); err != nil {
		return consensus.DurableState{}, err
	}
	if o.Cluster != "" && o.Cluster != s.identity.Cluster {
		return consensus.DurableState{}, &ClusterMismatchError{s.folder, s.identity.Cluster, o.Cluster}
	}
	return s.load(names)
}

// initialise creates an empty storage. The identity file is written last, so that
// a folder without one was never used by a replica, and the remains of an
// interrupted initialisation can be overwritten.
func (s *Storage) initialise(o Options, names []string) error {
	for _, name := range names {
		if _, ok := parseFileName(name, segmentPrefix, segmentSuffix); ok && name != segmentFileName(1) {
			return &CorruptionError{File: s.path(name), Reason: "segment without an identity file"}
		}
		if _, ok := parseFileName(name, snapshotPrefix, snapshotSuffix); ok {
			return &CorruptionError{File: s.path(name), Reason: "snapshot without an identity file"}
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

// load reads the last snapshot and all segments, and returns the state that they
// hold.
func (s *Storage) load(names []string) (consensus.DurableState, error) {
	var durable consensus.DurableState
	var segments, snapshots []uint64
	for _, name := range names {
		if n, ok := parseFileName(name, segmentPrefix, segmentSuffix); ok {
			segments = append(segments, n)
		}
		if n, ok := parseFileName(name, snapshotPrefix, snapshotSuffix); ok {
			snapshots = append(snapshots, n)
		}
	}
	if len(segments) == 0 {
		return durable, &CorruptionError{File: s.path(identityFileName), Reason: "identity file without a log segment"}
	}
	if len(snapshots) > 0 {
		index := snapshots[len(snapshots)-1]
		path := s.path(snapshotFileName(index))
		data, err := s.fs.ReadFile(path)
		if err != nil {
			return durable, errs.New("read snapshot: %w", err)
		}
		if durable.Snapshot, err = decodeSnapshot(path, index, data); err != nil {
			return durable, err
		}
		s.lastSnapshot = index
	}
	p, err := s.readSegments(segments)
	if err != nil {
		return durable, err
	}
	durable.Entries = p.entriesAfter(durable.Snapshot)
	durable.HardState = p.hardState
	if durable.Snapshot != nil {
		durable.HardState.Commit = max(durable.HardState.Commit, s.lastSnapshot)
		if durable.HardState.Term < durable.Snapshot.Term {
			// A crash occurred after a received snapshot was saved and before its
			// hard state was.
			durable.HardState.Term, durable.HardState.Vote = durable.Snapshot.Term, 0
		}
	}
	s.hardState, s.durableHardState, s.last = durable.HardState, durable.HardState, p.last()
	if err := s.finishSnapshotInstall(durable); err != nil {
		return durable, err
	}
	return durable, s.removeObsoleteFiles()
}

// finishSnapshotInstall discards the log that a received snapshot replaces, if a
// crash occurred after the snapshot was saved and before the log was discarded.
func (s *Storage) finishSnapshotInstall(durable consensus.DurableState) error {
	if durable.Snapshot == nil || len(durable.Entries) > 0 {
		return nil
	}
	end := position{durable.Snapshot.Index, durable.Snapshot.Term}
	if s.last == end {
		return nil
	}
	return s.writeRecord(&record{Reset: &end})
}

func (s *Storage) readSegments(segments []uint64) (*logReplay, error) {
	p := &logReplay{replica: s.identity.Replica, snapshotIndex: s.lastSnapshot}
	for i, sequence := range segments {
		path := s.path(segmentFileName(sequence))
		data, err := s.fs.ReadFile(path)
		if err != nil {
			return nil, errs.New("read segment: %w", err)
		}
		before := p.last().Index
		isLast := i == len(segments)-1
		end, err := p.readSegment(path, sequence, data, isLast)
		if err != nil {
			return nil, err
		}
		s.segments = append(s.segments, segmentInfo{sequence, before})
		if !isLast {
			continue
		}
		if err := s.rewriteLastSegment(path, data[:end]); err != nil {
			return nil, err
		}
		s.size, s.sequence = int64(end), sequence
	}
	return p, nil
}

// rewriteLastSegment replaces the last segment by a synced copy of its valid part
// and opens it for appending. This removes a torn tail. It also makes the data that
// was read durable: after a kill between write and sync, or after a failed sync, it
// may never have reached the disk, and a later sync of the same file need not write
// it.
func (s *Storage) rewriteLastSegment(path string, data []byte) error {
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

// Identity returns the identity stored in the folder.
func (s *Storage) Identity() Identity { return s.identity }

// Err returns the error that made the storage unusable, or nil.
func (s *Storage) Err() error { return s.err }

// fail makes the storage unusable if err is not nil, and returns the first error
// that did so. A call that found no room may be repeated.
func (s *Storage) fail(err error) error {
	if errors.Is(err, ErrNoRoom) && s.err == nil {
		return err
	}
	if err != nil && s.err == nil {
		s.err = err
	}
	return s.err
}

// Save makes a Ready's snapshot, hard state and entries durable. A hard state that
// does not have to be synced is written with the next record.
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
		if err := s.writeRecord(&record{Reset: &reset}); err != nil {
			return err
		}
		if err := s.removeObsoleteFiles(); err != nil {
			return err
		}
	}
	if len(r.Entries) == 0 {
		if !r.MustSync || r.Snapshot != nil {
			return nil
		}
		return s.writeRecord(&record{})
	}
	return s.saveEntries(r.Entries)
}

// saveEntries writes entries in records of limited size.
func (s *Storage) saveEntries(entries []consensus.Entry) error {
	for len(entries) > 0 {
		n, total := 0, 0
		for n < len(entries) {
			total += entryOverheadBytes + len(entries[n].Data)
			if n > 0 && int64(total) > s.maxSize/minRecordsPerSegment {
				break
			}
			n++
		}
		if err := s.writeRecord(&record{Entries: entries[:n]}); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

// writeRecord adds the hard state to a record, appends the record to the log and
// syncs it. It starts a new segment if the record does not fit.
func (s *Storage) writeRecord(rec *record) error {
	end := s.last
	if rec.Reset != nil {
		end = *rec.Reset
	}
	if n := len(rec.Entries); n > 0 {
		end = position{rec.Entries[n-1].Index, rec.Entries[n-1].Term}
	}
	rec.HardState = s.hardStateUpTo(end)
	if err := s.encodeRecord(rec); err != nil {
		return err
	}
	if s.size+int64(len(s.buf)) > s.maxSize {
		if err := s.startSegment(); err != nil {
			return err
		}
		if err := s.encodeRecord(rec); err != nil {
			return err
		}
	}
	if _, err := s.file.Write(s.buf); err != nil {
		err = writeError(err)
		if errors.Is(err, ErrNoRoom) {
			if cutErr := s.file.Truncate(s.size); cutErr != nil {
				return errs.New("cut off a refused write: %w", cutErr)
			}
		}
		return errs.New("write log: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return errs.New("sync log: %w", err)
	}
	s.size += int64(len(s.buf))
	s.last, s.durableHardState = end, *rec.HardState
	return nil
}

// hardStateUpTo returns the hard state with a commit index of at most end, the last
// entry after the next write. A crash may lose entries that are written later.
func (s *Storage) hardStateUpTo(end position) *consensus.HardState {
	hs := s.hardState
	hs.Commit = min(hs.Commit, end.Index)
	return &hs
}

func (s *Storage) encodeRecord(rec *record) error {
	var err error
	s.buf, err = appendRecord(s.buf[:0], segmentSalt(s.identity.Replica, s.sequence), s.size, rec)
	return err
}

// startSegment creates the next segment. The file appears with a complete header,
// so that only later records can be torn. The header holds the last durable hard
// state: the commit index of a newer one may cover entries of the next record that
// replace others and are not written yet.
func (s *Storage) startSegment() error {
	next := s.sequence + 1
	h := segmentHeader{Version: formatVersion, Replica: s.identity.Replica, Sequence: next, Last: s.last, HardState: s.durableHardState}
	header, err := appendRecord(nil, segmentSalt(s.identity.Replica, next), 0, &h)
	if err != nil {
		return err
	}
	name := segmentFileName(next)
	err = writeAtomically(s.fs, s.folder, name, func(write func([]byte) error) error { return write(header) })
	if err != nil {
		return errs.New("create segment: %w", err)
	}
	former := s.file
	if s.file, err = s.fs.Append(s.path(name)); err != nil {
		return errs.New("open segment: %w", err)
	}
	if former != nil {
		if err := former.Close(); err != nil {
			return errs.New("close segment: %w", err)
		}
	}
	s.sequence, s.size = next, int64(len(header))
	s.segments = append(s.segments, segmentInfo{next, s.last.Index})
	return nil
}

// SaveSnapshot makes a snapshot of this replica's state machine durable, and
// removes older snapshots and obsolete segments. It ignores a snapshot that is not
// newer than the last one.
func (s *Storage) SaveSnapshot(snap consensus.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if snap.Index <= s.lastSnapshot {
		return nil
	}
	err := s.writeSnapshot(&snap)
	if err == nil {
		err = s.removeObsoleteFiles()
	}
	return s.fail(err)
}

func (s *Storage) writeSnapshot(snap *consensus.Snapshot) error {
	err := writeAtomically(s.fs, s.folder, snapshotFileName(snap.Index), func(write func([]byte) error) error {
		return encodeSnapshot(snap, write)
	})
	if err != nil {
		return errs.New("write snapshot: %w", err)
	}
	s.lastSnapshot = snap.Index
	return nil
}

// removeObsoleteFiles removes older snapshots, and segments without entries after
// the last snapshot. The removal of a segment is synced before the next one is
// removed, so that a crash never leaves a gap.
func (s *Storage) removeObsoleteFiles() error {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return errs.New("list data folder: %w", err)
	}
	for _, name := range names {
		index, ok := parseFileName(name, snapshotPrefix, snapshotSuffix)
		if !ok || index >= s.lastSnapshot {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return errs.New("remove snapshot: %w", err)
		}
	}
	for len(s.segments) > 1 && s.segments[1].lastBefore <= s.lastSnapshot {
		if err := s.fs.Remove(s.path(segmentFileName(s.segments[0].sequence))); err != nil {
			return errs.New("remove segment: %w", err)
		}
		if err := s.fs.SyncDir(s.folder); err != nil {
			return errs.New("remove segment: %w", err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Close closes the storage and releases the lock on its folder.
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
