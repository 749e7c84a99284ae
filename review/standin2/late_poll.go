package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playLatePoll leaves the starts of a task and a poll that acknowledges ends unanswered at one worker,
// which then crashes, starts again under its id and carries them out late.
func playLatePoll(s *system, trouble bool) ([]string, error) {
	const (
		workers  = 5
		short    = 300 * time.Millisecond
		shortest = 20 * time.Millisecond
		crashAt  = lateBy + 50*time.Millisecond
		downFor  = 60 * time.Millisecond
		settle   = 20 * time.Second
	)
	var mu sync.Mutex
	noted := map[string]bool{}
	var broken []string
	started := func(w *worker, task string, run int) {
		s.record.printf("%s: run %d of %s begins", w.id, run, task)
		mu.Lock()
		defer mu.Unlock()
		if noted[task] {
			broken = append(broken, fmt.Sprintf("TWICE: run %d of %s began on %s after a run had ended done and was taken note of", run, task, w.id))
		}
	}
	if err := s.startFleet(workers, amount{CPU: 64000, Memory: 131072}, started); err != nil {
		return nil, err
	}
	w := s.workers[workers-1]
	for _, o := range s.workers {
		o.onNoted = func(task, outcome string) {
			mu.Lock()
			defer mu.Unlock()
			noted[task] = noted[task] || outcome == "done"
		}
	}
	labelled := func(tasks int, takes time.Duration, needs amount) map[string]any {
		body := smallJob(tasks, takes, needs)
		body["steps"].([]any)[0].(map[string]any)["required_label"] = w.rack
		return body
	}
	// Further tasks are packed on the worker with a task that lasts.
	lasting := labelled(1, time.Second, amount{CPU: 5300, Memory: 17000})
	lasting["spec"] = `{"lasts":true,"needs":{"cpu":5300,"mem_mb":17000}}`
	lasting["steps"].([]any)[0].(map[string]any)["long_running"] = true
	if _, ok := s.submit(lasting); !ok {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	victim := newJobID()
	var late atomic.Bool
	seen := make(chan struct{}, 1)
	if trouble {
		late.Store(true)
		w.leavesUnanswered = func(path string, in *order) bool {
			switch {
			case !late.Load():
				return false
			case path == "/-/run-start":
				return strings.HasPrefix(in.Task, victim)
			case path == "/-/hold" && in.SeenUpto > 0:
				select {
				case seen <- struct{}{}:
					return true
				default:
				}
			}
			return false
		}
	}
	if _, ok := s.submit(labelled(1, short, amount{CPU: 1000, Memory: 1000})); !ok {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(short - 20*time.Millisecond)
	sentAt := time.Now()
	s.submitAs(victim, smallJob(1, shortest, amount{CPU: 1000, Memory: 1000}))
	if trouble {
		time.Sleep(time.Until(sentAt.Add(crashAt)))
		w.crash()
		time.Sleep(downFor)
		late.Store(false)
		if err := w.comeBack(); err != nil {
			return nil, err
		}
		w.carryOutLate()
	}
	time.Sleep(settle)
	s.record.printf("GET job %s: %s", victim, s.state(victim))
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}
