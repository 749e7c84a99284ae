// Package relay carries the orders and polls of the leading control replica to the
// workers through the other replicas, its carriers. The leader then spends a share of a
// batch on each call instead of an HTTP call and a connection.
//
// A carrier decides nothing. It carries out a call only until the time that the leader
// has set on the carrier's clock, and none of a leader with a lower term than it knows.
// Orders hold the leader's fencing token and the end of the lease, as if the leader
// sent them itself. A carrier also passes on reports of workers that change nothing.
package relay

import (
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
)

// Methods of the one-way messages between a leader and its carriers.
const (
	MethodOrders  = "relay.orders"
	MethodResults = "relay.results"
)

// Orders is a batch of calls from a leader to a carrier. A batch without calls asks only
// for a response, which shows that the carrier is available.
type Orders struct {
	Term uint64 `msgpack:"t"`
	// ReplyTo is the peer address of the leader.
	ReplyTo string `msgpack:"r"`
	// SentAt is the leader's clock. The carrier returns it in Results.Acknowledged.
	SentAt boottime.Instant `msgpack:"a"`
	// Available reports whether the leader receives the carrier's messages.
	Available bool   `msgpack:"v"`
	Calls     []Call `msgpack:"c"`
	// StartRate is the rate of starts per second at which the leader is behind, 0 while it is
	// not known. A carrier that becomes the leader begins with it.
	StartRate float64 `msgpack:"q,omitempty"`
}

// Call is a call to a worker. One of Start, Stop, Pace and Poll is set.
type Call struct {
	ID     uint64          `msgpack:"i"`
	Target executor.Target `msgpack:"w"`
	// BeginBy is the time on the carrier's clock until which the call may be begun, EndBy
	// the time at which it is cancelled.
	BeginBy boottime.Instant `msgpack:"u"`
	EndBy   boottime.Instant `msgpack:"d"`

	Start *executor.Start `msgpack:"s,omitempty"`
	Stop  *executor.Stop  `msgpack:"e,omitempty"`
	Pace  *executor.Pace  `msgpack:"p,omitempty"`
	Poll  *executor.Poll  `msgpack:"h,omitempty"`
	// EndsOnly asks for a poll's response without the running runs if runs have ended. It then
	// counts as incomplete. Carriers of earlier versions return the whole list.
	EndsOnly bool `msgpack:"n,omitempty"`
}

// Results is a batch of the results of calls.
type Results struct {
	Term uint64 `msgpack:"t"`
	// From is the peer address of the carrier.
	From string `msgpack:"f"`
	// Acknowledged is the latest Orders.SentAt that the carrier has received, Clock the
	// carrier's clock when it sent the results.
	Acknowledged boottime.Instant `msgpack:"a"`
	Clock        boottime.Instant `msgpack:"k"`
	Results      []Result         `msgpack:"c"`
	Reports      []Report         `msgpack:"p"`
}

// Report is a worker's report that changes nothing: it shows that the worker is alive.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	Sequence    uint64
	// Clock is the worker's clock in milliseconds.
	Clock      int64
	WarmUpLeft time.Duration
	// ReceivedAt is when the report arrived, by the carrier's clock.
	ReceivedAt boottime.Instant
}

// Result is the result of a call.
type Result struct {
	ID uint64 `msgpack:"i"`
	// Refused is set if the worker refused the call. Failure is set if the outcome is
	// unknown.
	Refused *executor.RefusedError `msgpack:"r,omitempty"`
	Failure string                 `msgpack:"f,omitempty"`
	// Disconnected reports that the connection to the worker was refused or reset.
	Disconnected bool `msgpack:"x,omitempty"`
	// Clock is the worker's clock in the response to a start.
	Clock int64                  `msgpack:"k,omitempty"`
	Poll  *executor.PollResponse `msgpack:"p,omitempty"`
	// ReceivedAt is when the worker's response arrived, by the carrier's clock.
	ReceivedAt boottime.Instant `msgpack:"a"`
}

const (
	// batchDelay is how long a call or a result waits at least for others before its batch is
	// sent, batchInterval the minimum time between two batches in one direction.
	batchDelay    = 3 * time.Millisecond
	batchInterval = 12 * time.Millisecond
	// maxBatch bounds the calls or results in a batch, so that a frame stays far below
	// peer.MaxFrameBytes.
	maxBatch = 256
	// probeInterval is the interval at which a leader asks its carriers for a response.
	probeInterval = 100 * time.Millisecond
	// carrierTimeout is the age of the last batch with a response from which a carrier
	// counts as lost. Calls then take another way.
	carrierTimeout = 400 * time.Millisecond
	// acknowledgementValidity is the time within which a carrier has to begin a poll that
	// acknowledges ends. A worker that restarts under its ID numbers its ends from the
	// beginning, and a later acknowledgement could discard some of the new ones.
	acknowledgementValidity = 100 * time.Millisecond
	// maxCallTime is far above the time limit of any call.
	maxCallTime = time.Minute
	// detourTime is how long the calls to a worker take other paths after one that had no
	// response: the carrier may be cut off from that worker.
	detourTime = 3 * time.Second
	// sampleAge is the age after which a sample of a carrier's clock is replaced even by
	// one with an earlier estimate.
	sampleAge = 2 * time.Second
	// settleTime is the longest time for which a new leader waits for its carriers. Each answers a
	// probe within a few batches unless it is lost.
	settleTime = 250 * time.Millisecond
	// maxReports bounds the reports that wait to be passed on.
	maxReports = 4096
	// maxInProgress bounds the calls that a carrier carries out at the same time.
	maxInProgress = 4096
	// sendTimeout bounds the sending of a batch, including a new connection.
	sendTimeout = 300 * time.Millisecond
)
