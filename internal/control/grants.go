package control

import (
	"time"

	"cactusspar/internal/sharing"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// longestDeadline bounds the time that work may run after it was admitted.
	longestDeadline = 30 * time.Second
	// demandDecay is the part of an earlier demand that is kept at each plan, so
	// that a pause of a few plans moves no grants.
	demandDecay = 0.9
	// planTail is how long a team is planned after its demand last changed: until
	// an earlier demand has decayed.
	planTail = 5 * time.Second
	// formerInterval is how often former grants are looked at while no team is
	// planned: their end is a matter of seconds.
	formerInterval = time.Second
	// maxGrants bounds the grants in one command.
	maxGrants = 4096
)

// grantRetention is how long the grant of a lost holder counts after the last
// sign of it: its lease and the longest deadline, with 10% for clock rates.
func grantRetention(deadline time.Duration) time.Duration {
	return (deadline + freshnessBound) * 11 / 10
}

// granter divides the limits of teams.
type granter struct {
	busy  bool
	teams map[string]*teamUse
	// evidence is when a former holder was last known to use its grant.
	evidence map[state.GrantID]time.Time
	tail     time.Time // all teams are planned until then
	// lastFormer is when the former grants were last gone through.
	lastFormer time.Time
}

// teamUse is what the leader knows of a team beyond the state.
type teamUse struct {
	until  time.Time       // the team is planned until then
	has    map[string]bool // by pool: its dispatcher has a unit
	since  map[string]time.Time
	demand map[string]float64
}

func (g *granter) init(now time.Time) {
	g.teams = map[string]*teamUse{}
	g.evidence = map[state.GrantID]time.Time{}
	g.allDue(now)
}

func (g *granter) allDue(now time.Time) { g.tail = now.Add(planTail) }

func (g *granter) team(name string) *teamUse {
	t := g.teams[name]
	if t == nil {
		t = &teamUse{has: map[string]bool{}, since: map[string]time.Time{}, demand: map[string]float64{}}
		g.teams[name] = t
	}
	return t
}

// noteDemand replaces what a dispatcher holds and needs. Its teams are planned
// when that changed or while work waits.
func (g *granter) noteDemand(held *lease, demand []view.Demand, now time.Time) {
	before := held.demand
	held.demand = make(map[useKey]view.Demand, len(demand))
	for _, d := range demand {
		key := useKey{d.Team, d.Pool, d.Epoch}
		d.LastDeadline = 0
		if old, ok := before[key]; !ok || d != old || d.Waiting > 0 {
			g.team(d.Team).until = now.Add(planTail)
		}
		held.demand[key] = d
		delete(before, key)
	}
	for key := range before {
		g.team(key.team).until = now.Add(planTail)
	}
}

// noteApplied notes when a dispatcher got its first unit or lost its last one.
func (g *granter) noteApplied(c *state.SetGrants, now time.Time) {
	for i := range c.Grants {
		grant := &c.Grants[i]
		t := g.team(grant.Team)
		t.until = now.Add(planTail)
		if has := grant.Amount > 0; has != t.has[grant.Pool] {
			t.has[grant.Pool] = has
			t.since[grant.Pool] = now
		}
	}
}

// plan proposes the grants that have to change.
func (l *leader) plan(now time.Time) {
	g := &l.granting
	if g.busy {
		return
	}
	teams := l.teamsToPlan(now)
	if len(teams) == 0 && now.Sub(g.lastFormer) < formerInterval {
		return
	}
	g.lastFormer = now
	former, changed := l.formerGrants(now)
	s := l.replica.state
	for team := range teams {
		in := l.teamInput(team, former[team])
		for _, c := range sharing.Plan(in, now) {
			a := s.Assignments[c.Pool]
			changed = append(changed, state.Grant{Team: team, Pool: c.Pool, Epoch: a.Epoch, Amount: c.Amount, Held: c.Held})
		}
		if len(changed) >= maxGrants {
			break
		}
	}
	if len(changed) == 0 {
		return
	}
	g.busy = true
	l.submit(state.Command{SetGrants: &state.SetGrants{Grants: changed}}, func(state.Result, error) { g.busy = false })
}

// teamsToPlan returns the teams whose demand or grants changed lately, and those
// that the rules no longer declare.
func (l *leader) teamsToPlan(now time.Time) map[string]bool {
	out := map[string]bool{}
	g := &l.granting
	if rules := l.replica.state.Rules(); rules != nil {
		for name := range rules.Teams {
			waits := l.replica.state.RoomForJobs(name) > 0
			if waits || now.Before(g.tail) || now.Before(g.team(name).until) {
				out[name] = true
			}
		}
	}
	for name, t := range g.teams {
		if now.Before(t.until) {
			out[name] = true
		}
	}
	if now.Before(g.tail) {
		for _, grant := range l.replica.state.Grants {
			out[grant.Team] = true
		}
	}
	return out
}

// teamInput returns what the plan of a team follows from.
func (l *leader) teamInput(team string, former int) sharing.Team {
	s := l.replica.state
	use := l.granting.team(team)
	in := sharing.Team{Limit: s.TeamLimit(team), Reserved: former + s.TasksOf(team) + s.RoomForJobs(team)}
	for _, a := range s.Assignments {
		if a.Dispatcher == "" || !s.HoldsSince(a.Dispatcher, a.Index) {
			continue
		}
		h := sharing.Holder{Pool: a.Pool, Returned: -1, Since: use.since[a.Pool]}
		grant := s.Grants[(&state.Grant{Team: team, Pool: a.Pool, Epoch: a.Epoch}).ID()]
		confirmed := a.Index
		if grant != nil {
			h.Amount, h.Held = grant.Amount, grant.Held
			confirmed = max(confirmed, grant.Index)
		}
		if held := l.leases[a.Dispatcher]; held != nil {
			// A dispatcher leaves out what it neither holds nor needs.
			d := held.demand[useKey{team, a.Pool, a.Epoch}]
			h.Demand = use.smooth(a.Pool, d.Running+d.Waiting)
			if held.index >= confirmed {
				h.Returned = max(d.Running, d.Grant)
			}
		}
		in.Holders = append(in.Holders, h)
	}
	return in
}

// smooth returns the demand for a pool, which rises at once and falls slowly.
func (t *teamUse) smooth(pool string, demand int) int {
	before := t.demand[pool]
	if demand == 0 && before == 0 {
		return 0
	}
	now := max(float64(demand), before*demandDecay)
	if now < 0.5 {
		delete(t.demand, pool)
		return 0
	}
	t.demand[pool] = now
	return int(now + 0.5)
}

// formerGrants returns what counts for former holders of each team, and the
// grants that they have given back since.
func (l *leader) formerGrants(now time.Time) (map[string]int, []state.Grant) {
	s := l.replica.state
	g := &l.granting
	counted := map[string]int{}
	var released []state.Grant
	for id, grant := range s.Grants {
		a := s.Assignments[grant.Pool]
		if a != nil && a.Epoch == grant.Epoch && s.HoldsSince(a.Dispatcher, a.Index) {
			delete(g.evidence, id)
			continue
		}
		next := *grant
		next.Held = l.formerUse(id, grant, now)
		next.Amount = min(next.Amount, next.Held)
		if next.Held != grant.Held {
			released = append(released, next)
		}
		if next.Held == 0 {
			delete(g.evidence, id)
		}
		counted[grant.Team] += next.Held
	}
	return counted, released
}

// longestDeadline returns the longest time that work of a pool may run after it
// was admitted. Work that was admitted under earlier rules may run longer, so
// that new rules count only once all such work has ended.
func (l *leader) longestDeadline(pool string, now time.Time) time.Duration {
	s, longest := l.replica.state, time.Duration(0)
	if s.Rules() == nil || now.Sub(s.Config.At) < 2*l.replica.deadline {
		return l.replica.deadline
	}
	for _, q := range s.Rules().Queues {
		if q.Pool == pool {
			longest = max(longest, q.Deadline)
		}
	}
	if longest == 0 {
		return l.replica.deadline
	}
	return min(longest, l.replica.deadline)
}

// formerUse returns what a grant of a former holder counts for: what the holder
// states while it lives, and otherwise everything until its lease and the
// longest deadline under it have ended. A live holder that knows of the present
// assignment and leaves the grant out has no work under it; it may never have
// dispatched under that epoch.
func (l *leader) formerUse(id state.GrantID, grant *state.Grant, now time.Time) int {
	g := &l.granting
	a := l.replica.state.Assignments[grant.Pool]
	held := l.leases[grant.Holder]
	if held != nil && held.incarnation == grant.Incarnation && !held.expiring {
		d, ok := held.demand[useKey{grant.Team, grant.Pool, grant.Epoch}]
		if held.index >= grant.Index && a != nil && held.index >= a.Index {
			g.evidence[id] = now
			return min(grant.Held, max(d.Running, d.Grant))
		}
		if ok {
			g.evidence[id] = now
		}
	}
	seen, ok := g.evidence[id]
	if !ok {
		g.evidence[id] = now
		return grant.Held
	}
	if now.Sub(seen) > grantRetention(l.longestDeadline(grant.Pool, now)) {
		return 0
	}
	return grant.Held
}
