package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is the stand-in of the platform's list of machines and of the moves of machines between
// pools.
type platform struct {
	s        *system
	address  string
	mu       sync.Mutex
	machines []*machine
	// moved takes the pool of each move that is accepted. It is nil if there are no moves.
	moved chan string
}

// machine is a machine of the platform with the worker on it.
type machine struct {
	id       string
	pool     string
	state    string // up or down
	worker   string
	labels   []string
	capacity capacity
}

type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

func newPlatform(s *system) *platform {
	const port = 8344
	p := &platform{s: s}
	ip := s.address(port)
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	s.require(err == nil, "platform: %v", err)
	p.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", p.list)
	mux.HandleFunc("POST /-/machine-move", p.move)
	mux.HandleFunc("POST /-/machine-upkeep", p.refuse)
	go func() { _ = http.Serve(ln, mux) }()
	return p
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z0", "labels": m.labels, "capacity": m.capacity}
		if m.state == "up" {
			row["id"] = m.worker
		}
		rows = append(rows, row)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": ""})
}

// migrateTime is how long a move takes.
const migrateTime = 1500 * time.Millisecond

// move moves a machine to another pool: its worker ends, and a new one joins the pool.
func (p *platform) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || p.moved == nil {
		p.refuse(w, r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		switch {
		case m.id != in.Machine:
			continue
		case m.state != "up":
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"busy"}`))
			return
		case m.pool != in.Pool:
			p.s.note("platform", "%s moves from %s to %s", m.id, m.pool, in.Pool)
			m.pool, m.state, m.worker = in.Pool, "moving", ""
			go p.arrive(m, in.Pool)
			p.moved <- in.Pool
		}
		_, _ = w.Write([]byte("{}"))
		return
	}
	p.refuse(w, r)
}

// arrive ends the worker of a machine that moves, and starts a new one in the new pool.
func (p *platform) arrive(m *machine, pool string) {
	w := p.s.fleet.on(m)
	if w.isUp() {
		w.end()
	}
	time.Sleep(migrateTime)
	if pool == spareName {
		p.set(m, "up", "")
		return
	}
	w.start()
}

// refuse answers a call that no case needs.
func (p *platform) refuse(w http.ResponseWriter, r *http.Request) {
	p.s.note("platform", "refused %s", r.URL.Path)
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write([]byte("{}"))
}

// set changes the state of a machine and the worker on it.
func (p *platform) set(m *machine, state, worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state, m.worker = state, worker
}
