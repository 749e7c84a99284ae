package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/testutil"
)

// recoveryLimit is how long calls to a process may fail after its connections went silent.
const recoveryLimit = 3 * time.Second

// Guards against a connection that has gone silent and stays in use: every later call to
// that process fails, although a new connection would work.
func TestClientReplacesSilentConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	l := testutil.NewSilentLink(t, addr)
	c := NewClient(l.Addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	call := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return c.Call(ctx, "echo", "hello", nil) == nil
	}
	require.True(t, call())
	l.Silence()
	require.Eventually(t, call, recoveryLimit, 10*time.Millisecond)
}

// Guards against one-way messages that are sent into a silent connection for good: nobody
// waits for a response to them.
func TestSenderReplacesSilentConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	l := testutil.NewSilentLink(t, addr)
	c := NewClient(l.Addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	arrives := func() bool {
		_ = c.Send(context.Background(), "note", 1)
		select {
		case <-h.oneWay:
			return true
		case <-time.After(50 * time.Millisecond):
			return false
		}
	}
	require.True(t, arrives())
	l.Silence()
	require.Eventually(t, arrives, recoveryLimit, 10*time.Millisecond)
}

// Guards against accepted connections that have gone silent and are kept: they would use up
// the limit of connections.
func TestServerClosesSilentConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counters := &Counters{}
	s := &Server{Identity: Identity{Cluster: "c1", Role: RoleControl, ID: "a"}, Handler: echoHandler{}, Log: logr.Discard(), Counters: counters, idleTimeout: 2 * pingTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	l := testutil.NewSilentLink(t, ln.Addr().String())
	c := NewClient(l.Addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, echoHandler{}, nil, &Counters{})
	defer c.Close()
	require.NoError(t, c.Call(context.Background(), "echo", "hello", nil))
	time.Sleep(3 * pingTimeout)
	require.Zero(t, counters.Silent.Load(), "an idle connection whose client sends pings is closed")
	l.Silence()
	require.Eventually(t, func() bool { return counters.Silent.Load() == 1 }, recoveryLimit, 10*time.Millisecond)
}

// slowHandler responds to requests after a delay.
type slowHandler struct {
	echoHandler
	delay time.Duration
}

func (s slowHandler) HandleRequest(ctx context.Context, from Identity, method string, body []byte) (any, error) {
	time.Sleep(s.delay)
	return s.echoHandler.HandleRequest(ctx, from, method, body)
}

// Guards against a connection that is closed while a slow request is in progress or while
// it is idle: the request would be repeated, and each use would dial again.
func TestSlowRequestKeepsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Identity: Identity{Cluster: "c1", Role: RoleControl, ID: "a"}, Handler: slowHandler{delay: pingInterval + 2*pingTimeout}, Log: logr.Discard(), Counters: &Counters{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	counters := &Counters{}
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, echoHandler{}, nil, counters)
	defer c.Close()
	require.NoError(t, c.Call(context.Background(), "echo", "hello", nil))
	require.Zero(t, counters.Silent.Load())
}

// Guards against a caller that waits longer than its deadline for a connection to a process
// that accepts connections and doesn't respond.
func TestCallerWaitsForConnectionWithinItsDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, echoHandler{}, nil, &Counters{})
	defer c.Close()
	began := time.Now()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		var dial *DialError
		require.ErrorAs(t, c.Call(ctx, "echo", "hello", nil), &dial)
		cancel()
	}
	require.Less(t, time.Since(began), time.Second)
}

// Guards against a working connection that is closed as silent because a ping waits behind
// large frames on a slow network link: the receiver would never get them all.
func TestLargeFramesOnSlowLinkKeepConnection(t *testing.T) {
	const frameBytes, bytesPerSecond = 256 << 10, 150_000
	addr, h, _ := startServer(t, "c1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		a, err := ln.Accept()
		if err != nil {
			return
		}
		_ = a.(*net.TCPConn).SetReadBuffer(16 << 10)
		b, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(a, b) }()
		buffer := make([]byte, 4096)
		for {
			n, err := a.Read(buffer)
			if err != nil {
				_ = b.Close()
				return
			}
			time.Sleep(time.Duration(n) * time.Second / bytesPerSecond)
			if _, err := b.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	counters := &Counters{}
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, counters)
	defer c.Close()
	for range 2 {
		require.NoError(t, c.Send(context.Background(), "note", make([]byte, frameBytes)))
		receiveNote(t, h)
	}
	require.Zero(t, counters.Silent.Load())
}

func receiveNote(t *testing.T, h echoHandler) {
	select {
	case <-h.oneWay:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the frame did not arrive")
	}
}

// Guards against a use with an ended context that opens a connection, which nobody closes.
func TestEndedContextOpensNoConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	c := NewClient(addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.Send(ctx, "note", 1), context.Canceled)
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Nil(t, c.dialing)
	require.Nil(t, c.conn)
}
