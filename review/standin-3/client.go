package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// configuration is a configuration of the operator.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []*tenant        `json:"tenants"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Weight   float64  `json:"weight"`
	Cap      capacity `json:"cap"`
}

const (
	callerHost  = "cases.example"
	serviceName = "workers"
	spareName   = "spare"
	otherName   = "other"
)

func newConfiguration() *configuration {
	c := &configuration{Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	c.service(serviceName, false)
	return c
}

// service adds a service.
func (c *configuration) service(name string, standby bool) {
	c.Services = append(c.Services, map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": standby})
}

// route adds a route that needs a key.
func (c *configuration) route(name string, stretch float64, objective int) {
	c.Routes = append(c.Routes, map[string]any{
		"name": name, "host": callerHost, "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": objective, "priority": 0,
		"service": serviceName, "max_attempts": 3, "stretch": stretch, "public": false,
	})
}

// tenant adds a tenant with one key, which is its name with "-key".
func (c *configuration) tenant(name string, limit capacity) {
	c.Tenants = append(c.Tenants, &tenant{Name: name, Keys: []string{name + "-key"}, Priority: 1, Weight: 36, Cap: limit})
}

func keyOf(tenant string) string { return tenant + "-key" }

// configure sends the current configuration under the next version until it is acknowledged.
func (s *system) configure() {
	s.version += 3
	s.current.Version = s.version
	body, err := json.Marshal(s.current)
	s.require(err == nil, "configuration: %v", err)
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; ; i++ {
		cores := s.schedulers()
		n := cores[i%len(cores)]
		status, _ := s.send(http.MethodPut, fmt.Sprintf("http://%s:%d/-/config", n.ip, controlPort), "", "", body)
		if status == http.StatusOK {
			s.note("operator", "version %d acknowledged by %s", s.version, n.name)
			return
		}
		s.require(time.Now().Before(deadline), "version %d isn't acknowledged: %d", s.version, status)
		time.Sleep(200 * time.Millisecond)
	}
}

// send makes a call and returns its status, or 0 without an answer, and its body.
func (s *system) send(method, url, host, key string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	s.require(err == nil, "call: %v", err)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	request.Host = host
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// step is a step of a job. Its worker-side duration stands in the spec of the job.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Memory      int64  `json:"mem_mb"`
	Estimate    int64  `json:"est_runtime_ms"`
	After       []int  `json:"after,omitempty"`
	Label       string `json:"required_label,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	// MaxPerWorker is anti_affinity on the wire.
	MaxPerWorker   int  `json:"anti_affinity,omitempty"`
	MaxUnavailable *int `json:"max_unavailable,omitempty"`

	// takes is how long a task runs. It is zero for one that runs until it is stopped.
	takes time.Duration
}

// job is a job of a client.
type job struct {
	id         string
	route      string
	tenant     string
	steps      []step
	acceptedAt time.Time
}

// call makes a client's call at a gateway.
func (s *system) call(n *node, method, route, id, tenant string, body []byte) (int, []byte) {
	began := time.Now()
	status, data := s.send(method, fmt.Sprintf("http://%s:%d/%s/%s", n.ip, callerPort, route, id), callerHost, keyOf(tenant), body)
	s.note("client", "%s /%s/%s at %s: %d %s (%d ms)", method, route, id, n.name, status, bytes.TrimSpace(data), time.Since(began).Milliseconds())
	return status, data
}

// submit hands a job in until it is accepted.
func (s *system) submit(route, tenant string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", s.random.Uint64()), route: route, tenant: tenant, steps: steps}
	s.fleet.addJob(j)
	body, err := json.Marshal(map[string]any{"spec": "case", "steps": steps})
	s.require(err == nil, "job: %v", err)
	gateways := s.gateways()
	for i := range 30 {
		n := gateways[i%len(gateways)]
		if status, _ := s.call(n, http.MethodPost, route, j.id, tenant, body); status == http.StatusOK {
			j.acceptedAt = time.Now()
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic(cannotRun("job " + j.id + " isn't accepted"))
}

// state asks for the state of a job.
func (s *system) state(j *job) string {
	var body struct {
		State string `json:"state"`
	}
	status, data := s.call(s.gateways()[0], http.MethodGet, j.route, j.id, j.tenant, nil)
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return body.State
}

// pending asks a gateway for the number of jobs of a route that have not begun.
func (s *system) pending(n *node, route, tenant string) (int, bool) {
	var body struct {
		Pending int `json:"pending"`
	}
	status, data := s.call(n, http.MethodGet, route, "", tenant, nil)
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return 0, false
	}
	return body.Pending, true
}
