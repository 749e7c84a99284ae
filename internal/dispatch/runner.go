package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

const (
	// inboxLength bounds the events that wait for a pool's goroutine. Senders
	// block when it is full.
	inboxLength = 1024
	// eventsPerRun bounds the queued events handled between two runs of the pool.
	eventsPerRun = 256
	// peerTimeout bounds a call to another entry instance.
	peerTimeout = time.Second
	// minRetiredTime is the least time for which a retired pool reports its grants
	// as returned.
	minRetiredTime = 10 * time.Second
)

// event is an input of a pool. It is handled on the pool's goroutine.
type event func(p *Pool, now time.Duration)

// runner runs a Pool on one goroutine.
type runner struct {
	service *Service
	name    string
	// epoch is guarded by the service's mutex.
	epoch uint64

	pool     *Pool
	inbox    chan event
	stop     chan struct{}
	done     chan struct{}
	calls    conc.WaitGroup
	counters map[counterKey]metrics.Counter
}

type counterKey struct{ event, reason string }

func newRunner(s *Service, v PoolView) *runner {
	as := v.Assignment
	r := &runner{
		service: s, name: as.Pool, epoch: as.Epoch,
		inbox: make(chan event, inboxLength), stop: make(chan struct{}), done: make(chan struct{}),
		counters: map[counterKey]metrics.Counter{},
	}
	s.pools++
	r.pool = NewPool(s.now(), PoolOptions{
		Name: as.Pool, Entry: s.opts.Entry, Fresh: s.opts.Fresh, IdleSince: s.idleSince(v),
		Random: rand.New(rand.NewPCG(s.opts.Seed, s.pools)),
		Count:  r.count, MaxRecords: s.opts.MaxRecords,
		Violated: r.logViolation,
	}, v)
	return r
}

// post sends an event to the pool's goroutine. It returns false if that has ended.
func (r *runner) post(ev event) bool {
	select {
	case r.inbox <- ev:
		return true
	case <-r.done:
		return false
	}
}

func (r *runner) run() {
	defer r.calls.Wait()
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var retiredAt time.Duration
	for {
		stopped := r.next(timer)
		now := r.service.now()
		r.pool.Run(now)
		if stopped {
			return
		}
		r.copyRecords(now)
		r.requestHeld(now)
		if r.pool.Retired() {
			if retiredAt == 0 {
				retiredAt = now
			}
			if r.pool.Finished() && now-retiredAt >= minRetiredTime {
				return
			}
		}
		timer.Reset(r.pool.NextRun(now) - now)
	}
}

// next waits for an event, the timer or a stop, and handles queued events. It
// reports whether the runner must stop.
func (r *runner) next(timer *time.Timer) bool {
	select {
	case ev := <-r.inbox:
		now := r.service.now()
		ev(r.pool, now)
		r.handleQueued(now)
	case <-timer.C:
		r.updateGauges()
	case <-r.stop:
		now := r.service.now()
		r.handleQueued(now)
		r.pool.Stop(now)
		return true
	}
	return false
}

func (r *runner) handleQueued(now time.Duration) {
	for range eventsPerRun {
		select {
		case ev := <-r.inbox:
			ev(r.pool, now)
		default:
			return
		}
	}
}

// copyRecords sends the next copy to the backup, if one is due.
func (r *runner) copyRecords(now time.Duration) {
	c, backup, ok := r.pool.NextCopy(now)
	if !ok {
		return
	}
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(r.service.ctx, peerTimeout)
		defer cancel()
		err := r.service.opts.Peers.Copy(ctx, backup, c)
		r.post(func(p *Pool, now time.Duration) {
			if err != nil {
				p.CopyFailed(now, c.Sequence)
				return
			}
			p.CopyAcked(now, c.Sequence)
		})
	})
}

// requestHeld queries the entry instances that are due for the tickets and records
// that they hold.
func (r *runner) requestHeld(now time.Duration) {
	query := r.pool.HeldQuery()
	for _, id := range r.pool.HeldTargets(now) {
		r.calls.Go(func() {
			held, err := r.fetchHeld(id, query)
			r.post(func(p *Pool, now time.Duration) {
				if err != nil {
					p.HeldFailed(now, id)
					return
				}
				p.AddHeld(now, id, held)
			})
		})
	}
}

// fetchHeld fetches all pages of an entry instance's response.
func (r *runner) fetchHeld(id string, query HeldQuery) (HeldResponse, error) {
	ctx, cancel := context.WithTimeout(r.service.ctx, peerTimeout)
	defer cancel()
	held, err := r.service.opts.Peers.Held(ctx, id, query)
	for next := held.Next; err == nil && next > query.From && len(held.Records) <= 2*r.service.opts.MaxRecords; {
		var more HeldResponse
		query.From = next
		more, err = r.service.opts.Peers.Held(ctx, id, query)
		held.Records = append(held.Records, more.Records...)
		if len(more.Claims) < len(held.Claims) {
			held.Claims = nil // the pages were replaced between the calls
		}
		next = more.Next
	}
	return held, err
}

func (r *runner) logViolation(v Violation) {
	r.service.opts.Log.Error(nil, "Found a broken invariant.",
		"pool", r.name, "invariant", v.Invariant, "detail", v.Detail)
}

const metricPrefix = "cactusspar_dispatch_"

func (r *runner) count(event, reason string) {
	if r.service.opts.Metrics == nil {
		return
	}
	key := counterKey{event, reason}
	c := r.counters[key]
	if c == nil {
		labels := []string{"pool", r.name}
		if reason != "" {
			labels = append(labels, "reason", reason)
		}
		name := metricPrefix + strings.ReplaceAll(event, "-", "_") + "_total"
		c = r.service.opts.Metrics.Counter(name, labels...)
		r.counters[key] = c
	}
	c.Inc(1)
}

func (r *runner) updateGauges() {
	if m := r.service.opts.Metrics; m != nil {
		m.Gauge(metricPrefix+"waiting", "pool", r.name).Update(int64(r.pool.Waiting()))
		m.Gauge(metricPrefix+"running", "pool", r.name).Update(int64(r.pool.Running()))
	}
}
