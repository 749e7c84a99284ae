package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/peer"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// recorder is a set of workers that records the calls that reach it.
type recorder struct {
	mu     sync.Mutex
	starts []executor.Start
	polls  int
	// deadline is that of the last call, cancelled the number of calls that were cancelled
	// before it.
	deadline  time.Time
	cancelled int
	// unreachable workers give no response until the call is cancelled.
	unreachable map[string]bool
	refuse      *executor.RefusedError
	// list is the response to polls if its Clock is set.
	list executor.PollResponse
}

func (r *recorder) wait(ctx context.Context, worker string) error {
	r.mu.Lock()
	unreachable := r.unreachable[worker]
	r.deadline, _ = ctx.Deadline()
	r.mu.Unlock()
	if !unreachable {
		return nil
	}
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		r.mu.Lock()
		r.cancelled++
		r.mu.Unlock()
	}
	return ctx.Err()
}

func (r *recorder) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	if err := r.wait(ctx, t.ID); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	if r.refuse != nil {
		return 0, r.refuse
	}
	return 4711, nil
}

func (r *recorder) Stop(ctx context.Context, t executor.Target, _ executor.Stop) error {
	return r.wait(ctx, t.ID)
}

func (r *recorder) Pace(ctx context.Context, t executor.Target, _ executor.Pace) error {
	return r.wait(ctx, t.ID)
}

func (r *recorder) Poll(ctx context.Context, t executor.Target, _ executor.Poll) (executor.PollResponse, error) {
	if err := r.wait(ctx, t.ID); err != nil {
		return executor.PollResponse{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls++
	if r.list.Clock != 0 {
		return r.list, nil
	}
	return executor.PollResponse{
		Clock: 4711, Incarnation: 3, Complete: true,
		Running: []executor.Running{{Task: testTask, Run: 2, Checkpoint: "c", Percent: 40, Load: 7}},
		Ended:   []workload.RunEnd{{Sequence: 9, Task: testTask, Run: 1, Outcome: workload.Succeeded}},
	}, nil
}

func (r *recorder) started() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

var testTask = workload.TaskID{Job: "00000000000000aa", Occurrence: 1, Step: 2, Index: 3}

// network connects clients and servers by their addresses. Messages pass the codec.
type network struct {
	t       *testing.T
	mu      sync.Mutex
	clients map[string]*testClient
	servers map[string]*Server
	// down are the addresses that nothing reaches; nothing reaches others from them.
	down map[string]bool
	// batches is the number of batches of orders with calls.
	batches int
	// held is the time for which messages with calls or results are held up.
	held time.Duration
	// onReports is set before the first client is added.
	onReports func([]Report, []time.Duration)
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, clients: map[string]*testClient{}, servers: map[string]*Server{}, down: map[string]bool{}}
}

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

// hold holds up all further messages with calls or results.
func (n *network) hold(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = d
}

func (n *network) sender(from string) SendFunc {
	return func(_ context.Context, to, method string, message any) error {
		body, err := msgpack.Marshal(message)
		require.NoError(n.t, err)
		n.mu.Lock()
		server, client, down, held := n.servers[to], n.clients[to], n.down[from] || n.down[to], n.held
		n.mu.Unlock()
		if carriesCalls(message) {
			time.Sleep(held)
		}
		if down {
			return nil // like a connection through which nothing passes
		}
		switch method {
		case MethodOrders:
			orders := new(Orders)
			require.NoError(n.t, peer.Decode(body, orders))
			n.countBatch(orders)
			server.HandleOrders(orders)
		case MethodResults:
			results := new(Results)
			require.NoError(n.t, peer.Decode(body, results))
			client.HandleResults(results)
		}
		return nil
	}
}

func carriesCalls(message any) bool {
	switch m := message.(type) {
	case *Orders:
		return len(m.Calls) > 0
	case *Results:
		return len(m.Results) > 0
	}
	return false
}

func (n *network) countBatch(o *Orders) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(o.Calls) > 0 {
		n.batches++
	}
}

func (n *network) addServer(address string, w executor.Workers) *Server {
	s := NewServer(ServerOptions{Workers: w, Send: n.sender(address), Self: address, Metrics: telemetry.NewMetrics()})
	n.mu.Lock()
	n.servers[address] = s
	n.mu.Unlock()
	n.t.Cleanup(s.Close)
	return s
}

// addClient starts a leader that uses the servers in the network as carriers.
func (n *network) addClient(address string, term uint64, direct executor.Workers, carriers ...string) *testClient {
	c := &testClient{NewClient(ClientOptions{Direct: direct, Send: n.sender(address), Self: address, OnReports: n.onReports, Post: func(_ uint64, f func()) { f() }, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})}
	n.mu.Lock()
	n.clients[address] = c
	n.mu.Unlock()
	c.Begin(term)
	ctx, cancel := context.WithCancel(context.Background())
	var ticking sync.WaitGroup
	ticking.Go(func() {
		for ctx.Err() == nil {
			c.Tick(boottime.Now(), append([]string{address}, carriers...))
			time.Sleep(5 * time.Millisecond)
		}
	})
	n.t.Cleanup(func() {
		cancel()
		ticking.Wait()
		c.Close()
	})
	return c
}

// testClient waits for the response of each call.
type testClient struct{ *Client }

func (c *testClient) call(ctx context.Context, call Call) Response {
	deadline, _ := ctx.Deadline()
	responses := make(chan Response, 1)
	c.Do(call, boottime.Now(), time.Until(deadline), func(r Response) { responses <- r })
	return <-responses
}

func (c *testClient) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	r := c.call(ctx, Call{Target: t, Start: &s})
	return r.Clock, r.Err
}

func (c *testClient) Stop(ctx context.Context, t executor.Target, s executor.Stop) error {
	return c.call(ctx, Call{Target: t, Stop: &s}).Err
}

func (c *testClient) Pace(ctx context.Context, t executor.Target, p executor.Pace) error {
	return c.call(ctx, Call{Target: t, Pace: &p}).Err
}

func (c *testClient) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	r := c.call(ctx, Call{Target: t, Poll: &p})
	return r.Poll, r.Err
}

func (c *testClient) waitAvailable(t *testing.T, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n := 0
		for _, r := range c.carriers {
			if r.available {
				n++
			}
		}
		return n == want
	}, 5*time.Second, time.Millisecond)
}

func callContext(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsAreCarried(t *testing.T) {
	n := newNetwork(t)
	remote, direct := &recorder{}, &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, direct, "b")
	c.waitAvailable(t, 1)
	ctx := callContext(t, 5*time.Second)
	start := executor.Start{Task: testTask, Run: 2, Spec: "spec", Lease: 99, Fence: 7 << 12, Checkpoint: "c", Ticket: "k"}
	clock, err := c.Start(ctx, executor.Target{ID: "w", Address: "w:1"}, start)
	require.NoError(t, err)
	require.EqualValues(t, 4711, clock)
	require.Equal(t, []executor.Start{start}, remote.starts)
	response, err := c.Poll(ctx, executor.Target{ID: "w", Address: "w:1"}, executor.Poll{Fence: 7 << 12})
	require.NoError(t, err)
	want, err := direct.Poll(ctx, executor.Target{}, executor.Poll{})
	require.NoError(t, err)
	require.Less(t, response.Age, 5*time.Second)
	response.Age = 0
	require.Equal(t, want, response)
	require.NoError(t, c.Stop(ctx, executor.Target{ID: "w"}, executor.Stop{Task: testTask}))
	require.NoError(t, c.Pace(ctx, executor.Target{ID: "w"}, executor.Pace{Task: testTask}))
	require.Zero(t, direct.started())
}

func TestRefusalIsReturned(t *testing.T) {
	n := newNetwork(t)
	n.addServer("b", &recorder{refuse: &executor.RefusedError{Reason: executor.NoRoom, Clock: 12}})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	_, err := c.Start(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	var refused *executor.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, executor.RefusedError{Reason: executor.NoRoom, Clock: 12}, *refused)
}

// A carrier that was suspended after it received an order must not carry it out later:
// the leader may have ordered the task elsewhere by then.
func TestLateCallIsNotCarriedOut(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	s := n.addServer("b", remote)
	s.HandleOrders(&Orders{Term: 7, ReplyTo: "a", Calls: []Call{{
		ID: 1, BeginBy: boottime.Now().Add(-time.Millisecond), EndBy: boottime.Now().Add(time.Second), Start: &executor.Start{Task: testTask},
	}}})
	s.Close()
	require.Zero(t, remote.started())
}

// A new leader waits for the time that a call of its predecessor may take. A carrier that
// begins a call late must not take that time again.
func TestCallEndsWhenTheLeaderExpects(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	n.hold(carrierTimeout / 4)
	ctx := callContext(t, time.Second)
	_, err := c.Start(ctx, executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.NoError(t, err)
	expected, _ := ctx.Deadline()
	remote.mu.Lock()
	defer remote.mu.Unlock()
	require.WithinRange(t, remote.deadline, time.Now(), expected.Add(20*time.Millisecond))
}

// A carrier's machine restarts between two responses. Its clock starts again: the estimate
// of the former one must not set the deadlines of calls.
func TestRestartedClockOfCarrierIsNoticed(t *testing.T) {
	n := newNetwork(t)
	n.addServer("b", &recorder{})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	n.setDown("b", true) // no further responses of the running carrier
	c.mu.Lock()
	c.carriers["b"].clock += boottime.Instant(time.Hour) // as before the restart
	acknowledged := c.carriers["b"].acknowledged
	c.mu.Unlock()
	c.HandleResults(&Results{Term: 7, From: "b", Acknowledged: acknowledged, Clock: boottime.Now()})
	require.Empty(t, c.CarrierOf("w"), "calls would have a deadline in an hour")
}

// TestCarrierWithAnotherClockRefusesCalls guards against calls without a time limit: the leader has set
// their times on the clock that the carrier's machine had before it restarted.
func TestCarrierWithAnotherClockRefusesCalls(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	s := n.addServer("b", remote)
	now := boottime.Now()
	s.HandleOrders(&Orders{Term: 7, ReplyTo: "a", Calls: []Call{
		{ID: 1, BeginBy: now.Add(time.Hour), EndBy: now.Add(time.Hour), Start: &executor.Start{Task: testTask}},
		{ID: 2, BeginBy: now.Add(time.Second), EndBy: now.Add(2 * time.Second), Poll: &executor.Poll{Acknowledged: 9}},
	}})
	s.Close()
	remote.mu.Lock()
	defer remote.mu.Unlock()
	require.Empty(t, remote.starts)
	require.Zero(t, remote.polls)
}

// A poll that acknowledges ends is carried out at once or not at all: the worker may restart
// under its ID and number its ends from the beginning.
func TestLateAcknowledgementIsNotCarriedOut(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	n.hold(2 * acknowledgementValidity)
	_, err := c.Poll(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Poll{Acknowledged: 9})
	require.Error(t, err)
	remote.mu.Lock()
	defer remote.mu.Unlock()
	require.Zero(t, remote.polls)
}

// A carrier is suspended after it received a list of runs. The list must not look new when
// it arrives: the worker may have restarted in the meantime.
func TestDelayedListShowsItsAge(t *testing.T) {
	n := newNetwork(t)
	n.addServer("b", &recorder{})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	const delay = carrierTimeout / 4
	n.hold(delay)
	response, err := c.Poll(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Poll{})
	require.NoError(t, err)
	require.GreaterOrEqual(t, response.Age, delay*3/4)
}

func TestFormerLeadersCallsAreNotCarriedOut(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{unreachable: map[string]bool{"hangs": true}}
	n.addServer("b", remote)
	former := n.addClient("a", 7, &recorder{}, "b")
	former.waitAvailable(t, 1)
	hanging := make(chan error, 1)
	var calls sync.WaitGroup
	calls.Go(func() {
		hanging <- former.Stop(callContext(t, 30*time.Second), executor.Target{ID: "hangs"}, executor.Stop{Task: testTask})
	})
	time.Sleep(50 * time.Millisecond) // the call is in progress
	successor := n.addClient("c", 8, &recorder{}, "b")
	successor.waitAvailable(t, 1)
	_, err := successor.Start(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask, Fence: 8})
	require.NoError(t, err)
	_, err = former.Start(callContext(t, 200*time.Millisecond), executor.Target{ID: "w"}, executor.Start{Task: testTask, Fence: 7})
	require.Error(t, err)
	require.Equal(t, 1, remote.started())
	remote.mu.Lock()
	require.Equal(t, 1, remote.cancelled, "the call in progress goes on")
	remote.mu.Unlock()
	select {
	case err := <-hanging:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the former leader's call is still in progress")
	}
	calls.Wait()
}

func TestCallsOfLostCarrierFailAndTakeAnotherWay(t *testing.T) {
	n := newNetwork(t)
	direct := &recorder{}
	n.addServer("b", &recorder{})
	c := n.addClient("a", 7, direct, "b")
	c.waitAvailable(t, 1)
	n.setDown("b", true)
	_, err := c.Start(callContext(t, 30*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.ErrorIs(t, err, errNoResponse)
	_, err = c.Start(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.NoError(t, err)
	require.Equal(t, 1, direct.started())
	n.setDown("b", false)
	c.waitAvailable(t, 1)
}

// The link between a carrier and a worker may be cut while the leader reaches the worker.
func TestCallGoesDirectlyAfterFailureOfCarrier(t *testing.T) {
	n := newNetwork(t)
	remote, direct := &recorder{unreachable: map[string]bool{"w": true}}, &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, direct, "b")
	c.waitAvailable(t, 1)
	_, err := c.Start(callContext(t, 100*time.Millisecond), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.Error(t, err)
	_, err = c.Start(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.NoError(t, err)
	require.Equal(t, 1, direct.started())
	_, err = c.Start(callContext(t, 5*time.Second), executor.Target{ID: "other"}, executor.Start{Task: testTask})
	require.NoError(t, err)
	require.Equal(t, 1, remote.started())
}

// Guards against a leader that is short of processor time because it calls the workers itself whose
// last call was lost: the load is a fleet that loses one order of twenty, so that most workers had
// lost one within the last seconds.
func TestCallTakesAnotherCarrierAfterFailureOfCarrier(t *testing.T) {
	n := newNetwork(t)
	remotes, direct := map[string]*recorder{}, &recorder{}
	for _, address := range []string{"b", "c", "d"} {
		remotes[address] = &recorder{}
		n.addServer(address, remotes[address])
	}
	c := n.addClient("a", 7, direct, "b", "c", "d")
	c.waitAvailable(t, 3)
	lost := remotes[c.CarrierOf("w")]
	lost.mu.Lock()
	lost.unreachable = map[string]bool{"w": true}
	lost.mu.Unlock()
	_, err := c.Start(callContext(t, 100*time.Millisecond), executor.Target{ID: "w"}, executor.Start{Task: testTask})
	require.Error(t, err)
	for range 5 {
		_, err = c.Start(callContext(t, 5*time.Second), executor.Target{ID: "w"}, executor.Start{Task: testTask})
		require.NoError(t, err)
	}
	require.Zero(t, direct.started())
	require.Zero(t, lost.started())
}

// Guards against a leader that calls workers that are gone itself at each repetition, and against
// one that never does: the path whose last failure is the oldest is next.
func TestCallsWithoutResponseOnAnyPathTakeTurns(t *testing.T) {
	n := newNetwork(t)
	gone := map[string]bool{"w": true}
	direct := &recorder{unreachable: gone}
	for _, address := range []string{"b", "c", "d"} {
		n.addServer(address, &recorder{unreachable: gone})
	}
	c := n.addClient("a", 7, direct, "b", "c", "d")
	c.waitAvailable(t, 3)
	for range 12 {
		_, err := c.Start(callContext(t, 20*time.Millisecond), executor.Target{ID: "w"}, executor.Start{Task: testTask})
		require.Error(t, err)
	}
	require.Equal(t, 3, c.TakeDirectCalls())
}

// Workers report to a carrier, which passes their reports on while the leader receives its
// messages. One that is cut off must not accept reports: the workers would stay with it.
func TestReportsArePassedOn(t *testing.T) {
	n := newNetwork(t)
	s := n.addServer("b", &recorder{})
	require.False(t, s.PassOn(&Report{Worker: "w"}), "there is no leader yet")
	received := make(chan Report, 10)
	n.onReports = func(reports []Report, ages []time.Duration) {
		for i := range reports {
			require.Less(t, ages[i], 5*time.Second)
			received <- reports[i]
		}
	}
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	require.Equal(t, "b", c.CarrierOf("w"))
	require.Eventually(t, s.Connected, 5*time.Second, time.Millisecond)
	want := Report{Worker: "w", Incarnation: 3, Sequence: 5, Clock: 99, WarmUpLeft: time.Second, ReceivedAt: boottime.Now()}
	require.True(t, s.PassOn(&want))
	require.Equal(t, want, <-received)

	n.setDown("b", true)
	require.Eventually(t, func() bool { return !s.PassOn(&want) }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return c.CarrierOf("w") == "" }, 5*time.Second, time.Millisecond)
}

// The leader hears nothing of a carrier that hears the leader: reports must not be accepted.
func TestReportsAreNotAcceptedWithoutWayBack(t *testing.T) {
	n := newNetwork(t)
	s := n.addServer("b", &recorder{})
	s.HandleOrders(&Orders{Term: 7, ReplyTo: "a", SentAt: 1, Available: true})
	require.True(t, s.Connected())
	s.HandleOrders(&Orders{Term: 7, ReplyTo: "a", SentAt: 2})
	require.False(t, s.PassOn(&Report{Worker: "w"}))
}

// A round of placement starts hundreds of tasks at once: they share a few batches.
func TestCallsOfRoundShareBatches(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	const calls = 2 * maxBatch
	var wg sync.WaitGroup
	failed := make(chan error, calls)
	begin := make(chan struct{})
	for i := range calls {
		wg.Go(func() {
			<-begin
			if _, err := c.Start(callContext(t, 10*time.Second), executor.Target{ID: fmt.Sprint("w", i)}, executor.Start{Task: testTask}); err != nil {
				failed <- err
			}
		})
	}
	close(begin)
	wg.Wait()
	close(failed)
	require.NoError(t, errors.Join(<-failed))
	require.Equal(t, calls, remote.started())
	n.mu.Lock()
	defer n.mu.Unlock()
	require.LessOrEqual(t, n.batches, 60)
}

func TestEndOfLeadershipFailsCalls(t *testing.T) {
	n := newNetwork(t)
	n.addServer("b", &recorder{unreachable: map[string]bool{"w": true}})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	var wg sync.WaitGroup
	result := make(chan error, 1)
	wg.Go(func() {
		result <- c.Stop(callContext(t, 30*time.Second), executor.Target{ID: "w"}, executor.Stop{Task: testTask})
	})
	time.Sleep(20 * time.Millisecond)
	c.End()
	wg.Wait()
	require.ErrorIs(t, <-result, errNoResponse)
}

// Guards against a new leader that accepts what no leader can start until it has fallen behind
// itself: a carrier must know the rate of the leader that it succeeds.
func TestCarriersKnowTheStartRate(t *testing.T) {
	n := newNetwork(t)
	s := n.addServer("b", &recorder{})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	rate, _ := s.StartRate()
	require.Zero(t, rate)
	c.SetStartRate(1234)
	require.Eventually(t, func() bool {
		rate, at := s.StartRate()
		return rate == 1234 && at > 0
	}, 5*time.Second, time.Millisecond)
	c.SetStartRate(0)
	time.Sleep(2 * probeInterval)
	rate, _ = s.StartRate()
	require.EqualValues(t, 1234, rate, "a leader that has caught up takes nothing back")
}

// Guards against the running runs being copied with each end, and against a list without them that
// counts as whole: its runs would count as missing.
func TestEndsOnlyListIsIncomplete(t *testing.T) {
	n := newNetwork(t)
	remote := &recorder{}
	n.addServer("b", remote)
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	poll := func(ended []workload.RunEnd, endsOnly bool) executor.PollResponse {
		remote.mu.Lock()
		remote.list = executor.PollResponse{Clock: 1, Complete: true, Running: []executor.Running{{Task: testTask, Run: 1}}, Ended: ended}
		remote.mu.Unlock()
		r := c.call(callContext(t, 5*time.Second), Call{Target: executor.Target{ID: "w"}, Poll: &executor.Poll{}, EndsOnly: endsOnly})
		require.NoError(t, r.Err)
		return r.Poll
	}
	ends := []workload.RunEnd{{Sequence: 1, Task: testTask, Run: 2, Outcome: workload.Succeeded}}
	list := poll(ends, true)
	require.Equal(t, ends, list.Ended)
	require.Empty(t, list.Running)
	require.False(t, list.Complete)
	for _, list := range []executor.PollResponse{poll(nil, true), poll(ends, false)} {
		require.Len(t, list.Running, 1)
		require.True(t, list.Complete)
	}
}

// Guards against a new leader that polls a large fleet itself, because its carriers have not answered
// yet, and against one that waits for carriers that are lost.
func TestNewLeaderWaitsForItsCarriers(t *testing.T) {
	n := newNetwork(t)
	n.addServer("b", &recorder{})
	c := n.addClient("a", 7, &recorder{}, "b")
	c.waitAvailable(t, 1)
	c.Begin(8)
	c.Tick(boottime.Now(), []string{"a", "b"})
	require.True(t, c.Settling(boottime.Now()))
	c.waitAvailable(t, 1)
	require.False(t, c.Settling(boottime.Now()))

	n.setDown("b", true)
	c.Begin(9)
	c.Tick(boottime.Now(), []string{"a", "b"})
	require.True(t, c.Settling(boottime.Now()))
	require.False(t, c.Settling(boottime.Now().Add(settleTime)))
	require.False(t, n.addClient("alone", 7, &recorder{}).Settling(boottime.Now()), "there are no carriers")
}
