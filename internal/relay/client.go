package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/telemetry"
)

// SendFunc sends a one-way message to the replica with a peer address.
type SendFunc func(ctx context.Context, address, method string, message any) error

// Client implements executor.Workers on the leader. Calls are carried by the available
// carriers, or go directly while there are none. Each worker's calls are carried by the
// same carrier as long as it is available, so that its connections are reused.
type Client struct {
	options ClientOptions
	wg      conc.WaitGroup

	mu       sync.Mutex
	term     uint64 // 0 without a leadership
	carriers map[string]*carrier
	pending  map[uint64]*pendingCall
	lastID   uint64
	// detours holds the workers whose calls go directly, and until when.
	detours map[string]boottime.Instant
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// Direct calls workers from this replica.
	Direct executor.Workers
	Send   SendFunc
	// Self is the peer address of this replica.
	Self string
	// OnReports is called with the reports that a carrier passes on, and the time that
	// they have taken since they arrived there. It must not block.
	OnReports func(reports []Report, ages []time.Duration)
	Log       logr.Logger
	Metrics   *telemetry.Metrics
}

var _ executor.Workers = (*Client)(nil)

// carrier is the leader's view of another replica.
type carrier struct {
	address string
	ctx     context.Context // done when the carrier is no longer used
	cancel  context.CancelFunc
	outbox  []Call
	wake    chan struct{}
	probeAt boottime.Instant // when the next probe is due
	// acknowledged is when the latest batch that has a response was sent.
	acknowledged boottime.Instant
	// clock and clockAt are a reading of the carrier's clock and when it arrived.
	clock, clockAt boottime.Instant
	available      bool
}

// pendingCall is a call whose result is awaited.
type pendingCall struct {
	carrier *carrier
	result  chan agedResult // receives one result; closed if the carrier is lost
}

// agedResult is a result with the time since the worker's response arrived at the carrier.
type agedResult struct {
	Result
	age time.Duration
}

// NewClient returns a client that calls workers directly until Begin is called.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, carriers: map[string]*carrier{}, pending: map[uint64]*pendingCall{}, detours: map[string]boottime.Instant{}}
}

// Begin starts to use carriers for a leadership.
func (c *Client) Begin(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
	c.term = term
}

// End ends the use of carriers. Calls in progress fail.
func (c *Client) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

func (c *Client) endLocked() {
	c.term = 0
	for _, r := range c.carriers {
		c.dropLocked(r)
	}
	clear(c.detours)
}

// Close ends the use of carriers and waits for the goroutines of the client.
func (c *Client) Close() {
	c.End()
	c.wg.Wait()
}

// Tick updates the set of carriers to the replicas with the given peer addresses, except
// this one. It probes them and drops the calls of lost ones.
func (c *Client) Tick(now boottime.Instant, replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == 0 {
		return
	}
	for address, r := range c.carriers {
		if !slices.Contains(replicas, address) {
			c.dropLocked(r)
		}
	}
	for _, address := range replicas {
		if address != c.options.Self && c.carriers[address] == nil {
			c.addLocked(address)
		}
	}
	for _, r := range c.carriers {
		if r.available && now.Sub(r.acknowledged) >= carrierTimeout {
			c.loseLocked(r)
		}
		if now >= r.probeAt {
			r.notify()
		}
	}
	for worker, until := range c.detours {
		if now >= until {
			delete(c.detours, worker)
		}
	}
}

func (c *Client) addLocked(address string) {
	r := &carrier{address: address, wake: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	c.carriers[address] = r
	term := c.term
	c.wg.Go(func() { c.run(r, term) })
}

func (c *Client) dropLocked(r *carrier) {
	r.cancel()
	delete(c.carriers, r.address)
	c.failLocked(r)
}

// loseLocked marks a carrier as not available.
func (c *Client) loseLocked(r *carrier) {
	r.available = false
	r.clock, r.clockAt = 0, 0 // it may have restarted with another clock
	c.options.Log.Info("Lost a carrier of orders.", "replica", r.address, "calls", len(r.outbox))
	c.options.Metrics.Counter("relay_carriers_lost_total").Inc(1)
	c.failLocked(r)
}

// failLocked fails the calls of a carrier. They may have been carried out.
func (c *Client) failLocked(r *carrier) {
	r.outbox = nil
	for id, p := range c.pending {
		if p.carrier == r {
			close(p.result)
			delete(c.pending, id)
		}
	}
}

func (r *carrier) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends the batches of a carrier until it is no longer used.
func (c *Client) run(r *carrier, term uint64) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		}
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		batch := c.takeBatch(r, term)
		ctx, cancel := context.WithTimeout(r.ctx, sendTimeout)
		if err := c.options.Send(ctx, r.address, MethodOrders, batch); err != nil {
			// The calls run into their timeouts, or into that of the carrier.
			c.options.Metrics.Counter("relay_batches_failed_total", "kind", "orders").Inc(1)
		}
		cancel()
	}
}

// takeBatch removes the next batch from the outbox of a carrier.
func (c *Client) takeBatch(r *carrier, term uint64) *Orders {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(r.outbox), maxBatch)
	now := boottime.Now()
	batch := &Orders{Term: term, ReplyTo: c.options.Self, SentAt: now, Available: r.available, Calls: r.outbox[:n:n]}
	r.probeAt = now.Add(probeInterval)
	if r.outbox = r.outbox[n:]; len(r.outbox) > 0 {
		r.notify()
	}
	return batch
}

// HandleResults delivers results and reports that a carrier has sent.
func (c *Client) HandleResults(results *Results) {
	if !c.deliver(results) || len(results.Reports) == 0 {
		return
	}
	ages := make([]time.Duration, len(results.Reports))
	for i := range results.Reports {
		ages[i] = max(results.Clock.Sub(results.Reports[i].ReceivedAt), 0)
	}
	c.options.OnReports(results.Reports, ages)
}

// deliver delivers results. It returns false if they are not for this leadership.
func (c *Client) deliver(results *Results) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.carriers[results.From]
	if r == nil || results.Term != c.term {
		return false
	}
	now := boottime.Now()
	if r.clockEstimate(now).Sub(results.Clock) > carrierTimeout && r.available {
		// The batch is older than a lost carrier's, or the clock has started again.
		c.loseLocked(r)
		return false
	}
	r.acknowledged = max(r.acknowledged, results.Acknowledged)
	// A batch that was held up shows too early a clock: the estimate from earlier ones
	// shows by how much.
	if now.Sub(r.clockAt) > sampleAge || results.Clock >= r.clockEstimate(now) {
		r.clock, r.clockAt = results.Clock, now
	}
	carrierNow := r.clockEstimate(now)
	if !r.available && now.Sub(r.acknowledged) < carrierTimeout {
		r.available = true
		c.options.Log.Info("A replica is available as a carrier of orders.", "replica", r.address)
	}
	for i := range results.Results {
		if p := c.pending[results.Results[i].ID]; p != nil && p.carrier == r {
			p.result <- agedResult{results.Results[i], max(carrierNow.Sub(results.Results[i].ReceivedAt), 0)}
			delete(c.pending, results.Results[i].ID)
		}
	}
	return true
}

// CarrierOf returns the peer address of the available carrier that carries the calls to a
// worker, or "".
func (c *Client) CarrierOf(worker string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.carrierOf(worker); r != nil {
		return r.address
	}
	return ""
}

// clockEstimate returns a time that is not later than the carrier's clock at an instant.
func (r *carrier) clockEstimate(at boottime.Instant) boottime.Instant {
	return r.clock.Add(at.Sub(r.clockAt))
}

// submit queues a call at the carrier of its worker, to be ended after limit. It returns nil
// if the call has to go directly.
func (c *Client) submit(call *Call, limit time.Duration) *pendingCall {
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.detours[call.Target.ID] {
		return nil
	}
	r := c.carrierOf(call.Target.ID)
	if r == nil {
		return nil
	}
	c.lastID++
	call.ID = c.lastID
	carrierNow := r.clockEstimate(now)
	call.EndBy = carrierNow.Add(limit)
	call.BeginBy = call.EndBy
	if call.Poll != nil && call.Poll.Acknowledged > 0 {
		call.BeginBy = min(call.BeginBy, carrierNow.Add(acknowledgementValidity))
	}
	p := &pendingCall{carrier: r, result: make(chan agedResult, 1)}
	c.pending[call.ID] = p
	r.outbox = append(r.outbox, *call)
	r.notify()
	return p
}

// carrierOf returns the available carrier of a worker by rendezvous hashing, or nil.
func (c *Client) carrierOf(worker string) *carrier {
	var best *carrier
	var highest uint64
	for address, r := range c.carriers {
		if !r.available {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(worker)) // never fails
		_, _ = h.Write([]byte(address))
		if sum := h.Sum64(); best == nil || sum > highest {
			best, highest = r, sum
		}
	}
	return best
}

// errNoResponse reports that a carrier returned no result of a call, which may have been
// carried out.
var errNoResponse = errors.New("relay: no response from the carrier")

// carry lets a carrier carry out a call. carried is false if the call has to go directly.
func (c *Client) carry(ctx context.Context, call Call) (result agedResult, carried bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return agedResult{}, false, nil
	}
	p := c.submit(&call, time.Until(deadline))
	if p == nil {
		return agedResult{}, false, nil
	}
	select {
	case result, ok = <-p.result:
		switch {
		case !ok:
			return agedResult{}, true, errNoResponse
		case result.Refused != nil:
			return result, true, result.Refused
		case result.Disconnected:
			err = fmt.Errorf("%w: %s", executor.ErrDisconnected, result.Failure)
		case result.Failure != "":
			err = errors.New(result.Failure)
		}
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		c.abandon(&call)
	}
	return result, true, err
}

// abandon drops a call without a response, and sends the next calls to its worker
// directly.
func (c *Client) abandon(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call.ID)
	if c.term != 0 {
		c.detours[call.Target.ID] = boottime.Now().Add(detourTime)
	}
}

// Start implements executor.Workers.
func (c *Client) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	result, carried, err := c.carry(ctx, Call{Target: t, Start: &s})
	if !carried {
		return c.options.Direct.Start(ctx, t, s)
	}
	return result.Clock, err
}

// Stop implements executor.Workers.
func (c *Client) Stop(ctx context.Context, t executor.Target, s executor.Stop) error {
	_, carried, err := c.carry(ctx, Call{Target: t, Stop: &s})
	if !carried {
		return c.options.Direct.Stop(ctx, t, s)
	}
	return err
}

// Pace implements executor.Workers.
func (c *Client) Pace(ctx context.Context, t executor.Target, p executor.Pace) error {
	_, carried, err := c.carry(ctx, Call{Target: t, Pace: &p})
	if !carried {
		return c.options.Direct.Pace(ctx, t, p)
	}
	return err
}

// Poll implements executor.Workers.
func (c *Client) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	result, carried, err := c.carry(ctx, Call{Target: t, Poll: &p})
	switch {
	case !carried:
		return c.options.Direct.Poll(ctx, t, p)
	case err != nil:
		return executor.PollResponse{}, err
	case result.Poll == nil:
		return executor.PollResponse{}, errNoResponse
	}
	response := *result.Poll
	response.Age = result.age
	return response, nil
}
