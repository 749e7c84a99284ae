package e2e

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/standin"
)

// shortRun and shortSeed are the defaults, used in CI. E2E_RUN and E2E_SEED select
// another duration and seed, for example E2E_RUN=10m E2E_SEED=7.
const (
	shortRun  = 25 * time.Second
	shortSeed = 1
)

// runParameters returns the duration and the seed of the run.
func runParameters(t *testing.T) (time.Duration, uint64) {
	t.Helper()
	d, seed := shortRun, uint64(shortSeed)
	var err error
	if s := os.Getenv("E2E_RUN"); s != "" {
		d, err = time.ParseDuration(s)
		require.NoError(t, err)
	}
	if s := os.Getenv("E2E_SEED"); s != "" {
		seed, err = strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
	}
	return d, seed
}

// faultInjector injects random faults into a cluster.
type faultInjector struct {
	*cluster
	rng    *rand.Rand
	counts map[string]int // injected faults by kind
	wg     sync.WaitGroup
}

// Guards against violated guarantees under random faults of all processes, some of
// them concurrent: kills, suspensions, wiped disks and planned stops.
func TestRandomFaults(t *testing.T) {
	d, seed := runParameters(t)
	t.Logf("seed %d, duration %v", seed, d)
	c := newCluster(t, 3, 3)
	c.startFivePools(4)
	f := &faultInjector{cluster: c, rng: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
	report, result := c.loadFor(d, seed, func() {
		for end := time.Now().Add(d - 5*time.Second); time.Now().Before(end); {
			f.injectFault()
			time.Sleep(time.Duration(500+f.rng.IntN(2500)) * time.Millisecond)
		}
		f.wg.Wait()
	})
	t.Logf("faults: %v", f.counts)
	require.Empty(t, result.Violations)
	require.Positive(t, report.Outcomes[standin.OutcomeAnswered])
	for _, queue := range pools {
		c.waitAnswered(queue, "shops")
	}
	c.requireKeys(map[string]bool{"shops-1": true, "agents-1": true, "audit-1": true})
}

// injectFault injects one fault, which can overlap with the next one. At most one
// control replica is unavailable at a time: without a majority the system refuses
// all requests, and the guarantees hold trivially.
func (f *faultInjector) injectFault() {
	pause := time.Duration(200+f.rng.IntN(4000)) * time.Millisecond
	switch f.rng.IntN(7) {
	case 0:
		f.countFault("kill control")
		r := f.controls[f.rng.IntN(len(f.controls))]
		r.kill()
		time.Sleep(pause / 2)
		r.start()
		f.waitAllVoters()
	case 1:
		f.countFault("freeze control")
		f.suspend(f.controls[f.rng.IntN(len(f.controls))].process, pause)
		f.waitAllVoters()
	case 2:
		f.countFault("empty disk of control")
		i := f.rng.IntN(len(f.controls))
		r := f.controls[i]
		r.kill()
		require.NoError(f.t, os.RemoveAll(r.folder))
		r.start()
		f.waitVoter(i)
	case 3:
		f.countFault("kill entry")
		f.restartLater(f.entries[f.rng.IntN(len(f.entries))].process, pause, (*process).kill)
	case 4:
		f.countFault("stop entry")
		f.restartLater(f.entries[f.rng.IntN(len(f.entries))].process, pause, (*process).stop)
	case 5:
		f.countFault("freeze entry")
		f.suspend(f.entries[f.rng.IntN(len(f.entries))].process, pause)
	case 6:
		f.countFault("kill endpoints")
		f.restartLater(f.endpointProcesses[f.rng.IntN(len(f.endpointProcesses))], pause, (*process).kill)
	}
}

func (f *faultInjector) countFault(kind string) { f.counts[kind]++ }

// waitAllVoters waits until all control replicas are voters and one of them leads, so
// that the group tolerates the loss of a replica.
func (f *faultInjector) waitAllVoters() {
	for i := range f.controls {
		f.waitVoter(i)
	}
	f.leader()
}

// suspend stops the process with SIGSTOP and continues it after the given time.
func (f *faultInjector) suspend(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restartLater ends the process with end and starts it again after pause, both in the
// background. It does nothing if the process is being restarted already.
func (f *faultInjector) restartLater(p *process, pause time.Duration, end func(*process)) {
	if !p.restarting.CompareAndSwap(false, true) {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer p.restarting.Store(false)
		end(p)
		time.Sleep(pause)
		p.start()
	}()
}

// Guards against an entry instance that accepts a withdrawn key while it is isolated
// from the control replicas.
func TestIsolatedEntryRefusesWithdrawnKey(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.apply(twoPoolRules)
	c.issueKey("shops")
	c.startEndpoints("quotes", 2)
	c.waitReady()
	c.waitAnswered("quotes", "shops")
	// Suspending all control replicas isolates every entry instance.
	_, err := c.client.WithdrawKey(context.Background(), "shops-1")
	require.NoError(t, err)
	withdrawnAt := time.Now()
	for _, r := range c.controls {
		r.signal(syscall.SIGSTOP)
	}
	for _, e := range c.entries {
		c.eventually(2*time.Second-time.Since(withdrawnAt), "the key is refused by "+e.name, func() bool {
			r, err := c.send(e, "GET", "/q/quotes/x", "shops")
			return err == nil && r.outcome == "not-run"
		})
		c.eventually(2*time.Second, e.name+" is not ready", func() bool { return !ready(e.health) })
	}
}
