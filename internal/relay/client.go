package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
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

// Client calls workers for the leader. Calls are carried by the available carriers, or go
// directly while there are none. Each worker's calls are carried by the same carrier as long as it
// is available and they have responses, so that its connections are reused.
type Client struct {
	options ClientOptions
	wg      conc.WaitGroup
	ctx     context.Context // done when the client is closed
	cancel  context.CancelFunc

	mu       sync.Mutex
	term     uint64 // 0 without a leadership
	carriers map[string]*carrier
	pending  map[uint64]*pendingCall
	// settleUntil is until when a new leader waits for its carriers.
	settleUntil boottime.Instant
	startRate   float64 // see Orders.StartRate
	// nextExpiry is not later than the first time at which a pending call ends.
	nextExpiry boottime.Instant
	lastID     uint64
	// failures holds, by worker and path, when a call to the worker last had no response on
	// that path: the address of a carrier, or "" for this replica itself.
	failures map[string]map[string]boottime.Instant
	// directCalls is the number of calls that went directly, see TakeDirectCalls.
	directCalls int
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
	// Post runs a function on the goroutine that calls Do and Tick, unless the leadership
	// with the given term has ended by then. It must not block.
	Post    func(term uint64, f func())
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

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
	worker  string
	poll    bool
	endBy   boottime.Instant
	done    func(Response)
}

// Response is the result of a call.
type Response struct {
	// Clock is the worker's clock in the response to a start, Poll the response to a poll.
	Clock int64
	Poll  executor.PollResponse
	// ReceivedAt is when the worker's response arrived, here or at the carrier.
	ReceivedAt boottime.Instant
	Err        error
}

// completions holds the responses that have to be passed to the callers.
type completions struct {
	done      []func(Response)
	responses []Response
}

func (c *completions) add(p *pendingCall, r Response) {
	c.done, c.responses = append(c.done, p.done), append(c.responses, r)
}

func (c *completions) run() {
	for i, done := range c.done {
		done(c.responses[i])
	}
}

// NewClient returns a client that calls workers directly until Begin is called.
func NewClient(o ClientOptions) *Client {
	c := &Client{options: o, carriers: map[string]*carrier{}, pending: map[uint64]*pendingCall{}, failures: map[string]map[string]boottime.Instant{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Begin starts to use carriers for a leadership.
func (c *Client) Begin(term uint64) { c.setTerm(term) }

// End ends the use of carriers. Calls in progress fail.
func (c *Client) End() { c.setTerm(0) }

func (c *Client) setTerm(term uint64) {
	c.mu.Lock()
	former := c.term
	var ended completions
	for _, r := range c.carriers {
		c.dropLocked(r, &ended)
	}
	clear(c.failures)
	c.term, c.settleUntil = term, boottime.Now().Add(settleTime)
	c.mu.Unlock()
	if len(ended.done) > 0 {
		c.options.Post(former, ended.run)
	}
}

// Settling reports whether a new leader still waits for half of its carriers. It has to poll all
// workers at once, and a call that it makes itself costs it as much as dozens of carried ones.
func (c *Client) Settling(now boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.settleUntil {
		return false
	}
	available := 0
	for _, r := range c.carriers {
		if r.available {
			available++
		}
	}
	return 2*available < len(c.carriers)
}

// Close ends the use of carriers and waits for the goroutines of the client.
func (c *Client) Close() {
	c.End()
	c.cancel()
	c.wg.Wait()
}

// Tick updates the set of carriers to the replicas with the given peer addresses, except
// this one. It probes them, and ends the calls of lost ones and those whose time is over.
func (c *Client) Tick(now boottime.Instant, replicas []string) {
	var ended completions
	c.tick(now, replicas, &ended)
	ended.run()
}

func (c *Client) tick(now boottime.Instant, replicas []string, ended *completions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == 0 {
		return
	}
	c.expireLocked(now, ended)
	for address, r := range c.carriers {
		if !slices.Contains(replicas, address) {
			c.dropLocked(r, ended)
		}
	}
	for _, address := range replicas {
		if address != c.options.Self && c.carriers[address] == nil {
			c.addLocked(address)
		}
	}
	for _, r := range c.carriers {
		if r.available && now.Sub(r.acknowledged) >= carrierTimeout {
			c.loseLocked(r, ended)
		}
		if now >= r.probeAt {
			r.notify()
		}
	}
	for worker, paths := range c.failures {
		maps.DeleteFunc(paths, func(_ string, at boottime.Instant) bool { return now.Sub(at) >= detourTime })
		if len(paths) == 0 {
			delete(c.failures, worker)
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

// expireLocked ends the calls whose time is over. The next calls to their workers take other paths.
func (c *Client) expireLocked(now boottime.Instant, ended *completions) {
	if now < c.nextExpiry {
		return
	}
	c.nextExpiry = now.Add(maxExpiryScan)
	for id, p := range c.pending {
		if now < p.endBy {
			c.nextExpiry = min(c.nextExpiry, p.endBy)
			continue
		}
		delete(c.pending, id)
		c.failedLocked(p.worker, p.carrier.address, now)
		ended.add(p, Response{ReceivedAt: now, Err: context.DeadlineExceeded})
	}
}

// maxExpiryScan is the longest time between two scans of the pending calls for expired ones.
const maxExpiryScan = time.Second

func (c *Client) dropLocked(r *carrier, ended *completions) {
	r.cancel()
	delete(c.carriers, r.address)
	c.failLocked(r, ended)
}

// loseLocked marks a carrier as not available.
func (c *Client) loseLocked(r *carrier, ended *completions) {
	r.available = false
	r.clock, r.clockAt = 0, 0 // it may have restarted with another clock
	c.options.Log.Info("Lost a carrier of orders.", "replica", r.address, "calls", len(r.outbox))
	c.options.Metrics.Counter("relay_carriers_lost_total").Inc(1)
	c.failLocked(r, ended)
}

// failLocked fails the calls of a carrier. They may have been carried out.
func (c *Client) failLocked(r *carrier, ended *completions) {
	r.outbox = nil
	now := boottime.Now()
	for id, p := range c.pending {
		if p.carrier != r {
			continue
		}
		delete(c.pending, id)
		ended.add(p, Response{ReceivedAt: now, Err: errNoResponse})
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
	for sentAt := (time.Time{}); awaitBatch(r.ctx, r.wake, sentAt); {
		sentAt = time.Now()
		batch := c.takeBatch(r, term)
		ctx, cancel := context.WithTimeout(r.ctx, sendTimeout)
		if err := c.options.Send(ctx, r.address, MethodOrders, batch); err != nil {
			// The calls run into their timeouts, or into that of the carrier.
			c.options.Metrics.Counter("relay_batches_failed_total", "kind", "orders").Inc(1)
		}
		cancel()
	}
}

// awaitBatch waits until a batch is due after one that was sent at sentAt. It returns false once
// ctx has ended.
func awaitBatch(ctx context.Context, wake <-chan struct{}, sentAt time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(time.Until(sentAt.Add(batchInterval)), batchDelay)):
		return true
	}
}

// takeBatch removes the next batch from the outbox of a carrier.
func (c *Client) takeBatch(r *carrier, term uint64) *Orders {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(r.outbox), maxBatch)
	now := boottime.Now()
	batch := &Orders{Term: term, ReplyTo: c.options.Self, SentAt: now, Available: r.available, Calls: r.outbox[:n:n], StartRate: c.startRate}
	r.probeAt = now.Add(probeInterval)
	if r.outbox = r.outbox[n:]; len(r.outbox) > 0 {
		r.notify()
	}
	return batch
}

// HandleResults delivers results and reports that a carrier has sent.
func (c *Client) HandleResults(results *Results) {
	var ended completions
	delivered := c.deliver(results, &ended)
	if len(ended.done) > 0 {
		c.options.Post(results.Term, ended.run)
	}
	if !delivered || len(results.Reports) == 0 {
		return
	}
	ages := make([]time.Duration, len(results.Reports))
	for i := range results.Reports {
		ages[i] = max(results.Clock.Sub(results.Reports[i].ReceivedAt), 0)
	}
	c.options.OnReports(results.Reports, ages)
}

// deliver takes over results, and adds the responses to ended. It returns false if they
// are not for this leadership.
func (c *Client) deliver(results *Results, ended *completions) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.carriers[results.From]
	if r == nil || results.Term != c.term {
		return false
	}
	now := boottime.Now()
	if r.clockEstimate(now).Sub(results.Clock) > carrierTimeout && r.available {
		// The batch is older than a lost carrier's, or the clock has started again.
		c.loseLocked(r, ended)
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
		result := &results.Results[i]
		p := c.pending[result.ID]
		if p == nil || p.carrier != r {
			continue
		}
		delete(c.pending, result.ID)
		age := max(carrierNow.Sub(result.ReceivedAt), 0)
		response := Response{Clock: result.Clock, ReceivedAt: now.Add(-age), Err: result.err()}
		switch {
		case response.Err != nil && result.Refused == nil:
			c.failedLocked(p.worker, r.address, now)
		case result.Poll != nil:
			response.Poll = *result.Poll
			response.Poll.Age = age
		case response.Err == nil && p.poll:
			response.Err = errNoResponse
		}
		ended.add(p, response)
	}
	return true
}

// err returns the error of a call, or nil.
func (r *Result) err() error {
	switch {
	case r.Refused != nil:
		return r.Refused
	case r.Disconnected:
		return fmt.Errorf("%w: %s", executor.ErrDisconnected, r.Failure)
	case r.Failure != "":
		return errors.New(r.Failure)
	}
	return nil
}

// SetStartRate sets the rate of starts that the carriers are told, see Orders.StartRate.
func (c *Client) SetStartRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startRate = perSecond
}

// TakeDirectCalls returns the number of calls that went to workers directly since the last call.
func (c *Client) TakeDirectCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.directCalls
	c.directCalls = 0
	return n
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

// Do begins a call to a worker, which ends at now plus limit, and calls done with its result on
// the goroutine that calls Do and Tick, unless the leadership ends before.
func (c *Client) Do(call Call, now boottime.Instant, limit time.Duration, done func(Response)) {
	term, carried := c.submit(&call, limit, now, &pendingCall{worker: call.Target.ID, done: done, endBy: now.Add(limit), poll: call.Poll != nil})
	if carried {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(executor.WithEndBy(c.ctx, now.Add(limit)), limit)
		defer cancel()
		response := c.direct(ctx, &call)
		response.ReceivedAt = boottime.Now()
		c.observeDirect(call.Target.ID, response.Err, response.ReceivedAt)
		c.options.Post(term, func() { done(response) })
	})
}

// direct calls a worker from this replica.
func (c *Client) direct(ctx context.Context, call *Call) Response {
	var r Response
	switch {
	case call.Start != nil:
		r.Clock, r.Err = c.options.Direct.Start(ctx, call.Target, *call.Start)
	case call.Poll != nil:
		r.Poll, r.Err = c.options.Direct.Poll(ctx, call.Target, *call.Poll)
	case call.Stop != nil:
		r.Err = c.options.Direct.Stop(ctx, call.Target, *call.Stop)
	case call.Pace != nil:
		r.Err = c.options.Direct.Pace(ctx, call.Target, *call.Pace)
	}
	return r
}

// submit queues a call at the carrier of its worker, to be ended after limit. It returns the
// present term, and false if the call has to go directly.
func (c *Client) submit(call *Call, limit time.Duration, now boottime.Instant, p *pendingCall) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.pathOf(call.Target.ID, now)
	if r == nil {
		c.directCalls++
		return c.term, false
	}
	c.lastID++
	call.ID = c.lastID
	carrierNow := r.clockEstimate(now)
	call.EndBy = carrierNow.Add(limit)
	call.BeginBy = call.EndBy
	if call.Poll != nil && call.Poll.Acknowledged > 0 {
		call.BeginBy = min(call.BeginBy, carrierNow.Add(acknowledgementValidity))
	}
	p.carrier = r
	c.pending[call.ID], c.nextExpiry = p, min(c.nextExpiry, p.endBy)
	r.outbox = append(r.outbox, *call)
	r.notify()
	return c.term, true
}

// observeDirect records that a call from this replica had no response.
func (c *Client) observeDirect(worker string, err error, now boottime.Instant) {
	var refused *executor.RefusedError
	if err == nil || errors.As(err, &refused) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != 0 {
		c.failedLocked(worker, "", now)
	}
}

func (c *Client) failedLocked(worker, path string, now boottime.Instant) {
	if c.failures[worker] == nil {
		c.failures[worker] = map[string]boottime.Instant{}
	}
	c.failures[worker][path] = now
}

// pathOf returns the carrier for the next call to a worker, or nil if it goes directly. A path on
// which a call to the worker had no response lately comes after the others, because it may be cut.
// Most lost calls are lost on any path, so that this replica, to which a call of its own costs as
// much as dozens of carried ones, comes after the carriers.
func (c *Client) pathOf(worker string, now boottime.Instant) *carrier {
	r := c.carrierOf(worker)
	if r == nil {
		return nil
	}
	failures := c.failures[worker]
	failed := func(path string) bool { return failures[path] != 0 && now.Sub(failures[path]) < detourTime }
	if !failed(r.address) {
		return r
	}
	oldest := failures[""]
	var best *carrier
	direct := !failed("")
	for address, other := range c.carriers {
		switch {
		case !other.available:
		case !failed(address):
			return other
		case !direct && failures[address] < oldest:
			oldest, best = failures[address], other
		}
	}
	return best
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
