package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seed returns the seed of a randomised test and prints it.
func seed(t testing.TB) uint64 {
	s := uint64(1)
	if text := os.Getenv("CACTUSSPAR_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		s = n
	}
	t.Logf("seed %d", s)
	return s
}

// sentRequest is a request with what its caller saw.
type sentRequest struct {
	id         string
	idempotent bool
	result
}

// ledger compares what callers saw with what the stand-ins ran.
type ledger struct {
	mu   sync.Mutex
	sent []sentRequest
}

func (l *ledger) add(r sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, r)
}

func (l *ledger) check(t testing.TB, standIns ...*standIn) map[string]int {
	t.Helper()
	outcomes := map[string]int{}
	for _, r := range l.sent {
		runs := 0
		for _, s := range standIns {
			runs += s.runs(r.id)
		}
		if !r.idempotent {
			require.LessOrEqual(t, runs, 1, "%s ran twice: %+v", r.id, r.result)
		}
		if r.err != nil {
			outcomes["cut"]++
			continue
		}
		outcomes[r.outcome]++
		switch r.outcome {
		case "answered":
			require.Equal(t, payload(r.id), r.body, "response of %s is not whole or belongs to another request", r.id)
			require.Positive(t, runs, r.id)
		case "not-run":
			require.Zero(t, runs, "%s was reported as not run: %+v", r.id, r.result)
		default:
			require.Equal(t, "unknown", r.outcome, "%+v", r)
		}
	}
	return outcomes
}

// startOne starts an instance with an endpoint and waits until it answers.
func startOne(t testing.TB) (*fakeControl, *instance, *standIn, *testCaller) {
	control := newFakeControl(t)
	control.giveKey("k1", "secret")
	e := startEntry(t, control, "e1")
	s := newStandIn(t, "w1", func() behaviour { return answers })
	s.keepAnnouncing(func() string { return e.Addresses().Endpoints })
	c := newCaller(t, e.Addresses().Callers, "secret")
	c.waitAnswered(t)
	return control, e, s, c
}

// Guards against every untrue outcome, with endpoints that misbehave at
// random: a "not run" that ran, a second run of a non-idempotent request, a
// response of another request, and a cut response that looks complete.
func TestOutcomesMatchWhatRan(t *testing.T) {
	t.Parallel()
	source := rand.New(rand.NewPCG(seed(t), 0))
	var mu sync.Mutex
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	control := newFakeControl(t)
	control.giveKey("k1", "secret")
	entries := []*instance{startEntry(t, control, "e1"), startEntry(t, control, "e2")}
	var standIns []*standIn
	for i := range 4 {
		s := newStandIn(t, fmt.Sprintf("w%d", i), func() behaviour { return answers })
		s.keepAnnouncing(func() string { return entries[i%2].Addresses().Endpoints })
		standIns = append(standIns, s)
	}
	for _, e := range entries {
		newCaller(t, e.Addresses().Callers, "secret").waitAnswered(t)
	}
	for _, s := range standIns {
		s.setChoice(func() behaviour {
			if random(3) > 0 {
				return answers
			}
			return behaviour(random(int(behaviours)))
		})
	}
	var l ledger
	var wg sync.WaitGroup
	for worker := range 12 {
		c := newCaller(t, entries[worker%2].Addresses().Callers, "secret")
		wg.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("r-%d-%d", worker, i)
				method, body := http.MethodGet, ""
				header := []string{"Cactusspar-Timeout-Ms", strconv.Itoa(300 + random(700))}
				if random(2) == 0 {
					method, body = http.MethodPost, strings.Repeat("b", random(100_000))
					if random(2) == 0 {
						header = append(header, "Idempotency-Key", id)
					}
				}
				r := c.do(context.Background(), method, id, body, header...)
				l.add(sentRequest{id, method == http.MethodGet, r})
			}
		})
	}
	wg.Wait()
	outcomes := l.check(t, standIns...)
	t.Logf("outcomes %v", outcomes)
	require.Greater(t, outcomes["answered"], 100)
	require.Positive(t, outcomes["unknown"])
	require.Positive(t, outcomes["cut"])
}

// Guards against a withdrawn key that still works after the freshness bound,
// at a connected and at an isolated instance, and for requests in a queue.
func TestWithdrawnKeyUnderLoad(t *testing.T) {
	t.Parallel()
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprintf("isolated=%v", isolated), func(t *testing.T) {
			t.Parallel()
			control, _, s, c := startOne(t)
			s.set(answersLate) // eight slots and twelve callers: some always wait
			var l ledger
			stop := l.load(c, 12, "l", http.MethodGet)
			time.Sleep(300 * time.Millisecond)
			control.setSilent("e1", isolated)
			control.withdrawKey("k1")
			withdrawn := time.Now()
			time.Sleep(2500 * time.Millisecond)
			stop()
			s.requireNoRunAfter(t, withdrawn.Add(2*time.Second))
		})
	}
}

// Guards against an isolated instance that accepts work or stays ready, on
// keyed and on open queues, and against one that doesn't recover.
func TestIsolatedInstance(t *testing.T) {
	t.Parallel()
	control, e, s, c := startOne(t)
	ready := func() int {
		response, err := http.Get("http://" + e.Addresses().Health + "/readyz")
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, ready())
	control.setSilent("e1", true)
	time.Sleep(1800 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, ready())
	for _, key := range []string{"secret", ""} {
		open := newCaller(t, e.Addresses().Callers, key)
		got := open.do(t.Context(), http.MethodGet, "isolated", "")
		require.Equal(t, "not-run", got.outcome)
		require.Equal(t, "isolated", got.code)
	}
	require.Zero(t, s.runs("isolated"))
	control.setSilent("e1", false)
	c.waitAnswered(t)
	require.Equal(t, http.StatusOK, ready())
}

// Guards against a planned stop that interrupts a request or leaves without
// telling the leader.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	control, e, s, c := startOne(t)
	s.set(answersWhenFreed)
	var l ledger
	var wg sync.WaitGroup
	for i := range 20 { // more than the slots: some wait for a ticket
		wg.Go(func() {
			id := fmt.Sprintf("s-%d", i)
			l.add(sentRequest{id, false, c.do(context.Background(), http.MethodPost, id, "body")})
		})
	}
	// A request that has not reached the instance may be refused.
	require.Eventually(t, func() bool { return e.callers.Running() == 20 }, 10*time.Second, time.Millisecond)
	wg.Go(e.stop)
	require.Eventually(t, e.stopping.Load, 10*time.Second, time.Millisecond)
	close(s.free)
	wg.Wait()
	require.Equal(t, map[string]int{"answered": 20}, l.check(t, s))
	require.Equal(t, []string{"e1"}, control.left)
}

// Guards against a request that waited for a ticket and is sent although its
// key was withdrawn, or its instance was isolated, meanwhile.
func TestQueuedRequestIsCheckedAgain(t *testing.T) {
	t.Parallel()
	for code, event := range map[string]func(c *fakeControl){
		"key-invalid": func(c *fakeControl) { c.withdrawKey("k1") },
		"isolated":    func(c *fakeControl) { c.setSilent("e2", true) },
	} {
		t.Run(code, func(t *testing.T) {
			t.Parallel()
			control := newFakeControl(t)
			control.hears = true // the dispatcher still counts the isolated instance as live
			control.giveKey("k1", "secret")
			control.giveKey("k2", "other")
			e1, e2 := startEntry(t, control, "e1"), startEntry(t, control, "e2")
			s := newStandIn(t, "w1", func() behaviour { return answers })
			s.slots = 1
			s.keepAnnouncing(func() string { return e1.Addresses().Endpoints })
			blocker, waiter := newCaller(t, e1.Addresses().Callers, "other"), newCaller(t, e2.Addresses().Callers, "secret")
			blocker.waitAnswered(t)
			waiter.waitAnswered(t)
			s.set(hangs)
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() { blocker.do(t.Context(), http.MethodGet, "blocker", "", "Cactusspar-Timeout-Ms", "4000") })
			require.Eventually(t, func() bool { return s.runs("blocker") == 1 }, time.Second, time.Millisecond)
			s.set(answers)
			got := make(chan result, 1)
			wg.Go(func() { got <- waiter.do(t.Context(), http.MethodPost, "waiter", "", "Cactusspar-Timeout-Ms", "6000") })
			time.Sleep(200 * time.Millisecond)
			event(control)
			time.Sleep(1600 * time.Millisecond)
			close(s.free)
			r := <-got
			require.NoError(t, r.err)
			require.Equal(t, "not-run", r.outcome)
			require.Equal(t, code, r.code)
			require.Zero(t, s.runs("waiter"))
		})
	}
}
