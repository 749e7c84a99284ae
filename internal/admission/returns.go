// Package admission orders the return of refused callers: each is told a time at which there
// will be room for its job. It reads no clock and does no I/O.
package admission

import (
	"time"

	"cactusspar/internal/boottime"
)

const (
	// maxPlaces bounds the places that are kept in a pool, and maxPlacesByWorkspace those of
	// one workspace, so that invented job IDs displace nobody's place.
	maxPlaces            = 4096
	maxPlacesByWorkspace = maxPlaces / 4
	// lapseAfter is how long after its time a place is kept. Callers are told whole seconds
	// and come back late by their own delays.
	lapseAfter = time.Second
	// earlyBy is how much before its time a caller may come and is in its turn.
	earlyBy = 150 * time.Millisecond
	// maxWait is the longest time after which a caller is told to return.
	maxWait = 5 * time.Second
)

// Place is the promise to a refused caller that there is room for its job at a time.
type Place struct {
	Workspace string
	Due       boottime.Instant
	// Work is the processor time that is kept for the job, in core-seconds.
	Work float64
}

// Returns holds the places of a pool. The zero value is ready for use.
type Returns struct {
	places      map[string]Place
	byWorkspace map[string]int
	held        float64
	sweptAt     boottime.Instant
	lapsed      int // places whose callers did not return, since they were last counted
}

// Reserve keeps a place for a job and returns the whole seconds after which its caller should
// return: the first at which room, the core-seconds that a pool can take on by then beside what
// it has accepted, exceeds what is kept for others that are due by then. It reports false if
// there is no such time within the patience of the caller. A caller that has a place keeps it.
func (r *Returns) Reserve(now boottime.Instant, job, workspace string, work float64, patience time.Duration, room func(after time.Duration) float64) (time.Duration, bool) {
	r.sweep(now)
	if p, ok := r.places[job]; ok {
		if now < p.Due {
			return ceilSeconds(p.Due.Sub(now)), true
		}
		r.drop(job) // it came in its turn and was refused
	}
	if len(r.places) >= maxPlaces || r.byWorkspace[workspace] >= maxPlacesByWorkspace {
		return 0, false
	}
	kept := r.keptBySecond(now)
	for after := time.Second; after <= min(patience, maxWait); after += time.Second {
		if fits(kept, after, work, room) {
			r.add(job, Place{workspace, now.Add(after), work})
			return after, true
		}
	}
	return 0, false
}

// fits reports whether work fits at a second beside the places that are due then and later.
func fits(kept []float64, after time.Duration, work float64, room func(time.Duration) float64) bool {
	for second := int(after / time.Second); second < len(kept); second++ {
		if kept[second]+work > room(time.Duration(second)*time.Second) {
			return false
		}
	}
	return true
}

// keptBySecond returns the work of the places that are due within each number of seconds.
func (r *Returns) keptBySecond(now boottime.Instant) []float64 {
	kept := make([]float64, int(maxWait/time.Second)+1)
	for _, p := range r.places {
		for second := int(ceilSeconds(max(p.Due.Sub(now), 0)) / time.Second); second < len(kept); second++ {
			kept[second] += p.Work
		}
	}
	return kept
}

// Take returns the place of a caller that comes in its turn, and frees it.
func (r *Returns) Take(now boottime.Instant, job string) (Place, bool) {
	r.sweep(now)
	p, ok := r.places[job]
	if !ok || now < p.Due.Add(-earlyBy) {
		return Place{}, false
	}
	r.drop(job)
	return p, true
}

// Held returns the core-seconds that are kept for callers that are due within a time.
func (r *Returns) Held(now boottime.Instant, within time.Duration) float64 {
	r.sweep(now)
	if r.held == 0 {
		return 0
	}
	held := 0.0
	for _, p := range r.places {
		if p.Due <= now.Add(within) {
			held += p.Work
		}
	}
	return held
}

// CountLapsed returns the number of places whose callers have not returned since its last call.
func (r *Returns) CountLapsed() int {
	n := r.lapsed
	r.lapsed = 0
	return n
}

// Len returns the number of places.
func (r *Returns) Len() int { return len(r.places) }

func (r *Returns) add(job string, p Place) {
	if r.places == nil {
		r.places, r.byWorkspace = map[string]Place{}, map[string]int{}
	}
	r.places[job] = p
	r.byWorkspace[p.Workspace]++
	r.held += p.Work
}

func (r *Returns) drop(job string) {
	p := r.places[job]
	delete(r.places, job)
	if r.byWorkspace[p.Workspace]--; r.byWorkspace[p.Workspace] <= 0 {
		delete(r.byWorkspace, p.Workspace)
	}
	if r.held -= p.Work; len(r.places) == 0 {
		r.held = 0
	}
}

// sweepInterval is how often lapsed places are looked for.
const sweepInterval = 50 * time.Millisecond

func (r *Returns) sweep(now boottime.Instant) {
	if now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = now
	for job, p := range r.places {
		if now > p.Due.Add(lapseAfter) {
			r.drop(job)
			r.lapsed++
		}
	}
}

// ceilSeconds rounds a duration up to whole seconds.
func ceilSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1) / time.Second * time.Second
}
