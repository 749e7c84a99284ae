package standin

import (
	"net/http"
	"sort"
	"time"

	"github.com/julienschmidt/httprouter"

	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body platform.StartTask
	if !decodeJSON(w, r, &body) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := ps.ByName("id")
	if p.tasks[id] != nil {
		w.WriteHeader(http.StatusOK) // a repeated call for a known task has no effect
		return
	}
	if p.stopped[id] {
		http.Error(w, "the task was stopped before", http.StatusConflict)
		return
	}
	inst := p.instances[body.Instance]
	if inst == nil || inst.Status != platform.Up {
		http.Error(w, "the instance is not up", http.StatusConflict)
		return
	}
	now := time.Now()
	t := &platformTask{
		info: platform.TaskInfo{ID: id, Job: body.Job, Instance: body.Instance, Status: state.TaskRunning},
		size: body.Size, started: now, leaseEnd: now.Add(body.Lease),
	}
	if p.cfg.Fails != nil && p.cfg.Fails(body.Instance) {
		t.info.Status, t.info.Failed = state.TaskEnded, true
	}
	p.tasks[id] = t
	p.starts[id]++
	w.WriteHeader(http.StatusCreated)
}

// refresh updates the reported state of a task as of now. The task ends when its
// run time is over, and fails when its lease has expired.
func (p *Platform) refresh(t *platformTask, now time.Time) {
	if t.info.Status == state.TaskEnded {
		return
	}
	if p.cfg.RunTime != nil && now.Sub(t.started) >= p.cfg.RunTime(t.info.Job) {
		t.info.Status = state.TaskEnded
	}
	if now.After(t.leaseEnd) {
		t.info.Status, t.info.Failed = state.TaskEnded, true
	}
	if now.Sub(t.started) >= p.cfg.ReportLag {
		t.info.Used = p.usage(t)
	}
	t.info.LeaseLeft = t.leaseEnd.Sub(now)
}

func (p *Platform) usage(t *platformTask) state.Resources {
	factor := 1.0
	if p.cfg.UseFactor != nil {
		factor = p.cfg.UseFactor(t.info.Job)
	}
	used := state.Resources{
		MilliCPU: int64(factor * float64(t.size.MilliCPU)), MemoryMB: int64(factor * float64(t.size.MemoryMB)),
		Accelerators: t.size.Accelerators,
	}
	if t.limit > 0 {
		used.MilliCPU = min(used.MilliCPU, t.limit)
	}
	return used
}

func (p *Platform) listTasks(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	p.mu.Lock()
	out := make([]platform.TaskInfo, 0, len(p.tasks))
	for _, t := range p.tasks {
		p.refresh(t, now)
		out = append(out, t.info)
	}
	p.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	writeJSON(w, out)
}

// updateTask calls f on the task unless it has ended, and writes the response.
func (p *Platform) updateTask(w http.ResponseWriter, id string, f func(t *platformTask)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tasks[id]
	if t == nil {
		http.Error(w, "unknown task", http.StatusNotFound)
		return
	}
	p.refresh(t, time.Now())
	if t.info.Status != state.TaskEnded {
		f(t)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) stopTask(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	p.mu.Lock()
	p.stopped[ps.ByName("id")] = true // a start that is still on its way is refused
	p.mu.Unlock()
	p.updateTask(w, ps.ByName("id"), func(t *platformTask) { t.info.Status = state.TaskEnded })
}

func (p *Platform) renewTask(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body platform.RenewTask
	if decodeJSON(w, r, &body) {
		p.updateTask(w, ps.ByName("id"), func(t *platformTask) { t.leaseEnd = time.Now().Add(body.Lease) })
	}
}

func (p *Platform) checkpointTask(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	p.updateTask(w, ps.ByName("id"), func(t *platformTask) { t.info.Checkpointed = true })
}

func (p *Platform) throttleTask(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body platform.ThrottleTask
	if decodeJSON(w, r, &body) {
		p.updateTask(w, ps.ByName("id"), func(t *platformTask) { t.limit = body.MilliCPU })
	}
}
