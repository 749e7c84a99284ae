package placement

import (
	"fmt"
	"sort"
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Input is the snapshot from which a plan is made.
type Input struct {
	Now       time.Time
	Rules     *rules.Rules
	Instances []state.Instance
	Jobs      []state.Job  // waiting and running
	Tasks     []state.Task // not ended
	Model     *UsageModel
	Health    map[string]Health // by instance
	// TeamRunning is the number of units that each team uses besides tasks: the
	// grants held for its requests.
	TeamRunning map[string]int
	// MaxStarts limits the starts of one plan; 0 means no limit.
	MaxStarts int
}

// Start is a task to start.
type Start struct {
	Job       string          `json:"job"`
	Instance  string          `json:"instance"`
	PoolEpoch uint64          `json:"pool_epoch"`
	Reserved  state.Resources `json:"reserved"`
}

// Preemption is a task to checkpoint and stop in favour of an urgent job.
type Preemption struct {
	Task string `json:"task"`
	For  string `json:"for"` // job
}

// Refusal names a job that can never run, with the reason.
type Refusal struct {
	Job    string `json:"job"`
	Reason string `json:"reason"`
}

// Wait names a job that cannot start yet, with the reason.
type Wait struct {
	Job    string `json:"job"`
	Reason string `json:"reason"`
}

// Plan holds the next actions for waiting jobs.
type Plan struct {
	Start   []Start      `json:"start"`
	Preempt []Preemption `json:"preempt"`
	Refuse  []Refusal    `json:"refuse"`
	Wait    []Wait       `json:"wait"`
}

// MakePlan plans the starts of waiting jobs: urgent jobs first, then by priority,
// then by the team with the least running work relative to its share.
func MakePlan(in Input) Plan {
	p := newPlanner(in)
	for {
		job := p.next()
		if job == nil {
			return p.plan
		}
		if in.MaxStarts > 0 && len(p.plan.Start) >= in.MaxStarts {
			return p.plan
		}
		p.place(job)
	}
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, fleet: newFleetIndex(in), running: map[string]int{}, waiting: map[string][]*state.Job{}}
	for team, n := range in.TeamRunning {
		p.running[team] += n
	}
	jobs := make(map[string]*state.Job, len(in.Jobs))
	for i := range in.Jobs {
		job := &in.Jobs[i]
		jobs[job.ID] = job
		if job.Status == state.JobWaiting {
			p.waiting[job.Team] = append(p.waiting[job.Team], job)
		}
	}
	for i := range in.Tasks {
		if job := jobs[in.Tasks[i].Job]; job != nil {
			p.running[job.Team]++
			p.fleet.addTask(&in.Tasks[i], job)
		}
	}
	for _, queue := range p.waiting {
		sort.Slice(queue, func(i, j int) bool { return jobPrecedes(queue[i], queue[j]) })
	}
	return p
}

// jobPrecedes reports whether job a comes before job b of the same team.
func jobPrecedes(a, b *state.Job) bool {
	switch {
	case (a.Kind == state.Urgent) != (b.Kind == state.Urgent):
		return a.Kind == state.Urgent
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.SubmittedAt.Equal(b.SubmittedAt):
		return a.SubmittedAt.Before(b.SubmittedAt)
	}
	return a.ID < b.ID
}

type planner struct {
	in      Input
	fleet   *fleetIndex
	running map[string]int // units in use, by team
	waiting map[string][]*state.Job
	plan    Plan
}

// next removes and returns the job to place next. The first waiting jobs of the
// teams compete by urgency and priority, then by running work over share.
func (p *planner) next() *state.Job {
	var best *state.Job
	for _, queue := range p.waiting {
		if len(queue) > 0 && (best == nil || p.precedes(queue[0], best)) {
			best = queue[0]
		}
	}
	if best != nil {
		p.waiting[best.Team] = p.waiting[best.Team][1:]
	}
	return best
}

func (p *planner) precedes(a, b *state.Job) bool {
	if (a.Kind == state.Urgent) != (b.Kind == state.Urgent) || a.Priority != b.Priority {
		return jobPrecedes(a, b)
	}
	// Compares running(a)/share(a) with running(b)/share(b) without division.
	ra, rb := p.running[a.Team]*p.share(b.Team), p.running[b.Team]*p.share(a.Team)
	if ra != rb {
		return ra < rb
	}
	return jobPrecedes(a, b)
}

func (p *planner) share(team string) int { return max(1, p.in.Rules.Teams[team].Share) }

// place starts, refuses or postpones a job, or preempts tasks for it.
func (p *planner) place(job *state.Job) {
	if reason := p.refusalReason(job); reason != "" {
		p.plan.Refuse = append(p.plan.Refuse, Refusal{job.ID, reason})
		return
	}
	if team := p.in.Rules.Teams[job.Team]; p.running[job.Team] >= team.Limit {
		p.postpone(job, "team %q has %d running of %d allowed (rules line %d, asked for by %s)",
			job.Team, p.running[job.Team], team.Limit, team.Line, team.RequestedBy)
		return
	}
	size := p.in.Model.Reserve(job)
	if h := p.fleet.bestHost(job, size); h != nil {
		p.start(job, h, size)
		return
	}
	if job.Kind != state.Urgent {
		p.postpone(job, "no instance of pool %q has room for %d mCPU, %d MB and %d accelerators", job.Pool, size.MilliCPU, size.MemoryMB, size.Accelerators)
		return
	}
	p.preempt(job, size)
}

func (p *planner) postpone(job *state.Job, format string, args ...any) {
	p.plan.Wait = append(p.plan.Wait, Wait{job.ID, fmt.Sprintf(format, args...)})
}

func (p *planner) start(job *state.Job, h *host, size state.Resources) {
	h.reserve(job, size)
	p.running[job.Team]++
	p.plan.Start = append(p.plan.Start, Start{Job: job.ID, Instance: h.inst.ID, PoolEpoch: h.inst.PoolEpoch, Reserved: h.clamp(size)})
}

// refusalReason returns why a job can never run under the present rules and
// fleet, or "". Instances that are unavailable at present count, because they
// return.
func (p *planner) refusalReason(job *state.Job) string {
	if _, ok := p.in.Rules.Pools[job.Pool]; !ok {
		return fmt.Sprintf("pool %q is not in the rules", job.Pool)
	}
	team, ok := p.in.Rules.Teams[job.Team]
	if !ok {
		return fmt.Sprintf("team %q is not in the rules", job.Team)
	}
	if team.Limit < 1 {
		return fmt.Sprintf("team %q may run nothing (rules line %d, asked for by %s)", job.Team, team.Line, team.RequestedBy)
	}
	hosts := p.fleet.byPool[job.Pool]
	if len(hosts) == 0 {
		return "" // the pool has no instance yet
	}
	for _, h := range hosts {
		if job.Declared.Fits(h.inst.Resources) {
			return ""
		}
	}
	d := job.Declared
	return fmt.Sprintf("no instance of pool %q is large enough for the declared %d mCPU, %d MB and %d accelerators",
		job.Pool, d.MilliCPU, d.MemoryMB, d.Accelerators)
}

// preempt makes room for an urgent job on the instance that needs the fewest
// preemptions, of the lowest priority there. The job starts in a later plan,
// once these tasks have been checkpointed and have ended.
func (p *planner) preempt(job *state.Job, size state.Resources) {
	var best []*placedTask
	for _, h := range p.fleet.usable[job.Pool] {
		victims := h.victims(size)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if best == nil {
		p.postpone(job, "no instance of pool %q can make room by stopping work that is not urgent", job.Pool)
		return
	}
	for _, v := range best {
		v.stopping = true
		p.plan.Preempt = append(p.plan.Preempt, Preemption{Task: v.task.ID, For: job.ID})
	}
	p.postpone(job, "%d tasks are being checkpointed to make room", len(best))
}
