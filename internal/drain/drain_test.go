package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer starts a server whose requests each take the given time.
func startServer(t *testing.T, duration time.Duration) (*http.Server, net.Listener, *Connections) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(duration)
		_, _ = io.WriteString(w, "served")
	})}
	c := Track(s)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		require.True(t, IsShutdown(<-done))
	})
	return s, ln, c
}

// openConnections opens n connections and waits until the server has accepted them.
func openConnections(t *testing.T, ln net.Listener, c *Connections, n int) []net.Conn {
	var out []net.Conn
	for range n {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		out = append(out, conn)
	}
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.awaitingRequest) == n
	}, 10*time.Second, time.Millisecond)
	return out
}

func sendRequest(t *testing.T, conn net.Conn) string {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// Guards against a planned stop that closes a connection without a response because
// its request arrives just after the stop began.
func TestRequestsOfAcceptedConnectionsAreAnswered(t *testing.T) {
	s, ln, c := startServer(t, 20*time.Millisecond)
	c.firstByteTimeout = time.Minute // so that a slow test machine cannot fail the test
	conns := openConnections(t, ln, c, 10)
	stopped := make(chan error, 1)
	go func() { stopped <- c.Shutdown(context.Background(), s, ln) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond, "the listener is still open")
	for _, conn := range conns {
		require.Equal(t, "served", sendRequest(t, conn))
	}
	require.NoError(t, <-stopped)
}

// Guards against a stop that waits for connections that are only held open, and
// against one that does not end with its context.
func TestShutdownIsBounded(t *testing.T) {
	s, ln, c := startServer(t, time.Minute)
	idle := openConnections(t, ln, c, 3)
	began := time.Now()
	go func() { _, _ = io.WriteString(idle[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.active) == 1
	}, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*firstByteTimeout)
	defer cancel()
	require.ErrorIs(t, c.Shutdown(ctx, s, ln), context.DeadlineExceeded)
	require.Less(t, time.Since(began), 10*time.Second)
}
