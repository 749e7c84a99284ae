package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playLabelCrash hands in a job that requires the label of a rack with one worker, among nine. The
// worker crashes once, just after it has begun the job's tasks, and is back after 4 s.
func playLabelCrash(s *system, trouble bool) ([]string, error) {
	const (
		workers    = 9
		others     = 6
		takes      = 1300 * time.Millisecond
		crashAfter = 250 * time.Millisecond
		downFor    = 4 * time.Second
		contact    = 4 * time.Second  // calm before the span
		span       = 30 * time.Second // the rule allows 3 s
	)
	var mu sync.Mutex
	var labelled string
	began := make(chan *worker, 1)
	started := func(w *worker, task string, run int) {
		s.record.printf("%s: run %d of %s begins", w.id, run, task)
		mu.Lock()
		defer mu.Unlock()
		if labelled != "" && strings.HasPrefix(task, labelled) {
			select {
			case began <- w:
			default:
			}
		}
	}
	if err := s.startFleet(workers, amount{CPU: 64000, Memory: 131072}, started); err != nil {
		return nil, err
	}
	only := s.workers[workers-1]
	needs := amount{CPU: 7700, Memory: 14000}
	body := smallJob(2, takes, needs)
	body["steps"].([]any)[0].(map[string]any)["required_label"] = only.rack
	id := newJobID()
	mu.Lock()
	labelled = id
	mu.Unlock()
	if !s.submitAs(id, body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	select {
	case w := <-began:
		if w != only {
			return nil, fmt.Errorf("the job began on %s", w.id)
		}
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("the job did not begin")
	}
	if trouble {
		time.Sleep(crashAfter)
		only.crash()
		time.Sleep(downFor)
		if err := only.comeBack(); err != nil {
			return nil, err
		}
	}
	time.Sleep(contact)
	end := time.Now().Add(span)
	ran := false
	for n := 0; time.Now().Before(end) && !ran; n++ {
		if n < others { // the other workers go on with other jobs
			s.submit(smallJob(2, takes, needs))
		}
		time.Sleep(time.Second)
		ran = s.state(id) == "completed" || only.busy() > 0
	}
	s.record.printf("GET job %s: %s", id, s.state(id))
	if !ran {
		return []string{fmt.Sprintf("LOST: accepted job %s had nothing running for %s, with its worker up and idle and no disruption near", id, span)}, nil
	}
	return nil, nil
}
