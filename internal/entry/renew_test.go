package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

// follower is a control replica that names another replica as the leader.
type follower struct {
	leader string
	calls  atomic.Int64
}

func (f *follower) HandleOneWay(peer.Identity, string, []byte) {}

func (f *follower) HandleRequest(context.Context, peer.Identity, string, []byte) (any, error) {
	f.calls.Add(1)
	return nil, &peer.RemoteError{Code: view.CodeNotLeader, Text: f.leader}
}

// Guards against an instance that keeps calling a replica that is lost or is not
// the leader, and against one that abandons a leader that answers.
func TestControlClientFindsLeader(t *testing.T) {
	control := newFakeControl(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &follower{leader: control.addr}
	own := peer.Identity{Cluster: "test", Role: peer.RoleControl, ID: "c2"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		_ = (&peer.Server{Identity: own, Handler: f, Log: logr.Discard(), Counters: &peer.Counters{}}).Serve(ctx, ln)
	})
	c := &controlClient{
		addrs: []string{"127.0.0.1:1", ln.Addr().String()}, clients: map[string]*peer.Client{},
		connect: func(addr string) *peer.Client {
			return peer.NewClient(addr, peer.Identity{Cluster: "test", Role: peer.RoleEntry, ID: "e1"}, f, nil, &peer.Counters{})
		},
	}
	defer c.close()
	call := func() error { return c.call(ctx, view.MethodRenew, view.RenewRequest{}, &view.Delta{}) }
	require.Error(t, call(), "the first address does not answer")
	require.Error(t, call(), "the second one is a follower")
	for range 5 {
		require.NoError(t, call())
	}
	require.EqualValues(t, 1, f.calls.Load())
}

// Guards against an urgent change of demand that waits for the next regular
// renewal, and against a renewal for every request.
func TestUrgentDemand(t *testing.T) {
	d := func(running, waiting, grant int) []view.Demand {
		return []view.Demand{{Team: "t", Pool: "p", Running: running, Waiting: waiting, Grant: grant}}
	}
	for _, c := range []struct {
		reported, now []view.Demand
		urgent        bool
	}{
		{nil, nil, false},
		{nil, d(0, 1, 0), true},
		{d(1, 0, 5), d(4, 0, 5), false},
		{d(4, 0, 5), d(5, 1, 5), true},
		{d(5, 4, 5), d(5, 5, 5), false},
		{d(5, 4, 5), d(5, 13, 5), true},
		{d(5, 0, 5), d(5, 0, 3), true},
		{d(1, 0, 5), d(0, 0, 5), true},
	} {
		require.Equal(t, c.urgent, urgent(c.reported, c.now), "%+v %+v", c.reported, c.now)
	}
}
