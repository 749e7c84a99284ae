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
	pacedTime := float64(w.TimeLimit) * (1 - maintenanceReserve)
	due := w.Instances
	if pacedTime > 0 {
		due = min(int(float64(w.Instances)*float64(w.Elapsed)/pacedTime)+1, w.Instances)
	}
	return min(max(due-w.Started, 0), free)
}
