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
	// AnnouncementLease is the time for which an announcement is valid.
	AnnouncementLease = 3 * time.Second
	// batchInterval is the longest delay before an announcement is forwarded.
	batchInterval = 50 * time.Millisecond
	// forwardTimeout is the time limit for one message to a dispatcher.
	forwardTimeout = time.Second
	// announcementRetention is the time for which the last announcement of an
	// endpoint that deregistered or stopped announcing itself is kept, so that
	// older announcements are rejected.
	announcementRetention = time.Minute
	// maxEndpoints limits the number of endpoints in the registry.
	maxEndpoints = 16384
	// maxInventory limits the number of instances reported in one renewal.
	maxInventory = 512
)

// AnnouncementForwarder sends announcements to the dispatcher of a pool.
type AnnouncementForwarder interface {
	Announce(ctx context.Context, a dispatch.AnnounceBatch) error
}

// AnnouncementRegistry stores the last announcement of each endpoint, forwards it
// to the dispatcher of its pool, and forwards it again whenever that dispatcher
// changes.
type AnnouncementRegistry struct {
	views   *view.Publisher
	forward AnnouncementForwarder

	mu            sync.Mutex
	announcements map[string]*storedAnnouncement
	pools         map[string]*forwardState
}

// storedAnnouncement is the last announcement of an endpoint. pending is set
// while it has to be forwarded.
type storedAnnouncement struct {
	dispatch.Announcement
	received time.Time
	pending  bool
}

// forwardState describes the forwarding for one pool: the epoch of the last
// known assignment, and whether a batch is being sent.
type forwardState struct {
	epoch      uint64
	forwarding bool
}

// NewAnnouncementRegistry returns an empty registry. Announcements are forwarded by Run.
func NewAnnouncementRegistry(views *view.Publisher, forward AnnouncementForwarder) *AnnouncementRegistry {
	return &AnnouncementRegistry{views: views, forward: forward, announcements: map[string]*storedAnnouncement{}, pools: map[string]*forwardState{}}
}

// Register stores an announcement. It rejects one that is not newer than the stored
// one, so that a late announcement can't register an endpoint again after its
// deregistration. A deregistration is forwarded before Register returns.
func (r *AnnouncementRegistry) Register(ctx context.Context, a dispatch.Announcement) error {
	r.mu.Lock()
	last := r.announcements[a.ID]
	if last != nil && !isNewer(&a, &last.Announcement) {
		r.mu.Unlock()
		return fmt.Errorf("incarnation %d sequence %d is not above the last one, %d and %d",
			a.Incarnation, a.Sequence, last.Incarnation, last.Sequence)
	}
	if last == nil && len(r.announcements) >= maxEndpoints {
		r.mu.Unlock()
		return fmt.Errorf("already %d endpoints are known", maxEndpoints)
	}
	n := &storedAnnouncement{Announcement: a, received: time.Now(), pending: true}
	r.announcements[a.ID] = n
	r.mu.Unlock()
	if a.Leaving {
		r.send(ctx, a.Pool, []*storedAnnouncement{n})
	}
	return nil
}

// isNewer reports whether a has a higher incarnation than b, or the same
// incarnation and a higher sequence.
func isNewer(a, b *dispatch.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (r *AnnouncementRegistry) lookup(id string) (dispatch.Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.announcements[id]; n != nil {
		return n.Announcement, true
	}
	return dispatch.Announcement{}, false
}

// Run forwards announcements in batches until ctx ends.
func (r *AnnouncementRegistry) Run(ctx context.Context) {
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
		for pool, items := range r.collectBatches(time.Now()) {
			wg.Go(func() {
				r.send(ctx, pool, items)
				r.mu.Lock()
				r.pools[pool].forwarding = false
				r.mu.Unlock()
			})
		}
	}
}

// collectBatches returns the announcements to forward by pool, and removes
// those older than announcementRetention.
func (r *AnnouncementRegistry) collectBatches(now time.Time) map[string][]*storedAnnouncement {
	v := r.views.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := map[string]bool{}
	batches := map[string][]*storedAnnouncement{}
	for id, n := range r.announcements {
		age := now.Sub(n.received)
		if age > announcementRetention {
			delete(r.announcements, id)
		}
		if age > AnnouncementLease {
			continue
		}
		if p := r.forwardState(n.Pool); p.epoch != v.Assignments[n.Pool].Epoch {
			p.epoch = v.Assignments[n.Pool].Epoch
			changed[n.Pool] = true
		}
		if (n.pending || changed[n.Pool]) && !r.pools[n.Pool].forwarding {
			batches[n.Pool] = append(batches[n.Pool], n)
		}
		n.pending = n.pending || changed[n.Pool]
	}
	for pool := range batches {
		r.pools[pool].forwarding = true
	}
	return batches
}

func (r *AnnouncementRegistry) forwardState(name string) *forwardState {
	p := r.pools[name]
	if p == nil {
		p = &forwardState{}
		r.pools[name] = p
	}
	return p
}

// send forwards items to the dispatcher of the pool. They stay pending if this
// fails.
func (r *AnnouncementRegistry) send(ctx context.Context, pool string, items []*storedAnnouncement) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	message := dispatch.AnnounceBatch{Pool: pool, Items: make([]dispatch.Announcement, len(items))}
	r.mu.Lock()
	for i, n := range items {
		message.Items[i] = n.Announcement
		message.Items[i].Age = time.Since(n.received)
		n.pending = false
	}
	r.mu.Unlock()
	if err := r.forward.Announce(ctx, message); err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range items {
		n.pending = true
	}
}

// Inventory returns the announced instances that are missing from the view or
// differ from it in resources or location. An instance that is in the view with
// another pool is left out: only a committed move changes the pool.
func (r *AnnouncementRegistry) Inventory() []state.Instance {
	v := r.views.Current()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []state.Instance
	for id, n := range r.announcements {
		if n.Leaving || now.Sub(n.received) > AnnouncementLease || len(changed) >= maxInventory {
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
