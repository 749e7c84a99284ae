package dispatch

import (
	"math"
	"slices"
	"time"

	"cactusspar/internal/state"
)

const (
	// slowStartDuration is the time over which a new endpoint's slots are opened.
	slowStartDuration = 10 * time.Second
	// slowStartGrace is the age of a pool up to which new endpoints skip the slow
	// start, so that a takeover doesn't put all of them into it.
	slowStartGrace = 5 * time.Second
	// slowStartInitialFraction is the part of a new endpoint's slots that is open
	// at once.
	slowStartInitialFraction = 0.25
	// idleConnectionLifetime is how long a connection of an entry instance counts
	// after its last ticket. Entry instances close idle connections after 2 s; the
	// rest is a margin.
	idleConnectionLifetime = 2500 * time.Millisecond
	// A slot whose request ended with an unknown result, or was refused by the
	// endpoint, is held for the mean service time within these bounds, because
	// earlier work may still run there. Without the hold, an endpoint that refuses
	// fast would look free and attract the next requests.
	minHold = 10 * time.Millisecond
	maxHold = time.Second
	// defaultConnections bounds the connections of an endpoint without a limit in
	// the rules.
	defaultConnections = 64
)

// endpoint is the state of an instance according to its announcements, the view
// and the pool's tickets.
type endpoint struct {
	id string
	// latest is the newest announcement; announced reports that there is one.
	latest      Announcement
	announced   bool
	announcedAt time.Duration
	leaseEnd    time.Duration
	leaving     bool
	// slowStartAt is when the endpoint last appeared, returned, restarted or was
	// reinstated.
	slowStartAt time.Duration

	committed bool
	instance  state.Instance
	// conditionSince is when the present condition and pool epoch first appeared
	// in the view.
	conditionSince time.Duration
	// interrupted reports that the announcements stopped, or that a new incarnation
	// appeared, since conditionSince.
	interrupted bool

	busy         int // tickets in use
	unattributed int // busy slots that no ticket explains
	recentBusy   recentPeak
	// holds are the ends of holds, each of which makes one slot count as busy.
	holds []time.Duration
	// lastRelease is when a ticket was last released or expired.
	lastRelease time.Duration
	// holders estimates the connections by entry instance.
	holders map[string]*holder
	health  health
}

// holder estimates the connections of an entry instance to an endpoint as the most
// tickets that it held at once within about the last idleConnectionLifetime.
type holder struct {
	tickets            int
	peak, previousPeak int // most tickets in this and in the last period
	periodStart        time.Duration
	lastUsed           time.Duration
	connectionCount    int
}

func (h *holder) advance(now time.Duration) {
	if elapsed := now - h.periodStart; elapsed >= idleConnectionLifetime {
		h.previousPeak = h.peak
		if elapsed >= 2*idleConnectionLifetime {
			h.previousPeak = h.tickets
		}
		h.peak = h.tickets
		h.periodStart = now
	}
	h.peak = max(h.peak, h.tickets)
	h.connectionCount = max(h.peak, h.previousPeak)
}

// slots returns the slots of e. A positive bound from the rules caps them.
func (e *endpoint) slots(bound int) int {
	if bound > 0 {
		return min(e.latest.Slots, bound)
	}
	return e.latest.Slots
}

// openSlots returns the slots that are open at now, fewer than all during the slow
// start.
func (e *endpoint) openSlots(now time.Duration, bound int) int {
	slots := e.slots(bound)
	age := now - e.slowStartAt
	if age >= slowStartDuration {
		return slots
	}
	part := slowStartInitialFraction + (1-slowStartInitialFraction)*float64(age)/float64(slowStartDuration)
	return min(max(int(math.Ceil(part*float64(slots))), 1), slots)
}

// acquireSlot counts t as a ticket in use on e.
func (e *endpoint) acquireSlot(now time.Duration, t *ticket) {
	e.busy++
	e.recentBusy.observe(now, e.busy)
	h := e.holders[t.from]
	if h == nil {
		h = &holder{periodStart: now}
		e.holders[t.from] = h
	}
	h.tickets++
	h.lastUsed = now
	h.advance(now)
	if t.trial {
		e.health.trialRunning = true
	}
}

// releaseSlot ends the use of a slot of e by t.
func (e *endpoint) releaseSlot(now time.Duration, t *ticket) {
	e.recentBusy.observe(now, e.busy)
	e.busy--
	e.recentBusy.last = e.busy
	e.lastRelease = now
	h := e.holders[t.from]
	h.advance(now)
	h.tickets--
	h.lastUsed = now
	if t.trial {
		e.health.trialRunning = false
	}
}

// holdSlot makes one slot count as busy until the given time.
func (e *endpoint) holdSlot(until time.Duration) {
	if len(e.holds) < e.latest.Slots {
		e.holds = append(e.holds, until)
	}
}

// holdCount returns the number of slots that are held.
func (e *endpoint) holdCount(now time.Duration) int {
	if len(e.holds) > 0 {
		e.holds = slices.DeleteFunc(e.holds, func(until time.Duration) bool { return until <= now })
	}
	return len(e.holds)
}

// allowsConnection reports whether from may use one more connection now: an idle
// one of its own, or a new one within the limit.
func (e *endpoint) allowsConnection(now time.Duration, from string, limit int) bool {
	if limit <= 0 {
		limit = defaultConnections
	}
	if e.busy < limit && len(e.holders)*e.latest.Slots < limit {
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

// removeIdleHolders removes entry instances without connections.
func (e *endpoint) removeIdleHolders(now time.Duration) {
	for name, h := range e.holders {
		if h.tickets == 0 && now-h.lastUsed >= 2*idleConnectionLifetime {
			delete(e.holders, name)
		}
	}
}

// The history of the ticket count must be longer than the delay of an announcement.
const (
	peakPeriod  = 100 * time.Millisecond
	peakPeriods = 4
)

// recentPeak tracks the largest number of tickets in use over the last peakPeriods.
type recentPeak struct {
	period int64
	counts [peakPeriods]int
	last   int
}

func (k *recentPeak) observe(now time.Duration, count int) {
	k.advance(now)
	i := k.period % peakPeriods
	k.counts[i] = max(k.counts[i], count)
	k.last = count
}

func (k *recentPeak) advance(now time.Duration) {
	period := int64(now / peakPeriod)
	for n := 0; k.period < period && n < peakPeriods; n++ {
		k.period++
		k.counts[k.period%peakPeriods] = k.last
	}
	k.period = max(k.period, period)
}

// max returns the largest recent count, with present as the count now.
func (k *recentPeak) max(now time.Duration, present int) int {
	k.observe(now, present)
	most := 0
	for _, c := range k.counts {
		most = max(most, c)
	}
	return most
}
