package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// playOverlap runs six control machines, of which two may be lost at a time. With trouble, one of
// them loses power; while the group replaces it, two others lose their disks and the rest lose
// power. All come back.
func playOverlap(ctx context.Context, folder string, trouble bool) (wasBroken bool, err error) {
	const (
		workers   = 4
		recovery  = 12 * time.Second // recovery_s
		askedFor  = 15 * time.Second
		downTime  = time.Second
		replacing = "Removing a silent voter to promote a learner."
	)
	d, err := openWithSpares(ctx, folder, workers, maxSpares, nil)
	if d != nil {
		defer func() { err = errors.Join(err, d.close()) }()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the spare has joined
	id := newJobID()
	body := job("lasts", []step{{Count: 4, CPU: taskCPU, Memory: taskMem, Estimate: 700, LongRunning: true}})
	if err := d.caller.submit(ctx, firstRoute.prefix, id, body); err != nil {
		return false, err
	}
	d.rec.say("job %s is accepted", id)
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.overlap(ctx, replacing, downTime); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	served, asked := 0, 0
	for end := time.Now().Add(askedFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		asked++
		if d.caller.state(ctx, firstRoute.prefix, id) == "active" {
			served++
		}
	}
	read := 0
	for _, node := range d.controlAddresses() {
		status, _, err := call(ctx, callTimeout, http.MethodGet, "http://"+node+"/-/config", nil, nil)
		d.rec.add("operator: GET /-/config at %s -> %d %s", node, status, errorText(err))
		if err == nil && status == http.StatusOK {
			read++
		}
	}
	d.rec.say("from %.0f s after all machines are back: %d of %d calls for the job are answered with its state; %d of %d control machines give the configuration",
		recovery.Seconds(), served, asked, read, len(d.schedulers))
	return 4*served < asked, nil
}

// overlap loses one voter, and then two disks and the power of the others.
func (d *deployment) overlap(ctx context.Context, replacing string, downTime time.Duration) error {
	leader, spare := d.roles()
	var others []*process
	for _, p := range d.schedulers {
		if p != leader && p != spare {
			others = append(others, p)
		}
	}
	if spare == nil || leader == nil || len(others) != schedulers-1 {
		return errors.New("the roles of the control machines are not known")
	}
	silent, wiped, dark := others[0], others[1:3], []*process{leader, others[3], spare}
	silent.kill()
	d.rec.say("%s loses power; its disk stays", silent.name)
	for !leader.logged(replacing) {
		if ctx.Err() != nil {
			return errors.New("the silent voter is not replaced")
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	for _, p := range append(append([]*process{}, wiped...), dark...) {
		go p.kill()
	}
	for _, p := range wiped {
		if err := p.wipe(); err != nil {
			return err
		}
		d.rec.say("%s loses its disk", p.name)
	}
	for _, p := range dark {
		<-p.done
		d.rec.say("%s loses power; its disk stays", p.name)
	}
	time.Sleep(downTime)
	for _, p := range d.schedulers {
		if err := p.again(); err != nil {
			return err
		}
	}
	d.rec.say("all %d control machines are back", len(d.schedulers))
	return nil
}

// roles returns the leader and the scheduler without a vote.
func (d *deployment) roles() (leader, spare *process) {
	d.fleet.mu.Lock()
	to := d.fleet.workers[0].beatTo
	d.fleet.mu.Unlock()
	for i, p := range d.schedulers {
		if d.controlAddresses()[i] == to {
			leader = p
		}
		if p.logged("the replica stays a learner") {
			spare = p
		}
	}
	return leader, spare
}
