package fleet

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/platform"
	"cactusspar/internal/standin"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
)

const testRules = `region r # Asha: one region
datacentre d region=r # Asha: one hall
pool a min=1 max=12 unavailable=2 period=35d # Asha: first
pool s min=1 max=12 unavailable=1 period=35d # Asha: spare
team x share=1 limit=40 # Asha: contract
team y share=1 limit=40 # Asha: contract
spare s # Asha: lends
weight buffer=1 share=4 rollout=1 moves=1 # Asha: weights
`

// fakeControl is a control replica without replication.
type fakeControl struct {
	mu      sync.Mutex
	s       *state.State
	signals Signals
	// maxUnavailable is the maximum number of unavailable instances, by pool.
	maxUnavailable map[string]int
}

func (c *fakeControl) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd.Time = time.Now()
	r := c.s.Apply(c.s.Index+1, cmd)
	unavailable := map[string]int{}
	for _, i := range c.s.Instances {
		if i.Condition != state.Active {
			unavailable[i.Pool]++
			c.maxUnavailable[i.Pool] = max(c.maxUnavailable[i.Pool], unavailable[i.Pool])
		}
	}
	return r, nil
}

func (c *fakeControl) Read(_ context.Context, f func(*state.State)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.s)
	return nil
}

func (c *fakeControl) Signals(context.Context) (Signals, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.signals
	out.Drained = map[string]bool{}
	for id, i := range c.s.Instances {
		out.Drained[id] = i.Condition == state.Draining
	}
	return out, nil
}

type fixture struct {
	*fakeControl
	platform *standin.Platform
	driver   *Driver
	opts     Options
}

func newFixture(t *testing.T, cfg standin.PlatformConfig, perPool int) *fixture {
	t.Helper()
	c := &fakeControl{s: state.New(), maxUnavailable: map[string]int{}, signals: Signals{Term: 1}}
	f := &fixture{fakeControl: c}
	f.mustPropose(t, state.Command{ApplyRules: &state.ApplyRules{Text: testRules, Author: "test"}})
	var instances []state.Instance
	var ids []string
	for i := range perPool {
		for _, pool := range []string{"a", "s"} {
			id := fmt.Sprint(pool, i)
			ids = append(ids, id)
			instances = append(instances, state.Instance{
				ID: id, Pool: pool, DataCentre: "d", Region: "r", Rack: fmt.Sprint("k", i/4), Slots: 8,
				Resources: state.Resources{MilliCPU: 4000, MemoryMB: 4000},
			})
		}
	}
	f.mustPropose(t, state.Command{UpsertInstances: &state.UpsertInstances{Instances: instances}})
	f.platform = standin.NewPlatform(cfg, ids...)
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.opts = Options{
		Control: c, Platform: platform.NewClient(server.URL, nil), Log: logr.Discard(), Metrics: telemetry.NewMetrics(),
		ReturnLimit: 2 * time.Second,
	}
	f.driver = New(f.opts)
	return f
}

func (f *fixture) mustPropose(t *testing.T, c state.Command) {
	t.Helper()
	r, err := f.Propose(context.Background(), c)
	require.NoError(t, err)
	require.Nil(t, r.Err)
}

// runUntil runs rounds until done holds for the state.
func (f *fixture) runUntil(t *testing.T, limit time.Duration, done func(*state.State) bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		f.driver.round(context.Background())
		ok := false
		_ = f.Read(context.Background(), func(s *state.State) { ok = done(s) })
		if ok {
			return
		}
		require.True(t, time.Now().Before(end), "not reached within %v", limit)
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a wave that exceeds a budget, reboots an instance twice or makes
// no progress when the platform's responses are lost and the leader changes
// during the wave.
func TestWaveCompletesDespiteLostResponsesAndLeaderChange(t *testing.T) {
	var mu sync.Mutex
	downs := map[string]int{}
	f := newFixture(t, standin.PlatformConfig{
		RebootTime: 5 * time.Millisecond, LostAnswers: 0.3, Seed: 3,
		Down: func(id string) { mu.Lock(); downs[id]++; mu.Unlock() },
	}, 8)
	f.mustPropose(t, state.Command{StartWave: &state.StartWave{ID: "w", By: "test"}})
	f.runUntil(t, 10*time.Second, func(s *state.State) bool { return len(s.Waves["w"].Done) >= 5 })
	f.driver = New(f.opts)
	f.signals.Term = 2
	f.runUntil(t, 20*time.Second, func(s *state.State) bool { return s.Waves["w"].Status == state.WaveDone })
	require.Len(t, f.s.Waves["w"].Done, 16)
	require.LessOrEqual(t, f.maxUnavailable["a"], 2)
	require.LessOrEqual(t, f.maxUnavailable["s"], 1)
	mu.Lock()
	defer mu.Unlock()
	for id, n := range downs {
		require.Equal(t, 1, n, "instance %s", id)
	}
}

// Guards against a wave that continues although an instance did not return from
// its reboot.
func TestWaveStopsWhenAnInstanceNeverReturns(t *testing.T) {
	f := newFixture(t, standin.PlatformConfig{RebootTime: time.Millisecond}, 4)
	f.platform.NeverReturns("a1")
	f.mustPropose(t, state.Command{StartWave: &state.StartWave{ID: "w", Pools: []string{"a"}, By: "test"}})
	f.runUntil(t, 10*time.Second, func(s *state.State) bool { return s.Waves["w"].Status == state.WaveStopped })
	require.Contains(t, f.s.Waves["w"].Reason, "a1 did not return")
	require.Equal(t, state.Rebooting, f.s.Instances["a1"].Condition)
}

func newJob(id, team string, kind state.JobKind, cpu int64) state.Job {
	return state.Job{ID: id, Team: team, Pool: "a", Kind: kind, Priority: 5, Declared: state.Resources{MilliCPU: cpu, MemoryMB: 100}}
}

// Guards against tasks that run twice or never when the platform's responses are
// lost, and against jobs that end with the wrong status.
func TestJobsRunOnceDespiteLostResponses(t *testing.T) {
	f := newFixture(t, standin.PlatformConfig{
		LostAnswers: 0.3, Seed: 5, RunTime: func(string) time.Duration { return 20 * time.Millisecond },
	}, 4)
	var jobs []state.Job
	for i := range 30 {
		jobs = append(jobs, newJob(fmt.Sprint("j", i), "x", state.Batch, 900))
	}
	jobs = append(jobs, newJob("huge", "x", state.Batch, 99000))
	f.mustPropose(t, state.Command{SubmitJobs: &state.SubmitJobs{Jobs: jobs}})
	f.runUntil(t, 20*time.Second, func(s *state.State) bool {
		for _, j := range s.Jobs {
			if !j.Ended() {
				return false
			}
		}
		return true
	})
	for id, j := range f.s.Jobs {
		want := state.JobDone
		if id == "huge" {
			want = state.JobRefused
		}
		require.Equal(t, want, j.Status, "job %s: %s", id, j.Reason)
	}
	require.Len(t, f.platform.Starts(), 30)
	for id, n := range f.platform.Starts() {
		require.Equal(t, 1, n, "task %s", id)
	}
}

// Guards against an urgent job that starts later than 5.5 s after its submission
// because batch tasks occupy the pool.
func TestUrgentJobStartsWithinLimit(t *testing.T) {
	f := newFixture(t, standin.PlatformConfig{RunTime: func(string) time.Duration { return time.Hour }}, 2)
	var jobs []state.Job
	for i := range 8 {
		jobs = append(jobs, newJob(fmt.Sprint("j", i), "x", state.Batch, 1000))
	}
	f.mustPropose(t, state.Command{SubmitJobs: &state.SubmitJobs{Jobs: jobs}})
	f.runUntil(t, 5*time.Second, func(s *state.State) bool { return len(s.Tasks) == 8 })
	f.mustPropose(t, state.Command{SubmitJobs: &state.SubmitJobs{Jobs: []state.Job{newJob("now", "y", state.Urgent, 1500)}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	began := time.Now()
	go func() { defer close(done); f.driver.Run(ctx) }()
	require.Eventually(t, func() bool {
		for id := range f.platform.Starts() {
			if len(id) > 3 && id[:3] == "now" {
				return true
			}
		}
		return false
	}, 5500*time.Millisecond, 20*time.Millisecond)
	t.Logf("urgent job started after %v", time.Since(began))
	cancel()
	<-done
}

// Guards against an instance that fails every task and keeps receiving new ones.
func TestFailingInstanceIsEjected(t *testing.T) {
	f := newFixture(t, standin.PlatformConfig{
		RunTime: func(string) time.Duration { return time.Millisecond }, Fails: func(id string) bool { return id == "a0" },
	}, 3)
	var jobs []state.Job
	for i := range 40 {
		jobs = append(jobs, newJob(fmt.Sprint("j", i), "x", state.Batch, 3000))
	}
	f.mustPropose(t, state.Command{SubmitJobs: &state.SubmitJobs{Jobs: jobs}})
	f.runUntil(t, 20*time.Second, func(s *state.State) bool {
		done := 0
		for _, j := range s.Jobs {
			if j.Status == state.JobDone {
				done++
			}
		}
		return done == 40
	})
}

// heldPlatform is a platform whose starts and reboots wait in transit until release is
// closed.
type heldPlatform struct {
	Platform
	held, release chan struct{}
}

func newHeldPlatform(p Platform) *heldPlatform {
	return &heldPlatform{Platform: p, held: make(chan struct{}, 100), release: make(chan struct{})}
}

func (p *heldPlatform) wait(ctx context.Context) error {
	p.held <- struct{}{}
	select {
	case <-p.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *heldPlatform) Start(ctx context.Context, task string, s platform.StartTask) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	return p.Platform.Start(ctx, task, s)
}

func (p *heldPlatform) Reboot(ctx context.Context, instance, request string) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	return p.Platform.Reboot(ctx, instance, request)
}

// TestDelayedStartOfFormerLeaderDoesNotRunJobTwice guards against a start that a former
// leader decided and that takes effect after its successor has stopped the task, counted it
// as ended and started the job again.
func TestDelayedStartOfFormerLeaderDoesNotRunJobTwice(t *testing.T) {
	f := newFixture(t, standin.PlatformConfig{}, 2)
	f.mustPropose(t, state.Command{SubmitJobs: &state.SubmitJobs{Jobs: []state.Job{newJob("j", "x", state.Batch, 900)}}})
	f.runUntil(t, 10*time.Second, func(s *state.State) bool { return len(s.Tasks) == 1 })
	var task string
	for id := range f.s.Tasks {
		task = id
	}
	transit := newHeldPlatform(f.opts.Platform)
	opts := f.opts
	opts.Platform = transit
	former := New(opts)
	done := make(chan struct{})
	go func() { defer close(done); former.round(context.Background()) }()
	<-transit.held

	f.driver = New(f.opts)
	f.signals.Term = 2
	f.mustPropose(t, state.Command{PlaceTasks: &state.PlaceTasks{Stop: []string{task}}})
	f.runUntil(t, 10*time.Second, func(s *state.State) bool {
		for id, next := range s.Tasks {
			if id != task && next.Status == state.TaskRunning {
				return true
			}
		}
		return false
	})
	close(transit.release)
	<-done
	infos, err := f.opts.Platform.Tasks(context.Background())
	require.NoError(t, err)
	running := 0
	for _, info := range infos {
		if info.Status == state.TaskRunning {
			running++
		}
	}
	require.Equal(t, 1, running, "running tasks of one job")
}

// TestDelayedRebootSparesActiveInstance guards against a reboot that a former or the present
// leader decided and that takes effect after an operator has put the instance back into
// use.
func TestDelayedRebootSparesActiveInstance(t *testing.T) {
	down := make(chan string, 100)
	f := newFixture(t, standin.PlatformConfig{RebootTime: time.Hour, Down: func(id string) { down <- id }}, 4)
	transit := newHeldPlatform(f.opts.Platform)
	opts := f.opts
	opts.Platform = transit
	f.driver = New(opts)
	f.mustPropose(t, state.Command{StartWave: &state.StartWave{ID: "w", Pools: []string{"a"}, Instances: []string{"a0"}, By: "test"}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runUntil(t, 10*time.Second, func(*state.State) bool { return len(transit.held) > 0 })
	}()
	require.Eventually(t, func() bool { return len(transit.held) > 0 }, 10*time.Second, time.Millisecond)

	f.mustPropose(t, state.Command{SetCondition: &state.SetCondition{ID: "a0", From: state.Rebooting, To: state.Active, By: "operator"}})
	close(transit.release)
	<-done
	select {
	case id := <-down:
		require.Fail(t, "rebooted an active instance", id)
	case <-time.After(200 * time.Millisecond):
	}
}

// stopRecorder is a platform that records stops, which fail while failing is set.
type stopRecorder struct {
	Platform
	stops   []string
	failing bool
}

func (p *stopRecorder) Stop(_ context.Context, task string) error {
	p.stops = append(p.stops, task)
	if p.failing {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

// A start that had no response for startTimeout may still arrive. The task may count as
// failed, and its job be placed again, only once the platform refuses such a start.
func TestTaskWithoutResponseIsStoppedBeforeItFails(t *testing.T) {
	p := &stopRecorder{failing: true}
	d := New(Options{Platform: p, Metrics: telemetry.NewMetrics()})
	now := time.Now()
	task := &state.Task{ID: "t", Status: state.TaskStarting, StartedAt: now.Add(-startTimeout)}
	_, changed := d.reconcileTask(context.Background(), &snapshot{now: now}, task)
	require.False(t, changed, "the task failed although its start may arrive")
	p.failing = false
	report, changed := d.reconcileTask(context.Background(), &snapshot{now: now}, task)
	require.True(t, changed)
	require.Equal(t, state.TaskReport{Task: "t", Status: state.TaskEnded, Failed: true, LeaseEnds: now}, report)
	require.Equal(t, []string{"t", "t"}, p.stops)
}
