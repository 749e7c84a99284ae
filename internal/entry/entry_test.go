package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/endpoint"
	"cactusspar/internal/settings"
)

// instance is a running entry instance.
type instance struct {
	*Entry
	stop func()
}

func testSettings(c *fakeControl, id string) Settings {
	s := DefaultSettings()
	s.ID, s.Cluster, s.DataCentre, s.Region, s.Control = id, "test", "dar-1", "coast", []string{c.addr}
	loopback := settings.Listener{Address: "127.0.0.1:0"}
	s.Peer, s.Callers, s.Endpoints, s.Health = loopback, loopback, loopback, loopback
	s.StopDelay = settings.Duration(50 * time.Millisecond)
	return s
}

func startEntry(t testing.TB, c *fakeControl, id string) *instance {
	t.Helper()
	e, err := New(testSettings(c, id), logr.Discard())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	i := &instance{Entry: e, stop: func() { cancel(); <-done }}
	t.Cleanup(i.stop)
	return i
}

// result is the response as the caller saw it.
type result struct {
	status  int
	outcome string
	code    string
	body    string
	// err is set if there was no response or it was incomplete.
	err error
}

type testCaller struct {
	client *http.Client
	addr   string
	key    string
}

func newCaller(t testing.TB, addr, key string) *testCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &testCaller{client: &http.Client{Transport: transport}, addr: addr, key: key}
}

func (c *testCaller) do(ctx context.Context, method, id, body string, header ...string) result {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	// The HTTP client resends some requests on its own when a connection breaks.
	// The first copy may have run, and the outcome of the second one would then be
	// compared with the runs of both. Cancel instead of connecting again.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
		GetConn: func(string) {
			if sent.Load() {
				cancel()
			}
		},
	})
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+c.addr+"/q/quotes/price?x=1", reader)
	r.Header.Set(headerTestID, id)
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := c.client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	got := result{
		status: response.StatusCode, outcome: response.Header.Get(endpoint.HeaderOutcome),
		body: string(text), err: err,
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Code string }
		_ = json.Unmarshal(text, &p)
		got.code = p.Code
	}
	return got
}

// waitAnswered waits until the instance answers requests.
func (c *testCaller) waitAnswered(t testing.TB) {
	t.Helper()
	require.Eventually(t, func() bool {
		r := c.do(t.Context(), http.MethodGet, "warm-up", "", "Cactusspar-Timeout-Ms", "500")
		return r.outcome == "answered"
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against a request that does not reach the endpoint of its pool, sent to
// the instance that dispatches the pool and to another one.
func TestRequestEndToEnd(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	e1, e2 := startEntry(t, control, "e1"), startEntry(t, control, "e2")
	ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ep.keepAnnouncing(func() string { return e2.Addresses().Endpoints })
	for _, e := range []*instance{e1, e2} {
		c := newCaller(t, e.Addresses().Callers, "secret")
		c.waitAnswered(t)
		got := c.do(t.Context(), http.MethodPost, "one-"+e.settings.ID, "body")
		require.NoError(t, got.err)
		require.Equal(t, "answered", got.outcome)
		require.Equal(t, payload("one-"+e.settings.ID), got.body)
		require.Equal(t, 1, ep.runs("one-"+e.settings.ID))

		bad := newCaller(t, e.Addresses().Callers, "wrong").do(t.Context(), http.MethodGet, "none", "")
		require.Equal(t, http.StatusUnauthorized, bad.status)
		require.Equal(t, "not-run", bad.outcome)
		require.Equal(t, "key-invalid", bad.code)
		require.Zero(t, ep.runs("none"))
	}
}
