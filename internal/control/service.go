package control

import (
	"context"

	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// Service is work that the leading replica does beside its own. Handle runs on a
// goroutine of its own; all other methods run on the owning goroutine and must
// not block.
type Service interface {
	// Lead begins a leadership. All that earlier leaders committed is applied.
	Lead(l *Leadership)
	// Applied tells of a command that was applied during the leadership.
	Applied(c *workload.Command)
	// Tick is called at every tick of the leadership.
	Tick()
	// Flush is called after a batch of events, before what they proposed is synced.
	Flush()
	// StepDown ends the leadership.
	StepDown()
	// Handle serves a request that is not one of the replica's own.
	Handle(ctx context.Context, from peer.Identity, method string, body []byte) (any, error)
}

// Leadership is what a service may use while the replica leads. Its methods are
// for the owning goroutine, but for Post.
type Leadership struct {
	replica *Replica
	term    uint64
	ended   bool
}

// Term returns the term, which is higher than that of every earlier leader.
func (l *Leadership) Term() uint64 { return l.term }

// State returns the replicated model, which the caller must not change.
func (l *Leadership) State() *workload.State { return l.replica.state.Workload }

// Propose appends a command. done is called once it is applied or its outcome
// can't be learned any more.
func (l *Leadership) Propose(c *workload.Command, done func(error)) {
	l.replica.propose(state.Command{Workload: c}, func(_ state.Result, err error) { done(err) })
}

// Confirm calls done with nil once a quorum has confirmed the leadership after
// the call and all that was committed before is applied.
func (l *Leadership) Confirm(done func(error)) { l.replica.read(done) }

// Post runs f on the owning goroutine, unless the leadership has ended by then.
// It may be called from any goroutine and blocks while the queue is full.
func (l *Leadership) Post(f func()) {
	_ = l.replica.post(context.Background(), func() {
		if !l.ended {
			f()
		}
	})
}

// Await runs f on the owning goroutine and waits until it calls done, for requests
// that arrive at any replica.
func (r *Replica) Await(ctx context.Context, f func(done func(error))) error { return r.wait(ctx, f) }

// LeaderAddress returns where the leader is reached, or an empty one while none
// is known. It runs on the owning goroutine.
func (r *Replica) LeaderAddress() Address {
	if r.core.Leader() == r.id {
		return r.options.Self
	}
	return r.addressOf(r.core.Leader())
}

// PeerAddresses returns where the replicas of the group are reached. It runs on
// the owning goroutine.
func (r *Replica) PeerAddresses() []string {
	out := make([]string, 0, len(r.group.Members))
	for _, m := range r.group.Members {
		out = append(out, m.Addr)
	}
	return out
}

// NotLeader is the error with which a replica that doesn't lead answers peers.
func (r *Replica) NotLeader() error { return r.notLeaderForPeers() }

// SetService sets the service before Run; a service needs the replica first.
func (r *Replica) SetService(s Service) { r.options.Service = s }

// CallPeer sends a request to another replica.
func (r *Replica) CallPeer(ctx context.Context, addr, method string, request, answer any) error {
	return r.transport.client(addr).Call(ctx, method, request, answer)
}

// tickService tells the service of a settled leadership, and of the time.
func (r *Replica) tickService() {
	if r.options.Service == nil || r.lead == nil || !r.lead.settled() {
		return
	}
	if r.lead.service == nil {
		r.lead.service = &Leadership{replica: r, term: r.lead.term}
		r.options.Service.Lead(r.lead.service)
	}
	r.options.Service.Tick()
}

func (r *Replica) flushService() {
	if r.lead != nil && r.lead.service != nil {
		r.options.Service.Flush()
	}
}

func (l *leader) serviceApplied(c *workload.Command) {
	if c != nil && l.service != nil {
		l.replica.options.Service.Applied(c)
	}
}

func (l *leader) endService() {
	if l.service == nil {
		return
	}
	l.service.ended = true
	l.replica.options.Service.StepDown()
}
