package orchestrator

import (
	"time"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// Methods of the requests to the leader. A replica that doesn't lead answers
// with view.CodeNotLeader and the leader's address.
const (
	MethodSubmit   = "work.submit"
	MethodStatus   = "work.status"
	MethodCancel   = "work.cancel"
	MethodPending  = "work.pending"
	MethodTopology = "work.topology"
	MethodReport   = "work.report"
	MethodLeave    = "work.leave"
	MethodApply    = "work.apply"
	MethodRead     = "work.read"
	MethodWave     = "work.wave"
	MethodWaveRead = "work.wave-status"
)

// Call is a caller's call as it arrived. The leader resolves it by the topology
// in force, so that a gateway with an older one refuses and allows nothing
// wrongly.
type Call struct {
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	// Key is the hash of the caller's key, nil without one.
	Key *workload.KeyHash `msgpack:"k"`
	// Left is how long the caller still waits.
	Left time.Duration `msgpack:"l"`
	// Job is set for a submission.
	Job *workload.Job `msgpack:"j"`
}

// CallOutcome tells what became of a call.
type CallOutcome string

// Outcomes of a call.
const (
	Accepted CallOutcome = "accepted"
	Found    CallOutcome = "found"
	// Refused: the job was not accepted and never runs.
	Refused CallOutcome = "refused"
	// Missing: there is no such job.
	Missing CallOutcome = "missing"
	// Unresolved: there is no such queue.
	Unresolved CallOutcome = "no-queue"
	// Unauthorized: the queue needs a key, and the call has none that is valid.
	Unauthorized CallOutcome = "unknown-key"
	// Malformed: the call names no job, or one that is not valid.
	Malformed CallOutcome = "malformed"
	// Undecided: the job may or may not be accepted.
	Undecided CallOutcome = "undecided"
)

// CallAnswer answers a Call.
type CallAnswer struct {
	Outcome    CallOutcome     `msgpack:"o"`
	Reason     string          `msgpack:"r"`
	RetryAfter time.Duration   `msgpack:"a"`
	Status     workload.Status `msgpack:"s"`
	// Job and Queue are what the call was resolved to.
	Job     string `msgpack:"j"`
	Queue   string `msgpack:"q"`
	Pending int    `msgpack:"p"`
	Version uint64 `msgpack:"v"`
}

// TopologyRequest asks for a topology other than the one held.
type TopologyRequest struct {
	Held uint64 `msgpack:"h"`
	// Wait is how long the leader may wait for a change before it answers.
	Wait time.Duration `msgpack:"w"`
}

// TopologyAnswer confirms the topology held, or brings a newer one.
type TopologyAnswer struct {
	Version  uint64             `msgpack:"v"`
	Topology *workload.Topology `msgpack:"t"`
	// Replicas are the addresses of all control replicas.
	Replicas []string `msgpack:"r"`
}

// Leave says that a worker ends.
type Leave struct {
	Worker string `msgpack:"w"`
	// Born is 0 if the worker did not say it.
	Born int64 `msgpack:"b"`
}

// ReportAnswer answers a report.
type ReportAnswer struct{}

// WaveStatus answers a question about a wave.
type WaveStatus struct {
	Known bool `msgpack:"k"`
	Done  bool `msgpack:"d"`
}

// Report is a worker's report as it travels between replicas.
type Report = executor.Report
