package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cactusspar/internal/state"
)

// candidate is a live entry instance.
type candidate struct {
	DataCentre string
	Leaving    bool
}

// assignmentInput is what assignments follow from.
type assignmentInput struct {
	Pools     []string
	Entries   map[string]candidate
	Committed map[string]*state.Assignment
	// HoldsSince tells whether an instance is still the incarnation that was
	// live at an index.
	HoldsSince func(id string, index uint64) bool
	// Balance permits moves between live dispatchers.
	Balance bool
}

// assignmentPlan is the working copy of the assignments.
type assignmentPlan struct {
	assignmentInput
	candidates []string // sorted
	dispatcher map[string]string
	backup     map[string]string
	load       map[string]int
	backups    map[string]int
}

// planAssignments returns the assignments that have to change, ordered by pool.
// A pool stays where it is while its dispatcher lives. It goes to its backup
// when the dispatcher is lost, because the backup holds its records, and
// otherwise to the live instance with the highest rendezvous score that has not
// more pools than its part.
func planAssignments(in assignmentInput) []state.Assignment {
	p := &assignmentPlan{
		assignmentInput: in, dispatcher: map[string]string{}, backup: map[string]string{},
		load: map[string]int{}, backups: map[string]int{},
	}
	sort.Strings(p.Pools)
	for id, c := range in.Entries {
		if !c.Leaving {
			p.candidates = append(p.candidates, id)
		}
	}
	sort.Strings(p.candidates)
	if len(p.candidates) > 0 {
		p.keep()
		p.place()
		if in.Balance {
			p.balance()
		}
		p.placeBackups()
	}
	return p.changes()
}

// live tells whether an instance may keep what it had under an assignment.
func (p *assignmentPlan) live(id string, a *state.Assignment) bool {
	c, ok := p.Entries[id]
	return ok && !c.Leaving && p.HoldsSince(id, a.Index)
}

func (p *assignmentPlan) keep() {
	for _, pool := range p.Pools {
		a := p.Committed[pool]
		switch {
		case a == nil:
		case p.live(a.Dispatcher, a):
			p.setDispatcher(pool, a.Dispatcher)
		case p.live(a.Backup, a):
			p.setDispatcher(pool, a.Backup)
		}
	}
}

func (p *assignmentPlan) setDispatcher(pool, id string) {
	if old := p.dispatcher[pool]; old != "" {
		p.load[old]--
	}
	p.dispatcher[pool] = id
	p.load[id]++
}

// part is the number of pools that each candidate should have at most.
func (p *assignmentPlan) part() int {
	return (len(p.Pools) + len(p.candidates) - 1) / len(p.candidates)
}

func (p *assignmentPlan) place() {
	part := p.part()
	for _, pool := range p.Pools {
		if p.dispatcher[pool] != "" {
			continue
		}
		id := p.best(pool, func(id string) bool { return p.load[id] < part })
		p.setDispatcher(pool, id)
	}
}

// best returns the candidate with the highest score among those that are
// admitted, or among all if there are none.
func (p *assignmentPlan) best(pool string, admitted func(string) bool) string {
	best, bestScore, bestAdmitted := "", uint64(0), false
	for _, id := range p.candidates {
		score, ok := rendezvous(pool, id), admitted(id)
		if best == "" || (ok && !bestAdmitted) || (ok == bestAdmitted && score > bestScore) {
			best, bestScore, bestAdmitted = id, score, ok
		}
	}
	return best
}

func rendezvous(pool, id string) uint64 { return xxhash.Sum64String(pool + "/" + id) }

// balance moves pools from the fullest to the emptiest candidate while they
// differ by more than a quarter of the mean, and by more than one pool.
func (p *assignmentPlan) balance() {
	tolerance := max(1, len(p.Pools)/len(p.candidates)/4)
	for range p.Pools {
		most, least := p.extremes()
		if p.load[most]-p.load[least] <= tolerance {
			return
		}
		pool := ""
		for _, candidate := range p.Pools {
			if p.dispatcher[candidate] != most {
				continue
			}
			if pool == "" || rendezvous(candidate, least) > rendezvous(pool, least) {
				pool = candidate
			}
		}
		p.setDispatcher(pool, least)
	}
}

func (p *assignmentPlan) extremes() (most, least string) {
	most, least = p.candidates[0], p.candidates[0]
	for _, id := range p.candidates {
		if p.load[id] > p.load[most] {
			most = id
		}
		if p.load[id] < p.load[least] {
			least = id
		}
	}
	return most, least
}

// placeBackups keeps the backups that fit, and chooses the others in another
// data centre than the dispatcher's where there is one.
func (p *assignmentPlan) placeBackups() {
	var open []string
	for _, pool := range p.Pools {
		a := p.Committed[pool]
		if a == nil || !p.live(a.Backup, a) || !p.fits(a.Backup, p.dispatcher[pool]) {
			open = append(open, pool)
			continue
		}
		p.backup[pool] = a.Backup
		p.backups[a.Backup]++
	}
	part := p.part()
	for _, pool := range open {
		dispatcher := p.dispatcher[pool]
		id := p.best(pool, func(id string) bool { return p.fits(id, dispatcher) && p.backups[id] < part })
		if !p.fits(id, dispatcher) {
			id = p.best(pool, func(id string) bool { return p.fits(id, dispatcher) })
		}
		if id == dispatcher {
			continue // it is alone
		}
		p.backup[pool] = id
		p.backups[id]++
	}
}

// fits tells whether an instance may be the backup of a dispatcher.
func (p *assignmentPlan) fits(id, dispatcher string) bool {
	if id == dispatcher {
		return false
	}
	here := p.Entries[dispatcher].DataCentre
	if p.Entries[id].DataCentre != here {
		return true
	}
	for _, other := range p.candidates {
		if p.Entries[other].DataCentre != here {
			return false
		}
	}
	return true
}

// stays tells whether the committed assignment names the planned instances in
// the incarnations that they have now.
func (p *assignmentPlan) stays(pool string, a *state.Assignment) bool {
	if a.Dispatcher != p.dispatcher[pool] || a.Backup != p.backup[pool] {
		return false
	}
	return p.HoldsSince(a.Dispatcher, a.Index) && (a.Backup == "" || p.HoldsSince(a.Backup, a.Index))
}

func (p *assignmentPlan) changes() []state.Assignment {
	var out []state.Assignment
	declared := map[string]bool{}
	for _, pool := range p.Pools {
		declared[pool] = true
		id := p.dispatcher[pool]
		if id == "" {
			continue
		}
		var epoch uint64
		if a := p.Committed[pool]; a != nil {
			if p.stays(pool, a) {
				continue
			}
			epoch = a.Epoch
		}
		out = append(out, state.Assignment{Pool: pool, Epoch: epoch + 1, Dispatcher: id, Backup: p.backup[pool]})
	}
	for pool, a := range p.Committed {
		if !declared[pool] && a.Dispatcher != "" {
			out = append(out, state.Assignment{Pool: pool, Epoch: a.Epoch + 1})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}
