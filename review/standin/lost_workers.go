package main

import (
	"context"
	"errors"
	"slices"
	"time"
)

// playLostKind hands in jobs whose tasks last and need the only worker of its kind, and then jobs
// that any worker may run. With trouble, that one worker is lost for good in between.
func playLostKind(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const workers, lasting, rareKind = 8, 8, "b"
	d, err := open(ctx, folder, workers, func(d *deployment) { d.fleet.workers[workers-1].kind = rareKind })
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	for range lasting {
		body := job("lasts", []step{{Count: 1, CPU: taskCPU, Memory: taskMem, Estimate: 700, LongRunning: true, Label: rareKind}})
		if err := d.caller.submit(ctx, firstRoute.prefix, newJobID(), body); err != nil {
			return false, err
		}
	}
	rare := d.fleet.workers[workers-1]
	if !d.await(ctx, func() bool { return len(rare.running) == lasting }) {
		return false, errors.New("the lasting tasks have not started")
	}
	d.rec.say("%d jobs of one lasting task each run on worker %s, the only one with the label they need", lasting, rare.id)
	time.Sleep(5 * time.Second)
	if trouble {
		d.rec.say("worker %s is lost for good", rare.id)
		rare.finish("lost for good")
	}
	time.Sleep(3 * time.Second)
	return d.submitAndAwait(ctx, firstRoute)
}

// playLostAdvised hands in a job of a queue whose policy allows four of 40 workers. With trouble,
// two of these four have been lost for good.
func playLostAdvised(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const workers = 40
	allowed := []int{5, 16, 36, 38}
	d, err := open(ctx, folder, workers, func(d *deployment) {
		allows := func(w *worker) bool { return slices.Contains(allowed, slices.Index(d.fleet.workers, w)) }
		d.fleet.advisor = &advisor{rec: d.rec, allows: allows, f: d.fleet}
	})
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	for _, i := range allowed {
		d.rec.say("the policy of %s allows worker %s", advisedRoute.name, d.fleet.workers[i].id)
	}
	if trouble {
		for _, i := range allowed[:2] {
			d.rec.say("worker %s is lost for good", d.fleet.workers[i].id)
			d.fleet.workers[i].finish("lost for good")
		}
	}
	time.Sleep(3 * time.Second)
	return d.submitAndAwait(ctx, advisedRoute)
}

// submitAndAwait hands in a job of four short tasks, and reports whether none of them starts within
// finishTime although there is capacity.
func (d *deployment) submitAndAwait(ctx context.Context, r route) (lost bool, err error) {
	const tasks, length = 4, 2 * time.Second
	id, spec := newJobID(), length.String()
	if r.advised {
		spec += advisedMark
	}
	if err := d.caller.submit(ctx, r.prefix, id, job(spec, steps(tasks, int(length.Milliseconds())))); err != nil {
		return false, err
	}
	d.rec.say("job %s of %d tasks, %s each, is accepted on queue %s", id, tasks, length, r.name)
	waitCtx, cancel := context.WithTimeout(ctx, finishTime+3*time.Second)
	defer cancel()
	if d.await(waitCtx, func() bool { return len(d.fleet.runsOf(id)) == tasks }) {
		time.Sleep(length + time.Second)
		state := d.caller.state(ctx, r.prefix, id)
		d.rec.say("all of its tasks have started; it is shown as %q", state)
		return false, nil
	}
	state := d.caller.state(ctx, r.prefix, id)
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	up, idle := 0, 0
	for _, w := range d.fleet.workers {
		if w.up {
			up++
			if len(w.running) == 0 {
				idle++
			}
		}
	}
	started := len(d.fleet.runsOf(id))
	d.rec.say("LOST: %.0f s later %d of its %d tasks have started, and it is shown as %q; %d workers are up, %d of them idle",
		(finishTime + 3*time.Second).Seconds(), started, tasks, state, up, idle)
	return started == 0, nil
}
