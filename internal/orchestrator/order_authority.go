package orchestrator

import (
	"context"
	"sync"
	"time"

	"cactusspar/internal/boottime"
)

const (
	// orderValidity is how long after a confirmation of the leadership was requested
	// the leader may have orders to the platform in progress. It covers two lost
	// confirmations. Worker orders, which carry a fencing token that the workers
	// check, have confirmationValidity instead.
	orderValidity = 600 * time.Millisecond
	// orderTransit bounds the time that an order may still take to reach the platform
	// and be carried out after its call was cancelled. It includes clock rate drift
	// within orderValidity.
	orderTransit = 400 * time.Millisecond
)

// orderAuthority is a replica's permission to send orders to the platform, which does
// not check their fencing tokens. At any time at most one replica of the group holds it:
// it ends orderValidity after the last confirmation of the leadership was requested, and
// a new leader receives it orderValidity and orderTransit after it was elected. Because
// a quorum confirmed the former leader before a quorum elected the new one, the former
// leader requested its last confirmation before that election.
//
// The owning goroutine changes the authority; the goroutines of calls check it.
type orderAuthority struct {
	mu sync.Mutex
	// Orders may be sent at from or later, and before until.
	from, until boottime.Instant
	// lastOrder is when this replica last had an order in progress, or when its process
	// started: the one before may have had some until then.
	lastOrder boottime.Instant
	ctx       context.Context // done when the authority has ended; nil while there is none
	cancel    context.CancelFunc
	timer     *time.Timer
}

// begin prepares the authority of a leadership that began at an instant. The platform
// associates an instance with the replica that last ordered it for holderLease. A
// replica that returns as the leader waits until its former association has ended.
func (a *orderAuthority) begin(since boottime.Instant, holderLease time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked()
	a.from = since.Add(orderValidity + orderTransit)
	if a.lastOrder != 0 {
		a.from = max(a.from, a.lastOrder.Add(holderLease))
	}
}

// confirmed extends the authority after the leadership was confirmed.
func (a *orderAuthority) confirmed(requestedAt boottime.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until = max(a.until, requestedAt.Add(orderValidity))
	a.schedule()
}

// end ends the authority and cancels all calls in progress.
func (a *orderAuthority) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked()
}

func (a *orderAuthority) endLocked() {
	a.until = 0
	a.schedule()
}

// schedule cancels the context if the authority has ended, or arranges its cancellation
// at the end otherwise.
func (a *orderAuthority) schedule() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	left := a.until.Sub(boottime.Now())
	switch {
	case left > 0:
		if a.ctx == nil {
			a.ctx, a.cancel = context.WithCancel(context.Background())
		}
		a.timer = time.AfterFunc(left, a.expire)
	case a.ctx != nil:
		a.cancel()
		a.ctx = nil
	}
}

func (a *orderAuthority) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule()
}

// valid reports whether an order may be sent now.
func (a *orderAuthority) valid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.validLocked()
}

// begunBy reports whether the authority of this leadership had begun at an instant. All
// orders of former leaderships had ended by then.
func (a *orderAuthority) begunBy(at boottime.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return at >= a.from
}

func (a *orderAuthority) validLocked() bool {
	now := boottime.Now()
	return a.ctx != nil && now >= a.from && now < a.until
}

// orderPermit allows one order to be sent under the authority that was valid when the
// order was decided, but not under one that was gained later. It is what
// executor.Authority.Valid checks.
type orderPermit struct {
	authority *orderAuthority
	ctx       context.Context // done when the authority has ended
}

// permit returns a permit for an order, or nil if there is no authority.
func (a *orderAuthority) permit() *orderPermit {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.validLocked() {
		return nil
	}
	a.lastOrder = boottime.Now()
	return &orderPermit{a, a.ctx}
}

// valid reports whether the order may still be sent.
func (p *orderPermit) valid() bool {
	p.authority.mu.Lock()
	defer p.authority.mu.Unlock()
	return p.ctx == p.authority.ctx && p.authority.validLocked()
}

// release records that the order is no longer in progress.
func (p *orderPermit) release() {
	p.authority.mu.Lock()
	defer p.authority.mu.Unlock()
	p.authority.lastOrder = boottime.Now()
}
