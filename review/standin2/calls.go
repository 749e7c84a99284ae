package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// call sends a request with a JSON body, which may be nil, and returns the status and the body of the
// response. The status is 0 if there was no response.
func call(method, url string, header map[string]string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		if name == "Host" {
			request.Host = value
		} else {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	out, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, out
}

// Names in the configuration.
const (
	host    = "h.example"
	prefix  = "/q/"
	service = "s"
	key     = "keyoftenanta"
)

// configuration returns a valid configuration with one queue, one service and one tenant.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 600, "priority": 0,
			"service": service, "max_attempts": 3, "stretch": 1.6, "public": false,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "t-1", "api_keys": []string{key}, "priority": 1, "weight": 100, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	}
}

// configure sends a configuration to the schedulers in turn until one acknowledges it or the time is
// over, with an increasing pause as the operator makes it. It reports whether it was acknowledged.
func (s *system) configure(version int, limit time.Duration) bool {
	return s.sendConfiguration(version, configuration(version), limit)
}

func (s *system) sendConfiguration(version int, body map[string]any, limit time.Duration) bool {
	const firstPause, longestPause = 100 * time.Millisecond, time.Second
	end, pause, last := time.Now().Add(limit), firstPause, -1
	for n := 0; time.Now().Before(end); n++ {
		p := s.schedulers[n%len(s.schedulers)]
		status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/config", p.ip, controlPort), nil, body, time.Second)
		if status != last || status == http.StatusOK {
			s.record.printf("PUT configuration %d at %s: %d", version, p.name, status)
			last = status
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, longestPause)
	}
	s.record.printf("configuration %d was not acknowledged within %s", version, limit)
	return false
}

// newJobID returns a job ID of a client.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job sends a call for a job through a gateway.
func (s *system) job(method string, gateway int, id string, body any, timeout time.Duration) (int, []byte) {
	header := map[string]string{"Host": host, "Api-Key": key, "X-Deadline-Ms": fmt.Sprint(timeout.Milliseconds())}
	return call(method, fmt.Sprintf("http://%s:%d%s%s", s.gateways[gateway%len(s.gateways)].ip, callerPort, prefix, id), header, body, timeout)
}

// submit hands in a job with a new ID. It returns the ID and whether the job was accepted.
func (s *system) submit(body map[string]any) (string, bool) {
	id := newJobID()
	return id, s.submitAs(id, body)
}

// submitAs hands a job in until it is accepted, at most four times, and reports whether it was.
func (s *system) submitAs(id string, body map[string]any) bool {
	const attempts, deadline, pause = 4, 3 * time.Second, 300 * time.Millisecond
	for n := range attempts {
		status, _ := s.job(http.MethodPost, n, id, body, deadline)
		s.record.printf("POST job %s: %d", id, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// state returns the state of a job as a gateway shows it, or the status of the response.
func (s *system) state(id string) string {
	status, data := s.job(http.MethodGet, 0, id, nil, time.Second)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}
