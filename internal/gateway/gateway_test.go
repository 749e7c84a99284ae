package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/orchestrator"
	"cactusspar/internal/peer"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/testutil"
	"cactusspar/internal/view"
	"cactusspar/internal/workload"
)

// replica is a fake control replica.
type replica struct {
	addr string
	mu   sync.Mutex
	// respond returns the response to a call.
	respond func(method string, c *orchestrator.Call) (any, error)
	// topology is the response to requests for the topology; without one, the replica
	// isn't the leader.
	topology *workload.Topology
	access   orchestrator.AccessTransfers
	calls    int
}

func (r *replica) HandleRequest(_ context.Context, _ peer.Identity, method string, body []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if method == orchestrator.MethodTopology {
		if r.topology == nil {
			return nil, &peer.RemoteError{Code: view.CodeNotLeader}
		}
		var q orchestrator.TopologyRequest
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		a := &orchestrator.TopologyResponse{Version: r.topology.Version, Replicas: []string{r.addr}}
		var err error
		switch {
		case q.Version == r.topology.Version:
		case q.Access:
			r.access.Record(r.topology)
			a.Access, err = r.access.Piece(r.topology, &q)
		default:
			a.Topology = r.topology
		}
		return a, err
	}
	r.calls++
	c := &orchestrator.Call{}
	if err := peer.Decode(body, c); err != nil {
		return nil, err
	}
	return r.respond(method, c)
}

func (r *replica) HandleOneWay(peer.Identity, string, []byte) {}

func (r *replica) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func startReplica(t *testing.T) *replica {
	r := &replica{addr: testutil.FreeAddr(t)}
	ln, err := net.Listen("tcp", r.addr)
	require.NoError(t, err)
	s := &peer.Server{
		Identity: peer.Identity{Cluster: "c", Role: peer.RoleControl, ID: r.addr, Incarnation: 1},
		Handler:  r, Log: logr.Discard(), Counters: &peer.Counters{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func topology(version uint64, keys ...string) *workload.Topology {
	team := workload.Team{Name: "shops"}
	for _, k := range keys {
		team.Keys = append(team.Keys, workload.HashKey(k))
	}
	return &workload.Topology{Version: version, Teams: []workload.Team{team}, Queues: []workload.Queue{
		{Name: "quotes", Host: "h", Prefix: "/q/", Timeout: 3 * time.Second},
		{Name: "deep", Host: "h", Prefix: "/q/deep/", Timeout: 3 * time.Second},
		{Name: "open", Host: "h", Prefix: "/open/", Timeout: 3 * time.Second, Public: true},
	}}
}

func startGateway(seeds ...string) *Gateway {
	return New(Options{Cluster: "c", Name: "g", Seeds: seeds, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
}

func request(path, key string) *Request {
	return &Request{
		Method: Submit, Host: "h", Path: path, Key: key, Deadline: time.Now().Add(3 * time.Second),
		Parse: func() (*workload.Job, error) { return &workload.Job{Steps: []workload.Step{{Count: 1}}}, nil },
	}
}

const id = "0123456789abcdef"

// Calls without access must not reach the leader. With a topology that was not
// confirmed recently, the leader must decide, because the key may be newer.
func TestAccessIsRefusedByARecentTopologyOnly(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(1, "k")
	r.respond = func(_ string, c *orchestrator.Call) (any, error) {
		require.NotNil(t, c.Job)
		return &orchestrator.CallResponse{Outcome: orchestrator.Accepted}, nil
	}
	g := startGateway(r.addr)
	for _, c := range []struct {
		path, key string
		kind      Kind
		forwarded bool
	}{
		{"/q/" + id, "k", Accepted, true},
		{"/open/" + id, "", Accepted, true},
		{"/q/" + id, "wrong", Unauthorized, false},
		{"/q/" + id, "", Unauthorized, false},
		{"/none/" + id, "k", NoQueue, false},
	} {
		require.NoError(t, g.refresh(context.Background(), 0, time.Second))
		before := r.calls
		require.Equal(t, c.kind, g.Serve(context.Background(), request(c.path, c.key)).Kind, c.path)
		require.Equal(t, c.forwarded, r.calls > before, c.path)
	}
	latest := *g.latest.Load()
	latest.confirmedAt = boottime.Now().Add(-time.Second)
	g.latest.Store(&latest)
	require.Equal(t, Accepted, g.Serve(context.Background(), request("/q/"+id, "new")).Kind, "the leader decides about an unknown key")
}

// Guards against a job that is received although the call is refused whatever the job is, and
// against refusals by a topology that the leader would decide otherwise.
func TestRefusalBeforeTheJobIsReceived(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(1, "k")
	g := startGateway(r.addr)
	unread := func(path, key string) *Request {
		q := request(path, key)
		q.Parse = nil
		return q
	}
	result, refused := g.Refuse(unread("/q/"+id, "k"))
	require.True(t, refused)
	require.Equal(t, Unavailable, result.Kind)
	require.Positive(t, result.RetryAfter)
	for _, c := range []struct {
		path, key string
		kind      Kind
	}{{"/q/" + id, "k", ""}, {"/open/" + id, "", ""}, {"/q/" + id, "wrong", Unauthorized}, {"/none/" + id, "k", NoQueue}} {
		require.NoError(t, g.refresh(context.Background(), 0, time.Second))
		result, refused = g.Refuse(unread(c.path, c.key))
		require.Equal(t, c.kind != "", refused, c.path)
		require.Equal(t, c.kind, result.Kind, c.path)
	}
	latest := *g.latest.Load()
	latest.confirmedAt = boottime.Now().Add(-time.Second)
	g.latest.Store(&latest)
	_, refused = g.Refuse(unread("/q/"+id, "new"))
	require.False(t, refused, "the leader decides about an unknown key")
	require.Zero(t, r.calls)
}

// A silent leader may have accepted a job: the outcome must be undecided, not refused.
func TestSilentLeaderLeavesTheOutcomeUndecided(t *testing.T) {
	silent := startReplica(t)
	silent.topology = topology(1, "k")
	release := make(chan struct{})
	silent.respond = func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
	t.Cleanup(func() { close(release) })
	g := startGateway(silent.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	began := time.Now()
	require.Equal(t, Undecided, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
	require.Less(t, time.Since(began), 2*searchTimeout, "the caller gets a response soon")
}

// A silent leader may have accepted an earlier attempt: a refusal by another replica
// must leave the outcome undecided.
func TestRefusalAfterAnUndecidedAttemptStaysUndecided(t *testing.T) {
	silent, other := startReplica(t), startReplica(t)
	silent.topology, other.topology = topology(1, "k"), topology(1, "k")
	release := make(chan struct{})
	silent.respond = func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
	t.Cleanup(func() { close(release) })
	other.respond = func(string, *orchestrator.Call) (any, error) {
		return &orchestrator.CallResponse{Outcome: orchestrator.Refused, Reason: "overload"}, nil
	}
	g := startGateway(silent.addr, other.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	g.leader.setLeader(silent.addr)
	result := g.Serve(context.Background(), request("/q/"+id, "k"))
	require.Equal(t, Undecided, result.Kind)
	require.Positive(t, other.calls)
}

// Without a reachable replica, callers must not wait until their deadline, and the
// outcome must not be undecided, because nothing was sent.
func TestNoLeaderIsReportedEarly(t *testing.T) {
	g := startGateway("127.0.0.1:1")
	h := newConfirmedTopology(topology(1, "k"))
	h.confirmedAt = boottime.Now()
	g.latest.Store(h)
	began := time.Now()
	result := g.Serve(context.Background(), request("/q/"+id, "k"))
	require.Equal(t, Unavailable, result.Kind)
	require.Positive(t, result.RetryAfter)
	require.Less(t, time.Since(began), 2*searchTimeout)
	isolated := *h
	isolated.confirmedAt = boottime.Now().Add(-isolatedAfter)
	g.latest.Store(&isolated)
	began = time.Now()
	require.Equal(t, "isolated", g.Serve(context.Background(), request("/q/"+id, "k")).Reason)
	require.Less(t, time.Since(began), searchTimeout/2, "an isolated gateway doesn't search for a leader")
}

// An older topology must not replace a newer one, or a withdrawn key or queue would be
// valid again.
func TestTopologyVersionNeverDecreases(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(5, "k")
	g := startGateway(r.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	r.set(func() { r.topology = topology(4) })
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	require.EqualValues(t, 5, g.version())
}

// An isolated gateway must not report that it is ready.
func TestReadiness(t *testing.T) {
	g := startGateway()
	require.False(t, g.Ready())
	h := newConfirmedTopology(topology(1))
	h.confirmedAt = boottime.Now()
	g.latest.Store(h)
	require.True(t, g.Ready())
	old := *h
	old.confirmedAt = boottime.Now().Add(-readyFor)
	g.latest.Store(&old)
	require.False(t, g.Ready())
	g.latest.Store(h)
	g.Stop()
	require.False(t, g.Ready())
}

// TestDeposedLeaderDoesNotDecideByFormerTopology guards against a gateway that refuses a
// call by an older topology than its own, because a deposed leader answered it.
func TestDeposedLeaderDoesNotDecideByFormerTopology(t *testing.T) {
	deposed, leader := startReplica(t), startReplica(t)
	deposed.respond = func(string, *orchestrator.Call) (any, error) {
		return &orchestrator.CallResponse{Outcome: orchestrator.Unauthorized, Version: 1}, nil
	}
	leader.topology = topology(2, "k")
	leader.respond = func(string, *orchestrator.Call) (any, error) {
		return &orchestrator.CallResponse{Outcome: orchestrator.Accepted, Version: 2}, nil
	}
	g := startGateway(leader.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	time.Sleep(refusalMaxAge) // the leader decides
	g.leader.setReplicas([]string{deposed.addr, leader.addr})
	g.leader.setLeader(deposed.addr)
	require.Equal(t, Accepted, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
}

// Guards against the leader being asked for what a follower knows, and against a follower's word
// being taken for that of the leader: it may not know a job yet, or not hear the leader.
func TestStatusIsReadFromFollowers(t *testing.T) {
	leader, follower := startReplica(t), startReplica(t)
	leader.topology = topology(1, "k")
	answer := func(status workload.Status) func(string, *orchestrator.Call) (any, error) {
		return func(string, *orchestrator.Call) (any, error) {
			return &orchestrator.CallResponse{Outcome: orchestrator.Found, Status: status}, nil
		}
	}
	leader.respond, follower.respond = answer(workload.Completed), answer(workload.Active)
	g := startGateway(leader.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	g.leader.setReplicas([]string{leader.addr, follower.addr})
	status := func() workload.Status {
		r := request("/q/"+id, "k")
		r.Method = Status
		return g.Serve(context.Background(), r).Status
	}
	require.Equal(t, workload.Active, status())
	require.Zero(t, leader.calls)

	follower.set(func() {
		follower.respond = func(method string, _ *orchestrator.Call) (any, error) {
			if method == orchestrator.MethodForward {
				return &orchestrator.CallResponse{Outcome: orchestrator.Found, Status: workload.Completed}, nil
			}
			return &orchestrator.CallResponse{Outcome: orchestrator.Missing}, nil
		}
	})
	require.Equal(t, workload.Completed, status(), "the leader knows the job")
	require.Zero(t, leader.calls, "the follower forwards the call")

	follower.set(func() {
		follower.respond = func(string, *orchestrator.Call) (any, error) {
			return nil, &peer.RemoteError{Code: view.CodeNotLeader}
		}
	})
	require.Equal(t, workload.Completed, status())
	asked := follower.calls
	require.Equal(t, workload.Completed, status())
	require.Equal(t, asked, follower.calls, "a follower that refuses is not asked again at once")
}

// Guards against a refusal after an attempt of which the outcome is unknown: a follower may have
// forwarded the submission, and the leader accepted it, although the follower gave no response.
func TestForwardedSubmissionWithoutResponseIsUndecided(t *testing.T) {
	leader, follower := startReplica(t), startReplica(t)
	leader.topology = topology(1, "k")
	leader.respond = func(string, *orchestrator.Call) (any, error) {
		return &orchestrator.CallResponse{Outcome: orchestrator.Refused, Reason: "overload"}, nil
	}
	g := startGateway(leader.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	g.leader.setReplicas([]string{leader.addr, follower.addr})
	follower.respond = func(string, *orchestrator.Call) (any, error) {
		return nil, &peer.RemoteError{Code: "unknown-outcome"}
	}
	require.Equal(t, Undecided, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
	follower.set(func() {
		follower.respond = func(string, *orchestrator.Call) (any, error) {
			return nil, &peer.RemoteError{Code: view.CodeNotLeader}
		}
	})
	require.Equal(t, Refused, g.Serve(context.Background(), request("/q/"+id, "k")).Kind, "nothing was forwarded")
}

// Guards against gateways that call a new leader directly for seconds, because their followers refused
// again and again while there was none. In a small fleet, where no follower ever serves, they ask ever
// more rarely.
func TestFollowersAreAskedSoonAfterChangeOfLeader(t *testing.T) {
	refusals := func(served bool) time.Duration {
		l := newLeaderClient(peer.Identity{ID: "g"}, nil, logr.Discard())
		l.setReplicas([]string{"a"})
		if served {
			l.followerServed()
		}
		for range 8 {
			require.Equal(t, "a", l.follower())
			l.avoidFollower("a", &peer.RemoteError{Code: peer.CodeNotLeader})
			require.Empty(t, l.follower())
			l.noFollowersUntil = time.Time{}
		}
		l.avoidFollower("a", &peer.RemoteError{Code: peer.CodeNotLeader})
		return time.Until(l.noFollowersUntil)
	}
	require.Less(t, refusals(true), 200*time.Millisecond)
	require.Greater(t, refusals(false), 5*time.Second)
}
