// Package executor is the product's interface towards what runs tasks and moves
// instances. Implementations translate to a platform's calls and decide nothing.
package executor

import (
	"context"
	"fmt"
	"time"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// Target is a worker as an order addresses it. A worker that has another
// identity by now refuses the order.
type Target struct {
	ID      string
	Address string
}

// Start orders a run. Repeating it for a run that is there changes nothing.
type Start struct {
	Task  workload.TaskID
	Run   int
	Spec  string
	Lease LeaseUntil
	// Fence is the leader's term. A worker ignores orders below the highest it saw.
	Fence      uint64
	Checkpoint string
	// Ticket is the policy service's permission, if the queue needs one.
	Ticket string
}

// LeaseUntil is a time in milliseconds on the worker's own clock at which
// everything that runs there is stopped unless the lease has been extended.
type LeaseUntil int64

// Stop ends a run. A run that isn't there is refused if it arrives later.
type Stop struct {
	Task  workload.TaskID
	Run   int
	Fence uint64
}

// Pace limits a task to a share of its processors.
type Pace struct {
	Task    workload.TaskID
	Run     int
	Fence   uint64
	Percent int
}

// Hold extends the lease of a worker, tells it which ends it may forget, and
// asks what runs there.
type Hold struct {
	// Lease is not extended if it is zero.
	Lease LeaseUntil
	Fence uint64
	// Noted is the number of the last end that the worker may forget.
	Noted uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Running is a run that a worker lists as present.
type Running struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of a task, or 100 once a long-running one serves.
	Percent int
	// Load is the tail of response times in milliseconds for a task that serves,
	// and the thousandths of a core in use for any other.
	Load int64
}

// Held is a worker's answer to a hold.
type Held struct {
	// Clock is the worker's clock in milliseconds.
	Clock   int64
	Born    int64
	Running []Running
	Ended   []workload.End
	// Complete tells that no further ends wait to be listed.
	Complete bool
}

// Workers gives orders to workers. An error that is not a *Refused leaves the
// outcome open: the order may be carried out, now or later.
type Workers interface {
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, t Target, s Start) (int64, error)
	Stop(ctx context.Context, t Target, s Stop) error
	Pace(ctx context.Context, t Target, p Pace) error
	Hold(ctx context.Context, t Target, h Hold) (Held, error)
}

// Reason tells why a worker refused an order.
type Reason string

// Reasons of a refusal. The order was not and will not be carried out.
const (
	// Fenced: the worker has seen an order of a later leader.
	Fenced Reason = "fenced"
	// Superseded: the run is not above one that ended or was stopped there.
	Superseded Reason = "superseded"
	// Expired: the lease had ended on the worker's clock.
	Expired Reason = "expired"
	// NoRoom: the task doesn't fit.
	NoRoom Reason = "no-room"
	// WrongWorker: another worker answers at the address.
	WrongWorker Reason = "wrong-worker"
	// Unhealthy: the worker takes no orders for now.
	Unhealthy Reason = "unhealthy"
	// Invalid: the order is malformed for the worker.
	Invalid Reason = "invalid"
	// NoTicket: the permission is missing or no longer valid.
	NoTicket Reason = "no-ticket"
)

// Refused is a definite refusal.
type Refused struct {
	Reason Reason
	// Clock is the worker's clock in milliseconds, 0 if it wasn't told.
	Clock int64
}

// Error names the reason.
func (r *Refused) Error() string { return fmt.Sprintf("the worker refused the order: %s", r.Reason) }

// InstanceState is what the platform says an instance does.
type InstanceState string

// States of an instance.
const (
	Up          InstanceState = "up"
	Moving      InstanceState = "moving"
	Maintenance InstanceState = "maintenance"
	Down        InstanceState = "down"
)

// Instance is a computer of the fleet. Worker is its present life.
type Instance struct {
	ID         string
	Pool       string
	State      InstanceState
	DataCentre string
	Labels     []string
	Capacity   resources.Amount
	Worker     string
}

// Authority proves who orders a move or a maintenance.
type Authority struct {
	Holder string
	Fence  uint64
}

// Instances moves and maintains instances. Every call may be repeated. An error
// that is not a *Declined leaves the outcome open.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	Move(ctx context.Context, a Authority, instance, pool string) error
	Maintain(ctx context.Context, a Authority, instance string, wave uint64) error
}

// Declined is a definite refusal by the platform.
type Declined struct{ Reason string }

// Error names the reason.
func (d *Declined) Error() string { return "the platform declined: " + d.Reason }

// Advisor names the workers that may run a step, with their tickets.
type Advisor interface {
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) (map[string]string, error)
}

// Report is what a worker says of itself at intervals.
type Report struct {
	Worker workload.Worker `msgpack:"w"`
	// Clock is the worker's clock in milliseconds.
	Clock int64 `msgpack:"c"`
	// Sequence rises with each report of one life.
	Sequence uint64 `msgpack:"s"`
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration `msgpack:"l"`
}
