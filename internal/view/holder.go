package view

import (
	"sync/atomic"
	"time"
)

// FreshnessBound is the longest time for which a confirmed view may be used.
const FreshnessBound = 1500 * time.Millisecond

// Snapshot is a view together with the time until which it may be used. The
// two are published as one value, so that a goroutine that was suspended with
// an older view can't take the confirmation of a newer one for its own.
type Snapshot struct {
	*View
	// Period counts how often the instance has become fresh after it was not.
	// What was obtained in an earlier period may have been given up by others.
	Period uint64

	confirmed time.Time
	clock     func() time.Time
}

// Fresh tells whether the view is younger than the freshness bound now.
func (s *Snapshot) Fresh() bool { return s.Age() < FreshnessBound }

// Age is the time since the renewal that confirmed the view was sent.
func (s *Snapshot) Age() time.Duration { return s.clock().Sub(s.confirmed) }

// Holder publishes the current view of a process. One goroutine calls Confirm;
// any goroutine may call Current.
type Holder struct {
	current atomic.Pointer[Snapshot]
	clock   func() time.Time
	refused atomic.Int64
}

// NewHolder returns a holder of an empty view that is not fresh. The readings
// of clock must be monotonic; nil is time.Now.
func NewHolder(clock func() time.Time) *Holder {
	if clock == nil {
		clock = time.Now
	}
	h := &Holder{clock: clock}
	h.current.Store(&Snapshot{View: Empty(), confirmed: clock().Add(-2 * FreshnessBound), clock: clock})
	return h
}

// Current returns the newest view. The caller checks Fresh at each use.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Confirm advances the view by d, the answer to a renewal that was sent at
// the given time. A refused delta changes nothing and confirms nothing. A delta
// that says that this instance isn't registered makes the view stale: others
// don't count what an unregistered instance holds.
//
// install, if not nil, is called with a changed view before it is published:
// a component that keeps its own copy must not see the confirmation of a newer
// view while it still works with the older one.
func (h *Holder) Confirm(sent time.Time, d *Delta, install func(*View)) (*Snapshot, error) {
	last := h.current.Load()
	v, err := last.Advance(d)
	if err != nil {
		h.refused.Add(1)
		return nil, err
	}
	if install != nil && v != last.View {
		install(v)
	}
	next := &Snapshot{View: v, Period: last.Period, confirmed: sent, clock: h.clock}
	if last.confirmed.After(sent) {
		next.confirmed = last.confirmed
	}
	if !last.Fresh() {
		next.Period++
	}
	if d.Unknown {
		next.confirmed = h.clock().Add(-2 * FreshnessBound)
	}
	h.current.Store(next)
	return next, nil
}

// Refused counts the deltas that were refused.
func (h *Holder) Refused() int64 { return h.refused.Load() }
