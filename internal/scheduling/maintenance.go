package scheduling

import "time"

// MaintenanceWave is the progress of a maintenance wave.
type MaintenanceWave struct {
	// Instances is the number of instances in the wave, Started the number whose
	// maintenance has started, Down the number that are out of service.
	Instances, Started, Down int
	// Cap is the maximum number of instances that are down at a time.
	Cap int
	// Elapsed is the time since the wave was requested, TimeLimit its time limit.
	Elapsed, TimeLimit time.Duration
	// Load is the share of all cores that the current work needs.
	Load float64
}

const (
	// maintenanceReserve is the share of a wave's time limit that is kept for
	// instances that are slow to drain.
	maintenanceReserve = 0.25
	// lowLoad is the load below which maintenance takes no capacity that work needs.
	lowLoad = 0.5
)

// MaintenanceSlots returns how many further instances may go into maintenance. At
// low load, these are as many as the wave's cap allows. At higher load, they are only
// those that are due at an even pace that ends the wave in time.
func MaintenanceSlots(w MaintenanceWave) int {
	free := max(w.Cap-w.Down, 0)
	if w.Load < lowLoad {
		return free
	}
	due := w.Instances
	if w.pacedTime() > 0 {
		due = min(int(float64(w.Instances)*float64(w.Elapsed)/float64(w.pacedTime()))+1, w.Instances)
	}
	return min(max(due-w.Started, 0), free)
}

// pacedTime is the time within which the wave ends at an even pace.
func (w *MaintenanceWave) pacedTime() time.Duration {
	return time.Duration(float64(w.TimeLimit) * (1 - maintenanceReserve))
}

// releaseTime is how long an instance may be out of reach of a wave because of a move: the
// move itself, and the end of the tasks that it runs first.
const releaseTime = moveLeadTime + 2500*time.Millisecond

// KeepsForMaintenance reports whether the instances that a wave still waits for are kept
// where they are. An instance in a move can't be maintained, and in a peak the pools would
// move it again and again until the time limit has passed.
func KeepsForMaintenance(w MaintenanceWave) bool { return w.Elapsed+releaseTime >= w.pacedTime() }
