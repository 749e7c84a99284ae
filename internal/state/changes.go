package state

import "sort"

// Changes lists the items that changed after an index, each once. An item that
// no longer exists has been removed. If Full is set, the changes are not known
// and the whole state has to be sent.
type Changes struct {
	Full        bool
	Config      bool
	Keys        []string
	Entries     []string
	Assignments []string
	Grants      []GrantID
	Instances   []string
}

// maxChanges is the number of changes that remain when the change log is
// truncated. A view that is further behind receives the whole state.
const maxChanges = 1 << 16

type itemKind uint8

const (
	kindConfig itemKind = iota
	kindKey
	kindEntry
	kindAssignment
	kindGrant
	kindInstance
)

type change struct {
	index uint64
	kind  itemKind
	id    string
}

// changeLog holds the latest changes in index order. It is not part of the
// replicated state: a restored replica starts with an empty one.
type changeLog struct {
	baseIndex uint64 // every later change is in the log
	changes   []change
}

// recordChange appends a change at the current index. At twice maxChanges it
// truncates the log to maxChanges, which amortises the copying.
func (s *State) recordChange(kind itemKind, id string) {
	l := &s.recentChanges
	l.changes = append(l.changes, change{s.Index, kind, id})
	if len(l.changes) < 2*maxChanges {
		return
	}
	drop := len(l.changes) - maxChanges
	l.baseIndex = l.changes[drop-1].index
	l.changes = append([]change(nil), l.changes[drop:]...)
}

// ChangesSince returns the items that changed after the index since. For 0, for
// an index that the change log no longer covers and for one that is not yet
// applied, it returns Changes with Full set.
func (s *State) ChangesSince(since uint64) Changes {
	var out Changes
	if since < s.recentChanges.baseIndex || since > s.Index || since == 0 {
		out.Full = true
		return out
	}
	recentChanges := s.recentChanges.changes
	first := sort.Search(len(recentChanges), func(i int) bool { return recentChanges[i].index > since })
	if first == len(recentChanges) {
		return out
	}
	seen := make(map[change]bool, len(recentChanges)-first)
	for _, c := range recentChanges[first:] {
		c.index = 0
		if seen[c] {
			continue
		}
		seen[c] = true
		out.add(c)
	}
	return out
}

func (c *Changes) add(item change) {
	switch item.kind {
	case kindConfig:
		c.Config = true
	case kindKey:
		c.Keys = append(c.Keys, item.id)
	case kindEntry:
		c.Entries = append(c.Entries, item.id)
	case kindAssignment:
		c.Assignments = append(c.Assignments, item.id)
	case kindGrant:
		c.Grants = append(c.Grants, GrantID(item.id))
	case kindInstance:
		c.Instances = append(c.Instances, item.id)
	}
}
