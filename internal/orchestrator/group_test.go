package orchestrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// group is three replicas with their orchestrators and one fake fleet. Whatever is sent
// to a replica passes through a link that a test may cut.
type group struct {
	*fakeFleet
	members []*groupMember
	sent    atomic.Uint64 // sequence of the last report
	// isolated is the name of a replica that is cut off from the others. It still
	// reaches the workers and the platform.
	isolated atomic.Pointer[string]
	calls    executor.Workers
	wrap     func(*Orchestrator) control.Service
}

type groupMember struct {
	name    string
	o       *Orchestrator
	replica *control.Replica
	inbound *link
	leading atomic.Bool
	starts  atomic.Int64 // sent to workers by this replica
}

// countedWorkers counts the starts that a replica sends.
type countedWorkers struct {
	executor.Workers
	starts *atomic.Int64
}

func (w *countedWorkers) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	w.starts.Add(1)
	return w.Workers.Start(ctx, t, s)
}

// newGroup starts three replicas whose platform is made by platform.
func newGroup(t *testing.T, f *fakeFleet, platform func(name string) executor.Instances) *group {
	return newConfiguredGroup(t, f, platform, f, func(o *Orchestrator) control.Service { return o })
}

// newConfiguredGroup returns a group that reaches the workers through calls, and whose
// replicas call the services that wrap returns.
func newConfiguredGroup(t *testing.T, f *fakeFleet, platform func(name string) executor.Instances, calls executor.Workers, wrap func(*Orchestrator) control.Service) *group {
	g := &group{fakeFleet: f, calls: calls, wrap: wrap}
	var addresses []control.Address
	var listeners []net.Listener
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		m := &groupMember{name: fmt.Sprintf("c%d", i), inbound: newLink(t, ln.Addr().String())}
		g.members = append(g.members, m)
		listeners = append(listeners, ln)
		addresses = append(addresses, control.Address{Name: m.name, Peer: m.inbound.addr})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, m := range g.members {
		m.start(g, addresses, i, listeners[i], platform(m.name))
		running.Go(func() { _ = m.replica.Run(ctx) })
	}
	running.Go(func() { g.sendReports(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, m := range g.members {
			m.o.Close()
		}
		f.checkViolations()
	})
	return g
}

func (m *groupMember) start(g *group, addresses []control.Address, i int, ln net.Listener, platform executor.Instances) {
	t, f := g.t, g.fakeFleet
	metrics := telemetry.NewMetrics()
	var err error
	m.replica, err = control.Open(control.Options{
		Cluster: "test", Self: addresses[i], Members: addresses, DataFolder: filepath.Join(t.TempDir(), "data"), Listener: ln, Log: logr.Discard(), Metrics: metrics,
		Blocked: func(other string) bool {
			isolated := g.isolated.Load()
			return isolated != nil && (*isolated == m.name || *isolated == other)
		},
	})
	require.NoError(t, err)
	settings := f.settings()
	settings.RelayMinWorkers = 1 // followers carry the orders
	m.o = New(Options{
		Settings: settings, Replica: m.replica, Workers: &countedWorkers{g.calls, &m.starts}, Instances: platform, ReplicaName: m.name,
		OnLeadershipChange: m.leading.Store, Log: logr.Discard(), Metrics: metrics,
	})
	m.replica.SetService(g.wrap(m.o))
}

// sendReports sends the reports of all workers to the replicas that lead.
func (g *group) sendReports(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		sequence := g.sent.Add(1)
		var reports []*Report
		g.withLock(func() {
			for _, w := range g.workers {
				reports = append(reports, &Report{Sequence: sequence, Clock: w.clock(), Worker: workload.Worker{
					ID: w.id, Incarnation: w.incarnation, Address: w.id, Pool: "p", Capacity: w.capacity, Labels: []string{"a", "r"}, DataCentre: w.dataCentre,
				}})
			}
		})
		for _, r := range reports {
			for _, m := range g.members {
				if m.leading.Load() {
					c, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
					_ = m.o.Report(c, r)
					cancel()
				}
			}
		}
	}
}

// leader waits for a leader other than former, which may be nil.
func (g *group) leader(former *groupMember) *groupMember {
	g.t.Helper()
	var leader *groupMember
	require.Eventually(g.t, func() bool {
		for _, m := range g.members {
			if m != former && m.leading.Load() {
				leader = m
			}
		}
		return leader != nil
	}, 20*time.Second, time.Millisecond)
	return leader
}

// apply commits a topology with one public queue and the given pools.
func (g *group) apply(m *groupMember, teams []workload.Team, pools ...workload.Pool) {
	g.t.Helper()
	topology := &workload.Topology{Version: 1, Queues: []workload.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Public: len(teams) == 0, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute,
	}}, Pools: pools, Teams: teams}
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return m.o.ApplyTopology(ctx, topology) == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// call sends a call to one replica.
func (g *group) call(m *groupMember, method string, c *Call) (*CallResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c.Host, c.Remaining = "h", 3*time.Second
	return m.o.Call(ctx, method, c)
}

// submit submits a job to one replica until it is accepted.
func (g *group) submit(m *groupMember, id string, key *workload.KeyHash, spec string, step workload.Step) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		response, err := g.call(m, MethodSubmit, &Call{Path: "/q/" + jobID(id), Key: key, Job: &workload.Job{Spec: spec, Steps: []workload.Step{step}}})
		return err == nil && response.Outcome == Accepted
	}, 20*time.Second, 5*time.Millisecond)
}

// depose makes another replica the leader while the present one receives nothing from
// the group. The former leader acts as one until it misses a quorum's responses, which
// takes an election timeout at least.
func (g *group) depose(former *groupMember) *groupMember {
	g.t.Helper()
	former.inbound.cut()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_ = former.replica.RemoveReplica(ctx, former.name) // transfers the leadership first
	return g.leader(former)
}

// link forwards connections to a target until it is cut. It then drops what arrives.
type link struct {
	addr  string
	alive chan struct{}
}

func newLink(t *testing.T, target string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{addr: ln.Addr().String(), alive: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, target)
		}
	}()
	return l
}

func (l *link) forward(from net.Conn, target string) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() { _, _ = io.Copy(from, to) }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-l.alive:
			continue // drops the bytes, so that nothing is delivered later
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) cut() { close(l.alive) }

// receive returns the next value of a channel.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		require.Fail(t, "nothing arrived")
		panic("unreachable")
	}
}

// awaitRuns waits until a worker runs a number of tasks and the group has settled.
func (g *group) awaitRuns(worker string, n int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return g.runningOn(worker) == n }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
}
