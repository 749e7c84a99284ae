package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PoolLoad is the capacity and demand of a pool, in cores.
type PoolLoad struct {
	Name string
	// Spare marks a pool of switched-off instances, which cost nothing and are lent
	// to other pools first.
	Spare bool
	// Retired marks a pool that the configuration doesn't name any more. Nothing starts in it, and
	// its instances are lent or switched off once they are idle.
	Retired bool
	// Capacity is the capacity of the usable instances, Incoming that of instances
	// that are being moved into the pool.
	Capacity, Incoming float64
	// Need is what the work needs now or is expected to need soon.
	Need float64
	// Present is the part of Need that tasks take which run or wait only for a worker. The
	// rest is expected.
	Present float64
	// OfferedLoad is the part of Need that the arriving jobs take.
	OfferedLoad float64
	// NeedsInstance reports that a long-running task needs a further instance,
	// regardless of how many cores the pool has.
	NeedsInstance bool
	// RecentPeak is the highest need within the period after which unneeded instances
	// are switched off.
	RecentPeak float64
}

// MovableInstance is an instance that is idle, or runs only short tasks that can
// end before it moves.
type MovableInstance struct {
	ID    string
	Pool  string
	Cores float64
	// DrainTime is how long the tasks on it are expected to run, which have to end before it
	// moves. It is 0 if there are none.
	DrainTime time.Duration
	// Kept instances aren't moved, because a maintenance wave waits for them.
	Kept bool
}

// Move reassigns an instance to another pool.
type Move struct {
	Instance string
	From, To string
	Cores    float64
}

// presentMinimum is the part of the minimum of a pool that it keeps when tasks of another pool
// wait: that one's peak is certain, the pool's own is not.
const presentMinimum = 0.5

// MovePolicy sets when a pool borrows instances and how much it keeps for itself.
type MovePolicy struct {
	// MinDeficit is the minimum deficit for which an instance is moved in, as a
	// share of the instance's cores.
	MinDeficit float64
	// Headroom is the headroom that a lending pool keeps, as a share of its need.
	// MinShare is the share of an equal part of all cores that it keeps in any
	// case: it serves the start of the pool's own peak until further instances
	// arrive.
	Headroom float64
	MinShare float64
	// TotalCores is the capacity of all instances, including those switched off.
	TotalCores float64
}

// Moves decides which instances change their pool. A pool with a deficit gets
// instances from retired and spare pools first, then from the pools with the largest surplus.
// Present needs come first, and also take instances that another pool only expects to need:
// its peak may end before they are used. Instances that a pool has not needed for some time
// are switched off.
//
// movable returns the instances of a pool that can be moved. It is called only for pools that may
// lend some, because it looks at all runs of the pool.
func Moves(pools []PoolLoad, movable func(pool string) []MovableInstance, policy MovePolicy) []Move {
	m := newMovePlanner(pools, movable, policy)
	m.fill(func(p *PoolLoad) float64 { return p.Present }, presentMinimum*m.minCores)
	m.fill(func(p *PoolLoad) float64 { return p.Need }, m.minCores)
	for _, p := range m.pools {
		switch {
		case p.Retired:
			m.emptyRetired(p)
		case !p.Spare && !p.NeedsInstance:
			m.switchOff(p)
		}
	}
	return m.moves
}

// fill moves instances into the pools that have less than they need. The pool with the largest
// deficit is served first in each step, so that no pool gets all before another gets any.
// A pool keeps the given minimum of cores.
func (m *movePlanner) fill(need func(*PoolLoad) float64, minimum float64) {
	m.need, m.minimum = need, minimum
	m.level = m.fairLevel()
	waiting := slices.DeleteFunc(slices.Clone(m.pools), func(p *PoolLoad) bool { return p.unused() })
	for len(waiting) > 0 {
		neediest := slices.MaxFunc(waiting, func(a, b *PoolLoad) int { return cmp.Compare(m.deficit(a), m.deficit(b)) })
		if !m.moveInto(neediest) {
			waiting = slices.DeleteFunc(waiting, func(p *PoolLoad) bool { return p == neediest })
		}
	}
}

// unused reports whether no task starts in a pool, so that all its idle instances can be lent.
func (p *PoolLoad) unused() bool { return p.Spare || p.Retired }

// deficit returns the cores that a pool lacks of its part of the fleet.
func (m *movePlanner) deficit(p *PoolLoad) float64 {
	return min(m.need(p), m.level) - p.Capacity - p.Incoming
}

// kept returns the cores that a pool keeps: its need with the headroom, or its minimum.
func (m *movePlanner) kept(p *PoolLoad) float64 {
	return max(m.need(p)*(1+m.policy.Headroom), m.minimum)
}

// fairLevel returns the largest part of the fleet that a pool may keep if the pools keep more
// than there is: pools that keep less get all of it, the others equal parts.
func (m *movePlanner) fairLevel() float64 {
	total := 0.0
	var wanted []float64
	for _, p := range m.pools {
		if p.unused() {
			for _, i := range m.movable(p) {
				total += i.Cores
			}
			continue
		}
		total += p.Capacity + p.Incoming
		wanted = append(wanted, m.kept(p))
	}
	slices.Sort(wanted)
	for i, w := range wanted {
		if part := total / float64(len(wanted)-i); w > part {
			return part
		}
		total -= w
	}
	return math.Inf(1)
}

type movePlanner struct {
	policy MovePolicy
	// need is the need that the present pass serves.
	need    func(*PoolLoad) float64
	minimum float64
	// level is the largest part of the fleet that a pool may keep.
	level  float64
	pools  []*PoolLoad
	byName map[string]*PoolLoad
	// list lists the movable instances of a pool, movableByPool those left of the pools that
	// were listed.
	list          func(pool string) []MovableInstance
	movableByPool map[string][]MovableInstance
	// minCores is what every pool keeps, in cores.
	minCores float64
	moves    []Move
}

func newMovePlanner(pools []PoolLoad, movable func(pool string) []MovableInstance, policy MovePolicy) *movePlanner {
	m := &movePlanner{policy: policy, byName: map[string]*PoolLoad{}, list: movable, movableByPool: map[string][]MovableInstance{}}
	regularPools := 0
	for i := range pools {
		p := pools[i]
		m.pools = append(m.pools, &p)
		m.byName[p.Name] = &p
		if !p.unused() {
			regularPools++
		}
	}
	m.minCores = policy.MinShare * policy.TotalCores / float64(max(regularPools, 1))
	return m
}

// movable returns the instances that can still be moved from a pool, those first whose tasks end
// first.
func (m *movePlanner) movable(p *PoolLoad) []MovableInstance {
	list, listed := m.movableByPool[p.Name]
	if !listed {
		list = slices.DeleteFunc(m.list(p.Name), func(i MovableInstance) bool { return i.Kept })
		slices.SortStableFunc(list, func(a, b MovableInstance) int { return cmp.Compare(a.DrainTime, b.DrainTime) })
		m.movableByPool[p.Name] = list
	}
	return list
}

// moveInto moves one instance into a pool with a deficit. It reports whether it did.
func (m *movePlanner) moveInto(to *PoolLoad) bool {
	from := m.lender(to)
	if from == nil {
		return false
	}
	instance := m.movable(from)[0]
	needsInstance := to.NeedsInstance && to.Incoming == 0
	if m.deficit(to) < m.policy.MinDeficit*instance.Cores && !needsInstance {
		return false
	}
	m.move(instance, from, to)
	return true
}

// lender returns the pool from which an instance is taken, or nil: a retired pool first, whose
// instances have to move anyway, then a spare one, then the pool with the largest surplus.
func (m *movePlanner) lender(to *PoolLoad) *PoolLoad {
	var best *PoolLoad
	for _, p := range m.pools {
		if p == to || p.NeedsInstance || !p.unused() && m.surplus(p) <= 0 || len(m.movable(p)) == 0 || !p.unused() && m.surplus(p) < m.movable(p)[0].Cores {
			continue
		}
		if best == nil || p.lendingRank() > best.lendingRank() || p.lendingRank() == best.lendingRank() && m.surplus(p) > m.surplus(best) {
			best = p
		}
	}
	return best
}

// lendingRank orders the pools by which lends first; the highest does.
func (p *PoolLoad) lendingRank() int {
	switch {
	case p.Retired:
		return 2
	case p.Spare:
		return 1
	}
	return 0
}

// surplus returns the cores that a pool can lend.
func (m *movePlanner) surplus(p *PoolLoad) float64 {
	return p.Capacity - min(m.kept(p), m.level)
}

// switchOff moves idle instances that a pool has not needed into a spare pool.
func (m *movePlanner) switchOff(p *PoolLoad) {
	spare := m.spare()
	if spare == nil {
		return
	}
	needed := max(p.RecentPeak, p.Need) * (1 + m.policy.Headroom)
	unneeded := func() float64 { return p.Capacity - max(needed, m.minCores) }
	for unneeded() > 0 && len(m.movable(p)) > 0 && m.movable(p)[0].DrainTime == 0 && unneeded() >= m.movable(p)[0].Cores {
		m.move(m.movable(p)[0], p, spare)
	}
}

// spare returns the pool into which instances are switched off, or nil if there is none.
func (m *movePlanner) spare() *PoolLoad {
	if at := slices.IndexFunc(m.pools, func(p *PoolLoad) bool { return p.Spare && !p.Retired }); at >= 0 {
		return m.pools[at]
	}
	return nil
}

// emptyRetired moves the idle instances of a retired pool into a spare pool. Without one, the pool
// that lacks the most, or has the least left over, gets each of them.
func (m *movePlanner) emptyRetired(p *PoolLoad) {
	for len(m.movable(p)) > 0 {
		to := m.spare()
		if to == nil {
			used := slices.DeleteFunc(slices.Clone(m.pools), func(p *PoolLoad) bool { return p.unused() })
			if len(used) == 0 {
				return
			}
			to = slices.MaxFunc(used, func(a, b *PoolLoad) int {
				return cmp.Compare(a.Need-a.Capacity-a.Incoming, b.Need-b.Capacity-b.Incoming)
			})
		}
		m.move(m.movable(p)[0], p, to)
	}
}

func (m *movePlanner) move(i MovableInstance, from, to *PoolLoad) {
	m.movableByPool[from.Name] = m.movableByPool[from.Name][1:]
	from.Capacity -= i.Cores
	to.Incoming += i.Cores
	m.moves = append(m.moves, Move{Instance: i.ID, From: from.Name, To: to.Name, Cores: i.Cores})
}
