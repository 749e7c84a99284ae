package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of workers.
const (
	holdMax       = 10 * time.Second
	stopTime      = 100 * time.Millisecond // at most kill_grace_ms
	beatInterval  = 1500 * time.Millisecond
	clockOffset   = 100_000 // milliseconds
	listLimit     = 500
	checkInterval = 5 * time.Millisecond
)

// worker is a stand-in for a worker that stays up. A guarded one rejects what does not fit.
type worker struct {
	s        *system
	id       string
	machine  string
	rack     string
	capacity amount
	address  string
	stopped  chan struct{}
	// downState is the state of the machine while the worker is down.
	downState string
	stopOnce  sync.Once
	// onStart is called for each run that begins, without the lock.
	onStart func(w *worker, task string, run int)
	// leavesUnanswered, if it is set, chooses the calls that get no answer and are carried out late.
	leavesUnanswered func(path string, in *order) bool
	// onNoted is called for each end that is taken note of, with the lock.
	onNoted func(task, outcome string)

	mu       sync.Mutex
	server   *http.Server // nil while the worker is down
	lives    int
	born     int64
	bornAt   time.Time
	fence    uint64
	leaseEnd int64
	running  map[string]*taskRun
	ended    []taskEnd
	lastEnd  int
	highest  map[string]int
	late     []lateCall
	used     amount
	seq      int
	beatTo   string
}

// amount is what a worker has or a task takes.
type amount struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// taskRun is a run of a task.
type taskRun struct {
	number  int
	needs   amount
	began   time.Time
	takes   time.Duration
	lasts   bool
	stopsAt time.Time // zero unless it is being stopped
}

// taskEnd is the end of a run, as the worker lists it.
type taskEnd struct {
	number  int
	task    string
	run     int
	outcome string
}

// taskSpec is the spec of the jobs of the stand-ins: what a task takes, as the worker's program
// knows it.
type taskSpec struct {
	TakesMS int    `json:"takes_ms"`
	Needs   amount `json:"needs"`
	// Lasts is set for tasks that run until they are stopped. They are at work after startupTime.
	Lasts bool `json:"lasts"`
}

const startupTime = 500 * time.Millisecond

// workersPerRack is the number of workers in a rack.
const workersPerRack = 4

func (s *system) addWorker(index int, capacity amount) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		s: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+index), machine: fmt.Sprintf("m-%05x", 0x0a3f1+index), rack: fmt.Sprintf("r1-%d", index/workersPerRack),
		capacity: capacity, address: ln.Addr().String(), stopped: make(chan struct{}), downState: "down",
	}
	w.begin(ln)
	s.workers = append(s.workers, w)
	return w, nil
}

// begin begins a life of the worker, which runs nothing and has seen no fencing token. The lock is
// held, or the worker is not used yet.
func (w *worker) begin(ln net.Listener) {
	now := time.Now()
	w.lives++
	w.born, w.bornAt, w.fence, w.leaseEnd, w.lastEnd, w.seq = now.UnixMilli(), now, 0, 0, 0, 0
	w.running, w.highest, w.ended, w.used = map[string]*taskRun{}, map[string]int{}, nil, amount{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/pace", w.handle(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { respond(out, http.StatusOK, map[string]any{}) })
	server := &http.Server{Handler: mux}
	w.server = server
	go func() { _ = server.Serve(ln) }()
}

// crash ends the worker, by a crash or an upkeep: its port refuses connections, open ones are closed, and all that it ran is
// gone.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.s.record.printf("%s ends with %d runs", w.id, len(w.running))
	_ = w.server.Close()
	w.server, w.running = nil, map[string]*taskRun{}
}

// comeBack starts a new incarnation under the same id, on the same machine and at the same address.
func (w *worker) comeBack() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(ln)
	w.s.record.printf("%s is back under its id, born %d", w.id, w.born)
	return nil
}

// up reports whether the worker is up, and its present id.
func (w *worker) up() (id string, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id, w.server != nil
}

func (w *worker) close() {
	w.stopOnce.Do(func() { close(w.stopped) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		_ = w.server.Close()
	}
}

// machineRow returns the platform's entry for the worker's machine.
func (w *worker) machineRow() map[string]any {
	id, up := w.up()
	state := "up"
	if !up {
		state = w.downState
	}
	return map[string]any{
		"machine": w.machine, "pool": service, "state": state, "zone": "z-a", "labels": []string{"a", w.rack}, "capacity": w.capacity, "id": id,
	}
}

func (w *worker) clock() int64 { return clockOffset + time.Since(w.bornAt).Milliseconds() }

// report returns the worker's next heartbeat.
func (w *worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": service, "addr": w.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": w.capacity, "labels": []string{"a", w.rack}, "wall_clock_ms": w.clock(), "seq": w.seq, "born": w.born,
	}
}

// beat sends heartbeats until the worker is closed.
func (w *worker) beat() {
	const pause = 200 * time.Millisecond
	for n := 0; ; n++ {
		address := w.beatTo
		if address == "" {
			address = fmt.Sprintf("%s:%d", w.s.schedulers[n%len(w.s.schedulers)].ip, controlPort)
		}
		wait := beatInterval
		id, up := w.up()
		if !up {
			time.Sleep(checkInterval)
			continue
		}
		status, data := call(http.MethodPut, "http://"+address+"/-/instances/"+id, nil, w.report(), time.Second)
		var body struct {
			Address string `json:"heartbeat_addr"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, &body) == nil:
			w.beatTo = body.Address
		default:
			w.beatTo, wait = "", pause
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// order is the body of a call to a worker.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	Until        int64  `json:"until_ms"`
	Fence        uint64 `json:"fence"`
	Checkpointed string `json:"checkpointed"`
	SeenUpto     int    `json:"seen_upto"`
	Wait         int64  `json:"wait_ms"`
}

// lateCall is a call that has had no answer.
type lateCall struct {
	path   string
	in     *order
	sentAt time.Time
}

// lateBy is the shortest time after which a call without an answer is carried out.
const lateBy = 2 * time.Second

// carryOutLate carries out the calls that have had no answer, in their order, lateBy after they were
// sent or later, by the present life. After a start it waits until nothing runs.
func (w *worker) carryOutLate() {
	w.mu.Lock()
	calls := w.late
	w.late = nil
	w.mu.Unlock()
	for _, c := range calls {
		time.Sleep(time.Until(c.sentAt.Add(lateBy)))
		w.mu.Lock()
		w.advance()
		result := "refused: fence"
		began := false
		if c.in.Fence >= w.fence {
			w.fence = c.in.Fence
			switch c.path {
			case "/-/run-start":
				status, reason := w.start(c.in)
				result, began = fmt.Sprint(status, " ", reason), status == http.StatusOK
			case "/-/hold":
				result = "carried out"
				w.note(c.in)
			}
		}
		w.s.record.printf("%s: %s of %s run %d seen_upto %d carried out after %s: %s", w.id, c.path, c.in.Task, c.in.Run, c.in.SeenUpto, time.Since(c.sentAt).Round(time.Millisecond), result)
		w.mu.Unlock()
		for began && w.busy() > 0 {
			time.Sleep(checkInterval)
		}
	}
}

// note extends the lease and forgets the ends that a call acknowledges. The lock is held.
func (w *worker) note(in *order) {
	w.extend(in.Until)
	for len(w.ended) > 0 && w.ended[0].number <= in.SeenUpto {
		if w.onNoted != nil {
			w.onNoted(w.ended[0].task, w.ended[0].outcome)
		}
		w.ended = w.ended[1:]
	}
}

// accept decodes a call and checks the incarnation and the fence. It answers the call and returns nil
// if it is not carried out. The lock is held if it returns an order.
func (w *worker) accept(out http.ResponseWriter, r *http.Request) *order {
	in := &order{}
	if json.NewDecoder(r.Body).Decode(in) != nil {
		respond(out, http.StatusBadRequest, map[string]any{"wall_clock_ms": w.clock()})
		return nil
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		respond(out, http.StatusMisdirectedRequest, map[string]any{"wall_clock_ms": w.clock()})
		return nil
	}
	if w.leavesUnanswered != nil && w.leavesUnanswered(r.URL.Path, in) {
		w.mu.Lock()
		w.late = append(w.late, lateCall{r.URL.Path, in, time.Now()})
		w.mu.Unlock()
		w.s.record.printf("%s: %s of %s run %d seen_upto %d gets no answer", w.id, r.URL.Path, in.Task, in.Run, in.SeenUpto)
		<-r.Context().Done()
		return nil
	}
	w.mu.Lock()
	w.advance()
	if in.Fence < w.fence {
		w.mu.Unlock()
		respond(out, http.StatusConflict, map[string]any{"wall_clock_ms": w.clock(), "reason": "fence"})
		return nil
	}
	w.fence = in.Fence
	return in
}

// handle returns the handler of an order that do executes.
func (w *worker) handle(do func(*order) (status int, reason string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		in := w.accept(out, r)
		if in == nil {
			return
		}
		before := w.running[in.Task]
		status, reason := do(in)
		began := w.running[in.Task]
		w.mu.Unlock()
		if began != nil && began != before && w.onStart != nil {
			w.onStart(w, in.Task, in.Run)
		}
		body := map[string]any{"wall_clock_ms": w.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		respond(out, status, body)
	}
}

func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(in *order) (int, string) {
	if in.Until <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(in.Until)
	if r := w.running[in.Task]; r != nil && r.number == in.Run {
		return http.StatusOK, ""
	}
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil {
		return http.StatusConflict, "old"
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(in.Spec), &spec); err != nil {
		w.s.record.printf("%s: start of %s with an unknown spec %q", w.id, in.Task, in.Spec)
		return http.StatusBadRequest, ""
	}
	if w.used.CPU+spec.Needs.CPU > w.capacity.CPU || w.used.Memory+spec.Needs.Memory > w.capacity.Memory {
		return http.StatusConflict, "room"
	}
	w.used.CPU += spec.Needs.CPU
	w.used.Memory += spec.Needs.Memory
	w.running[in.Task] = &taskRun{number: in.Run, needs: spec.Needs, began: time.Now(), takes: time.Duration(spec.TakesMS) * time.Millisecond, lasts: spec.Lasts}
	return http.StatusOK, ""
}

func (w *worker) stop(in *order) (int, string) {
	if r := w.running[in.Task]; r != nil && r.number <= in.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	return http.StatusOK, ""
}

// advance ends the runs that are done, stopped or without a lease. The lock is held.
func (w *worker) advance() {
	now, lapsed := time.Now(), w.clock() > w.leaseEnd
	for task, r := range w.running {
		outcome := ""
		switch {
		case !r.lasts && now.Sub(r.began) >= r.takes:
			outcome = "done"
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			outcome = "stopped"
		case lapsed:
			outcome = "lapsed"
		default:
			continue
		}
		delete(w.running, task)
		w.used.CPU -= r.needs.CPU
		w.used.Memory -= r.needs.Memory
		w.highest[task] = max(w.highest[task], r.number)
		w.lastEnd++
		w.ended = append(w.ended, taskEnd{w.lastEnd, task, r.number, outcome})
		w.s.record.printf("%s: run %d of %s ended %s", w.id, r.number, task, outcome)
	}
}

// runs returns the number of the task's run that the worker executes now, or 0.
func (w *worker) runs(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if r := w.running[task]; r != nil {
		return r.number
	}
	return 0
}

// busy returns the number of runs that the worker executes now.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.running)
}

// percent returns the progress of a run that has not ended. A task that lasts is at work at 100.
func (r *taskRun) percent() int {
	const atWork, most = 100, 99
	switch {
	case r.lasts && time.Since(r.began) >= startupTime:
		return atWork
	case r.lasts || r.takes == 0:
		return 0
	}
	return min(int(atWork*time.Since(r.began)/r.takes), most)
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	in := w.accept(out, r)
	if in == nil {
		return
	}
	w.note(in)
	end := time.Now().Add(time.Duration(in.Wait) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(end) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(checkInterval)
		w.mu.Lock()
		w.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.number, "", run.percent(), run.needs.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), listLimit)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	w.mu.Unlock()
	respond(out, http.StatusOK, map[string]any{"wall_clock_ms": w.clock(), "born": w.born, "running": running, "ended": ended})
}
