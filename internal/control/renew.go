package control

import (
	"context"
	"time"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

// renewalBatch is the shortest time between two confirmations of the
// leadership, each of which answers all renewals that arrived before it. It
// delays an answer by at most this much of the freshness bound, and keeps the
// messages between replicas from growing with the number of entry instances.
const renewalBatch = 2 * tick

// Codes of errors to entry instances.
const (
	// codeExpiring tells an entry instance that its lease is being ended.
	codeExpiring = "expiring"
	// codeRefused tells that a request is malformed or not for this process.
	codeRefused = "refused"
)

// renewal waits for a confirmation of the leadership that begins after it arrived.
type renewal struct {
	id          string
	incarnation uint64
	since       uint64
	reply       func(*view.Delta, error)
}

// renewals batches the confirmations.
type renewals struct {
	waiting   []renewal // no confirmation has begun
	confirmed map[uint64][]renewal
	rounds    uint64
	last      time.Time
	// deltas are those of the present state, by the index they count from.
	deltas map[uint64]*view.Delta
}

func (q *renewals) stateChanged() { clear(q.deltas) }

func (q *renewals) takeAll() []renewal {
	all := q.waiting
	for _, batch := range q.confirmed {
		all = append(all, batch...)
	}
	q.waiting, q.confirmed = nil, nil
	return all
}

// HandleRequest serves entry instances and other replicas.
func (r *Replica) HandleRequest(ctx context.Context, from peer.Identity, method string, body []byte) (any, error) {
	arrived := time.Now()
	if r.transport.cut(from.ID) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch method {
	case view.MethodRenew, view.MethodLeave:
		return r.serveEntry(ctx, from, method, body, arrived)
	case methodProbe:
		return r.answerProbe(ctx)
	case methodJoin:
		return r.acceptJoin(ctx, from, body)
	}
	if s := r.options.Service; s != nil {
		return s.Handle(ctx, from, method, body)
	}
	r.refused("unknown-method")
	return nil, &peer.RemoteError{Code: codeRefused, Text: "method " + method + " is not known to a control replica"}
}

func (r *Replica) serveEntry(ctx context.Context, from peer.Identity, method string, body []byte, arrived time.Time) (any, error) {
	m := new(view.Renew)
	if err := peer.Decode(body, m); err != nil {
		r.refused("malformed-message")
		return nil, &peer.RemoteError{Code: codeRefused, Text: err.Error()}
	}
	if from.Role != peer.RoleEntry || from.ID != m.Entry.ID || m.Entry.Incarnation == 0 {
		r.refused("wrong-sender")
		return nil, &peer.RemoteError{Code: codeRefused, Text: "the request is for another entry instance than its sender"}
	}
	if method == view.MethodLeave {
		return struct{}{}, r.wait(ctx, func(done func(error)) { r.leave(m, done) })
	}
	var delta *view.Delta
	err := r.wait(ctx, func(done func(error)) {
		r.renew(m, arrived, func(d *view.Delta, err error) {
			delta = d
			done(err)
		})
	})
	if err != nil {
		return nil, err
	}
	return delta, nil
}

// notLeaderForPeers is the answer of a follower to an entry instance.
func (r *Replica) notLeaderForPeers() error {
	leader := r.leaderPeer()
	if leader == r.options.Self.Peer {
		leader = ""
	}
	return &peer.RemoteError{Code: view.CodeNotLeader, Text: leader}
}

// renew takes a renewal and answers it after a confirmation of the leadership
// that began after the renewal had arrived.
func (r *Replica) renew(m *view.Renew, arrived time.Time, reply func(*view.Delta, error)) {
	if r.lead == nil {
		r.refused("renewal-not-leader")
		reply(nil, r.notLeaderForPeers())
		return
	}
	if !r.lead.observe(m, arrived) {
		r.refused("renewal-expiring")
		reply(nil, &peer.RemoteError{Code: codeExpiring, Text: "the lease of this entry instance is being ended"})
		return
	}
	q := &r.lead.renews
	q.waiting = append(q.waiting, renewal{m.Entry.ID, m.Entry.Incarnation, m.Since, reply})
}

// startRenewRound begins a confirmation for all renewals that wait, unless the
// last one began only just now.
func (r *Replica) startRenewRound(now time.Time) {
	l := r.lead
	if l == nil || len(l.renews.waiting) == 0 || now.Sub(l.renews.last) < renewalBatch {
		return
	}
	q := &l.renews
	q.last = now
	q.rounds++
	round := q.rounds
	if q.confirmed == nil {
		q.confirmed = map[uint64][]renewal{}
	}
	q.confirmed[round] = q.waiting
	q.waiting = nil
	r.read(func(err error) {
		batch := q.confirmed[round]
		delete(q.confirmed, round)
		for _, w := range batch {
			if err != nil || r.lead != l {
				w.reply(nil, r.notLeaderForPeers())
				continue
			}
			w.reply(l.answerRenewal(&w))
		}
	})
}

// answerRenewal returns the delta for a confirmed renewal. An entry instance
// whose expiry was proposed meanwhile gets none: its successors may start. One
// that just registered counts as unknown until the pools of its earlier
// registration are assigned anew; otherwise it would use grants that work of
// its earlier incarnation still counts under.
func (l *leader) answerRenewal(w *renewal) (*view.Delta, error) {
	r := l.replica
	e := r.state.Entries[w.id]
	if e == nil || e.Incarnation != w.incarnation || r.state.HasStaleAssignment(e) {
		d := *l.delta(w.since)
		d.Unknown = true
		return &d, nil
	}
	if lease := l.leases[w.id]; lease != nil && lease.expiring {
		r.refused("renewal-expiring")
		return nil, &peer.RemoteError{Code: codeExpiring, Text: "the lease of this entry instance is being ended"}
	}
	return l.delta(w.since), nil
}

// delta returns the changes after the index. Renewals with the same index share
// it; it is not changed afterwards.
func (l *leader) delta(since uint64) *view.Delta {
	if d := l.renews.deltas[since]; d != nil {
		return d
	}
	d := viewDelta(l.replica.state, since)
	if l.renews.deltas == nil {
		l.renews.deltas = map[uint64]*view.Delta{}
	}
	l.renews.deltas[since] = d
	return d
}
