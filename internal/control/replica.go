// Package control is the control process: replicas of the control state that
// elect a leader, commit commands, and serve operators and entry instances.
//
// One goroutine owns the core, the storage and the state. Everything else sends
// it functions to run.
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
	// tick is the clock of the core.
	tick = 20 * time.Millisecond
	// maxEvents bounds the functions that wait for the owning goroutine.
	maxEvents = 8192
	// maxBatch bounds the functions run before their outcome is synced. A larger
	// batch shares one sync but delays the first of its commands.
	maxBatch = 512
	// defaultSnapshotEntries is the number of entries after which a snapshot is taken.
	defaultSnapshotEntries = 10_000
	// keptEntries spare a follower that is slightly behind the snapshot.
	keptEntries = 2_000
	// publishTicks is the number of ticks after which the status is published.
	publishTicks = 5
	// stopTimeout bounds the wait for a successor on a planned stop.
	stopTimeout = 2 * time.Second
	// frozenAfter is the time without a tick after which the process is taken to
	// have been stopped and continued.
	frozenAfter = 500 * time.Millisecond
)

// Address is where a control replica is reached.
type Address struct {
	Name     string
	Peer     string
	Operator string
}

// Options configures a replica.
type Options struct {
	Cluster string
	// Self names this replica; Self.Peer is the address that others dial.
	Self Address
	// Members are the initial members. A replica with an empty data folder forms
	// a group with them only if all of them are new as well.
	Members []Address
	Folder  string
	// Listener accepts peers.
	Listener  net.Listener
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       logr.Logger
	Metrics   *telemetry.Metrics
	// Files is the file system of the data folder, by default the disk's.
	Files wal.FS
	// SnapshotEntries is the number of entries between snapshots; 0 means 10,000.
	SnapshotEntries uint64
	// Seeds are peer addresses at which a group may be found, beside Members.
	Seeds []string
	// Admission lets unknown replicas join without an operator; nil means that
	// they don't.
	Admission *Admission
	// Service works on the leader; nil means none.
	Service Service
}

// Replica is a control replica.
type Replica struct {
	options   Options
	log       logr.Logger
	metrics   *telemetry.Metrics
	counts    *peer.Counts
	storage   *wal.Storage
	transport *transport
	events    chan func()
	done      chan struct{}
	status    atomic.Pointer[operator.Status]
	// deadline is the longest time that admitted work may run; tests shorten it.
	deadline time.Duration
	lastTick atomic.Int64 // nanoseconds since started
	started  time.Time

	// The owning goroutine's.
	core    *consensus.Core
	group   consensus.Membership // of the core, kept at hand
	id      consensus.ReplicaID
	state   *state.State
	applied uint64
	// settledTerm is the term of the last applied entry.
	settledTerm uint64
	snapshot    uint64 // index of the last snapshot
	// snapshotEpoch is the membership epoch of the last snapshot.
	snapshotEpoch uint64
	proposals     map[uint64]*proposal
	reads         readTable
	routes        map[consensus.ReplicaID]Address
	names         map[string]Address
	lead          *leader // nil unless this replica is the leader
	joining       joiner
	lastPrune     time.Time
	counted       consensus.Counts
	stopBy        time.Time
	ticks         uint64
}

// Open opens the data folder and returns a replica that continues from it.
func Open(o Options) (*Replica, error) {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	storage, start, err := wal.Open(o.Folder, wal.Options{Cluster: o.Cluster, FS: o.Files})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, log: o.Log.WithName("control"), metrics: o.Metrics, counts: &peer.Counts{}, storage: storage,
		events: make(chan func(), maxEvents), done: make(chan struct{}), started: time.Now(),
		deadline: longestDeadline,
		id:       storage.Identity().Replica, state: state.New(),
		proposals: map[uint64]*proposal{}, routes: map[consensus.ReplicaID]Address{}, names: map[string]Address{},
	}
	r.transport = newTransport(r)
	for _, m := range o.Members {
		r.names[m.Name] = m
	}
	if err := r.startCore(start); err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	r.publish()
	return r, nil
}

// startCore starts the core on what the data folder holds.
func (r *Replica) startCore(start consensus.Start) error {
	seed := rand.New(rand.NewPCG(uint64(r.id), uint64(time.Now().UnixNano())))
	core, err := consensus.New(consensus.DefaultConfig(r.id, seed), start)
	if err != nil {
		return errs.New("start replica: %w", err)
	}
	r.core = core
	r.group = core.Status().Membership
	if start.Snapshot == nil {
		return nil
	}
	restored, err := state.Restore(start.Snapshot.Data)
	if err != nil {
		return errs.New("start replica: %w", err)
	}
	r.state, r.applied = restored, start.Snapshot.Index
	r.snapshot, r.snapshotEpoch = start.Snapshot.Index, start.Snapshot.Membership.Epoch
	return nil
}

// Run serves until ctx ends or the replica has to stop. On a planned stop, a
// leader hands over first.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	serving, stopServing := context.WithCancel(context.Background())
	server := &peer.Server{
		Identity: r.identity(), Handler: r, Log: r.options.Log.WithName("peer"), Counts: r.counts, TLS: r.options.ServerTLS,
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Serve(serving, r.options.Listener); err != nil {
			r.log.Error(err, "Stopped accepting peers.")
		}
	})
	err := r.loop(ctx)
	r.failAll()
	stopServing()
	r.transport.close()
	r.drainUntil(&wg)
	return errors.Join(err, r.storage.Close())
}

func (r *Replica) identity() peer.Identity {
	return peer.Identity{Cluster: r.options.Cluster, Role: peer.RoleControl, ID: r.options.Self.Name, Incarnation: uint64(r.id)}
}

// drainUntil runs what was sent to the owning goroutine after its loop ended,
// so that no sender waits for ever.
func (r *Replica) drainUntil(wg *conc.WaitGroup) {
	finished := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		defer close(finished)
		wg.Wait()
	})
	defer waiter.Wait()
	for {
		select {
		case f := <-r.events:
			f()
			r.failAll()
		case <-finished:
			return
		}
	}
}

func (r *Replica) loop(ctx context.Context) error {
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
		case f := <-r.events:
			f()
			r.runBatch()
		}
		r.flushService()
		if err := r.process(); err != nil {
			r.log.Error(err, "Stopped the replica.")
			return err
		}
		if r.stopped() {
			return nil
		}
	}
}

// runBatch runs what waits, so that its entries share one sync.
func (r *Replica) runBatch() {
	for range maxBatch {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}

func (r *Replica) tick(now time.Time, gap time.Duration) {
	r.lastTick.Store(int64(now.Sub(r.started)))
	r.core.Tick()
	r.tickJoin(now)
	if r.lead != nil {
		r.tickLeader(now, gap)
		r.tickService()
		r.pruneLearners(now)
	}
	r.ticks++
	if r.ticks%publishTicks == 0 {
		r.publish()
	}
}

// beginStop hands over the leadership, if there is a successor.
func (r *Replica) beginStop() {
	r.stopBy = time.Now()
	if !r.core.IsLeader() {
		return
	}
	if err := r.core.TransferLeadership(0); err != nil {
		r.log.Info("Found no successor to hand over to.", "reason", err.Error())
		return
	}
	r.stopBy = r.stopBy.Add(stopTimeout)
}

func (r *Replica) stopped() bool {
	if r.stopBy.IsZero() {
		return false
	}
	return !r.core.IsLeader() || !time.Now().Before(r.stopBy)
}

// post sends a function to the owning goroutine.
func (r *Replica) post(ctx context.Context, f func()) error {
	select {
	case r.events <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
}

// tryPost is post for senders that must not block.
func (r *Replica) tryPost(f func()) bool {
	select {
	case r.events <- f:
		return true
	default:
		r.refused("queue-full")
		return false
	}
}

var errStopped = errors.New("the replica has stopped")

func (r *Replica) refused(reason string) {
	r.metrics.Counter("control_refusals_total", "reason", reason).Inc(1)
}
