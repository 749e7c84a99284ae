package orchestrator

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// randomTopologies plays random changes of the topology beside work, moves and changes of leader.
type randomTopologies struct {
	*system
	random  *rand.Rand
	version uint64
	// pools are the regular pools besides p that the topology names.
	pools []string
	jobs  []*randomJob
}

type randomJob struct {
	id, prefix, key string
	lasts           bool
	cancelled       bool
}

const (
	randomQueues   = 3
	randomTeams    = 2
	offInstances   = 8
	randomSeeds    = 8
	randomSteps    = 30
	randomStepTime = 250 // milliseconds, at most
)

// change applies a topology that may add, retire and rename pools, queues and teams, lead queues to
// other pools, and change caps. The last one names all queues and teams, without caps.
func (r *randomTopologies) change(last bool) {
	r.version++
	t := &workload.Topology{Version: r.version, Pools: []workload.Pool{{Name: "p"}}}
	r.pools = nil
	for _, name := range []string{"x", "y"} {
		if r.random.Intn(2) == 0 {
			r.pools = append(r.pools, name)
			t.Pools = append(t.Pools, workload.Pool{Name: name})
		}
	}
	switch spare := r.random.Intn(4); {
	case last || spare < 2:
		t.Pools = append(t.Pools, workload.Pool{Name: "spare", Spare: true})
	case spare == 2:
		t.Pools = append(t.Pools, workload.Pool{Name: "spare-2", Spare: true})
	}
	for i := range randomQueues {
		if !last && r.random.Intn(3) == 0 {
			continue
		}
		q := keyedQueue(fmt.Sprintf("q%d-%d", i, r.random.Intn(2)), fmt.Sprintf("/q%d/", i))
		q.Pool = t.Pools[r.random.Intn(1+len(r.pools))].Name
		t.Queues = append(t.Queues, q)
	}
	for i := range randomTeams {
		if !last && r.random.Intn(3) == 0 {
			continue
		}
		team := teamWithKeys(fmt.Sprintf("t%d-%d", i, r.random.Intn(2)), fmt.Sprintf("k%d", i))
		if !last && r.random.Intn(2) == 0 {
			team.Cap = resources.Amount{MilliCPU: 1000 * int64(1+r.random.Intn(6))}
		}
		t.Teams = append(t.Teams, team)
	}
	r.apply(t)
}

// try makes a call once. It returns nil if it had no response.
func (r *randomTopologies) try(method string, j *randomJob, job *workload.Job) *CallResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := r.o.Call(ctx, method, &Call{Host: "h", Path: j.prefix + j.id, Key: hashOf(j.key), Remaining: 3 * time.Second, Job: job})
	if err != nil {
		return nil
	}
	return response
}

func (r *randomTopologies) submitJob() {
	j := &randomJob{
		id: jobID(fmt.Sprint(len(r.jobs), "-", r.random.Intn(1000))), prefix: fmt.Sprintf("/q%d/", r.random.Intn(randomQueues)),
		key: fmt.Sprintf("k%d", r.random.Intn(randomTeams)), lasts: r.random.Intn(3) == 0,
	}
	job := &workload.Job{Spec: "short", Steps: []workload.Step{oneCoreTasks(1 + r.random.Intn(4)), {Count: 1, Resources: oneCore, DependsOn: []int{0}}}}
	if j.lasts {
		budget := 0
		job = &workload.Job{Spec: "lasts", Steps: []workload.Step{{Count: 1, Resources: oneCore, LongRunning: true, MaxUnavailable: &budget}}}
	}
	if response := r.try(MethodSubmit, j, job); response == nil || response.Outcome == Accepted {
		r.jobs = append(r.jobs, j)
	}
}

func (r *randomTopologies) cancelJob() {
	if len(r.jobs) == 0 {
		return
	}
	j := r.jobs[r.random.Intn(len(r.jobs))]
	response := r.try(MethodCancel, j, nil)
	j.cancelled = j.cancelled || response == nil || response.Outcome == Accepted
}

func (r *randomTopologies) step() {
	switch r.random.Intn(12) {
	case 0, 1, 2:
		r.change(false)
	case 3, 4, 5:
		r.submitJob()
	case 6, 7:
		r.cancelJob()
	case 8:
		r.restart()
	case 9:
		r.withLock(func() { r.platformDown = !r.platformDown })
	case 10:
		r.startsLost.Store(!r.startsLost.Load())
	case 11:
		r.withLock(func() { r.pollsLost = !r.pollsLost })
	}
	time.Sleep(time.Duration(r.random.Intn(randomStepTime)) * time.Millisecond)
}

// unsettled returns what is left over that has to end: moves, cordons, idle instances of retired pools,
// and jobs that don't advance.
func (r *randomTopologies) unsettled() (left []string) {
	s := r.o.leadership.State()
	for id, m := range r.o.fleet.moves {
		left = append(left, fmt.Sprintf("move of %s to %s", id, m.To))
	}
	for id, w := range s.Workers {
		if w.Cordoned {
			left = append(left, "cordon of "+id)
		}
	}
	r.withLock(func() {
		for id, i := range r.instances {
			w := r.workers[i.Worker]
			if s.Topology.Pool(i.Pool) == nil && (w == nil || len(w.running) == 0) {
				left = append(left, fmt.Sprintf("%s is idle in %s", id, i.Pool))
			}
		}
		for _, j := range r.jobs {
			known := s.Jobs[j.id]
			running := 0
			for _, w := range r.workers {
				for task := range w.running {
					if task.Job == j.id {
						running++
					}
				}
			}
			switch {
			case known == nil: // its submission had no response
			case known.Status.Ended() && running > 0, !known.Status.Ended() && !j.lasts, j.lasts && !j.cancelled && running != 1:
				left = append(left, fmt.Sprintf("job %s (lasts %v, cancelled %v) of queue %s and team %s is %s and has %d runs: %v", j.id, j.lasts, j.cancelled, known.Queue, known.Team, known.Status, running, scheduling.Waits(s, known)))
			case known.Status == workload.Failed, known.Status == workload.Cancelled && !j.cancelled:
				left = append(left, fmt.Sprintf("job %s is %s", j.id, known.Status))
			}
		}
	})
	return left
}

// TestNothingIsLeftBehindByTopologies guards against what outlives the names of a topology and then
// ends or gets stuck: a leader, moves, cordons, instances of retired pools, and the jobs of queues and
// teams that are removed, renamed and added again, beside changes of leader, a platform without
// responses, and orders and lists that are lost. Stops, moves and starts must keep to their limits.
func TestNothingIsLeftBehindByTopologies(t *testing.T) {
	seed := testutil.Seed(t)
	for i := range int64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed+i), func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a", "b")
			f.lease, f.taskTime, f.migration = takeoverLease, 150*time.Millisecond, 150*time.Millisecond
			for n := range offInstances {
				f.addInstance(fmt.Sprintf("m-off-%d", n), "spare", "")
			}
			r := &randomTopologies{system: newSystem(t, f), random: rand.New(rand.NewSource(seed + i)), version: 1}
			for range randomSteps {
				r.step()
			}
			r.change(true)
			r.withLock(func() { r.platformDown, r.pollsLost = false, false })
			r.startsLost.Store(false)
			var left []string
			settled := func() bool {
				r.onLoop(func() { left = r.unsettled() })
				return len(left) == 0
			}
			if !holdsWithin(settled, 30*time.Second) {
				require.Empty(t, left)
			}
		})
	}
}

// holdsWithin waits until a condition holds and reports whether it did in time.
func holdsWithin(condition func() bool, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
