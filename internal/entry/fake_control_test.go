package entry

import (
	"context"
	"crypto/sha256"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const testRules = `
region coast                                   # Asha M., operations: the one region
datacentre dar-1 region=coast                  # Asha M., operations: hall A
pool quotes min=1 max=12 unavailable=1 period=35d # Asha M., operations: quotes must not wait
queue quotes pool=quotes access=keyed length=2000 # Juma K., sales: shops ask for quotes
queue status pool=quotes access=open length=500   # Juma K., sales: public status page
team shops share=40 limit=1000                 # Juma K., sales: contract
`

// entryExpiry is the time after which the leader treats an entry instance as lost.
const entryExpiry = view.FreshnessBound*11/10 + 500*time.Millisecond

// fakeControl answers renewals as the leader of the control replicas does.
type fakeControl struct {
	t    testing.TB
	addr string

	mu          sync.Mutex
	index       uint64
	keys        map[string]state.Key
	entries     map[string]state.Entry
	lastRenewal map[string]time.Time
	assignments map[string]state.Assignment
	instances   map[string]state.Instance
	// unanswered holds the entry instances whose messages get no response.
	unanswered map[string]bool
	// countsUnanswered makes unanswered renewals prove that the instance is live.
	countsUnanswered bool
	departed         []string
}

func newFakeControl(t testing.TB) *fakeControl {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &fakeControl{
		t: t, addr: ln.Addr().String(), index: 1, keys: map[string]state.Key{}, entries: map[string]state.Entry{},
		lastRenewal: map[string]time.Time{}, assignments: map[string]state.Assignment{},
		instances: map[string]state.Instance{}, unanswered: map[string]bool{},
	}
	s := &peer.Server{
		Identity: peer.Identity{Cluster: "test", Role: peer.RoleControl, ID: "c1"}, Handler: c,
		Log: logr.Discard(), Counters: &peer.Counters{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, ln) })
	wg.Go(func() { c.expireEntries(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return c
}

func (c *fakeControl) HandleOneWay(peer.Identity, string, []byte) {}

func (c *fakeControl) HandleRequest(ctx context.Context, from peer.Identity, method string, body []byte) (any, error) {
	var r view.RenewRequest
	if err := peer.Decode(body, &r); err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.unanswered[from.ID] {
		if c.countsUnanswered {
			c.lastRenewal[from.ID] = time.Now()
		}
		c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer c.mu.Unlock()
	if method == view.MethodLeave {
		c.departed = append(c.departed, from.ID)
		c.removeEntry(from.ID)
		return nil, nil
	}
	c.lastRenewal[from.ID] = time.Now()
	if old, ok := c.entries[from.ID]; !ok || old.Incarnation < r.Entry.Incarnation {
		c.entries[from.ID] = r.Entry
		c.index++
		c.assign()
		return &view.Delta{Index: r.Since, Unregistered: true}, nil
	}
	for _, i := range r.Instances {
		c.instances[i.ID] = i
		c.index++
	}
	if r.Since >= c.index {
		return &view.Delta{Index: c.index}, nil
	}
	return c.fullDelta(), nil
}

func (c *fakeControl) fullDelta() *view.Delta {
	d := &view.Delta{
		Index: c.index, Full: true, Config: &state.Config{Version: 1, Text: testRules},
		Keys: slices.Collect(maps.Values(c.keys)), Entries: slices.Collect(maps.Values(c.entries)),
		Assignments: slices.Collect(maps.Values(c.assignments)), Instances: slices.Collect(maps.Values(c.instances)),
	}
	for _, a := range c.assignments {
		d.Grants = append(d.Grants, state.Grant{Team: "shops", Pool: a.Pool, Epoch: a.Epoch, Amount: 500, Held: 500})
	}
	return d
}

// assign assigns the pool to the first live instance if its dispatcher is lost.
func (c *fakeControl) assign() {
	ids := slices.Sorted(maps.Keys(c.entries))
	a := c.assignments["quotes"]
	if _, ok := c.entries[a.Dispatcher]; !ok && len(ids) > 0 {
		c.assignments["quotes"] = state.Assignment{
			Pool: "quotes", Epoch: a.Epoch + 1, Dispatcher: ids[0], Backup: ids[len(ids)-1], Previous: a.Dispatcher,
		}
	}
}

func (c *fakeControl) removeEntry(id string) {
	delete(c.entries, id)
	delete(c.lastRenewal, id)
	c.index++
	c.assign()
}

func (c *fakeControl) expireEntries(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		for id, at := range c.lastRenewal {
			if time.Since(at) > entryExpiry {
				c.removeEntry(id)
			}
		}
		c.mu.Unlock()
	}
}

func (c *fakeControl) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.index++
}

func (c *fakeControl) addKey(id, secret string) {
	c.update(func() { c.keys[id] = state.Key{ID: id, Team: "shops", Hash: sha256.Sum256([]byte(secret))} })
}

func (c *fakeControl) withdrawKey(id string) {
	c.update(func() {
		k := c.keys[id]
		k.WithdrawnAt = time.Now()
		c.keys[id] = k
	})
}

func (c *fakeControl) setUnanswered(id string, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered[id] = unanswered
}
