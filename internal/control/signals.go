package control

import (
	"context"

	"cactusspar/internal/fleet"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

var _ fleet.Control = (*Replica)(nil)

// instanceReports holds the instances that an entry instance last reported as
// drained, lost or announced again.
type instanceReports struct {
	drained, lost, returned []string
}

func (l *lease) recordReports(m *view.RenewRequest) {
	l.instanceReports = instanceReports{drained: m.Drained, lost: m.Lost, returned: m.Returned}
}

// Signals returns what the dispatchers last reported about instances and demand.
func (r *Replica) Signals(ctx context.Context) (fleet.Signals, error) {
	var out fleet.Signals
	err := r.wait(ctx, func(done func(error)) {
		if r.asLeader == nil || !r.asLeader.caughtUp() {
			done(r.notLeader())
			return
		}
		out = r.asLeader.signals()
		done(nil)
	})
	return out, err
}

// signals returns the reports and demand of the present dispatchers. A report about
// an instance counts only if it comes from the present dispatcher of the
// instance's pool and that dispatcher's view includes the last change of the
// instance: an earlier dispatcher, or one that does not know of a drain yet,
// cannot tell that no work is left.
func (l *leaderState) signals() fleet.Signals {
	out := fleet.Signals{
		Term: l.term, Drained: map[string]bool{}, Lost: map[string]bool{}, Returned: map[string]bool{}, Demand: map[string]int{},
	}
	s := l.replica.state
	for id, entryLease := range l.leases {
		if entryLease.expiring {
			continue
		}
		collect := func(into map[string]bool, instances []string) {
			for _, name := range instances {
				if n := s.Instances[name]; n != nil && l.reportCounts(id, entryLease, n) {
					into[name] = true
				}
			}
		}
		collect(out.Drained, entryLease.drained)
		collect(out.Lost, entryLease.lost)
		collect(out.Returned, entryLease.returned)
		for key, d := range entryLease.demand {
			if a := s.Assignments[key.pool]; a != nil && a.Dispatcher == id && a.Epoch == key.epoch {
				out.Demand[key.pool] += d.Running + d.Waiting
			}
		}
	}
	return out
}

// reportCounts reports whether a report of the entry instance id about n counts.
func (l *leaderState) reportCounts(id string, entryLease *lease, n *state.Instance) bool {
	a := l.replica.state.Assignments[n.Pool]
	return a != nil && a.Dispatcher == id && entryLease.viewIndex >= max(a.Index, n.Index)
}
