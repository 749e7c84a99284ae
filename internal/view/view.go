package view

import (
	"fmt"
	"maps"
	"slices"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// rulesFile is the name under which findings in the rules are reported.
const rulesFile = "rules"

// View is the part of the control state that an entry instance knows. It is
// not changed after it was published; maps are replaced, never written.
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

// Empty returns the view that is in force before the first delta.
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

// Key returns the key with that secret, unless it is unknown or withdrawn.
func (v *View) Key(secret string) (state.Key, bool) {
	k, ok := v.keys.find(secret)
	if !ok || k.Withdrawn() {
		return state.Key{}, false
	}
	return k, true
}

// KeyValid tells whether the key with that id is known and not withdrawn.
func (v *View) KeyValid(id string) bool {
	k, ok := v.keys.byID[id]
	return ok && !k.Withdrawn()
}

// GrantIDOf returns the identifier of a grant.
func GrantIDOf(g state.Grant) state.GrantID {
	return state.GrantID(fmt.Sprintf("%s/%s/%d", g.Team, g.Pool, g.Epoch))
}

// LowerIndexError reports a delta that would take a view back.
type LowerIndexError struct{ View, Delta uint64 }

// Error names both indexes.
func (e *LowerIndexError) Error() string {
	return fmt.Sprintf("delta has index %d, the view is already at %d", e.Delta, e.View)
}

// Advance returns the view after d. A view never goes back: a delta with a
// lower index is refused with a LowerIndexError. v itself is not changed.
func (v *View) Advance(d *Delta) (*View, error) {
	if d.Index < v.Index {
		return nil, &LowerIndexError{View: v.Index, Delta: d.Index}
	}
	if d.Index == v.Index && !d.Full {
		return v, nil
	}
	from := v
	if d.Full {
		from = Empty()
	}
	n := *from
	n.Index = d.Index
	if d.Config != nil {
		parsed, err := rules.Parse(rulesFile, []byte(d.Config.Text))
		if err != nil {
			return nil, fmt.Errorf("rules of version %d: %w", d.Config.Version, err)
		}
		n.Config, n.Rules = *d.Config, parsed
	}
	n.takeItems(from, d)
	return &n, nil
}

func (v *View) takeItems(from *View, d *Delta) {
	v.Entries = merge(from.Entries, d.Entries, func(e state.Entry) string { return e.ID }, d.GoneEntries)
	v.Assignments = merge(from.Assignments, d.Assignments, func(a state.Assignment) string { return a.Pool }, nil)
	v.Instances = merge(from.Instances, d.Instances, func(i state.Instance) string { return i.ID }, d.GoneInst)
	if len(d.Keys) > 0 {
		v.keys = newKeyIndex(merge(from.keys.byID, d.Keys, func(k state.Key) string { return k.ID }, nil))
	}
	if len(d.Grants) > 0 || len(d.GoneGrants) > 0 {
		v.grants = merge(from.grants, d.Grants, GrantIDOf, d.GoneGrants)
		v.Grants = slices.Collect(maps.Values(v.grants))
	}
}

// merge returns from with the changed items set and the gone ones removed. It
// returns from itself when nothing changes.
func merge[K comparable, V any](from map[K]V, changed []V, id func(V) K, gone []K) map[K]V {
	if len(changed) == 0 && len(gone) == 0 {
		return from
	}
	n := make(map[K]V, len(from)+len(changed))
	maps.Copy(n, from)
	for _, k := range gone {
		delete(n, k)
	}
	for _, c := range changed {
		n[id(c)] = c
	}
	return n
}
