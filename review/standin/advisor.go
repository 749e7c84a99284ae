package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the policy service, as the configuration states them.
const (
	decideTime     = 50 * time.Millisecond
	decideInterval = 2 * time.Millisecond
	ticketTime     = 3 * time.Second
)

// advisor is the policy service of a queue. It handles one call at a time.
type advisor struct {
	rec *record
	// allows reports whether the policy allows a machine to run a step.
	allows func(w *worker) bool
	f      *fleet

	turn    sync.Mutex
	mu      sync.Mutex
	tickets map[string]time.Time // by step, worker and ticket: until when it is valid
	last    int
}

func (a *advisor) serve(address string) (*http.Server, error) {
	a.tickets = map[string]time.Time{}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(ln) }()
	return s, nil
}

func (a *advisor) advise(out http.ResponseWriter, r *http.Request) {
	const maxWorkers = 100
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > maxWorkers {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(in.Workers))*decideInterval)
	a.turn.Unlock()
	good := [][]string{}
	a.f.mu.Lock()
	for _, id := range in.Workers {
		for _, w := range a.f.workers {
			if w.id == id && w.up && a.allows(w) {
				good = append(good, []string{id, a.ticket(in.Step, id)})
			}
		}
	}
	a.f.mu.Unlock()
	a.rec.add("policy: asked about %s and %d workers, %s to %s -> %v", in.Step, len(in.Workers), in.Workers[0], in.Workers[len(in.Workers)-1], good)
	writeAnswer(out, http.StatusOK, map[string]any{"good": good, "validity_ms": ticketTime.Milliseconds()})
}

func ticketKey(step, worker, ticket string) string { return step + " " + worker + " " + ticket }

func (a *advisor) ticket(step, worker string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	ticket := fmt.Sprintf("c81e-%08x", a.last)
	a.tickets[ticketKey(step, worker, ticket)] = time.Now().Add(ticketTime)
	return ticket
}

// valid reports whether a task may start on a worker with a ticket.
func (a *advisor) valid(task string, w *worker, ticket string) bool {
	if ticket == "" {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return time.Now().Before(a.tickets[ticketKey(step, w.id, ticket)])
}
