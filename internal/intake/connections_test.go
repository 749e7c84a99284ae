package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/telemetry"
)

func addPipe(t *testing.T, c *connections) (server *conn, client net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	added, err := c.add(near)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = added.Close()
		_ = far.Close()
	})
	return added, far
}

// Guards against new connections that are refused at the limit, and against closing one
// that made progress before one that waits longer.
func TestNewConnectionReplacesTheLongestWait(t *testing.T) {
	replaced := 0
	c := newConnections(3, func() { replaced++ })
	first, _ := addPipe(t, c)
	second, _ := addPipe(t, c)
	third, _ := addPipe(t, c)
	first.set(waiting) // progress
	second.set(busy)
	addPipe(t, c)
	require.True(t, third.gone)
	require.False(t, first.gone)
	require.False(t, second.gone)
	addPipe(t, c)
	require.True(t, first.gone)
	require.False(t, second.gone, "its request is being handled")
	require.Equal(t, 2, replaced)
	require.Equal(t, 3, c.count())
}

func TestClosedConnectionsMakeRoomOnce(t *testing.T) {
	c := newConnections(2, func() {})
	first, _ := addPipe(t, c)
	addPipe(t, c)
	require.NoError(t, first.Close())
	require.NoError(t, first.Close())
	first.set(waiting)
	require.Equal(t, 1, c.count())
	addPipe(t, c)
	require.Equal(t, 2, c.count())
}

// Guards against a listener that closes connections with a request in progress, and
// against one that is stopped while it waits for them.
func TestNewConnectionWaitsForBusyOnes(t *testing.T) {
	c := newConnections(1, func() {})
	handled, _ := addPipe(t, c)
	handled.set(busy)
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	added := make(chan error, 1)
	add := func() {
		_, err := c.add(near)
		added <- err
	}
	go add()
	select {
	case <-added:
		t.Fatal("a busy connection was replaced")
	case <-time.After(20 * time.Millisecond):
	}
	handled.set(waiting)
	require.NoError(t, <-added)
	require.True(t, handled.gone)
	c.waiting.front().value.set(busy)
	go add()
	c.stop()
	require.ErrorIs(t, <-added, net.ErrClosed)
}

// Guards against connections that are kept for clients that don't read their responses.
func TestConnectionWithUnreadResponseIsReplaced(t *testing.T) {
	c := newConnections(1, func() {})
	server, _ := addPipe(t, c)
	server.set(busy)
	written := make(chan error, 1)
	go func() {
		_, err := server.Write([]byte("response"))
		written <- err
	}()
	addPipe(t, c)
	require.Error(t, <-written)
	require.True(t, server.gone)
}

// Guards against a connection that is replaced just before its response is written.
func TestConnectionIsNotReplacedBeforeItsResponse(t *testing.T) {
	c := newConnections(1, func() {})
	server, client := addPipe(t, c)
	server.set(busy)
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	added := make(chan error, 1)
	go func() {
		_, err := c.add(near)
		added <- err
	}()
	time.Sleep(10 * time.Millisecond)
	server.set(finishing)
	go func() { _, _ = server.Write([]byte("response")) }()
	data := make([]byte, len("response"))
	_, err := io.ReadFull(client, data)
	require.NoError(t, err)
	require.Equal(t, "response", string(data))
	server.set(waiting)
	require.NoError(t, <-added)
}

// Guards against a new connection that replaces a slow client which has just arrived while
// answered connections linger.
func TestAnsweredConnectionIsReplacedBeforeLaterWait(t *testing.T) {
	in := New(Options{BodyBytes: 1 << 20, DecodingBytes: 1, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			CloseAfterResponse(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, err := in.Read(w, r, 1<<10)
		if err != nil {
			CloseAfterResponse(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body.Close()
	})}
	ln := in.Listen(raw, 2)
	Attach(s)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	dial := func(head string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(c, head)
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	status := func(r *bufio.Reader) int {
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	_, lingering := dial("PUT /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx")
	require.Equal(t, http.StatusServiceUnavailable, status(lingering))
	slow, slowResponse := dial("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
	_, other := dial("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	require.Equal(t, http.StatusOK, status(other))
	_, err = io.WriteString(slow, "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(slowResponse))
}
