package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/endpoint"
	"cactusspar/internal/intake"
)

// startServerWithIntake serves callers with a budget for bodies.
func startServerWithIntake(t *testing.T, budget int64, handler http.HandlerFunc) (*intake.Intake, string) {
	in := newIntake(budget)
	tickets := &fakeTickets{}
	_, addr := startServerWith(t, tickets, tickets, handler, func(o *Options) { o.Intake = in })
	t.Cleanup(func() {
		require.Eventually(t, func() bool { return in.Held() == 0 }, 10*time.Second, time.Millisecond, "bytes of bodies were not given back")
	})
	return in, addr
}

// stall sends a body of the given length without its last byte, and returns the connection.
func stall(t *testing.T, addr string, length int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\nCactusspar-Timeout-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", length-1))
	require.NoError(t, err)
	return c
}

func awaitHeld(t *testing.T, in *intake.Intake, n int64) {
	t.Helper()
	require.Eventually(t, func() bool { return in.Held() >= n }, 10*time.Second, time.Millisecond, "%d bytes are not held", n)
}

// Guards against stalled bodies that hold out others, and against a body that gave way
// without an answer, or whose request ran.
func TestStalledBodyGivesWay(t *testing.T) {
	var ran atomic.Int64
	in, addr := startServerWithIntake(t, 128<<10, func(_ http.ResponseWriter, r *http.Request) {
		if n, _ := io.Copy(io.Discard, r.Body); n == 60<<10 {
			ran.Add(1)
		}
	})
	first := stall(t, addr, 60<<10)
	awaitHeld(t, in, 64<<10)
	stall(t, addr, 60<<10)
	awaitHeld(t, in, 128<<10)
	for range 3 {
		response, text := send(t, addr, "POST", "/q/status/x", strings.Repeat("b", 4<<10))
		require.Equal(t, 200, response.StatusCode, text)
	}
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, 503, response.StatusCode)
	require.Equal(t, "not-run", response.Header.Get(endpoint.HeaderOutcome))
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), CodeOverload)
	require.Zero(t, ran.Load())
}

// Guards against a body that is reported as not run after a part of it was sent to an
// endpoint.
func TestStreamedBodyGivesWayAsUnknown(t *testing.T) {
	in, addr := startServerWithIntake(t, 128<<10, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})
	streamed := stall(t, addr, 100_000)
	awaitHeld(t, in, bufferBytes)
	for range 20 {
		c := stall(t, addr, 60<<10)
		defer c.Close()
	}
	response, err := http.ReadResponse(bufio.NewReader(streamed), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, 503, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(endpoint.HeaderOutcome))
}

// Guards against requests that stop short of the end of their body and use up the number
// of requests in progress.
func TestStalledBodiesAreNotRequestsInProgress(t *testing.T) {
	in, addr := startServerWithIntake(t, 1<<20, func(http.ResponseWriter, *http.Request) {})
	for range 110 { // more than MaxRequests
		stall(t, addr, 1<<10)
	}
	awaitHeld(t, in, 110<<10)
	response, text := send(t, addr, "POST", "/q/status/x", "body")
	require.Equal(t, 200, response.StatusCode, text)
}

// Guards against a slow caller with a small body that is refused beside a crowd of others.
func TestSlowCallerBesideStalledBodies(t *testing.T) {
	var got atomic.Int64
	in, addr := startServerWithIntake(t, 256<<10, func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
	})
	for range 20 {
		stall(t, addr, 60<<10)
	}
	awaitHeld(t, in, 128<<10)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4800\r\n\r\n")
	require.NoError(t, err)
	for range 6 {
		_, err = io.WriteString(c, strings.Repeat("b", 800))
		require.NoError(t, err)
		stall(t, addr, 60<<10)
		time.Sleep(20 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, 200, response.StatusCode)
	require.EqualValues(t, 4800, got.Load())
}
