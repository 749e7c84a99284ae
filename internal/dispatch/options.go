package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
)

// Peers sends messages to other entry instances. Calls return when ctx is done.
type Peers interface {
	// Held asks an entry instance for the tickets and records of a pool. It is
	// also called for the local entry instance, whose tickets in use count too.
	Held(ctx context.Context, entryID string, q HeldQuery) (HeldResponse, error)
	// Copy sends records to the backup of a pool. After an error the backup
	// may or may not have stored them.
	Copy(ctx context.Context, entryID string, c RecordCopy) error
}

// Options configures a Service.
type Options struct {
	// Entry and Incarnation identify the local entry instance.
	Entry       string
	Incarnation uint64
	// Fresh reports whether the view is younger than the freshness bound. It is
	// called for each ticket issued and must be cheap and safe for concurrent use.
	Fresh func() bool
	Peers Peers
	// Metrics receives the counters; nil disables them.
	Metrics *telemetry.Metrics
	Log     logr.Logger
	// Clock returns the current time with its monotonic reading; nil means time.Now.
	Clock func() time.Time
	// MaxRecords bounds the records of request identities of each pool; 0 means
	// 250,000. Further keyed requests are refused as not run.
	MaxRecords int
	// Seed makes the random choices reproducible; 0 uses Incarnation.
	Seed uint64
}

// Snapshot is the content of the view. The service keeps references to it:
// neither the maps nor the slices may be changed afterwards.
type Snapshot struct {
	// Assignments holds the assignments of all pools by pool name.
	Assignments map[string]state.Assignment
	// Rules holds the pools, queues and teams in force; with nil no pool runs.
	Rules *rules.Rules
	// Grants may hold grants of other dispatchers and older epochs.
	Grants []state.Grant
	// Instances holds all instances by id.
	Instances map[string]state.Instance
	// Entries holds the live entry instances by id.
	Entries map[string]state.Entry
}

// Refusal is the error of Acquire.
type Refusal struct {
	// Code is one of the refusal codes.
	Code string
	// RetryAfter is the estimated time until work of that team would be
	// admitted, in whole seconds and at least one.
	RetryAfter time.Duration
	// Text describes the refusal to the caller.
	Text string
	// Status is the recorded HTTP status if Code is CodeDuplicateAnswered.
	Status int
}

// Error returns the code and the text of the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Text) }

// refuse returns a refusal with RetryAfter rounded up to whole seconds.
func refuse(code string, after time.Duration, format string, args ...any) *Refusal {
	after = min(max(after, time.Second), maxRetryAfter)
	after = (after + time.Second - 1).Truncate(time.Second)
	return &Refusal{Code: code, RetryAfter: after, Text: fmt.Sprintf(format, args...)}
}

// maxRetryAfter bounds the RetryAfter sent to callers.
const maxRetryAfter = 2 * time.Minute
