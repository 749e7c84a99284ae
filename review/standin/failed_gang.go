package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// playFailedGang hands in a job whose step is a gang. With trouble, one worker fails all that it
// starts.
func playFailedGang(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const (
		workers, members = 12, 4
		maxAttempts      = 3 // of the configuration
		length           = 2 * time.Second
		// greyTime is how long the worker fails what it starts.
		greyTime = 6 * time.Second
	)
	d, err := open(ctx, folder, workers, nil)
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		w := d.fleet.workers[0]
		d.fleet.mu.Lock()
		w.fails = true
		d.fleet.mu.Unlock()
		d.rec.say("worker %s fails all that it starts", w.id)
		time.AfterFunc(greyTime, func() {
			d.fleet.mu.Lock()
			defer d.fleet.mu.Unlock()
			w.fails = false
			d.rec.add("worker %s is sound again", w.id)
		})
	}
	id := newJobID()
	gang := []step{{Count: members, CPU: taskCPU, Memory: taskMem, Estimate: int(length.Milliseconds()), Gang: true}}
	if err := d.caller.submit(ctx, firstRoute.prefix, id, job(fmt.Sprint(length, gangMark, members), gang)); err != nil {
		return false, err
	}
	d.rec.say("job %s is accepted: a gang of %d tasks, %d attempts", id, members, maxAttempts)
	state := ""
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		if state = d.caller.state(ctx, firstRoute.prefix, id); state == "completed" || state == "failed" {
			break
		}
	}
	d.fleet.mu.Lock()
	failedRuns := map[int]int{}
	for _, r := range d.fleet.runsOf(id) {
		if r.how == "failed" {
			failedRuns[r.number]++
		}
	}
	d.fleet.mu.Unlock()
	d.rec.say("the job is shown as %q; by number of the gang's run, members that ended failed: %v", state, failedRuns)
	if state == "failed" && len(failedRuns) < maxAttempts {
		d.rec.say("LOST: the job is shown as failed after %d of %d attempts", len(failedRuns), maxAttempts)
		return true, nil
	}
	return false, nil
}
