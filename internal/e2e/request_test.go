package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const twoPoolRules = `region coast                                     # Asha M., operations: the one region
datacentre dc-1 region=coast                     # Asha M., operations: hall A
datacentre dc-2 region=coast                     # Asha M., operations: hall B
datacentre dc-3 region=coast                     # Asha M., operations: hall C
datacentre dc-4 region=coast                     # Asha M., operations: hall D
pool quotes min=2 max=12 unavailable=1 period=35d # Asha M., operations: quotes must not wait
pool portal min=2 max=12 unavailable=1 period=35d # Asha M., operations: status pages
queue quotes pool=quotes access=keyed length=500 # Juma K., sales: shops ask for quotes
queue status pool=portal access=open length=500  # Juma K., sales: public status page
team shops share=40 limit=20                     # Juma K., sales: contract
team agents share=20 limit=5                     # Juma K., sales: contract
`

// Guards against faults between processes that tests within one process miss: the
// operator's rules must reach every entry instance, a request with a key must get a
// complete response, and one without a valid key must be refused as not run.
func TestRequestIsServedAcrossProcesses(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.apply(twoPoolRules)
	c.issueKey("shops")
	c.startEndpoints("quotes", 3)
	c.startEndpoints("portal", 2)
	c.waitReady()
	c.waitAnswered("quotes", "shops")
	c.waitAnswered("status", "")
	for _, e := range c.entries {
		r, err := c.send(e, http.MethodPost, "/q/quotes/order?size=5", "shops", "Idempotency-Key", "order-"+e.name)
		require.NoError(t, err)
		require.Equal(t, response{status: 200, outcome: "answered", body: "n.n.n"}, r)

		r, err = c.send(e, http.MethodGet, "/q/quotes/x", "")
		require.NoError(t, err)
		require.Equal(t, "not-run", r.outcome, r.body)
		require.Equal(t, http.StatusUnauthorized, r.status)
		require.NotEmpty(t, r.code)
	}
	r, err := c.send(c.entries[1], http.MethodPost, "/q/quotes/order?size=5", "shops", "Idempotency-Key", "order-entry-0")
	require.NoError(t, err)
	require.NotEqual(t, "not-run", r.outcome, "a resend of a request that ran was refused as not run: %s", r.body)
	require.Contains(t, r.code, "duplicate")
	c.stopAll()
}

// Guards against an entry instance that still accepts a key 2 s after its withdrawal.
func TestWithdrawnKeyIsRefusedWithinTwoSeconds(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.apply(twoPoolRules)
	c.issueKey("shops")
	c.startEndpoints("quotes", 2)
	c.waitReady()
	c.waitAnswered("quotes", "shops")
	_, err := c.client.WithdrawKey(context.Background(), "shops-1")
	require.NoError(t, err)
	withdrawnAt := time.Now()
	for _, e := range c.entries {
		c.eventually(2*time.Second-time.Since(withdrawnAt), "the key is refused by "+e.name, func() bool {
			r, err := c.send(e, http.MethodGet, "/q/quotes/x", "shops")
			return err == nil && r.outcome == "not-run" && r.status == http.StatusUnauthorized
		})
	}
	t.Logf("refused by all entry instances %v after the withdrawal was accepted", time.Since(withdrawnAt))
}

// stopAll stops every process and fails the test unless all exit cleanly.
func (c *cluster) stopAll() {
	c.t.Helper()
	for _, p := range c.endpointProcesses {
		p.stop()
	}
	for _, e := range c.entries {
		e.stop()
	}
	for _, r := range c.controls {
		r.stop()
	}
}
