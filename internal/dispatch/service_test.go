package dispatch

import (
	"cactusspar/internal/state"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slot that is given twice or not given back.
func TestAcquireAndRelease(t *testing.T) {
	s := NewService(Options{Entry: "e1", Incarnation: 1, Fresh: func() bool { return true }})
	s.Update(Snapshot{Assignments: map[string]state.Assignment{"p": {Pool: "p", Epoch: 1, Dispatcher: "e1"}}})
	s.Announce(Announce{Pool: "p", Items: []Announcement{{ID: "w1", Pool: "p", Slots: 1, Addr: "a"}}})
	a := Acquire{Request: "r", Pool: "p", Remaining: 20 * time.Millisecond}
	got, err := s.Acquire(context.Background(), "e2", a)
	require.NoError(t, err)
	_, err = s.Acquire(context.Background(), "e2", a)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	s.Release("e2", Release{Ticket: got.ID, Pool: "p"})
	_, err = s.Acquire(context.Background(), "e2", a)
	require.NoError(t, err)
}
