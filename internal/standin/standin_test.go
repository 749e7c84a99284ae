package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
)

func startEndpoint(t *testing.T, rates FaultRates) *Endpoint {
	t.Helper()
	return startEndpointWithSlots(t, rates, 2)
}

func startEndpointWithSlots(t *testing.T, rates FaultRates, slots int) *Endpoint {
	t.Helper()
	e, err := StartEndpoint(EndpointConfig{
		Announcement: dispatch.Announcement{ID: "w1", Pool: "p", Slots: slots},
		Listen:       "127.0.0.1:0", Connections: 64, Faults: NewFaults(1, rates),
	})
	require.NoError(t, err)
	t.Cleanup(e.Kill)
	return e
}

// Guards against an endpoint that runs more requests than it has slots, or runs a
// request that it refuses as not run.
func TestEndpointRefusesRequestsBeyondSlots(t *testing.T) {
	e := startEndpoint(t, FaultRates{})
	outcomes := make(chan string, 6)
	for range 6 {
		go func() {
			resp, err := http.Get("http://" + e.Addr() + "/run?work=200ms&size=10")
			if err != nil {
				outcomes <- err.Error()
				return
			}
			_ = resp.Body.Close()
			outcomes <- resp.Header.Get(headerOutcome)
		}()
	}
	refused := 0
	for range 6 {
		if <-outcomes == "not-run" {
			refused++
		}
	}
	require.Equal(t, 4, refused)
	require.Len(t, e.Runs().Runs(), 2)
}

// Guards against a load generator that counts an incomplete response as answered.
func TestLoadDetectsIncompleteResponses(t *testing.T) {
	e := startEndpoint(t, FaultRates{FaultReset: 0.5, FaultTruncated: 0.5})
	report, err := Load(context.Background(), LoadConfig{
		Entries: []string{"http://" + e.Addr()}, Direct: true, Seed: 1,
		Queues:   []QueueDemand{{Queue: "q", Rate: 50, Work: time.Millisecond, Size: 1000}},
		Duration: 200 * time.Millisecond, Deadline: time.Second,
	})
	require.NoError(t, err)
	require.NotZero(t, report.Sent)
	require.Zero(t, report.Outcomes[OutcomeAnswered])
}

func writeLines[T any](t *testing.T, name string, lines []T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	f, err := os.Create(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	for _, l := range lines {
		require.NoError(t, json.NewEncoder(f).Encode(l))
	}
	return path
}

// Guards against a check that misses violated guarantees.
func TestCheckFindsViolations(t *testing.T) {
	runs := writeLines(t, "runs", []Run{
		{Nonce: "refused", Request: "1", Team: "a", Start: 10, End: 20},
		{Nonce: "twice", Request: "2", Team: "a", Start: 12, End: 20},
		{Nonce: "twice", Request: "3", Team: "a", Start: 30, End: 40},
		{Nonce: "fine", Request: "4", Team: "b", Start: 30},
		{Nonce: "fine", Request: "4", Team: "b", Start: 30, End: 50},
	})
	calls := writeLines(t, "calls", []call{
		{Nonce: "refused", Outcomes: []Outcome{OutcomeNotRun}, Codes: []string{"queue-full"}},
		{Nonce: "twice", Outcomes: []Outcome{OutcomeAnswered}, Codes: []string{"status-200"}},
		{Nonce: "fine", Outcomes: []Outcome{OutcomeAnswered}, Codes: []string{"status-200"}},
		{Nonce: "never", Outcomes: []Outcome{OutcomeAnswered}, Codes: []string{"status-200"}},
		{Nonce: "other", Outcomes: []Outcome{OutcomeMismatched}, Codes: []string{"body"}},
	})
	result, err := Check(CheckConfig{CallLogs: []string{calls}, RunLogs: []string{runs}, Limits: map[string]int{"a": 1, "b": 1}})
	require.NoError(t, err)
	require.Equal(t, 5, result.Calls)
	require.Equal(t, 4, result.Runs)
	require.Equal(t, map[string]int{"a": 2, "b": 1}, result.Highest)
	require.Len(t, result.Violations, 5)
}

// Guards against demand that does not follow the configured pattern.
func TestPatternRates(t *testing.T) {
	p := Pattern{Peak: 5, Turn: time.Second, Between: 0.05}
	require.Equal(t, 5.0, p.Factor(1, 5, 1500*time.Millisecond))
	require.Equal(t, 0.05, p.Factor(0, 5, 1500*time.Millisecond))
	require.Equal(t, 5.0, p.Factor(0, 5, 5500*time.Millisecond))
	require.Equal(t, 1.0, Pattern{}.Factor(3, 5, 0))
}

// Guards against a load generator that classifies an endpoint's failure response,
// or the recorded outcome of a resent request, as a response to another request.
func TestLoadAcceptsFailuresAndRecordedOutcomes(t *testing.T) {
	// More slots than calls: on a busy machine calls can pile up, and the endpoint
	// would refuse some of them.
	e := startEndpointWithSlots(t, FaultRates{FaultFail: 1}, 1000)
	report, err := Load(context.Background(), LoadConfig{
		Entries: []string{"http://" + e.Addr()}, Direct: true, Seed: 1,
		Queues:   []QueueDemand{{Queue: "q", Rate: 50, Work: time.Millisecond, Size: 1000}},
		Duration: 200 * time.Millisecond, Deadline: time.Second,
	})
	require.NoError(t, err)
	require.Equal(t, report.Sent, report.Outcomes[OutcomeAnswered], "%v", report.Codes)

	recorded := &http.Response{StatusCode: http.StatusConflict, Header: http.Header{headerOutcome: {"answered"}}}
	outcome, code := new(loadGenerator).classify(&call{Nonce: "n.", size: 5}, recorded, []byte(`{"code":"duplicate-answered"}`))
	require.Equal(t, OutcomeAnswered, outcome)
	require.Equal(t, "duplicate-answered", code)
	outcome, _ = new(loadGenerator).classify(&call{Nonce: "n.", size: 5}, recorded, []byte("other"))
	require.Equal(t, OutcomeMismatched, outcome)
}
