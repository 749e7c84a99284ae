package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/view"
)

const (
	// openShare is the share of requests without a team on open queues.
	openShare = 1
	// grantDelay is how long a grant may lag behind the demand. Until a team
	// has been held by its grant for so long, waits are estimated by its limit.
	grantDelay = time.Second
	// concurrencyAge is how long an estimated division of the slots is used.
	concurrencyAge = 5 * time.Millisecond
)

// team is what the pool knows of a team. The team without a name stands for
// requests on open queues that carry no key; it has no limit.
type team struct {
	name  string
	share float64
	limit int
	// grant is the part of the limit that this dispatcher may use.
	grant   int
	running int // under the current epoch
	// known tells that the rules name the team.
	known bool

	ready      indexedHeap[*request]
	readyPlace int
	waiting    [priorities]int
	virtual    float64
	blocked    bool
	skipped    uint64
	// slots is the estimated number of slots for the team at slotsAt.
	slots   float64
	slotsAt time.Duration
	round   uint64 // mark of the last estimate that counted the team
	service estimate
	// heldSince is when the team came to its grant; negative while it is below.
	heldSince time.Duration
}

// hasGrant tells whether one more request of t may run.
func (t *team) hasGrant() bool { return t.name == "" || t.running < t.grant }

// total returns the number of waiting requests.
func (t *team) total() int {
	n := 0
	for _, w := range t.waiting {
		n += w
	}
	return n
}

// ahead returns the number of waiting requests of at least the given urgency.
func (t *team) ahead(priority int) int {
	n := 0
	for _, w := range t.waiting[:priority+1] {
		n += w
	}
	return n
}

// team returns the team of that name, or nil if the rules don't name it.
func (p *Pool) team(name string) *team {
	if t := p.teams[name]; t != nil {
		if t.known {
			return t
		}
		return nil
	}
	if name != "" {
		return nil
	}
	t := newTeam(rules.Team{Share: openShare})
	p.teams[""] = t
	p.listTeams()
	return t
}

func (p *Pool) listTeams() {
	p.teamList = p.teamList[:0]
	for _, t := range p.teams {
		p.teamList = append(p.teamList, t)
	}
	slices.SortFunc(p.teamList, func(a, b *team) int { return strings.Compare(a.name, b.name) })
}

func newTeam(r rules.Team) *team {
	return &team{
		name: r.Name, share: math.Max(float64(r.Share), 1), limit: r.Limit, known: true, heldSince: -1,
		ready: indexedHeap[*request]{less: lessRank, place: teamPlace},
	}
}

// applyTeams takes over shares, limits and grants of the view.
func (p *Pool) applyTeams(now time.Duration) {
	for _, t := range p.teams {
		t.known = t.name == ""
	}
	for name, r := range p.view.Teams {
		t := p.teams[name]
		if t == nil {
			r.Name = name
			t = newTeam(r)
			p.teams[name] = t
		}
		t.known = true
		t.share = math.Max(float64(r.Share), 1)
		t.limit = r.Limit
		p.setGrant(now, t, p.view.Grants[name])
	}
	p.listTeams()
	for _, t := range p.teamList {
		if !t.known {
			p.withdrawTeam(now, t)
		}
	}
}

func (p *Pool) setGrant(now time.Duration, t *team, grant int) {
	if grant == t.grant {
		return
	}
	t.grant = grant
	t.heldSince = -1
	t.noteHeld(now)
}

// noteHeld updates since when the team has been held by its grant.
func (t *team) noteHeld(now time.Duration) {
	switch {
	case t.hasGrant():
		t.heldSince = -1
	case t.heldSince < 0:
		t.heldSince = now
	}
}

// withdrawTeam refuses the waiting requests of a team that the rules no longer name.
func (p *Pool) withdrawTeam(now time.Duration, t *team) {
	t.grant = 0
	for _, r := range p.queue.byKey {
		if r.team == t {
			p.refuseWaiting(now, r, refuse(CodeTeamLimit, maxRetryAfter, "team %q is not in the rules", t.name))
		}
	}
}

// dropTeams forgets teams that the rules no longer name and that have no work left.
func (p *Pool) dropTeams() {
	dropped := false
	for name, t := range p.teams {
		if !t.known && t.running == 0 && t.total() == 0 {
			delete(p.teams, name)
			dropped = true
		}
	}
	if dropped {
		p.listTeams()
	}
}

// estimate is a moving mean of durations and of their deviation from it.
type estimate struct{ mean, deviation float64 }

// estimateWeight is the weight of a new sample.
const estimateWeight = 0.05

func (e *estimate) add(d time.Duration) {
	sample := float64(d)
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += estimateWeight * (math.Abs(sample-e.mean) - e.deviation)
	e.mean += estimateWeight * (sample - e.mean)
}

// expected returns the mean.
func (e *estimate) expected() time.Duration { return time.Duration(e.mean) }

// cautious returns a duration that most requests stay below.
func (e *estimate) cautious() time.Duration { return time.Duration(e.mean + 2*e.deviation) }

// serviceOf returns the estimate for a team, or the pool's if the team has none.
func (p *Pool) serviceOf(t *team) *estimate {
	if t.service.mean > 0 {
		return &t.service
	}
	return &p.service
}

// concurrency estimates how many slots t will have while it and the other
// teams have their present demand: max-min fair by share, bounded by demand.
func (p *Pool) concurrency(now time.Duration, t *team) float64 {
	if t.slotsAt == 0 || now-t.slotsAt >= concurrencyAge {
		t.slots = p.divide(now, t)
		t.slotsAt = now
	}
	return t.slots
}

func (p *Pool) divide(now time.Duration, t *team) float64 {
	p.round++
	free := float64(p.capacity(now))
	share := 0.0
	for _, other := range p.teamList {
		if other == t || other.running+other.total() > 0 {
			share += other.share
		}
	}
	bound := t.bound(now)
	// Teams whose demand is below their part leave the rest to the others.
	// Three rounds come close to the exact division.
	for range 3 {
		level := free / share
		changed := false
		for _, other := range p.teamList {
			need := min(float64(other.running+other.total()), other.bound(now))
			satisfied := other != t && other.round != p.round && need > 0 && need <= level*other.share
			if satisfied {
				other.round = p.round
				free -= need
				share -= other.share
				changed = true
			}
		}
		if !changed {
			break
		}
	}
	return min(max(free, 0)*t.share/share, bound)
}

// bound returns the most slots that t can have soon.
func (t *team) bound(now time.Duration) float64 {
	if t.name == "" {
		return math.Inf(1)
	}
	if t.heldSince >= 0 && now-t.heldSince >= grantDelay {
		return float64(t.grant)
	}
	return float64(t.limit)
}

// wait estimates how long a new request of t would wait for a ticket. It
// reports false if nothing is known to estimate from.
func (p *Pool) wait(now time.Duration, t *team, priority int) (time.Duration, bool) {
	mean := p.serviceOf(t).mean
	if mean == 0 || p.phase != serving {
		return 0, false
	}
	if t.total() == 0 && t.hasGrant() && p.hasFreeSlot(now) {
		return 0, true
	}
	slots := p.concurrency(now, t)
	if slots <= 0 {
		return 0, false
	}
	missing := float64(t.ahead(priority)+1+t.running) - slots
	if missing <= 0 {
		return 0, true
	}
	return time.Duration(missing / slots * mean), true
}

// untilAdmitted estimates the time until a request of t with that much time
// left would be admitted.
func (p *Pool) untilAdmitted(now time.Duration, t *team, priority int, remaining time.Duration) time.Duration {
	if p.phase == recovering {
		return recoveryTimeout
	}
	if p.capacity(now) == 0 {
		return leaseDuration
	}
	wait, known := p.wait(now, t, priority)
	if !known {
		return time.Second
	}
	return wait + p.serviceOf(t).cautious() - remaining
}

// tooLate returns a refusal if a new request can't finish before its deadline.
func (p *Pool) tooLate(now time.Duration, t *team, a *Acquire) *Refusal {
	if t.running == 0 && t.total() == 0 {
		// Without work in progress the estimates would never be corrected.
		return nil
	}
	wait, known := p.wait(now, t, a.Priority)
	if !known || wait == 0 {
		return nil
	}
	need := wait + p.serviceOf(t).cautious()
	if need <= a.Remaining {
		return nil
	}
	code := CodeDeadline
	if !t.hasGrant() && p.hasFreeSlot(now) {
		code = CodeTeamLimit
	}
	return refuse(code, need-a.Remaining, "the request would need %v and has %v left",
		need.Round(time.Millisecond), a.Remaining.Round(time.Millisecond))
}

// Demand returns what the pool holds and needs of the teams' limits. Work that
// runs under an earlier epoch is reported under that epoch, and the rest of the
// grants of such an epoch as given back.
func (p *Pool) Demand(now time.Duration) []view.Demand {
	var demand []view.Demand
	last := map[useKey]view.Demand{}
	for _, t := range p.tickets.byKey {
		if t.inherited || t.team == "" {
			continue
		}
		key := useKey{t.key.epoch, t.team}
		d := last[key]
		d.Running++
		d.LastDeadline = max(d.LastDeadline, t.deadline-now)
		last[key] = d
	}
	for name, t := range p.teams {
		key := useKey{p.epoch, name}
		d := last[key]
		delete(last, key)
		// An idle team whose grant is the one of the view says nothing new. At the
		// design size, reporting it makes up nearly all bytes of a renewal.
		isIdle := d.Running == 0 && t.total() == 0
		if name == "" || isIdle && (t.grant == 0 || p.phase != retired) {
			continue
		}
		d.Team, d.Pool, d.Epoch = name, p.opts.Name, p.epoch
		d.Waiting = t.total()
		d.Grant = t.grant
		if p.phase == retired {
			d.Grant = 0
		}
		d.Grant = max(d.Grant, d.Running)
		demand = append(demand, d)
	}
	for _, g := range p.view.Former {
		key := useKey{g.Epoch, g.Team}
		if g.Epoch >= p.firstEpoch && g.Epoch < p.epoch && last[key].Running == 0 {
			last[key] = view.Demand{}
		}
	}
	for key, d := range last {
		d.Team, d.Pool, d.Epoch, d.Grant = key.team, p.opts.Name, key.epoch, d.Running
		demand = append(demand, d)
	}
	slices.SortFunc(demand, func(a, b view.Demand) int { return strings.Compare(a.Team, b.Team) })
	return demand
}

// useKey identifies the work of a team under one epoch.
type useKey struct {
	epoch uint64
	team  string
}
