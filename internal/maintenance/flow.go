package maintenance

// flowNetwork computes a minimum-cost maximum flow by successive shortest paths.
// The network must be acyclic before the first augmentation.
type flowNetwork struct {
	firstArc []int // by vertex: index into arcs, or noArc
	arcs     []arc
}

// arc is an arc of the residual network. An arc and its reverse are adjacent in
// the slice, so that i^1 is the reverse of i.
type arc struct {
	to, next, capacity, cost int
}

const noArc = -1

// addVertex adds a vertex and returns its number.
func (f *flowNetwork) addVertex() int {
	f.firstArc = append(f.firstArc, noArc)
	return len(f.firstArc) - 1
}

// addArc adds an arc and returns its number.
func (f *flowNetwork) addArc(from, to, capacity, cost int) int {
	n := len(f.arcs)
	f.arcs = append(f.arcs, arc{to, f.firstArc[from], capacity, cost}, arc{from, f.firstArc[to], 0, -cost})
	f.firstArc[from], f.firstArc[to] = n, n+1
	return n
}

// saturated reports whether the flow uses the whole capacity of an arc.
func (f *flowNetwork) saturated(n int) bool { return f.arcs[n].capacity == 0 }

// run augments the flow along shortest paths until none is left.
func (f *flowNetwork) run(source, sink int) {
	s := newSearch(len(f.firstArc))
	for s.shortest(f, source, sink) {
		amount := s.bottleneck(f, source, sink)
		for v := sink; v != source; v = f.arcs[s.via[v]^1].to {
			f.arcs[s.via[v]].capacity -= amount
			f.arcs[s.via[v]^1].capacity += amount
		}
	}
}

// search is a label-correcting shortest-path search, which allows negative costs.
type search struct {
	cost   []int
	via    []int // by vertex: last arc of the shortest path
	queued []bool
	queue  []int
}

const unreached = int(^uint(0) >> 1)

func newSearch(vertices int) *search {
	return &search{cost: make([]int, vertices), via: make([]int, vertices), queued: make([]bool, vertices)}
}

func (s *search) shortest(f *flowNetwork, source, sink int) bool {
	for i := range s.cost {
		s.cost[i] = unreached
	}
	s.cost[source] = 0
	s.queue = append(s.queue[:0], source)
	for head := 0; head < len(s.queue); head++ {
		v := s.queue[head]
		s.queued[v] = false
		for a := f.firstArc[v]; a != noArc; a = f.arcs[a].next {
			s.relax(f, v, a)
		}
	}
	return s.cost[sink] != unreached
}

func (s *search) relax(f *flowNetwork, v, a int) {
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

func (s *search) bottleneck(f *flowNetwork, source, sink int) int {
	least := unreached
	for v := sink; v != source; v = f.arcs[s.via[v]^1].to {
		least = min(least, f.arcs[s.via[v]].capacity)
	}
	return least
}
