package orchestrator

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// servedCall is a call that the leader has begun to serve.
type servedCall struct {
	response *CallResponse
	done     chan error
}

// begin serves a call, on the event loop.
func (s *system) begin(method string, key, id string) *servedCall {
	c := &servedCall{&CallResponse{}, make(chan error, 1)}
	call := &Call{Host: "h", Path: "/q/" + jobID(id), Key: hashOf(key), Remaining: 3 * time.Second}
	done := func(err error) { c.done <- err }
	switch method {
	case MethodSubmit:
		call.Job = newLongRunningJob()
		s.o.serveSubmit(s.o.resolve(method, call, c.response), c.response, done)
	case MethodCancel:
		s.o.serveCancel(s.o.resolve(method, call, c.response), c.response, done)
	}
	return c
}

// beginShort serves the submission of a job that is refused if the pool has work to do.
func (s *system) beginShort(id string) *servedCall {
	c := &servedCall{&CallResponse{}, make(chan error, 1)}
	call := &Call{Host: "h", Path: "/q/" + jobID(id), Remaining: 3 * time.Second, Job: &workload.Job{
		Spec: "short", Steps: []workload.Step{{Count: 1, Resources: oneCore, Estimate: time.Millisecond}},
	}}
	s.o.serveSubmit(s.o.resolve(MethodSubmit, call, c.response), c.response, func(err error) { c.done <- err })
	return c
}

// outcome waits for the response to a call.
func (s *system) outcome(c *servedCall) CallOutcome {
	s.t.Helper()
	select {
	case err := <-c.done:
		require.NoError(s.t, err)
	case <-time.After(5 * time.Second):
		require.Fail(s.t, "no response")
	}
	return c.response.Outcome
}

// refuseNextBatch makes the pending changes too many to be proposed as one command.
func (s *system) refuseNextBatch() {
	s.o.pending.Cancel = append(s.o.pending.Cancel, strings.Repeat("0", 3<<20))
}

// TestRepeatedSubmissionAwaitsProposalInProgress guards against a second attempt that is told
// that the job never runs, or waits for an unrelated command, while the proposal of the first
// attempt is being committed.
func TestRepeatedSubmissionAwaitsProposalInProgress(t *testing.T) {
	for name, follow := range map[string]func(*system){
		"next batch refused": (*system).refuseNextBatch,
		"next batch empty":   func(*system) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeFleet(t))
			var first, second *servedCall
			s.onLoop(func() {
				first = s.begin(MethodSubmit, "", "j")
				s.o.Flush()
				second = s.begin(MethodSubmit, "", "j")
				follow(s)
			})
			require.Equal(t, Accepted, s.outcome(first))
			require.Equal(t, Accepted, s.outcome(second), second.response.Reason)
		})
	}
}

// TestRefusalConsidersSubmissionInProgress guards against an attempt that is told that the job
// never runs while another attempt, which arrived during the confirmation of the refusal, is
// accepted.
func TestRefusalConsidersSubmissionInProgress(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("warm-up", workload.Step{Count: 1, Resources: oneCore, Estimate: time.Millisecond})
	s.await("warm-up", workload.Completed)
	var first, second *servedCall
	s.onLoop(func() {
		s.o.backlog["p"] = 1e9
		first = s.beginShort("j")
		s.o.backlog["p"] = 0
		second = s.beginShort("j")
	})
	require.Equal(t, Accepted, s.outcome(second), second.response.Reason)
	require.Equal(t, Accepted, s.outcome(first), first.response.Reason)
}

// TestRefusedProposalConsidersOtherAttempts guards against an attempt that is told that the job
// never runs because its proposal was refused, while another attempt is accepted.
func TestRefusedProposalConsidersOtherAttempts(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	var first, second *servedCall
	s.onLoop(func() {
		first = s.begin(MethodSubmit, "", "j")
		s.refuseNextBatch()
		s.o.Flush()
		second = s.begin(MethodSubmit, "", "j")
	})
	require.Equal(t, Accepted, s.outcome(second), second.response.Reason)
	require.Equal(t, Accepted, s.outcome(first), first.response.Reason)
}

// TestRefusedProposalIsRefused guards against an unknown outcome of a job that was not
// proposed.
func TestRefusedProposalIsRefused(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	var c *servedCall
	s.onLoop(func() {
		c = s.begin(MethodSubmit, "", "j")
		s.refuseNextBatch()
	})
	require.Equal(t, Refused, s.outcome(c))
	require.Equal(t, time.Second, c.response.RetryAfter)
	s.requireNeverRuns("a")
}

// TestSubmissionBesideTopologyChange guards against a caller that is told that a queue does not
// exist because it was renamed while the submission was being committed, and against a job that
// is accepted on a queue that was removed.
func TestSubmissionBesideTopologyChange(t *testing.T) {
	for name, c := range map[string]struct {
		queue workload.Queue
		want  CallOutcome
	}{"renamed": {publicQueue("renamed", "/q/"), Accepted}, "removed": {publicQueue("other", "/other/"), Unresolved}} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeFleet(t, "a"))
			var submission *servedCall
			s.onLoop(func() {
				next := topologyOf(2, nil, c.queue)
				next.BuildIndex()
				s.o.pending.Topology = next
				submission = s.begin(MethodSubmit, "", "j")
			})
			require.Equal(t, c.want, s.outcome(submission), submission.response.Reason)
		})
	}
}

// TestSubmissionsOfTwoTeamsInProgress guards against a submission that is acknowledged although
// nothing of it is stored, because another team's submission with its ID is being committed.
func TestSubmissionsOfTwoTeamsInProgress(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(topologyOf(2, []workload.Team{teamWithKeys("x", "k"), teamWithKeys("y", "l")}, keyedQueue("q", "/q/")))
	var first, second *servedCall
	s.onLoop(func() {
		first = s.begin(MethodSubmit, "k", "j")
		second = s.begin(MethodSubmit, "l", "j")
	})
	require.Equal(t, Accepted, s.outcome(first))
	require.Equal(t, Refused, s.outcome(second))
	require.Equal(t, "job-id-in-use", second.response.Reason)
}

// TestCancelAwaitsSubmissionInProgress guards against a job that runs although its cancel was
// confirmed: its submission was proposed before, or while the leader confirmed that there was
// no such job.
func TestCancelAwaitsSubmissionInProgress(t *testing.T) {
	for name, begin := range map[string]func(*system) (submission, cancel *servedCall){
		"submission proposed": func(s *system) (submission, cancel *servedCall) {
			submission = s.begin(MethodSubmit, "", "j")
			s.o.Flush()
			return submission, s.begin(MethodCancel, "", "j")
		},
		"submission during the confirmation": func(s *system) (submission, cancel *servedCall) {
			cancel = s.begin(MethodCancel, "", "j")
			return s.begin(MethodSubmit, "", "j"), cancel
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeFleet(t, "a"))
			var submission, cancel *servedCall
			s.onLoop(func() { submission, cancel = begin(s) })
			require.Equal(t, Accepted, s.outcome(submission))
			require.Equal(t, Accepted, s.outcome(cancel))
			s.requireNeverRuns("a")
			require.Equal(t, workload.Cancelled, s.status("j"))
		})
	}
}

// TestCancelBesideRefusedSubmission guards against a cancel that gets no answer, or an unknown
// outcome, because the submission that it waited for was refused.
func TestCancelBesideRefusedSubmission(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	var submission, cancel *servedCall
	s.onLoop(func() {
		submission = s.begin(MethodSubmit, "", "j")
		cancel = s.begin(MethodCancel, "", "j")
		s.refuseNextBatch()
	})
	require.Equal(t, Refused, s.outcome(submission))
	require.Equal(t, Missing, s.outcome(cancel))
}

// TestSubmissionInProgressAtStepDown guards against an attempt that is told that the job never
// runs, or that there is none to cancel, when the leader steps down while the proposal of
// another attempt is being committed.
func TestSubmissionInProgressAtStepDown(t *testing.T) {
	g := newGroup(t, newFakeFleet(t, "a"), noPlatform)
	leader := g.leader(nil)
	g.apply(leader, nil, workload.Pool{Name: "p"})
	s := &system{fakeFleet: g.fakeFleet, o: leader.o, replica: leader.replica}
	g.isolated.Store(&leader.name)
	var calls []*servedCall
	s.onLoop(func() {
		calls = append(calls, s.begin(MethodSubmit, "", "j"))
		s.o.Flush()
		calls = append(calls, s.begin(MethodSubmit, "", "j"), s.begin(MethodCancel, "", "j"))
	})
	require.Equal(t, Undecided, s.outcome(calls[0]))
	for _, c := range calls[1:] {
		if err := receive(t, c.done); err == nil {
			require.Equal(t, Undecided, c.response.Outcome)
		} else {
			require.Equal(t, s.replica.NotLeader(), err)
		}
	}
}

// TestUnknownErrorLeavesProposalUndecided guards against a caller that is told that its job never
// runs after an error of the proposal that does not promise that it is not in the log.
func TestUnknownErrorLeavesProposalUndecided(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	var c *servedCall
	s.onLoop(func() {
		c = s.begin(MethodSubmit, "", "j")
		replies := s.o.replies
		s.o.pending, s.o.replies = workload.Command{}, nil
		for _, reply := range replies {
			reply(errors.New("an error of a later version"))
		}
	})
	require.Equal(t, Undecided, s.outcome(c), c.response.Reason)
}
