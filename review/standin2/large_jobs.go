package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLargeJobs hands in scheduled jobs that are due at the same moment and have many small tasks
// each. Then a key is added by a new configuration.
func playLargeJobs(s *system, trouble bool) ([]string, error) {
	const (
		workers = 12
		jobs    = 30
		many    = 2_000
		few     = 10
		dueIn   = 6 * time.Second
		after   = 20 * time.Second
	)
	var mu sync.Mutex
	starts := 0
	started := func(*worker, string, int) {
		mu.Lock()
		defer mu.Unlock()
		starts++
	}
	if err := s.startFleet(workers, amount{CPU: 64000, Memory: 131072}, started); err != nil {
		return nil, err
	}
	tasks := few
	if trouble {
		tasks = many
	}
	due := time.Now().Add(dueIn)
	needs := amount{CPU: 10, Memory: 10}
	spec, err := json.Marshal(taskSpec{TakesMS: 500, Needs: needs})
	if err != nil {
		return nil, err
	}
	var accepted []string
	for range jobs {
		id, ok := s.submit(map[string]any{
			"spec": string(spec), "times": 1, "first_at_ms": due.UnixMilli(), "period_ms": 3000,
			"steps": []any{map[string]any{"count": tasks, "cpu": needs.CPU, "mem_mb": needs.Memory, "est_runtime_ms": 500}},
		})
		if ok {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(time.Until(due) + after)
	mu.Lock()
	n := starts
	mu.Unlock()
	s.record.printf("%d runs have begun %s after the jobs were due", n, after)
	var broken []string
	for _, id := range accepted {
		state := s.state(id)
		s.record.printf("GET job %s: %s", id, state)
	}
	if n == 0 {
		broken = append(broken, fmt.Sprintf("LOST: none of %d accepted jobs had a task running for %s after they were due, with all workers up and idle", len(accepted), after))
	}
	if !s.configure(2, 15*time.Second) {
		broken = append(broken, "Acks: a valid configuration had no acknowledgement for 15 s, with all cores up and connected")
	}
	id, _ := s.submit(smallJob(1, 300*time.Millisecond, needs))
	time.Sleep(3 * time.Second)
	s.record.printf("GET job %s: %s", id, s.state(id))
	status, _ := s.job(http.MethodDelete, 0, accepted[0], nil, 3*time.Second)
	s.record.printf("DELETE job %s: %d", accepted[0], status)
	return broken, nil
}
