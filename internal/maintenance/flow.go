package maintenance

// flow is a network for a minimum-cost maximum flow by successive shortest
// paths. The network must have no cycle before the first augmentation.
type flow struct {
	first []int // of each vertex, index into arcs, or -1
	arcs  []arc
}

// arc and its reverse are neighbours in the slice, so that i^1 is the reverse of i.
type arc struct {
	to, next, capacity, cost int
}

const noArc = -1

// vertex adds a vertex and returns its number.
func (f *flow) vertex() int {
	f.first = append(f.first, noArc)
	return len(f.first) - 1
}

// arc adds an arc and returns its number.
func (f *flow) arc(from, to, capacity, cost int) int {
	n := len(f.arcs)
	f.arcs = append(f.arcs, arc{to, f.first[from], capacity, cost}, arc{from, f.first[to], 0, -cost})
	f.first[from], f.first[to] = n, n+1
	return n
}

// used tells whether the flow uses the arc of capacity 1.
func (f *flow) used(n int) bool { return f.arcs[n].capacity == 0 }

// run augments by shortest paths until there is none left.
func (f *flow) run(source, sink int) {
	s := newSearch(len(f.first))
	for s.shortest(f, source, sink) {
		amount := s.bottleneck(f, source, sink)
		for v := sink; v != source; v = f.arcs[s.via[v]^1].to {
			f.arcs[s.via[v]].capacity -= amount
			f.arcs[s.via[v]^1].capacity += amount
		}
	}
}

// search is a label-correcting shortest path search, which copes with negative costs.
type search struct {
	cost   []int
	via    []int // arc by which a vertex was reached
	queued []bool
	queue  []int
}

const unreached = int(^uint(0) >> 1)

func newSearch(vertices int) *search {
	return &search{cost: make([]int, vertices), via: make([]int, vertices), queued: make([]bool, vertices)}
}

func (s *search) shortest(f *flow, source, sink int) bool {
	for i := range s.cost {
		s.cost[i] = unreached
	}
	s.cost[source] = 0
	s.queue = append(s.queue[:0], source)
	for head := 0; head < len(s.queue); head++ {
		v := s.queue[head]
		s.queued[v] = false
		for a := f.first[v]; a != noArc; a = f.arcs[a].next {
			s.relax(f, v, a)
		}
	}
	return s.cost[sink] != unreached
}

func (s *search) relax(f *flow, v, a int) {
	to := f.arcs[a].to
	if f.arcs[a].capacity == 0 || s.cost[v]+f.arcs[a].cost >= s.cost[to] {
		return
	}
	s.cost[to], s.via[to] = s.cost[v]+f.arcs[a].cost, a
	if !s.queued[to] {
		s.queued[to] = true
		s.queue = append(s.queue, to)
	}
}

func (s *search) bottleneck(f *flow, source, sink int) int {
	least := unreached
	for v := sink; v != source; v = f.arcs[s.via[v]^1].to {
		least = min(least, f.arcs[s.via[v]].capacity)
	}
	return least
}
