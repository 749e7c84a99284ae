package orchestrator

import (
	"time"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// Methods of the requests to the leader. A replica that is not the leader responds
// with view.CodeNotLeader and the leader's address.
const (
	MethodSubmit        = "work.submit"
	MethodStatus        = "work.status"
	MethodCancel        = "work.cancel"
	MethodPending       = "work.pending"
	MethodTopology      = "work.topology"
	MethodReport        = "work.report"
	MethodLeave         = "work.leave"
	MethodApplyTopology = "work.apply"
	MethodReadTopology  = "work.read"
	MethodStartWave     = "work.wave"
	MethodWaveStatus    = "work.wave-status"
	MethodEvacuate      = "work.evacuate"
)

// MethodFollowerStatus is the method of a status request that any replica may serve from its own
// state, see Orchestrator.FollowerStatus.
const MethodFollowerStatus = "work.follower-status"

// MethodForward is the method of a call that a follower forwards to the leader, see
// Orchestrator.Forward.
const MethodForward = "work.forward"

// MethodFollowerTopology is the method of a TopologyRequest that a follower serves, see
// Orchestrator.FollowerTopology.
const MethodFollowerTopology = "work.follower-topology"

// ForwardRequest is a call with its method.
type ForwardRequest struct {
	Method string `msgpack:"m"`
	Call   *Call  `msgpack:"c"`
}

// Call is a caller's request as it arrived. The leader resolves it against the
// topology in force, so that a gateway with an outdated topology neither refuses
// nor allows a call wrongly.
type Call struct {
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	// Key is the hash of the caller's key, nil without one.
	Key *workload.KeyHash `msgpack:"k"`
	// Remaining is how much longer the caller waits for a response.
	Remaining time.Duration `msgpack:"l"`
	// Job is set for a submission.
	Job *workload.Job `msgpack:"j"`

	counted bool // the submission counts as demand and for its team's share
}

// CallOutcome is the result of a call.
type CallOutcome string

// Outcomes of a call.
const (
	Accepted CallOutcome = "accepted"
	Found    CallOutcome = "found"
	// Refused: the job was not accepted and will never run.
	Refused CallOutcome = "refused"
	// Missing: there is no such job.
	Missing CallOutcome = "missing"
	// Unresolved: there is no such queue.
	Unresolved CallOutcome = "no-queue"
	// Unauthorized: the queue requires a key, and the call has no valid one.
	Unauthorized CallOutcome = "unknown-key"
	// Malformed: the call has no job or no job ID, or an invalid one.
	Malformed CallOutcome = "malformed"
	// Undecided: the job may or may not have been accepted.
	Undecided CallOutcome = "undecided"
)

// CallResponse is the response to a Call.
type CallResponse struct {
	Outcome    CallOutcome     `msgpack:"o"`
	Reason     string          `msgpack:"r"`
	RetryAfter time.Duration   `msgpack:"a"`
	Status     workload.Status `msgpack:"s"`
	// Job and Queue are the job ID and the queue that the call resolved to.
	Job     string `msgpack:"j"`
	Queue   string `msgpack:"q"`
	Pending int    `msgpack:"p"`
	Version uint64 `msgpack:"v"`
}

// TopologyRequest asks for the topology if its version differs from Version.
type TopologyRequest struct {
	Version uint64 `msgpack:"h"`
	// Wait is the longest time that the leader waits for a change before it responds.
	Wait time.Duration `msgpack:"w"`
	// Access asks for the access rules only, in pieces. Replicas of earlier versions ignore it and
	// return the topology.
	Access bool `msgpack:"a,omitempty"`
	// Continues is set to continue a transfer of access rules.
	Continues AccessTransfer `msgpack:"c,omitempty"`
}

// AccessTransfer identifies an update of access rules and the part of it that has arrived.
type AccessTransfer struct {
	// Version is the version to which the update leads, Checksum that of its encoding.
	Version  uint64 `msgpack:"v"`
	Checksum uint32 `msgpack:"s"`
	// Offset is the number of bytes that have arrived. It is 0 without a transfer.
	Offset int `msgpack:"o"`
}

// TopologyResponse confirms the version that the requester holds, or contains a
// newer topology.
type TopologyResponse struct {
	Version  uint64             `msgpack:"v"`
	Topology *workload.Topology `msgpack:"t"`
	// Replicas are the peer addresses of all control replicas.
	Replicas []string `msgpack:"r"`
	// Access is a piece of an update of the access rules. The update may lead to an earlier version
	// than Version if a transfer is continued.
	Access *AccessPiece `msgpack:"a,omitempty"`
}

// AccessPiece is a piece of an encoded workload.AccessUpdate.
type AccessPiece struct {
	AccessTransfer
	// Length is the length of the whole encoding in bytes.
	Length int    `msgpack:"l"`
	Data   []byte `msgpack:"d"`
}

// LeaveRequest deregisters a worker that shuts down.
type LeaveRequest struct {
	Worker string `msgpack:"w"`
	// Incarnation is the latest one that the replica knew at which the call arrived, or 0 if it
	// knew none. The worker doesn't send its own.
	Incarnation int64 `msgpack:"b"`
}

// EvacuationRequest begins or ends the evacuation of a data centre.
type EvacuationRequest struct {
	DataCentre string `msgpack:"d"`
	Evacuated  bool   `msgpack:"e"`
	// By is the operator who asks for it.
	By string `msgpack:"b"`
}

// Acknowledgement is the empty response to a request that returns no data.
type Acknowledgement struct{}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Known bool `msgpack:"k"`
	Done  bool `msgpack:"d"`
}

// Report is a worker's report as it is forwarded between replicas.
type Report = executor.Report
