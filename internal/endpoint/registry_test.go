package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/intake"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

// recordingForwarder is an AnnouncementForwarder that records announcements. It
// fails while fail is set.
type recordingForwarder struct {
	mu   sync.Mutex
	got  []dispatch.Announcement
	fail bool
}

func (r *recordingForwarder) Announce(_ context.Context, a dispatch.AnnounceBatch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fail {
		return errors.New("unreachable")
	}
	r.got = append(r.got, a.Items...)
	return nil
}

// removeAll returns the recorded announcements and removes them from the record.
func (r *recordingForwarder) removeAll() []dispatch.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	got := r.got
	r.got = nil
	return got
}

const rulesText = `
region coast                                     # Asha M., operations: the one region
datacentre dar-1 region=coast                    # Asha M., operations: hall A
pool quotes min=1 max=12 unavailable=1 period=35d # Asha M., operations: quotes must not wait
`

func startRegistry(t *testing.T) (*view.Publisher, *recordingForwarder, http.Handler, *AnnouncementRegistry) {
	views := view.NewPublisher(nil)
	_, err := views.Confirm(time.Now().Add(time.Hour), &view.Delta{
		Index: 1, Full: true, Config: &state.Config{Text: rulesText},
		Assignments: []state.Assignment{{Pool: "quotes", Epoch: 1, Dispatcher: "e1"}},
	}, nil)
	require.NoError(t, err)
	r := &recordingForwarder{}
	registry := NewAnnouncementRegistry(views, r)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { registry.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	metrics := telemetry.NewMetrics()
	in := intake.New(intake.Options{BodyBytes: 128 << 10, Log: logr.Discard(), Metrics: metrics})
	t.Cleanup(func() { require.Zero(t, in.Held(), "bytes of bodies were not given back") })
	return views, r, NewAnnouncementHandler(views, registry, in, metrics).HTTP().Handler, registry
}

func do(h http.Handler, method, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, "/v1/endpoints/w1", strings.NewReader(body)))
	return w
}

const announcement = `{"incarnation":1,"sequence":2,"pool":"quotes","addr":"127.0.0.1:9","slots":8,"running":0,` +
	`"data_centre":"dar-1","rack":"r1","milli_cpu":1,"memory_mb":1}`

// Guards against announcements that are lost when forwarding fails or when the
// dispatcher changes, and against a deregistration that waits for a batch.
func TestAnnouncementsReachDispatcher(t *testing.T) {
	views, r, handler, registry := startRegistry(t)
	r.fail = true
	require.Equal(t, http.StatusOK, do(handler, http.MethodPut, announcement).Code)
	time.Sleep(3 * batchInterval)
	r.mu.Lock()
	r.fail = false
	r.mu.Unlock()
	var got []dispatch.Announcement
	arrives := func() bool { got = r.removeAll(); return len(got) == 1 }
	require.Eventually(t, arrives, time.Second, time.Millisecond, "not forwarded again after a failure")
	require.GreaterOrEqual(t, got[0].Age, 2*batchInterval)

	_, err := views.Confirm(time.Now(), &view.Delta{Index: 2, Assignments: []state.Assignment{{Pool: "quotes", Epoch: 2}}}, nil)
	require.NoError(t, err)
	require.Eventually(t, arrives, time.Second, time.Millisecond, "not forwarded to the new dispatcher")

	require.Len(t, registry.Inventory(), 1)
	require.Equal(t, "coast", registry.Inventory()[0].Region)
	_, err = views.Confirm(time.Now(), &view.Delta{Index: 3, Instances: registry.Inventory()}, nil)
	require.NoError(t, err)
	require.Empty(t, registry.Inventory(), "reported again although it is in the view")

	require.Equal(t, http.StatusNoContent, do(handler, http.MethodDelete, "").Code)
	got = r.removeAll()
	require.Len(t, got, 1, "deregistration was not forwarded immediately")
	require.True(t, got[0].Leaving)
	require.Empty(t, registry.Inventory())
}

// Guards against a late announcement that registers an endpoint again after its
// deregistration, and against malformed announcements that change the registry.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	_, r, handler, registry := startRegistry(t)
	for name, c := range map[string]struct{ body, wantDetail string }{
		"unknown field": {strings.Replace(announcement, "{", `{"extra":1,`, 1), "extra"},
		"two values":    {announcement + announcement, "single"},
		"no pool":       {strings.Replace(announcement, `"quotes"`, `"none"`, 1), "pool"},
		"address":       {strings.Replace(announcement, "127.0.0.1:9", "localhost:9", 1), "addr"},
		"slots":         {strings.Replace(announcement, `"slots":8`, `"slots":0`, 1), "slots"},
		"other id":      {strings.Replace(announcement, "{", `{"id":"w2",`, 1), "id"},
		"too long":      {strings.Repeat(" ", maxAnnouncementBytes) + announcement, "at most"},
		"no sequence":   {strings.Replace(announcement, `"sequence":2`, `"sequence":0`, 1), "sequence"},
	} {
		w := do(handler, http.MethodPut, c.body)
		require.Equal(t, http.StatusBadRequest, w.Code, name)
		require.Contains(t, w.Body.String(), c.wantDetail, name)
	}
	require.Equal(t, http.StatusNotFound, do(handler, http.MethodDelete, "").Code)
	require.Empty(t, registry.announcements)

	require.Equal(t, http.StatusOK, do(handler, http.MethodPut, announcement).Code)
	require.Equal(t, http.StatusNoContent, do(handler, http.MethodDelete, "").Code)
	r.removeAll()
	require.Equal(t, http.StatusConflict, do(handler, http.MethodPut, announcement).Code)
	time.Sleep(2 * batchInterval)
	for _, a := range r.removeAll() { // the deregistration may be repeated
		require.True(t, a.Leaving, "late announcement registered the endpoint again")
	}
}
