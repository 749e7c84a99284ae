package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
)

// Parameters of the load model: a pool under open-loop arrivals with deadlines, in
// simulated time.
const (
	loadWorkers  = 12
	loadSlots    = 8
	loadCapacity = loadWorkers * loadSlots
	meanService  = 50 * time.Millisecond
	minService   = 20 * time.Millisecond
	staticParts  = 8 // entry instances of the equal static split
)

// loadLimit is the limit of a team as a multiple of its share of the slots.
const loadLimit = 2.5

var loadShares = []int{40, 20, 20, 10, 10}

func teamLimit(team int) int {
	return int(loadLimit * loadCapacity * float64(loadShares[team]) / 100)
}

// job is a request of the load model.
type job struct {
	id                         int
	team                       int
	arrival, deadline, service time.Duration
	started                    time.Duration
	ticket                     Ticket
	part                       int // of the static split, or the random endpoint
	index                      int
	end                        time.Duration
}

// strategy decides when jobs start. The load model calls it on each event.
type strategy interface {
	arrive(now time.Duration, j *job)
	ended(now time.Duration, j *job)
	tick(now time.Duration)
}

// load runs a strategy and sums up slot time, in total and for jobs that met their
// deadline.
type load struct {
	now         time.Duration
	running     indexedHeap[*job]
	useful      []float64 // by team
	used        []float64
	measureFrom time.Duration
}

func (l *load) start(j *job) {
	j.started = l.now
	j.end = min(l.now+j.service, j.deadline)
	l.running.push(j)
}

func (l *load) finish(j *job) {
	l.running.remove(j)
	if j.started < l.measureFrom {
		return
	}
	l.used[j.team] += (l.now - j.started).Seconds()
	if j.end < j.deadline {
		l.useful[j.team] += j.service.Seconds()
	}
}

type loadResult struct {
	goodput, deviation, perJob float64
}

// runLoad offers factor times the capacity, in equal parts from all teams.
func runLoad(seed uint64, factor float64, length time.Duration, newStrategy func(*load) strategy) loadResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	teams := len(loadShares)
	l := &load{
		now: time.Minute, useful: zeros(teams), used: zeros(teams), measureFrom: time.Minute + 3*time.Second,
		running: indexedHeap[*job]{
			less:  func(a, b *job) bool { return a.end < b.end },
			index: func(j *job) *int { return &j.index },
		},
	}
	s := newStrategy(l)
	end := l.measureFrom + length
	rate := factor * loadCapacity / meanService.Seconds()
	next := l.now
	nextTick := l.now
	jobs := 0
	began := time.Now()
	for l.now < end {
		completion := time.Duration(math.MaxInt64)
		if l.running.len() > 0 {
			completion = l.running.min().end
		}
		switch l.now = min(next, nextTick, completion); l.now {
		case completion:
			j := l.running.min()
			l.finish(j)
			s.ended(l.now, j)
		case next:
			jobs++
			s.arrive(l.now, &job{
				id: jobs, team: rng.IntN(teams), arrival: l.now, index: -1,
				deadline: l.now + 500*time.Millisecond + time.Duration(rng.Float64()*1.5*float64(time.Second)),
				service:  minService + time.Duration(rng.ExpFloat64()*float64(meanService-minService)),
			})
			next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		default:
			s.tick(l.now)
			nextTick += 10 * time.Millisecond
		}
	}
	r := loadResult{perJob: float64(time.Since(began).Nanoseconds()) / float64(jobs)}
	capacity := loadCapacity * length.Seconds()
	offered := factor / float64(teams)
	for i, entitled := range entitlements(offered) {
		r.goodput += l.useful[i] / capacity
		r.deviation = max(r.deviation, math.Abs(l.used[i]/capacity-entitled)/entitled)
	}
	return r
}

func zeros(n int) []float64 { return make([]float64, n) }

// entitlements divides the capacity max-min fairly by share among teams that each
// offer the same part of it.
func entitlements(offered float64) []float64 {
	parts := zeros(len(loadShares))
	for range loadShares {
		free, shares := 1.0, 0.0
		for i, s := range loadShares {
			free -= parts[i]
			if parts[i] < offered {
				shares += float64(s)
			}
		}
		for i, s := range loadShares {
			if parts[i] < offered {
				parts[i] = min(offered, parts[i]+free*float64(s)/shares)
			}
		}
	}
	return parts
}

// dispatcherStrategy starts jobs with the tickets of a Pool.
type dispatcherStrategy struct {
	f *fixture
	l *load
}

func newDispatcherStrategy(l *load) strategy {
	f := newFixture(&testing.B{}, loadWorkers)
	f.view.Teams, f.view.Grants = map[string]rules.Team{}, map[string]int{}
	for i, share := range loadShares {
		name := fmt.Sprint("t", i)
		f.view.Teams[name] = rules.Team{Share: share, Limit: teamLimit(i)}
		f.view.Grants[name] = teamLimit(i)
	}
	f.pool.Configure(f.now, f.view)
	f.announce()
	return &dispatcherStrategy{f, l}
}

type jobWaiter struct {
	l *load
	j *job
}

func (w jobWaiter) Answer(t Ticket, refusal *Refusal) {
	if refusal == nil {
		w.j.ticket = t
		w.l.start(w.j)
	}
}

func (s *dispatcherStrategy) arrive(now time.Duration, j *job) {
	s.f.pool.Acquire(now, "e2", AcquireRequest{
		Request: fmt.Sprint(j.id), Pool: "p", Queue: "q", Team: fmt.Sprint("t", j.team), Remaining: j.deadline - now,
		Idempotent: true, DataCentre: "d0", Priority: 3,
	}, jobWaiter{s.l, j})
	s.f.pool.Run(now)
}

func (s *dispatcherStrategy) ended(now time.Duration, j *job) {
	s.f.pool.Release(now, "e2", ReleaseRequest{Ticket: j.ticket.ID, Epoch: j.ticket.Epoch, Outcome: OutcomeAnswered, Duration: j.service})
	s.f.pool.Run(now)
}

func (s *dispatcherStrategy) tick(now time.Duration) {
	s.f.now = now
	if now%time.Second == 0 {
		s.f.announce()
	}
	s.f.pool.Run(now)
}

// fifoStrategy divides the slots into equal parts, sends each job to a random part
// and serves each part in order of arrival. One part is a single queue for the pool;
// staticParts parts that also divide the limits are the equal static split; one part
// for each worker is random selection.
type fifoStrategy struct {
	l       *load
	rng     *rand.Rand
	queues  [][]*job
	busy    []int
	slots   int
	split   int // number of parts of each limit
	running [][]int
}

func newFIFOStrategy(parts, split int) func(*load) strategy {
	return func(l *load) strategy {
		s := &fifoStrategy{
			l: l, rng: rand.New(rand.NewPCG(3, 4)), queues: make([][]*job, parts), busy: make([]int, parts),
			slots: loadCapacity / parts, split: split,
		}
		for range parts {
			s.running = append(s.running, make([]int, len(loadShares)))
		}
		return s
	}
}

func (s *fifoStrategy) arrive(now time.Duration, j *job) {
	j.part = s.rng.IntN(len(s.queues))
	s.queues[j.part] = append(s.queues[j.part], j)
	s.serve(now, j.part)
}

func (s *fifoStrategy) ended(now time.Duration, j *job) {
	s.busy[j.part]--
	s.running[j.part][j.team]--
	s.serve(now, j.part)
}

func (s *fifoStrategy) serve(now time.Duration, part int) {
	q := s.queues[part]
	for i := 0; i < len(q) && s.busy[part] < s.slots; {
		j := q[i]
		if j.deadline > now && s.running[part][j.team] >= teamLimit(j.team)/s.split {
			i++
			continue
		}
		q = append(q[:i], q[i+1:]...)
		if j.deadline > now {
			s.busy[part]++
			s.running[part][j.team]++
			s.l.start(j)
		}
	}
	s.queues[part] = q
}

func (s *fifoStrategy) tick(time.Duration) {}

var loadStrategies = []struct {
	name string
	new  func(*load) strategy
}{
	{"dispatcher", newDispatcherStrategy},
	{"first come first served", newFIFOStrategy(1, 1)},
	{"random selection", newFIFOStrategy(loadWorkers, 1)},
	{"equal static split", newFIFOStrategy(staticParts, staticParts)},
}

// Guards against loss of goodput under overload, and against teams that get less
// or more than their share.
func TestGoodputAndShare(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		r := runLoad(20261203, factor, 3*time.Second, newDispatcherStrategy)
		require.Greater(t, r.goodput, 0.95, "at %gx", factor)
		require.Less(t, r.deviation, 0.05, "at %gx", factor)
	}
}

// BenchmarkLoad reports the table of docs/measurements/dispatch.md.
func BenchmarkLoad(b *testing.B) {
	for _, factor := range []float64{1, 2, 5, 10} {
		for _, s := range loadStrategies {
			b.Run(fmt.Sprintf("%gx/%s", factor, s.name), func(b *testing.B) {
				var r loadResult
				for b.Loop() {
					r = runLoad(20261203, factor, 30*time.Second, s.new)
				}
				b.ReportMetric(r.goodput, "goodput")
				b.ReportMetric(100*r.deviation, "deviation-%")
			})
		}
	}
}
