package control

import "cactusspar/internal/state"

// maxInstancesPerCommand bounds the instances in one command, and
// maxPendingInstances those that wait for one.
const (
	maxInstancesPerCommand = 512
	maxPendingInstances    = 8192
)

// pendingInventory collects announced instances and commits them in batches, one
// command at a time.
type pendingInventory struct {
	inFlight bool
	pending  map[string]state.Instance
}

func (v *pendingInventory) init() { v.pending = map[string]state.Instance{} }

// add keeps the announced instances that would change the state.
func (v *pendingInventory) add(s *state.State, announced []state.Instance) {
	for i := range announced {
		n := &announced[i]
		if len(v.pending) >= maxPendingInstances || !s.InstanceChanged(n) {
			continue
		}
		v.pending[n.ID] = *n
	}
}

// commitInventory proposes a batch of pending instances.
func (l *leaderState) commitInventory() {
	v := &l.pendingInventory
	if v.inFlight || len(v.pending) == 0 {
		return
	}
	c := &state.UpsertInstances{}
	for id, n := range v.pending {
		delete(v.pending, id)
		if err := l.replica.state.CheckInstance(&n); err != nil {
			l.replica.countRefusal("announcement")
			continue
		}
		c.Instances = append(c.Instances, n)
		if len(c.Instances) == maxInstancesPerCommand {
			break
		}
	}
	if len(c.Instances) == 0 {
		return
	}
	v.inFlight = true
	l.submit(state.Command{UpsertInstances: c}, func(state.Result, error) { v.inFlight = false })
}
