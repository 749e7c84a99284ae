package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet holds the stand-ins of the workers, and what they have begun.
type fleet struct {
	s       *system
	mu      sync.Mutex
	workers []*worker
	jobs    map[string]*job
	starts  []begun
	// late is the share of orders that get no answer and are carried out 2 to 12 s later.
	late float64
}

// begun is a task that a worker has begun on an order.
type begun struct {
	task   string
	run    int
	worker *worker
	at     time.Time
	// late is whether the worker carried out the order late.
	late bool
}

// worker is the stand-in of a worker. Its fields are guarded by the mutex of the fleet.
type worker struct {
	f       *fleet
	id      string
	machine *machine
	ip      string
	port    int
	up      bool
	server  *http.Server
	conns   map[net.Conn]bool
	random  *rand.Rand
	// isCut is whether the worker is cut off from all processes of the system.
	isCut bool

	born     time.Time
	clock0   int64
	seq      uint64
	fence    uint64
	leaseEnd int64
	running  map[string]*execution
	ended    []ending
	lastEnd  uint64
	highest  map[string]int

	draining       bool
	drainAckedAt   time.Time
	acknowledged   bool
	heartbeatAddr  string
	heartbeatIndex int
}

type execution struct {
	run     int
	cpu     int64
	memory  int64
	began   time.Time
	takes   time.Duration
	stopAt  time.Time
	stopped bool
}

type ending struct {
	number uint64
	task   string
	run    int
	how    string
}

func (f *fleet) create() {
	f.jobs = map[string]*job{}
	for _, shape := range f.s.shape.workers {
		pool := serviceName
		if shape.spare {
			pool = spareName
		}
		for range shape.count {
			n := len(f.workers) + 1
			rack := fmt.Sprintf("r-%d", (n-1)/4)
			m := &machine{id: fmt.Sprintf("m-%d", n), pool: pool, state: "up", labels: append([]string{rack}, shape.labels...), capacity: capacity{CPU: shape.cpu, Memory: shape.memory}}
			w := &worker{f: f, machine: m, ip: f.s.address(8080), port: 8080, random: rand.New(rand.NewSource(int64(n)))}
			f.s.platform.machines = append(f.s.platform.machines, m)
			f.workers = append(f.workers, w)
		}
	}
}

func (f *fleet) begin() {
	for _, w := range f.workers {
		if w.machine.pool != spareName {
			w.start()
		}
		go w.sendHeartbeats()
	}
	go f.advanceAll()
}

func (f *fleet) allAcknowledged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.up && !w.acknowledged {
			return false
		}
	}
	return true
}

func (f *fleet) addJob(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// advanceAll ends what is due on all workers.
func (f *fleet) advanceAll() {
	for {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		for _, w := range f.workers {
			w.advance()
		}
		f.mu.Unlock()
	}
}

// start begins a life of the worker. It runs nothing and knows nothing of an earlier one.
func (w *worker) start() {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.port))
	w.f.s.require(err == nil, "worker: %v", err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.order(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.order(w.runStop))
	mux.HandleFunc("POST /-/pace", w.order(func(*orderBody, bool) (int, map[string]any) { return http.StatusOK, nil }))
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.born = time.Now()
	w.id = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(w.machine.id, "m-"), w.born.UnixMilli()%1_000_000)
	w.clock0, w.seq, w.fence, w.leaseEnd, w.lastEnd = 1+w.random.Int63n(1_000_000), 0, 0, 0, 0
	w.running, w.ended, w.highest = map[string]*execution{}, nil, map[string]int{}
	w.draining, w.acknowledged, w.heartbeatAddr, w.conns = false, false, "", map[net.Conn]bool{}
	conns := w.conns
	w.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		conns[c] = state != http.StateClosed && state != http.StateHijacked
	}}
	w.up = true
	w.f.s.platform.set(w.machine, "up", w.id)
	w.f.s.note("worker", "%s is up on %s", w.id, w.machine.id)
	go func(server *http.Server) { _ = server.Serve(ln) }(w.server)
}

// crash ends a life of the worker at once, and its machine is down.
func (w *worker) crash() {
	w.end()
	w.f.s.platform.set(w.machine, "down", "")
}

// on returns the worker of a machine.
func (f *fleet) on(m *machine) *worker {
	for _, w := range f.workers {
		if w.machine == m {
			return w
		}
	}
	panic(cannotRun("no worker on " + m.id))
}

func (w *worker) isUp() bool {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.up
}

// end ends a life of the worker at once. Its connections are reset.
func (w *worker) end() {
	w.f.mu.Lock()
	w.f.s.note("worker", "%s ends with %d runs", w.id, len(w.running))
	w.up = false
	w.running, w.ended = map[string]*execution{}, nil
	server := w.server
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.f.mu.Unlock()
	_ = server.Close()
}

// cut cuts the worker off from all processes of the system, or joins it again.
func (w *worker) cut(cut bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.isCut = cut
	w.f.s.note("worker", "%s is cut off: %v", w.id, cut)
}

func (w *worker) clock() int64 { return w.clock0 + time.Since(w.born).Milliseconds() }

// advance ends the runs that are done or stopped, and all when the lease ends.
func (w *worker) advance() {
	now := time.Now()
	for task, e := range w.running {
		switch {
		case e.stopped && !now.Before(e.stopAt):
			w.endRun(task, e, "stopped")
		case e.takes > 0 && !now.Before(e.began.Add(e.takes)):
			w.endRun(task, e, "done")
		case w.clock() > w.leaseEnd:
			w.endRun(task, e, "lapsed")
		}
	}
}

func (w *worker) endRun(task string, e *execution, how string) {
	delete(w.running, task)
	w.lastEnd++
	w.highest[task] = max(w.highest[task], e.run)
	w.ended = append(w.ended, ending{w.lastEnd, task, e.run, how})
	w.f.s.note("worker", "%s: %s run %d has ended: %s", w.id, task, e.run, how)
}

func (w *worker) extendLease(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+holdMax.Milliseconds()))
}

// orderBody is the body of an order.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	SeenUpto uint64 `json:"seen_upto"`
	Wait     int64  `json:"wait_ms"`
}

type handler func(in *orderBody, late bool) (int, map[string]any)

// order returns the handler of an order that do carries out.
func (w *worker) order(do handler) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		in := new(orderBody)
		if json.NewDecoder(r.Body).Decode(in) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := w.execute(r, in, do)
		w.answer(out, r, status, body)
	}
}

// answer answers a call, unless the status is 0.
func (w *worker) answer(out http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	if status == 0 {
		<-r.Context().Done()
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// execute carries out a call and returns the answer. The status is 0 if there is none.
func (w *worker) execute(r *http.Request, in *orderBody, do handler) (int, map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	switch {
	case !w.up || w.isCut:
		return 0, nil
	case w.random.Float64() < w.f.late:
		id := w.id
		time.AfterFunc(2*time.Second+time.Duration(w.random.Int63n(int64(10*time.Second))), func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.up && !w.isCut && w.id == id {
				w.carryOut(r, in, true, do)
			}
		})
		return 0, nil
	}
	return w.carryOut(r, in, false, do)
}

func (w *worker) carryOut(r *http.Request, in *orderBody, late bool, do handler) (int, map[string]any) {
	w.advance()
	var status int
	var body map[string]any
	switch {
	case r.Header.Get("X-Expect-Instance") != w.id:
		status = http.StatusMisdirectedRequest
	case in.Fence < w.fence:
		status, body = http.StatusConflict, map[string]any{"reason": "fence"}
	default:
		w.fence = in.Fence
		status, body = do(in, late)
	}
	if body == nil {
		body = map[string]any{}
	}
	body["wall_clock_ms"] = w.clock()
	return status, body
}

// task returns what a task needs, by its name.
func (f *fleet) task(name string) (*step, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || f.jobs[parts[0]] == nil {
		return nil, false
	}
	n, err := strconv.Atoi(parts[2])
	if steps := f.jobs[parts[0]].steps; err == nil && n < len(steps) {
		return &steps[n], true
	}
	return nil, false
}

func (w *worker) runStart(in *orderBody, late bool) (int, map[string]any) {
	if in.Until <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extendLease(in.Until)
	if e := w.running[in.Task]; e != nil && e.run == in.Run {
		return http.StatusOK, nil
	}
	if in.Run <= w.highest[in.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	st, known := w.f.task(in.Task)
	if !known {
		return http.StatusBadRequest, nil
	}
	cpu, memory := st.CPU, st.Memory
	for _, e := range w.running {
		cpu, memory = cpu+e.cpu, memory+e.memory
	}
	if cpu > w.machine.capacity.CPU || memory > w.machine.capacity.Memory {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	w.running[in.Task] = &execution{run: in.Run, cpu: st.CPU, memory: st.Memory, began: time.Now(), takes: st.takes}
	w.f.starts = append(w.f.starts, begun{in.Task, in.Run, w, time.Now(), late})
	w.f.s.note("worker", "%s: %s run %d has begun (fence %d, order carried out late: %v)", w.id, in.Task, in.Run, in.Fence, late)
	return http.StatusOK, nil
}

func (w *worker) runStop(in *orderBody, _ bool) (int, map[string]any) {
	if e := w.running[in.Task]; e != nil && e.run <= in.Run && !e.stopped {
		e.stopped, e.stopAt = true, time.Now().Add(killGrace/4)
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	return http.StatusOK, nil
}

// hold answers with both lists, once a run has ended or the wait is over.
func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	in := new(orderBody)
	if json.NewDecoder(r.Body).Decode(in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	id := w.lifeID()
	limit := time.Now().Add(time.Duration(min(in.Wait, 2000)) * time.Millisecond)
	status, body := w.execute(r, in, func(in *orderBody, _ bool) (int, map[string]any) {
		if in.Until > 0 {
			w.extendLease(in.Until)
		}
		for len(w.ended) > 0 && w.ended[0].number <= in.SeenUpto {
			w.ended = w.ended[1:]
		}
		return http.StatusOK, w.lists()
	})
	for status == http.StatusOK && len(body["ended"].([][]any)) == 0 && time.Now().Before(limit) {
		time.Sleep(5 * time.Millisecond)
		status, body = w.listsOf(id)
	}
	w.answer(out, r, status, body)
}

func (w *worker) lifeID() string {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.id
}

// listsOf returns the lists of a life of the worker, if it goes on.
func (w *worker) listsOf(id string) (int, map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up || w.isCut || w.id != id {
		return 0, nil
	}
	w.advance()
	body := w.lists()
	body["wall_clock_ms"] = w.clock()
	return http.StatusOK, body
}

func (w *worker) lists() map[string]any {
	running := [][]any{}
	for task, e := range w.running {
		percent := int64(100)
		if e.takes > 0 {
			percent = min(time.Since(e.began).Milliseconds()*100/e.takes.Milliseconds(), 99)
		}
		running = append(running, []any{task, e.run, "", percent, e.cpu})
	}
	ended := [][]any{}
	for i, e := range w.ended {
		if i == 500 {
			break
		}
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": ended}
}

// sendHeartbeats sends heartbeats as long as the script runs.
func (w *worker) sendHeartbeats() {
	time.Sleep(time.Duration(w.randomN(int64(heartbeat / 4))))
	for {
		acknowledged := w.sendHeartbeat()
		wait := heartbeat - heartbeat/10 + time.Duration(w.randomN(int64(heartbeat/5)))
		if !acknowledged {
			wait = 100 * time.Millisecond
		}
		until := time.Now().Add(wait)
		for before := w.stateNow(); time.Now().Before(until) && w.stateNow() == before; {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (w *worker) randomN(n int64) int64 {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.random.Int63n(n)
}

// lifeState is what a worker reports at once when it changes.
type lifeState struct {
	id       string
	draining bool
}

func (w *worker) stateNow() lifeState {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return lifeState{w.id, w.draining}
}

// sendHeartbeat sends a heartbeat to the address that it was given, or to the next node. It returns
// true if it was acknowledged within a second, or if there is nothing to send.
func (w *worker) sendHeartbeat() bool {
	w.f.mu.Lock()
	if !w.up || w.isCut {
		w.f.mu.Unlock()
		return true
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	id, draining, address := w.id, w.draining, w.heartbeatAddr
	if address == "" {
		cores := w.f.s.schedulers()
		w.heartbeatIndex++
		address = fmt.Sprintf("%s:%d", cores[w.heartbeatIndex%len(cores)].ip, controlPort)
	}
	body, err := json.Marshal(map[string]any{
		"service": w.machine.pool, "addr": fmt.Sprintf("%s:%d", w.ip, w.port), "zone": "z0", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": w.machine.capacity, "labels": w.machine.labels, "machine": w.machine.id, "wall_clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.f.mu.Unlock()
	if err != nil {
		return false
	}
	sentAt := time.Now()
	status, data := w.f.s.send(http.MethodPut, fmt.Sprintf("http://%s/-/instances/%s", address, id), "", "", body)
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.id != id || w.isCut {
		return true
	}
	if status != http.StatusOK || time.Since(sentAt) > time.Second {
		w.heartbeatAddr = ""
		return false
	}
	var answer struct {
		Address string `json:"heartbeat_addr"`
	}
	if json.Unmarshal(data, &answer) == nil && answer.Address != "" {
		w.heartbeatAddr = answer.Address
	}
	if !w.acknowledged {
		w.f.s.note("worker", "%s: the first heartbeat is acknowledged", id)
	}
	w.acknowledged = true
	if draining && w.drainAckedAt.IsZero() {
		w.drainAckedAt = time.Now()
		w.f.s.note("worker", "%s: the heartbeat with draining is acknowledged", id)
	}
	return true
}

// drain makes a worker report that it drains.
func (w *worker) drain() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.draining = true
	w.f.s.note("worker", "%s drains", w.id)
}

// leave ends a worker that has drained.
func (w *worker) leave() {
	id := w.lifeID()
	for _, n := range w.f.s.schedulers() {
		if status, _ := w.f.s.send(http.MethodDelete, fmt.Sprintf("http://%s:%d/-/instances/%s", n.ip, controlPort, id), "", "", nil); status == http.StatusOK {
			break
		}
	}
	w.crash()
}

// startsOf returns what was begun, in order.
func (f *fleet) startsOf(accept func(*begun) bool) []begun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []begun
	for i := range f.starts {
		if accept(&f.starts[i]) {
			out = append(out, f.starts[i])
		}
	}
	return out
}

func (b *begun) job() string { return strings.SplitN(b.task, ".", 2)[0] }
