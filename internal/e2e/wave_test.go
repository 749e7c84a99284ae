package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/standin"
	"cactusspar/internal/state"
)

const waveRules = fivePoolRules + `domain rack unavailable=1 # Asha M., operations: one instance of a rack at a time
weight buffer=1 share=1 rollout=4 moves=4 # Asha M., operations: no churn
`

// startFleet starts the endpoints of all pools and the platform in one process.
func (c *cluster) startFleet(perPool int, args ...string) {
	c.t.Helper()
	c.apply(waveRules)
	for team := range teamLimits {
		c.issueKey(team)
	}
	flags := []string{"--platform", c.platform, "--reboot-time", "300ms", "--lost-answers", "0.1"}
	for _, p := range pools[1:] {
		flags = append(flags, "--pool", fmt.Sprint(p, ":", perPool))
	}
	c.startEndpoints(pools[0], perPool, append(flags, args...)...)
	c.waitReady()
	for _, p := range pools {
		c.waitAnswered(p, "shops")
	}
	c.eventually(10*time.Second, "all instances are known", func() bool {
		all, err := c.client.Instances(context.Background(), "", "")
		return err == nil && len(all) == perPool*len(pools)
	})
}

// wave returns the wave with the given ID.
func (c *cluster) wave(id string) state.Wave {
	w, err := c.client.Wave(context.Background(), id)
	require.NoError(c.t, err)
	return w
}

// Guards against a wave that interrupts requests, exceeds a budget or makes no progress
// when the leader is killed during it and responses of the platform are lost.
func TestWaveOverAllPoolsUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startFleet(4)
	highest := 0
	report, result := c.loadFor(30*time.Second, 4, func() {
		_, err := c.client.StartWave(context.Background(), "w", nil, nil)
		require.NoError(t, err)
		killed := false
		c.eventually(60*time.Second, "the wave is done", func() bool {
			highest = max(highest, c.maxUnavailable())
			w := c.wave("w")
			if !killed && len(w.Done) >= 6 {
				killed = true
				p := c.leader().process
				p.kill()
				p.start()
			}
			require.NotEqual(t, state.WaveStopped, w.Status, w.Reason)
			return w.Status == state.WaveDone
		})
	})
	require.Len(t, c.wave("w").Done, 4*len(pools))
	require.Empty(t, result.Violations)
	require.Zero(t, report.Outcomes[standin.OutcomeUnknown], "the wave interrupted requests")
	require.LessOrEqual(t, highest, 1, "a pool had more instances unavailable than its budget")
}

// maxUnavailable returns the number of unavailable instances of the pool that has most.
func (c *cluster) maxUnavailable() int {
	all, err := c.client.Instances(context.Background(), "", "")
	require.NoError(c.t, err)
	unavailable, highest := map[string]int{}, 0
	for _, i := range all {
		if i.Condition != state.Active {
			unavailable[i.Pool]++
			highest = max(highest, unavailable[i.Pool])
		}
	}
	return highest
}

// Guards against a wave that continues although an instance has not returned, and
// against two concurrent waves over the same pool.
func TestWaveStopsAndConflicts(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.startFleet(3, "--never-returns", "orders-2")
	p, err := c.client.Plan(context.Background(), []string{"orders"}, time.Minute)
	require.NoError(t, err)
	require.Equal(t, 3, p.Instances)
	require.Equal(t, 3*time.Minute, p.Wave.Total, "the budget allows one instance at a time")
	require.Equal(t, p.Wave.Bound, p.Wave.Total)
	_, err = c.client.StartWave(context.Background(), "w", []string{"orders"}, nil)
	require.NoError(t, err)
	_, err = c.client.StartWave(context.Background(), "other", nil, nil)
	require.ErrorContains(t, err, `wave "w"`)
	c.eventually(40*time.Second, "the wave stops", func() bool { return c.wave("w").Status == state.WaveStopped })
	require.Contains(t, c.wave("w").Reason, "orders-2 did not return")
}

// Guards against jobs that do not start, urgent jobs that start late, and a job too
// large for any instance that blocks others.
func TestJobsAcrossProcesses(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.startFleet(2)
	ctx := context.Background()
	// Wait until the grants for requests are stable and hold the whole limit of each
	// team: jobs must start even then.
	time.Sleep(8 * time.Second)
	var jobs []operator.JobRequest
	for i := range 20 {
		jobs = append(jobs, operator.JobRequest{
			ID: fmt.Sprint("batch-", i), Team: "shops", Pool: "orders", Kind: state.Batch, Priority: 5,
			Declared: state.Resources{MilliCPU: 4000, MemoryMB: 1000},
		})
	}
	jobs = append(jobs, operator.JobRequest{
		ID: "huge", Team: "shops", Pool: "orders", Kind: state.Batch, Priority: 5, Declared: state.Resources{MilliCPU: 1_000_000, MemoryMB: 1},
	})
	_, err := c.client.SubmitJobs(ctx, jobs)
	require.NoError(t, err)
	status := func(id string) state.JobStatus {
		j, err := c.client.Job(ctx, id)
		require.NoError(t, err)
		return j.Status
	}
	c.eventually(20*time.Second, "the pool is full", func() bool {
		running, err := c.client.Jobs(ctx, "shops", "orders", state.JobRunning)
		return err == nil && len(running) == 8
	})
	c.eventually(10*time.Second, "the impossible job is refused", func() bool { return status("huge") == state.JobRefused })
	urgent := jobs[0]
	urgent.ID, urgent.Team, urgent.Kind, urgent.Priority = "now", "agents", state.Urgent, 0
	submittedAt := time.Now()
	_, err = c.client.SubmitJobs(ctx, []operator.JobRequest{urgent})
	require.NoError(t, err)
	c.eventually(5500*time.Millisecond, "the urgent job runs", func() bool { return status("now") == state.JobRunning })
	t.Logf("the urgent job ran after %v", time.Since(submittedAt))
}
