package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// smallJob returns a job of one step whose tasks take a time.
func smallJob(tasks int, takes time.Duration, needs amount) map[string]any {
	spec, err := json.Marshal(taskSpec{TakesMS: int(takes.Milliseconds()), Needs: needs})
	if err != nil {
		panic(err)
	}
	return map[string]any{
		"spec": string(spec),
		"steps": []any{map[string]any{
			"count": tasks, "cpu": needs.CPU, "mem_mb": needs.Memory, "est_runtime_ms": takes.Milliseconds(),
		}},
	}
}

// startFleet starts the system with a number of workers and its first configuration.
func (s *system) startFleet(workers int, capacity amount, onStart func(*worker, string, int)) error {
	const bootTime = 2 * time.Second
	for i := range workers {
		w, err := s.addWorker(i, capacity)
		if err != nil {
			return err
		}
		w.onStart = onStart
	}
	if err := s.startAll(); err != nil {
		return err
	}
	time.Sleep(bootTime)
	for _, w := range s.workers {
		go w.beat()
	}
	if !s.configure(1, 20*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(2 * beatInterval)
	return nil
}

// twiceCheck notes each start of a task that runs on another worker.
type twiceCheck struct {
	s      *system
	mu     sync.Mutex
	broken []string
}

func (c *twiceCheck) started(w *worker, task string, run int) {
	c.s.record.printf("%s: run %d of %s begins", w.id, run, task)
	for _, other := range c.s.workers {
		if other == w {
			continue
		}
		if n := other.runs(task); n != 0 {
			c.mu.Lock()
			c.broken = append(c.broken, fmt.Sprintf("TWICE: run %d of %s began on %s while run %d went on at %s, both up", run, task, w.id, n, other.id))
			c.mu.Unlock()
		}
	}
}

// playOddMachine adds an entry of another writer to the platform's list of machines for 5 s: that of
// a machine that is listed properly too, without the field id.
func playOddMachine(s *system, trouble bool) ([]string, error) {
	const (
		jobs    = 8
		between = 500 * time.Millisecond
		oddFor  = 5 * time.Second
		takes   = 7 * time.Second
	)
	check := &twiceCheck{s: s}
	if err := s.startFleet(4, amount{CPU: 64000, Memory: 131072}, check.started); err != nil {
		return nil, err
	}
	for range jobs {
		s.submit(smallJob(6, takes, amount{CPU: 3500, Memory: 5100}))
		time.Sleep(between)
	}
	if trouble {
		row := s.busiest().machineRow()
		delete(row, "id")
		s.platform.setOdd(row)
	}
	time.Sleep(oddFor)
	s.platform.setOdd()
	time.Sleep(2 * takes)
	check.mu.Lock()
	defer check.mu.Unlock()
	return check.broken, nil
}
