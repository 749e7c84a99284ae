package control

import (
	"context"

	"cactusspar/internal/fleet"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

var _ fleet.Control = (*Replica)(nil)

// reported holds what an entry instance last said of instances.
type reported struct {
	drained, lost, back []string
}

func (h *lease) noteInstances(m *view.Renew) {
	h.reported = reported{drained: m.Drained, lost: m.Lost, back: m.Back}
}

// Signals returns what the dispatchers last reported of instances and demand.
func (r *Replica) Signals(ctx context.Context) (fleet.Signals, error) {
	var out fleet.Signals
	err := r.wait(ctx, func(done func(error)) {
		if r.lead == nil || !r.lead.settled() {
			done(r.notLeader())
			return
		}
		out = r.lead.signals()
		done(nil)
	})
	return out, err
}

// signals counts only what the present dispatcher of an instance's pool said
// with a view that holds the instance's last change: an earlier dispatcher, or
// one that doesn't know of a drain yet, can't tell that no work is left.
func (l *leader) signals() fleet.Signals {
	out := fleet.Signals{
		Term: l.term, Drained: map[string]bool{}, Lost: map[string]bool{}, Back: map[string]bool{}, Demand: map[string]int{},
	}
	s := l.replica.state
	for id, held := range l.leases {
		if held.expiring {
			continue
		}
		note := func(into map[string]bool, instances []string) {
			for _, name := range instances {
				if n := s.Instances[name]; n != nil && l.dispatches(id, held, n) {
					into[name] = true
				}
			}
		}
		note(out.Drained, held.drained)
		note(out.Lost, held.lost)
		note(out.Back, held.back)
		for key, d := range held.demand {
			if a := s.Assignments[key.pool]; a != nil && a.Dispatcher == id && a.Epoch == key.epoch {
				out.Demand[key.pool] += d.Running + d.Waiting
			}
		}
	}
	return out
}

func (l *leader) dispatches(id string, held *lease, n *state.Instance) bool {
	a := l.replica.state.Assignments[n.Pool]
	return a != nil && a.Dispatcher == id && held.index >= max(a.Index, n.Index)
}
