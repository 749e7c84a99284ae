package consensus

import (
	"fmt"
	"slices"
	"sort"
)

// raftLog holds the entries after a position, in memory. Its membership is the
// one of the last membership entry, whether committed or not.
type raftLog struct {
	prevIndex uint64 // index and term before entries[0]
	prevTerm  uint64
	entries   []Entry
	stable    uint64 // highest index known to be synced
	commit    uint64
	applied   uint64 // highest index handed out in Ready.Committed
	snapshot  *Snapshot
	records   []membershipRecord // ordered by index; the first is the snapshot's
	tailBytes int                // bytes in uncommitted entries
}

type membershipRecord struct {
	index      uint64
	membership Membership
}

func newLog(start Start) (*raftLog, error) {
	l := &raftLog{records: []membershipRecord{{}}}
	if s := start.Snapshot; s != nil {
		l.reset(s)
	}
	for i := range start.Entries {
		e := &start.Entries[i]
		if e.Index != l.lastIndex()+1 {
			return nil, fmt.Errorf("start: entry %d follows %d", e.Index, l.lastIndex())
		}
		if err := l.append(start.Entries[i : i+1]); err != nil {
			return nil, err
		}
	}
	l.stable = l.lastIndex()
	if start.HardState.Commit > l.lastIndex() {
		return nil, &InvariantError{CommitBeyondLog, fmt.Sprintf("start: commit %d, last entry %d", start.HardState.Commit, l.lastIndex())}
	}
	if start.HardState.Commit > l.commit {
		l.setCommit(start.HardState.Commit)
	}
	return l, nil
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s *Snapshot) {
	l.prevIndex, l.prevTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.snapshot = s
	l.records = []membershipRecord{{s.Index, s.Membership}}
	l.tailBytes = 0
}

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, if it is known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *raftLog) membership() Membership { return l.records[len(l.records)-1].membership }

// membershipIndex returns the index of the entry that set the membership.
func (l *raftLog) membershipIndex() uint64 { return l.records[len(l.records)-1].index }

// membershipAt returns the membership in force at an index.
func (l *raftLog) membershipAt(index uint64) Membership {
	n := sort.Search(len(l.records), func(i int) bool { return l.records[i].index > index })
	return l.records[max(n-1, 0)].membership
}

// append adds entries that directly follow the last one.
func (l *raftLog) append(entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Kind != EntryMembership {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			return &InvariantError{UnreadableEntry, fmt.Sprintf("entry %d: %v", e.Index, err)}
		}
		l.records = append(l.records, membershipRecord{e.Index, m})
	}
	l.entries = append(l.entries, entries...)
	l.tailBytes += size(entries)
	return nil
}

// truncate removes the entries from an index on.
func (l *raftLog) truncate(from uint64) error {
	if from <= l.commit {
		return &InvariantError{CommittedReplaced, fmt.Sprintf("entry %d is to be replaced, commit is %d", from, l.commit)}
	}
	keep := from - l.prevIndex - 1
	l.tailBytes -= size(l.entries[keep:])
	// The removed entries may still be referenced by a Ready.
	l.entries = slices.Clip(l.entries[:keep])
	l.stable = min(l.stable, from-1)
	for l.membershipIndex() >= from {
		l.records = l.records[:len(l.records)-1]
	}
	return nil
}

// matchAndAppend stores the entries that follow prev, replacing conflicting
// ones. It reports false if prev is not in the log.
func (l *raftLog) matchAndAppend(prevIndex, prevTerm uint64, entries []Entry) (bool, error) {
	if term, ok := l.term(prevIndex); !ok || term != prevTerm {
		return false, nil
	}
	for i := range entries {
		term, ok := l.term(entries[i].Index)
		if ok && term == entries[i].Term {
			continue
		}
		if ok {
			if err := l.truncate(entries[i].Index); err != nil {
				return false, err
			}
		}
		return true, l.append(entries[i:])
	}
	return true, nil
}

// setCommit moves the commit index forward.
func (l *raftLog) setCommit(index uint64) {
	l.tailBytes -= size(l.slice(l.commit+1, index))
	l.commit = index
}

// slice returns the entries from first to last. Both must be held, or first
// must be after last.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.prevIndex-1 : last-l.prevIndex : last-l.prevIndex]
}

// batch returns the entries from first on, at least one and then as many as fit
// in maxBytes.
func (l *raftLog) batch(first, last uint64, maxBytes int) []Entry {
	entries := l.slice(first, last)
	total := 0
	for i := range entries {
		total += entrySize(&entries[i])
		if i > 0 && total > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

// hint returns the highest index up to index whose term is at most term. A
// follower and its leader agree on no entry between hint and index.
func (l *raftLog) hint(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.prevIndex {
		if t, ok := l.term(index); ok && t <= term {
			break
		}
		index--
	}
	return index
}

// isUpToDate tells whether a log that ends as given holds at least what this
// one holds.
func (l *raftLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	own := l.lastTerm()
	return lastTerm > own || (lastTerm == own && lastIndex >= l.lastIndex())
}

// compact drops the entries up to an index, which must be in the log.
func (l *raftLog) compact(index uint64) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.prevIndex:])
	l.prevIndex, l.prevTerm = index, term
	n := sort.Search(len(l.records), func(i int) bool { return l.records[i].index > index })
	l.records = slices.Clone(l.records[max(n-1, 0):])
}

// retainable returns the lowest index after which the entries up to last fit in
// maxBytes.
func (l *raftLog) retainable(last uint64, maxBytes int) uint64 {
	index, total := last, 0
	for index > l.prevIndex {
		total += entrySize(&l.entries[index-l.prevIndex-1])
		if total > maxBytes {
			break
		}
		index--
	}
	return index
}

// entryOverheadBytes is an upper bound of the encoded size of an entry without
// its data.
const entryOverheadBytes = 40

func entrySize(e *Entry) int { return entryOverheadBytes + len(e.Data) }

func size(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entrySize(&entries[i])
	}
	return n
}
