package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// balanceDelay is the time without further changes after which pools may move
// between live entry instances to balance the load.
const balanceDelay = time.Second

// assigner keeps every pool assigned to a live entry instance.
type assigner struct {
	changed    bool
	inFlight   bool
	balanceDue time.Time
	// leaving maps stopping entry instances to their incarnations.
	leaving map[string]uint64
	replies []leavingReply
}

type leavingReply struct {
	id    string
	reply func(error)
}

func (a *assigner) takeReplies() []func(error) {
	var out []func(error)
	for _, l := range a.replies {
		out = append(out, l.reply)
	}
	a.replies = nil
	return out
}

// clearLeaving makes an instance eligible for pools again once it has registered
// with another incarnation than the one that was stopping.
func (a *assigner) clearLeaving(id string, incarnation uint64) {
	if a.leaving[id] != incarnation {
		delete(a.leaving, id)
	}
}

// leave moves the pools of a stopping entry instance to other instances. It calls
// done once the new assignments are committed.
func (r *Replica) leave(m *view.RenewRequest, done func(error)) {
	if r.asLeader == nil {
		r.countRefusal("leave-not-leader")
		done(r.notLeaderForPeers())
		return
	}
	known := r.state.Entries[m.Entry.ID]
	if known == nil || known.Incarnation != m.Entry.Incarnation {
		done(nil) // it is not registered, so it has no pools
		return
	}
	a := &r.asLeader.poolAssigner
	if a.leaving == nil {
		a.leaving = map[string]uint64{}
	}
	a.leaving[known.ID] = known.Incarnation
	a.replies = append(a.replies, leavingReply{known.ID, done})
	a.changed = true
	if r.asLeader.caughtUp() {
		r.asLeader.assignPools(time.Now())
	}
}

// assignPools proposes the assignments that have to change.
func (l *leaderState) assignPools(now time.Time) {
	a := &l.poolAssigner
	if a.inFlight {
		return
	}
	if a.changed {
		a.changed = false
		a.balanceDue = now.Add(balanceDelay)
	} else if a.balanceDue.IsZero() || now.Before(a.balanceDue) {
		return
	}
	balance := !now.Before(a.balanceDue)
	if balance {
		a.balanceDue = time.Time{}
	}
	next := planAssignments(l.assignmentInput(balance))
	if len(next) == 0 {
		l.answerLeaving()
		return
	}
	a.inFlight = true
	l.submit(state.Command{AssignPools: &state.AssignPools{Assignments: next}}, func(state.Result, error) {
		a.inFlight = false
		a.changed = true
	})
}

// answerLeaving answers the stopping instances that have no pool left, and all
// of them if no other instance can take their pools.
func (l *leaderState) answerLeaving() {
	a := &l.poolAssigner
	stillAssigned := map[string]bool{}
	for _, s := range l.replica.state.Assignments {
		stillAssigned[s.Dispatcher] = true
	}
	var remaining []leavingReply
	for _, pending := range a.replies {
		if stillAssigned[pending.id] && l.hasSuccessor() {
			remaining = append(remaining, pending)
			continue
		}
		pending.reply(nil)
	}
	a.replies = remaining
}

// hasSuccessor reports whether a live entry instance is not stopping.
func (l *leaderState) hasSuccessor() bool {
	for _, e := range l.replica.state.Entries {
		if l.poolAssigner.leaving[e.ID] != e.Incarnation {
			return true
		}
	}
	return false
}

func (l *leaderState) assignmentInput(balance bool) assignmentInput {
	s := l.replica.state
	in := assignmentInput{Committed: s.Assignments, RegisteredSince: s.RegisteredSince, Balance: balance, Entries: map[string]candidate{}}
	if r := s.Rules(); r != nil {
		for pool := range r.Pools {
			in.Pools = append(in.Pools, pool)
		}
	}
	for _, e := range s.Entries {
		in.Entries[e.ID] = candidate{DataCentre: e.DataCentre, Leaving: l.poolAssigner.leaving[e.ID] == e.Incarnation}
	}
	return in
}
