package orchestrator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/peer"
	"cactusspar/internal/relay"
	"cactusspar/internal/view"
	"cactusspar/internal/workload"
)

// Handle serves the requests of gateways and other replicas.
func (o *Orchestrator) Handle(ctx context.Context, _ peer.Identity, method string, body []byte) (any, error) {
	switch method {
	case MethodSubmit, MethodStatus, MethodCancel, MethodPending:
		return serve(body, func(c *Call) (any, error) { return o.Call(ctx, method, c) })
	case MethodFollowerStatus:
		return serve(body, func(c *Call) (any, error) { return o.FollowerStatus(ctx, c) })
	case MethodForward:
		return serve(body, func(r *ForwardRequest) (any, error) { return o.Forward(ctx, r) })
	case MethodFollowerTopology:
		return serve(body, func(r *TopologyRequest) (any, error) { return o.FollowerTopology(ctx, r) })
	case MethodTopology:
		return serve(body, func(r *TopologyRequest) (any, error) { return o.Topology(ctx, r) })
	case MethodReport:
		return serve(body, func(r *Report) (any, error) { return &Acknowledgement{}, o.Report(ctx, r) })
	case MethodLeave:
		return serve(body, func(l *LeaveRequest) (any, error) { return &Acknowledgement{}, o.Leave(ctx, l) })
	case MethodApplyTopology:
		return serve(body, func(t *workload.Topology) (any, error) { return &Acknowledgement{}, o.ApplyTopology(ctx, t) })
	case MethodReadTopology:
		return serve(body, func(*TopologyRequest) (any, error) { return o.ReadTopology(ctx) })
	case MethodStartWave:
		return serve(body, func(w *workload.Wave) (any, error) { return &Acknowledgement{}, o.StartWave(ctx, w) })
	case MethodEvacuate:
		return serve(body, func(e *EvacuationRequest) (any, error) { return &Acknowledgement{}, o.Evacuate(ctx, e) })
	case MethodWaveStatus:
		return serve(body, func(w *workload.Wave) (any, error) { return o.WaveStatus(ctx, w.ID) })
	}
	o.count("requests_refused_total", "unknown-method")
	return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: "method " + method + " is not known"}
}

func serve[T any](body []byte, f func(*T) (any, error)) (any, error) {
	request := new(T)
	if err := peer.Decode(body, request); err != nil {
		return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: err.Error()}
	}
	return f(request)
}

// asLeader runs f on the owning goroutine if this replica is the leader and was
// recently confirmed as such. It waits until f calls done.
func (o *Orchestrator) asLeader(ctx context.Context, f func(done func(error))) error {
	return o.Replica.Await(ctx, func(done func(error)) {
		if o.leadership == nil || !o.leadershipConfirmed(boottime.Now()) {
			o.count("requests_refused_total", "not-leader")
			done(o.Replica.NotLeader())
			return
		}
		f(done)
	})
}

// resolved is a call with its queue, team and job ID according to the topology.
type resolved struct {
	*Call
	queue *workload.Queue
	team  string
	id    string
}

// Call serves a caller's submission, status, cancel or pending request.
func (o *Orchestrator) Call(ctx context.Context, method string, c *Call) (*CallResponse, error) {
	response := &CallResponse{}
	err := o.asLeader(ctx, func(done func(error)) { o.serveCall(method, c, response, done) })
	return response, err
}

// serveCall serves a call by the present state. What an earlier pass has put into the response
// is discarded.
func (o *Orchestrator) serveCall(method string, c *Call, response *CallResponse, done func(error)) {
	*response = CallResponse{}
	o.load.calls++
	r := o.resolve(method, c, response)
	if r == nil {
		done(nil)
		return
	}
	switch method {
	case MethodSubmit:
		o.serveSubmit(r, response, done)
	case MethodCancel:
		o.serveCancel(r, response, done)
	case MethodStatus:
		o.serveStatus(r, response, done)
	default:
		response.Outcome, response.Pending = Found, o.pendingJobs(r.queue.Name)
		done(nil)
	}
}

// resolve resolves a call against the topology. If the call is refused, it fills the
// response and returns nil.
func (o *Orchestrator) resolve(method string, c *Call, response *CallResponse) *resolved {
	t := o.leadership.State().Topology
	if t == nil {
		response.Outcome, response.Reason, response.RetryAfter = Refused, "no-topology", time.Second
		return nil
	}
	response.Version = t.Version
	q, team, id, access := t.Resolve(c.Host, c.Path, c.Key)
	switch {
	case access == workload.NoQueue:
		response.Outcome = Unresolved
		return nil
	case access == workload.UnknownKey:
		response.Outcome = Unauthorized
		return nil
	case method != MethodPending && !workload.ValidJobID(id):
		response.Outcome, response.Reason = Malformed, "job-id"
		return nil
	}
	response.Job, response.Queue = id, q.Name
	return &resolved{c, q, team, id}
}

// job returns the job of a call. If it does not exist or the call has no access to it, it
// returns nil and the reason.
func (o *Orchestrator) job(c *resolved) (j *workload.Job, missing string) {
	j = o.leadership.State().Jobs[c.id]
	switch {
	case j == nil:
		return nil, "unknown"
	case !j.AccessibleTo(c.queue, c.team):
		return nil, "other-team"
	}
	return j, ""
}

func (o *Orchestrator) serveStatus(c *resolved, response *CallResponse, done func(error)) {
	answer := func() {
		if j, reason := o.job(c); j != nil {
			response.Outcome, response.Status = Found, j.Status
		} else {
			response.Outcome = Missing
			o.count("jobs_missing_total", reason)
			o.Log.V(1).Info("There was no job of that ID.", "job", c.id, "queue", c.queue.Name, "team", c.team, "reason", reason)
		}
		done(nil)
	}
	if j, _ := o.job(c); j == nil {
		o.afterConfirmation(done, answer)
		return
	}
	answer()
}

// FollowerStatus serves a status request from the state of this replica, so that the leader need
// not serve those of all callers. What the state shows of a job is committed, and lags by the time
// that a commit takes to arrive. The outcome Missing means only that the leader has to be asked. A
// replica that has not heard the leader lately refuses the request.
func (o *Orchestrator) FollowerStatus(ctx context.Context, c *Call) (*CallResponse, error) {
	response := &CallResponse{Outcome: Missing}
	err := o.Replica.Await(ctx, func(done func(error)) {
		state := o.Replica.Workload()
		if o.leadership == nil && !o.relayServer.Connected() || o.leadership != nil && !o.leadershipConfirmed(boottime.Now()) || state.Topology == nil {
			done(o.Replica.NotLeader())
			return
		}
		defer done(nil)
		queue, team, id, access := state.Topology.Resolve(c.Host, c.Path, c.Key)
		if access != workload.Allowed {
			return
		}
		if j := state.Jobs[id]; j != nil && j.AccessibleTo(queue, team) {
			*response = CallResponse{Outcome: Found, Status: j.Status, Job: id, Queue: queue.Name, Version: state.Topology.Version}
		}
	})
	return response, err
}

// forwardInterval is the interval at which a follower forwards calls to the leader.
const forwardInterval = 10 * time.Millisecond

// Forward forwards a call to the leader, together with the other calls of the same interval: a
// leader that receives the calls of all gateways one by one spends more on receiving and answering
// them than on what they ask for. An error promises that the call had no effect only if the leader
// or the connection to it does.
func (o *Orchestrator) Forward(ctx context.Context, r *ForwardRequest) (*CallResponse, error) {
	if r.Call == nil || !slices.Contains(forwardedMethods, r.Method) {
		return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: "method " + r.Method + " is not forwarded"}
	}
	leader, leads, err := o.forwardingLeader(ctx)
	switch {
	case err == nil && leads:
		return o.Call(ctx, r.Method, r.Call)
	case err != nil || leader == "":
		return nil, o.notLeader()
	}
	now := time.Now()
	wait := now.Truncate(forwardInterval).Add(forwardInterval).Sub(now)
	select {
	case <-ctx.Done():
		return nil, o.notLeader()
	case <-time.After(wait):
	}
	r.Call.Remaining -= wait
	ctx, cancel := context.WithTimeout(ctx, forwardedCallTimeout)
	defer cancel()
	response := &CallResponse{}
	err = o.Replica.CallPeer(ctx, leader, r.Method, r.Call, response)
	if err == nil {
		return response, nil
	}
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return nil, remote
	}
	if peer.NotHandled(err) {
		return nil, o.notLeader()
	}
	return nil, &peer.RemoteError{Code: codeUnknownOutcome, Text: err.Error()}
}

// forwardingLeader returns the peer address of the leader to which this replica may forward requests,
// or "" if it doesn't hear one, and whether it leads itself.
func (o *Orchestrator) forwardingLeader(ctx context.Context) (leader string, leads bool, err error) {
	err = o.Replica.Await(ctx, func(done func(error)) {
		if leads = o.leadership != nil; !leads && o.relayServer.Connected() {
			leader = o.Replica.LeaderAddress().Peer
		}
		done(nil)
	})
	return leader, leads, err
}

// notLeader is the error of a call that was not forwarded.
func (o *Orchestrator) notLeader() error { return &peer.RemoteError{Code: view.CodeNotLeader} }

// forwardedMethods are the methods of the calls that followers forward.
var forwardedMethods = []string{MethodSubmit, MethodStatus, MethodCancel, MethodPending}

const (
	// forwardedCallTimeout bounds a forwarded call. It is below the time for which a gateway waits.
	forwardedCallTimeout = 550 * time.Millisecond
	// codeUnknownOutcome is the code of a call that the leader may have served.
	codeUnknownOutcome = "unknown-outcome"
)

// afterConfirmation calls f once a quorum has confirmed the leadership. An answer that
// something does not exist or is not accepted needs it, because a new leader may have
// accepted it.
func (o *Orchestrator) afterConfirmation(done func(error), f func()) {
	o.leadership.Confirm(func(err error) {
		if err != nil || o.leadership == nil {
			o.count("requests_refused_total", "not-leader")
			done(o.Replica.NotLeader())
			return
		}
		f()
	})
}

// Topology waits until the version differs from the requester's or the wait is over,
// and returns the topology by a read that was confirmed after the request arrived.
func (o *Orchestrator) Topology(ctx context.Context, r *TopologyRequest) (*TopologyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(r.Wait, maxTopologyWait)+confirmTimeout)
	defer cancel()
	wait := min(r.Wait, maxTopologyWait)
	var changed chan struct{}
	err := o.asLeader(ctx, func(done func(error)) {
		changed = o.changed
		o.load.reads++
		if s := o.leadership.State().Topology; s != nil && s.Version != r.Version {
			wait = 0
		}
		done(nil)
	})
	if err != nil {
		return nil, err
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		}
	}
	response := &TopologyResponse{}
	read := o.readConfirmed
	if wait > 0 {
		read = o.readAtNextConfirmation
	}
	var newer *workload.Topology
	err = read(ctx, func(t *workload.Topology) {
		response.Replicas = o.Replica.PeerAddresses()
		if t == nil {
			return
		}
		response.Version = t.Version
		if t.Version != r.Version {
			newer = t
		}
	})
	switch {
	case err != nil || newer == nil:
	case r.Access:
		response.Access, err = o.accessTransfers.Piece(newer, r)
	default:
		response.Topology = newer.WithoutDocument()
	}
	return response, err
}

const (
	// maxTopologyWait bounds how long one request waits for a change.
	maxTopologyWait = 2 * time.Second
	// confirmTimeout bounds the confirmation of the leadership.
	confirmTimeout = time.Second
)

// sharedReadDelay is how long a follower collects topology requests before it asks the leader.
const sharedReadDelay = 50 * time.Millisecond

// sharedRead is a request for the topology that a follower sends to the leader for many gateways.
// response and err are set before done is closed.
type sharedRead struct {
	done     chan struct{}
	response *TopologyResponse
	err      error
}

// sharedReads holds the reads that have not been sent, by what the gateways have.
type sharedReads struct {
	mu   sync.Mutex
	next map[readKey]*sharedRead
}

// readKey is what the requests that share a read have in common.
type readKey struct {
	version   uint64
	access    bool
	continues AccessTransfer
}

func (r *TopologyRequest) key() readKey { return readKey{r.Version, r.Access, r.Continues} }

// FollowerTopology serves a request for the topology on a replica that carries the leader's orders.
// Gateways that ask within sharedReadDelay share one request to the leader, which is sent after
// theirs and confirmed by the leader, so that it tells each as much as one of its own.
func (o *Orchestrator) FollowerTopology(ctx context.Context, r *TopologyRequest) (*TopologyResponse, error) {
	leader, leads, err := o.forwardingLeader(ctx)
	switch {
	case err == nil && leads:
		return o.Topology(ctx, r)
	case err != nil || leader == "":
		return nil, o.notLeader()
	}
	read, first := o.topologyReads.join(r.key())
	if first {
		// It goes on for the others if this gateway gives up.
		o.sendSharedRead(context.WithoutCancel(ctx), leader, r, read)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-read.done:
		return read.response, read.err
	}
}

// join returns the read that is sent next for gateways with the same request, and whether the caller
// has to send it.
func (s *sharedReads) join(key readKey) (read *sharedRead, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read = s.next[key]; read != nil {
		return read, false
	}
	if s.next == nil {
		s.next = map[readKey]*sharedRead{}
	}
	read = &sharedRead{done: make(chan struct{})}
	s.next[key] = read
	return read, true
}

// leave ends the time in which gateways may join the next read.
func (s *sharedReads) leave(key readKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.next, key)
}

// sendSharedRead sends a read to the leader after sharedReadDelay.
func (o *Orchestrator) sendSharedRead(ctx context.Context, leader string, r *TopologyRequest, read *sharedRead) {
	defer close(read.done)
	time.Sleep(sharedReadDelay)
	o.topologyReads.leave(r.key())
	request := *r
	request.Wait = min(max(r.Wait, 0), maxTopologyWait)
	ctx, cancel := context.WithTimeout(ctx, request.Wait+confirmTimeout)
	defer cancel()
	response := &TopologyResponse{}
	if read.err = o.Replica.CallPeer(ctx, leader, MethodTopology, &request, response); read.err == nil {
		read.response = response
	}
}

// readConfirmed calls f with the topology after a confirmed read.
func (o *Orchestrator) readConfirmed(ctx context.Context, f func(*workload.Topology)) error {
	return o.Replica.Await(ctx, func(done func(error)) {
		if o.leadership == nil {
			done(o.Replica.NotLeader())
			return
		}
		o.leadership.Confirm(func(err error) {
			if err == nil && o.leadership != nil && ctx.Err() == nil {
				f(o.leadership.State().Topology)
			}
			done(err)
		})
	})
}

// readAtNextConfirmation is readConfirmed by the next periodic confirmation of the leadership
// instead of one of its own, for reads that have waited anyway. All gateways make such reads all
// the time, and each confirmation takes a message to and from each replica.
func (o *Orchestrator) readAtNextConfirmation(ctx context.Context, f func(*workload.Topology)) error {
	return o.Replica.Await(ctx, func(done func(error)) {
		if o.leadership == nil {
			done(o.Replica.NotLeader())
			return
		}
		o.confirmationReads = append(o.confirmationReads, func(err error) {
			if err == nil && o.leadership != nil && ctx.Err() == nil {
				f(o.leadership.State().Topology)
			}
			done(err)
		})
	})
}

func (o *Orchestrator) notifyWatchers() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// CodeTooLarge is the code of the refusal of a topology that no replica can store.
const CodeTooLarge = "too-large"

// ApplyTopology commits a topology. A version that is not higher than the current one
// is acknowledged without effect. One that is too large is refused here, because it would fail
// each command that it is a part of.
func (o *Orchestrator) ApplyTopology(ctx context.Context, t *workload.Topology) error {
	if err := t.Pack(); err != nil { // a replica of an earlier version has not done so
		return &peer.RemoteError{Code: CodeTooLarge, Text: err.Error()}
	}
	return o.asLeader(ctx, func(done func(error)) {
		current := o.leadership.State().Topology
		if current != nil && t.Version <= current.Version {
			o.leadership.Confirm(done)
			return
		}
		if o.pending.Topology != nil && o.pending.Topology.Version >= t.Version {
			o.replies = append(o.replies, done)
			return
		}
		o.pending.Topology = t
		o.replies = append(o.replies, func(err error) {
			if err == nil {
				o.Log.Info("Applied a topology.", "version", t.Version, "queues", len(t.Queues), "teams", len(t.Teams))
			}
			done(err)
		})
	})
}

// ReadTopology returns the topology after a confirmed read.
func (o *Orchestrator) ReadTopology(ctx context.Context) (*workload.Topology, error) {
	var out *workload.Topology
	err := o.readConfirmed(ctx, func(t *workload.Topology) { out = t })
	if err == nil && out == nil {
		out = &workload.Topology{}
	}
	return out, err
}

// Report processes a worker's report. It returns once the resulting change, if any, is
// committed.
func (o *Orchestrator) Report(ctx context.Context, r *Report) error {
	received := boottime.Now()
	return o.asLeader(ctx, func(done func(error)) {
		w := &r.Worker
		known := o.leadership.State().Workers[w.ID]
		if !o.leadership.State().KnowsPool(w.Pool) && (known == nil || known.Pool != w.Pool) {
			o.count("reports_refused_total", CodeUnknownPool)
			done(&peer.RemoteError{Code: CodeUnknownPool, Text: "no configuration names the pool " + w.Pool})
			return
		}
		s := o.session(w.ID)
		if known != nil && w.Incarnation < known.Incarnation || s != nil && s.incarnation == w.Incarnation && r.Sequence < s.sequence {
			o.count("reports_ignored_total", "late")
			if known != nil && w.Draining && !known.Draining && w.Incarnation == known.Incarnation {
				done(errOutcomeUnknown) // the drain is not committed yet
				return
			}
			done(nil)
			return
		}
		// A report that is repeated brings nothing new, but its change may not be committed.
		if s != nil && s.incarnation == w.Incarnation && r.Sequence > s.sequence {
			s.observeReport(r.Sequence, r.Clock, r.WarmUpLeft, received)
		}
		if known != nil && (known.EqualReport(w) || known.Draining && w.Incarnation == known.Incarnation) {
			done(nil)
			return
		}
		o.Log.Info("A worker changed.", "worker", w.ID, "born", w.Incarnation, "address", w.Address, "pool", w.Pool, "draining", w.Draining)
		if known != nil && s != nil && w.Incarnation > known.Incarnation {
			o.workerLost(s, false, "restarted")
		}
		o.workerReported(w)
		o.pending.Workers = append(o.pending.Workers, *w)
		o.replies = append(o.replies, func(err error) {
			if err == nil && o.leadership != nil {
				if s := o.session(w.ID); s != nil && s.incarnation == w.Incarnation && s.clock.reading == 0 {
					s.observeClock(r.Clock, received)
				}
			}
			done(err)
		})
	})
}

// CodeUnknownPool reports that a worker's report names a pool that no topology has named. It comes from
// another writer, whatever its worker's ID.
const CodeUnknownPool = "unknown-pool"

// observeReport records that a new report of a worker was received at an instant.
func (s *session) observeReport(sequence uint64, clock int64, warmUpLeft time.Duration, received boottime.Instant) {
	s.sequence = sequence
	s.lastReport = max(s.lastReport, received)
	s.silent = false
	s.observeClock(clock, received)
	s.warmUpUntil = received.Add(warmUpLeft)
	if s.warmUp = max(s.warmUp, warmUpLeft); warmUpLeft <= 0 {
		s.warmUp = 0
	}
}

// handlePassedReports processes reports that another replica has passed on. They change
// nothing in the state. ages is the time that has passed since each of them arrived there.
func (o *Orchestrator) handlePassedReports(reports []relay.Report, ages []time.Duration) {
	received := boottime.Now()
	o.Replica.TryPost(func() {
		if o.leadership == nil {
			return
		}
		for i := range reports {
			r := &reports[i]
			if s := o.sessions[r.Worker]; s != nil && s.incarnation == r.Incarnation && r.Sequence > s.sequence {
				s.observeReport(r.Sequence, r.Clock, r.WarmUpLeft, received.Add(-ages[i]))
			}
		}
	})
}

// Leave deregisters a worker that shuts down.
func (o *Orchestrator) Leave(ctx context.Context, l *LeaveRequest) error {
	return o.asLeader(ctx, func(done func(error)) {
		o.afterConfirmation(done, func() { o.leave(l, done) })
	})
}

// leave acts on the deregistration of a worker. The call names no incarnation and may arrive after
// the worker has restarted under its ID, so it doesn't show that anything has ended: a worker is
// removed only if it drains and has no runs. Any other one gets no tasks until it has responded to a
// poll; its runs are given up by the rules that hold for a worker that is lost.
func (o *Orchestrator) leave(l *LeaveRequest, done func(error)) {
	known := o.leadership.State().Workers[l.Worker]
	if known == nil {
		done(nil)
		return
	}
	log := o.Log.WithValues("worker", l.Worker, "born", known.Incarnation, "draining", known.Draining)
	runs := len(o.leadership.State().RunsOn(l.Worker))
	switch {
	case l.Incarnation != 0 && l.Incarnation < known.Incarnation:
		o.count("leaves_total", "late")
		log.Info("Ignored the deregistration of a worker's former incarnation.", "former", l.Incarnation)
		done(nil)
	case known.Draining && runs == 0:
		// A start that is not committed yet is refused by the state, because the worker drains.
		o.count("leaves_total", "removed")
		log.Info("A worker left.")
		o.proposeRemoval(workload.WorkerIncarnation{Worker: l.Worker, Incarnation: known.Incarnation})
		o.replies = append(o.replies, done)
	default:
		o.count("leaves_total", "kept")
		log.Info("A worker was deregistered whose runs are not known to have ended.", "runs", runs)
		if s := o.session(l.Worker); s != nil {
			s.deregisteredAt, s.lookAt = boottime.Now(), 0
		}
		done(nil)
	}
}

// StartWave commits a maintenance wave.
func (o *Orchestrator) StartWave(ctx context.Context, w *workload.Wave) error {
	return o.asLeader(ctx, func(done func(error)) {
		if o.leadership.State().Waves[w.ID] != nil {
			done(nil)
			return
		}
		o.pending.Waves = append(o.pending.Waves, *w)
		o.replies = append(o.replies, func(err error) {
			o.Log.Info("Started a maintenance wave.", "wave", w.ID, "instances", len(w.Instances), "cap", w.Cap, "within_ms", w.TimeLimit.Milliseconds())
			done(err)
		})
	})
}

// WaveStatus returns the progress of a maintenance wave.
func (o *Orchestrator) WaveStatus(ctx context.Context, id uint64) (*WaveStatus, error) {
	out := &WaveStatus{}
	err := o.asLeader(ctx, func(done func(error)) {
		answer := func() {
			if w := o.leadership.State().Waves[id]; w != nil {
				out.Known, out.Done = true, w.Done()
			}
			done(nil)
		}
		if o.leadership.State().Waves[id] == nil {
			o.afterConfirmation(done, answer)
			return
		}
		answer()
	})
	return out, err
}
