package main

import (
	"context"
	"errors"
	"time"
)

// playRemovedRoute changes the configuration while a job's first step runs. With trouble, the
// change removes the job's route, otherwise it removes an idle one.
func playRemovedRoute(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const workers = 8
	d, err := open(ctx, folder, workers, nil)
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	id := newJobID()
	body := job("2s", append(steps(4, 2000), step{Count: 4, CPU: taskCPU, Memory: taskMem, Estimate: 2000, After: []int{0}}))
	if err := d.caller.submit(ctx, firstRoute.prefix, id, body); err != nil {
		return false, err
	}
	d.rec.say("job %s is accepted: two steps of 4 tasks, 2 s each", id)
	first, second := id+".0.0.", id+".0.1."
	if !d.await(ctx, func() bool { return len(d.fleet.runsOf(first)) == 4 }) {
		return false, errors.New("the first step has not started")
	}
	kept := []route{firstRoute}
	if trouble {
		kept = []route{idleRoute}
	}
	if err := d.operator.put(ctx, "version 2", configuration(2, service, kept)); err != nil {
		return false, err
	}
	d.rec.say("version 2 is acknowledged; it holds the route %s alone", kept[0].name)
	done := func(prefix string) int {
		n := 0
		for _, r := range d.fleet.runsOf(prefix) {
			if r.how == "done" {
				n++
			}
		}
		return n
	}
	if !d.await(ctx, func() bool { return done(first) == 4 }) {
		return false, errors.New("the first step has not ended")
	}
	d.rec.say("all tasks of step 0 have ended done; the turn of step 1 has come")
	waitCtx, cancel := context.WithTimeout(ctx, finishTime+3*time.Second)
	defer cancel()
	if d.await(waitCtx, func() bool { return done(second) == 4 }) {
		d.rec.say("all tasks of step 1 have ended done")
		return false, nil
	}
	d.fleet.mu.Lock()
	started := len(d.fleet.runsOf(second))
	d.fleet.mu.Unlock()
	d.rec.say("LOST: %.0f s later %d of 4 tasks of step 1 have started; all %d workers are up and idle", (finishTime + 3*time.Second).Seconds(), started, workers)
	return started == 0, nil
}
