package view

import (
	"sync/atomic"
	"time"
)

// FreshnessBound is the maximum age at which a confirmed view may be used.
const FreshnessBound = 1500 * time.Millisecond

// Snapshot is a view together with the time of its confirmation. They are
// published as one value, so that a goroutine that was suspended with an older
// view can't combine it with the confirmation of a newer one.
type Snapshot struct {
	*View
	// FreshPeriod increases whenever a view that is no longer fresh is confirmed. Other
	// processes may have released what was obtained in an earlier period.
	FreshPeriod uint64

	confirmed time.Time
	clock     func() time.Time
}

// Fresh reports whether the age of the view is below FreshnessBound now.
func (s *Snapshot) Fresh() bool { return s.Age() < FreshnessBound }

// Age returns the time since the renewal that confirmed the view was sent.
func (s *Snapshot) Age() time.Duration { return s.clock().Sub(s.confirmed) }

// Publisher publishes the current view of a process. Only one goroutine may call
// Confirm; any goroutine may call Current.
type Publisher struct {
	current atomic.Pointer[Snapshot]
	clock   func() time.Time
	refused atomic.Int64
}

// NewPublisher returns a Publisher with an empty view that is not fresh. The readings
// of clock must be monotonic; if it is nil, time.Now is used.
func NewPublisher(clock func() time.Time) *Publisher {
	if clock == nil {
		clock = time.Now
	}
	p := &Publisher{clock: clock}
	p.current.Store(&Snapshot{View: Empty(), confirmed: clock().Add(-2 * FreshnessBound), clock: clock})
	return p
}

// Current returns the latest view. The caller must check Fresh at each use.
func (p *Publisher) Current() *Snapshot { return p.current.Load() }

// Confirm advances the view by d, the response to a renewal that was sent at the
// given time. A refused delta neither changes nor confirms the view. A delta with
// Unregistered set makes the view stale, because other processes don't account for
// what an unregistered instance holds.
//
// If install is not nil, it is called with a changed view before that view is
// published: a component that keeps its own copy must not see the confirmation
// of a newer view while it still works with the older one.
func (p *Publisher) Confirm(sent time.Time, d *Delta, install func(*View)) (*Snapshot, error) {
	last := p.current.Load()
	v, err := last.Advance(d)
	if err != nil {
		p.refused.Add(1)
		return nil, err
	}
	if install != nil && v != last.View {
		install(v)
	}
	next := &Snapshot{View: v, FreshPeriod: last.FreshPeriod, confirmed: sent, clock: p.clock}
	if last.confirmed.After(sent) {
		next.confirmed = last.confirmed
	}
	if !last.Fresh() {
		next.FreshPeriod++
	}
	if d.Unregistered {
		next.confirmed = p.clock().Add(-2 * FreshnessBound)
	}
	p.current.Store(next)
	return next, nil
}

// RefusedDeltas returns the number of refused deltas.
func (p *Publisher) RefusedDeltas() int64 { return p.refused.Load() }
