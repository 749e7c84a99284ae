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

// durationEnv is the environment variable with the duration of a long run, which
// prints each of its random seeds. seedEnv is the one with the only seed to run.
const (
	durationEnv  = "CACTUSSPAR_RUN"
	seedEnv      = "CACTUSSPAR_SEED"
	longRunSteps = 20000
)

// simulate runs one seed with 3 or 5 servers and all kinds of faults, and then
// waits for the group to converge without faults.
func simulate(seed uint64, steps int) *cluster {
	c := newCluster(seed, 3+2*int(seed%2))
	c.run(300) // elect a leader and commit some commands before the first fault
	c.faults = frequentFaults
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

// Guards against a combination of faults that violates election safety, log
// matching, leader completeness or linearisable reads, loses an acknowledged
// command, or prevents the group from recovering.
func TestRandomisedSimulation(t *testing.T) {
	t.Parallel()
	if d, err := time.ParseDuration(os.Getenv(durationEnv)); err == nil {
		simulateFor(t, d)
		return
	}
	if seed, err := strconv.ParseUint(os.Getenv(seedEnv), 10, 64); err == nil {
		c := simulate(seed, longRunSteps)
		require.NoError(t, c.err, "seed %d", seed)
		return
	}
	totals := map[string]int{}
	for seed := uint64(1); seed <= 16; seed++ {
		c := simulate(seed, 3000)
		require.NoError(t, c.err, "seed %d", seed)
		addCounts(totals, c)
	}
	t.Log(summary(totals))
	for _, fault := range []string{"kills", "crashes", "crashes in operations", "crashes after a vote", "torn files", "emptied disks", "suspensions", "partitions", "one-way partitions", "storage failures", "snapshots received", "confirmed reads"} {
		require.Positive(t, totals[fault], "the simulation injected no %s", fault)
	}
}

// Guards against acknowledged commands that are lost in a group whose disks lose more, or
// other things, at a power loss than those of TestRandomisedSimulation.
func TestRandomisedSimulationInEachLossModel(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		c := newCluster(seed, 3+2*int(seed%2))
		for _, s := range c.servers {
			s.fs.losses = lossModel{everything: seed&1 > 0, ownSync: seed&2 > 0, splitRenames: seed&4 > 0}
		}
		c.run(300)
		c.faults = frequentFaults
		c.run(2000)
		c.heal()
		require.NoError(t, c.err, "seed %d", seed)
	}
}

func addCounts(totals map[string]int, c *cluster) {
	for name, n := range c.counts {
		totals[name] += n
	}
	totals["steps"] += c.step
	totals["acknowledged"] += len(c.oracle.acknowledged)
	totals["terms"] += len(c.oracle.leaders)
	for _, s := range c.servers {
		totals["torn files"] += s.fs.tornFiles
	}
}

func simulateFor(t *testing.T, d time.Duration) {
	totals := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		seed := rand.Uint64()
		fmt.Println("seed", seed)
		c := simulate(seed, longRunSteps)
		require.NoError(t, c.err, "seed %d", seed)
		addCounts(totals, c)
		totals["seeds"]++
	}
	fmt.Println(summary(totals))
}

// awaitVoter runs until a server's replica is a voter in a committed membership.
func (c *cluster) awaitVoter(s *server) {
	for range 100 {
		if s.joined || c.err != nil {
			return
		}
		c.run(10)
	}
	c.failf("%s did not become a voter", s.name)
}

// Guards against the loss of acknowledged commands that only the lost disks held,
// when an instance loses its disk right after another one has rejoined with an
// empty disk.
func TestInstanceLostRightAfterRepair(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		c := newCluster(seed, 3)
		c.faults = faultRates{loss: 0.05, duplicate: 0.05, maxDelay: 6}
		c.run(400)
		for n := range 6 {
			lost := c.servers[n%3]
			c.wipe(lost)
			require.False(t, lost.joined)
			c.awaitVoter(lost)
		}
		c.heal()
		require.NoError(t, c.err, "seed %d", seed)
		require.Equal(t, 6, c.counts["emptied disks"])
		require.NotEmpty(t, c.oracle.acknowledged)
	}
}

// Guards against a forced recovery that loses commands held by the survivor, or
// after which replicas of the old group interfere.
func TestForcedRecovery(t *testing.T) {
	c := newCluster(3, 3)
	c.run(400)
	survivor, stale := c.servers[0], c.servers[1]
	require.NoError(t, c.err)
	c.stopServer(survivor, true)
	c.stopServer(stale, true)
	stale.restartAt = 1 << 30
	s, durable, err := openMem(survivor.fs)
	require.NoError(t, err)
	self := consensus.Member{ID: survivor.id, Name: survivor.name}
	r, err := consensus.Recover(durable, self, 7)
	require.NoError(t, err)
	require.NoError(t, s.Save(consensus.Ready{HardState: &r.HardState, Entries: []consensus.Entry{r.Entry}, MustSync: true}))
	require.NoError(t, s.Close())
	acknowledgedBefore := len(c.oracle.acknowledged)
	c.servers[2].joined = true // its replica keeps its disk, with the old epoch
	c.allowForeignEpoch = true
	survivor.restartAt = 0
	c.run(300)
	require.Positive(t, c.counts["foreign messages"])
	for _, lost := range c.servers[1:] {
		lost.fs.wipe()
		lost.core, lost.storage, lost.joined, lost.restartAt = nil, nil, false, 0
		c.awaitVoter(lost)
	}
	c.heal()
	require.NoError(t, c.err)
	require.Greater(t, len(c.oracle.acknowledged), acknowledgedBefore)
	require.Equal(t, r.Membership.Epoch, survivor.core.Status().Membership.Epoch)
}
