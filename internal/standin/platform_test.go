package standin

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

// Guards against a task that starts twice, or an instance that reboots twice, when
// a call is retried after its response was lost.
func TestRetryAfterLostResponseStartsOnce(t *testing.T) {
	downs := make(chan string, 100)
	p := NewPlatform(PlatformConfig{LostAnswers: 0.5, Seed: 7, RebootTime: time.Millisecond, Down: func(id string) { downs <- id }}, "w1")
	server := httptest.NewServer(p)
	defer server.Close()
	c := platform.NewClient(server.URL, nil)
	ctx := context.Background()
	for i := range 20 {
		id := string(rune('a' + i))
		retry(t, func() error { return c.Start(ctx, id, platform.StartTask{Instance: "w1", Lease: time.Minute}) })
	}
	for id, n := range p.Starts() {
		require.Equal(t, 1, n, "task %s", id)
	}
	require.Len(t, p.Starts(), 20)
	retry(t, func() error { return c.Reboot(ctx, "w1", "r1") })
	retry(t, func() error { return c.Reboot(ctx, "w1", "r1") })
	require.Equal(t, "w1", <-downs)
	require.Empty(t, downs)
}

func retry(t *testing.T, call func() error) {
	t.Helper()
	for range 50 {
		err := call()
		if err == nil {
			return
		}
		require.True(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	}
	t.Fatal("the call did not succeed within 50 attempts")
}

// Guards against tasks that continue after their lease has expired.
func TestTaskEndsWhenLeaseExpires(t *testing.T) {
	p := NewPlatform(PlatformConfig{}, "w1")
	server := httptest.NewServer(p)
	defer server.Close()
	c := platform.NewClient(server.URL, nil)
	ctx := context.Background()
	require.NoError(t, c.Start(ctx, "t1", platform.StartTask{Instance: "w1", Lease: 50 * time.Millisecond}))
	require.Eventually(t, func() bool {
		tasks, err := c.Tasks(ctx)
		return err == nil && tasks[0].Status == state.TaskEnded && tasks[0].Failed
	}, 2*time.Second, 10*time.Millisecond)
	require.NoError(t, c.Stop(ctx, "unknown"))
}
