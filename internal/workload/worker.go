package workload

import (
	"slices"
	"time"

	"cactusspar/internal/resources"
)

// Worker is one life of an instance, as it describes itself.
type Worker struct {
	ID string `msgpack:"i"`
	// Born is when this life began, in Unix milliseconds of the worker's clock. A
	// worker that starts again under its identity has a higher one.
	Born       int64            `msgpack:"b"`
	Address    string           `msgpack:"a"`
	Pool       string           `msgpack:"p"`
	DataCentre string           `msgpack:"c"`
	Version    string           `msgpack:"v"`
	Capacity   resources.Amount `msgpack:"r"`
	Labels     []string         `msgpack:"l"`
	Draining   bool             `msgpack:"d"`

	// Noted is the number of the last end that is committed here and that the
	// worker may forget.
	Noted uint64 `msgpack:"n"`
	// Since is when this life was first committed.
	Since time.Time `msgpack:"s"`
}

// Rack returns the worker's rack: the last of its labels, after its kind.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel tells whether the worker carries a label. Every worker carries the
// empty one.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// SameAs tells whether o describes the worker as w does, so that no command is
// needed.
func (w *Worker) SameAs(o *Worker) bool {
	return w.Born == o.Born && w.Address == o.Address && w.Pool == o.Pool && w.DataCentre == o.DataCentre &&
		w.Version == o.Version && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels) && w.Draining == o.Draining
}

// Wave is a request to maintain instances within a time.
type Wave struct {
	ID        uint64        `msgpack:"i"`
	Instances []string      `msgpack:"m"`
	Within    time.Duration `msgpack:"w"`
	// Cap is the number of its instances that may be down at a time.
	Cap      int       `msgpack:"c"`
	Accepted time.Time `msgpack:"a"`
	// Ordered holds when the maintenance of an instance was ordered.
	Ordered map[string]time.Time `msgpack:"o"`
	// Begun holds the instances whose maintenance is known to have begun, or that
	// have left the fleet.
	Begun map[string]bool `msgpack:"b"`
}

// Done tells whether the maintenance of every instance has begun.
func (w *Wave) Done() bool { return len(w.Begun) >= len(w.Instances) }
