package workload

import "time"

// Command is a batch of changes. They are applied in the order of the fields. A
// change that doesn't fit the state is left out and changes nothing; the others
// still apply.
type Command struct {
	Topology    *Topology   `msgpack:"t,omitempty"`
	Workers     []Worker    `msgpack:"w,omitempty"`
	Gone        []Life      `msgpack:"g,omitempty"`
	Submit      []Job       `msgpack:"s,omitempty"`
	Cancel      []string    `msgpack:"c,omitempty"`
	Ends        []End       `msgpack:"e,omitempty"`
	Released    []Release   `msgpack:"r,omitempty"`
	Open        []Opening   `msgpack:"o,omitempty"`
	Starts      []Start     `msgpack:"a,omitempty"`
	Waves       []Wave      `msgpack:"v,omitempty"`
	Maintenance []WaveEvent `msgpack:"u,omitempty"`
	// Forget removes jobs that ended long ago.
	Forget []string `msgpack:"f,omitempty"`
}

// Empty tells whether the command changes nothing.
func (c *Command) Empty() bool {
	return c.Topology == nil && len(c.Workers)+len(c.Gone)+len(c.Submit)+len(c.Cancel)+len(c.Ends)+
		len(c.Released)+len(c.Open)+len(c.Starts)+len(c.Waves)+len(c.Maintenance)+len(c.Forget) == 0
}

// Life names one life of a worker.
type Life struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker string
	Born   int64
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Succeeded Outcome = "succeeded"
	// Faulted ended through its own fault or the worker's.
	Faulted Outcome = "failed"
	Stopped Outcome = "stopped"
	Lapsed  Outcome = "lapsed"
	// Broken ended because another member of its gang did.
	Broken Outcome = "broken"
	// Unjoined: it waited too long for the other members of its gang.
	Unjoined Outcome = "unjoined"
)

// End is an end of a run that a worker listed.
type End struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker string
	Born   int64
	// Sequence is the worker's number of the end.
	Sequence   uint64
	Task       TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Release gives up a run that can't be at work any more.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Task TaskID
	Run  int
	// Checkpoint is the last progress that the run was seen to have saved.
	Checkpoint string
	// Reason is kept for logs.
	Reason string
}

// Start is the decision to run a task on a worker.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Task   TaskID
	Run    int
	Worker string
	Born   int64
}

// Opening makes an occurrence's tasks wait for workers once it is due.
type Opening struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job        string
	Occurrence int
}

// WaveEvent is a step of an instance's maintenance.
type WaveEvent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Wave     uint64
	Instance string
	// Ordered tells that the platform is about to be asked, Begun that it agreed
	// or that the instance has left.
	Ordered, Begun bool
	At             time.Time
}
