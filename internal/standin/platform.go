package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

// PlatformConfig configures a stand-in platform.
type PlatformConfig struct {
	// RebootTime is the duration of a reboot.
	RebootTime time.Duration
	// ReportLag is the time from the start of a task until its usage is reported.
	ReportLag time.Duration
	// LostAnswers is the probability that a call is carried out but its response
	// is lost.
	LostAnswers float64
	Seed        uint64
	// Down and Restart are called when an instance goes down for a reboot and
	// when it comes back; they may be nil.
	Down, Restart func(instance string)
	// RunTime returns how long a task of a job runs; UseFactor returns the ratio of
	// its resource usage to its requested size.
	RunTime   func(job string) time.Duration
	UseFactor func(job string) float64
	// Fails reports whether all tasks started on an instance fail.
	Fails func(instance string) bool
}

// Platform is a stand-in platform. It serves the platform API for instances and
// tasks from memory.
type Platform struct {
	cfg PlatformConfig

	mu           sync.Mutex
	rng          *rand.Rand
	tasks        map[string]*platformTask
	stopped      map[string]bool // tasks that were told to stop, known or not
	instances    map[string]*platform.InstanceInfo
	neverReturns map[string]bool
	starts       map[string]int
	handler      http.Handler
}

type platformTask struct {
	info     platform.TaskInfo
	size     state.Resources
	started  time.Time
	leaseEnd time.Time
	limit    int64 // milli CPU after throttling; 0 means no limit
}

// NewPlatform returns a stand-in platform that knows the given instances.
func NewPlatform(cfg PlatformConfig, instances ...string) *Platform {
	p := &Platform{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), tasks: map[string]*platformTask{}, stopped: map[string]bool{},
		instances: map[string]*platform.InstanceInfo{}, neverReturns: map[string]bool{}, starts: map[string]int{},
	}
	for _, id := range instances {
		p.instances[id] = &platform.InstanceInfo{ID: id, Status: platform.Up}
	}
	r := httprouter.New()
	r.GET("/v1/instances", p.listInstances)
	r.POST("/v1/instances/:id/reboot", p.reboot)
	r.GET("/v1/tasks", p.listTasks)
	r.PUT("/v1/tasks/:id", p.startTask)
	r.DELETE("/v1/tasks/:id", p.stopTask)
	r.POST("/v1/tasks/:id/renew", p.renewTask)
	r.POST("/v1/tasks/:id/checkpoint", p.checkpointTask)
	r.POST("/v1/tasks/:id/throttle", p.throttleTask)
	p.handler = r
	return p
}

// NeverReturns makes the next reboot of an instance never complete.
func (p *Platform) NeverReturns(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neverReturns[id] = true
}

// Starts returns the number of starts of each task, to detect tasks that ran twice.
func (p *Platform) Starts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.starts))
	for k, v := range p.starts {
		out[k] = v
	}
	return out
}

// ServeHTTP serves the platform API. With probability LostAnswers it carries out
// the call and closes the connection without a response.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	lost := p.rng.Float64() < p.cfg.LostAnswers
	p.mu.Unlock()
	if lost {
		p.handler.ServeHTTP(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	p.handler.ServeHTTP(w, r)
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	out := make([]platform.InstanceInfo, 0, len(p.instances))
	for _, i := range p.instances {
		out = append(out, *i)
	}
	p.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	writeJSON(w, out)
}

func (p *Platform) reboot(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var body platform.Reboot
	if !decodeJSON(w, r, &body) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[ps.ByName("id")]
	if inst == nil {
		http.Error(w, "unknown instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	if inst.Request == body.Request {
		return
	}
	inst.Request, inst.Status = body.Request, platform.Rebooting
	p.endTasksOn(inst.ID)
	if p.cfg.Down != nil {
		go p.cfg.Down(inst.ID)
	}
	if p.neverReturns[inst.ID] {
		delete(p.neverReturns, inst.ID)
		return
	}
	time.AfterFunc(p.cfg.RebootTime, func() { p.completeReboot(inst.ID) })
}

func (p *Platform) completeReboot(id string) {
	p.mu.Lock()
	p.instances[id].Status = platform.Up
	p.mu.Unlock()
	if p.cfg.Restart != nil {
		p.cfg.Restart(id)
	}
}

func (p *Platform) endTasksOn(instance string) {
	for _, t := range p.tasks {
		if t.info.Instance == instance && t.info.Status != state.TaskEnded {
			t.info.Status, t.info.Failed = state.TaskEnded, true
		}
	}
}
