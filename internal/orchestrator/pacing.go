package orchestrator

import (
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/relay"
	"cactusspar/internal/scheduling"
)

// fullPace is the processor limit, in percent, of an unlimited task.
const fullPace = 100

// unknownPace is the processor limit of a task for which the last call had no response, or for
// which a former leader may have set one.
const unknownPace = -1

// paceInterval is the minimum time between two pace changes on a worker. Workers
// report response times over the last half second.
const paceInterval = 600 * time.Millisecond

// adjustPace throttles the best-effort tasks on a worker while a latency-sensitive task
// on it misses its target, and raises their limit again afterwards.
func (o *Orchestrator) adjustPace(s *session, now boottime.Instant) {
	if now.Sub(s.pacedAt) < paceInterval {
		return
	}
	latencyLoad, hasBestEffort := 0.0, false
	state := o.leadership.State()
	if u := state.Usage(s.id); u == nil || u.BestEffort == 0 {
		s.pace = fullPace
		return
	}
	for id, r := range s.orders {
		j := state.Jobs[id.Task.Job]
		if j == nil || len(j.Steps) <= id.Task.Step || r.phase != running {
			continue
		}
		step := &j.Steps[id.Task.Step]
		hasBestEffort = hasBestEffort || step.BestEffort
		if step.TailLatencyTarget > 0 {
			latencyLoad = max(latencyLoad, float64(r.load)/float64(step.TailLatencyTarget.Milliseconds()))
		}
	}
	if !hasBestEffort {
		s.pace = fullPace
		return
	}
	if s.pacedAt == 0 {
		s.markPacesUnknown()
	}
	next := scheduling.Pace(s.pace, latencyLoad)
	s.pacedAt = now
	if next != s.pace {
		o.Log.Info("Changed the pace of best-effort tasks.", "worker", s.id, "percent", next, "former", s.pace, "load", latencyLoad)
		s.pace = next
	}
	o.sendPaces(s)
}

// markPacesUnknown marks the paces of the runs that earlier leaders ordered as unknown: they may have
// slowed them down.
func (s *session) markPacesUnknown() {
	for _, r := range s.orders {
		if r.adopted {
			r.pace = unknownPace
		}
	}
}

// sendPaces sends the worker's pace to each of its best-effort tasks that has another one.
func (o *Orchestrator) sendPaces(s *session) {
	state := o.leadership.State()
	w := state.Workers[s.id]
	if w == nil {
		return
	}
	for id, r := range s.orders {
		j := state.Jobs[id.Task.Job]
		if j == nil || len(j.Steps) <= id.Task.Step || !j.Steps[id.Task.Step].BestEffort || r.phase != running || r.pace == s.pace {
			continue
		}
		pace := executor.Pace{Task: id.Task, Run: id.Number, Fence: o.fence(s), Percent: s.pace}
		r.pace = unknownPace // unless the worker responds
		o.relayClient.Do(relay.Call{Target: executor.Target{ID: s.id, Address: w.Address}, Pace: &pace}, boottime.Now(), callTimeout, func(response relay.Response) {
			if response.Err == nil {
				r.pace = pace.Percent
			} else {
				o.count("worker_call_failures_total", "pace")
			}
		})
	}
}
