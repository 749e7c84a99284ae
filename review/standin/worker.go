package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// fleet holds the workers of a deployment and the history of all runs.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	workers []*worker
	runs    []*run
	// runTime is how long a task runs, by its spec; 0 means until it is stopped.
	runTime func(spec string) time.Duration
	// advisor checks the tickets of starts; nil means that they need none.
	advisor *advisor
	lives   int
}

// run is the execution of a task on a worker.
type run struct {
	task   string
	number int
	worker string
	began  time.Time
	ended  time.Time // zero while it goes on
	how    string
	length time.Duration
	stopAt time.Time // when a stop takes effect; zero without one
	// gang is the number of tasks of the step if they work only together, otherwise 0.
	gang int
}

// worker is a machine with the worker that runs on it, or none while it is down.
type worker struct {
	f       *fleet
	machine string
	kind    string // the first label
	zone    string
	rack    string
	service string
	address string
	control []string
	// fails reports that the worker fails all that it starts.
	fails bool
	// orders is the address that the worker reports; it is that of a link if there is one.
	orders string

	// The mutex of the fleet guards the fields below. They belong to the present life.
	id       string
	up       bool
	draining bool
	born     time.Time
	seq      uint64
	fence    uint64
	lease    int64
	running  map[string]*run
	ended    []end
	lastEnd  uint64
	highest  map[string]int // by task: the highest run that has ended or was stopped
	beatTo   string
	lastAck  time.Time
	stopLife context.CancelFunc
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
}

type end struct {
	number uint64
	run    *run
}

const (
	workerCPU = 64000
	workerMem = 131072
	taskCPU   = 8000
	taskMem   = 1024
	// usualKind is the kind of workers unless a case says otherwise.
	usualKind = "a"
)

func (f *fleet) add(index int, service, address string, control []string) *worker {
	w := &worker{
		f: f, machine: fmt.Sprintf("m-%03d", index), kind: usualKind, zone: zones[index%len(zones)], rack: fmt.Sprintf("r%d-1", index%len(zones)),
		service: service, address: address, orders: address, control: slices.Clone(control),
	}
	f.workers = append(f.workers, w)
	return w
}

// newID returns an id for another life of a worker.
func (f *fleet) newID() string {
	f.lives++
	return fmt.Sprintf("i-%08x", 0x7f3a0000+f.lives)
}

// begin begins a life under an id; an empty one means a new id.
func (w *worker) begin(id string) error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if id == "" {
		id = w.f.newID()
	}
	w.id, w.up, w.draining, w.born, w.seq, w.fence, w.lease, w.lastEnd = id, true, false, time.Now(), 0, 0, 0, 0
	w.running, w.ended, w.highest, w.beatTo = map[string]*run{}, nil, map[string]int{}, ""
	w.conns = map[net.Conn]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	w.stopLife, w.listener = cancel, ln
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.startRun))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /-/pace", w.handle(func(*orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", w.hold)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ConnState: w.trackConn}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	go w.beat(ctx)
	go w.advanceUntil(ctx)
	w.f.rec.add("worker %s begins on %s, born %d", id, w.machine, w.born.UnixMilli())
	return nil
}

func (w *worker) trackConn(c net.Conn, state http.ConnState) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if state == http.StateClosed {
		delete(w.conns, c)
	} else if w.conns != nil {
		w.conns[c] = true
	}
}

// finish ends the present life: everything that runs terminates, and connections are reset.
func (w *worker) finish(why string) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.stopLife()
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "gone with its worker"
		w.f.rec.add("worker %s: %s run %d is gone with its worker", w.id, r.task, r.number)
	}
	w.running = nil
	w.f.rec.add("worker %s ends: %s", w.id, why)
}

// clock returns the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// advanceUntil lets the runs go on until the life ends.
func (w *worker) advanceUntil(ctx context.Context) {
	const interval = 5 * time.Millisecond
	for ctx.Err() == nil {
		w.f.mu.Lock()
		if w.up && ctx.Err() == nil {
			w.advance(time.Now())
		}
		w.f.mu.Unlock()
		time.Sleep(interval)
	}
}

func (w *worker) advance(now time.Time) {
	for _, r := range w.running {
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.endRun(r, "stopped")
		case w.clock() > w.lease:
			w.endRun(r, "lapsed")
		case r.gang > 0:
			w.advanceMember(r, now)
		case r.length > 0 && r.stopAt.IsZero() && now.Sub(r.began) >= r.length:
			w.endRun(r, "done")
		}
	}
}

// advanceMember lets a member of a gang go on. The members work from the moment on at which all are
// present, and end together.
func (w *worker) advanceMember(r *run, now time.Time) {
	const gangWait = 3 * time.Second
	step := r.task[:strings.LastIndexByte(r.task, '.')+1]
	present, complete := 0, r.began
	for _, o := range w.f.runsOf(step) {
		switch {
		case o.number != r.number:
		case !o.ended.IsZero() && o.how == "done":
			w.endRun(r, "done")
			return
		case !o.ended.IsZero():
			w.endRun(r, "broken")
			return
		default:
			present++
			if o.began.After(complete) {
				complete = o.began
			}
		}
	}
	switch {
	case present == r.gang && now.Sub(complete) >= r.length:
		w.endRun(r, "done")
	case present < r.gang && now.Sub(r.began) >= gangWait:
		w.endRun(r, "alone")
	}
}

func (w *worker) endRun(r *run, how string) {
	delete(w.running, r.task)
	r.ended, r.how = time.Now(), how
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, r})
	w.f.rec.add("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	SeenUpto uint64 `json:"seen_upto"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// answerBody is the body of a worker's response.
type answerBody struct {
	Clock   int64   `json:"wall_clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// read decodes a call and checks whether it is meant for this worker. It returns the status of the
// refusal, or 200. The fleet is locked.
func (w *worker) read(in *orderBody, expected string) (int, string) {
	switch {
	case !w.up:
		return http.StatusServiceUnavailable, ""
	case expected != w.id:
		return http.StatusMisdirectedRequest, ""
	case in.Fence < w.fence:
		return http.StatusConflict, "fence"
	}
	w.fence = in.Fence
	return http.StatusOK, ""
}

func (w *worker) handle(do func(*orderBody) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var in orderBody
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.f.mu.Lock()
		w.advanceIfUp()
		status, reason := w.read(&in, r.Header.Get("X-Expect-Instance"))
		if status == http.StatusOK {
			status, reason = do(&in)
		}
		w.f.rec.add("worker %s: %s %s run %d fence %d until %d at %d -> %d %s", w.id, r.URL.Path, in.Task, in.Run, in.Fence, in.Until, w.clock(), status, reason)
		body := answerBody{Clock: w.clock(), Born: w.born.UnixMilli(), Reason: reason}
		w.f.mu.Unlock()
		writeAnswer(out, status, &body)
	}
}

func (w *worker) advanceIfUp() {
	if w.up {
		w.advance(time.Now())
	}
}

func writeAnswer(out http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *worker) extend(until int64) { w.lease = max(w.lease, min(until, w.clock()+holdMaxMS)) }

func (w *worker) startRun(in *orderBody) (int, string) {
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
	if w.f.advisor != nil && strings.HasSuffix(in.Spec, advisedMark) && !w.f.advisor.valid(in.Task, w, in.Ticket) {
		return http.StatusConflict, "ticket"
	}
	if (len(w.running)+1)*taskCPU > workerCPU {
		return http.StatusConflict, "room"
	}
	r := &run{task: in.Task, number: in.Run, worker: w.id, began: time.Now(), length: w.f.runTime(in.Spec), gang: gangOf(in.Spec)}
	w.running[in.Task] = r
	w.f.runs = append(w.f.runs, r)
	if w.fails {
		w.endRun(r, "failed")
	}
	return http.StatusOK, ""
}

func (w *worker) stopRun(in *orderBody) (int, string) {
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.running[in.Task]; r != nil && r.number <= in.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(killGrace / 2)
	}
	return http.StatusOK, ""
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	var in orderBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	const interval = 5 * time.Millisecond
	until := time.Now().Add(time.Duration(in.Wait) * time.Millisecond)
	for first := true; ; first = false {
		w.f.mu.Lock()
		w.advanceIfUp()
		status, reason := w.read(&in, r.Header.Get("X-Expect-Instance"))
		if status == http.StatusOK && first {
			w.extend(in.Until)
			w.ended = slices.DeleteFunc(w.ended, func(e end) bool { return e.number <= in.SeenUpto })
		}
		body := answerBody{Clock: w.clock(), Born: w.born.UnixMilli(), Reason: reason}
		ready := status != http.StatusOK || len(w.ended) > 0 || time.Now().After(until)
		if ready && status == http.StatusOK {
			body.Running, body.Ended = w.lists()
		}
		w.f.mu.Unlock()
		if ready {
			writeAnswer(out, status, &body)
			return
		}
		time.Sleep(interval)
	}
}

// lists returns the runs that go on and those that have ended.
func (w *worker) lists() (running, ended [][]any) {
	const startup = 300 * time.Millisecond
	running, ended = [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if age := time.Since(r.began); r.length > 0 {
			percent = min(int(100*age/r.length), 99)
		} else if age < startup {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, taskCPU})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	return running, ended
}

// beat sends heartbeats until the life ends.
func (w *worker) beat(ctx context.Context) {
	for node := 0; ctx.Err() == nil; {
		w.f.mu.Lock()
		to := w.beatTo
		if to == "" {
			to = w.control[node%len(w.control)]
		}
		w.f.mu.Unlock()
		next, ok := w.beatOnce(ctx, newClient(), to)
		w.f.mu.Lock()
		w.beatTo = next
		if ok {
			w.lastAck = time.Now()
		}
		w.f.mu.Unlock()
		if !ok {
			node++
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatMS * time.Millisecond):
		}
	}
}

// beatOnce sends one heartbeat, and returns the address for later ones.
func (w *worker) beatOnce(ctx context.Context, client *http.Client, to string) (next string, ok bool) {
	w.f.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	id := w.id
	data, err := json.Marshal(map[string]any{
		"service": w.service, "addr": w.orders, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{w.kind, w.rack}, "machine": w.machine,
		"wall_clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.f.mu.Unlock()
	if err != nil {
		return "", false
	}
	status, body, err := callOn(ctx, client, callTimeout, http.MethodPut, "http://"+to+"/-/instances/"+id, nil, data)
	w.f.rec.add("worker %s: heartbeat %s to %s -> %d %s", id, state, to, status, errorText(err))
	var answer struct {
		Address string `json:"heartbeat_addr"`
	}
	if err != nil || status/100 != 2 || json.Unmarshal(body, &answer) != nil {
		return "", false
	}
	return answer.Address, true
}

// retire tells that the worker drains, and waits until that is acknowledged.
func (w *worker) retire(ctx context.Context) {
	w.f.mu.Lock()
	w.draining = true
	nodes := append([]string{w.beatTo}, w.control...)
	w.f.mu.Unlock()
	for _, to := range nodes {
		if to == "" || ctx.Err() != nil {
			continue
		}
		if _, ok := w.beatOnce(ctx, newClient(), to); ok {
			return
		}
	}
}

// leave deregisters the worker at the given nodes in turn until one acknowledges.
func (w *worker) leave(ctx context.Context, client *http.Client, nodes []string) {
	for _, to := range nodes {
		status, _, err := callOn(ctx, client, callTimeout, http.MethodDelete, "http://"+to+"/-/instances/"+w.id, nil, nil)
		w.f.rec.say("worker %s: DELETE to %s -> %d %s", w.id, to, status, errorText(err))
		if err == nil && status/100 == 2 {
			return
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// newRequest returns a request with a JSON body.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err == nil && len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, err
}
