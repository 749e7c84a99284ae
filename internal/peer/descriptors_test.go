package peer

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// exhaustedListener fails to accept the first connections, as in a process without free
// descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ran out of descriptors once and never again accepts a
// connection of a peer.
func TestServerAcceptsAfterDescriptorsRanOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	exhausted := &exhaustedListener{Listener: ln}
	exhausted.failures.Store(3)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	s := &Server{Identity: Identity{Cluster: "c1", Role: RoleControl, ID: "a"}, Handler: echoHandler{}, Log: logr.Discard(), Counters: &Counters{}}
	go func() { served <- s.Serve(ctx, exhausted) }()
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, echoHandler{}, nil, &Counters{})
	defer c.Close()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return c.Call(ctx, "echo", "hello", nil) == nil
	}, recoveryLimit, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-served)
}
