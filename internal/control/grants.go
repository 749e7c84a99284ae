package control

import (
	"time"

	"cactusspar/internal/sharing"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// maxRunTime bounds the time that work may run after it was admitted.
	maxRunTime = 30 * time.Second
	// demandDecay is the factor by which an earlier demand shrinks at each plan, so
	// that a lull of a few plans moves no grants.
	demandDecay = 0.9
	// planningWindow is how long a team is planned after its demand last changed.
	// It is long enough for an earlier demand to decay.
	planningWindow = 5 * time.Second
	// formerGrantInterval is the time between two checks of former grants while no
	// team is planned. Former grants last for seconds.
	formerGrantInterval = time.Second
	// maxGrantsPerCommand is the number of grants at which no further team is added
	// to a command.
	maxGrantsPerCommand = 4096
)

// grantRetention returns how long the grant of a lost holder counts against the
// team's limit after the holder was last known to use it: the freshness bound of
// the holder's view and the longest run time, plus 10% for differing clock rates.
func grantRetention(maxRunTime time.Duration) time.Duration {
	return (maxRunTime + freshnessBound) * 11 / 10
}

// granter divides the limits of teams among the dispatchers.
type granter struct {
	inFlight bool
	teams    map[string]*teamUsage
	// lastUse is when a former holder was last known to use its grant.
	lastUse      map[state.GrantID]time.Time
	planAllUntil time.Time // until then, all teams are planned
	// lastFormerCheck is when the former grants were last checked.
	lastFormerCheck time.Time
}

// teamUsage is what the leader knows about a team beyond the replicated state.
// The maps are keyed by pool.
type teamUsage struct {
	planUntil time.Time            // until then, the team is planned
	hasUnits  map[string]bool      // the pool's dispatcher has a unit
	since     map[string]time.Time // when hasUnits last changed
	demand    map[string]float64
}

func (g *granter) init(now time.Time) {
	g.teams = map[string]*teamUsage{}
	g.lastUse = map[state.GrantID]time.Time{}
	g.planAll(now)
}

func (g *granter) planAll(now time.Time) { g.planAllUntil = now.Add(planningWindow) }

func (g *granter) team(name string) *teamUsage {
	t := g.teams[name]
	if t == nil {
		t = &teamUsage{hasUnits: map[string]bool{}, since: map[string]time.Time{}, demand: map[string]float64{}}
		g.teams[name] = t
	}
	return t
}

// updateDemand replaces the reported usage and demand of a dispatcher. A team is
// planned if its figures changed or work is waiting.
func (g *granter) updateDemand(entryLease *lease, demand []view.Demand, now time.Time) {
	before := entryLease.demand
	entryLease.demand = make(map[demandKey]view.Demand, len(demand))
	for _, d := range demand {
		key := demandKey{d.Team, d.Pool, d.Epoch}
		d.LastDeadline = 0
		if old, ok := before[key]; !ok || d != old || d.Waiting > 0 {
			g.team(d.Team).planUntil = now.Add(planningWindow)
		}
		entryLease.demand[key] = d
		delete(before, key)
	}
	for key := range before {
		g.team(key.team).planUntil = now.Add(planningWindow)
	}
}

// recordGrants records when a dispatcher got its first unit or lost its last one.
func (g *granter) recordGrants(c *state.SetGrants, now time.Time) {
	for i := range c.Grants {
		grant := &c.Grants[i]
		t := g.team(grant.Team)
		t.planUntil = now.Add(planningWindow)
		if hasUnits := grant.Amount > 0; hasUnits != t.hasUnits[grant.Pool] {
			t.hasUnits[grant.Pool] = hasUnits
			t.since[grant.Pool] = now
		}
	}
}

// planGrants proposes the grants that have to change.
func (l *leaderState) planGrants(now time.Time) {
	g := &l.teamGranter
	if g.inFlight {
		return
	}
	teams := l.teamsToPlan(now)
	if len(teams) == 0 && now.Sub(g.lastFormerCheck) < formerGrantInterval {
		return
	}
	g.lastFormerCheck = now
	former, changed := l.formerGrants(now)
	s := l.replica.state
	for team := range teams {
		in := l.teamInput(team, former[team])
		for _, c := range sharing.Plan(in, now) {
			a := s.Assignments[c.Pool]
			changed = append(changed, state.Grant{Team: team, Pool: c.Pool, Epoch: a.Epoch, Amount: c.Amount, Held: c.Held})
		}
		if len(changed) >= maxGrantsPerCommand {
			break
		}
	}
	if len(changed) == 0 {
		return
	}
	g.inFlight = true
	l.submit(state.Command{SetGrants: &state.SetGrants{Grants: changed}}, func(state.Result, error) { g.inFlight = false })
}

// teamsToPlan returns the teams whose demand or grants changed recently or that
// have waiting jobs, including teams that the rules no longer declare.
func (l *leaderState) teamsToPlan(now time.Time) map[string]bool {
	out := map[string]bool{}
	g := &l.teamGranter
	if rules := l.replica.state.Rules(); rules != nil {
		for name := range rules.Teams {
			reserved := l.replica.state.ReservedForJobs(name) > 0
			if reserved || now.Before(g.planAllUntil) || now.Before(g.team(name).planUntil) {
				out[name] = true
			}
		}
	}
	for name, t := range g.teams {
		if now.Before(t.planUntil) {
			out[name] = true
		}
	}
	if now.Before(g.planAllUntil) {
		for _, grant := range l.replica.state.Grants {
			out[grant.Team] = true
		}
	}
	return out
}

// teamInput returns the input for the plan of a team. former is the part of the
// limit that former holders still use.
func (l *leaderState) teamInput(team string, former int) sharing.Team {
	s := l.replica.state
	usage := l.teamGranter.team(team)
	in := sharing.Team{Limit: s.TeamLimit(team), Reserved: former + s.TasksOf(team) + s.ReservedForJobs(team)}
	for _, a := range s.Assignments {
		if a.Dispatcher == "" || !s.RegisteredSince(a.Dispatcher, a.Index) {
			continue
		}
		h := sharing.Holder{Pool: a.Pool, MaxInUse: -1, Since: usage.since[a.Pool]}
		grant := s.Grants[(&state.Grant{Team: team, Pool: a.Pool, Epoch: a.Epoch}).ID()]
		confirmed := a.Index
		if grant != nil {
			h.Amount, h.Held = grant.Amount, grant.Held
			confirmed = max(confirmed, grant.Index)
		}
		if entryLease := l.leases[a.Dispatcher]; entryLease != nil {
			// A dispatcher omits grants that it neither holds nor needs.
			d := entryLease.demand[demandKey{team, a.Pool, a.Epoch}]
			h.Demand = usage.smoothDemand(a.Pool, d.Running+d.Waiting)
			if entryLease.viewIndex >= confirmed {
				h.MaxInUse = max(d.Running, d.Grant)
			}
		}
		in.Holders = append(in.Holders, h)
	}
	return in
}

// smoothDemand returns the smoothed demand for a pool, which rises at once and
// decays slowly.
func (t *teamUsage) smoothDemand(pool string, demand int) int {
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

// formerGrants returns, by team, the units that still count for former holders,
// and the grants of which former holders have released units.
func (l *leaderState) formerGrants(now time.Time) (map[string]int, []state.Grant) {
	s := l.replica.state
	g := &l.teamGranter
	counted := map[string]int{}
	var released []state.Grant
	for id, grant := range s.Grants {
		a := s.Assignments[grant.Pool]
		if a != nil && a.Epoch == grant.Epoch && s.RegisteredSince(a.Dispatcher, a.Index) {
			delete(g.lastUse, id)
			continue
		}
		next := *grant
		next.Held = l.formerHeld(id, grant, now)
		next.Amount = min(next.Amount, next.Held)
		if next.Held != grant.Held {
			released = append(released, next)
		}
		if next.Held == 0 {
			delete(g.lastUse, id)
		}
		counted[grant.Team] += next.Held
	}
	return counted, released
}

// maxRunTime returns the longest time that work of a pool may run after it was
// admitted. Work that was admitted under earlier rules may run longer, so the
// deadlines of new rules count only once all such work has ended.
func (l *leaderState) maxRunTime(pool string, now time.Time) time.Duration {
	s, longest := l.replica.state, time.Duration(0)
	if s.Rules() == nil || now.Sub(s.Config.At) < 2*l.replica.runTimeLimit {
		return l.replica.runTimeLimit
	}
	for _, q := range s.Rules().Queues {
		if q.Pool == pool {
			longest = max(longest, q.Deadline)
		}
	}
	if longest == 0 {
		return l.replica.runTimeLimit
	}
	return min(longest, l.replica.runTimeLimit)
}

// formerHeld returns the units that a grant of a former holder still counts for.
// While the holder is live, these are the units that it reports; otherwise all of
// them, until the retention time has passed. A live holder whose view includes the
// present assignment and that omits the grant has no work under it; it may never
// have dispatched under that epoch.
func (l *leaderState) formerHeld(id state.GrantID, grant *state.Grant, now time.Time) int {
	g := &l.teamGranter
	a := l.replica.state.Assignments[grant.Pool]
	entryLease := l.leases[grant.Holder]
	if entryLease != nil && entryLease.incarnation == grant.Incarnation && !entryLease.expiring {
		d, ok := entryLease.demand[demandKey{grant.Team, grant.Pool, grant.Epoch}]
		if entryLease.viewIndex >= grant.Index && a != nil && entryLease.viewIndex >= a.Index {
			g.lastUse[id] = now
			return min(grant.Held, max(d.Running, d.Grant))
		}
		if ok {
			g.lastUse[id] = now
		}
	}
	seen, ok := g.lastUse[id]
	if !ok {
		g.lastUse[id] = now
		return grant.Held
	}
	if now.Sub(seen) > grantRetention(l.maxRunTime(grant.Pool, now)) {
		return 0
	}
	return grant.Held
}
