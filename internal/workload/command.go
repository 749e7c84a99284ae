package workload

import "time"

// Command is a batch of changes, applied in the order of the fields. A change that
// doesn't fit the state is ignored; the others still apply.
type Command struct {
	Topology    *Topology          `msgpack:"t,omitempty"`
	Evacuations []EvacuationChange `msgpack:"d,omitempty"`
	Holder      *HolderRecord      `msgpack:"l,omitempty"`
	// Verdicts tell which of the presumed crashes have taken place.
	Verdicts       []CrashVerdict      `msgpack:"y,omitempty"`
	Crashes        []WorkerCrash       `msgpack:"x,omitempty"`
	Workers        []Worker            `msgpack:"w,omitempty"`
	RemovedWorkers []WorkerIncarnation `msgpack:"g,omitempty"`
	Fences         []WorkerFence       `msgpack:"z,omitempty"`
	Submit         []Job               `msgpack:"s,omitempty"`
	Cancel         []string            `msgpack:"c,omitempty"`
	// EarlyCancels lists the cancels of jobs that were not known.
	EarlyCancels []EarlyCancel `msgpack:"h,omitempty"`
	Ends         []RunEnd      `msgpack:"e,omitempty"`
	Released     []RunRelease  `msgpack:"r,omitempty"`
	// Acquitted lists the runs of suspects that have outlasted their trials.
	Acquitted   []RunID             `msgpack:"q,omitempty"`
	Openings    []OccurrenceOpening `msgpack:"o,omitempty"`
	Cordons     []Cordon            `msgpack:"k,omitempty"`
	Starts      []RunStart          `msgpack:"a,omitempty"`
	Waves       []Wave              `msgpack:"v,omitempty"`
	Maintenance []WaveEvent         `msgpack:"u,omitempty"`
	// RemovedJobs lists jobs to remove. They ended long ago.
	RemovedJobs []string `msgpack:"f,omitempty"`
}

// Empty reports whether the command holds no changes.
func (c *Command) Empty() bool {
	return c.Topology == nil && c.Holder == nil && len(c.Evacuations)+len(c.Verdicts)+len(c.Crashes)+len(c.Acquitted)+len(c.Workers)+len(c.RemovedWorkers)+len(c.Fences)+len(c.Submit)+len(c.Cancel)+len(c.EarlyCancels)+len(c.Ends)+
		len(c.Released)+len(c.Openings)+len(c.Cordons)+len(c.Starts)+len(c.Waves)+len(c.Maintenance)+len(c.RemovedJobs) == 0
}

// WorkerIncarnation identifies one incarnation of a worker.
type WorkerIncarnation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
}

// WorkerFence is the progress of a worker's incarnation to a later FenceState.
type WorkerFence struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	State       FenceState
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of runs.
const (
	Succeeded Outcome = "succeeded"
	// RunFailed: the run failed because of the task or the worker.
	RunFailed Outcome = "failed"
	// Stopped: the run was stopped on request.
	Stopped Outcome = "stopped"
	// LeaseExpired: the run ended because the lease of its worker expired.
	LeaseExpired Outcome = "lapsed"
	// GangBroken: the run ended because another member of its gang did.
	GangBroken Outcome = "broken"
	// GangJoinTimeout: the run waited too long for the other members of its gang.
	GangJoinTimeout Outcome = "unjoined"
)

// RunEnd is the end of a run as reported by its worker.
type RunEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	// Sequence numbers the ends of a worker's incarnation.
	Sequence   uint64
	Task       TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// RunRelease removes a run that can't be executing any more.
type RunRelease struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Task TaskID
	Run  int
	// Checkpoint is the last known checkpoint of the run.
	Checkpoint string
	// Reason is used in logs only.
	Reason string
}

// Cordon begins or ends the cordon of a worker.
type Cordon struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	Cordoned    bool
}

// RunStart is the decision to run a task on a worker.
type RunStart struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Task        TaskID
	Run         int
	Worker      string
	Incarnation int64
}

// OccurrenceOpening adds an occurrence of a scheduled job once it is due. Its tasks
// wait for workers from then on.
type OccurrenceOpening struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job        string
	Occurrence int
}

// WaveEvent is a step in the maintenance of an instance.
type WaveEvent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Wave     uint64
	Instance string
	// Ordered reports that maintenance is about to be requested from the platform,
	// Started that the platform has accepted the request or that the instance has
	// left the fleet.
	Ordered, Started bool
	At               time.Time
}
