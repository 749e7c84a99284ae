package workload

import (
	"cmp"
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

// SpareInstances reports whether the instances of a pool are switched off, so that they have no
// workers. A retired pool is as it was.
func (s *State) SpareInstances(pool string) bool {
	if p := s.Topology.Pool(pool); p != nil {
		return p.Spare
	}
	return s.RetiredPools[pool].Spare
}
