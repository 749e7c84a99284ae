package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// networkTrip is the round trip between two zones.
	networkTrip = 5 * time.Millisecond
	// minCut is how long the path is cut at least. It is whole again after the next heartbeat, at
	// most beatMS later, so that the cut is shorter than the 5.5 s of node_cut.
	minCut = 3800 * time.Millisecond
	// minOverlap is how long two runs have to go on at the same time to count, so that nothing
	// depends on the order of events within a few milliseconds.
	minOverlap = 100 * time.Millisecond
)

// playLateLeave restarts a worker under its id. With trouble, its path to one control node is cut
// when it deregisters, so that the call arrives there only after the worker has started again.
func playLateLeave(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const workers, tasksEach = 8, workerCPU / taskCPU
	d, err := open(ctx, folder, workers, nil)
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	w := d.fleet.workers[0]
	d.fleet.mu.Lock()
	leader := w.beatTo
	d.fleet.mu.Unlock()
	follower := ""
	nodes := []string{}
	for _, node := range d.controlAddresses() {
		if node != leader && follower == "" {
			follower = node
		} else {
			nodes = append(nodes, node)
		}
	}
	path := d.net.address(firstLink, controlPort)
	l, err := newLink(path, follower, networkTrip)
	if err != nil {
		return false, err
	}
	d.rec.say("worker %s drains, to be restarted; it reaches %s through %s", w.id, follower, path)
	w.retire(ctx)
	time.Sleep(2500 * time.Millisecond) // drain_ms, and a little longer
	// The worker has a connection to the follower, on which it reports as it does to any node.
	connection := &http.Client{Transport: &http.Transport{}}
	if _, ok := w.beatOnce(ctx, connection, path); !ok {
		return false, errors.New("the follower did not acknowledge a heartbeat")
	}
	heal := func() {}
	cutAt := time.Now()
	if trouble {
		heal = l.cut()
		d.rec.say("the path from %s to %s is cut", w.id, follower)
	}
	id := w.id
	w.leave(ctx, connection, append([]string{path}, nodes...))
	w.finish("a planned restart")
	// The others are busy when the worker is back, so that the next job's tasks start on it.
	if err := d.caller.submit(ctx, firstRoute.prefix, newJobID(), job("3s", steps((workers-1)*tasksEach, 3000))); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if err := w.begin(id); err != nil {
		return false, err
	}
	if !d.await(ctx, func() bool { return d.acknowledged(workers) }) {
		return false, errNotReady
	}
	d.rec.say("worker %s has started again under its id", id)
	jobID := newJobID()
	if err := d.caller.submit(ctx, firstRoute.prefix, jobID, job("12s", steps(tasksEach, 12000))); err != nil {
		return false, err
	}
	if !d.await(ctx, func() bool { return len(w.running) > 0 }) {
		return false, errors.New("the restarted worker has no task")
	}
	d.rec.say("worker %s runs tasks of job %s", id, jobID)
	time.Sleep(time.Until(cutAt.Add(minCut)))
	beats := time.Now()
	if !d.await(ctx, func() bool { return w.lastAck.After(beats) }) {
		return false, errors.New("the restarted worker has no acknowledgement")
	}
	heal()
	if trouble {
		d.rec.say("the path from %s to %s is whole again after %.1f s", id, follower, time.Since(cutAt).Seconds())
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
		if d.caller.state(ctx, firstRoute.prefix, jobID) == "completed" {
			break
		}
		time.Sleep(time.Second)
	}
	return d.reportOverlaps(), nil
}

// reportOverlaps reports the runs of one task that went on at the same time on workers that were
// up, and whether there are any.
func (d *deployment) reportOverlaps() bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	now, found := time.Now(), 0
	for i, r := range d.fleet.runs {
		for _, o := range d.fleet.runs[i+1:] {
			if r.task == o.task && r.during(o, now) >= minOverlap {
				found++
				d.rec.say("TWICE: %s (%s) and %s (%s) at the same time for %d ms", r, r.how, o, o.how, r.during(o, now).Milliseconds())
			}
		}
	}
	return found > 0
}
