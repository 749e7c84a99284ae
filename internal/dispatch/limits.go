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
	// openQueueShare is the share that all requests without a team have together.
	// Such requests are allowed on open queues only.
	openQueueShare = 1
	// grantDelay is how long a grant may lag behind the demand. Until a team
	// has been at its grant for this long, its limit bounds the estimates.
	grantDelay = time.Second
	// slotEstimateLifetime is how long an estimate of a team's slots is reused.
	slotEstimateLifetime = 5 * time.Millisecond
)

// team is the state of a team in the pool. The team without a name represents
// requests on open queues that carry no key; it has no limit.
type team struct {
	name  string
	share float64
	limit int
	// grant is the part of the limit that this dispatcher may use.
	grant   int
	running int // under the current epoch
	// known reports that the team is in the rules.
	known bool

	ready       indexedHeap[*request]
	readyIndex  int
	waiting     [priorities]int
	virtualTime float64
	blocked     bool
	skippedPass uint64
	// slots is the estimated number of slots for the team at slotsEstimatedAt.
	slots            float64
	slotsEstimatedAt time.Duration
	estimateRound    uint64 // last estimate in which the team's demand was satisfied
	serviceTime      movingEstimate
	// atGrantSince is when the team reached its grant; negative while below it.
	atGrantSince time.Duration
}

// hasGrant reports whether one more request of t may run.
func (t *team) hasGrant() bool { return t.name == "" || t.running < t.grant }

// totalWaiting returns the number of waiting requests.
func (t *team) totalWaiting() int {
	n := 0
	for _, w := range t.waiting {
		n += w
	}
	return n
}

// waitingAhead returns the number of waiting requests that are at least as urgent
// as priority.
func (t *team) waitingAhead(priority int) int {
	n := 0
	for _, w := range t.waiting[:priority+1] {
		n += w
	}
	return n
}

// team returns the team of that name, or nil if it is not in the rules. It
// creates the unnamed team on first use.
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
	t := newTeam(rules.Team{Share: openQueueShare})
	p.teams[""] = t
	p.rebuildTeamList()
	return t
}

func (p *Pool) rebuildTeamList() {
	p.teamList = p.teamList[:0]
	for _, t := range p.teams {
		p.teamList = append(p.teamList, t)
	}
	slices.SortFunc(p.teamList, func(a, b *team) int { return strings.Compare(a.name, b.name) })
}

func newTeam(r rules.Team) *team {
	return &team{
		name: r.Name, share: math.Max(float64(r.Share), 1), limit: r.Limit, known: true, atGrantSince: -1,
		ready: indexedHeap[*request]{less: lessRank, index: teamIndex},
	}
}

// applyTeams applies the shares, limits and grants of the view.
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
	p.rebuildTeamList()
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
	t.atGrantSince = -1
	t.updateAtGrant(now)
}

// updateAtGrant updates atGrantSince.
func (t *team) updateAtGrant(now time.Duration) {
	switch {
	case t.hasGrant():
		t.atGrantSince = -1
	case t.atGrantSince < 0:
		t.atGrantSince = now
	}
}

// withdrawTeam refuses the waiting requests of a team that is no longer in the rules.
func (p *Pool) withdrawTeam(now time.Duration, t *team) {
	t.grant = 0
	for _, r := range p.queue.byKey {
		if r.team == t {
			p.refuseWaiting(now, r, refuse(CodeTeamLimit, maxRetryAfter, "team %q is not in the rules", t.name))
		}
	}
}

// removeUnusedTeams removes teams that are no longer in the rules and have no
// running or waiting requests.
func (p *Pool) removeUnusedTeams() {
	dropped := false
	for name, t := range p.teams {
		if !t.known && t.running == 0 && t.totalWaiting() == 0 {
			delete(p.teams, name)
			dropped = true
		}
	}
	if dropped {
		p.rebuildTeamList()
	}
}

// movingEstimate is an exponentially weighted moving mean of durations and of
// their absolute deviation.
type movingEstimate struct{ mean, deviation float64 }

// estimateWeight is the weight of a new sample.
const estimateWeight = 0.05

func (e *movingEstimate) add(d time.Duration) {
	sample := float64(d)
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += estimateWeight * (math.Abs(sample-e.mean) - e.deviation)
	e.mean += estimateWeight * (sample - e.mean)
}

// meanDuration returns the mean.
func (e *movingEstimate) meanDuration() time.Duration { return time.Duration(e.mean) }

// upperBound returns a duration that most samples stay below: the mean plus twice
// the mean absolute deviation.
func (e *movingEstimate) upperBound() time.Duration { return time.Duration(e.mean + 2*e.deviation) }

// serviceEstimate returns the service time estimate of a team, or the pool's if
// the team has no samples.
func (p *Pool) serviceEstimate(t *team) *movingEstimate {
	if t.serviceTime.mean > 0 {
		return &t.serviceTime
	}
	return &p.serviceTime
}

// estimateSlots estimates how many slots t gets at the present demand of all
// teams. The division is max-min fair by share, bounded by demand.
func (p *Pool) estimateSlots(now time.Duration, t *team) float64 {
	if t.slotsEstimatedAt == 0 || now-t.slotsEstimatedAt >= slotEstimateLifetime {
		t.slots = p.computeSlots(now, t)
		t.slotsEstimatedAt = now
	}
	return t.slots
}

func (p *Pool) computeSlots(now time.Duration, t *team) float64 {
	p.estimateRound++
	free := float64(p.capacity(now))
	share := 0.0
	for _, other := range p.teamList {
		if other == t || other.running+other.totalWaiting() > 0 {
			share += other.share
		}
	}
	slotLimit := t.slotLimit(now)
	// Teams whose demand is below their fair part leave the rest to the others.
	// Three rounds come close to the exact division.
	for range 3 {
		level := free / share
		changed := false
		for _, other := range p.teamList {
			need := min(float64(other.running+other.totalWaiting()), other.slotLimit(now))
			satisfied := other != t && other.estimateRound != p.estimateRound && need > 0 && need <= level*other.share
			if satisfied {
				other.estimateRound = p.estimateRound
				free -= need
				share -= other.share
				changed = true
			}
		}
		if !changed {
			break
		}
	}
	return min(max(free, 0)*t.share/share, slotLimit)
}

// slotLimit returns the most slots that t can have within about grantDelay.
func (t *team) slotLimit(now time.Duration) float64 {
	if t.name == "" {
		return math.Inf(1)
	}
	if t.atGrantSince >= 0 && now-t.atGrantSince >= grantDelay {
		return float64(t.grant)
	}
	return float64(t.limit)
}

// estimateWait estimates how long a new request of t would wait for a ticket. It
// returns false if an estimate is not possible.
func (p *Pool) estimateWait(now time.Duration, t *team, priority int) (time.Duration, bool) {
	mean := p.serviceEstimate(t).mean
	if mean == 0 || p.phase != serving {
		return 0, false
	}
	if t.totalWaiting() == 0 && t.hasGrant() && p.hasFreeSlot(now) {
		return 0, true
	}
	slots := p.estimateSlots(now, t)
	if slots <= 0 {
		return 0, false
	}
	excess := float64(t.waitingAhead(priority)+1+t.running) - slots
	if excess <= 0 {
		return 0, true
	}
	return time.Duration(excess / slots * mean), true
}

// estimateAdmission estimates the time until a request of t with the given time
// to its deadline would be admitted.
func (p *Pool) estimateAdmission(now time.Duration, t *team, priority int, remaining time.Duration) time.Duration {
	if p.phase == recovering {
		return recoveryTimeout
	}
	if p.capacity(now) == 0 {
		return leaseDuration
	}
	wait, known := p.estimateWait(now, t, priority)
	if !known {
		return time.Second
	}
	return wait + p.serviceEstimate(t).upperBound() - remaining
}

// checkDeadline returns a refusal if a new request is not expected to finish before
// its deadline.
func (p *Pool) checkDeadline(now time.Duration, t *team, a *AcquireRequest) *Refusal {
	if t.running == 0 && t.totalWaiting() == 0 {
		// If the team has no work in progress, a refusal would leave the estimate
		// uncorrected for ever.
		return nil
	}
	wait, known := p.estimateWait(now, t, a.Priority)
	if !known || wait == 0 {
		return nil
	}
	need := wait + p.serviceEstimate(t).upperBound()
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

// Demand returns the pool's grants in use and its waiting requests by team. Work
// that runs under an earlier epoch is reported under that epoch; the unused part
// of the grants of such an epoch is reported as returned.
func (p *Pool) Demand(now time.Duration) []view.Demand {
	var demand []view.Demand
	inUse := map[teamEpoch]view.Demand{}
	for _, t := range p.tickets.byKey {
		if t.inherited || t.team == "" {
			continue
		}
		key := teamEpoch{t.key.epoch, t.team}
		d := inUse[key]
		d.Running++
		d.LastDeadline = max(d.LastDeadline, t.deadline-now)
		inUse[key] = d
	}
	for name, t := range p.teams {
		key := teamEpoch{p.epoch, name}
		d := inUse[key]
		delete(inUse, key)
		// The view already shows the grant of an idle team. It is reported only by a
		// retired pool, which returns it: at the design size, idle teams would make up
		// nearly all bytes of a renewal.
		isIdle := d.Running == 0 && t.totalWaiting() == 0
		if name == "" || isIdle && (t.grant == 0 || p.phase != retired) {
			continue
		}
		d.Team, d.Pool, d.Epoch = name, p.opts.Name, p.epoch
		d.Waiting = t.totalWaiting()
		d.Grant = t.grant
		if p.phase == retired {
			d.Grant = 0
		}
		d.Grant = max(d.Grant, d.Running)
		demand = append(demand, d)
	}
	for _, g := range p.view.Former {
		key := teamEpoch{g.Epoch, g.Team}
		if g.Epoch >= p.firstEpoch && g.Epoch < p.epoch && inUse[key].Running == 0 {
			inUse[key] = view.Demand{}
		}
	}
	for key, d := range inUse {
		d.Team, d.Pool, d.Epoch, d.Grant = key.team, p.opts.Name, key.epoch, d.Running
		demand = append(demand, d)
	}
	slices.SortFunc(demand, func(a, b view.Demand) int { return strings.Compare(a.Team, b.Team) })
	return demand
}

// teamEpoch is the key for the work of a team under one epoch.
type teamEpoch struct {
	epoch uint64
	team  string
}
