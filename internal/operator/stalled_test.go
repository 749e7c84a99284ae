package operator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/intake"
	"cactusspar/internal/telemetry"
)

// stall sends a call whose body lacks its last byte, and returns the connection.
func stall(t *testing.T, address, token string, length int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "POST /v1/rules HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		token, length, strings.Repeat(" ", length-1))
	require.NoError(t, err)
	return c
}

func readResponse(t *testing.T, c net.Conn) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(text)
}

func startWithIntake(t *testing.T, budget int64) (*fakeCluster, *intake.Intake) {
	in := intake.New(intake.Options{BodyBytes: budget, DecodingBytes: DecodingBytes, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
	f := newFakeCluster(t, 1, Options{Intake: in})
	t.Cleanup(func() {
		f.servers[0].CloseClientConnections()
		require.Eventually(t, func() bool { return in.Held() == 0 }, 10*time.Second, time.Millisecond, "bytes of bodies were not given back")
	})
	return f, in
}

// TestStalledBodyIsRefusedByHead guards against a call that is refused only once its body
// has arrived, although its head is enough.
func TestStalledBodyIsRefusedByHead(t *testing.T) {
	f, in := startWithIntake(t, 4<<20)
	for token, want := range map[string]struct {
		length, status int
	}{"wrong": {1000, http.StatusUnauthorized}, testToken: {maxBodyBytes + 1, http.StatusRequestEntityTooLarge}} {
		c := stall(t, f.address(0), token, want.length)
		response, text := readResponse(t, c)
		require.Equal(t, want.status, response.StatusCode, text)
		require.Zero(t, in.Held())
	}
}

// TestStalledBodiesLeaveRoomForCalls guards against clients that use up the number of calls
// in progress by stopping short of the end of their bodies.
func TestStalledBodiesLeaveRoomForCalls(t *testing.T) {
	f, in := startWithIntake(t, 4<<20)
	for range maxCalls + 1 {
		stall(t, f.address(0), testToken, 1000)
	}
	require.Eventually(t, func() bool { return in.Held() >= (maxCalls+1)<<10 }, 10*time.Second, time.Millisecond)
	_, err := f.client(t, testToken).Apply(ctx, 0, sampleRules)
	require.NoError(t, err)
}

// TestStalledBodyGivesWay guards against bodies that fill the memory or hold out others, and
// against a refused command that is carried out.
func TestStalledBodyGivesWay(t *testing.T) {
	f, in := startWithIntake(t, 4<<20)
	first := stall(t, f.address(0), testToken, 1<<20)
	require.Eventually(t, func() bool { return in.Held() >= 1<<20 }, 10*time.Second, time.Millisecond)
	for range 5 {
		stall(t, f.address(0), testToken, 1<<20)
	}
	response, text := readResponse(t, first)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, text)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	require.LessOrEqual(t, in.Held(), int64(4<<20))
	require.Zero(t, f.executedCount())
	_, err := f.client(t, testToken).Apply(ctx, 0, sampleRules)
	require.NoError(t, err)
	require.Equal(t, 1, f.executedCount())
}
