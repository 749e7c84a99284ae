package workload

// HolderRecord says that a replica may order moves and maintenance in a term. It is committed
// before the first of its orders.
type HolderRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Name string
	Term uint64
}

// maxHolders bounds the replicas that are remembered. Groups have fewer replicas, and those with
// the lowest terms have ordered nothing for the longest time.
const maxHolders = 32

func (s *State) applyHolder(r *HolderRecord) {
	if r == nil || r.Term <= s.Holders[r.Name] {
		return
	}
	s.Holders[r.Name] = r.Term
	if len(s.Holders) <= maxHolders {
		return
	}
	oldest := r.Name
	for name, term := range s.Holders {
		if term < s.Holders[oldest] || term == s.Holders[oldest] && name < oldest {
			oldest = name
		}
	}
	delete(s.Holders, oldest)
}

// OthersOrderedSince reports whether another replica may have ordered instances since the last
// term in which the named one could. A replica that could in no term has ordered none.
func (s *State) OthersOrderedSince(name string) bool {
	own, held := s.Holders[name]
	if !held {
		return false
	}
	for other, term := range s.Holders {
		if other != name && term > own {
			return true
		}
	}
	return false
}
