package dispatch

import (
	"math"
	"slices"
	"time"

	"cactusspar/internal/state"
)

const (
	// slowStart is how long a new endpoint's slots are opened gradually.
	slowStart = 10 * time.Second
	// settleTime is the age of a pool up to which its endpoints count as known
	// before, so that a takeover doesn't put all of them into slow start.
	settleTime = 5 * time.Second
	// slowStartFloor is the part of the slots that a new endpoint has at once.
	slowStartFloor = 0.25
	// idleConnection bounds how long an entry instance keeps a connection that
	// no ticket uses, with a margin over the 2 s after which it closes it.
	idleConnection = 2500 * time.Millisecond
	// A slot whose request ended without a clear result, or was refused by the
	// endpoint, counts as busy for the mean service time within these bounds:
	// earlier work may still run there. Without it, an endpoint that refuses
	// fast would look free and attract the next requests.
	minHold = 10 * time.Millisecond
	maxHold = time.Second
	// defaultConnections bounds the connections of an endpoint if the rules don't.
	defaultConnections = 64
)

// endpoint is an instance as its announcements, the view and the own tickets
// describe it.
type endpoint struct {
	id string
	// said is the newest announcement; announced tells that there is one.
	said      Announcement
	announced bool
	heardAt   time.Duration
	leaseEnd  time.Duration
	left      bool
	// joined is when the endpoint came or came back.
	joined time.Duration

	committed bool
	instance  state.Instance
	// conditionAt is when the view's condition and pool epoch were first seen.
	conditionAt time.Duration
	// silent tells that announcements ended, or that a new incarnation came,
	// since the view's condition was first seen.
	silent bool

	busy    int // tickets in use
	foreign int // busy slots of unknown origin
	recent  peak
	// held are the ends of times during which one slot each counts as busy.
	held []time.Duration
	// lastRelease is when the last ticket ended.
	lastRelease time.Duration
	// holders counts connections by entry instance.
	holders map[string]*holder
	health  health
}

// holder estimates the connections of an entry instance to an endpoint: the
// most tickets that it used at once within the last idle time.
type holder struct {
	tickets         int
	now, before     int // peaks of the present and the last period
	periodBegan     time.Duration
	lastUsed        time.Duration
	connectionCount int
}

func (h *holder) advance(now time.Duration) {
	if elapsed := now - h.periodBegan; elapsed >= idleConnection {
		h.before = h.now
		if elapsed >= 2*idleConnection {
			h.before = h.tickets
		}
		h.now = h.tickets
		h.periodBegan = now
	}
	h.now = max(h.now, h.tickets)
	h.connectionCount = max(h.now, h.before)
}

// slots returns the slots of e, which the rules may bound.
func (e *endpoint) slots(bound int) int {
	if bound > 0 {
		return min(e.said.Slots, bound)
	}
	return e.said.Slots
}

// open returns the slots that are open at now during the slow start.
func (e *endpoint) open(now time.Duration, bound int) int {
	slots := e.slots(bound)
	age := now - e.joined
	if age >= slowStart {
		return slots
	}
	part := slowStartFloor + (1-slowStartFloor)*float64(age)/float64(slowStart)
	return min(max(int(math.Ceil(part*float64(slots))), 1), slots)
}

// occupy counts a ticket.
func (e *endpoint) occupy(now time.Duration, t *ticket) {
	e.busy++
	e.recent.note(now, e.busy)
	h := e.holders[t.from]
	if h == nil {
		h = &holder{periodBegan: now}
		e.holders[t.from] = h
	}
	h.tickets++
	h.lastUsed = now
	h.advance(now)
	if t.trial {
		e.health.onTrial = true
	}
}

// vacate stops counting a ticket.
func (e *endpoint) vacate(now time.Duration, t *ticket) {
	e.recent.note(now, e.busy)
	e.busy--
	e.recent.last = e.busy
	e.lastRelease = now
	h := e.holders[t.from]
	h.advance(now)
	h.tickets--
	h.lastUsed = now
	if t.trial {
		e.health.onTrial = false
	}
}

// hold counts a slot as busy until a time.
func (e *endpoint) hold(until time.Duration) {
	if len(e.held) < e.said.Slots {
		e.held = append(e.held, until)
	}
}

// heldSlots returns the number of slots that are held.
func (e *endpoint) heldSlots(now time.Duration) int {
	if len(e.held) > 0 {
		e.held = slices.DeleteFunc(e.held, func(until time.Duration) bool { return until <= now })
	}
	return len(e.held)
}

// connectable tells whether from may use one more connection at once.
func (e *endpoint) connectable(now time.Duration, from string, limit int) bool {
	if limit <= 0 {
		limit = defaultConnections
	}
	if e.busy < limit && len(e.holders)*e.said.Slots < limit {
		return true
	}
	sum := 0
	for name, h := range e.holders {
		h.advance(now)
		if name == from && h.tickets < h.connectionCount {
			return true
		}
		sum += h.connectionCount
	}
	return sum < limit
}

// dropHolders forgets entry instances without connections.
func (e *endpoint) dropHolders(now time.Duration) {
	for name, h := range e.holders {
		if h.tickets == 0 && now-h.lastUsed >= 2*idleConnection {
			delete(e.holders, name)
		}
	}
}

// The history of the number of tickets covers the delay of an announcement.
const (
	peakPeriod  = 100 * time.Millisecond
	peakPeriods = 4
)

// peak is the largest number of tickets in use within the last periods.
type peak struct {
	period int64
	counts [peakPeriods]int
	last   int
}

func (k *peak) note(now time.Duration, count int) {
	k.advance(now)
	i := k.period % peakPeriods
	k.counts[i] = max(k.counts[i], count)
	k.last = count
}

func (k *peak) advance(now time.Duration) {
	period := int64(now / peakPeriod)
	for n := 0; k.period < period && n < peakPeriods; n++ {
		k.period++
		k.counts[k.period%peakPeriods] = k.last
	}
	k.period = max(k.period, period)
}

// max returns the largest count; present is the count now.
func (k *peak) max(now time.Duration, present int) int {
	k.note(now, present)
	most := 0
	for _, c := range k.counts {
		most = max(most, c)
	}
	return most
}
