package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// freshnessBound is the age of a view after which an entry instance is isolated.
	freshnessBound = 1500 * time.Millisecond
	// leaseDuration is the silence after which an entry instance is taken to be
	// lost: the freshness bound, 10% for clocks that run at another rate, and
	// 500 ms for what is under way.
	leaseDuration = freshnessBound*11/10 + 500*time.Millisecond
)

// useKey identifies what a dispatcher holds of a team's limit.
type useKey struct {
	team, pool string
	epoch      uint64
}

// lease is the membership lease of an entry instance.
type lease struct {
	incarnation uint64
	last        time.Time
	// index is that of the view which the last renewal stated.
	index  uint64
	demand map[useKey]view.Demand
	reported
	// expiring tells that the expiry was proposed. From then on the instance
	// must not be told that its view is confirmed.
	expiring bool
}

// observe takes what a renewal states. It returns false while the lease of the
// sender is being ended.
func (l *leader) observe(m *view.Renew, arrived time.Time) bool {
	known := l.replica.state.Entries[m.Entry.ID]
	if known == nil || known.Incarnation < m.Entry.Incarnation {
		l.register(&m.Entry)
		return true
	}
	if known.Incarnation > m.Entry.Incarnation {
		l.replica.refused("old-incarnation")
		return true
	}
	held := l.leaseOf(known)
	if held.expiring {
		return false
	}
	held.last = arrived
	held.index = m.Since
	held.noteInstances(m)
	l.granting.noteDemand(held, m.Demand, arrived)
	l.inventory.add(l.replica.state, m.Instances)
	return true
}

// leaseOf returns the lease of a registered entry instance. One that was not
// heard of under this leader counts as renewed when it took over.
func (l *leader) leaseOf(e *state.Entry) *lease {
	held := l.leases[e.ID]
	if held == nil || held.incarnation != e.Incarnation {
		held = &lease{incarnation: e.Incarnation, last: l.since, demand: map[useKey]view.Demand{}}
		l.leases[e.ID] = held
	}
	return held
}

// register proposes a registration, unless it is under way.
func (l *leader) register(e *state.Entry) {
	if l.registered[e.ID] >= e.Incarnation || !l.settled() {
		return
	}
	l.registered[e.ID] = e.Incarnation
	l.submit(state.Command{RegisterEntry: &state.RegisterEntry{Entry: *e}}, func(state.Result, error) {
		delete(l.registered, e.ID)
	})
}

// forgetOldIncarnation drops the lease of an earlier incarnation and begins the
// one of a registered instance.
func (l *leader) forgetOldIncarnation(e *state.Entry) {
	delete(l.leases, e.ID)
	if known := l.replica.state.Entries[e.ID]; known != nil {
		l.leaseOf(known).last = time.Now()
	}
	l.assigning.forgetLeaving(e.ID, e.Incarnation)
}

// renewAll counts every lease as renewed, after this process was stopped and
// could not take renewals.
func (l *leader) renewAll(now time.Time) {
	l.since = now
	for _, held := range l.leases {
		held.last = now
	}
}

// expire proposes the end of the leases that nothing was heard of.
func (l *leader) expire(now time.Time) {
	for _, e := range l.replica.state.Entries {
		held := l.leaseOf(e)
		if held.expiring || now.Sub(held.last) <= leaseDuration {
			continue
		}
		held.expiring = true
		l.replica.log.Info("Ended the lease of an entry instance.", "entry", e.ID, "silent", now.Sub(held.last).String())
		l.submit(state.Command{ExpireEntry: &state.ExpireEntry{ID: e.ID, Incarnation: e.Incarnation}}, func(result state.Result, err error) {
			// A proposal that failed for certain is made again at the next tick.
			held.expiring = err == nil && result.Err == nil
		})
	}
}
