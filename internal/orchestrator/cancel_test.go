package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// confirmsCancel reports whether callers take the response for a confirmation that no task
// of the job runs on.
func confirmsCancel(r *CallResponse) bool { return r.Outcome == Accepted || r.Outcome == Missing }

// requireNeverRuns checks that a worker stays without runs until later rounds of placement.
func (f *fakeFleet) requireNeverRuns(worker string) {
	f.t.Helper()
	require.Never(f.t, func() bool { return f.runningOn(worker) > 0 }, 5*planInterval+300*time.Millisecond, 10*time.Millisecond,
		"a task of a job starts whose cancel was confirmed")
}

// runs reports whether a task of a job runs on a worker.
func (f *fakeFleet) runs(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		f.advance(w)
		for task := range w.running {
			if task.Job == jobID(job) {
				return true
			}
		}
	}
	return false
}

// hasRuns reports whether a job may have runs according to the state of a replica.
func (m *groupMember) hasRuns(job string) (has bool) {
	_ = m.replica.Await(context.Background(), func(done func(error)) {
		j := m.replica.Workload().Jobs[jobID(job)]
		has = j != nil && j.HasActiveRuns()
		done(nil)
	})
	return has
}

// callLeader repeats a call at the leader, other than former, until it is accepted or there
// is no such job. It returns the replica that responded.
func (g *group) callLeader(former *groupMember, method string, c *Call) (leader *groupMember) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		leader = g.leader(former)
		response, err := g.call(leader, method, c)
		return err == nil && confirmsCancel(response)
	}, 20*time.Second, 5*time.Millisecond)
	return leader
}

// TestCancelPrecedesDelayedSubmission guards against a job that runs although its cancel
// was confirmed: a gateway was suspended with the submission, and forwards it afterwards.
func TestCancelPrecedesDelayedSubmission(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	path := "/q/" + jobID("j")
	require.True(t, confirmsCancel(s.call(MethodCancel, &Call{Path: path})))
	s.eventually(func(ctx context.Context) error {
		_, err := s.o.Call(ctx, MethodSubmit, &Call{Host: "h", Path: path, Remaining: 3 * time.Second, Job: newLongRunningJob()})
		return err
	})
	s.requireNeverRuns("a")
}

// TestCancelBesideSubmissionInProgress guards against a job that runs although its cancel
// was confirmed: the submission was proposed before, and is committed after the response.
func TestCancelBesideSubmissionInProgress(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	path := "/q/" + jobID("j")
	submission, cancel := &CallResponse{}, &CallResponse{}
	submitted := make(chan error, 1)
	s.eventually(func(ctx context.Context) error {
		return s.o.asLeader(ctx, func(done func(error)) {
			submit := &Call{Host: "h", Path: path, Remaining: 3 * time.Second, Job: newLongRunningJob()}
			s.o.serveSubmit(s.o.resolve(MethodSubmit, submit, submission), submission, func(err error) { submitted <- err })
			s.o.serveCancel(s.o.resolve(MethodCancel, &Call{Host: "h", Path: path}, cancel), cancel, done)
		})
	})
	require.NoError(t, receive(t, submitted))
	require.True(t, confirmsCancel(cancel), cancel.Outcome)
	s.requireNeverRuns("a")
}

// TestResentSubmissionDoesNotReviveCancelledJob guards against a cancelled job that runs
// again because its submission or its cancel arrives once more, also at the next leader.
func TestResentSubmissionDoesNotReviveCancelledJob(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.lease = takeoverLease
	s := newSystem(t, f)
	path := "/q/" + jobID("j")
	s.submit("j", longRunningStep)
	s.awaitRunning("a", 1)
	for range 2 {
		require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: path}).Outcome)
		s.awaitRunning("a", 0)
		s.submit("j", longRunningStep)
		s.requireNeverRuns("a")
		require.Equal(t, workload.Cancelled, s.status("j"))
		s.restart()
	}
}

// TestEndedJobsAreKnownForTwiceTheRetention guards against a job that is forgotten while a
// submission may arrive again, which would run it a second time.
func TestEndedJobsAreKnownForTwiceTheRetention(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j", longRunningStep)
	require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: "/q/" + jobID("j")}).Outcome)
	s.awaitRunning("a", 0)
	s.awaitRelease("a") // a job with runs in the state is kept
	var early, late int
	require.NoError(t, s.replica.Await(t.Context(), func(done func(error)) {
		j := s.o.leadership.State().Jobs[jobID("j")]
		endedAt, retention := j.EndedAt, s.o.Settings.StatusRetention
		purged := func(age time.Duration) int {
			j.EndedAt = time.Now().Add(-age)
			s.o.lastPurge = 0
			s.o.purgeJobs(s.o.lastPlan.Add(purgeInterval))
			n := len(s.o.pending.RemovedJobs)
			s.o.pending.RemovedJobs, j.EndedAt = nil, endedAt
			return n
		}
		early, late = purged(2*retention-time.Second), purged(2*retention+time.Second)
		done(nil)
	}))
	require.Zero(t, early)
	require.Equal(t, 1, late)
}

// TestUncommittedCancelIsNotConfirmed guards against a cancel that a deposed leader confirms
// although it can't commit it.
func TestUncommittedCancelIsNotConfirmed(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j", nil, "lasts", longRunningStep)
		g.awaitRuns("a", 1)

		g.depose(former)
		leading := former.leading.Load()
		if response, err := g.call(former, MethodCancel, &Call{Path: "/q/" + jobID("j")}); err == nil {
			require.False(t, confirmsCancel(response), response.Outcome)
		}
		return leading
	})
}

// TestCancelAtSuccessorCoversSubmissionOfFormerLeader guards against a job that runs
// although the next leader confirmed its cancel: the submission is in the former leader's
// log, with an unknown outcome, has or has not reached the other replicas, and is or is not
// sent again to the next leader before the cancel.
func TestCancelAtSuccessorCoversSubmissionOfFormerLeader(t *testing.T) {
	replicated := func(_ *group, former *groupMember) { former.inbound.cut() }
	unreplicated := func(g *group, former *groupMember) { g.isolated.Store(&former.name) }
	for _, c := range []struct {
		name   string
		cut    func(*group, *groupMember)
		resent bool
	}{{"replicated", replicated, false}, {"replicated and resent", replicated, true}, {"not replicated", unreplicated, false}, {"not replicated and resent", unreplicated, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a")
			f.lease = takeoverLease
			g := newGroup(t, f, noPlatform)
			g.apply(g.leader(nil), nil, workload.Pool{Name: "p"})
			g.callLeader(nil, MethodSubmit, &Call{Path: "/q/" + jobID("first"), Job: newLongRunningJob()})
			g.awaitRuns("a", 1)

			former, path := g.leader(nil), "/q/"+jobID("j")
			c.cut(g, former)
			submission, err := g.call(former, MethodSubmit, &Call{Path: path, Job: newLongRunningJob()})
			require.True(t, err != nil || submission.Outcome == Undecided, "outcome of a submission that can't be committed")
			if c.resent {
				g.callLeader(former, MethodSubmit, &Call{Path: path, Job: newLongRunningJob()})
			}
			successor := g.callLeader(former, MethodCancel, &Call{Path: path})
			g.isolated.Store(nil)
			require.Eventually(t, func() bool { return !successor.hasRuns("j") && !g.runs("j") }, 5*time.Second, 10*time.Millisecond)
			require.Never(t, func() bool { return g.runs("j") }, 500*time.Millisecond, 10*time.Millisecond)
		})
	}
}
