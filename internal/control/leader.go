package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// planInterval is how often the leader plans grants and commits inventory.
const planInterval = 100 * time.Millisecond

// leader is what a leader keeps in memory only. A new leader starts without it.
type leader struct {
	replica *Replica
	term    uint64
	// since is when the leadership began; entry instances count as renewed then.
	since  time.Time
	leases map[string]*lease
	renews renewals

	assigning  assigner
	granting   granter
	inventory  inventory
	lastPlan   time.Time
	registered map[string]uint64 // registrations under way, by incarnation

	service *Leadership // nil until the service was told of the leadership
}

func newLeader(r *Replica, now time.Time) *leader {
	l := &leader{replica: r, term: r.core.Term(), since: now, leases: map[string]*lease{}, registered: map[string]uint64{}}
	l.assigning.due = true
	l.granting.init(now)
	l.inventory.init()
	return l
}

// stepDown ends the leader's work. What it had under way has an unknown outcome.
func (r *Replica) stepDown() {
	l := r.lead
	r.lead = nil
	l.endService()
	r.failProposals()
	for _, w := range l.renews.takeAll() {
		w.reply(nil, r.notLeaderForPeers())
	}
	for _, reply := range l.assigning.takeLeaving() {
		reply(r.notLeaderForPeers())
	}
}

// settled tells that all that earlier leaders committed is applied here, which
// plans have to be based on.
func (l *leader) settled() bool {
	return l.replica.settledTerm == l.term
}

func (r *Replica) tickLeader(now time.Time, gap time.Duration) {
	l := r.lead
	if gap > frozenAfter {
		r.log.Info("Found that this process was stopped for a while.", "duration", gap.String())
		l.renewAll(now)
	}
	if !l.settled() {
		return
	}
	l.expire(now)
	l.assign(now)
	if now.Sub(l.lastPlan) < planInterval {
		return
	}
	l.lastPlan = now
	l.plan(now)
	l.commitInventory()
}

// applied notices what a committed command means for the plans.
func (l *leader) applied(c *state.Command) {
	l.renews.stateChanged()
	switch {
	case c.ApplyRules != nil:
		l.assigning.due = true
		l.granting.allDue(time.Now())
	case c.RegisterEntry != nil:
		l.assigning.due = true
		l.forgetOldIncarnation(&c.RegisterEntry.Entry)
	case c.ExpireEntry != nil:
		l.assigning.due = true
		delete(l.leases, c.ExpireEntry.ID)
		l.granting.allDue(time.Now())
	case c.AssignPools != nil:
		l.assigning.due = true
		l.granting.allDue(time.Now())
	case c.ReportTasks != nil, c.CancelJobs != nil:
		l.granting.allDue(time.Now()) // requests may get what tasks no longer use
	case c.SetGrants != nil:
		l.granting.noteApplied(c.SetGrants, time.Now())
	}
}

// submit proposes a command of the leader's own. It is not remembered under a
// session, because a plan is made anew after a failure.
func (l *leader) submit(c state.Command, done func(state.Result, error)) {
	l.replica.propose(c, func(result state.Result, err error) {
		if err == nil && result.Err != nil {
			l.replica.log.Info("A planned command was rejected.", "kind", c.Kind(), "reason", result.Err.Text)
		}
		done(result, err)
	})
}

// viewDelta returns what changed after the index, for a view.
func viewDelta(s *state.State, since uint64) *view.Delta {
	changes := s.ChangesSince(since)
	d := &view.Delta{Index: s.Index, Full: changes.Full}
	if changes.Full {
		fillDelta(d, s)
		return d
	}
	if changes.Config {
		config := s.Config
		d.Config = &config
	}
	for _, id := range changes.Keys {
		if k := s.Keys[id]; k != nil {
			d.Keys = append(d.Keys, *k)
		}
	}
	for _, id := range changes.Entries {
		if e := s.Entries[id]; e != nil {
			d.Entries = append(d.Entries, *e)
		} else {
			d.GoneEntries = append(d.GoneEntries, id)
		}
	}
	for _, id := range changes.Assignments {
		if a := s.Assignments[id]; a != nil {
			d.Assignments = append(d.Assignments, *a)
		}
	}
	for _, id := range changes.Grants {
		if g := s.Grants[id]; g != nil {
			d.Grants = append(d.Grants, *g)
		} else {
			d.GoneGrants = append(d.GoneGrants, id)
		}
	}
	for _, id := range changes.Instances {
		if n := s.Instances[id]; n != nil {
			d.Instances = append(d.Instances, *n)
		} else {
			d.GoneInst = append(d.GoneInst, id)
		}
	}
	return d
}

// fillDelta adds everything to d.
func fillDelta(d *view.Delta, s *state.State) {
	config := s.Config
	d.Config = &config
	for _, k := range s.Keys {
		d.Keys = append(d.Keys, *k)
	}
	for _, e := range s.Entries {
		d.Entries = append(d.Entries, *e)
	}
	for _, a := range s.Assignments {
		d.Assignments = append(d.Assignments, *a)
	}
	for _, g := range s.Grants {
		d.Grants = append(d.Grants, *g)
	}
	for _, n := range s.Instances {
		d.Instances = append(d.Instances, *n)
	}
}
