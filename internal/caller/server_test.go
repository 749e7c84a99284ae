package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

const testRules = `
region coast                                     # Asha M., operations: the one region
datacentre dar-1 region=coast                    # Asha M., operations: hall A
pool quotes min=1 max=12 unavailable=1 period=35d # Asha M., operations: quotes must not wait
queue quotes pool=quotes access=keyed length=20  # Juma K., sales: shops ask for quotes
queue status pool=quotes access=open length=20   # Juma K., sales: public status page
team shops share=40 limit=60                     # Juma K., sales: contract
`

// fakeTickets immediately issues a ticket for one endpoint to every request.
type fakeTickets struct {
	addr     string
	refusal  *dispatch.Refusal
	waiting  chan struct{} // if not nil, receives a value per request, which then waits for its context
	mu       sync.Mutex
	released []dispatch.ReleaseRequest
	onLost   func()
}

func (tickets *fakeTickets) Acquire(ctx context.Context, _ *dispatch.AcquireRequest, deadline time.Time) (Lease, error) {
	if tickets.refusal != nil {
		return nil, tickets.refusal
	}
	if tickets.waiting != nil {
		tickets.waiting <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &testLease{tickets, deadline}, nil
}

type testLease struct {
	tickets  *fakeTickets
	deadline time.Time
}

func (l *testLease) Ticket() *dispatch.Ticket { return &dispatch.Ticket{Addr: l.tickets.addr} }
func (l *testLease) Deadline() time.Time      { return l.deadline }
func (l *testLease) Check() error             { return nil }
func (l *testLease) OnLost(f func()) {
	l.tickets.mu.Lock()
	l.tickets.onLost = f
	l.tickets.mu.Unlock()
}

func (l *testLease) Release(r dispatch.ReleaseRequest) {
	l.tickets.mu.Lock()
	l.tickets.released = append(l.tickets.released, r)
	l.tickets.mu.Unlock()
}

// startServer serves callers in front of an endpoint with the given handler.
func startServer(t *testing.T, tickets *fakeTickets, handler http.HandlerFunc) (*Server, string) {
	return startServerWith(t, tickets, tickets, handler)
}

// startServerWith is startServer with tickets that are based on issued.
func startServerWith(t *testing.T, tickets Tickets, issued *fakeTickets, handler http.HandlerFunc, change ...func(*Options)) (*Server, string) {
	e := httptest.NewServer(handler)
	t.Cleanup(e.Close)
	t.Cleanup(e.CloseClientConnections)
	issued.addr = e.Listener.Addr().String()
	views := view.NewPublisher(nil)
	_, err := views.Confirm(time.Now().Add(time.Hour), &view.Delta{
		Index: 1, Full: true, Config: &state.Config{Text: testRules},
		Keys: []state.Key{{ID: "k1", Team: "shops", Hash: sha256.Sum256([]byte("secret"))}},
	}, nil)
	require.NoError(t, err)
	options := Options{
		Views: views, Tickets: tickets, Sender: endpoint.NewSender(), Metrics: telemetry.NewMetrics(),
		MaxRequests: 100, MaxBodyBytes: 1 << 20,
	}
	for _, f := range change {
		f(&options)
	}
	s := NewServer(options)
	server := &httptest.Server{Config: s.HTTP()}
	server.Listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return s, server.Listener.Addr().String()
}

// send sends a request over a connection of its own.
func send(t *testing.T, addr, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Close = true
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		if header[i+1] == "" {
			r.Header.Del(header[i])
		}
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(text)
}

// Guards against refusals without a stable code, an outcome or Retry-After, and
// against invalid requests that reach an endpoint.
func TestRefusals(t *testing.T) {
	var ran atomic.Int64
	tickets := &fakeTickets{}
	_, addr := startServer(t, tickets, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	for _, c := range []struct {
		method, path string
		header       []string
		status       int
		code         string
	}{
		{"GET", "/other", nil, 404, "not-found"},
		{"GET", "/q/none/x", nil, 404, "unknown-queue"},
		{"TRACE", "/q/quotes/x", nil, 405, "method-not-allowed"},
		{"GET", "/q/quotes/x", []string{"Authorization", ""}, 401, "key-missing"},
		{"GET", "/q/quotes/x", []string{"Authorization", "Basic secret"}, 401, "key-invalid"},
		{"GET", "/q/status/x", []string{"Authorization", "Bearer wrong"}, 401, "key-invalid"},
		{"GET", "/q/quotes/x", []string{"Cactusspar-Timeout-Ms", "30001"}, 400, "bad-header"},
		{"GET", "/q/quotes/x", []string{"Priority", "u=8"}, 400, "bad-header"},
		{"GET", "/q/quotes/x", []string{"Cactusspar-Idempotent", "yes"}, 400, "bad-header"},
		{"GET", "/q/quotes/x", []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, "bad-header"},
	} {
		response, text := send(t, addr, c.method, c.path, "", c.header...)
		require.Equal(t, c.status, response.StatusCode, text)
		require.Contains(t, text, fmt.Sprintf("%q:%q", "code", c.code))
		require.Equal(t, "not-run", response.Header.Get(endpoint.HeaderOutcome))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	response, text := send(t, addr, "POST", "/q/quotes/x", strings.Repeat("b", 1<<20+1))
	require.Equal(t, 413, response.StatusCode, text)
	tickets.refusal = &dispatch.Refusal{Code: dispatch.CodeTeamLimit, RetryAfter: 3 * time.Second}
	response, text = send(t, addr, "GET", "/q/quotes/x", "")
	require.Equal(t, 429, response.StatusCode, text)
	require.Equal(t, "3", response.Header.Get("Retry-After"))
	tickets.refusal = &dispatch.Refusal{Code: dispatch.CodeDuplicateRunning}
	response, text = send(t, addr, "POST", "/q/quotes/x", "")
	require.Equal(t, 409, response.StatusCode, text)
	require.Equal(t, "unknown", response.Header.Get(endpoint.HeaderOutcome), "the first request may have run")
	require.Zero(t, ran.Load())
}

// Guards against outcome not-run for a request whose first attempt may have run.
func TestUnknownAttemptIsNotReportedAsNotRun(t *testing.T) {
	var ran atomic.Int64
	_, addr := startServer(t, &fakeTickets{}, func(w http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(endpoint.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response, text := send(t, addr, "GET", "/q/quotes/x", "", "Cactusspar-Timeout-Ms", "300")
	require.Equal(t, "unknown", response.Header.Get(endpoint.HeaderOutcome), text)
	require.Greater(t, ran.Load(), int64(1))
}

// retryRefused refuses each acquire after the first one.
type retryRefused struct {
	fakeTickets
	retry    dispatch.Refusal
	acquired atomic.Int64
}

func (r *retryRefused) Acquire(ctx context.Context, a *dispatch.AcquireRequest, deadline time.Time) (Lease, error) {
	if r.acquired.Add(1) > 1 {
		return nil, &r.retry
	}
	return r.fakeTickets.Acquire(ctx, a, deadline)
}

// Guards against outcome not-run for a request whose first attempt an endpoint refused, if a
// request with its idempotency key was sent in the meantime and has run or may have.
func TestRequestResentDuringRetryIsNotReportedAsNotRun(t *testing.T) {
	for code, outcome := range map[string]string{
		dispatch.CodeDuplicateRunning: "unknown", dispatch.CodeDuplicateUnknown: "unknown", dispatch.CodeDuplicateAnswered: "answered",
		dispatch.CodeQueueFull: "not-run",
	} {
		tickets := &retryRefused{retry: dispatch.Refusal{Code: code, Status: http.StatusCreated}}
		_, addr := startServerWith(t, tickets, &tickets.fakeTickets, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		response, text := send(t, addr, "POST", "/q/quotes/x", "", "Idempotency-Key", "k")
		require.Equal(t, outcome, response.Header.Get(endpoint.HeaderOutcome), text)
	}
}

// Guards against changes to bodies, and against the loss of trailers, escaped paths
// and query strings.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	_, addr := startServer(t, &fakeTickets{}, func(w http.ResponseWriter, r *http.Request) {
		require.NoError(t, http.NewResponseController(w).EnableFullDuplex())
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("X-Target", r.RequestURI)
		w.Header().Set(endpoint.HeaderOutcome, "unknown")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("X-Sum", "7")
	})
	for _, size := range []int{0, 1, bufferBytes - 1, bufferBytes, bufferBytes + 1, 900_000} {
		body := strings.Repeat("a", size)
		response, text := send(t, addr, "POST", "/q/quotes/a%2Fb/c//d?x=%20&y", body)
		require.Equal(t, 200, response.StatusCode, text)
		require.True(t, body == text, "%d of %d bytes", len(text), size)
		require.Equal(t, "/a%2Fb/c//d?x=%20&y", response.Header.Get("X-Target"))
		require.Equal(t, []string{"answered"}, response.Header[endpoint.HeaderOutcome])
		require.Equal(t, "7", response.Trailer.Get("X-Sum"))
	}
}

// Guards against a response that is held back until the caller has sent the whole
// body, and against the server consuming the rest of the body.
func TestResponseStartsBeforeBodyEnds(t *testing.T) {
	got := make(chan int64, 1)
	_, addr := startServer(t, &fakeTickets{}, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		require.NoError(t, control.EnableFullDuplex())
		require.NoError(t, control.Flush())
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("b", 100_000))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, _ = io.WriteString(c, strings.Repeat("b", 100_000))
	require.EqualValues(t, 200_000, <-got)
}

// Guards against a truncated body that is taken for a complete short one.
func TestTruncatedBodyIsIncomplete(t *testing.T) {
	cut := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
	r := httptest.NewRequest(http.MethodPost, "/", cut)
	r.ContentLength = -1
	w := struct {
		*httptest.ResponseRecorder
		readDeadline
	}{httptest.NewRecorder(), readDeadline{}}
	b, f := readBody(w, r, newIntake(1<<20), 1<<20, time.Now().Add(time.Second))
	b.free()
	require.NotNil(t, f)
	require.Equal(t, CodeBodyIncomplete, f.code)
}

type readDeadline struct{}

func (readDeadline) SetReadDeadline(time.Time) error { return nil }

// Guards against running a request whose body the caller truncated.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	var ran atomic.Int64
	_, addr := startServer(t, &fakeTickets{}, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			ran.Add(1)
		}
	})
	for _, size := range []int{3, 100_000} {
		for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n%x\r\n", "Content-Length: 200000\r\n\r\n%.0x"} {
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			_, err = fmt.Fprintf(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\n"+head+"%s", size, strings.Repeat("b", size))
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			text, _ := io.ReadAll(c)
			require.NotContains(t, string(text), "200 OK")
			_ = c.Close()
		}
	}
	require.Zero(t, ran.Load())
}

// Guards against a slow sender that keeps a request open beyond its deadline, and
// against a stop that does not ask callers to close their connections.
func TestSlowSenderAndStop(t *testing.T) {
	s, addr := startServer(t, &fakeTickets{}, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, _ = io.WriteString(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\nCactusspar-Timeout-Ms: 100\r\nContent-Length: 9\r\n\r\npart")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, "not-run", response.Header.Get(endpoint.HeaderOutcome))
	s.Drain()
	response, _ = send(t, addr, "GET", "/q/quotes/x", "")
	require.Equal(t, 200, response.StatusCode)
	require.True(t, response.Close)
	s.Stop()
	response, text := send(t, addr, "GET", "/q/quotes/x", "")
	require.Equal(t, 503, response.StatusCode)
	require.Contains(t, text, dispatch.CodeStopping)
}

// Guards against an idempotent request that runs on after its caller disconnected,
// and against the loss of the outcome of a non-idempotent one.
func TestCallerDisconnects(t *testing.T) {
	for method, cancelled := range map[string]bool{"GET": true, "POST": false} {
		tickets := &fakeTickets{}
		began, ended := make(chan struct{}), make(chan bool, 1)
		_, addr := startServer(t, tickets, func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			select {
			case <-r.Context().Done():
				ended <- true
			case <-time.After(300 * time.Millisecond):
				ended <- false
			}
		})
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, _ = fmt.Fprintf(c, "%s /q/status/x HTTP/1.1\r\nHost: h\r\n\r\n", method)
		<-began
		_ = c.Close()
		require.Equal(t, cancelled, <-ended, method)
		require.Eventually(t, func() bool { tickets.mu.Lock(); defer tickets.mu.Unlock(); return len(tickets.released) == 1 }, time.Second, time.Millisecond)
		if method == "POST" {
			require.Equal(t, dispatch.OutcomeAnswered, tickets.released[0].Outcome)
		}
	}
	tickets := &fakeTickets{waiting: make(chan struct{})}
	s, addr := startServer(t, tickets, nil)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, _ = io.WriteString(c, "POST /q/status/x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-tickets.waiting
	_ = c.Close()
	require.Eventually(t, func() bool { return s.Running() == 0 }, time.Second, time.Millisecond, "a waiting request was not cancelled")
}

// Guards against an idempotent request that waits for a lost endpoint until its
// deadline instead of being retried.
func TestLostEndpoint(t *testing.T) {
	tickets := &fakeTickets{}
	var ran atomic.Int64
	_, addr := startServer(t, tickets, func(w http.ResponseWriter, r *http.Request) {
		if ran.Add(1) == 1 {
			tickets.mu.Lock()
			lost := tickets.onLost
			tickets.mu.Unlock()
			lost()
			<-r.Context().Done()
		}
	})
	response, text := send(t, addr, "GET", "/q/quotes/x", "")
	require.Equal(t, 200, response.StatusCode, text)
	require.EqualValues(t, 2, ran.Load())
}

// Guards against reading an endpoint's response faster than the caller reads it,
// and against HTTP/1.0, in which a truncated response can look complete.
func TestBackpressure(t *testing.T) {
	var written atomic.Int64
	_, addr := startServer(t, &fakeTickets{}, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for range 1024 {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, _ = io.WriteString(c, "GET /q/status/x HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(300 * time.Millisecond)
	require.Positive(t, written.Load())
	require.Less(t, written.Load(), int64(32<<20))
	old, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer old.Close()
	_, _ = io.WriteString(old, "GET /q/status/x HTTP/1.0\r\n\r\n")
	text, err := io.ReadAll(old)
	require.NoError(t, err)
	require.Contains(t, string(text), "http-version")
}

// Guards against an idempotent request that crashes one endpoint after the other until its
// deadline.
func TestRequestThatBreaksConnectionsIsGivenUp(t *testing.T) {
	var ran atomic.Int64
	_, addr := startServer(t, &fakeTickets{}, func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		panic(http.ErrAbortHandler)
	})
	response, text := send(t, addr, "GET", "/q/quotes/x", "", "Cactusspar-Timeout-Ms", "5000")
	require.Equal(t, 502, response.StatusCode, text)
	require.Equal(t, "unknown", response.Header.Get(endpoint.HeaderOutcome), text)
	require.LessOrEqual(t, ran.Load(), int64(3))
}
