// Package executor defines the interfaces through which tasks are run and
// instances are moved. Implementations translate them to the calls of a platform
// and make no decisions of their own.
package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// Target identifies the worker that an order is addressed to. A worker with
// another identity at that address refuses the order.
type Target struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
}

// Start is the order to start a run. It has no effect if the run is present.
type Start struct {
	Task  workload.TaskID `msgpack:"t"`
	Run   int             `msgpack:"r"`
	Spec  string          `msgpack:"s"`
	Lease LeaseEnd        `msgpack:"l"`
	// Fence is the leader's term, used as a fencing token: a worker refuses
	// orders with a lower one than the highest that it has seen.
	Fence      uint64 `msgpack:"f"`
	Checkpoint string `msgpack:"c,omitempty"`
	// Ticket is the permission of the policy service, if the queue requires one.
	Ticket string `msgpack:"k,omitempty"`
}

// LeaseEnd is the end of a worker's lease, in milliseconds of the worker's own
// clock. At that time the worker stops all its runs unless the lease has been
// extended.
type LeaseEnd int64

// Stop is the order to stop a run. If the run is not present, the worker
// refuses a start of it that arrives later.
type Stop struct {
	Task  workload.TaskID `msgpack:"t"`
	Run   int             `msgpack:"r"`
	Fence uint64          `msgpack:"f"`
}

// Pace is the order to limit a run to a percentage of its processors.
type Pace struct {
	Task    workload.TaskID `msgpack:"t"`
	Run     int             `msgpack:"r"`
	Fence   uint64          `msgpack:"f"`
	Percent int             `msgpack:"p"`
}

// Poll is the request that renews the lease of a worker, acknowledges the ends of
// runs that it has reported, and asks for the list of its runs.
type Poll struct {
	// Lease is the new end of the lease. If zero, the lease is not extended.
	Lease LeaseEnd `msgpack:"l"`
	Fence uint64   `msgpack:"f"`
	// Acknowledged is the sequence number of the last acknowledged end. The worker may
	// discard the ends up to it.
	Acknowledged uint64 `msgpack:"a"`
	// Wait is how long the worker may wait for a run to end before it responds.
	Wait time.Duration `msgpack:"w"`
	// EndsOnly allows a response without the running runs, not complete, if runs have ended. It is
	// not sent to the worker.
	EndsOnly bool `msgpack:"-"`
}

// Running is a run that a worker reports as present.
type Running struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of a task. For a long-running task it is 100 once the
	// task serves requests.
	Percent int
	// Load is the tail latency in milliseconds for a task that serves requests,
	// and the processor usage in millicores for any other.
	Load int64
}

// PollResponse is a worker's response to a Poll.
type PollResponse struct {
	// Clock is the worker's clock in milliseconds.
	Clock       int64             `msgpack:"k"`
	Incarnation int64             `msgpack:"b"`
	Running     []Running         `msgpack:"r"`
	Ended       []workload.RunEnd `msgpack:"e"`
	// Complete reports whether Ended includes all ends that are not acknowledged.
	Complete bool `msgpack:"c"`
	// Age is how long ago the response arrived, if another replica received it.
	Age time.Duration `msgpack:"-"`
}

// Workers sends orders and polls to workers. After an error that is not a
// *RefusedError the outcome is unknown: the order may have been carried out or may
// be later.
type Workers interface {
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, t Target, s Start) (int64, error)
	Stop(ctx context.Context, t Target, s Stop) error
	Pace(ctx context.Context, t Target, p Pace) error
	Poll(ctx context.Context, t Target, h Poll) (PollResponse, error)
}

type endByKey struct{}

// WithEndBy returns a context for a call that must not be sent to a worker after an instant. Timers
// stop while a process is suspended, so that the deadline of a context alone allows to send it later.
func WithEndBy(ctx context.Context, end boottime.Instant) context.Context {
	return context.WithValue(ctx, endByKey{}, end)
}

// MayBeSent reports whether the call of a context may still be sent, see WithEndBy.
func MayBeSent(ctx context.Context) bool {
	end, limited := ctx.Value(endByKey{}).(boottime.Instant)
	return !limited || boottime.Now() < end
}

// ErrDisconnected reports that the connection to a worker was refused or reset. Any other
// call without a response ended with its time limit.
var ErrDisconnected = errors.New("connection to the worker refused or reset")

// Disconnected reports whether a call failed because the connection to the worker was
// refused or reset: no process listens at its address, or the process has just ended.
func Disconnected(err error) bool {
	for _, cause := range []error{ErrDisconnected, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Reason is why a worker refused an order or a poll.
type Reason string

// Reasons of a refusal. A refused order is never carried out.
const (
	// Fenced: the worker has seen an order of a later leader.
	Fenced Reason = "fenced"
	// Superseded: a run with the same or a higher number has ended or was stopped
	// on the worker.
	Superseded Reason = "superseded"
	// Expired: the lease has ended by the worker's clock.
	Expired Reason = "expired"
	// NoRoom: the worker lacks the resources for the task.
	NoRoom Reason = "no-room"
	// WrongWorker: the address belongs to another worker.
	WrongWorker Reason = "wrong-worker"
	// Unhealthy: the worker does not accept orders at present.
	Unhealthy Reason = "unhealthy"
	// Invalid: the worker considers the order malformed.
	Invalid Reason = "invalid"
	// NoTicket: the ticket is missing or no longer valid.
	NoTicket Reason = "no-ticket"
)

// RefusedError is the error of an order or a poll that a worker refused.
type RefusedError struct {
	Reason Reason `msgpack:"r"`
	// Clock is the worker's clock in milliseconds, 0 if unknown.
	Clock int64 `msgpack:"k"`
}

// Error names the reason.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("the worker refused the order: %s", r.Reason)
}

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// States of an instance.
const (
	Up          InstanceState = "up"
	Moving      InstanceState = "moving"
	Maintenance InstanceState = "maintenance"
	Down        InstanceState = "down"
)

// Instance is a computer of the fleet. Worker is the id of the worker that runs
// on it at present.
type Instance struct {
	ID         string
	Pool       string
	State      InstanceState
	DataCentre string
	Labels     []string
	Capacity   resources.Amount
	Worker     string
}

// Authority identifies the leader that requests a move or maintenance, with its
// fencing token.
type Authority struct {
	Holder string
	Fence  uint64
	// Valid reports whether the request may still be sent. An implementation calls it
	// when it has a connection, immediately before it sends the request.
	Valid func() bool
}

// ErrAuthorityEnded is the error of a request that was not sent because its Authority
// was no longer valid.
var ErrAuthorityEnded = errors.New("not sent: the authority of the leader has ended")

// Instances lists, moves and maintains instances. Every call may be repeated. A call
// whose context is done closes its connection without sending data that is still
// buffered. After an error that is neither a *DeclinedError nor ErrAuthorityEnded the
// outcome is unknown.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	Move(ctx context.Context, a Authority, instance, pool string) error
	Maintain(ctx context.Context, a Authority, instance string, wave uint64) error
}

// DeclinedError is the error of a request that the platform refused.
type DeclinedError struct{ Reason string }

// Error names the reason.
func (d *DeclinedError) Error() string { return "the platform declined: " + d.Reason }

// Advisor returns which of the given workers may run a step, with their tickets.
type Advisor interface {
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) (map[string]string, error)
}

// Report is a worker's periodic report about itself.
type Report struct {
	Worker workload.Worker `msgpack:"w"`
	// Clock is the worker's clock in milliseconds.
	Clock int64 `msgpack:"c"`
	// Sequence increases with each report of one incarnation of the worker.
	Sequence uint64 `msgpack:"s"`
	// WarmUpLeft is the remaining warm-up time, during which the worker is slow after
	// its start.
	WarmUpLeft time.Duration `msgpack:"l"`
}
