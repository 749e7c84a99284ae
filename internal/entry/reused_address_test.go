package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/standin"
)

// TestEndpointAtReusedAddressRunsNoRequest guards against a request that runs on an endpoint of another
// pool: the endpoint that it is for has ended, and its address is taken over before its lease ends.
func TestEndpointAtReusedAddressRunsNoRequest(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	e := startEntry(t, control, "e1")
	ended := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ended.keepAnnouncing(func() string { return e.Addresses().Endpoints })
	c := newCaller(t, e.Addresses().Callers, "secret")
	c.waitAnswered(t)

	other, err := standin.StartEndpoint(standin.EndpointConfig{
		Listen: "127.0.0.1:0", Announcement: dispatch.Announcement{ID: "w2", Pool: "prices", Slots: 8},
	})
	require.NoError(t, err)
	t.Cleanup(other.Kill)
	ended.mu.Lock()
	ended.addr = other.Addr()
	ended.mu.Unlock()
	require.NoError(t, ended.announce(e.Addresses().Endpoints))
	time.Sleep(300 * time.Millisecond) // until the dispatcher has the announcement
	got := c.do(t.Context(), http.MethodPost, "moved", "body", "Cactusspar-Timeout-Ms", "500")
	require.NoError(t, got.err)
	require.Equal(t, "not-run", got.outcome)
	require.Empty(t, other.Runs().Runs())
}
