package workload

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// RetiredPool is a pool that the topology doesn't name any more.
type RetiredPool struct {
	// Spare reports that its instances are switched off.
	Spare bool `msgpack:"s"`
	// Since is the version of the topology that lacks it first.
	Since uint64 `msgpack:"v"`
}

// maxRetiredPools bounds the retired pools that are kept. Those that were retired first are dropped
// first.
const maxRetiredPools = 1024

// retirePools records the pools that the topology next, which is about to replace the present one,
// doesn't name.
func (s *State) retirePools(next *Topology) {
	if s.Topology != nil {
		for _, p := range s.Topology.Pools {
			s.RetiredPools[p.Name] = RetiredPool{Spare: p.Spare, Since: next.Version}
		}
	}
	for _, p := range next.Pools {
		delete(s.RetiredPools, p.Name)
	}
	for len(s.RetiredPools) > maxRetiredPools {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.RetiredPools)), func(a, b string) int {
			return cmp.Or(cmp.Compare(s.RetiredPools[a].Since, s.RetiredPools[b].Since), cmp.Compare(a, b))
		})
		delete(s.RetiredPools, oldest)
	}
}

// KnowsPool reports whether the topology names a pool, or did. Before the first topology, any pool may be
// named by it.
func (s *State) KnowsPool(name string) bool {
	_, retired := s.RetiredPools[name]
	return s.Topology == nil || retired || s.Topology.Pool(name) != nil
}

// SpareInstances reports whether the instances of a pool are switched off, so that they have no
// workers. A retired pool is as it was.
func (s *State) SpareInstances(pool string) bool {
	if p := s.Topology.Pool(pool); p != nil {
		return p.Spare
	}
	return s.RetiredPools[pool].Spare
}

// Queue returns the queue of that name, also if it is retired, or nil. Accepted jobs go on under the
// last version of their queue; calls to it are resolved by the topology alone.
func (s *State) Queue(name string) *Queue {
	if q := s.Topology.Queue(name); q != nil {
		return q
	}
	if q, retired := s.RetiredQueues[name]; retired {
		return &q
	}
	return nil
}

// Team returns the team of that name, also if it is retired, or nil. The cap of a retired one holds for
// its jobs.
func (s *State) Team(name string) *Team {
	if t := s.Topology.Team(name); t != nil {
		return t
	}
	if t, retired := s.RetiredTeams[name]; retired {
		return &t
	}
	return nil
}

// queues returns the queues of the topology and the retired ones.
func (s *State) queues() iter.Seq[*Queue] {
	return func(yield func(*Queue) bool) {
		for i := range s.Topology.Queues {
			if !yield(&s.Topology.Queues[i]) {
				return
			}
		}
		for _, q := range s.RetiredQueues {
			if !yield(&q) {
				return
			}
		}
	}
}

// teams returns the teams of the topology and the retired ones.
func (s *State) teams() iter.Seq[*Team] {
	return func(yield func(*Team) bool) {
		for i := range s.Topology.Teams {
			if !yield(&s.Topology.Teams[i]) {
				return
			}
		}
		for _, t := range s.RetiredTeams {
			if !yield(&t) {
				return
			}
		}
	}
}

// retireNames keeps the queues and teams that jobs and early cancels name and the topology next doesn't.
func (s *State) retireNames(next *Topology) {
	if s.Topology == nil {
		return
	}
	queues, teams := s.namesInUse()
	retiredQueues, retiredTeams := map[string]Queue{}, map[string]Team{}
	for q := range s.queues() {
		if queues[q.Name] && next.Queue(q.Name) == nil {
			retiredQueues[q.Name] = *q
		}
	}
	for t := range s.teams() {
		if teams[t.Name] && next.Team(t.Name) == nil {
			retiredTeams[t.Name] = *t
		}
	}
	s.RetiredQueues, s.RetiredTeams = retiredQueues, retiredTeams
}

// namesInUse returns the queues and the teams that jobs and early cancels name.
func (s *State) namesInUse() (queues, teams map[string]bool) {
	queues, teams = map[string]bool{}, map[string]bool{}
	for _, j := range s.Jobs {
		queues[j.Queue], teams[j.Team] = true, true
	}
	for _, c := range s.EarlyCancels {
		queues[c.Queue], teams[c.Team] = true, true
	}
	return queues, teams
}

// renamedQueues returns the new names of the queues that are renamed in the topology next.
func (s *State) renamedQueues(next *Topology) map[string]string {
	renamed := map[string]string{}
	for q := range s.queues() {
		if next.Queue(q.Name) != nil {
			continue
		}
		if h := next.byHost[q.Host]; h != nil {
			if other := h.byPrefix[q.Prefix]; other != nil && s.Queue(other.Name) == nil {
				renamed[q.Name] = other.Name
			}
		}
	}
	return renamed
}

// renamedTeams returns the new names of the teams that are renamed in the topology next.
func (s *State) renamedTeams(next *Topology) map[string]string {
	renamed := map[string]string{}
	for t := range s.teams() {
		if next.Team(t.Name) != nil {
			continue
		}
		for _, k := range t.Keys {
			if name, ok := next.teamByKey[k]; ok && s.Team(name) == nil {
				renamed[t.Name] = name
				break
			}
		}
	}
	return renamed
}
