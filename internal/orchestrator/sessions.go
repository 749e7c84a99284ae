package orchestrator

import (
	"context"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// session is what the leader knows of one life of a worker.
type session struct {
	id      string
	born    int64
	clock   clockSample
	granted executor.LeaseUntil // the latest lease granted by this leader
	// answering tells that the last call was answered. A report doesn't count: its
	// way may be open while that of the orders is cut.
	answering bool
	// listedAt is when this life last listed its runs; generation counts the lives
	// that this leader has seen.
	listedAt   boottime.Instant
	generation uint64
	// contact is when the worker last answered, report when it last reported.
	contact, report boottime.Instant
	sequence        uint64
	cold            boottime.Instant // it is slow until then
	orders          map[workload.RunID]*order
	queue           []*order // orders to be sent
	sending         int
	holding         bool
	nextHold        boottime.Instant
	noted           uint64 // ends that the worker was told to forget
	listed          uint64 // ends that are proposed
	// avoidUntil keeps tasks away after refusals and failures.
	avoidUntil boottime.Instant
	// slowUntil is how long the worker counts as one with slow runs.
	slowUntil boottime.Instant
	failures  int
	failedJob string // the last job of which a run failed
	silent    bool   // its lease has ended without an answer
	leaving   bool   // its removal is proposed
	// cordon keeps tasks away because the instance is about to be taken.
	cordon bool
	// stopping holds when runs that the state doesn't know were last stopped.
	stopping map[workload.RunID]boottime.Instant
	paced    boottime.Instant
	pace     int // percent of the tasks that fill
}

// clockSample is a reading of a worker's clock.
type clockSample struct {
	reading int64 // milliseconds
	at      boottime.Instant
}

const (
	// clockRate is the slowest that a worker's clock may run against others,
	// with 0.1% for the own one.
	clockRate = 0.979
	// lapseSlack covers the timers of a worker that ends a lease.
	lapseSlack = 100 * time.Millisecond
	// sampleAge is after which time a newer reading replaces one that promises a
	// later time.
	sampleAge = 5 * time.Second
	// holdWait is how long a worker may wait for an end before it answers a hold.
	// Leases are extended at least this often.
	holdWait = time.Second
	// holdGap is the shortest time between two holds of a worker; ends that come
	// close together share one.
	holdGap = 30 * time.Millisecond
	// callTimeout bounds a call that the worker answers at once.
	callTimeout = 500 * time.Millisecond
	// retryGap is the time until a failed hold is tried again.
	retryGap = 150 * time.Millisecond
	// sameLife is how long after a list the worker is told which ends to forget. It
	// is shorter than a restart: a later life counts its ends anew, and would
	// forget some that were never committed.
	sameLife = 4 * holdGap
	// maxSending bounds the orders under way to one worker, each on a connection.
	maxSending = 3
	// reportLimit is the number of missed reports after which a worker without
	// other contact gets no tasks.
	reportLimit = 3
)

// fence returns the fence of orders to a worker. It is higher for each leader,
// and for each life that a leader sees, so that orders for a former life which
// arrive late do nothing on a later one.
func (o *Orchestrator) fence(s *session) uint64 {
	return o.lead.Term()<<generationBits | min(s.generation, 1<<generationBits-1)
}

// generationBits is the room for the lives of a worker under one leader.
const generationBits = 12

// session returns the session of a worker that is in the state.
func (o *Orchestrator) session(id string) *session {
	s := o.sessions[id]
	w := o.lead.State().Workers[id]
	if s == nil && w != nil {
		s = &session{
			id: id, born: w.Born, orders: map[workload.RunID]*order{}, stopping: map[workload.RunID]boottime.Instant{},
			noted: w.Noted, listed: w.Noted, report: boottime.Now(), pace: fullPace,
		}
		o.sessions[id] = s
	}
	return s
}

// observe takes a reading of the worker's clock that was received at an instant.
// A reading that was held up on its way would promise too early a time, so that
// the latest promise wins unless it is old.
func (s *session) observe(reading int64, at boottime.Instant) {
	if reading <= 0 {
		return
	}
	if s.clock.reading == 0 || at.Sub(s.clock.at) > sampleAge || reading >= s.clock.estimate(at) {
		s.clock = clockSample{reading, at}
	}
}

func (c clockSample) estimate(now boottime.Instant) int64 {
	return c.reading + now.Sub(c.at).Milliseconds()
}

// extend returns a lease that ends after d on the worker's clock. While the
// worker doesn't answer, the lease granted before is returned: extending it
// further would keep the runs of a worker that only receives alive for ever, and
// nothing could be given up.
func (s *session) extend(now boottime.Instant, d time.Duration) executor.LeaseUntil {
	if s.clock.reading == 0 {
		return 0
	}
	if s.granted == 0 || s.answering {
		s.granted = max(s.granted, executor.LeaseUntil(s.clock.estimate(now)+d.Milliseconds()))
	}
	return s.granted
}

// lapse returns when the worker's lease has certainly ended, whoever granted it.
func (o *Orchestrator) lapse(s *session) boottime.Instant {
	slowest := func(d time.Duration) time.Duration { return time.Duration(float64(d) / clockRate) }
	// An earlier leader may have extended the lease until its authority ended.
	end := o.since.Add(authority + slowest(o.Settings.Lease) + lapseSlack)
	if s.clock.reading > 0 && s.granted > 0 {
		left := time.Duration(int64(s.granted)-s.clock.reading) * time.Millisecond
		end = max(end, s.clock.at.Add(slowest(left)+lapseSlack))
	}
	return end
}

// workerApplied begins a session with a new life, or notes a change.
func (o *Orchestrator) workerApplied(w *workload.Worker) {
	s := o.session(w.ID)
	if s == nil || s.born >= w.Born {
		return
	}
	o.Log.Info("A worker was born again.", "worker", w.ID, "born", w.Born, "former", s.born)
	orders := s.orders
	*s = session{
		id: w.ID, born: w.Born, orders: orders, generation: s.generation + 1, sending: s.sending, holding: s.holding, stopping: map[workload.RunID]boottime.Instant{},
		report: boottime.Now(), pace: fullPace,
	}
	// A repeated order may have reached the new life: it is stopped there before
	// its run is given up.
	for _, r := range orders {
		r.phase, r.reason, r.queued = stopWanted, "worker-born-again", false
		o.enqueue(s, r)
	}
}

// workerGone ends the session of a worker that has left.
func (o *Orchestrator) workerGone(l workload.Life) {
	if s := o.sessions[l.Worker]; s != nil && s.born <= l.Born && o.lead.State().Workers[l.Worker] == nil {
		delete(o.sessions, l.Worker)
	}
}

// tickSession sends what is due to a worker and gives up what a silent one ran.
func (o *Orchestrator) tickSession(s *session, now boottime.Instant) {
	w := o.lead.State().Workers[s.id]
	if w == nil {
		return
	}
	if !s.silent && now.Sub(max(s.contact, s.report)) > o.silentAfter() && now >= o.lapse(s) {
		o.giveUpSilent(s)
	}
	if s.silent && now.Sub(max(s.contact, s.report)) > o.removeAfter() {
		o.Log.Info("Removed a worker that has been silent.", "worker", s.id)
		o.pending.Gone = append(o.pending.Gone, workload.Life{Worker: s.id, Born: s.born})
		s.report = now // once
	}
	o.retryOrders(s, now)
	o.pump(s, w, now)
	o.maybeHold(s, w, now)
}

// silentAfter is how long a worker may be quiet before it counts as silent: it
// has missed a report and answered no hold.
func (o *Orchestrator) silentAfter() time.Duration {
	return max(o.Settings.ReportInterval*3/2, holdWait+callTimeout)
}

// removeAfter is how long a silent worker is kept.
func (o *Orchestrator) removeAfter() time.Duration {
	return 10*o.Settings.ReportInterval + o.Settings.Lease
}

// giveUpSilent releases the runs of a worker whose lease has ended.
func (o *Orchestrator) giveUpSilent(s *session) {
	s.silent = true
	s.queue = nil
	if len(s.orders) == 0 {
		return
	}
	o.Log.Info("Gave up the runs of a silent worker.", "worker", s.id, "runs", len(s.orders),
		"silent_ms", boottime.Now().Sub(s.contact).Milliseconds())
	for _, r := range s.orders {
		o.release(r, "lease-ended")
	}
}

// usable tells whether a worker may get tasks.
func (o *Orchestrator) usable(s *session, w *workload.Worker, now boottime.Instant) bool {
	if w.Draining || s.silent || s.cordon || s.clock.reading == 0 || now < s.avoidUntil {
		return false
	}
	quiet := now.Sub(max(s.contact, s.report))
	return quiet < time.Duration(reportLimit)*o.Settings.ReportInterval
}

// needsHold tells whether a worker has anything to be asked about.
func (s *session) needsHold(w *workload.Worker) bool {
	return len(s.orders) > 0 || w.Noted > s.noted || s.clock.reading == 0
}

func (o *Orchestrator) maybeHold(s *session, w *workload.Worker, now boottime.Instant) {
	if s.holding || now < s.nextHold || !s.needsHold(w) || !o.mayOrder(now) {
		return
	}
	h := executor.Hold{Fence: o.fence(s), Wait: holdWait}
	if s.answering && now.Sub(s.listedAt) < sameLife {
		h.Noted = w.Noted
	}
	if s.clock.reading > 0 && !s.silent {
		h.Lease = s.extend(now, o.Settings.Lease)
	}
	switch {
	case len(s.orders) == 0 || !s.answering:
		h.Wait = 0
	case o.hasYoungRuns(s, now):
		h.Wait = evidenceWait
	}
	s.holding = true
	lead, target := o.lead, executor.Target{ID: s.id, Address: w.Address}
	asked := now
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, h.Wait+callTimeout)
		defer cancel()
		held, err := o.Workers.Hold(ctx, target, h)
		received := boottime.Now()
		lead.Post(func() { o.holdAnswered(s, &h, &held, err, asked, received) })
	})
}
