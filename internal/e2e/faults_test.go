package e2e

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/standin"
)

const fivePoolRules = `region coast # Asha M., operations: the one region
datacentre dc-1 region=coast # Asha M., operations: hall A
datacentre dc-2 region=coast # Asha M., operations: hall B
datacentre dc-3 region=coast # Asha M., operations: hall C
datacentre dc-4 region=coast # Asha M., operations: hall D
pool quotes min=2 max=12 unavailable=1 period=35d # Asha M., operations: quotes
pool bookings min=2 max=12 unavailable=1 period=35d # Asha M., operations: bookings
pool orders min=2 max=12 unavailable=1 period=35d # Asha M., operations: orders
pool certificates min=2 max=12 unavailable=1 period=35d # Asha M., operations: certificates
pool portal min=2 max=12 unavailable=1 period=35d # Asha M., operations: portal
queue quotes pool=quotes access=keyed length=500 deadline=3s # Juma K., sales: quotes
queue bookings pool=bookings access=keyed length=500 deadline=3s # Juma K., sales: bookings
queue orders pool=orders access=keyed length=500 deadline=3s # Juma K., sales: orders
queue certificates pool=certificates access=keyed length=500 deadline=3s # Juma K., sales: certificates
queue portal pool=portal access=open length=500 deadline=3s # Juma K., sales: portal
team shops share=40 limit=60 # Juma K., sales: contract
team agents share=20 limit=5 # Juma K., sales: contract
team audit share=1 limit=1 # Juma K., sales: one at a time
spare portal # Asha M., operations: portal lends at peaks
`

// teamLimits holds the limits of the teams in fivePoolRules.
var teamLimits = map[string]int{"shops": 60, "agents": 5, "audit": 1}

// pools holds the pools of fivePoolRules; each has a queue of the same name.
var pools = []string{"quotes", "bookings", "orders", "certificates", "portal"}

// loadFor sends mixed load through all entry instances while injectFaults runs, and
// compares the outcomes that callers received with the runs of the endpoints.
func (c *cluster) loadFor(d time.Duration, seed uint64, injectFaults func()) (*standin.Report, *standin.CheckResult) {
	c.t.Helper()
	cfg := standin.LoadConfig{
		Duration: d, Deadline: 3 * time.Second, NonIdempotent: 0.5, Resend: true, Seed: seed,
		CallLog: filepath.Join(c.dir, fmt.Sprint("calls-", seed)),
		Pattern: standin.Pattern{Peak: 3, Turn: 2 * time.Second, Between: 0.3},
	}
	for _, e := range c.entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.callers)
	}
	for _, p := range pools {
		cfg.Queues = append(cfg.Queues, standin.QueueDemand{Queue: p, Rate: 60, Work: 30 * time.Millisecond, Size: 3000})
	}
	for team, key := range c.secrets {
		cfg.Teams = append(cfg.Teams, standin.TeamKey{Team: team, Key: key, Weight: teamLimits[team]})
	}
	done := make(chan struct{})
	go func() { defer close(done); injectFaults() }()
	report, err := standin.Load(context.Background(), cfg)
	require.NoError(c.t, err)
	<-done
	logs, err := filepath.Glob(c.runLogs + "*")
	require.NoError(c.t, err)
	result, err := standin.Check(standin.CheckConfig{CallLogs: []string{cfg.CallLog}, RunLogs: logs, Limits: teamLimits})
	require.NoError(c.t, err)
	var text strings.Builder
	report.Write(&text)
	c.t.Logf("%s\n%d runs, %d unknown, highest concurrency %v", text.String(), result.Runs, result.Unknown, result.Highest)
	return report, result
}

// startFivePools applies fivePoolRules and starts the endpoints of all pools.
func (c *cluster) startFivePools(perPool int) {
	c.apply(fivePoolRules)
	for team := range teamLimits {
		c.issueKey(team)
	}
	for _, p := range pools {
		c.startEndpoints(p, perPool)
	}
	c.waitReady()
	for _, p := range pools {
		c.waitAnswered(p, "shops")
	}
}

// Guards against requests that are lost, run twice or answered incompletely, and
// against teams above their limit, when one process of each role is killed under
// load.
func TestKillOfEachRoleUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startFivePools(8)
	report, result := c.loadFor(16*time.Second, 1, func() {
		time.Sleep(3 * time.Second)
		c.controls[0].kill()
		time.Sleep(2 * time.Second)
		c.entries[1].kill()
		time.Sleep(3 * time.Second)
		c.controls[0].start()
		c.entries[1].start()
		time.Sleep(2 * time.Second)
		c.endpointProcesses[0].kill()
		time.Sleep(time.Second)
		c.endpointProcesses[0].start()
	})
	require.Empty(t, result.Violations)
	require.Positive(t, report.Outcomes[standin.OutcomeAnswered])
	for _, queue := range pools {
		c.waitAnswered(queue, "shops")
	}
}

// Guards against a leader that continues to lead, and entry instances that continue
// with stale views or tickets, after they were suspended.
func TestFreezeOfLeaderAndEntryUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startFivePools(4)
	_, result := c.loadFor(14*time.Second, 2, func() {
		for _, p := range []*process{c.leader().process, c.entries[0].process, c.entries[2].process} {
			time.Sleep(time.Second)
			p.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			p.signal(syscall.SIGCONT)
		}
	})
	require.Empty(t, result.Violations)
	for _, queue := range pools {
		c.waitAnswered(queue, "shops")
	}
}

// leader returns the leader of the control replicas; it waits for an election if
// there is none.
func (c *cluster) leader() *control {
	c.t.Helper()
	var found *control
	c.eventually(10*time.Second, "a replica is the leader", func() bool {
		for _, r := range c.controls {
			s, err := c.client.Status(context.Background(), r.operator)
			if err == nil && s.Role == "leader" {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// Guards against a planned stop that interrupts a request: the control leader and a
// process of endpoints are stopped one after the other under load.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startFivePools(4)
	report, result := c.loadFor(14*time.Second, 3, func() {
		time.Sleep(2 * time.Second)
		p := c.leader().process
		p.stop()
		p.start()
		time.Sleep(2 * time.Second)
		// The endpoints of a new process start before those that they replace stop.
		c.startEndpoints("quotes", 4, "--prefix", "new-")
		time.Sleep(2 * time.Second)
		c.endpointProcesses[0].stop()
	})
	require.Empty(t, result.Violations)
	require.Zero(t, report.Outcomes[standin.OutcomeUnknown], "a planned stop interrupted requests")
}

// Guards against a planned stop of an entry instance that interrupts requests: its
// own ones, accepted before it reported not ready, and those of other instances for
// pools that it dispatches.
func TestPlannedStopOfDispatcherInterruptsNoRequest(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startFivePools(4)
	stopping := c.entries[0]
	held := make(chan response, 1)
	c.entries = c.entries[1:]
	report, result := c.loadFor(12*time.Second, 5, func() {
		time.Sleep(3 * time.Second)
		go func() {
			r, err := c.send(stopping, "POST", "/q/quotes/x?work=1500ms&size=5", "shops", "Idempotency-Key", "held")
			if err != nil {
				r.body = err.Error()
			}
			held <- r
		}()
		time.Sleep(500 * time.Millisecond)
		stopping.stop()
	})
	r := <-held
	require.Equal(t, "answered", r.outcome, r.body)
	require.Equal(t, "n.n.n", r.body)
	require.Empty(t, result.Violations)
	require.Zero(t, report.Outcomes[standin.OutcomeUnknown], "a planned stop interrupted requests")
}
