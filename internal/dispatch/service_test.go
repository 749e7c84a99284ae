package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// network implements Peers between services, by entry id.
type network struct {
	mu       sync.Mutex
	services map[string]*Service
	tickets  map[string][]HeldTicket
	copies   int
}

func (n *network) find(id string) (*Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.services[id]; s != nil {
		return s, nil
	}
	return nil, errors.New("not reachable")
}

func (n *network) Held(_ context.Context, id string, q HeldQuery) (HeldResponse, error) {
	s, err := n.find(id)
	if err != nil {
		return HeldResponse{}, err
	}
	h := s.Held(q)
	if q.From == 0 {
		n.mu.Lock()
		h.Tickets = n.tickets[id]
		n.mu.Unlock()
	}
	return h, nil
}

func (n *network) Copy(_ context.Context, id string, c RecordCopy) error {
	s, err := n.find(id)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.copies++
	n.mu.Unlock()
	return s.Copy(c)
}

// start adds a service that is closed at the end of the test.
func (n *network) start(t testing.TB, id string) *Service {
	s := NewService(Options{Entry: id, Incarnation: 1, Fresh: func() bool { return true }, Peers: n})
	n.mu.Lock()
	n.services[id] = s
	n.mu.Unlock()
	t.Cleanup(func() { s.Close(context.Background()) })
	return s
}

func newNetwork() *network {
	return &network{services: map[string]*Service{}, tickets: map[string][]HeldTicket{}}
}

// snapshot returns a view with a pool "p" of some instances with 8 slots.
func snapshot(epoch uint64, dispatcher, backup, previous string, workers int) Snapshot {
	s := Snapshot{
		Assignments: map[string]state.Assignment{"p": {Pool: "p", Epoch: epoch, Dispatcher: dispatcher, Backup: backup, Previous: previous}},
		Rules: &rules.Rules{
			Pools:  map[string]rules.Pool{"p": {Name: "p", Slots: 8, Connections: 64}},
			Queues: map[string]rules.Queue{"q": {Name: "q", Pool: "p", Length: 1000}},
			Teams:  map[string]rules.Team{"t": {Name: "t", Share: 1, Limit: 100}},
		},
		Grants:    []state.Grant{{Team: "t", Pool: "p", Epoch: epoch, Amount: 100}},
		Instances: map[string]state.Instance{},
		Entries:   map[string]state.Entry{dispatcher: {ID: dispatcher}},
	}
	if backup != "" {
		s.Entries[backup] = state.Entry{ID: backup}
	}
	for i := range workers {
		id := fmt.Sprint("w", i)
		s.Instances[id] = state.Instance{ID: id, Pool: "p", PoolEpoch: 1, Condition: state.Active}
	}
	return s
}

func announcements(workers int) AnnounceBatch {
	a := AnnounceBatch{Pool: "p"}
	for i := range workers {
		a.Items = append(a.Items, Announcement{ID: fmt.Sprint("w", i), Incarnation: 1, Sequence: 1, Pool: "p", PoolEpoch: 1, Addr: "a", Slots: 8})
	}
	return a
}

func acquire(request, key string) AcquireRequest {
	return AcquireRequest{Request: request, Pool: "p", Queue: "q", Team: "t", Remaining: 5 * time.Second, Key: key, Idempotent: key == ""}
}

func requireCode(t testing.TB, code string, err error) {
	t.Helper()
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, code, refusal.Code)
	require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
}

// Guards against a slot that is issued twice or never freed, and against a ticket
// that stays in use after its request was withdrawn.
func TestServiceSlots(t *testing.T) {
	n := newNetwork()
	s := n.start(t, "e1")
	s.Update(snapshot(1, "e1", "", "", 1))
	s.Announce(announcements(1))
	var tickets []Ticket
	for i := range 8 {
		got, err := s.Acquire(context.Background(), "e2", acquire(fmt.Sprint(i), ""))
		require.NoError(t, err)
		tickets = append(tickets, got)
	}
	a := acquire("late", "")
	a.Remaining = 30 * time.Millisecond
	_, err := s.Acquire(context.Background(), "e2", a)
	requireCode(t, CodeExpired, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = s.Acquire(ctx, "e2", acquire("withdrawn", ""))
	requireCode(t, CodeExpired, err)
	for range 2 {
		s.Release("e2", ReleaseRequest{Ticket: tickets[0].ID, Pool: "p", Epoch: 1, Outcome: OutcomeAnswered})
	}
	_, err = s.Acquire(context.Background(), "e2", acquire("next", ""))
	require.NoError(t, err)
	// The measured service time is now longer than the time left.
	_, err = s.Acquire(context.Background(), "e2", a)
	requireCode(t, CodeDeadline, err)
	require.Equal(t, 8, s.Demand()[0].Running)
}

// Guards against a second run of an identity after its dispatcher was lost or
// replaced, and against a replaced dispatcher that still issues tickets.
func TestServiceTakeover(t *testing.T) {
	n := newNetwork()
	s1, s2 := n.start(t, "e1"), n.start(t, "e2")
	first := snapshot(1, "e1", "e2", "", 2)
	s1.Update(first)
	s2.Update(first)
	s1.Announce(announcements(2))
	running, err := s1.Acquire(context.Background(), "e2", acquire("r1", "k1"))
	require.NoError(t, err)
	ended, err := s1.Acquire(context.Background(), "e2", acquire("r2", "k2"))
	require.NoError(t, err)
	s1.Release("e2", ReleaseRequest{Ticket: ended.ID, Pool: "p", Epoch: 1, Outcome: OutcomeAnswered, Status: 201})
	time.Sleep(3 * copyHeartbeat) // the backup gets the results and a proof of completeness
	n.mu.Lock()
	delete(n.services, "e1")
	n.tickets["e2"] = []HeldTicket{{Ticket: running, Team: "t", Request: "r1"}}
	n.mu.Unlock()

	second := snapshot(2, "e2", "e1", "e1", 2)
	delete(second.Entries, "e1")
	s2.Update(second)
	s2.Announce(announcements(2))
	_, err = s2.Acquire(context.Background(), "e2", acquire("r3", "k1"))
	requireCode(t, CodeDuplicateRunning, err)
	_, err = s2.Acquire(context.Background(), "e2", acquire("r4", "k2"))
	requireCode(t, CodeDuplicateAnswered, err)
	_, err = s2.Acquire(context.Background(), "e2", acquire("r5", "k3"))
	require.NoError(t, err)

	s1.Held(HeldQuery{Pool: "p", Epoch: 2})
	_, err = s1.Acquire(context.Background(), "e2", acquire("r6", ""))
	requireCode(t, CodeNotDispatcher, err)
	s1.Update(first) // an outdated view must not restart the pool
	_, err = s1.Acquire(context.Background(), "e2", acquire("r7", ""))
	requireCode(t, CodeNotDispatcher, err)
}

// Guards against data races and lost responses while pools move and callers withdraw.
func TestServiceConcurrently(t *testing.T) {
	n := newNetwork()
	services := []*Service{n.start(t, "e1"), n.start(t, "e2")}
	var wg conc.WaitGroup
	stop := make(chan struct{})
	for c := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := services[i%2]
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%5+1)*time.Millisecond)
				key := ""
				if i%3 == 0 {
					key = fmt.Sprint(c, i)
				}
				got, err := s.Acquire(ctx, "e1", acquire(fmt.Sprint(c, "-", i), key))
				cancel()
				if err == nil {
					s.Release("e1", ReleaseRequest{Ticket: got.ID, Pool: "p", Epoch: got.Epoch, Outcome: OutcomeAnswered})
				}
			}
		})
	}
	for epoch := uint64(1); epoch <= 10; epoch++ {
		names := []string{"e1", "e2"}
		d, b := names[epoch/3%2], names[(epoch/3+1)%2]
		for _, s := range services {
			s.Update(snapshot(epoch, d, b, "", 3))
			s.Announce(announcements(3))
			s.Demand()
			s.Drained()
			s.LostAndReturned()
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	require.Eventually(t, func() bool {
		running := 0
		for _, s := range services {
			for _, d := range s.Demand() {
				running += d.Running + d.Waiting
			}
		}
		return running == 0
	}, 5*time.Second, 10*time.Millisecond)
}
