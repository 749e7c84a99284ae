package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testInput(pools, perPool int, size state.Resources) Input {
	in := Input{Now: epoch, Model: NewUsageModel(), Health: map[string]Health{}, TeamRunning: map[string]int{}, Rules: &rules.Rules{
		Pools: map[string]rules.Pool{}, Teams: map[string]rules.Team{},
	}}
	for p := range pools {
		name := fmt.Sprint("p", p)
		in.Rules.Pools[name] = rules.Pool{Name: name}
		for i := range perPool {
			in.Instances = append(in.Instances, state.Instance{
				ID: fmt.Sprintf("%s-%d", name, i), Pool: name, PoolEpoch: 1, Condition: state.Active,
				Resources: size, Rack: fmt.Sprint("r", i/4),
			})
		}
	}
	for _, t := range []string{"a", "b", "c"} {
		in.Rules.Teams[t] = rules.Team{Name: t, Share: 1, Limit: 20}
	}
	return in
}

func newJob(id, team string, kind state.JobKind, cpu int64) state.Job {
	return state.Job{ID: id, Team: team, Pool: "p0", Kind: kind, Priority: 5, Status: state.JobWaiting, Declared: state.Resources{MilliCPU: cpu, MemoryMB: cpu}}
}

func applyPlan(in *Input, p Plan) {
	jobs := map[string]*state.Job{}
	for i := range in.Jobs {
		jobs[in.Jobs[i].ID] = &in.Jobs[i]
	}
	for _, s := range p.Start {
		jobs[s.Job].Status = state.JobRunning
		in.Tasks = append(in.Tasks, state.Task{ID: "t-" + s.Job, Job: s.Job, Instance: s.Instance, Reserved: s.Reserved, Status: state.TaskRunning, StartedAt: in.Now})
	}
	stop := map[string]bool{}
	for _, v := range p.Preempt {
		stop[v.Task] = true
	}
	var tasks []state.Task
	for _, t := range in.Tasks {
		if stop[t.ID] {
			jobs[t.Job].Status = state.JobWaiting
			continue
		}
		tasks = append(tasks, t)
	}
	in.Tasks = tasks
}

// Guards against plans that overcommit an instance, exceed a team's limit, use
// an instance of another pool or one that is not active.
func TestRandomPlansRespectLimits(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		in := testInput(3, 8, state.Resources{MilliCPU: 16000, MemoryMB: 64000})
		for i := range in.Instances {
			if rng.IntN(5) == 0 {
				in.Instances[i].Condition = state.Draining
			}
		}
		for round := range 5 {
			for n := range 20 {
				kind := []state.JobKind{state.Batch, state.Batch, state.Urgent, state.Workspace}[rng.IntN(4)]
				j := newJob(fmt.Sprintf("j%d-%d", round, n), []string{"a", "b", "c"}[rng.IntN(3)], kind, 500+rng.Int64N(9000))
				j.Pool = fmt.Sprint("p", rng.IntN(3))
				in.Jobs = append(in.Jobs, j)
			}
			applyPlan(&in, MakePlan(in))
			requireLimits(t, in, seed)
		}
	}
}

func requireLimits(t *testing.T, in Input, seed uint64) {
	t.Helper()
	used, teams := map[string]state.Resources{}, map[string]int{}
	jobs := map[string]state.Job{}
	for _, j := range in.Jobs {
		jobs[j.ID] = j
	}
	for _, task := range in.Tasks {
		used[task.Instance] = used[task.Instance].Plus(task.Reserved)
		teams[jobs[task.Job].Team]++
	}
	for _, i := range in.Instances {
		require.True(t, used[i.ID].Fits(i.Resources), "seed %d: instance %s", seed, i.ID)
		require.True(t, i.Condition == state.Active || used[i.ID] == state.Resources{}, "seed %d: instance %s is draining", seed, i.ID)
	}
	for team, n := range teams {
		require.LessOrEqual(t, n, in.Rules.Teams[team].Limit, "seed %d: team %s", seed, team)
	}
	for _, task := range in.Tasks {
		require.Equal(t, jobs[task.Job].Pool, task.Instance[:2], "seed %d", seed)
	}
}

// Guards against a job that can never run and blocks the jobs queued behind it.
func TestInfeasibleJobIsRefusedWithoutBlockingOthers(t *testing.T) {
	in := testInput(1, 1, state.Resources{MilliCPU: 1000, MemoryMB: 1000})
	in.Jobs = []state.Job{newJob("big", "a", state.Urgent, 2000), newJob("fine", "a", state.Batch, 1000)}
	p := MakePlan(in)
	require.Len(t, p.Refuse, 1)
	require.Contains(t, p.Refuse[0].Reason, "large enough")
	require.Len(t, p.Start, 1)
}

// Guards against urgent jobs that wait for batch tasks to end.
func TestUrgentJobPreemptsLowestPriorityBatchTask(t *testing.T) {
	in := testInput(1, 1, state.Resources{MilliCPU: 2000, MemoryMB: 2000})
	low, high := newJob("low", "a", state.Batch, 1000), newJob("high", "a", state.Batch, 1000)
	low.Priority, high.Priority = 7, 1
	in.Jobs = []state.Job{low, high}
	applyPlan(&in, MakePlan(in))
	require.Len(t, in.Tasks, 2)
	in.Jobs = append(in.Jobs, newJob("now", "b", state.Urgent, 1000))
	p := MakePlan(in)
	require.Equal(t, []Preemption{{Task: "t-low", For: "now"}}, p.Preempt)
	applyPlan(&in, p)
	require.Equal(t, "now", MakePlan(in).Start[0].Job)
}

// Guards against an instance that fails every task and keeps receiving new ones.
func TestEjectedInstanceGetsOneTrialTaskAtATime(t *testing.T) {
	in := testInput(1, 1, state.Resources{MilliCPU: 8000, MemoryMB: 8000})
	h := Health{}
	for i := range failuresToEject {
		require.False(t, h.Ejected())
		h = h.AfterFailure(in.Now, fmt.Sprint(i))
		h = h.AfterFailure(in.Now, fmt.Sprint(i))
	}
	in.Health["p0-0"] = h
	in.Jobs = []state.Job{newJob("1", "a", state.Batch, 1000), newJob("2", "a", state.Batch, 1000)}
	require.Empty(t, MakePlan(in).Start)
	in.Now = h.EjectedUntil
	require.Len(t, MakePlan(in).Start, 1)
}

// Guards against reservations that follow the declared size although the
// observed usage differs.
func TestReservationFollowsObservedUsage(t *testing.T) {
	m := NewUsageModel()
	j := newJob("1", "a", state.Batch, 1000)
	for range 200 {
		m.Observe(&j, state.Resources{MilliCPU: 300, MemoryMB: 3000})
	}
	r := m.Reserve(&j)
	require.InDelta(t, 300, r.MilliCPU, 60)
	require.InDelta(t, 3000, r.MemoryMB, 300)
}

// Guards against reliefs that affect urgent or high-priority tasks, or that skip
// a milder relief.
func TestReliefEscalatesWithDuration(t *testing.T) {
	jobs := map[string]*state.Job{"u": {Kind: state.Urgent}, "x": {Kind: state.Batch, Priority: 6}, "y": {Kind: state.Batch, Priority: 2}}
	tasks := []state.Task{{ID: "1", Job: "u", Status: state.TaskRunning}, {ID: "2", Job: "y", Status: state.TaskRunning}, {ID: "3", Job: "x", Status: state.TaskRunning}}
	require.Equal(t, []Action{{"3", Throttle}}, Relieve(tasks, jobs, 0))
	require.Equal(t, []Action{{"3", Checkpoint}}, Relieve(tasks, jobs, checkpointAfter))
	require.Equal(t, []Action{{"3", StopTask}}, Relieve(tasks, jobs, stopAfter))
}

// BenchmarkPlacement plans 1 and 200 waiting jobs for a pool of 1,500 instances
// with 5,000 tasks. The figure for one job includes indexing the snapshot, which
// happens once per plan.
func BenchmarkPlacement(b *testing.B) {
	for _, waiting := range []int{1, 200} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			in := testInput(1, 1500, state.Resources{MilliCPU: 16000, MemoryMB: 64000})
			in.Rules.Teams["a"] = rules.Team{Share: 1, Limit: 10000}
			for i := range 5000 {
				in.Jobs = append(in.Jobs, newJob(fmt.Sprint("r", i), "a", state.Batch, 2000))
			}
			applyPlan(&in, MakePlan(in))
			for i := range waiting {
				in.Jobs = append(in.Jobs, newJob(fmt.Sprint("new", i), "a", state.Urgent, 2000))
			}
			for b.Loop() {
				MakePlan(in)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*waiting), "µs/job")
		})
	}
}
