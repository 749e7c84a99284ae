package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Maintenance is due while a queue has its peak. The wave must not take all allowed
// instances during the peak, and must still end in time.
func TestMaintenanceIsPacedAtHighLoad(t *testing.T) {
	w := MaintenanceWave{Instances: 26, Cap: 10, TimeLimit: 27 * time.Second, Load: 0.9}
	require.Equal(t, 1, MaintenanceSlots(w))
	w.Load = 0.1
	require.Equal(t, 10, MaintenanceSlots(w))
	w.Down = 10
	require.Zero(t, MaintenanceSlots(w))
	w.Load, w.Down, w.Started, w.Elapsed = 0.9, 0, 5, 21*time.Second
	require.Equal(t, 10, MaintenanceSlots(w))
}

// simulatedFleet is a fleet of equal instances in two pools during a maintenance wave over
// every other instance. It has no tasks, so that instances move at once.
type simulatedFleet struct {
	instances []simulatedInstance
	wave      MaintenanceWave
}

type simulatedInstance struct {
	pool string
	// awayUntil is the end of the instance's last move or maintenance.
	awayUntil                time.Duration
	inWave, maintained, down bool
}

const (
	simulatedMove        = 2200 * time.Millisecond // including the platform's list
	simulatedMaintenance = 2 * time.Second
)

func newSimulatedFleet(size int, wave MaintenanceWave) *simulatedFleet {
	f := &simulatedFleet{wave: wave}
	for i := range size {
		f.instances = append(f.instances, simulatedInstance{pool: "a", inWave: i%2 == 0})
	}
	f.wave.Instances = size / 2
	return f
}

// maintain starts the maintenance of instances as far as the wave allows.
func (f *simulatedFleet) maintain(now time.Duration) {
	f.wave.Elapsed, f.wave.Started, f.wave.Down = now, 0, 0
	for i := range f.instances {
		n := &f.instances[i]
		n.down = n.down && now < n.awayUntil
		if n.maintained {
			f.wave.Started++
		}
		if n.down {
			f.wave.Down++
		}
	}
	slots := MaintenanceSlots(f.wave)
	for i := range f.instances {
		// The move that has just ended is noticed by the next round of moves.
		if n := &f.instances[i]; slots > 0 && n.inWave && !n.maintained && now > n.awayUntil {
			n.maintained, n.down, n.awayUntil = true, true, now+simulatedMaintenance
			slots--
		}
	}
}

// move moves instances to the pools that need them, in cores.
func (f *simulatedFleet) move(t *testing.T, now time.Duration, need map[string]float64) {
	load := map[string]*PoolLoad{"a": {Name: "a", Need: need["a"]}, "b": {Name: "b", Need: need["b"]}}
	var movable []MovableInstance
	for i := range f.instances {
		n := &f.instances[i]
		if now < n.awayUntil {
			load[n.pool].Incoming += 64
			continue
		}
		load[n.pool].Capacity += 64
		movable = append(movable, MovableInstance{
			ID: fmt.Sprint(i), Pool: n.pool, Cores: 64, Kept: n.inWave && !n.maintained && KeepsForMaintenance(f.wave),
		})
	}
	policy := testPolicy
	policy.MinShare = 0.1
	for _, m := range Moves([]PoolLoad{*load["a"], *load["b"]}, listed(movable), policy) {
		var i int
		_, err := fmt.Sscan(m.Instance, &i)
		require.NoError(t, err)
		f.instances[i].pool, f.instances[i].awayUntil = m.To, now+simulatedMove
	}
}

// Two queues peak in turn during a wave, and each needs most instances of the fleet. The
// wave must still end in time, although each instance is needed in the other pool by the
// time when it has arrived in one.
func TestWaveEndsInTimeWhileQueuesPeakInTurn(t *testing.T) {
	const step, turn = 100 * time.Millisecond, simulatedMove
	f := newSimulatedFleet(20, MaintenanceWave{Cap: 4, TimeLimit: 25 * time.Second, Load: 0.9})
	for now := time.Duration(0); now < f.wave.TimeLimit; now += step {
		f.maintain(now)
		need := map[string]float64{"a": 17 * 64, "b": 64}
		if (now/turn)%2 == 1 {
			need["a"], need["b"] = need["b"], need["a"]
		}
		f.move(t, now, need)
	}
	require.Equal(t, f.wave.Instances, f.wave.Started)
}
