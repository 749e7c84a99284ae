package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/workload"
)

// Guards against jobs that are accepted because cores are free although the leader starts
// their tasks too late: a turn brings more tasks than it can start.
func TestAdmissionRefusesWhatTheLeaderStartsTooLate(t *testing.T) {
	q := &workload.Queue{Stretch: 1.6, Slack: 600 * time.Millisecond}
	step := workload.Step{Count: 8, Resources: cores(1), Estimate: time.Second}
	one := &workload.Job{Steps: []workload.Step{step}}
	next := step
	next.DependsOn = []int{0}
	two := &workload.Job{Steps: []workload.Step{step, next}}
	idle := Backlog{Cores: 1000}
	require.True(t, Admit(one, q, idle, nil, WithinShare, 0).Admitted)
	idle.StepDelay = 500 * time.Millisecond // a job may lose 1.2 s with one step, 1.8 s with two
	require.True(t, Admit(one, q, idle, nil, WithinShare, 0).Admitted)
	decision := Admit(two, q, idle, nil, WithinShare, 0)
	require.False(t, decision.Admitted, "each step waits for the leader")
	require.Equal(t, "leader-busy", decision.Reason)
	require.GreaterOrEqual(t, decision.RetryAfter, minRetryAfter)
	idle.Waited = 300 * time.Millisecond // leaves 0.9 s
	require.False(t, Admit(one, q, idle, nil, WithinShare, 0).Admitted, "the submission has waited, too")
}

// Guards against late jobs that take all free cores of a pool for their whole run time, so that
// those that arrive meanwhile are late, too.
func TestLateJobsLeaveRoomForArrivingOnes(t *testing.T) {
	late := demand("late", 100, workload.Step{})
	late.Deadline = now.Add(-time.Second)
	place := func(use PoolUse) int {
		in := &Input{Now: now, Workers: []*Worker{worker("a", 100)}, Demands: []*Demand{late}, LateRoom: map[string]float64{"p": LateRoom(use)}}
		return placed(placements(in), "late")
	}
	require.Equal(t, 100, place(PoolUse{Cores: 100}), "nothing else arrives")
	require.Equal(t, 40, place(PoolUse{Cores: 100, OnTime: 50, Offered: 60}))
	require.Equal(t, 25, place(PoolUse{Cores: 100, OnTime: 90, Offered: 500}), "late jobs go on")
	require.Zero(t, place(PoolUse{Cores: 100, OnTime: 90, Offered: 500, Late: 30}))
	require.Equal(t, 85, place(PoolUse{Cores: 100, OnTime: 10, Offered: 500}), "most of the offer is refused")
}

// Guards against suspects that are never tried, because late jobs may take nothing from their
// pool: their jobs would never end.
func TestLateTrialsNeedNoLateRoom(t *testing.T) {
	late := demand("late", 1, workload.Step{})
	late.Deadline, late.Isolated = now.Add(-time.Second), true
	in := &Input{Now: now, Workers: []*Worker{worker("a", 100)}, Demands: []*Demand{late}, LateRoom: map[string]float64{"p": 0}}
	require.Equal(t, 1, placed(placements(in), "late"))
}

// Guards against a leader that goes on refusing jobs after its delay has ended.
func TestDelayIsForgotten(t *testing.T) {
	var m DelayMeter
	at := boottime.Instant(time.Hour)
	require.Zero(t, m.Mean(at))
	m.Add(at, time.Second)
	m.Add(at, 2*time.Second)
	require.Equal(t, 1500*time.Millisecond, m.Mean(at.Add(delaySlot)))
	m.Add(at.Add(2*delaySlot), 0)
	require.Equal(t, time.Second, m.Mean(at.Add(2*delaySlot)))
	require.Zero(t, m.Mean(at.Add(2*delaySlots*delaySlot)))
}

// Twice the load of a pool lasts for some seconds, so that most jobs become late. Those whose
// results are still of use must start by the time that they have left, also large ones, and
// before those of which the results are of no more use.
func TestLateJobsStartWhileTheirResultsAreOfUse(t *testing.T) {
	now := time.Now()
	demand := func(job string, age time.Duration, work float64) *Demand {
		due := now.Add(-age)
		return &Demand{
			Key: StepKey{Job: job}, Step: &workload.Step{Count: 1, Resources: cores(1)}, Pool: "p", Waiting: []int{0}, Remaining: time.Second, Work: work, Value: 8 + work,
			Deadline: due.Add(2 * time.Second), Expiry: due.Add(6 * time.Second),
		}
	}
	in := &Input{
		Now:     now,
		Workers: []*Worker{{ID: "w", Pool: "p", Capacity: cores(10).Times(10), Free: cores(10).Times(10)}},
		Demands: []*Demand{demand("expired", 8*time.Second, 1), demand("small", 3*time.Second, 1), demand("large", 4500*time.Millisecond, 500), demand("new", 0, 100)},
	}
	var started []string
	for _, p := range Place(in).Placements {
		started = append(started, p.Task.Job)
	}
	require.Equal(t, []string{"new", "large", "small", "expired"}, started)
}

// A pool has more accepted work than a further job can wait for and still be on time. The job
// must be accepted if its result will be of use, and refused at once if it won't.
func TestJobsThatWillBeOfUseAreAcceptedLate(t *testing.T) {
	j := &workload.Job{Steps: []workload.Step{{Count: 4, Resources: cores(1), Estimate: time.Second}}}
	q := &workload.Queue{Stretch: 1.6, Slack: 600 * time.Millisecond} // of use for 6.6 s
	full := Backlog{Work: 150, Cores: 64, LateWork: 10, LateCores: 32}
	require.Equal(t, "overload", Admit(j, q, full, nil, WithinShare, 0).Reason, "the factor is not set")
	d := Admit(j, q, full, nil, WithinShare, 3)
	require.True(t, d.Admitted)
	require.Equal(t, "late", d.Reason)
	full.LateWork = 100
	require.False(t, Admit(j, q, full, nil, WithinShare, 3).Admitted, "the late work before it takes too long")
	full.LateWork, full.LateCores = 10, 0
	require.False(t, Admit(j, q, full, nil, WithinShare, 3).Admitted, "there is no room for late work")
	full.LateCores = 32
	j.SubmitDelay = 5 * time.Second
	require.False(t, Admit(j, q, full, nil, WithinShare, 3).Admitted, "its caller has waited for too long")
	require.Equal(t, "share", Admit(j, q, full, nil, OverRate, 3).Reason)
	j.SubmitDelay = 0
	almost := Backlog{Work: 64, Cores: 64, LateWork: 10, LateCores: 32}
	require.True(t, Admit(j, q, almost, nil, WithinShare, 3).Admitted)
	require.Equal(t, "share", Admit(j, q, almost, nil, OverShare, 3).Reason, "the end of the queue is for others")
	require.Equal(t, "late", Admit(j, q, full, nil, OverShare, 3).Reason)
}

// Guards against late jobs that take the starts of a leader at its limit, so that jobs that could be
// on time wait behind them: the load is a turn of a queue beyond the leader's rate, after a change of
// leader has made most of the accepted jobs late.
func TestStartsOfLateJobsAreBounded(t *testing.T) {
	late, fresh := demand("late", 20, workload.Step{}), demand("fresh", 20, workload.Step{})
	late.Deadline = now.Add(-time.Second)
	place := func(lateStarts int) Result {
		return Place(&Input{Now: now, Workers: []*Worker{worker("a", 100)}, Demands: []*Demand{late, fresh}, LateStarts: lateStarts})
	}
	held := place(3)
	require.Equal(t, 20, placed(held.Placements, "fresh"))
	require.Equal(t, 3, placed(held.Placements, "late"))
	require.True(t, held.LateHeld)
	free := place(0)
	require.Equal(t, 20, placed(free.Placements, "late"), "nothing limits the leader")
	require.False(t, free.LateHeld)
}
