package consensus

import (
	"fmt"
	"slices"
	"sort"
)

// raftLog holds the log entries after prevIndex in memory. The membership in
// force is that of the last membership entry, whether committed or not.
type raftLog struct {
	prevIndex        uint64 // index and term of the entry before entries[0]
	prevTerm         uint64
	entries          []Entry
	stable           uint64 // highest index known to be durable
	commit           uint64
	applied          uint64 // highest index returned in Ready.Committed
	snapshot         *Snapshot
	memberships      []indexedMembership // ordered by index; the first is the snapshot's
	uncommittedBytes int                 // size of the uncommitted entries
}

type indexedMembership struct {
	index      uint64
	membership Membership
}

func newLog(durable DurableState) (*raftLog, error) {
	l := &raftLog{memberships: []indexedMembership{{}}}
	if s := durable.Snapshot; s != nil {
		l.reset(s)
	}
	for i := range durable.Entries {
		e := &durable.Entries[i]
		if e.Index != l.lastIndex()+1 {
			return nil, fmt.Errorf("durable state: entry %d follows entry %d", e.Index, l.lastIndex())
		}
		if err := l.append(durable.Entries[i : i+1]); err != nil {
			return nil, err
		}
	}
	l.stable = l.lastIndex()
	if durable.HardState.Commit > l.lastIndex() {
		return nil, &InvariantError{CommitBeyondLog, fmt.Sprintf("durable state: commit index %d, last entry %d", durable.HardState.Commit, l.lastIndex())}
	}
	if durable.HardState.Commit > l.commit {
		l.setCommit(durable.HardState.Commit)
	}
	return l, nil
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s *Snapshot) {
	l.prevIndex, l.prevTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.snapshot = s
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
	l.uncommittedBytes = 0
}

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index. It reports false if the term is
// unknown.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *raftLog) membership() Membership { return l.memberships[len(l.memberships)-1].membership }

// membershipIndex returns the index of the entry that set the membership.
func (l *raftLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership in force at an index.
func (l *raftLog) membershipAt(index uint64) Membership {
	n := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	return l.memberships[max(n-1, 0)].membership
}

// append appends entries, which must directly follow the last one.
func (l *raftLog) append(entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Kind != EntryMembership {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			return &InvariantError{UndecodableMembership, fmt.Sprintf("entry %d: %v", e.Index, err)}
		}
		l.memberships = append(l.memberships, indexedMembership{e.Index, m})
	}
	l.entries = append(l.entries, entries...)
	l.uncommittedBytes += entriesBytes(entries)
	return nil
}

// truncate removes the entry at an index and all later ones.
func (l *raftLog) truncate(from uint64) error {
	if from <= l.commit {
		return &InvariantError{CommittedEntryReplaced, fmt.Sprintf("entry %d is to be replaced, commit is %d", from, l.commit)}
	}
	keep := from - l.prevIndex - 1
	l.uncommittedBytes -= entriesBytes(l.entries[keep:])
	// A Ready may still refer to the removed entries; later appends must not
	// overwrite them.
	l.entries = slices.Clip(l.entries[:keep])
	l.stable = min(l.stable, from-1)
	for l.membershipIndex() >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	return nil
}

// matchAndAppend appends the entries that follow the entry with prevIndex and
// prevTerm, and replaces conflicting ones. It returns false if the log does not
// hold that entry.
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

// setCommit advances the commit index.
func (l *raftLog) setCommit(index uint64) {
	l.uncommittedBytes -= entriesBytes(l.slice(l.commit+1, index))
	l.commit = index
}

// slice returns the entries from first to last, which must be in memory. It
// returns nil if first is after last.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.prevIndex-1 : last-l.prevIndex : last-l.prevIndex]
}

// batch returns entries from first to last: as many as fit in maxBytes, but at
// least one.
func (l *raftLog) batch(first, last uint64, maxBytes int) []Entry {
	entries := l.slice(first, last)
	total := 0
	for i := range entries {
		total += entryBytes(&entries[i])
		if i > 0 && total > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

// conflictHint returns the highest index, at most index, whose term is at most
// term. Between it and index, the logs of leader and follower match nowhere.
func (l *raftLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.prevIndex {
		if t, ok := l.term(index); ok && t <= term {
			break
		}
		index--
	}
	return index
}

// isUpToDate reports whether a log with the given last entry is at least as
// up-to-date as this one.
func (l *raftLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	own := l.lastTerm()
	return lastTerm > own || (lastTerm == own && lastIndex >= l.lastIndex())
}

// compact discards the entries up to an index, which must be in the log.
func (l *raftLog) compact(index uint64) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.prevIndex:])
	l.prevIndex, l.prevTerm = index, term
	n := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	l.memberships = slices.Clone(l.memberships[max(n-1, 0):])
}

// retainedAfter returns the lowest index such that the entries after it, up to
// last, fit in maxBytes.
func (l *raftLog) retainedAfter(last uint64, maxBytes int) uint64 {
	index, total := last, 0
	for index > l.prevIndex {
		total += entryBytes(&l.entries[index-l.prevIndex-1])
		if total > maxBytes {
			break
		}
		index--
	}
	return index
}

// entryOverheadBytes is an upper bound for the encoded size of an entry without
// its data.
const entryOverheadBytes = 40

func entryBytes(e *Entry) int { return entryOverheadBytes + len(e.Data) }

func entriesBytes(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entryBytes(&entries[i])
	}
	return n
}
