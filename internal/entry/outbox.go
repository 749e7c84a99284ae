package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/dispatch"
)

const (
	// outboxWorkers is the number of batches that may be in flight to one
	// dispatcher. With more than one, the release of a slot does not wait for
	// the response to the previous batch.
	outboxWorkers     = 4
	outboxSendTimeout = time.Second
	outboxRetryDelay  = 25 * time.Millisecond
	// maxOutboxMessages limits the releases, and separately the cancellations,
	// queued for one dispatcher. Beyond it the oldest is dropped; its ticket or
	// request then ends at its deadline.
	maxOutboxMessages = 16384
)

// outbox delivers releases and cancellations to other dispatchers. A release is
// resent until its receiver confirms it or its ticket reaches the deadline. A
// cancellation is sent once.
type outbox struct {
	call     func(ctx context.Context, to, method string, message any) error
	resend   func(to string, r dispatch.ReleaseRequest, deadline time.Time)
	dropped  counter
	ctx      context.Context
	mu       sync.Mutex
	queues   map[string]*outboxQueue
	workers  conc.WaitGroup
	closed   bool
	inFlight int
}

type counter interface{ Inc(n int64) }

// outboxQueue holds the messages to be sent to one dispatcher.
type outboxQueue struct {
	releases []pendingRelease
	cancels  []cancelMessage
	wake     chan struct{}
}

type pendingRelease struct {
	release  dispatch.ReleaseRequest
	deadline time.Time
}

// releaseBatch is the body of a dispatch.release message.
type releaseBatch struct {
	Items []dispatch.ReleaseRequest `msgpack:"i"`
}

// cancelBatch is the body of a dispatch.cancel message.
type cancelBatch struct {
	Items []cancelMessage `msgpack:"i"`
}

func newOutbox(ctx context.Context) *outbox {
	return &outbox{ctx: ctx, queues: map[string]*outboxQueue{}}
}

func (o *outbox) release(to string, r dispatch.ReleaseRequest, deadline time.Time) {
	o.add(to, func(q *outboxQueue) {
		if len(q.releases) >= maxOutboxMessages {
			q.releases = q.releases[1:]
			o.dropped.Inc(1)
		}
		q.releases = append(q.releases, pendingRelease{r, deadline})
	})
}

func (o *outbox) cancel(to string, c cancelMessage) {
	o.add(to, func(q *outboxQueue) {
		if len(q.cancels) >= maxOutboxMessages {
			q.cancels = q.cancels[1:]
			o.dropped.Inc(1)
		}
		q.cancels = append(q.cancels, c)
	})
}

func (o *outbox) add(to string, enqueue func(q *outboxQueue)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[to]
	if q == nil {
		q = &outboxQueue{wake: make(chan struct{}, outboxWorkers)}
		o.queues[to] = q
		if !o.closed {
			for range outboxWorkers {
				o.workers.Go(func() { o.runWorker(to, q) })
			}
		}
	}
	enqueue(q)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) runWorker(to string, q *outboxQueue) {
	for {
		select {
		case <-q.wake:
			o.flush(to, q)
		case <-o.ctx.Done():
			return
		}
	}
}

// flush sends all queued messages.
func (o *outbox) flush(to string, q *outboxQueue) {
	o.mu.Lock()
	releases, cancels := q.releases, q.cancels
	q.releases, q.cancels = nil, nil
	o.inFlight += len(releases)
	o.mu.Unlock()
	if len(cancels) > 0 {
		// A lost cancellation occupies a slot at most until the request's deadline.
		_ = o.send(to, dispatch.MethodCancel, cancelBatch{cancels})
	}
	if len(releases) == 0 {
		return
	}
	items := make([]dispatch.ReleaseRequest, len(releases))
	for i, p := range releases {
		items[i] = p.release
	}
	err := o.send(to, dispatch.MethodRelease, releaseBatch{items})
	if err != nil {
		o.retryReleases(to, releases)
	}
	o.mu.Lock()
	o.inFlight -= len(releases)
	o.mu.Unlock()
}

func (o *outbox) send(to, method string, message any) error {
	ctx, cancel := context.WithTimeout(o.ctx, outboxSendTimeout)
	defer cancel()
	return o.call(ctx, to, method, message)
}

// retryReleases resends, after a delay, the releases whose ticket has not yet
// reached its deadline.
func (o *outbox) retryReleases(to string, pending []pendingRelease) {
	select {
	case <-time.After(outboxRetryDelay):
	case <-o.ctx.Done():
		return
	}
	for _, p := range pending {
		if time.Now().Before(p.deadline) {
			o.resend(to, p.release, p.deadline)
		}
	}
}

// empty reports whether no message is queued and no release is in flight.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.inFlight
	for _, q := range o.queues {
		n += len(q.releases) + len(q.cancels)
	}
	return n == 0
}

// close waits for the workers to return. The outbox's context must be cancelled
// before.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.workers.Wait()
}
