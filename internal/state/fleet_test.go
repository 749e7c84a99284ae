package state

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const fleetRules = `region r # Asha: one region
datacentre d region=r # Asha: one hall
pool a min=1 max=9 unavailable=2 period=35d # Asha: first
pool b min=1 max=9 unavailable=2 period=35d # Asha: second
team x share=1 limit=4 # Asha: contract
team y share=1 limit=3 # Asha: contract
domain rack unavailable=1 # Asha: one instance of a rack at a time
`

func newFleet(t *testing.T, perPool int) *stateMachine {
	t.Helper()
	m := &stateMachine{State: New()}
	require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Text: fleetRules, Author: "test"}}).Err)
	var all []Instance
	for i := range perPool {
		for _, pool := range []string{"a", "b"} {
			all = append(all, Instance{
				ID: fmt.Sprint(pool, i), Pool: pool, DataCentre: "d", Region: "r", Rack: fmt.Sprint("k", i/2),
				Resources: Resources{MilliCPU: 1000, MemoryMB: 1000},
			})
		}
	}
	require.Nil(t, m.do(Command{UpsertInstances: &UpsertInstances{all}}).Err)
	return m
}

func randomFleetCommand(r *rand.Rand, s *State) Command {
	pick := func(names ...string) string { return names[r.Intn(len(names))] }
	c := Command{Time: s.Clock.Add(time.Second)}
	id := fmt.Sprint(pick("a", "b"), r.Intn(6))
	n := s.Instances[id]
	job := fmt.Sprint("j", r.Intn(60))
	switch r.Intn(9) {
	case 0:
		c.StartWave = &StartWave{ID: fmt.Sprint("w", r.Intn(20)), Pools: []string{pick("a", "b")}, By: pick("p", "q")}
	case 1:
		c.ControlWave = &ControlWave{ID: fmt.Sprint("w", r.Intn(20)), Status: WaveStatus(pick("paused", "running", "stopped"))}
	case 2, 3:
		next := conditionTransitions[n.Condition]
		c.SetCondition = &SetCondition{ID: id, From: n.Condition, To: next[r.Intn(len(next))]}
		if c.SetCondition.To == Draining && r.Intn(2) == 0 {
			c.SetCondition.Wave = fmt.Sprint("w", r.Intn(20))
		}
	case 4:
		c.MoveInstance = &MoveInstance{ID: id, From: n.Pool, To: pick("a", "b"), Epoch: n.PoolEpoch}
	case 5:
		c.SubmitJobs = &SubmitJobs{[]Job{{ID: job, Team: pick("x", "y"), Pool: pick("a", "b"), Kind: Batch, Declared: Resources{MilliCPU: int64(1 + r.Intn(900))}}}}
	case 6:
		c.CancelJobs = &CancelJobs{IDs: []string{job, fmt.Sprint("j", r.Intn(60))}, By: "p"}
	case 7:
		c.PlaceTasks = &PlaceTasks{Start: []Task{{ID: fmt.Sprint("t", s.Index), Job: job, Instance: id, PoolEpoch: n.PoolEpoch, Reserved: Resources{MilliCPU: int64(1 + r.Intn(900))}}}}
	default:
		for _, t := range s.Tasks {
			c.ReportTasks = &ReportTasks{[]TaskReport{{Task: t.ID, Status: TaskStatus(pick("running", "ended")), Failed: r.Intn(2) == 0}}}
			break
		}
		if c.ReportTasks == nil {
			c.ReportTasks = &ReportTasks{}
		}
	}
	return c
}

// TestRandomFleetCommands applies random sequences of commands about waves,
// instances and jobs. It guards against a drain beyond a budget, a team above its
// limit, an overcommitted instance, an instance that runs tasks of two pools, a
// job that runs twice at once, and counters that differ from what they count.
func TestRandomFleetCommands(t *testing.T) {
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		m := newFleet(t, 6)
		for range 600 {
			c := randomFleetCommand(r, m.State)
			before := countUnavailable(m.State)
			result := m.do(c)
			if result.Err == nil && c.SetCondition != nil && c.SetCondition.To == Draining {
				inst := m.Instances[c.SetCondition.ID]
				require.Less(t, before[inst.Pool], 2, "seed %d: drain beyond the budget of the pool", seed)
				require.Zero(t, before[inst.Rack], "seed %d: drain beyond the budget of the rack", seed)
			}
			requireFleetInvariants(t, m.State, seed)
		}
		require.Equal(t, replicatedState(t, m.State).tasksByTeam, nonZero(m.tasksByTeam), "seed %d", seed)
	}
}

// countUnavailable returns the number of instances out of service by pool and by
// rack.
func countUnavailable(s *State) map[string]int {
	out := map[string]int{}
	for _, n := range s.Instances {
		if n.Condition != Active {
			out[n.Pool]++
			out[n.Rack]++
		}
	}
	return out
}

func nonZero(in map[string]int) map[string]int {
	out := map[string]int{}
	for k, v := range in {
		if v != 0 {
			out[k] = v
		}
	}
	return out
}

func requireFleetInvariants(t *testing.T, s *State, seed int64) {
	t.Helper()
	used, teams, jobs := map[string]Resources{}, map[string]int{}, map[string]int{}
	epochs := map[string]uint64{}
	for _, task := range s.Tasks {
		used[task.Instance] = used[task.Instance].Plus(task.Reserved)
		teams[s.Jobs[task.Job].Team]++
		jobs[task.Job]++
		if e, ok := epochs[task.Instance]; ok {
			require.Equal(t, e, task.PoolEpoch, "seed %d: instance %s runs work of two pools", seed, task.Instance)
		}
		epochs[task.Instance] = task.PoolEpoch
	}
	for id, u := range used {
		require.True(t, u.Fits(s.Instances[id].Resources), "seed %d: instance %s is overfull", seed, id)
	}
	for team, n := range teams {
		require.LessOrEqual(t, n, s.TeamLimit(team), "seed %d: team %s", seed, team)
	}
	for job, n := range jobs {
		require.Equal(t, 1, n, "seed %d: job %s runs twice at once", seed, job)
	}
	live := 0
	for _, j := range s.Jobs {
		if !j.Ended() {
			live++
		}
	}
	require.Equal(t, live, s.liveJobs, "seed %d", seed)
	for _, n := range s.Instances {
		require.False(t, n.Condition == Drained && s.TasksOn(n.ID) > 0, "seed %d: instance %s is drained and runs tasks", seed, n.ID)
	}
}

// TestSecondWaveOverAPoolIsAConflict guards against two waves over one pool,
// started concurrently by two operators.
func TestSecondWaveOverAPoolIsAConflict(t *testing.T) {
	m := newFleet(t, 3)
	require.Nil(t, m.do(Command{StartWave: &StartWave{ID: "w1", Pools: []string{"a"}, By: "first"}}).Err)
	err := m.do(Command{StartWave: &StartWave{ID: "w2", By: "second"}}).Err
	require.Equal(t, CodeConflict, code(err))
	require.Contains(t, err.Text, "started by first")
	require.Nil(t, m.do(Command{StartWave: &StartWave{ID: "w3", Pools: []string{"b"}, By: "second"}}).Err)
}

// TestStoppedWaveReleasesDrainedInstances guards against a stopped wave that
// leaves instances out of service.
func TestStoppedWaveReleasesDrainedInstances(t *testing.T) {
	m := newFleet(t, 3)
	require.Nil(t, m.do(Command{StartWave: &StartWave{ID: "w", Pools: []string{"a"}}}).Err)
	require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "a0", From: Active, To: Draining, Wave: "w"}}).Err)
	require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "a0", From: Draining, To: Drained}}).Err)
	require.Nil(t, m.do(Command{ControlWave: &ControlWave{ID: "w", Status: WaveStopped, Reason: "test"}}).Err)
	require.Equal(t, Active, m.Instances["a0"].Condition)
	require.Len(t, m.Waves["w"].Todo, 3)
}

// TestWaveEndsWhenEveryInstanceWasRebooted guards against a wave that never ends,
// and against an instance that counts as maintained without a reboot because its
// drain was cancelled.
func TestWaveEndsWhenEveryInstanceWasRebooted(t *testing.T) {
	m := newFleet(t, 1)
	require.Nil(t, m.do(Command{StartWave: &StartWave{ID: "w", Pools: []string{"a"}}}).Err)
	for _, step := range [][2]Condition{{Active, Draining}, {Draining, Active}, {Active, Draining}, {Draining, Drained}, {Drained, Rebooting}} {
		require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "a0", From: step[0], To: step[1], Wave: "w"}}).Err)
		require.Equal(t, WaveRunning, m.Waves["w"].Status)
	}
	require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "a0", From: Rebooting, To: Active}}).Err)
	require.Equal(t, WaveDone, m.Waves["w"].Status)
	require.Equal(t, []string{"a0"}, m.Waves["w"].Done)
}

// TestJobFailsAfterMaxAttempts guards against a job that is retried without limit
// although its tasks fail.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	m := newFleet(t, 1)
	require.Nil(t, m.do(Command{SubmitJobs: &SubmitJobs{[]Job{{ID: "j", Team: "x", Pool: "a", Kind: Batch, Declared: Resources{MilliCPU: 1}}}}}).Err)
	for i := range maxAttempts {
		require.Equal(t, JobWaiting, m.Jobs["j"].Status)
		id := fmt.Sprint("t", i)
		require.Nil(t, m.do(Command{PlaceTasks: &PlaceTasks{Start: []Task{{ID: id, Job: "j", Instance: "a0", PoolEpoch: 1}}}}).Err)
		require.Nil(t, m.do(Command{ReportTasks: &ReportTasks{[]TaskReport{{Task: id, Status: TaskEnded, Failed: true}}}}).Err)
	}
	require.Equal(t, JobFailed, m.Jobs["j"].Status)
}

// TestMovedInstanceWaitsForTasksOfFormerPool guards against tasks of two pools on
// one instance after a move.
func TestMovedInstanceWaitsForTasksOfFormerPool(t *testing.T) {
	m := newFleet(t, 2)
	submit := func(id, pool string) {
		require.Nil(t, m.do(Command{SubmitJobs: &SubmitJobs{[]Job{{ID: id, Team: "x", Pool: pool, Kind: Batch, Declared: Resources{MilliCPU: 1}}}}}).Err)
	}
	place := func(id, job string, epoch uint64) *Error {
		return m.do(Command{PlaceTasks: &PlaceTasks{Start: []Task{{ID: id, Job: job, Instance: "a0", PoolEpoch: epoch}}}}).Err
	}
	submit("old", "a")
	submit("new", "b")
	require.Nil(t, place("t1", "old", 1))
	require.Equal(t, CodeStale, code(place("t2", "old", 1)), "the job runs already")
	require.Nil(t, m.do(Command{MoveInstance: &MoveInstance{ID: "a0", From: "a", To: "b", Epoch: 1}}).Err)
	require.Equal(t, CodeStale, code(place("t3", "new", 2)))
	require.Nil(t, m.do(Command{ReportTasks: &ReportTasks{[]TaskReport{{Task: "t1", Status: TaskEnded}}}}).Err)
	require.Nil(t, place("t3", "new", 2))
}

// TestTasksAndGrantsShareTheLimit guards against a team whose tasks and grants
// exceed its limit together although each is within it.
func TestTasksAndGrantsShareTheLimit(t *testing.T) {
	m := newFleet(t, 2)
	require.Nil(t, m.do(Command{RegisterEntry: &RegisterEntry{Entry{ID: "e1", Incarnation: 1}}}).Err)
	require.Nil(t, m.assign("a", "e1", "", 1))
	require.Nil(t, m.grant(Grant{Team: "y", Pool: "a", Epoch: 1, Amount: 2, Held: 2}))
	start := func(n int) *Error {
		job, task := fmt.Sprint("j", n), fmt.Sprint("t", n)
		require.Nil(t, m.do(Command{SubmitJobs: &SubmitJobs{[]Job{{ID: job, Team: "y", Pool: "a", Kind: Batch, Declared: Resources{MilliCPU: 1}}}}}).Err)
		return m.do(Command{PlaceTasks: &PlaceTasks{Start: []Task{{ID: task, Job: job, Instance: "a0", PoolEpoch: 1}}}}).Err
	}
	require.Nil(t, start(1))
	require.Equal(t, CodeInvariant, code(start(2)))
	require.Equal(t, CodeInvariant, code(m.grant(Grant{Team: "y", Pool: "a", Epoch: 1, Amount: 3, Held: 3})))
}

// TestForgetInstancesRemovesOnlyIdleLostInstances guards against a state that
// grows with every replaced instance, and against the removal of an instance that
// is in use or may still run tasks.
func TestForgetInstancesRemovesOnlyIdleLostInstances(t *testing.T) {
	m := newFleet(t, 2)
	forget := Command{ForgetInstances: &ForgetInstances{IDs: []string{"a0"}}}
	require.Equal(t, CodeStale, code(m.do(forget).Err))
	require.Nil(t, m.do(Command{SubmitJobs: &SubmitJobs{[]Job{{ID: "j", Team: "x", Pool: "a", Kind: Batch, Declared: Resources{MilliCPU: 1}}}}}).Err)
	require.Nil(t, m.do(Command{PlaceTasks: &PlaceTasks{Start: []Task{{ID: "t", Job: "j", Instance: "a0", PoolEpoch: 1}}}}).Err)
	require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "a0", From: Active, To: Lost}}).Err)
	require.Equal(t, CodeStale, code(m.do(forget).Err))
	require.Nil(t, m.do(Command{ReportTasks: &ReportTasks{[]TaskReport{{Task: "t", Status: TaskEnded, Failed: true}}}}).Err)
	before := m.Index
	require.Nil(t, m.do(forget).Err)
	require.Nil(t, m.Instances["a0"])
	require.Equal(t, []string{"a0"}, m.ChangesSince(before).Instances)
}

// TestRefusedJobWaitsAgainWhenTheFleetChanges guards against a job that stays
// refused after a large enough instance has been added to its pool or the rules
// have changed.
func TestRefusedJobWaitsAgainWhenTheFleetChanges(t *testing.T) {
	m := newFleet(t, 1)
	job := Job{ID: "big", Team: "x", Pool: "a", Kind: Batch, Declared: Resources{MilliCPU: 5000}}
	require.Nil(t, m.do(Command{SubmitJobs: &SubmitJobs{[]Job{job}}}).Err)
	refuse := Command{PlaceTasks: &PlaceTasks{Refuse: []JobRefusal{{Job: "big", Reason: "too large"}}}}
	require.Nil(t, m.do(refuse).Err)
	require.Equal(t, JobRefused, m.Jobs["big"].Status)
	add := func(pool string) {
		large := Instance{ID: "large-" + pool, Pool: pool, Resources: Resources{MilliCPU: 9000}}
		require.Nil(t, m.do(Command{UpsertInstances: &UpsertInstances{[]Instance{large}}}).Err)
	}
	add("b")
	require.Equal(t, JobRefused, m.Jobs["big"].Status)
	add("a")
	require.Equal(t, JobWaiting, m.Jobs["big"].Status)
	require.Nil(t, m.do(refuse).Err)
	require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Expected: 1, Text: fleetRules}}).Err)
	require.Equal(t, JobWaiting, m.Jobs["big"].Status)
	require.Equal(t, 1, m.liveJobs)
}
