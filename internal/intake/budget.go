package intake

import (
	"errors"
	"sync"
	"time"
)

var (
	// ErrGaveWay reports that a body was given up in favour of others while it arrived.
	ErrGaveWay = errors.New("the request body gave way to others: the budget for bodies is exhausted")
	// ErrExhausted reports that there is no room for a body, and none that can be made.
	ErrExhausted = errors.New("the budget for request bodies is exhausted")
)

// smallBytes is the size up to which a body is small. Small bodies have a part of the
// budget for themselves.
const smallBytes = 16 << 10

// largeShare is the part of a budget that bodies may hold beyond their first smallBytes.
const largeShare = 0.75

// Budget counts the bytes that all request bodies of a process hold. When it is short, the
// bodies that are still arriving give way, large ones first, and among them the one that has
// made no progress for the longest time.
type Budget struct {
	limit, largeLimit int64

	mu sync.Mutex
	// freed is signalled when bytes are given back and when a holding gives way.
	freed sync.Cond
	held  total
	// leaving is the part of held that bodies hold which gave way and aren't closed yet.
	leaving total
	// arriving holds the bodies that may give way, least recent progress first.
	small, large list[*Holding]
}

// total is a number of bytes, and the part of it that is beyond the first smallBytes of a body.
type total struct{ bytes, large int64 }

func (t *total) add(u total) { t.bytes, t.large = t.bytes+u.bytes, t.large+u.large }
func (t *total) sub(u total) { t.bytes, t.large = t.bytes-u.bytes, t.large-u.large }

func totalOf(n int64) total { return total{n, max(0, n-smallBytes)} }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit, largeLimit: int64(float64(limit) * largeShare)}
	b.freed.L = &b.mu
	return b
}

// MaxBody returns the size of the largest body that the budget has room for.
func (b *Budget) MaxBody() int64 { return b.largeLimit + smallBytes }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held.bytes
}

// Holding is what one body holds of a budget.
type Holding struct {
	budget *Budget
	// interrupt ends the wait for further bytes of the body.
	interrupt func()
	// until is when Grow stops to wait for room; zero means never.
	until time.Time
	bytes int64
	state holdingState
	place entry[*Holding]
}

type holdingState uint8

const (
	arriving holdingState = iota
	complete
	leaving
	closed
)

// Open returns a holding for a body that begins to arrive. If the body has to give way,
// interrupt is called; the caller then closes the holding. interrupt must not block.
func (b *Budget) Open(interrupt func()) *Holding {
	h := &Holding{budget: b, interrupt: interrupt}
	h.place.value = h
	b.mu.Lock()
	defer b.mu.Unlock()
	b.small.pushBack(&h.place)
	return h
}

// WaitUntil limits how long Grow waits for room. It must be called before Grow.
func (h *Holding) WaitUntil(t time.Time) { h.until = t }

// Grow takes n more bytes of the budget, which counts as progress. A small body waits
// until there is room; a large one fails if no other large one can give way.
func (h *Holding) Grow(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := totalOf(h.bytes + n)
	more.sub(totalOf(h.bytes))
	if h.state == arriving {
		h.queue()
	}
	for h.state == arriving {
		if b.fits(b.held, more) {
			b.held.add(more)
			h.bytes += n
			h.queue()
			return nil
		}
		after := b.held
		after.sub(b.leaving)
		if b.fits(after, more) {
			if !h.wait() {
				return ErrExhausted
			}
			continue
		}
		switch victim := b.victim(h, more); {
		case victim != nil:
			victim.giveWay()
		case more.large > 0 || more.bytes > b.limit || !h.wait():
			return ErrExhausted
		}
	}
	return ErrGaveWay
}

// wait waits until bytes are given back or a body gives way. It returns false if it is too
// late for that. The lock is held, and released meanwhile.
func (h *Holding) wait() bool {
	b := h.budget
	if h.until.IsZero() {
		b.freed.Wait()
		return true
	}
	left := time.Until(h.until)
	if left <= 0 {
		return false
	}
	timer := time.AfterFunc(left, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.freed.Broadcast()
	})
	defer timer.Stop()
	b.freed.Wait()
	return true
}

func (b *Budget) fits(held, more total) bool {
	return held.bytes+more.bytes <= b.limit && (more.large == 0 || held.large+more.large <= b.largeLimit)
}

// victim returns the body that gives way to another, or nil. Small bodies give way only to
// small ones.
func (b *Budget) victim(to *Holding, more total) *Holding {
	if p := b.large.front(); p != nil && p.value != to {
		return p.value
	}
	if p := b.small.front(); p != nil && p.value != to && more.large == 0 {
		return p.value
	}
	return nil
}

// queue puts the body behind those that have waited longer. The lock is held.
func (h *Holding) queue() {
	h.place.remove()
	if h.bytes > smallBytes {
		h.budget.large.pushBack(&h.place)
	} else {
		h.budget.small.pushBack(&h.place)
	}
}

// giveWay interrupts the body. The lock is held.
func (h *Holding) giveWay() {
	b := h.budget
	h.place.remove()
	h.state = leaving
	b.leaving.add(totalOf(h.bytes))
	b.freed.Broadcast()
	h.interrupt()
}

// Complete reports that the body has arrived. It no longer gives way.
func (h *Holding) Complete() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state != arriving {
		return ErrGaveWay
	}
	h.place.remove()
	h.state = complete
	return nil
}

// Close gives back all that the body holds. It may be called more than once.
func (h *Holding) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.state == closed {
		return
	}
	if h.state == leaving {
		b.leaving.sub(totalOf(h.bytes))
	}
	h.place.remove()
	h.state = closed
	b.held.sub(totalOf(h.bytes))
	b.freed.Broadcast()
}
