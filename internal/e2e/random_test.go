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

// shortRun is the duration in CI. E2E_RUN and E2E_SEED set a longer run with
// another seed, for example E2E_RUN=10m E2E_SEED=7.
const (
	shortRun  = 25 * time.Second
	shortSeed = 1
)

func runLength(t *testing.T) (time.Duration, uint64) {
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

// chaos provokes faults at random until its time is over.
type chaos struct {
	*cluster
	rng    *rand.Rand
	counts map[string]int
	wg     sync.WaitGroup
}

// Guards against broken promises under random faults of all processes, also
// several at a time: kills, freezes, emptied disks and planned stops.
func TestRandomFaults(t *testing.T) {
	d, seed := runLength(t)
	t.Logf("seed %d, duration %v", seed, d)
	c := newCluster(t, 3, 3)
	c.startFive(4)
	x := &chaos{cluster: c, rng: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
	report, result := c.loadFor(d, seed, func() {
		for end := time.Now().Add(d - 5*time.Second); time.Now().Before(end); {
			x.step()
			time.Sleep(time.Duration(500+x.rng.IntN(2500)) * time.Millisecond)
		}
		x.wg.Wait()
	})
	t.Logf("faults: %v", x.counts)
	require.Empty(t, result.Violations)
	require.Positive(t, report.Outcomes[standin.OutcomeAnswered])
	for _, queue := range pools {
		c.waitServed(queue, "shops")
	}
	c.requireKeys(map[string]bool{"shops-1": true, "agents-1": true, "audit-1": true})
}

// step provokes one fault, which may last while the next one comes. Of the
// control replicas at most one is away at a time: with two of three away
// nothing can go on, and the promises are kept by refusing everything.
func (x *chaos) step() {
	pause := time.Duration(200+x.rng.IntN(4000)) * time.Millisecond
	switch x.rng.IntN(7) {
	case 0:
		x.count("kill control")
		r := x.controls[x.rng.IntN(len(x.controls))]
		r.kill()
		time.Sleep(pause / 2)
		r.start()
		x.settle()
	case 1:
		x.count("freeze control")
		x.freeze(x.controls[x.rng.IntN(len(x.controls))].process, pause)
		x.settle()
	case 2:
		x.count("empty disk of control")
		i := x.rng.IntN(len(x.controls))
		r := x.controls[i]
		r.kill()
		require.NoError(x.t, os.RemoveAll(r.folder))
		r.start()
		x.waitVoter(i)
	case 3:
		x.count("kill entry")
		x.background(x.entries[x.rng.IntN(len(x.entries))].process, pause, (*process).kill)
	case 4:
		x.count("stop entry")
		x.background(x.entries[x.rng.IntN(len(x.entries))].process, pause, (*process).stop)
	case 5:
		x.count("freeze entry")
		x.freeze(x.entries[x.rng.IntN(len(x.entries))].process, pause)
	case 6:
		x.count("kill endpoints")
		x.background(x.others[x.rng.IntN(len(x.others))], pause, (*process).kill)
	}
}

func (x *chaos) count(what string) { x.counts[what]++ }

// settle waits until the group can do without another replica.
func (x *chaos) settle() {
	for i := range x.controls {
		x.waitVoter(i)
	}
	x.leader()
}

func (x *chaos) freeze(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// background ends the process and starts it again later, while other faults
// happen. A process that is away already is left alone.
func (x *chaos) background(p *process, pause time.Duration, end func(*process)) {
	if !p.busy.CompareAndSwap(false, true) {
		return
	}
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		defer p.busy.Store(false)
		end(p)
		time.Sleep(pause)
		p.start()
	}()
}

// Guards against a key that works after its withdrawal at an entry instance
// that is cut off from the control replicas.
func TestWithdrawnKeyAtAnIsolatedInstance(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.apply(smallRules)
	c.giveKey("shops")
	c.startEndpoints("quotes", 2)
	c.waitReady()
	c.waitServed("quotes", "shops")
	// With all replicas frozen, every entry instance is isolated.
	_, err := c.client.WithdrawKey(context.Background(), "shops-1")
	require.NoError(t, err)
	withdrawn := time.Now()
	for _, r := range c.controls {
		r.signal(syscall.SIGSTOP)
	}
	for _, e := range c.entries {
		c.eventually(2*time.Second-time.Since(withdrawn), "the key is refused by "+e.name, func() bool {
			r, err := c.send(e, "GET", "/q/quotes/x", "shops")
			return err == nil && r.outcome == "not-run"
		})
		c.eventually(2*time.Second, e.name+" is not ready", func() bool { return !ready(e.health) })
	}
}
