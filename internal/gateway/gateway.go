// Package gateway serves callers that submit work: it resolves a call to a queue and
// a team and forwards it to the leader of the control replicas. It keeps no durable
// state.
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
	// Cluster and Name identify the process to the control replicas.
	Cluster, Name string
	// Seeds are the peer addresses of control replicas.
	Seeds   []string
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

const (
	// watchWait is how long the leader waits for a change of the topology before it
	// responds to a request for it.
	watchWait = 600 * time.Millisecond
	// topologyTimeout bounds one request for the topology or a piece of the access rules.
	topologyTimeout = 2 * time.Second
	// watchTimeout bounds one request for the topology, including a change of leader.
	watchTimeout = 4 * time.Second
	// readyFor is how long a gateway reports ready without a response of the leader.
	// It is longer than a change of leader takes.
	readyFor = 3 * time.Second
	// isolatedAfter is the time without a response of the leader after which a gateway
	// no longer searches for one on behalf of callers. It also covers a change of
	// leader that is noticed only when a request to a silent replica times out.
	isolatedAfter = readyFor + topologyTimeout
	// refusalMaxAge is the maximum time since the topology was confirmed for a call to
	// be refused because of it.
	refusalMaxAge = 200 * time.Millisecond
	// searchTimeout bounds the search for a leader on behalf of a caller, so that the
	// caller is soon told to retry.
	searchTimeout = 1200 * time.Millisecond
	// responseReserve is the part of a caller's deadline kept to deliver the response.
	responseReserve = 5 * time.Millisecond
	// minTopologyInterval is the minimum time between two fetches of a changed
	// topology, so that frequent changes don't saturate the gateway's network link.
	minTopologyInterval = 500 * time.Millisecond
)

// Gateway resolves and forwards calls.
type Gateway struct {
	options Options
	leader  *leaderClient
	latest  atomic.Pointer[confirmedTopology]
	// contactAt is when the last request was sent to which a confirmed leader responded, also if
	// it has a newer topology. The leader resolves all calls, so that callers don't wait for the
	// transfer of that topology. Only refresh changes it, and transfer.
	contactAt atomic.Int64
	transfer  accessTransfer
	stopping  atomic.Bool
}

// confirmedTopology is the topology that the gateway uses.
type confirmedTopology struct {
	topology *workload.Topology // access rules only
	// confirmedAt is when the last request was sent in whose response the leader
	// confirmed the topology.
	confirmedAt boottime.Instant
}

// New returns a gateway.
func New(o Options) *Gateway {
	identity := peer.Identity{Cluster: o.Cluster, Role: peer.RoleEntry, ID: o.Name, Incarnation: uint64(time.Now().UnixNano())}
	return &Gateway{options: o, leader: newLeaderClient(identity, o.Seeds, o.Log)}
}

// Run keeps the topology up to date until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer g.leader.close()
	lost := false
	for ctx.Err() == nil {
		before := g.version()
		err := g.refresh(ctx, watchWait, watchTimeout)
		if g.version() != before {
			sleep(ctx, minTopologyInterval)
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refresh requests the topology from the leader and adopts it.
func (g *Gateway) refresh(ctx context.Context, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := boottime.Now()
	request := &orchestrator.TopologyRequest{Version: g.version(), Wait: wait, Access: true, Continues: g.transfer.AccessTransfer}
	response := g.followerTopology(ctx, request)
	var err error
	if response == nil {
		response, err = callLeader[orchestrator.TopologyResponse](ctx, g.leader, topologyTimeout, &attempts{}, orchestrator.MethodTopology, request)
		if err != nil {
			return err
		}
	}
	g.leader.setReplicas(response.Replicas)
	received := response.Topology // of a replica of an earlier version
	if response.Access != nil {
		if received, err = g.receive(response.Access); err != nil {
			g.options.Log.Info("Could not use a piece of access rules.", "version", response.Access.Version, "offset", response.Access.Offset, "reason", err.Error())
			sleep(ctx, roundInterval)
		}
	}
	g.adopt(response.Version, received, requestedAt)
	return nil
}

// receive adds a piece of access rules to the transfer and returns the rules if it was the last one.
func (g *Gateway) receive(p *orchestrator.AccessPiece) (*workload.Topology, error) {
	update, err := g.transfer.add(p)
	if err != nil || update == nil {
		return nil, err
	}
	var base *workload.Topology
	if h := g.latest.Load(); h != nil {
		base = h.topology
	}
	return update.Apply(base)
}

// followerTopology requests the topology through a follower, which shares one request to the leader
// among many gateways. It returns nil if the leader has to be asked, as for a gateway's first
// topology, for which nobody should wait.
func (g *Gateway) followerTopology(ctx context.Context, request *orchestrator.TopologyRequest) *orchestrator.TopologyResponse {
	if request.Wait <= 0 || request.Version == 0 {
		return nil
	}
	addr := g.leader.follower()
	if addr == "" {
		return nil
	}
	response := &orchestrator.TopologyResponse{}
	if err := g.leader.attempt(ctx, request.Wait+attemptTimeout, addr, orchestrator.MethodFollowerTopology, request, response); err != nil {
		g.leader.avoidFollower(addr, err)
		return nil
	}
	g.leader.followerServed()
	return response
}

// adopt stores a received topology, or the time at which the current one was confirmed. version is
// the one that the leader has. A leader with an older version than the current one is ignored.
func (g *Gateway) adopt(version uint64, received *workload.Topology, requestedAt boottime.Instant) {
	if version == 0 || version < g.version() {
		return
	}
	g.contactAt.Store(max(g.contactAt.Load(), int64(requestedAt)))
	for {
		current := g.latest.Load()
		var next *confirmedTopology
		switch {
		case received != nil && (current == nil || received.Version > current.topology.Version):
			next = newConfirmedTopology(received)
		case current != nil:
			copied := *current
			next = &copied
		default:
			return
		}
		if next.topology.Version == version {
			next.confirmedAt = max(requestedAt, next.confirmedAt)
		}
		if g.latest.CompareAndSwap(current, next) {
			if received != nil && next.topology == received {
				g.options.Log.Info("Adopted a topology.", "version", received.Version, "queues", len(received.Queues), "leader_version", version)
			}
			return
		}
	}
}

// contact returns when the last request was sent to which a confirmed leader responded, or 0.
func (g *Gateway) contact() boottime.Instant {
	at := boottime.Instant(g.contactAt.Load())
	if h := g.latest.Load(); h != nil {
		at = max(at, h.confirmedAt)
	}
	return at
}

// newConfirmedTopology indexes a topology for use by the gateway.
func newConfirmedTopology(t *workload.Topology) *confirmedTopology {
	t.BuildIndex()
	return &confirmedTopology{topology: t}
}

// version returns the version of the current topology, or 0 without one.
func (g *Gateway) version() uint64 {
	if h := g.latest.Load(); h != nil {
		return h.topology.Version
	}
	return 0
}

// Ready reports whether callers should be routed to this gateway.
func (g *Gateway) Ready() bool {
	at := g.contact()
	return at != 0 && !g.stopping.Load() && boottime.Now().Sub(at) < readyFor
}

// Stop makes the gateway report that it isn't ready. It continues to serve calls.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// MaxBodyBytes returns the limit of a body's size.
func (g *Gateway) MaxBodyBytes() int64 {
	if h := g.latest.Load(); h != nil && h.topology.MaxBodyBytes > 0 {
		return h.topology.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// defaultMaxBodyBytes is the limit of a body's size while no topology is known, or if
// the topology sets none.
const defaultMaxBodyBytes = 256 << 10

// Method is the operation that a caller requests.
type Method uint8

// Operations of callers.
const (
	Submit Method = iota
	Status
	Cancel
	Pending
)

// String returns the name of the method for logs.
func (m Method) String() string { return [...]string{"submit", "status", "cancel", "pending"}[m] }

// Request is a call of a caller.
type Request struct {
	Method     Method
	Host, Path string
	// Key is the API key; empty for a call without one.
	Key      string
	Deadline time.Time
	// Parse returns the job. It is called only for a submission that hasn't been
	// refused.
	Parse func() (*workload.Job, error)
}

// Result is the outcome of a call.
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
	// Undecided: the outcome is unknown; the call may have had an effect.
	Undecided Kind = "open"
)

// noLeaderRetry is the retry delay given to callers while no leader is known.
const noLeaderRetry = time.Second

// Refuse returns the result of a call that is refused whatever its job is, so that the job
// need not be received.
func (g *Gateway) Refuse(r *Request) (result Result, refused bool) {
	began := time.Now()
	if _, refusal := g.access(r); refusal != nil {
		return g.conclude(r, &attempts{method: r.Method}, *refusal, "", began), true
	}
	return Result{}, false
}

// Serve executes a call.
func (g *Gateway) Serve(ctx context.Context, r *Request) Result {
	began := time.Now()
	made := &attempts{method: r.Method}
	claimed, queue := g.serve(ctx, r, made)
	return g.conclude(r, made, claimed, queue, began)
}

// conclude returns the result of a call, counts it and logs it.
func (g *Gateway) conclude(r *Request, made *attempts, claimed claim, queue string, began time.Time) Result {
	result := made.result(claimed)
	g.options.Metrics.Counter("gateway_results_total", "kind", string(result.Kind), "reason", result.Reason).Inc(1)
	g.options.Metrics.Histogram("gateway_call").RecordSince(began)
	g.countAttempts(made, result.Kind)
	log := g.options.Log
	if result.Kind == Found || result.Kind == Accepted {
		log = log.V(1)
	}
	log.Info("Answered a call.", "job", jobID(r), "method", r.Method.String(), "queue", queue, "result", result.Kind,
		"reason", result.Reason, "attempts", made.count, "uncertain", made.uncertain, "last", made.last, "replica", made.replica,
		"version", g.version(), "left_ms", time.Until(r.Deadline).Milliseconds(), "ms", time.Since(began).Milliseconds())
	return result
}

// countAttempts counts the attempts of a call, and the call if one of them is uncertain.
func (g *Gateway) countAttempts(made *attempts, kind Kind) {
	g.options.Metrics.Counter("gateway_attempts_total").Inc(int64(made.count))
	if made.uncertain > 0 {
		g.options.Metrics.Counter("gateway_uncertain_calls_total", "kind", string(kind), "last", made.last).Inc(1)
	}
}

// jobID returns the job ID of a call, or "" if it has none.
func jobID(r *Request) string {
	if id := path.Base(r.Path); r.Method != Pending && workload.ValidJobID(id) {
		return id
	}
	return ""
}

// serve executes a call. It returns what its last attempt says, and the queue.
func (g *Gateway) serve(ctx context.Context, r *Request, made *attempts) (claim, string) {
	limit := time.Now().Add(searchTimeout)
	if r.Deadline.Before(limit) {
		limit = r.Deadline.Add(-responseReserve)
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	call, refusal := g.prepare(r)
	if refusal != nil {
		return *refusal, ""
	}
	if r.Method == Status {
		if response := g.followerStatus(ctx, made, call); response != nil {
			return translate(response), response.Queue
		}
	}
	known, leader := g.version(), g.leader.currentLeader()
	response := g.forwarded(ctx, made, call)
	var err error
	if response == nil {
		response, err = g.callLeader(ctx, made, call)
	}
	for err == nil && refusesAccess(response) && response.Version < known {
		g.leader.forgetLeader(leader) // another replica has committed a higher version
		sleep(ctx, roundInterval)
		leader = g.leader.currentLeader()
		response, err = g.callLeader(ctx, made, call)
	}
	if err != nil {
		return claim{Kind: Unavailable, Reason: "no-leader", RetryAfter: noLeaderRetry}, ""
	}
	return translate(response), response.Queue
}

// callLeader sends a call to the leader.
func (g *Gateway) callLeader(ctx context.Context, made *attempts, call *orchestrator.Call) (*orchestrator.CallResponse, error) {
	response, err := callLeader[orchestrator.CallResponse](ctx, g.leader, attemptTimeout, made, methodOf(made.method), call)
	if err == nil {
		made.last = string(response.Outcome)
	}
	return response, err
}

// followerTimeout bounds a status request to a follower, before the leader is asked.
const followerTimeout = 200 * time.Millisecond

// followerStatus asks a follower for the status of a job. It returns nil if the leader has to be
// asked: there is no follower, it has not responded, or it doesn't know the job.
func (g *Gateway) followerStatus(ctx context.Context, made *attempts, call *orchestrator.Call) *orchestrator.CallResponse {
	addr := g.leader.follower()
	if addr == "" {
		return nil
	}
	response := &orchestrator.CallResponse{}
	if err := g.leader.attempt(ctx, followerTimeout, addr, orchestrator.MethodFollowerStatus, call, response); err != nil {
		g.leader.avoidFollower(addr, err)
		return nil
	}
	g.leader.followerServed()
	if response.Outcome != orchestrator.Found {
		return nil
	}
	made.ended(addr, "response")
	return response
}

// forwarded sends a call to the leader through a follower, which forwards the calls of many gateways
// together. It returns nil if the call has to be sent to the leader directly.
func (g *Gateway) forwarded(ctx context.Context, made *attempts, call *orchestrator.Call) *orchestrator.CallResponse {
	addr := g.leader.follower()
	if addr == "" || !made.mayAttempt(ctx) {
		return nil
	}
	response := &orchestrator.CallResponse{}
	request := &orchestrator.ForwardRequest{Method: methodOf(made.method), Call: call}
	if err := g.leader.attempt(ctx, attemptTimeout, addr, orchestrator.MethodForward, request, response); err != nil {
		made.failed(addr, err)
		g.leader.avoidFollower(addr, err)
		return nil
	}
	g.leader.followerServed()
	made.ended(addr, string(response.Outcome))
	return response
}

// refusesAccess reports whether a response depends on the topology alone.
func refusesAccess(a *orchestrator.CallResponse) bool {
	return a.Outcome == orchestrator.Unresolved || a.Outcome == orchestrator.Unauthorized
}

// prepare builds the request to the leader, or returns a claim if the call is
// refused here.
func (g *Gateway) prepare(r *Request) (*orchestrator.Call, *claim) {
	call, refusal := g.access(r)
	if refusal != nil || r.Method != Submit {
		return call, refusal
	}
	job, err := r.Parse()
	if err == nil {
		err = job.Check()
	}
	if err != nil {
		return nil, &claim{Kind: Invalid, Reason: "invalid-job", Detail: err.Error()}
	}
	call.Job = job
	return call, nil
}

// access builds the request to the leader without the job. Access is refused only if the
// topology was confirmed recently; otherwise the leader decides.
func (g *Gateway) access(r *Request) (*orchestrator.Call, *claim) {
	at := g.contact()
	if at == 0 {
		return nil, &claim{Kind: Unavailable, Reason: "no-topology", RetryAfter: noLeaderRetry}
	}
	if boottime.Now().Sub(at) >= isolatedAfter {
		// Callers with open connections keep calling a gateway that isn't ready.
		return nil, &claim{Kind: Unavailable, Reason: "isolated", RetryAfter: noLeaderRetry}
	}
	call := &orchestrator.Call{Host: r.Host, Path: r.Path, Remaining: time.Until(r.Deadline)}
	if r.Key != "" {
		hash := workload.HashKey(r.Key)
		call.Key = &hash
	}
	if h := g.latest.Load(); h != nil && boottime.Now().Sub(h.confirmedAt) < refusalMaxAge {
		switch _, _, _, access := h.topology.Resolve(r.Host, r.Path, call.Key); access {
		case workload.NoQueue:
			return nil, &claim{Kind: NoQueue, Reason: "no-queue"}
		case workload.UnknownKey:
			return nil, &claim{Kind: Unauthorized, Reason: "unknown-key"}
		}
	}
	return call, nil
}

// methodOf returns the orchestrator's method for a method of callers.
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

// translate converts the leader's response.
func translate(a *orchestrator.CallResponse) claim {
	switch a.Outcome {
	case orchestrator.Accepted:
		return claim{Kind: Accepted, Reason: a.Reason}
	case orchestrator.Found:
		return claim{Kind: Found, Status: a.Status, Pending: a.Pending}
	case orchestrator.Missing:
		return claim{Kind: NoJob}
	case orchestrator.Unresolved:
		return claim{Kind: NoQueue, Reason: "no-queue"}
	case orchestrator.Unauthorized:
		return claim{Kind: Unauthorized, Reason: "unknown-key"}
	case orchestrator.Malformed:
		return claim{Kind: Invalid, Reason: a.Reason}
	case orchestrator.Refused:
		return claim{Kind: Refused, Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	return claim{Kind: Undecided, Reason: "undecided"}
}
