package scheduling

import "time"

// MaintenanceWave is how far a maintenance wave is.
type MaintenanceWave struct {
	// Instances is the number of instances of the wave, Begun that of those whose
	// maintenance has begun, Down that of those which are not back.
	Instances, Begun, Down int
	// Cap is the number that may be down at a time.
	Cap int
	// Elapsed is the time since the wave was asked for, Within the time it may take.
	Elapsed, Within time.Duration
	// Load is the part of all cores that work needs now.
	Load float64
}

const (
	// maintenanceReserve is the part of a wave's time that is kept for instances that
	// are hard to empty.
	maintenanceReserve = 0.25
	// lullLoad is the load below which maintenance costs nobody anything.
	lullLoad = 0.5
)

// MaintenanceSlots returns how many further instances may be taken for maintenance.
// In a lull that is all that the wave's cap allows. In a peak the wave only keeps
// up with an even pace, which ends it in time.
func MaintenanceSlots(w MaintenanceWave) int {
	free := max(w.Cap-w.Down, 0)
	if w.Load < lullLoad {
		return free
	}
	paced := float64(w.Within) * (1 - maintenanceReserve)
	due := w.Instances
	if paced > 0 {
		due = min(int(float64(w.Instances)*float64(w.Elapsed)/paced)+1, w.Instances)
	}
	return min(max(due-w.Begun, 0), free)
}
