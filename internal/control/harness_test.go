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
	t         testing.TB
	folder    string
	members   []Address
	replicas  map[string]*Replica
	stop      map[string]func()
	snapshots uint64
	log       logr.Logger
	files     wal.FS
	deadline  time.Duration // of work; 0 means the usual one
	mayFail   bool          // a replica is expected to stop with an error

	mu  sync.Mutex
	off map[string]bool // cut from all others
}

func newGroup(t testing.TB, n int) *group {
	g := &group{
		t: t, folder: t.TempDir(), replicas: map[string]*Replica{}, stop: map[string]func(){}, off: map[string]bool{},
		snapshots: 50, log: logr.Discard(),
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
		Cluster: "test", Self: self, Members: g.members, Folder: filepath.Join(g.folder, self.Name), Listener: ln,
		Log: g.log.WithValues("replica", self.Name), SnapshotEntries: g.snapshots, Files: g.files,
	})
	require.NoError(g.t, err)
	r.transport.cut = func(other string) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.off[self.Name] || g.off[other]
	}
	if g.deadline > 0 {
		r.deadline = g.deadline
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	g.replicas[self.Name] = r
	g.stop[self.Name] = func() {
		cancel()
		if err := <-ended; !g.mayFail {
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

func (g *group) cut(name string, off bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off[name] = off
}

// freeze stops the owning goroutine of a replica for a while.
func (g *group) freeze(name string, d time.Duration) {
	_ = g.replicas[name].post(context.Background(), func() { time.Sleep(d) })
}

// own runs f on the owning goroutine of a replica. f must not end its goroutine:
// it uses assert and not require.
func (g *group) own(r *Replica, f func()) {
	g.t.Helper()
	require.NoError(g.t, r.wait(context.Background(), func(done func(error)) {
		defer done(nil)
		f()
	}))
}

// leader waits for a confirmed leader.
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

// commit sends a command to whoever leads until its outcome is known.
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

// entry is a stand-in of an entry instance, which keeps a view by renewals.
type entry struct {
	g      *group
	self   state.Entry
	client map[string]*peer.Client
	mu     sync.Mutex
	index  uint64
	config uint64
	arrive chan uint64 // versions of the rules as they arrive
	known  bool
	fresh  time.Time // when the last confirmed renewal was sent
	cut    bool      // it reaches no replica
	assign map[string]state.Assignment
	grants map[state.GrantID]state.Grant
	demand func(e *entry) []view.Demand
	counts peer.Counts
	stop   func()
}

func (g *group) entry(id string, incarnation uint64, dc string) *entry {
	e := &entry{
		g: g, self: state.Entry{ID: id, Incarnation: incarnation, PeerAddr: id, DataCentre: dc},
		client: map[string]*peer.Client{}, assign: map[string]state.Assignment{}, grants: map[state.GrantID]state.Grant{},
		arrive: make(chan uint64, 100_000), demand: func(*entry) []view.Demand { return nil },
	}
	for _, m := range g.members {
		own := peer.Identity{Cluster: "test", Role: peer.RoleEntry, ID: id, Incarnation: incarnation}
		e.client[m.Peer] = peer.NewClient(m.Peer, own, nothing{}, nil, &e.counts)
	}
	return e
}

type nothing struct{}

func (nothing) HandleRequest(context.Context, peer.Identity, string, []byte) (any, error) {
	return nil, &peer.RemoteError{Code: "none"}
}
func (nothing) HandleOneWay(peer.Identity, string, []byte) {}

// run renews until stopped.
func (e *entry) run() *entry {
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

// renew sends one renewal, to whoever leads.
func (e *entry) renew(ctx context.Context) bool {
	sent := time.Now()
	e.mu.Lock()
	m := &view.Renew{Entry: e.self, Since: e.index, Demand: e.demand(e)}
	cut := e.cut
	e.mu.Unlock()
	var d view.Delta
	if cut || e.call(ctx, view.MethodRenew, m, &d) != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.take(&d)
	if e.known {
		e.fresh = sent
	}
	return true
}

func (e *entry) call(ctx context.Context, method string, request, answer any) error {
	var err error
	for _, c := range e.client {
		call, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		err = c.Call(call, method, request, answer)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

func (e *entry) take(d *view.Delta) {
	if d.Full {
		clear(e.assign)
		clear(e.grants)
	}
	e.known = !d.Unknown
	e.index = d.Index
	for _, a := range d.Assignments {
		e.assign[a.Pool] = a
	}
	for _, g := range d.Grants {
		e.grants[g.ID()] = g
	}
	for _, id := range d.GoneGrants {
		delete(e.grants, id)
	}
	if d.Config != nil && d.Config.Version != e.config {
		e.config = d.Config.Version
		e.arrive <- e.config
	}
}

func (e *entry) look(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}
