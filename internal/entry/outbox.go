package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/dispatch"
)

const (
	// outboxWorkers is the number of batches to one dispatcher that may be
	// under way, so that a slot is given back without waiting for the answer
	// to the batch before.
	outboxWorkers = 4
	outboxTimeout = time.Second
	outboxPause   = 25 * time.Millisecond
	// maxOutbox bounds the messages kept for one dispatcher. Beyond it the
	// oldest is dropped; its ticket ends with its deadline.
	maxOutbox = 16384
)

// outbox delivers releases and cancellations to other dispatchers. A release
// is confirmed by its receiver, and is sent again until its ticket has ended.
type outbox struct {
	call     func(ctx context.Context, to, method string, message any) error
	again    func(to string, r dispatch.Release, deadline time.Time)
	dropped  counter
	ctx      context.Context
	mu       sync.Mutex
	boxes    map[string]*box
	workers  conc.WaitGroup
	closed   bool
	inFlight int
}

type counter interface{ Inc(n int64) }

// box holds what is to be sent to one dispatcher.
type box struct {
	releases []pendingRelease
	cancels  []cancelMessage
	wake     chan struct{}
}

type pendingRelease struct {
	release  dispatch.Release
	deadline time.Time
}

// releases is the content of dispatch.release.
type releases struct {
	Items []dispatch.Release `msgpack:"i"`
}

// cancels is the content of dispatch.cancel.
type cancels struct {
	Items []cancelMessage `msgpack:"i"`
}

func newOutbox(ctx context.Context) *outbox {
	return &outbox{ctx: ctx, boxes: map[string]*box{}}
}

func (o *outbox) release(to string, r dispatch.Release, deadline time.Time) {
	o.add(to, func(b *box) {
		if len(b.releases) >= maxOutbox {
			b.releases = b.releases[1:]
			o.dropped.Inc(1)
		}
		b.releases = append(b.releases, pendingRelease{r, deadline})
	})
}

func (o *outbox) cancel(to string, c cancelMessage) {
	o.add(to, func(b *box) {
		if len(b.cancels) >= maxOutbox {
			b.cancels = b.cancels[1:]
			o.dropped.Inc(1)
		}
		b.cancels = append(b.cancels, c)
	})
}

func (o *outbox) add(to string, put func(b *box)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.boxes[to]
	if b == nil {
		b = &box{wake: make(chan struct{}, outboxWorkers)}
		o.boxes[to] = b
		if !o.closed {
			for range outboxWorkers {
				o.workers.Go(func() { o.work(to, b) })
			}
		}
	}
	put(b)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) work(to string, b *box) {
	for {
		select {
		case <-b.wake:
			o.flush(to, b)
		case <-o.ctx.Done():
			return
		}
	}
}

// flush sends everything in the box.
func (o *outbox) flush(to string, b *box) {
	o.mu.Lock()
	pending, withdrawn := b.releases, b.cancels
	b.releases, b.cancels = nil, nil
	o.inFlight += len(pending)
	o.mu.Unlock()
	if len(withdrawn) > 0 {
		// A cancellation that is lost costs a slot until the request's deadline.
		_ = o.send(to, dispatch.MethodCancel, cancels{withdrawn})
	}
	if len(pending) == 0 {
		return
	}
	items := make([]dispatch.Release, len(pending))
	for i, p := range pending {
		items[i] = p.release
	}
	err := o.send(to, dispatch.MethodRelease, releases{items})
	if err != nil {
		o.repeat(to, pending)
	}
	o.mu.Lock()
	o.inFlight -= len(pending)
	o.mu.Unlock()
}

func (o *outbox) send(to, method string, message any) error {
	ctx, cancel := context.WithTimeout(o.ctx, outboxTimeout)
	defer cancel()
	return o.call(ctx, to, method, message)
}

// repeat sends releases once more after a pause.
func (o *outbox) repeat(to string, pending []pendingRelease) {
	select {
	case <-time.After(outboxPause):
	case <-o.ctx.Done():
		return
	}
	for _, p := range pending {
		if time.Now().Before(p.deadline) {
			o.again(to, p.release, p.deadline)
		}
	}
}

// empty tells whether everything was delivered.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.inFlight
	for _, b := range o.boxes {
		n += len(b.releases) + len(b.cancels)
	}
	return n == 0
}

// close waits for the workers, after the outbox's context has ended.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.workers.Wait()
}
