package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/telemetry"
)

const maxTestBody = 64 << 10

// testServer echoes the size of a body.
type testServer struct {
	t       *testing.T
	intake  *Intake
	address string
	bounded *connections
}

func startTestServer(t *testing.T, bodyBytes int64, connections int) *testServer {
	i := New(Options{BodyBytes: bodyBytes, DecodingBytes: 1 << 20, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := i.Listen(raw, connections)
	s := &http.Server{ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ignored":
			return
		case "/unknown":
			CloseAfterResponse(w, r)
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := i.Read(w, r, maxTestBody)
		switch {
		case errors.Is(err, ErrTooLarge):
			CloseAfterResponse(w, r)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case err != nil:
			CloseAfterResponse(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer body.Close()
		size := body.Size()
		if int64(len(body.Bytes())) != size {
			panic("size of body")
		}
		_, _ = io.WriteString(w, strconv.FormatInt(size, 10))
	})}
	Attach(s)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		<-done
		require.Eventually(t, func() bool { return i.Held() == 0 }, 10*time.Second, time.Millisecond, "bytes of bodies were not given back")
	})
	return &testServer{t, i, raw.Addr().String(), ln.(*listener).connections}
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	require.NoError(s.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

func response(t *testing.T, c io.Reader) (status int, body string, closing bool) {
	t.Helper()
	in, ok := c.(*bufio.Reader)
	if !ok {
		in = bufio.NewReader(c)
	}
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, string(data), r.Close
}

const ordinaryBody = 4800

// stall opens a connection that sends a body less its last byte.
func (s *testServer) stall(size int) net.Conn {
	c := s.dial()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size-1))
	return c
}

// awaitHeld waits until bodies hold at least n bytes.
func (s *testServer) awaitHeld(n int64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.intake.Held() >= n }, 10*time.Second, time.Millisecond)
}

// Guards against a crowd that stops short and keeps out a slow client with an ordinary body.
func TestSlowClientIsServedBesideCrowd(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	for range 16 {
		s.stall(60 << 10)
	}
	s.awaitHeld(128 << 10)
	c := s.dial()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", ordinaryBody)
	require.NoError(t, err)
	for sent := 0; sent < ordinaryBody; sent += 480 {
		_, err := io.WriteString(c, strings.Repeat("a", 480))
		require.NoError(t, err)
		s.stall(60 << 10)
		time.Sleep(10 * time.Millisecond)
	}
	status, body, _ := response(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, strconv.Itoa(ordinaryBody), body)
	require.LessOrEqual(t, s.intake.Held(), int64(256<<10))
}

// Guards against a crowd of connections that keeps out a slow client.
func TestSlowClientIsServedBesideManyConnections(t *testing.T) {
	s := startTestServer(t, 1<<20, 16)
	for range 32 {
		s.stall(2048)
	}
	c := s.dial()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", ordinaryBody)
	require.NoError(t, err)
	for range 10 {
		_, err := io.WriteString(c, strings.Repeat("a", ordinaryBody/10))
		require.NoError(t, err)
		s.stall(2048)
		time.Sleep(10 * time.Millisecond)
	}
	status, _, _ := response(t, c)
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, s.bounded.count(), 16)
}

// Guards against a client that isn't told that its body gave way.
func TestClientOfBodyThatGaveWayGetsResponse(t *testing.T) {
	s := startTestServer(t, 128<<10, 64)
	first := s.stall(60 << 10)
	s.awaitHeld(60 << 10)
	s.stall(60 << 10)
	s.stall(60 << 10)
	status, _, closing := response(t, first)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, closing)
}

func TestBodiesOfAllEncodings(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	for name, request := range map[string]string{
		"whole":        "Content-Length: 6\r\n\r\nabcdef",
		"chunks":       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n",
		"small chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 6) + "0\r\n\r\n",
	} {
		c := s.dial()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+request)
		require.NoError(t, err)
		status, body, closing := response(t, c)
		require.Equal(t, http.StatusOK, status, name)
		require.Equal(t, "6", body, name)
		require.False(t, closing, name)
	}
	c := s.dial()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxTestBody, strings.Repeat("a", maxTestBody))
	require.NoError(t, err)
	status, body, _ := response(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, strconv.Itoa(maxTestBody), body)
}

// Guards against a body that is read although its length is known to be too large, and
// against one of unknown length that is read beyond the limit.
func TestBodyAboveLimitIsRefused(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	for _, request := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", maxTestBody+1),
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n", 17),
	} {
		c := s.dial()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+request)
		require.NoError(t, err)
		status, _, closing := response(t, c)
		require.Equal(t, http.StatusRequestEntityTooLarge, status)
		require.True(t, closing)
	}
}

// Guards against a refusal that the client can't read because it goes on sending.
func TestRefusalByHeadReachesClientThatGoesOn(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	c := s.dial()
	_, err := fmt.Fprintf(c, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 60<<10, strings.Repeat("a", 50<<10))
	require.NoError(t, err)
	status, _, closing := response(t, c)
	require.Equal(t, http.StatusNotFound, status)
	require.True(t, closing)
	require.Zero(t, s.intake.Held())
}

// Guards against pipelined requests whose responses are lost or mixed up.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	c := s.dial()
	var requests strings.Builder
	for n := 1; n <= 20; n++ {
		fmt.Fprintf(&requests, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n*400, strings.Repeat("a", n*400))
	}
	_, err := io.WriteString(c, requests.String())
	require.NoError(t, err)
	in := bufio.NewReader(c)
	for n := 1; n <= 20; n++ {
		status, body, _ := response(t, in)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, strconv.Itoa(n*400), body)
	}
}

// Guards against a client that waits for a permission to send its body, with and without one.
func TestExpectContinue(t *testing.T) {
	s := startTestServer(t, 256<<10, 64)
	c := s.dial()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(c)
	status, _, _ := response(t, in)
	require.Equal(t, http.StatusContinue, status)
	_, err = io.WriteString(c, "abc")
	require.NoError(t, err)
	status, body, _ := response(t, in)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "3", body)

	c = s.dial()
	_, err = io.WriteString(c, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	status, _, closing := response(t, c)
	require.Equal(t, http.StatusNotFound, status)
	require.True(t, closing)
}

// Guards against bytes that are not given back when a client disappears.
func TestBudgetIsGivenBackWhenClientLeaves(t *testing.T) {
	s := startTestServer(t, 1<<20, 64)
	var clients []net.Conn
	for range 8 {
		clients = append(clients, s.stall(30<<10))
	}
	s.awaitHeld(8 * 30 << 10)
	for _, c := range clients {
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return s.intake.Held() == 0 && s.bounded.count() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against connections that are kept while the server discards bodies that stop short.
func TestConnectionsOfUnreadBodiesAreReplaced(t *testing.T) {
	s := startTestServer(t, 1<<20, 4)
	for range 4 {
		c := s.dial()
		_, err := io.WriteString(c, "POST /ignored HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		s.bounded.mu.Lock()
		defer s.bounded.mu.Unlock()
		return s.bounded.open == 4 && s.bounded.waiting.front() == nil
	}, 10*time.Second, time.Millisecond, "the heads were not read")
	c := s.dial()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	began := time.Now()
	status, _, _ := response(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Less(t, time.Since(began), 15*time.Second, "the time limit of a request is 20 s")
}

// BenchmarkOrdinaryBody measures what the intake adds to reading an ordinary body.
func BenchmarkOrdinaryBody(b *testing.B) {
	data := strings.Repeat("a", ordinaryBody)
	request := func() *http.Request {
		r, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader(data))
		return r
	}
	b.Run("intake", func(b *testing.B) {
		i := New(Options{BodyBytes: 32 << 20, DecodingBytes: 1 << 20, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
		b.ReportAllocs()
		for b.Loop() {
			body, err := i.Read(nil, request(), maxTestBody)
			if err != nil {
				b.Fatal(err)
			}
			_ = body.Bytes()
			body.Close()
		}
	})
	b.Run("read all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := io.ReadAll(http.MaxBytesReader(nil, request().Body, maxTestBody)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
