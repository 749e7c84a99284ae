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

// testSeed returns the seed of a randomised test and logs it.
func testSeed(t testing.TB) uint64 {
	s := uint64(1)
	if text := os.Getenv("CACTUSSPAR_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		s = n
	}
	t.Logf("seed %d", s)
	return s
}

// sentRequest is a request with the result that its caller saw.
type sentRequest struct {
	id         string
	idempotent bool
	result
}

// requestLog records the requests of a test, to compare the outcomes that callers
// saw with what the endpoints ran.
type requestLog struct {
	mu   sync.Mutex
	sent []sentRequest
}

func (l *requestLog) add(r sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, r)
}

func (l *requestLog) check(t testing.TB, endpoints ...*fakeEndpoint) map[string]int {
	t.Helper()
	outcomes := map[string]int{}
	for _, r := range l.sent {
		runs := 0
		for _, ep := range endpoints {
			runs += ep.runs(r.id)
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
			require.Equal(t, payload(r.id), r.body, "response of %s is incomplete or belongs to another request", r.id)
			require.Positive(t, runs, r.id)
		case "not-run":
			require.Zero(t, runs, "%s was reported as not run: %+v", r.id, r.result)
		default:
			require.Equal(t, "unknown", r.outcome, "%+v", r)
		}
	}
	return outcomes
}

// startWithEndpoint starts an instance with one endpoint and waits until requests
// are answered.
func startWithEndpoint(t testing.TB) (*fakeControl, *instance, *fakeEndpoint, *testCaller) {
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	e := startEntry(t, control, "e1")
	ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ep.keepAnnouncing(func() string { return e.Addresses().Endpoints })
	c := newCaller(t, e.Addresses().Callers, "secret")
	c.waitAnswered(t)
	return control, e, ep, c
}

// Guards against wrong outcomes with endpoints that misbehave at random: a request
// reported as not run that ran, a second run of a non-idempotent request, a response
// of another request, and a truncated response that looks complete.
func TestOutcomesMatchRuns(t *testing.T) {
	t.Parallel()
	source := rand.New(rand.NewPCG(testSeed(t), 0))
	var mu sync.Mutex
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	entries := []*instance{startEntry(t, control, "e1"), startEntry(t, control, "e2")}
	var endpoints []*fakeEndpoint
	for i := range 4 {
		ep := newFakeEndpoint(t, fmt.Sprintf("w%d", i), func() behaviour { return answers })
		ep.keepAnnouncing(func() string { return entries[i%2].Addresses().Endpoints })
		endpoints = append(endpoints, ep)
	}
	for _, e := range entries {
		newCaller(t, e.Addresses().Callers, "secret").waitAnswered(t)
	}
	for _, ep := range endpoints {
		ep.setBehaviourFunc(func() behaviour {
			if random(3) > 0 {
				return answers
			}
			return behaviour(random(int(randomBehaviours)))
		})
	}
	var l requestLog
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
	outcomes := l.check(t, endpoints...)
	t.Logf("outcomes %v", outcomes)
	require.Greater(t, outcomes["answered"], 100)
	require.Positive(t, outcomes["unknown"])
	require.Positive(t, outcomes["cut"])
}

// Guards against a withdrawn key that still works after the freshness bound, at a
// connected and at an isolated instance, with requests that wait in the queue.
func TestWithdrawnKeyUnderLoad(t *testing.T) {
	t.Parallel()
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprintf("isolated=%v", isolated), func(t *testing.T) {
			t.Parallel()
			control, _, ep, c := startWithEndpoint(t)
			ep.setBehaviour(answersSlowly) // 8 slots for 12 callers: some requests always wait
			var l requestLog
			stop := l.sendUntilStopped(c, 12, "l", http.MethodGet)
			time.Sleep(300 * time.Millisecond)
			control.setUnanswered("e1", isolated)
			control.withdrawKey("k1")
			withdrawn := time.Now()
			time.Sleep(2500 * time.Millisecond)
			stop()
			ep.requireNoRunAfter(t, withdrawn.Add(2*time.Second))
		})
	}
}

// Guards against an isolated instance that accepts requests, with or without a
// key, or that reports itself as ready, and against one that does not recover.
func TestIsolatedInstance(t *testing.T) {
	t.Parallel()
	control, e, ep, c := startWithEndpoint(t)
	ready := func() int {
		response, err := http.Get("http://" + e.Addresses().Health + "/readyz")
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, ready())
	control.setUnanswered("e1", true)
	time.Sleep(1800 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, ready())
	for _, key := range []string{"secret", ""} {
		open := newCaller(t, e.Addresses().Callers, key)
		got := open.do(t.Context(), http.MethodGet, "isolated", "")
		require.Equal(t, "not-run", got.outcome)
		require.Equal(t, "isolated", got.code)
	}
	require.Zero(t, ep.runs("isolated"))
	control.setUnanswered("e1", false)
	c.waitAnswered(t)
	require.Equal(t, http.StatusOK, ready())
}

// Guards against a planned stop that interrupts a request or that sends no leave
// message to the leader.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	control, e, ep, c := startWithEndpoint(t)
	ep.setBehaviour(answersOnRelease)
	var l requestLog
	var wg sync.WaitGroup
	for i := range 20 { // more than there are slots: some wait for a ticket
		wg.Go(func() {
			id := fmt.Sprintf("s-%d", i)
			l.add(sentRequest{id, false, c.do(context.Background(), http.MethodPost, id, "body")})
		})
	}
	// Requests that arrive after the stop began may be refused.
	require.Eventually(t, func() bool { return e.callers.Running() == 20 }, 10*time.Second, time.Millisecond)
	wg.Go(e.stop)
	require.Eventually(t, e.stopping.Load, 10*time.Second, time.Millisecond)
	close(ep.released)
	wg.Wait()
	require.Equal(t, map[string]int{"answered": 20}, l.check(t, ep))
	require.Equal(t, []string{"e1"}, control.departed)
}

// Guards against sending a request whose key was withdrawn, or whose instance
// became isolated, while it waited for a ticket.
func TestQueuedRequestIsRecheckedBeforeSend(t *testing.T) {
	t.Parallel()
	for code, event := range map[string]func(c *fakeControl){
		"key-invalid": func(c *fakeControl) { c.withdrawKey("k1") },
		"isolated":    func(c *fakeControl) { c.setUnanswered("e2", true) },
	} {
		t.Run(code, func(t *testing.T) {
			t.Parallel()
			control := newFakeControl(t)
			control.countsUnanswered = true // the dispatcher still counts the isolated instance as live
			control.addKey("k1", "secret")
			control.addKey("k2", "other")
			e1, e2 := startEntry(t, control, "e1"), startEntry(t, control, "e2")
			ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
			ep.slots = 1
			ep.keepAnnouncing(func() string { return e1.Addresses().Endpoints })
			blocker, waiter := newCaller(t, e1.Addresses().Callers, "other"), newCaller(t, e2.Addresses().Callers, "secret")
			blocker.waitAnswered(t)
			waiter.waitAnswered(t)
			ep.setBehaviour(hangs)
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() { blocker.do(t.Context(), http.MethodGet, "blocker", "", "Cactusspar-Timeout-Ms", "4000") })
			require.Eventually(t, func() bool { return ep.runs("blocker") == 1 }, time.Second, time.Millisecond)
			ep.setBehaviour(answers)
			got := make(chan result, 1)
			wg.Go(func() { got <- waiter.do(t.Context(), http.MethodPost, "waiter", "", "Cactusspar-Timeout-Ms", "6000") })
			time.Sleep(200 * time.Millisecond)
			event(control)
			time.Sleep(1600 * time.Millisecond)
			close(ep.released)
			r := <-got
			require.NoError(t, r.err)
			require.Equal(t, "not-run", r.outcome)
			require.Equal(t, code, r.code)
			require.Zero(t, ep.runs("waiter"))
		})
	}
}
