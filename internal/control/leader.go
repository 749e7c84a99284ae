package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// planInterval is the time between two plans of grants and commits of inventory.
const planInterval = 100 * time.Millisecond

// leaderState is the state that a leader keeps in memory only. A new leader starts
// with an empty one.
type leaderState struct {
	replica *Replica
	term    uint64
	// since is when the leadership began or the process was last resumed. A lease
	// without a later renewal counts as renewed then.
	since        time.Time
	leases       map[string]*lease
	renewalQueue renewals

	poolAssigner     assigner
	teamGranter      granter
	pendingInventory pendingInventory
	lastPlan         time.Time
	registering      map[string]uint64 // incarnations whose registration is proposed, by entry instance

	service *Leadership // nil until Service.BeginLeadership was called
}

func newLeaderState(r *Replica, now time.Time) *leaderState {
	l := &leaderState{replica: r, term: r.core.Term(), since: now, leases: map[string]*lease{}, registering: map[string]uint64{}}
	l.poolAssigner.changed = true
	l.teamGranter.init(now)
	l.pendingInventory.init()
	return l
}

// stepDown discards the leader state and fails the requests that wait for it. The
// outcome of pending proposals is unknown.
func (r *Replica) stepDown() {
	l := r.asLeader
	r.asLeader = nil
	l.endService()
	r.failProposals()
	for _, w := range l.renewalQueue.takeAll() {
		w.reply(nil, r.notLeaderForPeers())
	}
	for _, reply := range l.poolAssigner.takeReplies() {
		reply(r.notLeaderForPeers())
	}
}

// caughtUp reports whether an entry of the present term is applied, and with it
// everything that earlier leaders committed. Plans have to be based on that.
func (l *leaderState) caughtUp() bool {
	return l.replica.appliedTerm == l.term
}

func (r *Replica) tickLeader(now time.Time, gap time.Duration) {
	l := r.asLeader
	if gap > suspensionThreshold {
		r.log.Info("The process was suspended; counting all leases as renewed.", "duration", gap.String())
		l.renewAll(now)
	}
	if !l.caughtUp() {
		return
	}
	l.expireLeases(now)
	l.assignPools(now)
	if now.Sub(l.lastPlan) < planInterval {
		return
	}
	l.lastPlan = now
	l.planGrants(now)
	l.commitInventory()
}

// applied schedules the plans that a committed command affects.
func (l *leaderState) applied(c *state.Command) {
	l.renewalQueue.clearDeltas()
	switch {
	case c.ApplyRules != nil:
		l.poolAssigner.changed = true
		l.teamGranter.planAll(time.Now())
	case c.RegisterEntry != nil:
		l.poolAssigner.changed = true
		l.resetLease(&c.RegisterEntry.Entry)
	case c.ExpireEntry != nil:
		l.poolAssigner.changed = true
		delete(l.leases, c.ExpireEntry.ID)
		l.teamGranter.planAll(time.Now())
	case c.AssignPools != nil:
		l.poolAssigner.changed = true
		l.teamGranter.planAll(time.Now())
	case c.ReportTasks != nil, c.CancelJobs != nil:
		l.teamGranter.planAll(time.Now()) // units that tasks have released become available for requests
	case c.SetGrants != nil:
		l.teamGranter.recordGrants(c.SetGrants, time.Now())
	}
}

// submit proposes a command of the leader itself. It has no session for
// deduplication, because the leader plans again after a failure.
func (l *leaderState) submit(c state.Command, done func(state.Result, error)) {
	l.replica.propose(c, func(result state.Result, err error) {
		if err == nil && result.Err != nil {
			l.replica.log.Info("A command of the leader was rejected.", "kind", c.Kind(), "reason", result.Err.Text)
		}
		done(result, err)
	})
}

// viewDelta returns the changes to a view after the index since.
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
			d.RemovedEntries = append(d.RemovedEntries, id)
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
			d.RemovedGrants = append(d.RemovedGrants, id)
		}
	}
	for _, id := range changes.Instances {
		if n := s.Instances[id]; n != nil {
			d.Instances = append(d.Instances, *n)
		} else {
			d.RemovedInstances = append(d.RemovedInstances, id)
		}
	}
	return d
}

// fillDelta adds the whole state to d.
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
