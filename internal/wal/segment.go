package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// MaxSegmentBytes bounds the size of a segment file.
const MaxSegmentBytes = 8 << 20

const (
	segmentPrefix = "log-"
	segmentSuffix = ".segment"
	temporary     = ".tmp"
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// parseName returns the number in a name of the given form.
func parseName(name, prefix, suffix string) (uint64, bool) {
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

// salt makes the records of each segment distinct.
func salt(replica consensus.ReplicaID, sequence uint64) uint64 {
	return uint64(replica) ^ sequence<<1
}

// segmentReader reads the records of one segment.
type segmentReader struct {
	file     string
	data     []byte
	salt     uint64
	offset   int
	mayBeCut bool // it is the last segment
}

func (r *segmentReader) damage(format string, args ...any) error {
	return &DamageError{File: r.file, Offset: int64(r.offset), Text: fmt.Sprintf(format, args...)}
}

// next decodes the next record into v. It reports false at the end of the
// segment and at a torn tail, which then begins at r.offset.
func (r *segmentReader) next(v any) (bool, error) {
	if r.offset == len(r.data) {
		return false, nil
	}
	body, bad := bodyAt(r.data, r.salt, r.offset)
	if bad != "" {
		if r.mayBeCut && r.offset > 0 && !hasRecordAfter(r.data, r.salt, r.offset) {
			return false, nil
		}
		return false, r.damage("%s", bad)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return false, r.damage("content: %v", err)
	}
	r.offset += recordHeaderBytes + len(body)
	return true, nil
}

// replay collects the log while segments are read in order.
type replay struct {
	replica   consensus.ReplicaID
	covered   uint64 // index of the snapshot
	started   bool
	sequence  uint64
	hardState consensus.HardState
	prev      position // before entries[0]
	entries   []consensus.Entry
}

func (p *replay) last() position {
	if n := len(p.entries); n > 0 {
		return position{p.entries[n-1].Index, p.entries[n-1].Term}
	}
	return p.prev
}

// read reads one segment and returns the offset at which its valid part ends.
func (p *replay) read(file string, sequence uint64, data []byte, isLast bool) (int, error) {
	r := &segmentReader{file: file, data: data, salt: salt(p.replica, sequence), mayBeCut: isLast}
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
		if err := p.apply(&rec); err != nil {
			r.offset = at
			return 0, r.damage("%v", err)
		}
	}
}

func (p *replay) readHeader(r *segmentReader, sequence uint64) error {
	var h segmentHeader
	ok, err := r.next(&h)
	if err != nil {
		return err
	}
	if !ok {
		return r.damage("no segment header")
	}
	r2 := &segmentReader{file: r.file}
	switch {
	case h.Version != formatVersion:
		return r2.damage("format version %d, expected %d", h.Version, formatVersion)
	case h.Replica != p.replica || h.Sequence != sequence:
		return r2.damage("segment %d of replica %x, expected %d of %x", h.Sequence, uint64(h.Replica), sequence, uint64(p.replica))
	case p.started && sequence != p.sequence+1:
		return r2.damage("segment %d follows %d", sequence, p.sequence)
	case p.started && h.Last != p.last():
		return r2.damage("the log before it ends at %+v, expected %+v", p.last(), h.Last)
	case !p.started && h.Last.Index > p.covered:
		return r2.damage("the log begins after entry %d, the snapshot ends at %d", h.Last.Index, p.covered)
	}
	if !p.started {
		p.prev = h.Last
	}
	p.started, p.sequence, p.hardState = true, sequence, h.HardState
	return nil
}

func (p *replay) apply(rec *record) error {
	if rec.HardState != nil {
		if rec.HardState.Term < p.hardState.Term {
			return errs.New("term %d after %d", rec.HardState.Term, p.hardState.Term)
		}
		p.hardState = *rec.HardState
	}
	if rec.Reset != nil {
		p.prev, p.entries = *rec.Reset, nil
	}
	for i := range rec.Entries {
		if err := p.add(&rec.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *replay) add(e *consensus.Entry) error {
	last := p.last().Index
	switch {
	case e.Index == last+1:
	case e.Index > last+1 || e.Index == 0:
		return errs.New("entry %d follows %d", e.Index, last)
	case e.Index > p.prev.Index:
		p.entries = p.entries[:e.Index-p.prev.Index-1]
	case e.Index <= p.covered:
		// The replaced entries were in segments that the snapshot made obsolete.
		p.prev, p.entries = position{Index: e.Index - 1}, nil
	default:
		return errs.New("entry %d, but the log begins after %d", e.Index, p.prev.Index)
	}
	p.entries = append(p.entries, *e)
	return nil
}

// after returns the entries that follow a snapshot. A log that does not hold
// the snapshot's last entry is older than the snapshot, which was received from
// a leader; it is dropped as a whole.
func (p *replay) after(s *consensus.Snapshot) []consensus.Entry {
	if s == nil {
		return p.entries
	}
	if s.Index == p.prev.Index && s.Term == p.prev.Term {
		return p.entries
	}
	if s.Index > p.prev.Index && s.Index <= p.last().Index {
		at := s.Index - p.prev.Index
		if p.entries[at-1].Term == s.Term {
			return p.entries[at:]
		}
	}
	return nil
}
