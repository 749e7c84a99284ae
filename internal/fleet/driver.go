// Package fleet runs the planners on the leading control replica and carries out
// their plans: it takes a snapshot, plans, proposes commands and calls the
// platform. It holds no state that a new leader needs: every pending step
// follows from the control state and the platform.
package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"cactusspar/internal/capacity"
	"cactusspar/internal/maintenance"
	"cactusspar/internal/placement"
	"cactusspar/internal/platform"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
)

// Control is the part of the control replica that the driver uses.
type Control interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Read calls f with the state after confirming leadership.
	Read(ctx context.Context, f func(*state.State)) error
	// Signals returns the latest reports of the entry instances. It fails on a
	// replica that is not the leader.
	Signals(ctx context.Context) (Signals, error)
}

// Signals holds the dispatchers' reports about instances and demand.
type Signals struct {
	// Term is the leader's term. The driver discards soft state of another term.
	Term uint64
	// Drained holds the draining instances that have no requests left.
	Drained map[string]bool
	// Lost holds the instances that stopped announcing themselves, Returned those that
	// announce themselves again.
	Lost, Returned map[string]bool
	// Demand is the number of requests running and waiting in each pool.
	Demand map[string]int
}

// Platform is the part of the platform client that the driver uses.
type Platform interface {
	Start(ctx context.Context, task string, s platform.StartTask) error
	Renew(ctx context.Context, task string, lease time.Duration) error
	Checkpoint(ctx context.Context, task string) error
	Throttle(ctx context.Context, task string, milliCPU int64) error
	Stop(ctx context.Context, task string) error
	Tasks(ctx context.Context) ([]platform.TaskInfo, error)
	Instances(ctx context.Context) ([]platform.InstanceInfo, error)
	Reboot(ctx context.Context, instance, request string) error
}

// Options configure a Driver.
type Options struct {
	Control  Control
	Platform Platform // if nil, the driver handles neither tasks nor reboots
	Log      logr.Logger
	Metrics  *telemetry.Metrics
	// Interval is the time between two rounds, 500 ms if zero. Urgent jobs must
	// start within 5.5 s, and a preemption takes up to four rounds.
	Interval time.Duration
	// ReturnLimit and DrainLimit are the times after which a reboot or a drain
	// stops its wave. Zero means the defaults of package maintenance.
	ReturnLimit, DrainLimit time.Duration
}

const (
	defaultInterval = 500 * time.Millisecond
	roundTimeout    = 5 * time.Second
	// dueInterval is the time between two checks for due maintenance. Periods are
	// weeks long.
	dueInterval = time.Minute
	// lostRetention is how long a lost instance is kept. An instance that returns
	// later is added as a new one.
	lostRetention = time.Hour
)

// Driver runs the planners and carries out their plans.
type Driver struct {
	opts Options
	term uint64
	soft softState
}

// softState is what the driver has observed in one term. It is lost when the leader
// changes.
type softState struct {
	usage         *placement.UsageModel
	health        map[string]placement.Health
	pressureSince map[string]time.Time // start of pressure, by instance
	demand        map[string]capacity.Demand
	renewedAt     map[string]time.Time
	nextDue       time.Time
	usageObserved map[string]bool // tasks whose usage the model includes
}

func newSoftState() softState {
	return softState{
		usage: placement.NewUsageModel(), health: map[string]placement.Health{}, pressureSince: map[string]time.Time{},
		demand: map[string]capacity.Demand{}, renewedAt: map[string]time.Time{}, usageObserved: map[string]bool{},
	}
}

// New returns a driver with defaults for the unset options.
func New(opts Options) *Driver {
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}
	if opts.ReturnLimit == 0 {
		opts.ReturnLimit = maintenance.DefaultReturnLimit
	}
	if opts.DrainLimit == 0 {
		opts.DrainLimit = maintenance.DefaultDrainLimit
	}
	return &Driver{opts: opts, soft: newSoftState()}
}

// Run runs rounds until ctx is done. On a replica that is not the leader, a round
// does nothing.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.round(ctx)
		}
	}
}

// round takes a snapshot and carries out the next step of every plan. An error of
// the control replica ends the round; the next one starts with a new snapshot.
func (d *Driver) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	signals, err := d.opts.Control.Signals(ctx)
	if err != nil {
		return // not the leader
	}
	if signals.Term != d.term {
		d.term, d.soft = signals.Term, newSoftState()
	}
	s, err := d.snapshot(ctx, signals)
	if err != nil || s.rules == nil {
		return
	}
	for _, step := range []func(context.Context, *snapshot) error{d.updateConditions, d.advanceWaves, d.advanceReboots, d.planLoans, d.reconcileTasks, d.placeJobs} {
		err := step(ctx, s)
		if err == nil {
			continue
		}
		d.opts.Metrics.Counter("fleet_round_errors_total").Inc(1)
		d.opts.Log.Info("A step of a round failed.", "error", err.Error())
		if !platform.Error.Has(err) {
			return
		}
		// A platform error does not end the round, because drains and loans must
		// not wait for the platform.
	}
}

// propose commits a command and reports whether it was applied. A rejection is
// counted and logged but is not an error, since the next round plans from the
// current state.
func (d *Driver) propose(ctx context.Context, c state.Command) (bool, error) {
	result, err := d.opts.Control.Propose(ctx, c)
	if err != nil {
		return false, err
	}
	var rejected *state.Error
	if result.Err != nil && errors.As(result.Err, &rejected) {
		d.opts.Metrics.Counter("fleet_rejections_total", "command", c.Kind(), "reason", string(rejected.Code)).Inc(1)
		d.opts.Log.V(1).Info("A command was rejected.", "command", c.Kind(), "reason", rejected.Text)
		return false, nil
	}
	d.opts.Metrics.Counter("fleet_commands_total", "command", c.Kind()).Inc(1)
	return true, nil
}
