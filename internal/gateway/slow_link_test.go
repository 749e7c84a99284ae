package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/orchestrator"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// slowLink forwards connections to a target at a rate in bytes a second, shared by all connections
// and both directions, and resets them on request.
type slowLink struct {
	addr   string
	rate   atomic.Int64
	resets atomic.Int64
}

func newSlowLink(t *testing.T, target string, rate int64) *slowLink {
	l := &slowLink{addr: testutil.FreeAddr(t)}
	l.rate.Store(rate)
	ln, err := net.Listen("tcp", l.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go l.copy(in, out)
			go l.copy(out, in)
		}
	}()
	return l
}

func (l *slowLink) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	resets := l.resets.Load()
	buffer := make([]byte, 2<<10)
	for l.resets.Load() == resets {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.rate.Load()))
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// linkRate is the rate of a link of 2 Mbit/s in bytes a second.
const linkRate = 250_000

// largeTopology returns a topology of many queues with names that don't compress well.
func largeTopology(version uint64, queues int) *workload.Topology {
	t := topology(version, "k")
	for i := range queues {
		hash := workload.HashKey(fmt.Sprint(i))
		t.Queues = append(t.Queues, workload.Queue{
			Name: fmt.Sprintf("r-%x", hash[:4]), Host: "h", Prefix: fmt.Sprintf("/%x/", hash[4:10]), Pool: fmt.Sprintf("%x", hash[10:13]),
			MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond, Timeout: 3 * time.Second,
		})
	}
	return t
}

// startLargeReplica returns a replica with a topology and the link to it.
func startLargeReplica(t *testing.T, first *workload.Topology) (*replica, *slowLink) {
	r := startReplica(t)
	l := newSlowLink(t, r.addr, linkRate)
	r.set(func() {
		r.topology = first
		r.addr = l.addr // the only address of the replica that the gateway learns
		r.respond = func(string, *orchestrator.Call) (any, error) {
			return &orchestrator.CallResponse{Outcome: orchestrator.Found, Status: workload.Active, Version: first.Version}, nil
		}
	})
	return r, l
}

// runGateway returns a gateway that keeps its topology up to date.
func runGateway(t *testing.T, seed string) *Gateway {
	g := startGateway(seed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

// TestGrowingTopologyIsolatesNoGateway guards against gateways on slow links that refuse all calls,
// because a large topology takes longer to arrive than one request may, or than the time until the
// next change.
func TestGrowingTopologyIsolatesNoGateway(t *testing.T) {
	var versions []*workload.Topology // made beforehand: they take much of a busy processor
	for i := range 13 {
		versions = append(versions, largeTopology(uint64(i)+1, 4450+1400*min(i, 4)))
	}
	r, l := startLargeReplica(t, versions[0])
	g := runGateway(t, l.addr)
	require.Eventually(t, func() bool { return g.version() == 1 }, 2*time.Second, 5*time.Millisecond)
	for _, next := range versions[1:] {
		r.set(func() { r.topology = next })
		for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			require.True(t, g.Ready(), "version %d", next.Version)
		}
		status := g.Serve(t.Context(), &Request{Method: Status, Host: "h", Path: "/q/" + id, Key: "k", Deadline: time.Now().Add(time.Second)})
		require.Equal(t, Found, status.Kind, status.Reason)
	}
	last := versions[len(versions)-1]
	require.Eventually(t, func() bool { return g.version() == last.Version }, 2*time.Second, 5*time.Millisecond, "a change is in force within 2 s")
	require.Equal(t, len(last.Queues), len(g.latest.Load().topology.Queues))
}

// TestRestartedGatewayServesWithLargeTopology guards against a gateway that serves nobody until a
// large topology has arrived.
func TestRestartedGatewayServesWithLargeTopology(t *testing.T) {
	_, l := startLargeReplica(t, largeTopology(1, 10_000))
	began := time.Now()
	g := runGateway(t, l.addr)
	require.Eventually(t, g.Ready, 2*time.Second, 5*time.Millisecond)
	status := g.Serve(t.Context(), &Request{Method: Status, Host: "h", Path: "/q/" + id, Key: "k", Deadline: time.Now().Add(time.Second)})
	require.Equal(t, Found, status.Kind, status.Reason)
	t.Logf("served after %v", time.Since(began))
	require.Eventually(t, func() bool { return g.version() == 1 }, 2*time.Second, 5*time.Millisecond)
	t.Logf("all access rules after %v", time.Since(began))
}

// TestTransferGoesOnAfterErrors guards against a transfer that begins anew after each lost connection
// and never ends on a link on which a connection doesn't last as long as a transfer.
func TestTransferGoesOnAfterErrors(t *testing.T) {
	_, l := startLargeReplica(t, largeTopology(1, 10_000))
	l.rate.Store(linkRate / 2) // a connection carries half of the transfer at most
	g := runGateway(t, l.addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for g.version() == 0 {
		require.NoError(t, ctx.Err(), "the transfer has not ended")
		sleep(ctx, 400*time.Millisecond)
		l.resets.Add(1)
	}
}

// TestBrokenPiecesAreDiscarded guards against rules that were put together from pieces of different
// updates.
func TestBrokenPiecesAreDiscarded(t *testing.T) {
	var served orchestrator.AccessTransfers
	request := &orchestrator.TopologyRequest{Access: true}
	first, err := served.Piece(largeTopology(1, 4000), request)
	require.NoError(t, err)
	require.Less(t, len(first.Data), first.Length)

	var transfer accessTransfer
	_, err = transfer.add(first)
	require.NoError(t, err)
	request.Continues = transfer.AccessTransfer
	second, err := served.Piece(largeTopology(2, 4000), request)
	require.NoError(t, err)
	require.Equal(t, len(first.Data), second.Offset, "a transfer goes on after a change")

	other := *second
	other.Checksum++
	_, err = transfer.add(&other)
	require.ErrorIs(t, err, errBrokenTransfer)
	require.Zero(t, transfer.AccessTransfer, "it begins anew")
	_, err = transfer.add(second)
	require.ErrorIs(t, err, errBrokenTransfer)

	damaged := *first
	damaged.Data = append([]byte{}, first.Data...)
	damaged.Data[0]++
	for piece := &damaged; ; {
		var update *workload.AccessUpdate
		if update, err = transfer.add(piece); err != nil {
			break
		}
		require.Nil(t, update)
		piece, err = served.Piece(largeTopology(1, 4000), &orchestrator.TopologyRequest{Access: true, Continues: transfer.AccessTransfer})
		require.NoError(t, err)
	}
	require.ErrorIs(t, err, errBrokenTransfer)
}
