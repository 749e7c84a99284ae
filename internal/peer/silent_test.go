package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentLink forwards connections. silence makes the open ones drop all bytes without
// being closed, while new ones work.
type silentLink struct {
	addr string
	mu   sync.Mutex
	drop chan struct{} // closed when the connections that were accepted under it go silent
}

func newSilentLink(t *testing.T, target string) *silentLink {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &silentLink{addr: ln.Addr().String(), drop: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			drop := l.drop
			l.mu.Unlock()
			go forward(conn, target, drop)
		}
	}()
	return l
}

func (l *silentLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.drop)
	l.drop = make(chan struct{})
}

func forward(a net.Conn, target string, drop chan struct{}) {
	b, err := net.Dial("tcp", target)
	if err != nil {
		_ = a.Close()
		return
	}
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			select {
			case <-drop:
				_, _ = io.Copy(io.Discard, from) // the other end isn't told
				return
			default:
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				_, _ = a.Close(), b.Close()
				return
			}
		}
	}
	go pipe(a, b)
	pipe(b, a)
}

// recoveryLimit is how long calls to a process may fail after its connections went silent.
const recoveryLimit = 3 * time.Second

// Guards against a connection that has gone silent and stays in use: every later call to
// that process fails, although a new connection would work.
func TestClientReplacesSilentConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	l := newSilentLink(t, addr)
	c := NewClient(l.addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	call := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return c.Call(ctx, "echo", "hello", nil) == nil
	}
	require.True(t, call())
	l.silence()
	require.Eventually(t, call, recoveryLimit, 10*time.Millisecond)
}

// Guards against one-way messages that are sent into a silent connection for good: nobody
// waits for a response to them.
func TestSenderReplacesSilentConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	l := newSilentLink(t, addr)
	c := NewClient(l.addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
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
	l.silence()
	require.Eventually(t, arrives, recoveryLimit, 10*time.Millisecond)
}
