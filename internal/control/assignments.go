package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cactusspar/internal/state"
)

// candidate is a live entry instance that may get pools.
type candidate struct {
	DataCentre string
	Leaving    bool
}

// assignmentInput holds everything that determines the assignments.
type assignmentInput struct {
	Pools     []string
	Entries   map[string]candidate
	Committed map[string]*state.Assignment
	// RegisteredSince reports whether an instance still has the incarnation that was
	// live at a log index.
	RegisteredSince func(id string, index uint64) bool
	// Balance permits moving pools between live dispatchers.
	Balance bool
}

// assignmentPlan is the working state of planAssignments.
type assignmentPlan struct {
	assignmentInput
	candidates []string // sorted
	dispatcher map[string]string
	backup     map[string]string
	load       map[string]int
	backups    map[string]int
}

// planAssignments returns the assignments that have to change, ordered by pool.
// A pool stays with its dispatcher while that is live. If the dispatcher is lost,
// the pool moves to its backup, which holds its records. If the backup is lost as
// well, it moves to the live instance with the highest rendezvous score among
// those that have less than their fair share of pools.
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
		p.keepExisting()
		p.placeRemaining()
		if in.Balance {
			p.balance()
		}
		p.placeBackups()
	}
	return p.changes()
}

// live reports whether an instance may keep its role under an assignment: it is
// not stopping and has not restarted since.
func (p *assignmentPlan) live(id string, a *state.Assignment) bool {
	c, ok := p.Entries[id]
	return ok && !c.Leaving && p.RegisteredSince(id, a.Index)
}

func (p *assignmentPlan) keepExisting() {
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

// fairShare returns the number of pools that a candidate should have at most.
func (p *assignmentPlan) fairShare() int {
	return (len(p.Pools) + len(p.candidates) - 1) / len(p.candidates)
}

func (p *assignmentPlan) placeRemaining() {
	fairShare := p.fairShare()
	for _, pool := range p.Pools {
		if p.dispatcher[pool] != "" {
			continue
		}
		id := p.best(pool, func(id string) bool { return p.load[id] < fairShare })
		p.setDispatcher(pool, id)
	}
}

// best returns the candidate with the highest rendezvous score among those that
// are admitted, or among all candidates if none is.
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

// balance moves pools from the most to the least loaded candidate while their
// loads differ by more than a quarter of the mean and by more than one pool.
func (p *assignmentPlan) balance() {
	tolerance := max(1, len(p.Pools)/len(p.candidates)/4)
	for range p.Pools {
		most, least := p.mostAndLeastLoaded()
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

func (p *assignmentPlan) mostAndLeastLoaded() (most, least string) {
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

// placeBackups keeps the backups that are still valid and chooses new ones for
// the other pools.
func (p *assignmentPlan) placeBackups() {
	var unplaced []string
	for _, pool := range p.Pools {
		a := p.Committed[pool]
		if a == nil || !p.live(a.Backup, a) || !p.validBackup(a.Backup, p.dispatcher[pool]) {
			unplaced = append(unplaced, pool)
			continue
		}
		p.backup[pool] = a.Backup
		p.backups[a.Backup]++
	}
	fairShare := p.fairShare()
	for _, pool := range unplaced {
		dispatcher := p.dispatcher[pool]
		id := p.best(pool, func(id string) bool { return p.validBackup(id, dispatcher) && p.backups[id] < fairShare })
		if !p.validBackup(id, dispatcher) {
			id = p.best(pool, func(id string) bool { return p.validBackup(id, dispatcher) })
		}
		if id == dispatcher {
			continue // there is no other instance
		}
		p.backup[pool] = id
		p.backups[id]++
	}
}

// validBackup reports whether an instance may be the backup of a dispatcher. It
// has to be in another data centre if there is a candidate in one.
func (p *assignmentPlan) validBackup(id, dispatcher string) bool {
	if id == dispatcher {
		return false
	}
	dataCentre := p.Entries[dispatcher].DataCentre
	if p.Entries[id].DataCentre != dataCentre {
		return true
	}
	for _, other := range p.candidates {
		if p.Entries[other].DataCentre != dataCentre {
			return false
		}
	}
	return true
}

// unchanged reports whether the committed assignment names the planned instances
// with their present incarnations.
func (p *assignmentPlan) unchanged(pool string, a *state.Assignment) bool {
	if a.Dispatcher != p.dispatcher[pool] || a.Backup != p.backup[pool] {
		return false
	}
	return p.RegisteredSince(a.Dispatcher, a.Index) && (a.Backup == "" || p.RegisteredSince(a.Backup, a.Index))
}

// changes returns the planned assignments that differ from the committed ones,
// and clears those of pools that are no longer declared.
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
			if p.unchanged(pool, a) {
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
