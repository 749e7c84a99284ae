package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/testutil"
	"cactusspar/internal/view"
	"cactusspar/internal/wal"
)

// group is a set of replicas in one process, over loopback sockets and files.
type group struct {
	t               testing.TB
	folder          string
	members         []Address
	replicas        map[string]*Replica
	stop            map[string]func()
	snapshotEntries uint64
	log             logr.Logger
	files           wal.FS
	runTimeLimit    time.Duration // of admitted work; 0 means the default
	allowFailure    bool          // a replica may stop with an error

	mu       sync.Mutex
	isolated map[string]bool // replicas without traffic to the others
	frames   map[string]int  // frames that each replica has sent or received
}

func newGroup(t testing.TB, n int) *group {
	g := &group{
		t: t, folder: t.TempDir(), replicas: map[string]*Replica{}, stop: map[string]func(){}, isolated: map[string]bool{}, frames: map[string]int{},
		snapshotEntries: 50, log: logr.Discard(),
	}
	if os.Getenv("CONTROL_LOG") != "" {
		g.log, _ = telemetry.NewLogger(os.Stderr, telemetry.LogText, 1)
	}
	for i := range n {
		g.members = append(g.members, g.address(fmt.Sprintf("c%d", i+1)))
	}
	for _, m := range g.members {
		g.start(m)
	}
	t.Cleanup(func() {
		for name := range g.replicas {
			g.halt(name)
		}
	})
	return g
}

func (g *group) address(name string) Address {
	return Address{Name: name, Peer: testutil.FreeAddr(g.t), Operator: "operator-of-" + name}
}

func (g *group) start(self Address) {
	ln, err := net.Listen("tcp", self.Peer)
	require.NoError(g.t, err)
	r, err := Open(Options{
		Cluster: "test", Self: self, Members: g.members, DataFolder: filepath.Join(g.folder, self.Name), Listener: ln,
		Log: g.log.WithValues("replica", self.Name), SnapshotEntries: g.snapshotEntries, FS: g.files,
		Blocked: func(other string) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.frames[self.Name]++
			return g.isolated[self.Name] || g.isolated[other]
		},
	})
	require.NoError(g.t, err)
	if g.runTimeLimit > 0 {
		r.runTimeLimit = g.runTimeLimit
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	g.replicas[self.Name] = r
	g.stop[self.Name] = func() {
		cancel()
		if err := <-ended; !g.allowFailure {
			require.NoError(g.t, err)
		}
	}
}

// halt stops a replica as on SIGTERM.
func (g *group) halt(name string) {
	g.stop[name]()
	delete(g.stop, name)
	delete(g.replicas, name)
}

func (g *group) self(name string) Address {
	for _, m := range g.members {
		if m.Name == name {
			return m
		}
	}
	return Address{}
}

// setIsolated drops all traffic between a replica and the others, or restores it.
func (g *group) setIsolated(name string, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[name] = isolated
}

// suspend blocks the event loop of a replica for d.
func (g *group) suspend(name string, d time.Duration) {
	_ = g.replicas[name].post(context.Background(), func() { time.Sleep(d) })
}

// onEventLoop runs f on the event loop of a replica. f must not end its goroutine,
// so it uses assert instead of require.
func (g *group) onEventLoop(r *Replica, f func()) {
	g.t.Helper()
	require.NoError(g.t, r.wait(context.Background(), func(done func(error)) {
		defer done(nil)
		f()
	}))
}

// leader waits for a leader that serves a confirmed read, and returns it.
func (g *group) leader() *Replica {
	g.t.Helper()
	var found *Replica
	require.Eventually(g.t, func() bool {
		for _, r := range g.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			err := r.Read(ctx, func(*state.State) {})
			cancel()
			if err == nil {
				found = r
				return true
			}
		}
		return false
	}, 15*time.Second, 5*time.Millisecond)
	return found
}

// commit sends a command to the leader until its outcome is known.
func (g *group) commit(c state.Command) state.Result {
	g.t.Helper()
	var result state.Result
	require.Eventually(g.t, func() bool {
		for _, r := range g.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			var err error
			result, err = r.Propose(ctx, c)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, 15*time.Second, time.Millisecond)
	return result
}

func rulesText(pools, teams int) string {
	var b strings.Builder
	b.WriteString("region coast # Asha: our region\n")
	for n := 1; n <= 4; n++ {
		fmt.Fprintf(&b, "datacentre d%d region=coast # Asha: hall\n", n)
	}
	for n := range pools {
		fmt.Fprintf(&b, "pool p%03d min=1 max=2000 unavailable=1 period=35d # Asha: pool\n", n)
	}
	for n := range teams {
		fmt.Fprintf(&b, "team t%02d share=1 limit=60 # Juma: contract\n", n)
	}
	return b.String()
}

func (g *group) applyRules(pools, teams int) {
	g.t.Helper()
	r := g.commit(state.Command{Session: state.Session{Client: "setup", Sequence: 1}, ApplyRules: &state.ApplyRules{Text: rulesText(pools, teams), Author: "asha"}})
	require.Nil(g.t, r.Err)
}

// fakeEntry is a fake entry instance that maintains its view by renewals.
type fakeEntry struct {
	g               *group
	self            state.Entry
	client          map[string]*peer.Client
	mu              sync.Mutex
	index           uint64
	configVersion   uint64
	arrivedVersions chan uint64 // versions of the rules, in the order of arrival
	known           bool
	confirmedAt     time.Time // when the last confirmed renewal was sent
	isolated        bool      // it cannot reach any replica
	assignments     map[string]state.Assignment
	grants          map[state.GrantID]state.Grant
	demand          func(e *fakeEntry) []view.Demand
	counters        peer.Counters
	stop            func()
}

func (g *group) fakeEntry(id string, incarnation uint64, dc string) *fakeEntry {
	e := &fakeEntry{
		g: g, self: state.Entry{ID: id, Incarnation: incarnation, PeerAddr: id, DataCentre: dc},
		client: map[string]*peer.Client{}, assignments: map[string]state.Assignment{}, grants: map[state.GrantID]state.Grant{},
		arrivedVersions: make(chan uint64, 100_000), demand: func(*fakeEntry) []view.Demand { return nil },
	}
	for _, m := range g.members {
		own := peer.Identity{Cluster: "test", Role: peer.RoleEntry, ID: id, Incarnation: incarnation}
		e.client[m.Peer] = peer.NewClient(m.Peer, own, rejectingHandler{}, nil, &e.counters)
	}
	return e
}

type rejectingHandler struct{}

func (rejectingHandler) HandleRequest(context.Context, peer.Identity, string, []byte) (any, error) {
	return nil, &peer.RemoteError{Code: "none"}
}
func (rejectingHandler) HandleOneWay(peer.Identity, string, []byte) {}

// run starts renewing every 200 ms until stop is called.
func (e *fakeEntry) run() *fakeEntry {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var once sync.Once
	e.stop = func() {
		once.Do(func() {
			cancel()
			<-done
			for _, c := range e.client {
				c.Close()
			}
		})
	}
	e.g.t.Cleanup(e.stop)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			e.renew(ctx)
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return e
}

// renew sends one renewal to the leader.
func (e *fakeEntry) renew(ctx context.Context) bool {
	sent := time.Now()
	e.mu.Lock()
	m := &view.RenewRequest{Entry: e.self, Since: e.index, Demand: e.demand(e)}
	isolated := e.isolated
	e.mu.Unlock()
	var d view.Delta
	if isolated || e.call(ctx, view.MethodRenew, m, &d) != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDelta(&d)
	if e.known {
		e.confirmedAt = sent
	}
	return true
}

func (e *fakeEntry) call(ctx context.Context, method string, request, response any) error {
	var err error
	for _, c := range e.client {
		call, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		err = c.Call(call, method, request, response)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

func (e *fakeEntry) applyDelta(d *view.Delta) {
	if d.Full {
		clear(e.assignments)
		clear(e.grants)
	}
	e.known = !d.Unregistered
	e.index = d.Index
	for _, a := range d.Assignments {
		e.assignments[a.Pool] = a
	}
	for _, g := range d.Grants {
		e.grants[g.ID()] = g
	}
	for _, id := range d.RemovedGrants {
		delete(e.grants, id)
	}
	if d.Config != nil && d.Config.Version != e.configVersion {
		e.configVersion = d.Config.Version
		e.arrivedVersions <- e.configVersion
	}
}

func (e *fakeEntry) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}
