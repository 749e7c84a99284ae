package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// cancelUnknown cancels a job that is not known, and returns whether there was one by the time
// of the commit. before is called on the event loop first.
func (s *system) cancelUnknown(id string, before func()) (found bool) {
	s.t.Helper()
	response := &CallResponse{}
	s.eventually(func(ctx context.Context) error {
		return s.o.asLeader(ctx, func(done func(error)) {
			before()
			c := s.o.resolve(MethodCancel, &Call{Host: "h", Path: "/q/" + jobID(id)}, response)
			s.o.cancelUnknown(c, response, done)
		})
	})
	require.True(s.t, confirmsCancel(response), response.Outcome)
	return response.Outcome == Accepted
}

// TestEarlyCancelPreventsLaterSubmission guards against a job that runs although its cancel was
// confirmed: the submission arrives afterwards, at this leader or at the next one.
func TestEarlyCancelPreventsLaterSubmission(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	require.False(t, s.cancelUnknown("j1", func() {}))
	require.False(t, s.cancelUnknown("j2", func() {}))
	require.Equal(t, Missing, s.call(MethodStatus, &Call{Path: "/q/" + jobID("j1")}).Outcome, "nobody submitted the job")
	s.submit("j1", longRunningStep)
	require.Equal(t, workload.Cancelled, s.status("j1"))
	s.restart()
	s.submit("j2", longRunningStep)
	s.requireNeverRuns("a")
	require.Equal(t, workload.Cancelled, s.status("j2"))
	s.onLoop(func() { require.Empty(t, s.o.unfinished) })
	s.submit("j3", longRunningStep)
	s.awaitRunning("a", 1)
}

// TestEarlyCancelCoversSubmissionInProgress guards against a job that runs although its cancel
// was confirmed: the submission was proposed before the cancel, with it, or with the command
// before, whose tasks may have started.
func TestEarlyCancelCoversSubmissionInProgress(t *testing.T) {
	for name, between := range map[string]func(*Orchestrator){"same command": func(*Orchestrator) {}, "command before": (*Orchestrator).Flush} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeFleet(t, "a"))
			submitted := make(chan error, 1)
			response := &CallResponse{}
			found := s.cancelUnknown("j", func() {
				submit := &Call{Host: "h", Path: "/q/" + jobID("j"), Remaining: 3 * time.Second, Job: newLongRunningJob()}
				s.o.serveSubmit(s.o.resolve(MethodSubmit, submit, response), response, func(err error) { submitted <- err })
				between(s.o)
			})
			require.True(t, found)
			require.NoError(t, receive(t, submitted))
			require.Equal(t, Accepted, response.Outcome)
			require.Eventually(t, func() bool { return s.runningOn("a") == 0 }, 5*time.Second, time.Millisecond)
			s.requireNeverRuns("a")
			require.Equal(t, workload.Cancelled, s.status("j"))
		})
	}
}
