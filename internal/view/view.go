package view

import (
	"fmt"
	"maps"
	"slices"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// rulesFile is the file name in findings about the rules.
const rulesFile = "rules"

// View is the part of the control state that an entry instance knows. It is
// immutable once published: its maps are replaced, never modified.
type View struct {
	Index       uint64
	Config      state.Config
	Rules       *rules.Rules
	Entries     map[string]state.Entry
	Assignments map[string]state.Assignment
	Grants      []state.Grant
	Instances   map[string]state.Instance

	grants map[state.GrantID]state.Grant
	keys   *keyIndex
}

// Empty returns the view that is used before the first delta.
func Empty() *View {
	return &View{
		Rules:       &rules.Rules{},
		Entries:     map[string]state.Entry{},
		Assignments: map[string]state.Assignment{},
		Instances:   map[string]state.Instance{},
		grants:      map[state.GrantID]state.Grant{},
		keys:        newKeyIndex(nil),
	}
}

// Key returns the key with the given secret. It reports false if the key is
// unknown or withdrawn.
func (v *View) Key(secret string) (state.Key, bool) {
	k, ok := v.keys.find(secret)
	if !ok || k.Withdrawn() {
		return state.Key{}, false
	}
	return k, true
}

// KeyValid reports whether the key with the given identifier is known and not
// withdrawn.
func (v *View) KeyValid(id string) bool {
	k, ok := v.keys.byID[id]
	return ok && !k.Withdrawn()
}

// GrantIDOf returns the identifier of a grant.
func GrantIDOf(g state.Grant) state.GrantID {
	return state.GrantID(fmt.Sprintf("%s/%s/%d", g.Team, g.Pool, g.Epoch))
}

// LowerIndexError is the error for a delta whose index is lower than that of the
// view.
type LowerIndexError struct{ View, Delta uint64 }

// Error returns a message with both indexes.
func (e *LowerIndexError) Error() string {
	return fmt.Sprintf("delta has index %d, the view is already at %d", e.Delta, e.View)
}

// Advance returns the view that results from applying d to v, and leaves v
// unchanged. A delta with a lower index than v is refused with a LowerIndexError,
// so that a view never goes back to an older state.
func (v *View) Advance(d *Delta) (*View, error) {
	if d.Index < v.Index {
		return nil, &LowerIndexError{View: v.Index, Delta: d.Index}
	}
	if d.Index == v.Index && !d.Full {
		return v, nil
	}
	base := v
	if d.Full {
		base = Empty()
	}
	n := *base
	n.Index = d.Index
	if d.Config != nil {
		parsed, err := rules.Parse(rulesFile, []byte(d.Config.Text))
		if err != nil {
			return nil, fmt.Errorf("rules of version %d: %w", d.Config.Version, err)
		}
		n.Config, n.Rules = *d.Config, parsed
	}
	n.applyItems(base, d)
	return &n, nil
}

// applyItems sets the maps of v to those of base with the items of d applied.
func (v *View) applyItems(base *View, d *Delta) {
	v.Entries = merge(base.Entries, d.Entries, func(e state.Entry) string { return e.ID }, d.RemovedEntries)
	v.Assignments = merge(base.Assignments, d.Assignments, func(a state.Assignment) string { return a.Pool }, nil)
	v.Instances = merge(base.Instances, d.Instances, func(i state.Instance) string { return i.ID }, d.RemovedInstances)
	if len(d.Keys) > 0 {
		v.keys = newKeyIndex(merge(base.keys.byID, d.Keys, func(k state.Key) string { return k.ID }, nil))
	}
	if len(d.Grants) > 0 || len(d.RemovedGrants) > 0 {
		v.grants = merge(base.grants, d.Grants, GrantIDOf, d.RemovedGrants)
		v.Grants = slices.Collect(maps.Values(v.grants))
	}
}

// merge returns a copy of base with the changed items set and the removed ones
// deleted. It returns base itself if nothing changes.
func merge[K comparable, V any](base map[K]V, changed []V, id func(V) K, removed []K) map[K]V {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	n := make(map[K]V, len(base)+len(changed))
	maps.Copy(n, base)
	for _, k := range removed {
		delete(n, k)
	}
	for _, c := range changed {
		n[id(c)] = c
	}
	return n
}
