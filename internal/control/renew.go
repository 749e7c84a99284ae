package control

import (
	"context"
	"time"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

// confirmationInterval is the shortest time between two confirmations of the
// leadership for renewals. Each one answers all renewals that arrived before it,
// so the number of messages between replicas does not grow with the number of
// entry instances. A response is delayed by at most this part of the freshness
// bound.
const confirmationInterval = 2 * tick

// codeExpiring is the error code of a request of an entry instance whose lease is
// expiring.
const codeExpiring = "expiring"

// renewal is a request that waits for a confirmation of the leadership that begins
// after the request arrived.
type renewal struct {
	id          string
	incarnation uint64
	since       uint64
	reply       func(*view.Delta, error)
}

// renewals batches renewals, so that they share confirmations of the leadership.
type renewals struct {
	waiting    []renewal            // their confirmation has not begun
	confirming map[uint64][]renewal // by round
	rounds     uint64
	lastRound  time.Time
	// deltas caches the deltas to the present state by the index that they start
	// from.
	deltas map[uint64]*view.Delta
}

func (q *renewals) clearDeltas() { clear(q.deltas) }

func (q *renewals) takeAll() []renewal {
	all := q.waiting
	for _, batch := range q.confirming {
		all = append(all, batch...)
	}
	q.waiting, q.confirming = nil, nil
	return all
}

// HandleRequest serves a request of an entry instance or another replica.
func (r *Replica) HandleRequest(ctx context.Context, from peer.Identity, method string, body []byte) (any, error) {
	arrived := time.Now()
	if r.options.Blocked(from.ID) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch method {
	case view.MethodRenew, view.MethodLeave:
		return r.serveEntry(ctx, from, method, body, arrived)
	case methodProbe:
		return r.handleProbe(ctx)
	case methodJoin:
		return r.handleJoin(ctx, from, body)
	}
	if s := r.options.Service; s != nil {
		return s.Handle(ctx, from, method, body)
	}
	r.countRefusal("unknown-method")
	return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: "method " + method + " is not known to a control replica"}
}

func (r *Replica) serveEntry(ctx context.Context, from peer.Identity, method string, body []byte, arrived time.Time) (any, error) {
	m := new(view.RenewRequest)
	if err := peer.Decode(body, m); err != nil {
		r.countRefusal("malformed-message")
		return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: err.Error()}
	}
	if from.Role != peer.RoleEntry || from.ID != m.Entry.ID || m.Entry.Incarnation == 0 {
		r.countRefusal("wrong-sender")
		return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: "the request is for another entry instance than its sender"}
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

// notLeaderForPeers returns the error with which a follower answers a peer. Its
// text is the leader's peer address, or empty if that is unknown.
func (r *Replica) notLeaderForPeers() error {
	leader := r.leaderPeer()
	if leader == r.options.Self.Peer {
		leader = ""
	}
	return &peer.RemoteError{Code: view.CodeNotLeader, Text: leader}
}

// renew accepts a renewal and answers it after a confirmation of the leadership
// that began after the renewal had arrived.
func (r *Replica) renew(m *view.RenewRequest, arrived time.Time, reply func(*view.Delta, error)) {
	if r.asLeader == nil {
		r.countRefusal("renewal-not-leader")
		reply(nil, r.notLeaderForPeers())
		return
	}
	if !r.asLeader.acceptRenewal(m, arrived) {
		r.countRefusal("renewal-expiring")
		reply(nil, &peer.RemoteError{Code: codeExpiring, Text: "the lease of this entry instance is being ended"})
		return
	}
	q := &r.asLeader.renewalQueue
	q.waiting = append(q.waiting, renewal{m.Entry.ID, m.Entry.Incarnation, m.Since, reply})
}

// startConfirmation begins a confirmation of the leadership for all waiting
// renewals, unless the last one began less than confirmationInterval ago.
func (r *Replica) startConfirmation(now time.Time) {
	l := r.asLeader
	if l == nil || len(l.renewalQueue.waiting) == 0 || now.Sub(l.renewalQueue.lastRound) < confirmationInterval {
		return
	}
	q := &l.renewalQueue
	q.lastRound = now
	q.rounds++
	round := q.rounds
	if q.confirming == nil {
		q.confirming = map[uint64][]renewal{}
	}
	q.confirming[round] = q.waiting
	q.waiting = nil
	r.read(func(err error) {
		batch := q.confirming[round]
		delete(q.confirming, round)
		for _, w := range batch {
			if err != nil || r.asLeader != l {
				w.reply(nil, r.notLeaderForPeers())
				continue
			}
			w.reply(l.renewalDelta(&w))
		}
	})
}

// renewalDelta returns the delta for a confirmed renewal. It returns an error if
// the expiry of the entry instance was proposed in the meantime, because its
// successors may start. An instance that has just registered counts as unknown
// until the pools of its earlier registration are reassigned; otherwise it would
// use grants under which work of its earlier incarnation still counts.
func (l *leaderState) renewalDelta(w *renewal) (*view.Delta, error) {
	r := l.replica
	e := r.state.Entries[w.id]
	if e == nil || e.Incarnation != w.incarnation || r.state.HasStaleAssignment(e) {
		d := *l.delta(w.since)
		d.Unregistered = true
		return &d, nil
	}
	if entryLease := l.leases[w.id]; entryLease != nil && entryLease.expiring {
		r.countRefusal("renewal-expiring")
		return nil, &peer.RemoteError{Code: codeExpiring, Text: "the lease of this entry instance is being ended"}
	}
	return l.delta(w.since), nil
}

// delta returns the changes after the index since. Renewals with the same index
// share the delta, which must not be modified.
func (l *leaderState) delta(since uint64) *view.Delta {
	if d := l.renewalQueue.deltas[since]; d != nil {
		return d
	}
	d := viewDelta(l.replica.state, since)
	if l.renewalQueue.deltas == nil {
		l.renewalQueue.deltas = map[uint64]*view.Delta{}
	}
	l.renewalQueue.deltas[since] = d
	return d
}
