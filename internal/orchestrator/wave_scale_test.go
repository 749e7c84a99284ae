package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// lastingSteps is the number of pools with a step whose tasks last.
const lastingSteps = scalePools - 1

// startWaveAtScale starts a fleet in which half of the instances of lastingSteps pools are due for
// maintenance. A task that lasts runs on each of them. Only one of each pool may be interrupted at a
// time, and no run ever stops, so that most instances wait for the whole time.
func startWaveAtScale(t testing.TB, workers int) *Orchestrator {
	t.Helper()
	ctx := context.Background()
	f := newScaleFleet(workers, time.Hour)
	f.machines, f.lasting = true, true
	o := startScaleSystem(t, f, f)
	budget := 1
	for i := range lastingSteps {
		step := workload.Step{
			Count: workers / scalePools, Resources: resources.Amount{MilliCPU: 4000, MemoryMB: 1000}, LongRunning: true, MaxUnavailable: &budget, MaxPerWorker: 1,
		}
		require.Eventually(t, func() bool {
			r, err := o.Call(ctx, MethodSubmit, &Call{
				Host: "h", Path: fmt.Sprintf("/p%d/%016x", i, i+1), Remaining: 3 * time.Second, Job: &workload.Job{Spec: "s", Steps: []workload.Step{step}},
			})
			return err == nil && r.Outcome == Accepted
		}, 20*time.Second, 50*time.Millisecond)
	}
	serving := func() (n int) {
		onLoopOf(t, o, func() {
			for _, s := range o.sessions {
				for _, r := range s.orders {
					if r.phase == running && s.listedAt != 0 {
						n++
					}
				}
			}
		})
		return n
	}
	require.Eventually(t, func() bool { return serving() == lastingSteps*(workers/scalePools) }, 60*time.Second, 50*time.Millisecond)
	wave := &workload.Wave{ID: 1, Cap: workers / 5, TimeLimit: time.Minute}
	for i, w := range f.workers {
		if i%scalePools < lastingSteps && i/scalePools%2 == 0 {
			wave.Instances = append(wave.Instances, "m-"+w.id)
		}
	}
	require.Eventually(t, func() bool { return o.StartWave(ctx, wave) == nil }, 20*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		begun := 0
		onLoopOf(t, o, func() { begun = len(o.fleet.drains) })
		return begun >= lastingSteps
	}, 20*time.Second, 50*time.Millisecond)
	return o
}

// onLoopOf runs f on the owning goroutine of a leader.
func onLoopOf(t testing.TB, o *Orchestrator, f func()) {
	t.Helper()
	require.NoError(t, o.Replica.Await(context.Background(), func(done func(error)) {
		f()
		done(nil)
	}))
}

// TestWaitingDrainsDoNotMultiplyVisitsOfWorkers guards against a leader whose ticks are taken by a
// maintenance wave in a load peak: each instance that waited for its drain, and each drain in progress,
// looked at all workers, ten times a second.
func TestWaitingDrainsDoNotMultiplyVisitsOfWorkers(t *testing.T) {
	const workers = 200
	o := startWaveAtScale(t, workers)
	most := 0
	for range 20 {
		onLoopOf(t, o, func() {
			o.fleet.lastTick, o.load.drainVisits = 0, 0
			o.tickFleet(boottime.Now())
			most = max(most, o.load.drainVisits)
		})
		time.Sleep(50 * time.Millisecond)
	}
	require.LessOrEqual(t, most, (lastingSteps+2)*workers, "workers visited in one tick")
}

// BenchmarkWaveTick measures a tick of the fleet with a wave over half of the instances, most of which
// wait.
func BenchmarkWaveTick(b *testing.B) {
	for _, workers := range []int{300, 1100, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			o := startWaveAtScale(b, workers)
			visits := 0
			b.ResetTimer()
			for range b.N {
				onLoopOf(b, o, func() {
					o.fleet.lastTick, o.load.drainVisits = 0, 0
					o.tickFleet(boottime.Now())
					visits += o.load.drainVisits
				})
			}
			b.ReportMetric(float64(visits)/float64(b.N), "visits/op")
		})
	}
}

// TestEachInstanceOfWaveGetsItsTurn guards against instances that no tick comes to, because each tick
// plans those first that had to wait before: a tick plans only as many as its time allows.
func TestEachInstanceOfWaveGetsItsTurn(t *testing.T) {
	o := &Orchestrator{sessions: map[string]*session{}}
	o.fleet.drainRetries = map[string]drainRetry{"waited": {at: 2000}, "waited-longer": {at: 1000}}
	instances := []string{"waited", "new", "waited-longer"}
	o.sortForMaintenance(instances)
	require.Equal(t, []string{"new", "waited-longer", "waited"}, instances)

	p := drainPlanning{until: time.Now()}
	require.False(t, p.timeOver(), "each tick plans one drain")
	p.newPlans = 1
	require.True(t, p.timeOver())
}
