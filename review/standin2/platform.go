package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform's machine service. All machines are up, in the pool of
// their workers.
type platform struct {
	s       *system
	address string
	server  *http.Server

	mu sync.Mutex
	// odd holds rows of another writer, which follow the rows of the machines.
	odd []any
	// upkept holds whether the upkeep of each machine of the wave has begun.
	upkept map[string]bool
}

// upkeepTime is how long an upkeep takes. It is the platform's maintenance_s.
const upkeepTime = 2 * time.Second

// theWave is the number of the only wave.
const theWave = 1

func newPlatform(s *system) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{s: s, address: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", p.list)
	mux.HandleFunc("POST /-/machine-move", p.move)
	mux.HandleFunc("POST /-/machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	rows := []any{}
	for _, o := range p.s.workers {
		rows = append(rows, o.machineRow())
	}
	p.mu.Lock()
	rows = append(rows, p.odd...)
	p.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// move answers the order of a move. There is one pool, so that none is proper.
func (p *platform) move(w http.ResponseWriter, _ *http.Request) {
	p.s.record.printf("platform: unexpected order of a move")
	respond(w, http.StatusBadRequest, map[string]any{})
}

// addWave makes the wave known to the platform.
func (p *platform) addWave(machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upkept = map[string]bool{}
	for _, m := range machines {
		p.upkept[m] = false
	}
}

// upkeep carries out the order of an upkeep: the machine's worker ends, and a new incarnation joins
// after upkeepTime.
func (p *platform) upkeep(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	begun, ok := p.upkept[in.Machine]
	switch {
	case !ok || in.Wave != theWave:
		respond(w, http.StatusConflict, map[string]any{"reason": "wave"})
		return
	case begun:
		respond(w, http.StatusOK, map[string]any{})
		return
	}
	p.upkept[in.Machine] = true
	p.s.record.printf("platform: upkeep of %s begins", in.Machine)
	for _, o := range p.s.workers {
		if o.machine != in.Machine {
			continue
		}
		o.downState = "upkeep"
		o.crash()
		time.AfterFunc(upkeepTime, func() {
			if err := o.comeBack(); err != nil {
				p.s.record.printf("platform: %v", err)
			}
		})
	}
	respond(w, http.StatusOK, map[string]any{})
}

// setOdd sets the rows of another writer.
func (p *platform) setOdd(rows ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.odd = rows
	for _, row := range rows {
		data, err := json.Marshal(row)
		if err != nil {
			panic(err)
		}
		p.s.record.printf("platform: the list now ends with the odd row %s", data)
	}
	if len(rows) == 0 {
		p.s.record.printf("platform: the list has no odd row any more")
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
