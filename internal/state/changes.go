package state

import "sort"

// Changes lists the items that changed after an index, each once. An item that
// no longer exists was removed. Full tells that everything has to be sent.
type Changes struct {
	Full        bool
	Config      bool
	Keys        []string
	Entries     []string
	Assignments []string
	Grants      []GrantID
	Instances   []string
}

// maxChanges bounds the change log. A view that is further behind gets
// everything.
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

// changeLog holds the latest changes in the order of their index. It is not part
// of the replicated state: a restored replica starts with an empty one.
type changeLog struct {
	floor   uint64 // every change after this index is held
	changes []change
}

func (s *State) changed(kind itemKind, id string) {
	l := &s.log
	l.changes = append(l.changes, change{s.Index, kind, id})
	if len(l.changes) < 2*maxChanges {
		return
	}
	drop := len(l.changes) - maxChanges
	l.floor = l.changes[drop-1].index
	l.changes = append([]change(nil), l.changes[drop:]...)
}

// ChangesSince returns what changed after index since.
func (s *State) ChangesSince(since uint64) Changes {
	var out Changes
	if since < s.log.floor || since > s.Index || since == 0 {
		out.Full = true
		return out
	}
	log := s.log.changes
	first := sort.Search(len(log), func(i int) bool { return log[i].index > since })
	if first == len(log) {
		return out
	}
	seen := make(map[change]bool, len(log)-first)
	for _, c := range log[first:] {
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
