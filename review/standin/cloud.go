package main

import (
	"net"
	"net/http"
	"time"
)

// cloud is the platform's list of machines. No machine is ever moved or maintained in these cases:
// there is one service, and no wave.
type cloud struct{ f *fleet }

func (c *cloud) serve(address string) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(ln) }()
	return s, nil
}

func (c *cloud) list(out http.ResponseWriter, _ *http.Request) {
	c.f.mu.Lock()
	rows := []map[string]any{}
	for _, w := range c.f.workers {
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{
			"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": []string{w.kind, w.rack},
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "id": id,
		})
	}
	c.f.mu.Unlock()
	writeAnswer(out, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}
