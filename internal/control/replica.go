// Package control implements the control process: replicas of the control state
// that elect a leader, commit commands, and serve operators and entry instances.
//
// A single goroutine, the event loop, owns the consensus core, the storage and the
// state. Other goroutines post functions for it to run.
package control

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/operator"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/wal"
)

const (
	// tick is the clock interval of the consensus core.
	tick = 20 * time.Millisecond
	// maxEvents bounds the functions that wait for the event loop.
	maxEvents = 8192
	// maxEventBatch bounds the functions that run before their entries are synced.
	// A larger batch needs fewer syncs but delays the first of its commands.
	maxEventBatch = 512
	// defaultSnapshotEntries is the number of entries after which a snapshot is taken.
	defaultSnapshotEntries = 10_000
	// retainedEntries is the number of entries before a snapshot that stay in the
	// log, so that a follower that is slightly behind needs no snapshot.
	retainedEntries = 2_000
	// statusTicks is the number of ticks between two publications of the status.
	statusTicks = 5
	// stopTimeout bounds the wait for a new leader at a planned stop.
	stopTimeout = 2 * time.Second
	// suspensionThreshold is the time without a tick after which the process counts
	// as having been suspended and resumed.
	suspensionThreshold = 500 * time.Millisecond
)

// Address holds the name of a control replica and the addresses of its listeners.
type Address struct {
	Name     string
	Peer     string
	Operator string
}

// Options configures a replica.
type Options struct {
	Cluster string
	// Self is this replica; Self.Peer is the address that the others dial.
	Self Address
	// Members are the initial members. They bootstrap a group only if the data
	// folders of all of them are empty.
	Members    []Address
	DataFolder string
	// Listener accepts connections of peers.
	Listener  net.Listener
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       logr.Logger
	Metrics   *telemetry.Metrics
	// FS is the file system of the data folder; nil means the disk's.
	FS wal.FS
	// SnapshotEntries is the number of entries between snapshots; 0 means 10,000.
	SnapshotEntries uint64
	// Seeds are peer addresses at which a group may be found, in addition to
	// Members.
	Seeds []string
	// Admission lets unknown replicas join without an operator; nil means that an
	// operator has to add them.
	Admission *Admission
	// Service runs on the leader; nil means none.
	Service Service
	// Blocked reports whether to drop all traffic with a process. Tests use it to
	// isolate replicas; nil means never.
	Blocked func(name string) bool
}

// Replica is a control replica.
type Replica struct {
	options   Options
	log       logr.Logger
	metrics   *telemetry.Metrics
	counters  *peer.Counters
	storage   *wal.Storage
	transport *transport
	events    chan event
	done      chan struct{}
	status    atomic.Pointer[operator.Status]
	// runTimeLimit is the longest time that admitted work may run; tests shorten it.
	runTimeLimit time.Duration
	lastTick     atomic.Int64 // nanoseconds since started
	started      time.Time

	// The remaining fields are owned by the event loop.
	core       *consensus.Core
	membership consensus.Membership // cached from core
	id         consensus.ReplicaID
	state      *state.State
	applied    uint64
	// appliedTerm is the term of the last applied entry.
	appliedTerm   uint64
	snapshotIndex uint64 // index of the last snapshot
	// snapshotEpoch is the membership epoch of the last snapshot.
	snapshotEpoch uint64
	proposals     map[uint64]*proposal
	// eventWait is how long the last event waited for the loop, longestEventWait the
	// longest such wait since the service asked for it.
	eventWait, longestEventWait time.Duration
	// saving is the output that is being made durable, or nil. saves takes it to the goroutine
	// that does so, and saved brings the result; both are nil outside Run.
	saving         *consensus.Ready
	savingSince    time.Time
	saveInProgress bool
	// besideSaveAt is when a leader last went on beside a slow save.
	besideSaveAt time.Time
	// fullSince is when the disk was first found full, zero while it has room; saveRetryAt is
	// when the save is repeated, snapshotRetryAt when a snapshot is that found no room.
	fullSince, saveRetryAt, snapshotRetryAt time.Time
	saves                                   chan consensus.Ready
	saved                                   chan error
	// work is how long the event loop has worked since the service asked for it.
	work             LoopWork
	reads            readQueue
	routes           map[consensus.ReplicaID]Address // of replicas that are not members
	addresses        map[string]Address              // by name
	asLeader         *leaderState                    // nil unless this replica is the leader
	joining          joiner
	lastLearnerPrune time.Time
	reportedCounters consensus.Counters
	stopDeadline     time.Time
	ticks            uint64
}

// Open opens the data folder and returns a replica that continues from its
// content.
func Open(o Options) (*Replica, error) {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	if o.Blocked == nil {
		o.Blocked = func(string) bool { return false }
	}
	storage, durable, err := wal.Open(o.DataFolder, wal.Options{Cluster: o.Cluster, FS: o.FS})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, log: o.Log.WithName("control"), metrics: o.Metrics, counters: &peer.Counters{}, storage: storage,
		events: make(chan event, maxEvents), done: make(chan struct{}), started: time.Now(),
		runTimeLimit: maxRunTime,
		id:           storage.Identity().Replica, state: state.New(),
		proposals: map[uint64]*proposal{}, routes: map[consensus.ReplicaID]Address{}, addresses: map[string]Address{},
	}
	r.transport = newTransport(r)
	for _, m := range o.Members {
		r.addresses[m.Name] = m
	}
	if err := r.startCore(durable); err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	r.publishStatus()
	return r, nil
}

// OpenWithRoom is Open that waits while the disk is full, instead of failing: a process that ended
// would only be started again. It returns ctx's error if ctx ends first.
func OpenWithRoom(ctx context.Context, o Options) (*Replica, error) {
	for waiting := false; ; waiting = true {
		r, err := Open(o)
		if !errors.Is(err, wal.ErrNoRoom) {
			return r, err
		}
		if !waiting {
			o.Log.Info("The disk is full; waiting for room to start.", "reason", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		case <-time.After(roomRetryInterval):
		}
	}
}

// startCore starts the consensus core from the content of the data folder.
func (r *Replica) startCore(durable consensus.DurableState) error {
	seed := rand.New(rand.NewPCG(uint64(r.id), uint64(time.Now().UnixNano())))
	core, err := consensus.New(consensus.DefaultConfig(r.id, seed), durable)
	if err != nil {
		return errs.New("start replica: %w", err)
	}
	r.core = core
	r.membership = core.Status().Membership
	if durable.Snapshot == nil {
		return nil
	}
	restored, err := state.Restore(durable.Snapshot.Data)
	if err != nil {
		return errs.New("start replica: %w", err)
	}
	r.state, r.applied = restored, durable.Snapshot.Index
	r.snapshotIndex, r.snapshotEpoch = durable.Snapshot.Index, durable.Snapshot.Membership.Epoch
	return nil
}

// Run serves until ctx ends or a fatal error occurs. When ctx ends, a leader first
// transfers its leadership.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	serving, stopServing := context.WithCancel(context.Background())
	server := &peer.Server{
		Identity: r.identity(), Handler: r, Log: r.options.Log.WithName("peer"), Counters: r.counters, TLS: r.options.ServerTLS,
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Serve(serving, r.options.Listener); err != nil {
			r.log.Error(err, "Stopped accepting connections of peers.")
		}
	})
	r.saves, r.saved = make(chan consensus.Ready, 1), make(chan error, 1)
	wg.Go(func() { r.runSaves(r.saves, r.saved) })
	err := r.runEventLoop(ctx)
	err = errors.Join(err, r.awaitSave())
	close(r.saves)
	r.failAll()
	stopServing()
	r.transport.close()
	r.drainEvents(&wg)
	return errors.Join(err, r.storage.Close())
}

func (r *Replica) identity() peer.Identity {
	return peer.Identity{Cluster: r.options.Cluster, Role: peer.RoleControl, ID: r.options.Self.Name, Incarnation: uint64(r.id)}
}

// drainEvents runs the functions that were posted after the event loop ended,
// until wg is done, so that no sender waits for ever.
func (r *Replica) drainEvents(wg *conc.WaitGroup) {
	finished := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		defer close(finished)
		wg.Wait()
	})
	defer waiter.Wait()
	for {
		select {
		case e := <-r.events:
			e.run()
			r.failAll()
		case <-finished:
			return
		}
	}
}

func (r *Replica) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	stopping := ctx.Done()
	last := time.Now()
	for {
		select {
		case <-stopping:
			stopping = nil
			r.beginStop()
		case <-ticker.C:
			now := time.Now()
			r.tick(now, now.Sub(last))
			last = now
			r.work.Ticks += time.Since(now)
		case err := <-r.saved:
			if err = r.handleSaved(err); err != nil {
				r.log.Error(err, "The replica stopped after a fatal error.")
				return err
			}
		case e := <-r.events:
			began := time.Now()
			r.runEvent(e)
			r.runBatch()
			r.work.Events += time.Since(began)
		}
		began := time.Now()
		r.flushService()
		r.work.Proposals += time.Since(began)
		if err := r.processReady(); err != nil {
			r.log.Error(err, "The replica stopped after a fatal error.")
			return err
		}
		if r.stopped() {
			return nil
		}
	}
}

// runBatch runs waiting functions, so that their entries share one sync.
func (r *Replica) runBatch() {
	for range maxEventBatch {
		select {
		case e := <-r.events:
			r.runEvent(e)
		default:
			return
		}
	}
}

// event is a function that waits for the event loop.
type event struct {
	run      func()
	postedAt time.Duration // since Replica.started
}

func (r *Replica) newEvent(f func()) event { return event{f, time.Since(r.started)} }

func (r *Replica) runEvent(e event) {
	r.eventWait = time.Since(r.started) - e.postedAt
	r.longestEventWait = max(r.longestEventWait, r.eventWait)
	e.run()
}

func (r *Replica) tick(now time.Time, gap time.Duration) {
	r.lastTick.Store(int64(now.Sub(r.started)))
	r.core.Tick()
	r.tickStorage(now)
	r.tickJoin(now)
	if r.asLeader != nil {
		r.tickLeader(now, gap)
		r.tickService()
		r.pruneLearners(now)
	}
	r.ticks++
	if r.ticks%statusTicks == 0 {
		r.publishStatus()
	}
}

// beginStop begins a planned stop. A leader transfers its leadership if another
// replica can take it over.
func (r *Replica) beginStop() {
	r.stopDeadline = time.Now()
	if !r.core.IsLeader() {
		return
	}
	if err := r.core.TransferLeadership(0); err != nil {
		r.log.Info("Could not transfer the leadership before stopping.", "reason", err.Error())
		return
	}
	r.stopDeadline = r.stopDeadline.Add(stopTimeout)
}

func (r *Replica) stopped() bool {
	if r.stopDeadline.IsZero() {
		return false
	}
	return !r.core.IsLeader() || !time.Now().Before(r.stopDeadline)
}

// post sends a function to the event loop.
func (r *Replica) post(ctx context.Context, f func()) error {
	select {
	case r.events <- r.newEvent(f):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
}

// tryPost is like post but drops f instead of blocking. It reports whether f was
// sent.
func (r *Replica) tryPost(f func()) bool {
	select {
	case r.events <- r.newEvent(f):
		return true
	default:
		r.countRefusal("queue-full")
		return false
	}
}

var errStopped = errors.New("the replica has stopped")

func (r *Replica) countRefusal(reason string) {
	r.metrics.Counter("control_refusals_total", "reason", reason).Inc(1)
}
