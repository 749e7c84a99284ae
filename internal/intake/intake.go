// Package intake bounds what the servers of a process hold for clients whose requests are
// still arriving: the bytes of all request bodies, the open connections, and the memory for
// decoding. At a limit, the client that has made no progress for the longest time gives way,
// so that clients which stop short of the end of a request don't keep out others.
package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"cactusspar/internal/telemetry"
)

// RetryAfter is the delay after which a client whose request was refused may send it again.
const RetryAfter = time.Second

// logInterval is the minimum time between two log lines.
const logInterval = 10 * time.Second

// Limits, as named in log lines.
const (
	limitBodies      = "bodies"
	limitConnections = "connections"
)

// Options configure an Intake.
type Options struct {
	// BodyBytes is the budget for request bodies.
	BodyBytes int64
	// DecodingBytes is the budget for decoding requests, in bytes of memory.
	DecodingBytes int64
	Log           logr.Logger
	Metrics       *telemetry.Metrics
}

// Intake bounds what the servers of a process hold.
type Intake struct {
	options  Options
	budget   *Budget
	decoding *semaphore.Weighted
	// refused counts bodies that gave way or found no room, replaced counts connections.
	refused, replaced metrics.Counter

	mu         sync.Mutex
	lastLogged time.Time
	unlogged   map[string]int // events by limit
}

// New returns an Intake.
func New(o Options) *Intake {
	return &Intake{
		options: o, budget: NewBudget(o.BodyBytes), decoding: semaphore.NewWeighted(o.DecodingBytes),
		refused: o.Metrics.Counter("intake_bodies_refused_total"), replaced: o.Metrics.Counter("intake_connections_replaced_total"),
		unlogged: map[string]int{},
	}
}

// Held returns the number of bytes that request bodies hold.
func (i *Intake) Held() int64 { return i.budget.Held() }

// Listen returns a listener that holds at most limit open connections. The server that
// uses it has to be attached with Attach.
func (i *Intake) Listen(ln net.Listener, limit int) net.Listener {
	return &listener{Listener: ln, connections: newConnections(limit, func() {
		i.replaced.Inc(1)
		i.logLimit(limitConnections)
	})}
}

// logLimit counts that a limit was met, and writes a line about it at most once in each
// logInterval.
func (i *Intake) logLimit(limit string) {
	i.mu.Lock()
	i.unlogged[limit]++
	now := time.Now()
	due := now.Sub(i.lastLogged) >= logInterval
	bodies, replaced := i.unlogged[limitBodies], i.unlogged[limitConnections]
	if due {
		i.lastLogged = now
		clear(i.unlogged)
	}
	i.mu.Unlock()
	if due {
		i.options.Log.Info("Requests met a limit.", "limit", limit, "bodies_refused", bodies, "connections_replaced", replaced, "body_bytes", i.Held())
	}
}

// Decode reserves memory for decoding a body, and waits until there is some. weight is an
// estimate of the memory, in bytes. Small bodies need no reservation.
func (i *Intake) Decode(ctx context.Context, b *Body, weight int64) (release func(), err error) {
	if b.Size() <= smallBytes {
		return func() {}, nil
	}
	weight = min(weight, i.options.DecodingBytes)
	if err := i.decoding.Acquire(ctx, weight); err != nil {
		i.refused.Inc(1)
		i.logLimit(limitBodies)
		return nil, ErrExhausted
	}
	return sync.OnceFunc(func() { i.decoding.Release(weight) }), nil
}

// DecodeWithin is Decode with a limit of the wait.
func (i *Intake) DecodeWithin(ctx context.Context, limit time.Duration, b *Body, weight int64) (release func(), err error) {
	if b.Size() <= smallBytes {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return i.Decode(ctx, b, weight)
}
