package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

// deployment is a small deployment: the project's programs, workers of one service, the platform's
// list of machines, an operator and a caller.
type deployment struct {
	*cluster
	fleet    *fleet
	cloud    *http.Server
	hint     *http.Server // nil without a policy service
	operator *operator
	caller   *caller
}

const service = "huvo11a"

// firstRoute is the queue of the cases; idleRoute is one that nobody uses.
var (
	firstRoute = route{"r-iikdrbn", "/puxa400/", service, false}
	idleRoute  = route{"r-qiqrh4j", "/zizi35/", service, false}

	advisedRoute = route{"r-f83fgfw", "/defi252/", service, true}
)

var errNotReady = errors.New("the deployment did not become ready")

// open starts a deployment with a number of workers, and waits until a job has run. prepare, which
// may be nil, changes the stand-ins before they begin.
func open(ctx context.Context, folder string, workers int, prepare func(*deployment)) (*deployment, error) {
	return openWithSpares(ctx, folder, workers, 0, prepare)
}

// openWithSpares is open with further schedulers.
func openWithSpares(ctx context.Context, folder string, workers, spares int, prepare func(*deployment)) (*deployment, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	c, err := newCluster(rec, spares)
	if err != nil {
		return nil, errors.Join(err, rec.close())
	}
	d := &deployment{
		cluster: c, fleet: &fleet{rec: rec, runTime: specTime},
		operator: &operator{rec, c.controlAddresses()}, caller: &caller{rec: rec, front: c.frontAddresses()},
	}
	for i := range workers {
		d.fleet.add(i, service, c.net.address(firstWorker+i, workerPort), c.controlAddresses())
	}
	if prepare != nil {
		prepare(d)
	}
	return d, d.begin(ctx)
}

func (d *deployment) begin(ctx context.Context) error {
	var err error
	if d.cloud, err = (&cloud{d.fleet}).serve(d.net.address(cloudHost, cloudPort)); err != nil {
		return err
	}
	if d.fleet.advisor != nil {
		if d.hint, err = d.fleet.advisor.serve(d.net.address(hintHost, cloudPort)); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	if err := d.operator.put(ctx, "version 1", configuration(1, service, []route{firstRoute, idleRoute, advisedRoute})); err != nil {
		return errors.Join(errNotReady, err)
	}
	for _, w := range d.fleet.workers {
		if err := w.begin(""); err != nil {
			return err
		}
	}
	if !d.await(ctx, func() bool { return d.acknowledged(len(d.fleet.workers)) }) {
		return errNotReady
	}
	id := newJobID()
	if err := d.caller.submit(ctx, firstRoute.prefix, id, job("300ms", steps(1, 300))); err != nil {
		return errors.Join(errNotReady, err)
	}
	for d.caller.state(ctx, firstRoute.prefix, id) != "completed" {
		if ctx.Err() != nil {
			return errNotReady
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.say("the deployment is ready")
	return nil
}

// acknowledged reports whether a number of workers have had an acknowledgement in their present
// lives. The fleet is locked.
func (d *deployment) acknowledged(n int) bool {
	for _, w := range d.fleet.workers {
		if w.up && w.lastAck.After(w.born) {
			n--
		}
	}
	return n <= 0
}

// await waits until a condition holds, which is checked with the fleet locked.
func (d *deployment) await(ctx context.Context, holds func() bool) bool {
	for ctx.Err() == nil {
		d.fleet.mu.Lock()
		ok := holds()
		d.fleet.mu.Unlock()
		if ok {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// close ends everything that was started.
func (d *deployment) close() error {
	for _, w := range d.fleet.workers {
		w.finish("the case is over")
	}
	if d.cloud != nil {
		_ = d.cloud.Close()
	}
	if d.hint != nil {
		_ = d.hint.Close()
	}
	d.cluster.close()
	return d.rec.close()
}

// step is a step of a job.
type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu"`
	Memory         int    `json:"mem_mb"`
	Estimate       int    `json:"est_runtime_ms"`
	After          []int  `json:"after,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	Label          string `json:"required_label,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
}

func steps(count, estimate int) []step {
	return []step{{Count: count, CPU: taskCPU, Memory: taskMem, Estimate: estimate}}
}

// job returns the body of a job. Its spec is the run time of each task, which the workers read.
func job(spec string, steps []step) []byte {
	data, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		panic(err) // it holds texts and numbers only
	}
	return data
}

// advisedMark ends the spec of jobs whose starts need a ticket.
const advisedMark = " advised"

// specTime returns the run time of a task by its spec.
func specTime(spec string) time.Duration {
	first, _, _ := strings.Cut(spec, " ")
	d, err := time.ParseDuration(first)
	if err != nil {
		return 0 // it lasts
	}
	return d
}

// gangOf returns the size of the gang of a task by its spec, or 0.
func gangOf(spec string) int {
	var size int
	if _, text, ok := strings.Cut(spec, gangMark); ok {
		_, _ = fmt.Sscan(text, &size)
	}
	return size
}

// gangMark stands before the size of the gang in the spec of its tasks.
const gangMark = " gang "

// runsOf returns the runs of the tasks whose name begins so. The fleet is locked.
func (f *fleet) runsOf(prefix string) []*run {
	var out []*run
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, prefix) {
			out = append(out, r)
		}
	}
	return out
}

func (r *run) String() string {
	return fmt.Sprintf("%s run %d on %s", r.task, r.number, r.worker)
}

// during reports how long two runs went on at the same time until now.
func (r *run) during(o *run, now time.Time) time.Duration {
	until := func(r *run) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	begin, end := r.began, until(r)
	if o.began.After(begin) {
		begin = o.began
	}
	if e := until(o); e.Before(end) {
		end = e
	}
	return end.Sub(begin)
}
