// Package fairness divides a pool among the workspaces that compete for it. It measures work in
// a workspace's dominant resource and divides it by weighted max-min fairness. It reads no clock
// and does no I/O.
package fairness

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/resources"
)

const (
	// slotLength is the length of a time slot in which work is summed, slots the number of
	// slots in the window: about as long as a job runs, so that a workspace that pauses has
	// its share back when its former jobs have ended.
	slotLength = 100 * time.Millisecond
	slots      = 20
	// levelInterval is how long a computed division is used. A workspace's share changes
	// little in that time.
	levelInterval = 50 * time.Millisecond
	// tolerance is how many times its share a workspace may have: sizes of jobs vary so much
	// that a few large ones exceed the share of a small workspace in the window.
	tolerance = 2
)

// Window is the time over which work is compared.
const Window = slots * slotLength

// Work is what a job takes: amounts of resources, multiplied by the time for which it takes them.
type Work struct {
	CoreSeconds        float64
	MemoryMBSeconds    float64
	AcceleratorSeconds float64
}

// Dominant returns the largest part of a pool's capacity that the work takes, in seconds of the
// whole pool. A resource that the pool doesn't have is ignored.
func (w Work) Dominant(capacity resources.Amount) float64 {
	part := func(work float64, has int64) float64 {
		if has <= 0 {
			return 0
		}
		return work / float64(has)
	}
	return max(part(w.CoreSeconds*1000, capacity.MilliCPU), part(w.MemoryMBSeconds, capacity.MemoryMB), part(w.AcceleratorSeconds, capacity.Accelerators))
}

// Division is the division of a pool among workspaces. The zero value is ready for use.
type Division struct {
	byWorkspace map[string]*account
	level       float64 // seconds of the pool by unit of weight; 0 if all get what they ask for
	levelAt     boottime.Instant
}

// account is what a workspace has asked for and been given within the window, in seconds of the
// whole pool.
type account struct {
	weight         float64
	offered, given [slots]float64
	slot           int64
}

func (a *account) advance(now boottime.Instant) {
	slot := int64(now) / int64(slotLength)
	if slot-a.slot >= slots {
		a.offered, a.given, a.slot = [slots]float64{}, [slots]float64{}, slot
	}
	for a.slot < slot {
		a.slot++
		a.offered[a.slot%slots], a.given[a.slot%slots] = 0, 0
	}
}

func sum(values *[slots]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Offer records that a workspace with a weight asks for work, in seconds of the whole pool.
func (d *Division) Offer(now boottime.Instant, workspace string, weight, seconds float64) {
	a := d.account(now, workspace)
	a.weight = weight
	a.offered[a.slot%slots] += seconds
}

// Give records that a workspace is given work, in seconds of the whole pool.
func (d *Division) Give(now boottime.Instant, workspace string, seconds float64) {
	a := d.account(now, workspace)
	a.given[a.slot%slots] += seconds
}

func (d *Division) account(now boottime.Instant, workspace string) *account {
	if d.byWorkspace == nil {
		d.byWorkspace = map[string]*account{}
	}
	a := d.byWorkspace[workspace]
	if a == nil {
		a = &account{}
		d.byWorkspace[workspace] = a
	}
	a.advance(now)
	return a
}

// Exceeds reports whether a workspace has had more than its share: what weighted max-min fairness
// gives it of what all have asked for within the window, by more than chance explains. A
// workspace that asks for less than its share never exceeds it.
func (d *Division) Exceeds(now boottime.Instant, workspace string) bool {
	a := d.account(now, workspace)
	if a.weight <= 0 {
		return false
	}
	if now.Sub(d.levelAt) >= levelInterval {
		d.level, d.levelAt = d.fairLevel(now), now
	}
	share := d.level * a.weight
	return d.level > 0 && sum(&a.offered) > share && sum(&a.given) > tolerance*share
}

// Share returns the seconds of the whole pool that a workspace was given within the window, and
// its share of them; a share of 0 means that it is not limited.
func (d *Division) Share(now boottime.Instant, workspace string) (given, share float64) {
	a := d.account(now, workspace)
	return sum(&a.given), d.level * a.weight
}

// fairLevel returns the most that a workspace may have by unit of weight, or 0 if the window
// holds all that was asked for. Workspaces that have asked for nothing take no part and are
// forgotten.
func (d *Division) fairLevel(now boottime.Instant) float64 {
	type demand struct{ weight, wanted float64 }
	var demands []demand
	left, weights, total := Window.Seconds(), 0.0, 0.0
	for name, a := range d.byWorkspace {
		a.advance(now)
		wanted := sum(&a.offered)
		switch {
		case wanted == 0 && sum(&a.given) == 0:
			delete(d.byWorkspace, name)
		case a.weight <= 0:
			left -= wanted
		default:
			demands = append(demands, demand{a.weight, wanted})
			weights += a.weight
			total += wanted
		}
	}
	if total <= left {
		return 0
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.wanted/a.weight, b.wanted/b.weight) })
	left = max(left, 0)
	level := 0.0
	for _, w := range demands {
		level = left / weights
		if w.wanted > level*w.weight {
			break
		}
		left -= w.wanted
		weights -= w.weight
	}
	return max(level, minLevel)
}

// minLevel keeps a level that has been reached from meaning that there is none.
const minLevel = 1e-9
