package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playRemovedRoute removes the route of an accepted job while the first of its two steps runs. The
// workers of its service stay up.
func playRemovedRoute(s *system, trouble bool) ([]string, error) {
	const (
		takes  = 3 * time.Second
		during = time.Second
		span   = 40 * time.Second
	)
	var mu sync.Mutex
	second := 0
	started := func(w *worker, task string, run int) {
		s.record.printf("%s: run %d of %s begins", w.id, run, task)
		mu.Lock()
		defer mu.Unlock()
		if strings.Split(task, ".")[2] == "1" {
			second++
		}
	}
	if err := s.startFleet(4, amount{CPU: 64000, Memory: 131072}, started); err != nil {
		return nil, err
	}
	id, accepted := s.submit(twoSteps(6, takes, amount{CPU: 3500, Memory: 5100}))
	if !accepted {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(during)
	next := configuration(2)
	routes := next["routes"].([]any)
	other := map[string]any{}
	for name, value := range routes[0].(map[string]any) {
		other[name] = value
	}
	other["name"], other["path_prefix"] = "r-2", "/other/"
	if trouble {
		routes = nil
	}
	next["routes"] = append(routes, other)
	if !s.sendConfiguration(2, next, 10*time.Second) {
		return nil, fmt.Errorf("the second configuration was not acknowledged")
	}
	time.Sleep(span)
	mu.Lock()
	defer mu.Unlock()
	s.record.printf("GET job %s: %s", id, s.state(id))
	if second == 0 {
		return []string{fmt.Sprintf("LOST: the second step of accepted job %s had nothing running for %s, with all workers up and idle", id, span-takes)}, nil
	}
	return nil, nil
}

// twoSteps returns a job whose second step follows the first one.
func twoSteps(tasks int, takes time.Duration, needs amount) map[string]any {
	body := smallJob(tasks, takes, needs)
	first := body["steps"].([]any)[0].(map[string]any)
	second := map[string]any{"after": []int{0}}
	for name, value := range first {
		second[name] = value
	}
	body["steps"] = []any{first, second}
	return body
}
