package control

import "cactusspar/internal/state"

// maxInventory bounds the announcements in one command, and maxWaiting those
// that wait for one.
const (
	maxInventory = 512
	maxWaiting   = 8192
)

// inventory collects announcements for one command at a time.
type inventory struct {
	busy    bool
	waiting map[string]state.Instance
}

func (v *inventory) init() { v.waiting = map[string]state.Instance{} }

// add keeps the announcements that would change the state.
func (v *inventory) add(s *state.State, announced []state.Instance) {
	for i := range announced {
		n := &announced[i]
		if len(v.waiting) >= maxWaiting || !s.Changes(n) {
			continue
		}
		v.waiting[n.ID] = *n
	}
}

// commitInventory proposes what waits.
func (l *leader) commitInventory() {
	v := &l.inventory
	if v.busy || len(v.waiting) == 0 {
		return
	}
	c := &state.UpsertInstances{}
	for id, n := range v.waiting {
		delete(v.waiting, id)
		if err := l.replica.state.CheckInstance(&n); err != nil {
			l.replica.refused("announcement")
			continue
		}
		c.Instances = append(c.Instances, n)
		if len(c.Instances) == maxInventory {
			break
		}
	}
	if len(c.Instances) == 0 {
		return
	}
	v.busy = true
	l.submit(state.Command{UpsertInstances: c}, func(state.Result, error) { v.busy = false })
}
