package view

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
)

func key(id, secret string) state.Key {
	return state.Key{ID: id, Team: "shops", Hash: sha256.Sum256([]byte(secret))}
}

// TestViewIsImmutableAndMonotonic guards against a view that goes back to an older
// state or is modified in place.
func TestViewIsImmutableAndMonotonic(t *testing.T) {
	p := NewPublisher(nil)
	_, err := p.Confirm(time.Now(), &Delta{
		Index: 5, Full: true, Keys: []state.Key{key("k1", "s1")},
		Instances: []state.Instance{{ID: "w1"}, {ID: "w2"}},
	}, nil)
	require.NoError(t, err)
	old := p.Current()
	_, err = p.Confirm(time.Now(), &Delta{Index: 7, RemovedInstances: []string{"w1"}, Keys: []state.Key{key("k2", "s2")}}, nil)
	require.NoError(t, err)
	require.Contains(t, old.Instances, "w1")
	require.Len(t, p.Current().Instances, 1)

	var lower *LowerIndexError
	_, err = p.Confirm(time.Now(), &Delta{Index: 6, Full: true}, nil)
	require.ErrorAs(t, err, &lower)
	require.Equal(t, int64(1), p.RefusedDeltas())
	require.EqualValues(t, 7, p.Current().Index)
}

// TestKeys guards against a withdrawn or unknown key that is accepted.
func TestKeys(t *testing.T) {
	v, err := Empty().Advance(&Delta{Index: 1, Full: true, Keys: []state.Key{key("k1", "s1"), key("k2", "s2")}})
	require.NoError(t, err)
	k, ok := v.Key("s2")
	require.True(t, ok)
	require.Equal(t, "k2", k.ID)
	withdrawn := key("k2", "s2")
	withdrawn.WithdrawnAt = time.Unix(1, 0)
	v, err = v.Advance(&Delta{Index: 2, Keys: []state.Key{withdrawn}})
	require.NoError(t, err)
	_, ok = v.Key("s2")
	require.False(t, ok)
	require.False(t, v.KeyValid("k2"))
	require.True(t, v.KeyValid("k1"))
	_, ok = v.Key("")
	require.False(t, ok)
}

// TestFreshness guards against a confirmation that counts from the response to the
// renewal instead of from when it was sent, against a suspended goroutine that
// uses an old view with the confirmation of a newer one, and against a changed
// view that is published before it is installed.
func TestFreshness(t *testing.T) {
	now := time.Now()
	p := NewPublisher(func() time.Time { return now })
	require.False(t, p.Current().Fresh())
	sent := now
	now = now.Add(time.Second)
	first, err := p.Confirm(sent, &Delta{Index: 1, Full: true}, nil)
	require.NoError(t, err)
	require.True(t, first.Fresh())
	now = now.Add(FreshnessBound - time.Second)
	require.False(t, first.Fresh())

	second, err := p.Confirm(now, &Delta{Index: 1}, nil)
	require.NoError(t, err)
	require.True(t, second.Fresh())
	require.False(t, first.Fresh())
	require.Equal(t, first.FreshPeriod+1, second.FreshPeriod)

	third, err := p.Confirm(now, &Delta{Index: 1, Unregistered: true}, nil)
	require.NoError(t, err)
	require.False(t, third.Fresh())
	fourth, err := p.Confirm(now, &Delta{Index: 2}, func(v *View) {
		require.False(t, p.Current().Fresh(), "the view was published before it was installed")
	})
	require.NoError(t, err)
	require.Equal(t, second.FreshPeriod+1, fourth.FreshPeriod)
}
