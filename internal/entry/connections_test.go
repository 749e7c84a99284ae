package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Guards against clients that stop within the head or the body of their requests, and then
// keep out others by holding all connections.
func TestStalledConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	s := testSettings(control, "e1")
	s.MaxConnections = 8
	e, err := New(s, logr.Discard())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ep.keepAnnouncing(func() string { return e.Addresses().Endpoints })
	c := newCaller(t, e.Addresses().Callers, "secret")
	c.waitAnswered(t)
	for _, part := range []string{
		"", "POST /q/quotes/x HTTP/1.1\r\nHost: h\r\n",
		"POST /q/quotes/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: 9\r\n\r\npart",
		"POST /q/none HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart",
	} {
		for range 20 {
			conn, err := net.Dial("tcp", e.Addresses().Callers)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, part) // the connection may have been replaced
		}
		next := newCaller(t, e.Addresses().Callers, "secret")
		got := next.do(t.Context(), http.MethodPost, "beside", "body")
		require.NoError(t, got.err)
		require.Equal(t, "answered", got.outcome, "beside %q", part)
	}
	require.Positive(t, e.metrics.Counter("intake_connections_replaced_total").Count())
}
