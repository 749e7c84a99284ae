package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/telemetry"
)

// Server carries out the calls of leaders on a carrier.
type Server struct {
	options ServerOptions
	wg      conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	leader *leader // of the highest term
	// startRate is the last rate of starts that a leader has told, startRateAt when that was.
	startRate   float64
	startRateAt boottime.Instant
	progress    int // number of calls in progress
	load        carrierLoad
}

// carrierLoad is what a carrier has done since the last line about its load.
type carrierLoad struct {
	since     time.Time
	processor time.Duration // that the process had used at since
	calls     int
	slowest   time.Duration // longest time of a start
}

// carrierLoadInterval is the interval at which the load of a carrier is logged.
const carrierLoadInterval = time.Second

// ServerOptions configure a Server.
type ServerOptions struct {
	Workers executor.Workers
	Send    SendFunc
	// Self is the peer address of this replica.
	Self    string
	Log     logr.Logger
	Metrics *telemetry.Metrics
	// Processor returns the processor time that the process has used.
	Processor func() time.Duration
}

// leader is the leader for which calls are carried out.
type leader struct {
	term         uint64
	address      string
	ctx          context.Context // done when another leader has sent a batch
	cancel       context.CancelFunc
	wake         chan struct{}
	acknowledged boottime.Instant
	outbox       []Result
	// available is whether the leader receives the messages of this replica, according to
	// its batch that arrived at heardAt.
	available bool
	heardAt   boottime.Instant
	reports   []Report
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	s := &Server{options: o}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close cancels the calls in progress and waits for them to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel() // no call begins after this
	s.mu.Unlock()
	s.wg.Wait()
}

// HandleOrders begins to carry out the calls of a batch. Batches of a lower term than the
// highest that was seen are ignored. A batch of a higher term cancels the calls in
// progress of the former leader.
func (s *Server) HandleOrders(orders *Orders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if s.leader == nil || orders.Term > s.leader.term {
		s.follow(orders)
	}
	l := s.leader
	if orders.Term < l.term {
		s.options.Metrics.Counter("relay_batches_failed_total", "kind", "former-leader").Inc(1)
		return
	}
	now := boottime.Now()
	if orders.SentAt >= l.acknowledged {
		l.acknowledged, l.available, l.heardAt = orders.SentAt, orders.Available, now
	}
	if orders.StartRate > 0 {
		s.startRate, s.startRateAt = orders.StartRate, now
	}
	l.notify()
	for i := range orders.Calls {
		call := &orders.Calls[i]
		switch {
		case now > call.BeginBy:
			s.refuse(l, call, "the call arrived too late at the carrier")
		case call.BeginBy.Sub(now) > call.longestWait():
			s.refuse(l, call, "the times of the call are not by the carrier's clock")
		case s.progress >= maxInProgress:
			s.refuse(l, call, "the carrier has too many calls in progress")
		default:
			s.progress++
			s.wg.Go(func() { s.carryOut(l, call) })
		}
	}
}

// longestWait returns how far ahead BeginBy may lie when the call arrives. If it lies further ahead,
// the leader has set it on another clock: the carrier's machine has restarted since.
func (c *Call) longestWait() time.Duration {
	if c.Poll != nil && c.Poll.Acknowledged > 0 {
		return 2 * acknowledgementValidity
	}
	return maxCallTime
}

// refuse reports that a call was not carried out.
func (s *Server) refuse(l *leader, call *Call, reason string) {
	s.options.Metrics.Counter("relay_calls_refused_total", "reason", reason).Inc(1)
	l.outbox = append(l.outbox, Result{ID: call.ID, Failure: reason, ReceivedAt: boottime.Now()})
}

// follow replaces the leader.
func (s *Server) follow(orders *Orders) {
	if s.leader != nil {
		s.leader.cancel()
	}
	l := &leader{term: orders.Term, address: orders.ReplyTo, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.leader = l
	s.wg.Go(func() { s.run(l) })
}

func (l *leader) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends the results to a leader until it is replaced.
func (s *Server) run(l *leader) {
	for sentAt := (time.Time{}); awaitBatch(l.ctx, l.wake, sentAt); {
		sentAt = time.Now()
		s.logLoad(sentAt)
		batch := s.takeBatch(l)
		ctx, cancel := context.WithTimeout(l.ctx, sendTimeout)
		if err := s.options.Send(ctx, l.address, MethodResults, batch); err != nil {
			// The leader repeats orders and polls without a response.
			s.options.Metrics.Counter("relay_batches_failed_total", "kind", "results").Inc(1)
		}
		cancel()
	}
}

// logLoad logs the load of the carrier once a second while it carries calls.
func (s *Server) logLoad(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := now.Sub(s.load.since)
	if interval < carrierLoadInterval || s.options.Processor == nil {
		return
	}
	used := s.options.Processor()
	if !s.load.since.IsZero() && s.load.calls > 0 {
		s.options.Log.V(1).Info("Load of a carrier.", "interval_ms", interval.Milliseconds(), "processor_ms", (used - s.load.processor).Milliseconds(),
			"calls", s.load.calls, "in_progress", s.progress, "slowest_start_ms", s.load.slowest.Milliseconds())
	}
	s.load = carrierLoad{since: now, processor: used}
}

func (s *Server) takeBatch(l *leader) *Results {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(l.outbox), maxBatch)
	batch := &Results{
		Term: l.term, From: s.options.Self, Acknowledged: l.acknowledged, Clock: boottime.Now(), Results: l.outbox[:n:n], Reports: l.reports,
	}
	l.reports = nil
	if l.outbox = l.outbox[n:]; len(l.outbox) > 0 {
		l.notify()
	}
	return batch
}

// PassOn passes a report on to the leader with the next batch. It returns false, and the
// report has to take another way, unless the leader has recently confirmed that it receives
// this replica's messages.
func (s *Server) PassOn(r *Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connected() || len(s.leader.reports) >= maxReports {
		return false
	}
	s.leader.reports = append(s.leader.reports, *r)
	return true
}

// StartRate returns the last rate of starts per second at which a leader was behind, and when it
// told that. Without one, both are 0.
func (s *Server) StartRate() (float64, boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startRate, s.startRateAt
}

// Connected reports whether PassOn accepts reports.
func (s *Server) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected()
}

func (s *Server) connected() bool {
	l := s.leader
	return l != nil && l.available && boottime.Now().Sub(l.heardAt) < carrierTimeout
}

// carryOut calls the worker and queues the result.
func (s *Server) carryOut(l *leader, call *Call) {
	began := time.Now()
	result := s.call(l, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress--
	s.load.calls++
	if call.Start != nil {
		s.load.slowest = max(s.load.slowest, time.Since(began))
	}
	l.outbox = append(l.outbox, result)
	l.notify()
}

func (s *Server) call(l *leader, call *Call) Result {
	ctx, cancel := context.WithTimeout(l.ctx, call.EndBy.Sub(boottime.Now()))
	defer cancel()
	result := Result{ID: call.ID}
	var err error
	switch workers := s.options.Workers; {
	case call.Start != nil:
		result.Clock, err = workers.Start(ctx, call.Target, *call.Start)
	case call.Stop != nil:
		err = workers.Stop(ctx, call.Target, *call.Stop)
	case call.Pace != nil:
		err = workers.Pace(ctx, call.Target, *call.Pace)
	case call.Poll != nil:
		var response executor.PollResponse
		poll := *call.Poll
		poll.EndsOnly = call.EndsOnly
		response, err = workers.Poll(ctx, call.Target, poll)
		if call.EndsOnly && len(response.Ended) > 0 {
			response.Running, response.Complete = nil, false
		}
		result.Poll = &response
	default:
		result.Failure = "the call is empty"
	}
	result.ReceivedAt = boottime.Now()
	var refused *executor.RefusedError
	switch {
	case errors.As(err, &refused):
		result.Refused, result.Poll = refused, nil
	case err != nil:
		result.Failure, result.Disconnected, result.Poll = err.Error(), executor.Disconnected(err), nil
	}
	return result
}
