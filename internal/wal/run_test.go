package wal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
)

// runEnv names the environment variable with the duration of a long run, which
// draws random seeds and prints each one, and seedEnv the one with the only seed
// to run.
const (
	runEnv       = "CACTUSSPAR_RUN"
	seedEnv      = "CACTUSSPAR_SEED"
	longRunSteps = 20000
)

// runSeed runs one seed with 3 or 5 replicas and all faults, then heals.
func runSeed(seed uint64, steps int) *cluster {
	c := newCluster(seed, 3+2*int(seed%2))
	c.run(300) // a leader and some commands before the first fault
	c.faults = roughFaults
	c.run(steps)
	c.heal()
	return c
}

func summary(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// Guards against any combination of faults that breaks election safety, log
// matching, leader completeness or confirmed reads, loses an acknowledged
// command, or leaves the group unable to recover.
func TestRandomisedRun(t *testing.T) {
	t.Parallel()
	if d, err := time.ParseDuration(os.Getenv(runEnv)); err == nil {
		longRun(t, d)
		return
	}
	if seed, err := strconv.ParseUint(os.Getenv(seedEnv), 10, 64); err == nil {
		c := runSeed(seed, longRunSteps)
		require.NoError(t, c.err, "seed %d", seed)
		return
	}
	totals := map[string]int{}
	for seed := uint64(1); seed <= 16; seed++ {
		c := runSeed(seed, 3000)
		require.NoError(t, c.err, "seed %d", seed)
		add(totals, c)
	}
	t.Log(summary(totals))
	for _, fault := range []string{"kills", "crashes", "crashes in operations", "crashes after a vote", "torn files", "emptied disks", "freezes", "partitions", "one-way partitions", "storage failures", "snapshots received", "confirmed reads"} {
		require.Positive(t, totals[fault], "the run provoked no %s", fault)
	}
}

func add(totals map[string]int, c *cluster) {
	for name, n := range c.counts {
		totals[name] += n
	}
	totals["steps"] += c.step
	totals["acknowledged"] += len(c.oracle.acknowledged)
	totals["terms"] += len(c.oracle.leaders)
	for _, s := range c.sites {
		totals["torn files"] += s.fs.torn
	}
}

func longRun(t *testing.T, d time.Duration) {
	totals := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		seed := rand.Uint64()
		fmt.Println("seed", seed)
		c := runSeed(seed, longRunSteps)
		require.NoError(t, c.err, "seed %d", seed)
		add(totals, c)
		totals["seeds"]++
	}
	fmt.Println(summary(totals))
}

// await runs until a site's replica is a voter in a committed membership.
func (c *cluster) await(s *site) {
	for range 100 {
		if s.joined || c.err != nil {
			return
		}
		c.run(10)
	}
	c.failf("%s did not become a voter", s.name)
}

// Guards against acknowledged commands that only the lost instances held, when
// a second instance loses its disk right after the first one was repaired.
func TestSecondInstanceLostRightAfterRepair(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		c := newCluster(seed, 3)
		c.faults = faultRates{loss: 0.05, duplicate: 0.05, maxDelay: 6}
		c.run(400)
		for n := range 6 {
			lost := c.sites[n%3]
			c.wipe(lost)
			require.False(t, lost.joined)
			c.await(lost)
		}
		c.heal()
		require.NoError(t, c.err, "seed %d", seed)
		require.Equal(t, 6, c.counts["emptied disks"])
		require.NotEmpty(t, c.oracle.acknowledged)
	}
}

// Guards against a forced recovery that loses what the survivor held, or that
// replicas of the lost majority can disturb.
func TestForcedRecovery(t *testing.T) {
	c := newCluster(3, 3)
	c.run(400)
	survivor, away := c.sites[0], c.sites[1]
	require.NoError(t, c.err)
	c.halt(survivor, true)
	c.halt(away, true)
	away.down = 1 << 30
	s, start, err := openMem(survivor.fs)
	require.NoError(t, err)
	self := consensus.Member{ID: survivor.id, Name: survivor.name}
	r, err := consensus.Recover(start, self, 7)
	require.NoError(t, err)
	require.NoError(t, s.Save(consensus.Ready{HardState: &r.HardState, Entries: []consensus.Entry{r.Entry}, MustSync: true}))
	require.NoError(t, s.Close())
	held := len(c.oracle.acknowledged)
	c.sites[2].joined = true // it has a disk, but of the old epoch
	c.ignoreForeign = true
	survivor.down = 0
	c.run(300)
	require.Positive(t, c.counts["foreign messages"])
	for _, lost := range c.sites[1:] {
		lost.fs.wipe()
		lost.core, lost.storage, lost.joined, lost.down = nil, nil, false, 0
		c.await(lost)
	}
	c.heal()
	require.NoError(t, c.err)
	require.Greater(t, len(c.oracle.acknowledged), held)
	require.Equal(t, r.Membership.Epoch, survivor.core.Status().Membership.Epoch)
}
