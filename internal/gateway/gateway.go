// Package gateway is the callers' side of submitted work: it resolves a call to
// a queue and a team and forwards it to the leader. It keeps no state that must
// survive.
package gateway

import (
	"context"
	"path"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cactusspar/internal/boottime"
	"cactusspar/internal/orchestrator"
	"cactusspar/internal/peer"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// Options configure a Gateway.
type Options struct {
	// Cluster and Name identify the process to control replicas.
	Cluster, Name string
	// Seeds are peer addresses of control replicas.
	Seeds   []string
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

const (
	// watchWait is how long the leader holds a question about the topology.
	watchWait = 300 * time.Millisecond
	// topologyTimeout bounds one attempt to fetch a topology: a large one takes its
	// time on a narrow link.
	topologyTimeout = 2 * time.Second
	// watchTimeout bounds one question, a change of leader included.
	watchTimeout = 4 * time.Second
	// readyFor is how long a gateway without a word of the leader reports ready.
	// It outlasts a change of leader.
	readyFor = 3 * time.Second
	// isolatedAfter is how long a gateway without a word of the leader goes on
	// looking for one on behalf of callers. It outlasts a change of leader of which
	// the watch learns by one silent replica.
	isolatedAfter = readyFor + topologyTimeout
	// refusalFreshness is how old the topology may be when a call is refused
	// because of it.
	refusalFreshness = 200 * time.Millisecond
	// patience bounds the search for a leader on behalf of a caller, so that the
	// caller learns soon that it has to come back.
	patience = 1200 * time.Millisecond
	// answerReserve is left of a caller's deadline to deliver the answer.
	answerReserve = 5 * time.Millisecond
	// topologyGap is the shortest time between two topologies that a gateway
	// fetches: in a storm of changes its link would carry nothing else.
	topologyGap = 500 * time.Millisecond
)

// Gateway resolves and forwards calls.
type Gateway struct {
	options  Options
	link     *link
	held     atomic.Pointer[held]
	stopping atomic.Bool
}

// held is the topology that the gateway works with.
type held struct {
	topology *workload.Topology
	// confirmed is when the leader was asked the last time it confirmed it.
	confirmed boottime.Instant
}

// New returns a gateway.
func New(o Options) *Gateway {
	identity := peer.Identity{Cluster: o.Cluster, Role: peer.RoleEntry, ID: o.Name, Incarnation: uint64(time.Now().UnixNano())}
	return &Gateway{options: o, link: newLink(identity, o.Seeds)}
}

// Run follows the topology until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer g.link.close()
	lost := false
	for ctx.Err() == nil {
		before := g.version()
		err := g.refresh(ctx, watchWait, watchTimeout)
		if g.version() != before {
			sleep(ctx, topologyGap)
		}
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			if lost {
				g.options.Log.Info("Lost the leader.", "reason", err.Error())
			} else {
				g.options.Log.Info("Found the leader.", "version", g.version())
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refresh asks the leader for the topology.
func (g *Gateway) refresh(ctx context.Context, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := boottime.Now()
	answer := &orchestrator.TopologyAnswer{}
	request := &orchestrator.TopologyRequest{Held: g.version(), Wait: wait}
	if _, err := g.link.callWithin(ctx, topologyTimeout, orchestrator.MethodTopology, request, answer); err != nil {
		return err
	}
	g.link.learn(answer.Replicas)
	g.take(answer, asked)
	return nil
}

// take adopts a topology. An older one than that held changes nothing.
func (g *Gateway) take(answer *orchestrator.TopologyAnswer, asked boottime.Instant) {
	for {
		current := g.held.Load()
		var next *held
		switch {
		case answer.Topology != nil && (current == nil || answer.Topology.Version > current.topology.Version):
			next = newHeld(answer.Topology)
			g.options.Log.Info("Took over a topology.", "version", answer.Version, "queues", len(answer.Topology.Queues))
		case current != nil && current.topology.Version == answer.Version:
			copied := *current
			next = &copied
		default:
			return
		}
		next.confirmed = asked
		if current != nil && current.topology.Version == next.topology.Version {
			next.confirmed = max(asked, current.confirmed)
		}
		if g.held.CompareAndSwap(current, next) {
			return
		}
	}
}

func newHeld(t *workload.Topology) *held {
	t.Index()
	return &held{topology: t}
}

func (g *Gateway) version() uint64 {
	if h := g.held.Load(); h != nil {
		return h.topology.Version
	}
	return 0
}

// Ready tells whether callers should be sent here.
func (g *Gateway) Ready() bool {
	h := g.held.Load()
	return h != nil && !g.stopping.Load() && boottime.Now().Sub(h.confirmed) < readyFor
}

// Stop makes the gateway report that it is not ready; it goes on serving.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Stopping tells that Stop was called.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// MaxBodyBytes returns the bound of a body.
func (g *Gateway) MaxBodyBytes() int64 {
	if h := g.held.Load(); h != nil && h.topology.MaxBodyBytes > 0 {
		return h.topology.MaxBodyBytes
	}
	return defaultBodyBytes
}

// defaultBodyBytes bounds a body before a topology is known.
const defaultBodyBytes = 256 << 10

// Method is what a caller asks for.
type Method uint8

// Methods of callers.
const (
	Submit Method = iota
	Status
	Cancel
	Pending
)

// String returns the method's name for logs.
func (m Method) String() string { return [...]string{"submit", "status", "cancel", "pending"}[m] }

// Request is a caller's call.
type Request struct {
	Method     Method
	Host, Path string
	// Key is empty for a call without one.
	Key      string
	Deadline time.Time
	// Parse returns the job once the queue is known to take the call.
	Parse func() (*workload.Job, error)
}

// Result is what became of a call.
type Result struct {
	Kind   Kind
	Reason string
	// Detail explains an invalid call.
	Detail     string
	RetryAfter time.Duration
	Status     workload.Status
	Pending    int
}

// Kind classifies a result.
type Kind string

// Kinds of results.
const (
	Accepted     Kind = "accepted"
	Found        Kind = "found"
	NoQueue      Kind = "no-queue"
	Unauthorized Kind = "unauthorized"
	Invalid      Kind = "invalid"
	NoJob        Kind = "no-job"
	// Refused: the job was not accepted and never runs.
	Refused Kind = "refused"
	// Unavailable: nothing was done because no leader was found.
	Unavailable Kind = "unavailable"
	// Open: the call may or may not have had an effect.
	Open Kind = "open"
)

// noLeaderRetry is when callers may come back while no leader is known.
const noLeaderRetry = time.Second

// Serve carries out a call.
func (g *Gateway) Serve(ctx context.Context, r *Request) Result {
	began := time.Now()
	result, id, queue := g.serve(ctx, r)
	g.options.Metrics.Counter("gateway_results_total", "kind", string(result.Kind), "reason", result.Reason).Inc(1)
	g.options.Metrics.Histogram("gateway_call").RecordSince(began)
	log := g.options.Log
	if result.Kind == Found || result.Kind == Accepted {
		log = log.V(1)
	}
	log.Info("Answered a call.", "job", id, "method", r.Method.String(), "queue", queue, "result", result.Kind,
		"reason", result.Reason, "version", g.version(), "left_ms", time.Until(r.Deadline).Milliseconds(), "ms", time.Since(began).Milliseconds())
	return result
}

func (g *Gateway) serve(ctx context.Context, r *Request) (Result, string, string) {
	limit := time.Now().Add(patience)
	if r.Deadline.Before(limit) {
		limit = r.Deadline.Add(-answerReserve)
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	call, refusal := g.prepare(r)
	if refusal != nil {
		return *refusal, "", ""
	}
	answer := &orchestrator.CallAnswer{}
	open, err := g.link.call(ctx, methodOf(r.Method), call, answer)
	switch {
	case err == nil:
		return translate(answer, open), answer.Job, answer.Queue
	case r.Method == Submit && open:
		return Result{Kind: Open, Reason: "leader-silent"}, path.Base(r.Path), ""
	}
	return Result{Kind: Unavailable, Reason: "no-leader", RetryAfter: noLeaderRetry}, path.Base(r.Path), ""
}

// prepare refuses what can't be served by a topology that was confirmed just now,
// and makes the leader's call of the rest.
func (g *Gateway) prepare(r *Request) (*orchestrator.Call, *Result) {
	h := g.held.Load()
	if h == nil {
		return nil, &Result{Kind: Unavailable, Reason: "no-topology", RetryAfter: noLeaderRetry}
	}
	if boottime.Now().Sub(h.confirmed) >= isolatedAfter {
		// Callers on open connections go on asking a gateway that is not ready.
		return nil, &Result{Kind: Unavailable, Reason: "isolated", RetryAfter: noLeaderRetry}
	}
	call := &orchestrator.Call{Host: r.Host, Path: r.Path, Left: time.Until(r.Deadline)}
	if r.Key != "" {
		hash := workload.HashKey(r.Key)
		call.Key = &hash
	}
	if boottime.Now().Sub(h.confirmed) < refusalFreshness {
		switch _, _, _, access := h.topology.Resolve(r.Host, r.Path, call.Key); access {
		case workload.NoQueue:
			return nil, &Result{Kind: NoQueue, Reason: "no-queue"}
		case workload.UnknownKey:
			return nil, &Result{Kind: Unauthorized, Reason: "unknown-key"}
		}
	}
	if r.Method != Submit {
		return call, nil
	}
	job, err := r.Parse()
	if err == nil {
		err = job.Check()
	}
	if err != nil {
		return nil, &Result{Kind: Invalid, Reason: "invalid-job", Detail: err.Error()}
	}
	call.Job = job
	return call, nil
}

func methodOf(m Method) string {
	switch m {
	case Submit:
		return orchestrator.MethodSubmit
	case Status:
		return orchestrator.MethodStatus
	case Cancel:
		return orchestrator.MethodCancel
	}
	return orchestrator.MethodPending
}

// translate turns the leader's answer into a result. A refusal after an open
// attempt doesn't say that the job never runs.
func translate(a *orchestrator.CallAnswer, open bool) Result {
	switch a.Outcome {
	case orchestrator.Accepted:
		return Result{Kind: Accepted, Reason: a.Reason}
	case orchestrator.Found:
		return Result{Kind: Found, Status: a.Status, Pending: a.Pending}
	case orchestrator.Missing:
		return Result{Kind: NoJob}
	case orchestrator.Unresolved:
		return Result{Kind: NoQueue, Reason: "no-queue"}
	case orchestrator.Unauthorized:
		return Result{Kind: Unauthorized, Reason: "unknown-key"}
	case orchestrator.Malformed:
		return Result{Kind: Invalid, Reason: a.Reason}
	case orchestrator.Refused:
		if open {
			return Result{Kind: Open, Reason: a.Reason}
		}
		return Result{Kind: Refused, Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	return Result{Kind: Open, Reason: "undecided"}
}
