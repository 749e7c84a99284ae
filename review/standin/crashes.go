package main

import (
	"context"
	"errors"
	"strings"
	"time"
)

// playCrashes hands in a job of four tasks that last. With trouble, workers crash, one of eight at a
// time.
func playCrashes(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const (
		workers = 8
		crashes = 6
		tasks   = 4
		// maxUnavailable is how many of the tasks the system may make unavailable at a time.
		maxUnavailable = 1
		// downTime is how long a worker is down. The next one crashes after it is back, so that
		// one of the eight is down at a time.
		downTime = time.Second
		// atWork is how long the first task has run when its worker crashes.
		atWork = 1200 * time.Millisecond
		// maxAway is how long a task that lasts may have nothing running.
		maxAway = 6 * time.Second
	)
	d, err := open(ctx, folder, workers, nil)
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	id := newJobID()
	body := job("lasts", []step{{Count: tasks, CPU: taskCPU, Memory: taskMem, Estimate: 700, LongRunning: true, MaxUnavailable: maxUnavailable}})
	if err := d.caller.submit(ctx, firstRoute.prefix, id, body); err != nil {
		return false, err
	}
	d.rec.say("job %s is accepted: %d tasks that last, of which %d may be made unavailable at a time", id, tasks, maxUnavailable)
	host := func() *worker {
		for _, w := range d.fleet.workers {
			for _, r := range w.running {
				if w.up && strings.HasSuffix(r.task, ".0") && time.Since(r.began) >= atWork {
					return w
				}
			}
		}
		return nil
	}
	for n := 1; n <= crashes; n++ {
		waitCtx, cancel := context.WithTimeout(ctx, maxAway+atWork+3*time.Second)
		var w *worker
		ok := d.await(waitCtx, func() bool { w = host(); return w != nil })
		cancel()
		if !ok {
			d.rec.say("after %d crashes, the first task has nothing running for over %.0f s", n-1, maxAway.Seconds())
			break
		}
		if !trouble {
			time.Sleep(2 * time.Second)
			continue
		}
		d.rec.say("worker %s crashes (crash %d); it is down for %.0f s", w.id, n, downTime.Seconds())
		w.finish("a crash")
		go func() {
			time.Sleep(downTime)
			if err := w.begin(""); err != nil {
				d.rec.say("could not start a worker again: %v", err)
			}
		}()
	}
	time.Sleep(downTime + time.Second)
	state := d.caller.state(ctx, firstRoute.prefix, id)
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	running, failures, stopped := 0, 0, 0
	for _, r := range d.fleet.runsOf(id) {
		switch {
		case r.ended.IsZero():
			running++
		case r.how == "failed":
			failures++
		case r.how == "stopped":
			stopped++
			d.rec.say("AVAIL: %s was at work on a sound worker, and was ended by an order after %.1f s", r, r.ended.Sub(r.began).Seconds())
		}
	}
	d.rec.say("the job is shown as %q; %d of its runs have ended failed, %d go on; the client has not cancelled it", state, failures, running)
	return stopped > maxUnavailable && running == 0, nil
}
