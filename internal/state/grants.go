package state

import (
	"strconv"
	"strings"
)

// ID returns the identifier of the grant.
func (g *Grant) ID() GrantID {
	return GrantID(g.Team + "/" + g.Pool + "/" + strconv.FormatUint(g.Epoch, 10))
}

// Split returns the team, pool and epoch that the identifier names.
func (id GrantID) Split() (team, pool string, epoch uint64) {
	team, rest, _ := strings.Cut(string(id), "/")
	pool, number, _ := strings.Cut(rest, "/")
	epoch, _ = strconv.ParseUint(number, 10, 64)
	return team, pool, epoch
}

// setGrants changes grants, all or none. A grant whose Held is 0 is removed. An
// increase that would take a team above its limit is rejected.
func (s *State) setGrants(c *SetGrants) *Error {
	increase := map[string]int{}
	raised := map[string]bool{}
	seen := make(map[GrantID]bool, len(c.Grants))
	for i := range c.Grants {
		g := &c.Grants[i]
		id := g.ID()
		if seen[id] {
			return reject(CodeInvalid, "grant %s is set twice", id)
		}
		seen[id] = true
		if err := s.checkGrant(g); err != nil {
			return err
		}
		before := 0
		if known := s.Grants[id]; known != nil {
			before = known.Held
		}
		increase[g.Team] += g.Held - before
		raised[g.Team] = raised[g.Team] || g.Held > before
	}
	for team := range raised {
		if !raised[team] {
			continue
		}
		if sum, limit := s.LimitUsage(team)+increase[team], s.TeamLimit(team); sum > limit {
			return reject(CodeInvariant, "team %q would have %d granted or running in tasks, above its limit of %d", team, sum, limit)
		}
	}
	for i := range c.Grants {
		s.setGrant(c.Grants[i])
	}
	return nil
}

// checkGrant validates a single grant. It may be raised only under the epoch of
// the committed assignment, because only that epoch's dispatcher may use it.
func (s *State) checkGrant(g *Grant) *Error {
	if g.Amount < 0 || g.Held < g.Amount {
		return reject(CodeInvalid, "grant %s has amount %d and holds %d", g.ID(), g.Amount, g.Held)
	}
	known := s.Grants[g.ID()]
	if known == nil {
		known = &Grant{}
	}
	if g.Amount <= known.Amount && g.Held <= known.Held {
		return nil
	}
	if s.rules == nil {
		return reject(CodeNotFound, "grant %s: no rules are in force", g.ID())
	}
	if _, ok := s.rules.Teams[g.Team]; !ok {
		return reject(CodeNotFound, "grant %s: team %q is not declared", g.ID(), g.Team)
	}
	a := s.Assignments[g.Pool]
	if a == nil || a.Epoch != g.Epoch || a.Dispatcher == "" {
		return reject(CodeStale, "grant %s is raised, but its epoch is not the committed one", g.ID())
	}
	return nil
}

// setGrant stores a grant, or removes it if its Held is 0. The holder of a known
// grant doesn't change.
func (s *State) setGrant(g Grant) {
	id := g.ID()
	known := s.Grants[id]
	if known == nil && g.Held == 0 {
		return
	}
	before := 0
	if known != nil {
		before = known.Held
	}
	s.heldByTeam[g.Team] += g.Held - before
	s.recordChange(kindGrant, string(id))
	if g.Held == 0 {
		delete(s.Grants, id)
		return
	}
	g.Index = s.Index
	if known != nil {
		g.Holder, g.Incarnation = known.Holder, known.Incarnation
	} else if e := s.Entries[s.Assignments[g.Pool].Dispatcher]; e != nil {
		g.Holder, g.Incarnation = e.ID, e.Incarnation
	}
	s.Grants[id] = &g
}

// HeldBy returns the sum of Held over all grants of a team, of every pool and
// epoch.
func (s *State) HeldBy(team string) int { return s.heldByTeam[team] }

// checkHeldSums recomputes the sum of Held of each team's grants and compares it
// with the running sum.
func (s *State) checkHeldSums() *Error {
	sums := map[string]int{}
	for _, g := range s.Grants {
		sums[g.Team] += g.Held
	}
	for team, n := range s.heldByTeam {
		if sums[team] != n {
			return reject(CodeInvariant, "team %q holds %d, but its grants sum up to %d", team, n, sums[team])
		}
	}
	return nil
}
