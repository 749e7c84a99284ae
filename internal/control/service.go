package control

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// Service is an additional service that runs on the leader. Handle runs on a
// goroutine of its own; all other methods run on the event loop and must not
// block.
type Service interface {
	// BeginLeadership is called at the start of a leadership, once all entries that
	// earlier leaders committed are applied.
	BeginLeadership(l *Leadership)
	// Applied is called for each command that is applied during the leadership.
	Applied(c *workload.Command)
	// Tick is called at every tick of the leadership.
	Tick()
	// Flush is called after a batch of events, before their proposals are synced.
	Flush()
	// StepDown is called at the end of the leadership.
	StepDown()
	// Handle serves a request whose method the replica does not know.
	Handle(ctx context.Context, from peer.Identity, method string, body []byte) (any, error)
	// HandleMessage receives a one-way message of another replica whose method the
	// replica does not know, whether or not this replica leads. It runs on the goroutine
	// that reads the connection and must not block.
	HandleMessage(from peer.Identity, method string, body []byte)
}

// Leadership gives a service access to the replica while it leads. All methods
// except Post must be called on the event loop.
type Leadership struct {
	replica *Replica
	term    uint64
	ended   bool
}

// Term returns the term, which is higher than that of every earlier leader.
func (l *Leadership) Term() uint64 { return l.term }

// State returns the replicated workload state, which the caller must not modify.
func (l *Leadership) State() *workload.State { return l.replica.state.Workload }

// Propose appends a command to the log. done is called once the command is applied
// or its outcome can no longer be learned, or at once with ErrNotAppended if it was refused.
func (l *Leadership) Propose(c *workload.Command, done func(error)) {
	err := l.replica.appendCommand(state.Command{Workload: c}, func(_ state.Result, err error) { done(err) })
	if err != nil {
		done(errs.New("%w: %w", ErrNotAppended, err))
	}
}

// Confirm calls done with nil once a quorum has confirmed the leadership after the
// call and all entries that were committed before the call are applied.
func (l *Leadership) Confirm(done func(error)) { l.replica.read(done) }

// EventWait returns how long the event that is being run has waited for the event loop,
// or the last one during a tick.
func (l *Leadership) EventWait() time.Duration { return l.replica.eventWait }

// TakeLongestEventWait returns the longest wait of an event for the event loop since the
// last call.
func (l *Leadership) TakeLongestEventWait() time.Duration {
	longest := l.replica.longestEventWait
	l.replica.longestEventWait = 0
	return longest
}

// LoopWork is how long the event loop has worked, by the kind of the work. It includes the time
// in which other threads of the process had the processor.
type LoopWork struct {
	// Events is the time for posted functions, Ticks that for periodic work, Proposals that
	// for encoding and appending commands, Saves that for writing and syncing the log, and
	// Applies that for applying committed commands.
	Events, Ticks, Proposals, Saves, Applies time.Duration
}

// TakeLoopWork returns the work of the event loop since the last call.
func (l *Leadership) TakeLoopWork() LoopWork {
	work := l.replica.work
	l.replica.work = LoopWork{}
	return work
}

// Traffic is the traffic of a process with its peers since its start.
type Traffic struct{ FramesIn, FramesOut, Writes, BytesIn, BytesOut int64 }

// Traffic returns the traffic of this replica with its peers since its start.
func (r *Replica) Traffic() Traffic {
	c := r.counters
	return Traffic{c.FramesIn.Load(), c.FramesOut.Load(), c.Writes.Load(), c.BytesIn.Load(), c.BytesOut.Load()}
}

// Post runs f on the event loop, unless the leadership has ended by then. It may
// be called from any goroutine and blocks while the queue is full.
func (l *Leadership) Post(f func()) {
	_ = l.replica.post(context.Background(), func() {
		if !l.ended {
			f()
		}
	})
}

// Await runs f on the event loop and waits until it calls done. It may be called
// on any replica, leader or not.
func (r *Replica) Await(ctx context.Context, f func(done func(error))) error { return r.wait(ctx, f) }

// LeaderAddress returns the address of the leader, or an empty one while none is
// known. It must be called on the event loop.
func (r *Replica) LeaderAddress() Address {
	if r.core.Leader() == r.id {
		return r.options.Self
	}
	return r.addressOf(r.core.Leader())
}

// PeerAddresses returns the peer addresses of the replicas of the group. It must be
// called on the event loop.
func (r *Replica) PeerAddresses() []string {
	out := make([]string, 0, len(r.membership.Members))
	for _, m := range r.membership.Members {
		out = append(out, m.Addr)
	}
	return out
}

// NotLeader returns the error with which a follower answers peers.
func (r *Replica) NotLeader() error { return r.notLeaderForPeers() }

// SetService sets Options.Service, for services that are created after the
// replica. It must be called before Run.
func (r *Replica) SetService(s Service) { r.options.Service = s }

// CallPeer sends a request to another replica.
func (r *Replica) CallPeer(ctx context.Context, addr, method string, request, response any) error {
	return r.transport.client(addr).Call(ctx, method, request, response)
}

// SendPeer sends a one-way message to another replica. Delivery is not confirmed.
func (r *Replica) SendPeer(ctx context.Context, addr, method string, message any) error {
	return r.transport.client(addr).Send(ctx, method, message)
}

// TryPost runs f on the event loop, or drops it and returns false while the queue is full.
func (r *Replica) TryPost(f func()) bool { return r.tryPost(f) }

// Workload returns the applied workload state of this replica, which may be older than the
// leader's. It must be called on the event loop, and the state must not be modified.
func (r *Replica) Workload() *workload.State { return r.state.Workload }

// OperatorAddress returns the operator address of the replica with a peer address, or ""
// if it is not known. It must be called on the event loop.
func (r *Replica) OperatorAddress(peer string) string {
	for _, a := range r.addresses {
		if a.Peer == peer {
			return a.Operator
		}
	}
	return ""
}

// SelfAddress returns the address of this replica.
func (r *Replica) SelfAddress() Address { return r.options.Self }

// tickService calls BeginLeadership once the leader has caught up, and Tick at
// every tick from then on.
func (r *Replica) tickService() {
	if r.options.Service == nil || r.asLeader == nil || !r.asLeader.caughtUp() {
		return
	}
	if r.asLeader.service == nil {
		r.asLeader.service = &Leadership{replica: r, term: r.asLeader.term}
		r.options.Service.BeginLeadership(r.asLeader.service)
	}
	r.options.Service.Tick()
}

func (r *Replica) flushService() {
	if r.asLeader != nil && r.asLeader.service != nil {
		r.options.Service.Flush()
	}
}

func (l *leaderState) serviceApplied(c *workload.Command) {
	if c != nil && l.service != nil {
		l.replica.options.Service.Applied(c)
	}
}

func (l *leaderState) endService() {
	if l.service == nil {
		return
	}
	l.service.ended = true
	l.replica.options.Service.StepDown()
}
