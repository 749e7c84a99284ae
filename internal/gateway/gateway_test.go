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

// replica is a stand-in of a control replica.
type replica struct {
	addr string
	mu   sync.Mutex
	// answer decides about each request.
	answer func(method string, c *orchestrator.Call) (any, error)
	// topology is answered to questions about it.
	topology *workload.Topology
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
		a := &orchestrator.TopologyAnswer{Version: r.topology.Version, Replicas: []string{r.addr}}
		if q.Held != r.topology.Version {
			a.Topology = r.topology
		}
		return a, nil
	}
	r.calls++
	c := &orchestrator.Call{}
	if err := peer.Decode(body, c); err != nil {
		return nil, err
	}
	return r.answer(method, c)
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
		Handler:  r, Log: logr.Discard(), Counts: &peer.Counts{},
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

// Guards against calls without a right that reach the leader, and against calls
// that are refused although an older topology doesn't show their right.
func TestPrepare(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(1, "k")
	r.answer = func(_ string, c *orchestrator.Call) (any, error) {
		require.NotNil(t, c.Job)
		return &orchestrator.CallAnswer{Outcome: orchestrator.Accepted}, nil
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
	held := *g.held.Load()
	held.confirmed = boottime.Now().Add(-time.Second)
	g.held.Store(&held)
	require.Equal(t, Accepted, g.Serve(context.Background(), request("/q/"+id, "new")).Kind, "the leader decides about an unknown key")
}

// Guards against "not run" for a job that a silent leader may have accepted.
func TestSilentLeaderLeavesTheOutcomeOpen(t *testing.T) {
	silent := startReplica(t)
	silent.topology = topology(1, "k")
	release := make(chan struct{})
	silent.answer = func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
	t.Cleanup(func() { close(release) })
	g := startGateway(silent.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	began := time.Now()
	require.Equal(t, Open, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
	require.Less(t, time.Since(began), 2*patience, "the caller is told soon")
}

// Guards against a refusal that is passed on as "not run" although an earlier
// attempt at a silent leader may have been accepted.
func TestRefusalAfterAnOpenAttemptStaysOpen(t *testing.T) {
	silent, other := startReplica(t), startReplica(t)
	silent.topology, other.topology = topology(1, "k"), topology(1, "k")
	release := make(chan struct{})
	silent.answer = func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
	t.Cleanup(func() { close(release) })
	other.answer = func(string, *orchestrator.Call) (any, error) {
		return &orchestrator.CallAnswer{Outcome: orchestrator.Refused, Reason: "overload"}, nil
	}
	g := startGateway(silent.addr, other.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	g.link.setLeader(silent.addr)
	result := g.Serve(context.Background(), request("/q/"+id, "k"))
	require.Equal(t, Open, result.Kind)
	require.Positive(t, other.calls)
}

// Guards against an unreachable group for which callers wait until their
// deadline, and against an open outcome where nothing was sent.
func TestNoLeaderIsToldAtOnce(t *testing.T) {
	g := startGateway("127.0.0.1:1")
	h := newHeld(topology(1, "k"))
	h.confirmed = boottime.Now()
	g.held.Store(h)
	began := time.Now()
	result := g.Serve(context.Background(), request("/q/"+id, "k"))
	require.Equal(t, Unavailable, result.Kind)
	require.Positive(t, result.RetryAfter)
	require.Less(t, time.Since(began), 2*patience)
	isolated := *h
	isolated.confirmed = boottime.Now().Add(-isolatedAfter)
	g.held.Store(&isolated)
	began = time.Now()
	require.Equal(t, "isolated", g.Serve(context.Background(), request("/q/"+id, "k")).Reason)
	require.Less(t, time.Since(began), patience/2, "a gateway that is cut off doesn't try")
}

// Guards against a withdrawn key or queue that comes into force again.
func TestVersionsNeverFall(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(5, "k")
	g := startGateway(r.addr)
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	r.set(func() { r.topology = topology(4) })
	require.NoError(t, g.refresh(context.Background(), 0, time.Second))
	require.EqualValues(t, 5, g.version())
}

// Guards against an isolated gateway that goes on reporting that it is ready.
func TestReadiness(t *testing.T) {
	g := startGateway()
	require.False(t, g.Ready())
	h := newHeld(topology(1))
	h.confirmed = boottime.Now()
	g.held.Store(h)
	require.True(t, g.Ready())
	old := *h
	old.confirmed = boottime.Now().Add(-readyFor)
	g.held.Store(&old)
	require.False(t, g.Ready())
	g.held.Store(h)
	g.Stop()
	require.False(t, g.Ready())
}
