package endpoint

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// Lease is the time for which an announcement holds.
	Lease = 3 * time.Second
	// batchInterval bounds the time before an announcement is forwarded.
	batchInterval = 50 * time.Millisecond
	// forwardTimeout bounds one message to a dispatcher.
	forwardTimeout = time.Second
	// memory is the time for which the last sequence of an endpoint that left
	// or fell silent is remembered.
	memory = time.Minute
	// maxKept bounds the endpoints that are remembered.
	maxKept = 16384
	// maxInventory bounds the instances reported in one renewal.
	maxInventory = 512
)

// Forwarder sends announcements to the dispatcher of a pool.
type Forwarder interface {
	Announce(ctx context.Context, a dispatch.Announce) error
}

// Keeper keeps the last announcement of each endpoint, forwards it to the
// dispatcher of its pool, and again whenever that dispatcher changes.
type Keeper struct {
	views   *view.Holder
	forward Forwarder

	mu    sync.Mutex
	kept  map[string]*announced
	pools map[string]*poolState
}

// announced is the last announcement of an endpoint.
type announced struct {
	dispatch.Announcement
	received time.Time
	pending  bool
}

// poolState is what was last forwarded for a pool.
type poolState struct {
	epoch uint64
	busy  bool
}

// NewKeeper returns a keeper. Run forwards what it keeps.
func NewKeeper(views *view.Holder, forward Forwarder) *Keeper {
	return &Keeper{views: views, forward: forward, kept: map[string]*announced{}, pools: map[string]*poolState{}}
}

// Put takes in an announcement. One that isn't newer than the last is refused,
// so that it can't revive an endpoint that has left. A deregistration is
// forwarded before Put returns.
func (k *Keeper) Put(ctx context.Context, a dispatch.Announcement) error {
	k.mu.Lock()
	last := k.kept[a.ID]
	if last != nil && !newer(&a, &last.Announcement) {
		k.mu.Unlock()
		return fmt.Errorf("incarnation %d sequence %d is not above the last one, %d and %d",
			a.Incarnation, a.Sequence, last.Incarnation, last.Sequence)
	}
	if last == nil && len(k.kept) >= maxKept {
		k.mu.Unlock()
		return fmt.Errorf("already %d endpoints are known", maxKept)
	}
	n := &announced{Announcement: a, received: time.Now(), pending: true}
	k.kept[a.ID] = n
	k.mu.Unlock()
	if a.Leaving {
		k.send(ctx, a.Pool, []*announced{n})
	}
	return nil
}

func newer(a, b *dispatch.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (k *Keeper) last(id string) (dispatch.Announcement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := k.kept[id]; n != nil {
		return n.Announcement, true
	}
	return dispatch.Announcement{}, false
}

// Run forwards announcements in batches until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for pool, items := range k.batches(time.Now()) {
			wg.Go(func() {
				k.send(ctx, pool, items)
				k.mu.Lock()
				k.pools[pool].busy = false
				k.mu.Unlock()
			})
		}
	}
}

// batches collects what is to be forwarded, and forgets what is too old.
func (k *Keeper) batches(now time.Time) map[string][]*announced {
	v := k.views.Current()
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := map[string]bool{}
	batches := map[string][]*announced{}
	for id, n := range k.kept {
		age := now.Sub(n.received)
		if age > memory {
			delete(k.kept, id)
		}
		if age > Lease {
			continue
		}
		if p := k.poolState(n.Pool); p.epoch != v.Assignments[n.Pool].Epoch {
			p.epoch = v.Assignments[n.Pool].Epoch
			changed[n.Pool] = true
		}
		if (n.pending || changed[n.Pool]) && !k.pools[n.Pool].busy {
			batches[n.Pool] = append(batches[n.Pool], n)
		}
		n.pending = n.pending || changed[n.Pool]
	}
	for pool := range batches {
		k.pools[pool].busy = true
	}
	return batches
}

func (k *Keeper) poolState(name string) *poolState {
	p := k.pools[name]
	if p == nil {
		p = &poolState{}
		k.pools[name] = p
	}
	return p
}

// send forwards items. They stay pending if that fails.
func (k *Keeper) send(ctx context.Context, pool string, items []*announced) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	message := dispatch.Announce{Pool: pool, Items: make([]dispatch.Announcement, len(items))}
	k.mu.Lock()
	for i, n := range items {
		message.Items[i] = n.Announcement
		message.Items[i].Age = time.Since(n.received)
		n.pending = false
	}
	k.mu.Unlock()
	if err := k.forward.Announce(ctx, message); err == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range items {
		n.pending = true
	}
}

// Inventory returns the announced instances that the view doesn't have or has
// with other resources or another place. The announced pool of an instance
// that is known doesn't count: only a committed move changes it.
func (k *Keeper) Inventory() []state.Instance {
	v := k.views.Current()
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var changed []state.Instance
	for id, n := range k.kept {
		if n.Leaving || now.Sub(n.received) > Lease || len(changed) >= maxInventory {
			continue
		}
		old, known := v.Instances[id]
		i := instanceOf(&n.Announcement, v.View)
		if known && (old.Pool != n.Pool || sameInventory(&old, &i)) {
			continue
		}
		changed = append(changed, i)
	}
	return changed
}

func instanceOf(a *dispatch.Announcement, v *view.View) state.Instance {
	return state.Instance{
		ID: a.ID, Pool: a.Pool, PoolEpoch: a.PoolEpoch, DataCentre: a.DataCentre, Rack: a.Rack,
		Region:    v.Rules.DataCentres[a.DataCentre].Region,
		Resources: state.Resources{MilliCPU: a.MilliCPU, MemoryMB: a.MemoryMB, Accelerators: a.Accel},
		Slots:     a.Slots, Condition: state.Active,
	}
}

func sameInventory(a, b *state.Instance) bool {
	return a.DataCentre == b.DataCentre && a.Rack == b.Rack && a.Region == b.Region &&
		a.Resources == b.Resources && a.Slots == b.Slots
}
