package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// playOddReport sends one heartbeat of another writer under the id of the busiest worker: with a
// service that isn't named anywhere, the writer's own address and a count of its own. The worker goes
// on sending its heartbeats. At the other address, each call is refused as one for another
// incarnation.
func playOddReport(s *system, trouble bool) ([]string, error) {
	const (
		jobs    = 8
		between = 500 * time.Millisecond
		takes   = 7 * time.Second
		ahead   = 100
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
		address, closeWriter, err := s.startWriter()
		if err != nil {
			return nil, err
		}
		defer closeWriter()
		w := s.busiest()
		odd := w.report()
		odd["service"], odd["addr"], odd["seq"] = "another", address, w.seq+ahead
		p := s.schedulers[0]
		status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", p.ip, controlPort, w.id), nil, odd, time.Second)
		s.record.printf("another writer: heartbeat as %s with service %v, address %s and seq %v at %s: %d", w.id, odd["service"], address, odd["seq"], p.name, status)
	}
	time.Sleep(2 * takes)
	check.mu.Lock()
	defer check.mu.Unlock()
	return check.broken, nil
}

// startWriter starts the server of another writer, which is none of the workers that are called.
func (s *system) startWriter() (address string, closeWriter func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		s.record.printf("another writer: call of %s for %s: 421", r.URL.Path, r.Header.Get("X-Expect-Instance"))
		respond(out, http.StatusMisdirectedRequest, map[string]any{"wall_clock_ms": time.Now().UnixMilli() % clockOffset})
	})}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), func() { _ = server.Close() }, nil
}

// busiest returns the worker with the most runs.
func (s *system) busiest() *worker {
	busiest := s.workers[0]
	for _, w := range s.workers {
		if w.busy() > busiest.busy() {
			busiest = w
		}
	}
	return busiest
}
