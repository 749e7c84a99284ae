// Package dispatch orders the requests of a pool, issues tickets for slots of
// its endpoints, and keeps the records of request identities.
package dispatch

import "time"

// Methods of the messages between entry instances.
const (
	MethodAcquire  = "dispatch.acquire"
	MethodRelease  = "dispatch.release"
	MethodCancel   = "dispatch.cancel"
	MethodAnnounce = "dispatch.announce"
	MethodHeld     = "dispatch.held"
	MethodCopy     = "dispatch.copy"
)

// AcquireRequest asks the dispatcher of a pool for a ticket.
type AcquireRequest struct {
	Request string `msgpack:"i"` // shared by all attempts for one request of a caller
	// Try numbers the acquires of a request, so that the cancel of one that had no answer
	// does not withdraw a later one.
	Try      uint64 `msgpack:"u"`
	Pool     string `msgpack:"p"`
	Epoch    uint64 `msgpack:"e"` // of the newest assignment known to the sender
	Queue    string `msgpack:"q"`
	Team     string `msgpack:"t"` // empty on open queues without a key
	Priority int    `msgpack:"y"` // 0 is most urgent, 7 least
	// Remaining is the time until the caller's deadline.
	Remaining  time.Duration `msgpack:"r"`
	Idempotent bool          `msgpack:"d"`
	// Key is the caller's idempotency key, empty without one.
	Key        string `msgpack:"k"`
	DataCentre string `msgpack:"c"` // of the sending entry instance
	// Avoid names the endpoint of the previous attempt.
	Avoid string `msgpack:"a"`
	// Attempt counts the earlier attempts that reached an endpoint. Values above
	// 0 are charged to the pool's retry budget.
	Attempt int `msgpack:"n"`
}

// Ticket permits one request to be sent to one endpoint until its deadline.
type Ticket struct {
	ID        uint64 `msgpack:"i"`
	Pool      string `msgpack:"p"`
	Epoch     uint64 `msgpack:"e"`
	Endpoint  string `msgpack:"n"`
	Addr      string `msgpack:"a"`
	PoolEpoch uint64 `msgpack:"o"`
	// Remaining is the time left when the holder sent the acquire; the holder
	// counts it from then. In a HeldTicket it is the time left now.
	Remaining time.Duration `msgpack:"r"`
}

// Refusal codes of an acquire. Transport errors are reported separately. All
// codes but CodeDuplicateUnknown and CodeDuplicateAnswered mean that the request
// did not run.
const (
	CodeNotDispatcher     = "not-dispatcher"
	CodeRecovering        = "recovering"
	CodeQueueFull         = "queue-full"
	CodeDeadline          = "deadline-unreachable"
	CodeExpired           = "expired-in-queue"
	CodeTeamLimit         = "team-limit"
	CodeNoEndpoint        = "no-endpoint"
	CodeIsolated          = "isolated"
	CodeRetryBudget       = "retry-budget"
	CodeStopping          = "stopping"
	CodeDuplicateRunning  = "duplicate-running"
	CodeDuplicateAnswered = "duplicate-answered"
	CodeDuplicateUnknown  = "duplicate-unknown"
)

// Outcome is the outcome of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// ReleaseRequest returns a ticket with the outcome of its attempt.
type ReleaseRequest struct {
	Ticket  uint64  `msgpack:"i"`
	Pool    string  `msgpack:"p"`
	Epoch   uint64  `msgpack:"e"`
	Request string  `msgpack:"r"`
	Outcome Outcome `msgpack:"g"`
	// Failed reports a fault of the endpoint: it was not reachable, broke the
	// connection, or answered 5xx.
	Failed   bool          `msgpack:"f"`
	Status   int           `msgpack:"s"`
	Duration time.Duration `msgpack:"t"`
}

// Announcement is the state that an endpoint reports about itself.
type Announcement struct {
	ID          string        `msgpack:"i" json:"id"`
	Incarnation uint64        `msgpack:"n" json:"incarnation"`
	Sequence    uint64        `msgpack:"q" json:"sequence"`
	Pool        string        `msgpack:"p" json:"pool"`
	PoolEpoch   uint64        `msgpack:"e" json:"pool_epoch"`
	Addr        string        `msgpack:"a" json:"addr"`
	Slots       int           `msgpack:"s" json:"slots"`
	Running     int           `msgpack:"r" json:"running"`
	DataCentre  string        `msgpack:"d" json:"data_centre"`
	Rack        string        `msgpack:"k" json:"rack"`
	MilliCPU    int64         `msgpack:"mc" json:"milli_cpu"`
	MemoryMB    int64         `msgpack:"mm" json:"memory_mb"`
	Accel       int64         `msgpack:"ac" json:"accelerators"`
	Leaving     bool          `msgpack:"l" json:"leaving"`
	Age         time.Duration `msgpack:"g" json:"-"` // since it was received
}

// AnnounceBatch forwards announcements to the dispatcher of a pool.
type AnnounceBatch struct {
	Pool  string         `msgpack:"p"`
	Items []Announcement `msgpack:"i"`
}

// HeldQuery asks an entry instance for the tickets that it holds for a pool,
// and for the records that it keeps as the backup or former dispatcher.
type HeldQuery struct {
	Pool  string `msgpack:"p"`
	Epoch uint64 `msgpack:"e"` // of the new assignment
	// From is 0 for the first page of records, then Next of the previous response.
	From int `msgpack:"f"`
}

// HeldResponse is the response to HeldQuery. After sending it, the sender accepts no
// ticket of an older epoch for that pool.
type HeldResponse struct {
	Tickets []HeldTicket `msgpack:"t"`
	Records []Record     `msgpack:"r"`
	// Claims lists the epochs whose records the sender held completely, as their
	// dispatcher or its synchronised backup, and the epochs under which it was
	// the dispatcher without issuing a ticket.
	Claims []Claim `msgpack:"cl"`
	// Next is the From of the next page, or 0 on the last page. Only the first
	// page carries tickets.
	Next int `msgpack:"n"`
	// UnknownFor is how much longer records from before the sender's epoch may
	// be missing.
	UnknownFor time.Duration `msgpack:"u"`
	// Copied is the epoch of the records.
	Copied uint64 `msgpack:"o"`
}

// Claim states what a sender knows about epochs of a pool.
type Claim struct {
	From uint64 `msgpack:"f"`
	To   uint64 `msgpack:"t"`
	// Idle reports that no ticket was issued under these epochs. Otherwise the
	// sender held every record of epoch To.
	Idle bool `msgpack:"i"`
}

// HeldTicket is a ticket in use at an entry instance.
type HeldTicket struct {
	Ticket  Ticket `msgpack:"t"`
	Team    string `msgpack:"m"`
	Request string `msgpack:"r"`
	// Holder is set on tickets that the sender issued as the former dispatcher.
	// It is empty on tickets in use at the sender itself.
	Holder string `msgpack:"h,omitempty"`
	// HolderIncarnation is the holder's incarnation when it received the ticket.
	HolderIncarnation uint64 `msgpack:"hi,omitempty"`
}

// Record is the state of a request identity.
type Record struct {
	Team    string `msgpack:"t"`
	Key     string `msgpack:"k"`
	Request string `msgpack:"r"`
	// Outcome is empty while the request runs.
	Outcome   Outcome       `msgpack:"g"`
	Status    int           `msgpack:"s"`
	Remaining time.Duration `msgpack:"e"` // until the record may be dropped
	// Rank orders the sources of a record in a HeldResponse: a later epoch ranks higher,
	// and within an epoch the dispatcher ranks higher than its backup.
	Rank uint64 `msgpack:"o,omitempty"`
}

// recordRank returns the Rank of records from a source.
func recordRank(epoch uint64, isDispatcher bool) uint64 {
	if isDispatcher {
		return 2*epoch + 1
	}
	return 2 * epoch
}

// RecordCopy sends changed records to the backup. Sequence numbers have no gaps
// within an epoch. The backup refuses a copy after a gap; the dispatcher then
// sends a full copy.
type RecordCopy struct {
	Pool     string   `msgpack:"p"`
	Epoch    uint64   `msgpack:"e"`
	Sequence uint64   `msgpack:"s"`
	Full     bool     `msgpack:"f"`
	Records  []Record `msgpack:"r"`
	// More reports that the next copy continues a full copy.
	More bool `msgpack:"m"`
	// UnknownFor is how much longer records from before the epoch may be missing.
	UnknownFor time.Duration `msgpack:"u"`
}
