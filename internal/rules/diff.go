package rules

import (
	"fmt"
	"sort"
	"strings"
)

// Rule is the generic form of a rule of any kind, used to list and compare rules.
type Rule struct {
	Source
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Fields holds all fields in a fixed order, including default values.
	Fields string `json:"fields,omitempty"`
}

// String formats the rule as a line of a rules file.
func (r Rule) String() string {
	return fmt.Sprintf("%s # %s: %s", r.declaration(), r.RequestedBy, r.Reason)
}

// ID returns the kind and name of the rule, which identify it within a file.
func (r Rule) ID() string { return strings.TrimSpace(r.Kind + " " + r.Name) }

// declaration returns the rule without its comment.
func (r Rule) declaration() string { return strings.TrimSpace(r.ID() + " " + r.Fields) }

// Change is the difference in one rule between two versions. Old is nil for an
// added rule, New is nil for a removed one.
type Change struct {
	Old *Rule `json:"old,omitempty"`
	New *Rule `json:"new,omitempty"`
}

// String formats the change as a removed line with the prefix "- " and an added
// line with the prefix "+ ".
func (c Change) String() string {
	var lines []string
	if c.Old != nil {
		lines = append(lines, "- "+c.Old.String())
	}
	if c.New != nil {
		lines = append(lines, "+ "+c.New.String())
	}
	return strings.Join(lines, "\n")
}

// List returns all rules in the order of the file.
func (r *Rules) List() []Rule {
	var list []Rule
	add := func(s Source, kind, name, format string, args ...any) {
		list = append(list, Rule{Source: s, Kind: kind, Name: name, Fields: fmt.Sprintf(format, args...)})
	}
	for _, x := range r.Regions {
		add(x.Source, kindRegion, x.Name, "")
	}
	for _, x := range r.DataCentres {
		add(x.Source, kindDataCentre, x.Name, "region=%s", x.Region)
	}
	for _, x := range r.Pools {
		add(x.Source, kindPool, x.Name, "%s", poolFields(x))
	}
	for _, x := range r.Queues {
		add(x.Source, kindQueue, x.Name, "pool=%s access=%s length=%d deadline=%s", x.Pool, x.Access, x.Length, FormatDuration(x.Deadline))
	}
	for _, x := range r.Teams {
		add(x.Source, kindTeam, x.Name, "share=%d limit=%d", x.Share, x.Limit)
	}
	for _, x := range r.Domains {
		add(x.Source, kindDomain, x.Kind, "unavailable=%d", x.Unavailable)
	}
	if r.Spare != "" {
		add(r.SpareSource, kindSpare, r.Spare, "")
	}
	if w := r.Weights; w.Line != 0 {
		add(w.Source, kindWeight, "", "buffer=%d share=%d rollout=%d moves=%d", w.Buffer, w.Share, w.Rollout, w.Moves)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Line < list[j].Line })
	return list
}

func poolFields(p Pool) string {
	fields := fmt.Sprintf("min=%d max=%d unavailable=%d", p.Min, p.Max, p.Unavailable)
	if p.Period != 0 {
		fields += " period=" + FormatDuration(p.Period)
	}
	return fields + fmt.Sprintf(" slots=%d connections=%d", p.Slots, p.Connections)
}

// Find returns the rules that match a name, in the order of the file. The name is
// the name of a rule ("quotes"), a kind ("weight") or both ("pool quotes").
func (r *Rules) Find(name string) []Rule {
	name = strings.Join(strings.Fields(name), " ")
	var found []Rule
	for _, rule := range r.List() {
		if name == rule.ID() || name == rule.Name || name == rule.Kind {
			found = append(found, rule)
		}
	}
	return found
}

// EqualIgnoringLine reports whether two rules are equal, ignoring their line numbers.
func (r Rule) EqualIgnoringLine(other Rule) bool {
	r.Line = 0
	other.Line = 0
	return r == other
}

// Diff returns the changes between two versions, one per rule: first the removed
// and changed rules in the order of before, then the added rules in the order of
// after. Moved lines, whitespace and explicit default values are not changes.
func Diff(before, after *Rules) []Change {
	remaining := map[string]Rule{}
	for _, rule := range after.List() {
		remaining[rule.ID()] = rule
	}
	var changes []Change
	for _, old := range before.List() {
		current, kept := remaining[old.ID()]
		delete(remaining, old.ID())
		switch {
		case !kept:
			changes = append(changes, Change{Old: &old})
		case !old.EqualIgnoringLine(current):
			changes = append(changes, Change{Old: &old, New: &current})
		}
	}
	for _, rule := range after.List() {
		if _, isNew := remaining[rule.ID()]; isNew {
			changes = append(changes, Change{New: &rule})
		}
	}
	return changes
}
