package workload

import (
	"slices"
	"time"

	"cactusspar/internal/resources"
)

// Worker is one incarnation of a worker, as it reports itself.
type Worker struct {
	ID string `msgpack:"i"`
	// Incarnation is the start time in Unix milliseconds of the worker's clock. A
	// worker that restarts under its ID has a higher one.
	Incarnation int64            `msgpack:"b"`
	Address     string           `msgpack:"a"`
	Pool        string           `msgpack:"p"`
	DataCentre  string           `msgpack:"c"`
	Version     string           `msgpack:"v"`
	Capacity    resources.Amount `msgpack:"r"`
	Labels      []string         `msgpack:"l"`
	Draining    bool             `msgpack:"d"`

	// Cordoned workers get no tasks, because the move or the maintenance of their
	// instance may have been requested. It ends with the incarnation.
	Cordoned bool `msgpack:"k,omitempty"`
	// Fence is what is known of calls for former incarnations that this one may have carried out.
	Fence FenceState `msgpack:"f,omitempty"`
	// Acknowledged is the sequence number of the worker's last committed end. The
	// worker may discard the ends up to it.
	Acknowledged uint64 `msgpack:"n"`
	// Since is when this incarnation was first committed.
	Since time.Time `msgpack:"s"`
}

// FenceState is how far a worker's incarnation is protected from calls that were meant for former
// ones. It carries them out until it has seen a fencing token of its own, and holds the lease that
// they extend.
type FenceState uint8

const (
	// Unfenced means that calls for former incarnations may still be carried out.
	Unfenced FenceState = iota
	// Fenced means that no such call is carried out any more.
	Fenced
	// FenceSettled means that the leases that such calls extended have ended, too.
	FenceSettled
)

// Rack returns the worker's rack, which is the last of its labels. A worker with
// fewer than two labels has none: the first one is its kind.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label. The empty label matches every
// worker.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// EqualReport reports whether o equals w in all fields that the worker reports, so
// that no command is needed.
func (w *Worker) EqualReport(o *Worker) bool {
	return w.Incarnation == o.Incarnation && w.Address == o.Address && w.Pool == o.Pool && w.DataCentre == o.DataCentre &&
		w.Version == o.Version && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels) && w.Draining == o.Draining
}

// Wave is a request for maintenance of a set of instances within a time limit.
type Wave struct {
	ID        uint64        `msgpack:"i"`
	Instances []string      `msgpack:"m"`
	TimeLimit time.Duration `msgpack:"w"`
	// Cap is the maximum number of its instances that are down at a time.
	Cap      int       `msgpack:"c"`
	Accepted time.Time `msgpack:"a"`
	// Ordered holds the time at which the maintenance of each instance was ordered.
	Ordered map[string]time.Time `msgpack:"o"`
	// Started holds the instances whose maintenance has started or that have left the
	// fleet.
	Started map[string]bool `msgpack:"b"`
}

// Done reports whether the maintenance of every instance has started.
func (w *Wave) Done() bool { return len(w.Started) >= len(w.Instances) }
