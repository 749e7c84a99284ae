package intake

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// body is a body whose client sends nothing further.
type stalledBody struct {
	*Holding
	interrupted chan struct{}
}

// open opens a body that holds n bytes. It is closed when it is interrupted, as its reader does.
func open(t *testing.T, b *Budget, n int64) *stalledBody {
	t.Helper()
	s := &stalledBody{interrupted: make(chan struct{})}
	s.Holding = b.Open(sync.OnceFunc(func() { close(s.interrupted) }))
	require.NoError(t, s.Grow(n))
	go func() {
		<-s.interrupted
		s.Close()
	}()
	return s
}

func (s *stalledBody) gaveWay() bool {
	select {
	case <-s.interrupted:
		return true
	default:
		return false
	}
}

const testLimit = 8 * smallBytes

// Guards against a body that makes progress giving way before one that waits longer.
func TestLongestWithoutProgressGivesWay(t *testing.T) {
	b := NewBudget(testLimit)
	var small []*stalledBody
	for range 8 {
		small = append(small, open(t, b, smallBytes/2))
	}
	for range 7 {
		small = append(small, open(t, b, smallBytes/2))
	}
	require.NoError(t, small[0].Grow(smallBytes/2), "the oldest makes progress")
	require.Equal(t, int64(testLimit), b.Held())
	open(t, b, smallBytes/2)
	require.True(t, small[1].gaveWay())
	require.False(t, small[0].gaveWay())
	require.False(t, small[2].gaveWay())
	require.ErrorIs(t, small[1].Grow(1), ErrGaveWay)
	require.ErrorIs(t, small[1].Complete(), ErrGaveWay)
}

// Guards against large bodies that keep out small ones.
func TestLargeBodiesGiveWayToSmallOnes(t *testing.T) {
	b := NewBudget(testLimit)
	first := open(t, b, 2*smallBytes)
	second := open(t, b, 2*smallBytes)
	var small []*stalledBody
	for range 16 {
		small = append(small, open(t, b, smallBytes/2))
	}
	require.True(t, first.gaveWay())
	require.True(t, second.gaveWay())
	for _, s := range small {
		require.False(t, s.gaveWay())
		require.NoError(t, s.Complete())
	}
}

// Guards against complete bodies that are refused later, and against small bodies without room.
func TestCompleteBodiesDoNotGiveWay(t *testing.T) {
	b := NewBudget(testLimit)
	var large []*stalledBody
	for range 3 {
		s := open(t, b, 2*smallBytes)
		require.NoError(t, s.Complete())
		large = append(large, s)
	}
	arriving := open(t, b, smallBytes)
	require.ErrorIs(t, arriving.Grow(4*smallBytes), ErrExhausted)
	require.NoError(t, open(t, b, smallBytes).Complete())
	for _, s := range large {
		require.False(t, s.gaveWay())
	}
}

// Guards against a large body that fails although its share of the budget is only taken by
// bodies that are about to give it back.
func TestLargeBodyTakesThePlaceOfLargeOnes(t *testing.T) {
	b := NewBudget(testLimit)
	stalled := open(t, b, b.MaxBody())
	taken := open(t, b, 6*smallBytes)
	require.True(t, stalled.gaveWay())
	require.False(t, taken.gaveWay())
	require.NoError(t, taken.Complete())
}

func TestBodyBeyondTheBudgetFails(t *testing.T) {
	b := NewBudget(testLimit)
	h := b.Open(func() {})
	require.ErrorIs(t, h.Grow(b.MaxBody()+1), ErrExhausted)
	h.Close()
	require.Zero(t, b.Held())
}

// Guards against a small body that is refused while complete ones are handled.
func TestSmallBodyWaitsForCompleteOnes(t *testing.T) {
	b := NewBudget(testLimit)
	var all []*stalledBody
	for range 8 {
		s := open(t, b, smallBytes)
		require.NoError(t, s.Complete())
		all = append(all, s)
	}
	done := make(chan error, 1)
	late := b.Open(func() {})
	go func() { done <- late.Grow(smallBytes) }()
	select {
	case err := <-done:
		t.Fatalf("a body got %v without room", err)
	case <-time.After(20 * time.Millisecond):
	}
	all[0].Close()
	require.NoError(t, <-done)
}

// Guards against bytes that are given back twice or not at all.
func TestBudgetIsGivenBack(t *testing.T) {
	b := NewBudget(testLimit)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for j := range 200 {
				interrupted := make(chan struct{})
				h := b.Open(sync.OnceFunc(func() { close(interrupted) }))
				err := h.Grow(1 << 10)
				for k := 0; err == nil && k < (i+j)%8; k++ {
					err = h.Grow(smallBytes)
				}
				switch {
				case err == nil && j%2 == 0:
					_ = h.Complete()
				case err == nil && j%7 == 0:
					select {
					case <-interrupted:
					case <-time.After(time.Millisecond):
					}
				}
				h.Close()
				h.Close()
			}
		})
	}
	wg.Wait()
	require.Zero(t, b.Held())
	require.Equal(t, total{}, b.held)
	require.Equal(t, total{}, b.leaving)
	require.Nil(t, b.small.front())
	require.Nil(t, b.large.front())
}
