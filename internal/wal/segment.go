package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// MaxSegmentBytes limits the size of a segment file.
const MaxSegmentBytes = 8 << 20

const (
	segmentPrefix   = "log-"
	segmentSuffix   = ".segment"
	temporarySuffix = ".tmp"
)

func segmentFileName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// parseFileName returns the number in a file name of the given form.
func parseFileName(name, prefix, suffix string) (uint64, bool) {
	middle, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	middle, ok = strings.CutSuffix(middle, suffix)
	if !ok || len(middle) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(middle, 16, 64)
	return n, err == nil
}

// segmentSalt returns the checksum salt of a segment, which differs between the
// segments of a replica.
func segmentSalt(replica consensus.ReplicaID, sequence uint64) uint64 {
	return uint64(replica) ^ sequence<<1
}

// recordReader reads the records of one file.
type recordReader struct {
	file          string
	data          []byte
	salt          uint64
	offset        int
	allowTornTail bool // the file is the last segment
}

func (r *recordReader) corruption(format string, args ...any) error {
	return &CorruptionError{File: r.file, Offset: int64(r.offset), Reason: fmt.Sprintf(format, args...)}
}

// next decodes the next record into v. It returns false at the end of the file and
// at a torn tail, which then starts at r.offset.
func (r *recordReader) next(v any) (bool, error) {
	if r.offset == len(r.data) {
		return false, nil
	}
	body, problem := parseRecord(r.data, r.salt, r.offset)
	if problem != "" {
		if r.allowTornTail && r.offset > 0 && !hasRecordAfter(r.data, r.salt, r.offset) {
			return false, nil
		}
		return false, r.corruption("%s", problem)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return false, r.corruption("decode record body: %v", err)
	}
	r.offset += recordHeaderBytes + len(body)
	return true, nil
}

// logReplay rebuilds the log from its segments, which are read in order.
type logReplay struct {
	replica       consensus.ReplicaID
	snapshotIndex uint64 // index of the last snapshot
	started       bool
	sequence      uint64
	hardState     consensus.HardState
	base          position // position of the entry before entries[0]
	entries       []consensus.Entry
}

func (p *logReplay) last() position {
	if n := len(p.entries); n > 0 {
		return position{p.entries[n-1].Index, p.entries[n-1].Term}
	}
	return p.base
}

// readSegment reads one segment and returns the offset at which its valid part
// ends.
func (p *logReplay) readSegment(file string, sequence uint64, data []byte, isLast bool) (int, error) {
	r := &recordReader{file: file, data: data, salt: segmentSalt(p.replica, sequence), allowTornTail: isLast}
	if err := p.readHeader(r, sequence); err != nil {
		return 0, err
	}
	for {
		var rec record
		at := r.offset
		ok, err := r.next(&rec)
		if err != nil || !ok {
			return r.offset, err
		}
		if err := p.applyRecord(&rec); err != nil {
			r.offset = at
			return 0, r.corruption("%v", err)
		}
	}
}

func (p *logReplay) readHeader(r *recordReader, sequence uint64) error {
	var h segmentHeader
	ok, err := r.next(&h)
	if err != nil {
		return err
	}
	if !ok {
		return r.corruption("no segment header")
	}
	headerReader := &recordReader{file: r.file}
	switch {
	case h.Version != formatVersion:
		return headerReader.corruption("format version %d, expected %d", h.Version, formatVersion)
	case h.Replica != p.replica || h.Sequence != sequence:
		return headerReader.corruption("header of segment %d of replica %x, expected segment %d of replica %x", h.Sequence, uint64(h.Replica), sequence, uint64(p.replica))
	case p.started && sequence != p.sequence+1:
		return headerReader.corruption("segment %d follows segment %d", sequence, p.sequence)
	case p.started && h.Last != p.last():
		return headerReader.corruption("the log before this segment ends at %+v, expected %+v", p.last(), h.Last)
	case !p.started && h.Last.Index > p.snapshotIndex:
		return headerReader.corruption("the log begins after entry %d, but the snapshot ends at entry %d", h.Last.Index, p.snapshotIndex)
	}
	if !p.started {
		p.base = h.Last
	}
	p.started, p.sequence, p.hardState = true, sequence, h.HardState
	return nil
}

func (p *logReplay) applyRecord(rec *record) error {
	if rec.HardState != nil {
		if rec.HardState.Term < p.hardState.Term {
			return errs.New("hard state of term %d follows term %d", rec.HardState.Term, p.hardState.Term)
		}
		p.hardState = *rec.HardState
	}
	if rec.Reset != nil {
		p.base, p.entries = *rec.Reset, nil
	}
	for i := range rec.Entries {
		if err := p.appendEntry(&rec.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *logReplay) appendEntry(e *consensus.Entry) error {
	last := p.last().Index
	switch {
	case e.Index == last+1:
	case e.Index > last+1 || e.Index == 0:
		return errs.New("entry %d follows entry %d", e.Index, last)
	case e.Index > p.base.Index:
		p.entries = p.entries[:e.Index-p.base.Index-1]
	case e.Index <= p.snapshotIndex:
		// The replaced entries were in segments that became obsolete with the
		// snapshot and were removed.
		p.base, p.entries = position{Index: e.Index - 1}, nil
	default:
		return errs.New("entry %d, but the log begins after entry %d", e.Index, p.base.Index)
	}
	p.entries = append(p.entries, *e)
	return nil
}

// entriesAfter returns the entries that follow a snapshot. If the log does not hold
// the snapshot's last entry, the snapshot was received from a leader and replaces
// the whole log, and there are no such entries.
func (p *logReplay) entriesAfter(s *consensus.Snapshot) []consensus.Entry {
	if s == nil {
		return p.entries
	}
	if s.Index == p.base.Index && s.Term == p.base.Term {
		return p.entries
	}
	if s.Index > p.base.Index && s.Index <= p.last().Index {
		at := s.Index - p.base.Index
		if p.entries[at-1].Term == s.Term {
			return p.entries[at:]
		}
	}
	return nil
}
