package main

import (
	"net/http"
	"os"
	"time"
)

// playFirstStart starts the whole system for the first time. One of the three seeds loses power and
// its disk 0.2 s after its start, and is back a second later at its address, with an empty disk and
// with bootstrap=false. The operator then sends the first configuration until it is accepted.
func playFirstStart(s *system, trouble bool) ([]string, error) {
	const (
		spread   = 250 * time.Millisecond // all machines start within 0.3 s of each other
		lostAt   = 200 * time.Millisecond
		backAt   = 1200 * time.Millisecond
		configAt = 3 * time.Second
		limit    = 60 * time.Second
	)
	// The cores that start last are not affected.
	first := s.schedulers[0]
	if err := first.start(); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(lostAt)
		s.record.printf("%s loses power and its disk", first.name)
		first.kill()
		if err := os.RemoveAll(first.dataFolder()); err != nil {
			return nil, err
		}
	}
	s.sleepUntil(spread)
	for _, p := range append(append([]*process{}, s.schedulers[1:]...), s.gateways...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if trouble {
		s.sleepUntil(backAt)
		if err := first.start(); err != nil {
			return nil, err
		}
	}
	s.sleepUntil(configAt)
	w, err := s.addWorker(0, amount{CPU: 16000, Memory: 65536})
	if err != nil {
		return nil, err
	}
	go w.beat()
	accepted := s.configure(1, limit)
	for _, p := range s.schedulers {
		if !p.running() {
			s.record.printf("%s does not run", p.name)
		}
	}
	served := false
	for range 5 {
		id, ok := s.submit(map[string]any{"spec": `{"takes_ms":300,"needs":{"cpu":1000}}`, "steps": []any{map[string]any{"count": 1, "cpu": 1000, "est_runtime_ms": 300}}})
		if ok {
			served = true
			time.Sleep(time.Second)
			s.record.printf("job %s is %s", id, s.state(id))
			break
		}
	}
	status, _ := call(http.MethodGet, "http://"+s.schedulers[1].ip+":8345/-/config", nil, nil, time.Second)
	s.record.printf("GET configuration: %d", status)
	var broken []string
	if !accepted {
		broken = append(broken, "Acks: a valid configuration had no acknowledgement for 60 s, with all five cores up and connected")
	}
	if !served {
		broken = append(broken, "Fault: no request is served")
	}
	return broken, nil
}
