// Package gateway is the callers' side of submitted work: it resolves a call to
// a queue and a team and forwards it to the leader. It keeps no state that must
// survive.
package gateway

import (
	"context"
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
	watchWait = time.Second
	// watchTimeout bounds one question, a change of leader included.
	watchTimeout = 2500 * time.Millisecond
	// readyFor is how long a gateway without a word of the leader reports ready.
	// It outlasts a change of leader.
	readyFor = 3 * time.Second
	// refusalFreshness is how old the topology may be when a call is refused
	// because of it.
	refusalFreshness = 200 * time.Millisecond
	// patience bounds the search for a leader on behalf of a caller, so that the
	// caller learns soon that it has to come back.
	patience = 1200 * time.Millisecond
	// answerReserve is left of a caller's deadline to deliver the answer.
	answerReserve = 5 * time.Millisecond
	// maxOutdated is how often a call is resolved again because the topology changed.
	maxOutdated = 4
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
	teams    map[workload.KeyHash]string
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
		err := g.refresh(ctx, watchWait, watchTimeout)
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

// refresh asks the leader for the topology.
func (g *Gateway) refresh(ctx context.Context, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := boottime.Now()
	answer := &orchestrator.TopologyAnswer{}
	request := &orchestrator.TopologyRequest{Held: g.version(), Wait: min(wait, attemptTimeout/2)}
	if _, err := g.link.call(ctx, orchestrator.MethodTopology, request, answer); err != nil {
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
	h := &held{topology: t, teams: map[workload.KeyHash]string{}}
	for i := range t.Teams {
		for _, k := range t.Teams[i].Keys {
			h.teams[k] = t.Teams[i].Name
		}
	}
	return h
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
	g.options.Metrics.Timer("gateway_call").UpdateSince(began)
	log := g.options.Log
	if result.Kind == Found || result.Kind == Accepted && r.Method != Submit {
		log = log.V(1)
	}
	log.Info("Answered a call.", "job", id, "method", r.Method, "queue", queue, "result", result.Kind,
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
	open := false
	for range maxOutdated {
		call, refusal := g.resolve(r)
		if refusal != nil {
			if refusal.Kind == Invalid || g.fresh() {
				return *refusal, "", ""
			}
			if err := g.refresh(ctx, 0, patience); err != nil {
				return Result{Kind: Unavailable, Reason: "topology-not-confirmed", RetryAfter: noLeaderRetry}, "", ""
			}
			if call, refusal = g.resolve(r); refusal != nil {
				return *refusal, "", ""
			}
		}
		answer := &orchestrator.CallAnswer{}
		unanswered, err := g.link.call(ctx, methodOf(r.Method), call, answer)
		open = open || unanswered
		if err != nil {
			return failed(r, open), call.ID, call.Queue
		}
		if answer.Outcome != orchestrator.Outdated {
			open = open || answer.Outcome == orchestrator.Undecided
			return translate(answer, open), call.ID, call.Queue
		}
		if err := g.refresh(ctx, 0, patience); err != nil {
			return failed(r, open), call.ID, call.Queue
		}
	}
	return Result{Kind: Unavailable, Reason: "topology-changes", RetryAfter: noLeaderRetry}, "", ""
}

// failed is the result of a call that got no answer from the leader.
func failed(r *Request, open bool) Result {
	if r.Method == Submit && open {
		return Result{Kind: Open, Reason: "leader-silent"}
	}
	return Result{Kind: Unavailable, Reason: "no-leader", RetryAfter: noLeaderRetry}
}

func (g *Gateway) fresh() bool {
	h := g.held.Load()
	return h != nil && boottime.Now().Sub(h.confirmed) < refusalFreshness
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

// jobIDLength is the length of a job's identity in hexadecimal digits.
const jobIDLength = 16

// resolve finds the queue and team of a call.
func (g *Gateway) resolve(r *Request) (*orchestrator.Call, *Result) {
	h := g.held.Load()
	if h == nil {
		return nil, &Result{Kind: Unavailable, Reason: "no-topology", RetryAfter: noLeaderRetry}
	}
	q := h.topology.Match(r.Host, r.Path)
	if q == nil {
		return nil, &Result{Kind: NoQueue, Reason: "no-queue"}
	}
	team, known := "", false
	if r.Key != "" {
		team, known = h.teams[workload.HashKey(r.Key)]
	}
	if !known && !q.Public {
		return nil, &Result{Kind: Unauthorized, Reason: "unknown-key"}
	}
	call := &orchestrator.Call{Version: h.topology.Version, Queue: q.Name, Team: team, ID: r.Path[len(q.Prefix):]}
	if r.Method == Pending {
		return call, nil
	}
	if !validID(call.ID) {
		return nil, &Result{Kind: Invalid, Reason: "job-id"}
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
	job.ID, job.Queue, job.Team = call.ID, call.Queue, call.Team
	// A caller that returns has less time left than the queue gives for a call.
	job.Waited = max(q.Timeout-time.Until(r.Deadline), 0)
	call.Job = job
	return call, nil
}

func validID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
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
	case orchestrator.Refused:
		if open {
			return Result{Kind: Open, Reason: a.Reason}
		}
		return Result{Kind: Refused, Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	return Result{Kind: Open, Reason: "undecided"}
}
