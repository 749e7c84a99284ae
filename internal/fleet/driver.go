// Package fleet carries out what the planners decide: it runs on the leading
// control replica, takes a snapshot, plans, proposes commands and calls the
// platform. It holds no state that a new leader would miss: every step is
// found again from the control state and the platform.
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

// Control is what the driver needs of the control replica.
type Control interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Read runs f on the state after confirming leadership.
	Read(ctx context.Context, f func(*state.State)) error
	// Signals returns what entry instances last reported. It fails on a replica
	// that doesn't lead.
	Signals(ctx context.Context) (Signals, error)
}

// Signals is what the dispatchers report of instances and demand.
type Signals struct {
	// Term is the leader's term. Soft state of another term is dropped.
	Term uint64
	// Drained holds draining instances without requests.
	Drained map[string]bool
	// Lost holds instances whose announcements ended, Back those that announce again.
	Lost, Back map[string]bool
	// Demand is the number of requests running and waiting in each pool.
	Demand map[string]int
}

// Platform is what the driver needs of the platform.
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
	Platform Platform // nil: no tasks and no reboots
	Log      logr.Logger
	Metrics  *telemetry.Metrics
	// Interval is the time between two rounds; 500 ms if zero. Urgent work must
	// start within 5.5 s, and a preemption takes up to four rounds.
	Interval time.Duration
	// ReturnLimit and DrainLimit stop a wave; zero means the defaults of package
	// maintenance.
	ReturnLimit, DrainLimit time.Duration
}

const (
	defaultInterval = 500 * time.Millisecond
	roundTimeout    = 5 * time.Second
	// dueInterval is the time between two looks for instances whose maintenance
	// is due; periods are weeks.
	dueInterval = time.Minute
	// forgetAfter is how long a lost instance is kept. An instance that comes
	// back later is added again as a new one.
	forgetAfter = time.Hour
)

// Driver runs the planners.
type Driver struct {
	opts Options
	term uint64
	soft soft
}

// soft is what the driver learned in a term. A new leader starts without it.
type soft struct {
	model    *placement.UsageModel
	health   map[string]placement.Health
	seen     map[string]time.Time // start of the pressure on an instance
	demand   map[string]capacity.Demand
	renewed  map[string]time.Time
	nextDue  time.Time
	observed map[string]bool // tasks whose use was learned
}

func newSoft() soft {
	return soft{
		model: placement.NewUsageModel(), health: map[string]placement.Health{}, seen: map[string]time.Time{},
		demand: map[string]capacity.Demand{}, renewed: map[string]time.Time{}, observed: map[string]bool{},
	}
}

// New returns a driver.
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
	return &Driver{opts: opts, soft: newSoft()}
}

// Run plans until ctx ends. On a replica that doesn't lead it does nothing.
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

// round takes a snapshot and carries out one step of every plan. An error of the
// control replica ends the round; the next one starts from a new snapshot.
func (d *Driver) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	signals, err := d.opts.Control.Signals(ctx)
	if err != nil {
		return // not the leader
	}
	if signals.Term != d.term {
		d.term, d.soft = signals.Term, newSoft()
	}
	s, err := d.snapshot(ctx, signals)
	if err != nil || s.rules == nil {
		return
	}
	for _, step := range []func(context.Context, *snapshot) error{d.conditions, d.waves, d.reboots, d.loans, d.tasks, d.jobs} {
		err := step(ctx, s)
		if err == nil {
			continue
		}
		d.opts.Metrics.Counter("fleet_round_errors_total").Inc(1)
		d.opts.Log.Info("A step of a round failed.", "error", err.Error())
		if !platform.Error.Has(err) {
			return
		}
		// The other steps go on without the platform: a drain or a loan must
		// not wait for it.
	}
}

// propose commits a command. A rejection is counted and logged; it is no error,
// since the next round plans from what is in force.
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
