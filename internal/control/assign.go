package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// settleTime is the wait for further changes of the entry instances before
// pools move between live ones.
const settleTime = time.Second

// assigner keeps the pools assigned to live entry instances.
type assigner struct {
	due       bool
	busy      bool
	balanceAt time.Time
	// leaving holds the incarnations of entry instances that are stopping.
	leaving map[string]uint64
	replies []leavingReply
}

type leavingReply struct {
	id    string
	reply func(error)
}

func (a *assigner) takeLeaving() []func(error) {
	var out []func(error)
	for _, l := range a.replies {
		out = append(out, l.reply)
	}
	a.replies = nil
	return out
}

// forgetLeaving admits a new incarnation of an instance that was stopping.
func (a *assigner) forgetLeaving(id string, incarnation uint64) {
	if a.leaving[id] != incarnation {
		delete(a.leaving, id)
	}
}

// leave moves the pools of a stopping entry instance. It is answered once the
// new assignments are committed.
func (r *Replica) leave(m *view.Renew, done func(error)) {
	if r.lead == nil {
		r.refused("leave-not-leader")
		done(r.notLeaderForPeers())
		return
	}
	known := r.state.Entries[m.Entry.ID]
	if known == nil || known.Incarnation != m.Entry.Incarnation {
		done(nil) // it has no pools
		return
	}
	a := &r.lead.assigning
	if a.leaving == nil {
		a.leaving = map[string]uint64{}
	}
	a.leaving[known.ID] = known.Incarnation
	a.replies = append(a.replies, leavingReply{known.ID, done})
	a.due = true
	if r.lead.settled() {
		r.lead.assign(time.Now())
	}
}

// assign proposes the assignments that have to change.
func (l *leader) assign(now time.Time) {
	a := &l.assigning
	if a.busy {
		return
	}
	if a.due {
		a.due = false
		a.balanceAt = now.Add(settleTime)
	} else if a.balanceAt.IsZero() || now.Before(a.balanceAt) {
		return
	}
	balance := !now.Before(a.balanceAt)
	if balance {
		a.balanceAt = time.Time{}
	}
	next := planAssignments(l.assignmentInput(balance))
	if len(next) == 0 {
		l.answerLeaving()
		return
	}
	a.busy = true
	l.submit(state.Command{AssignPools: &state.AssignPools{Assignments: next}}, func(state.Result, error) {
		a.busy = false
		a.due = true
	})
}

// answerLeaving answers the stopping instances that have no pool left.
func (l *leader) answerLeaving() {
	a := &l.assigning
	holding := map[string]bool{}
	for _, s := range l.replica.state.Assignments {
		holding[s.Dispatcher] = true
	}
	var left []leavingReply
	for _, reply := range a.replies {
		if holding[reply.id] && l.hasSuccessor() {
			left = append(left, reply)
			continue
		}
		reply.reply(nil)
	}
	a.replies = left
}

// hasSuccessor tells that an entry instance is live that isn't stopping.
func (l *leader) hasSuccessor() bool {
	for _, e := range l.replica.state.Entries {
		if l.assigning.leaving[e.ID] != e.Incarnation {
			return true
		}
	}
	return false
}

func (l *leader) assignmentInput(balance bool) assignmentInput {
	s := l.replica.state
	in := assignmentInput{Committed: s.Assignments, HoldsSince: s.HoldsSince, Balance: balance, Entries: map[string]candidate{}}
	if r := s.Rules(); r != nil {
		for pool := range r.Pools {
			in.Pools = append(in.Pools, pool)
		}
	}
	for _, e := range s.Entries {
		in.Entries[e.ID] = candidate{DataCentre: e.DataCentre, Leaving: l.assigning.leaving[e.ID] == e.Incarnation}
	}
	return in
}
