package control

import (
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// freshnessBound is the age of a view after which an entry instance counts as
	// isolated.
	freshnessBound = 1500 * time.Millisecond
	// leaseDuration is the time without a renewal after which an entry instance
	// counts as lost: the freshness bound, plus 10% for differing clock rates and
	// 500 ms for messages in transit.
	leaseDuration = freshnessBound*11/10 + 500*time.Millisecond
)

// demandKey identifies a dispatcher's usage of a team's limit.
type demandKey struct {
	team, pool string
	epoch      uint64
}

// lease is the membership lease of an entry instance.
type lease struct {
	incarnation uint64
	lastRenewed time.Time
	// viewIndex is the log index of the instance's view at its last renewal.
	viewIndex uint64
	demand    map[demandKey]view.Demand
	instanceReports
	// expiring is set once the expiry has been proposed. From then on, the leader
	// must not confirm the instance's view.
	expiring bool
}

// acceptRenewal records what a renewal reports. It returns false while the lease
// of the sender is expiring.
func (l *leaderState) acceptRenewal(m *view.RenewRequest, arrived time.Time) bool {
	known := l.replica.state.Entries[m.Entry.ID]
	if known == nil || known.Incarnation < m.Entry.Incarnation {
		l.register(&m.Entry)
		return true
	}
	if known.Incarnation > m.Entry.Incarnation {
		l.replica.countRefusal("old-incarnation")
		return true
	}
	entryLease := l.leaseOf(known)
	if entryLease.expiring {
		return false
	}
	entryLease.lastRenewed = arrived
	entryLease.viewIndex = m.Since
	entryLease.recordReports(m)
	l.teamGranter.updateDemand(entryLease, m.Demand, arrived)
	l.pendingInventory.add(l.replica.state, m.Instances)
	return true
}

// leaseOf returns the lease of a registered entry instance. Without a renewal
// under this leader, the lease counts as renewed at l.since.
func (l *leaderState) leaseOf(e *state.Entry) *lease {
	entryLease := l.leases[e.ID]
	if entryLease == nil || entryLease.incarnation != e.Incarnation {
		entryLease = &lease{incarnation: e.Incarnation, lastRenewed: l.since, demand: map[demandKey]view.Demand{}}
		l.leases[e.ID] = entryLease
	}
	return entryLease
}

// register proposes a registration, unless one is pending.
func (l *leaderState) register(e *state.Entry) {
	if l.registering[e.ID] >= e.Incarnation || !l.caughtUp() {
		return
	}
	l.registering[e.ID] = e.Incarnation
	l.submit(state.Command{RegisterEntry: &state.RegisterEntry{Entry: *e}}, func(state.Result, error) {
		delete(l.registering, e.ID)
	})
}

// resetLease replaces the lease of an earlier incarnation by a new one for the
// registered incarnation.
func (l *leaderState) resetLease(e *state.Entry) {
	delete(l.leases, e.ID)
	if known := l.replica.state.Entries[e.ID]; known != nil {
		l.leaseOf(known).lastRenewed = time.Now()
	}
	l.poolAssigner.clearLeaving(e.ID, e.Incarnation)
}

// renewAll counts every lease as renewed, after this process was suspended and
// could not receive renewals.
func (l *leaderState) renewAll(now time.Time) {
	l.since = now
	for _, entryLease := range l.leases {
		entryLease.lastRenewed = now
	}
}

// expireLeases proposes the expiry of leases that were not renewed in time.
func (l *leaderState) expireLeases(now time.Time) {
	for _, e := range l.replica.state.Entries {
		entryLease := l.leaseOf(e)
		if entryLease.expiring || now.Sub(entryLease.lastRenewed) <= leaseDuration {
			continue
		}
		entryLease.expiring = true
		l.replica.log.Info("Lease of an entry instance expired.", "entry", e.ID, "silent", now.Sub(entryLease.lastRenewed).String())
		l.submit(state.Command{ExpireEntry: &state.ExpireEntry{ID: e.ID, Incarnation: e.Incarnation}}, func(result state.Result, err error) {
			// After a failure, the next tick proposes the expiry again.
			entryLease.expiring = err == nil && result.Err == nil
		})
	}
}
