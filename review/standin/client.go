package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// call makes one call on a connection of its own. It gives the call up, and closes the connection,
// after a time without a response.
func call(ctx context.Context, timeout time.Duration, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	return callOn(ctx, newClient(), timeout, method, url, header, body)
}

// newClient returns a client with a connection for each call.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// callOn is call with a client that may have a connection.
func callOn(ctx context.Context, client *http.Client, timeout time.Duration, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		if name == "Host" {
			r.Host = value
		} else {
			r.Header.Set(name, value)
		}
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

const (
	host   = "pule25.example"
	apiKey = "sjnbanfqasnmgkcuyj8p"
	tenant = "cugo130"
)

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	// advised queues have a policy service.
	advised bool
}

// operator sends configurations.
type operator struct {
	rec     *record
	control []string
}

// configuration returns a complete configuration.
func configuration(version int, service string, routes []route) []byte {
	var list []map[string]any
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 2500,
			"priority": 0, "service": r.service, "max_attempts": 3, "stretch": 2.2, "public": false,
		}
		if r.advised {
			row["hint"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "interval_ms": decideInterval.Milliseconds(), "validity_ms": ticketTime.Milliseconds()}
		}
		list = append(list, row)
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "weight": 36, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	if err != nil {
		panic(err) // it holds texts and numbers only
	}
	return data
}

// put sends a configuration until it is acknowledged.
func (o *operator) put(ctx context.Context, what string, body []byte) error {
	const timeout, pause = 2 * time.Second, 200 * time.Millisecond
	for node := 0; ctx.Err() == nil; node++ {
		to := o.control[node%len(o.control)]
		status, _, err := call(ctx, timeout, http.MethodPut, "http://"+to+"/-/config", nil, body)
		o.rec.add("operator: PUT /-/config (%s) to %s -> %d %s", what, to, status, errorText(err))
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status/100 == 4:
			return fmt.Errorf("the configuration %s was refused with %d", what, status)
		}
		time.Sleep(pause)
	}
	return ctx.Err()
}

// caller submits jobs.
type caller struct {
	rec   *record
	front []string
	next  int
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const callerDeadline = 3 * time.Second

func (c *caller) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	to := c.front[c.next%len(c.front)]
	c.next++
	header := map[string]string{"Host": host, "Api-Key": apiKey, "X-Deadline-Ms": fmt.Sprint(callerDeadline.Milliseconds())}
	status, data, err := call(ctx, callerDeadline, method, "http://"+to+path, header, body)
	c.rec.add("client: %s %s at %s -> %d %s %s", method, path, to, status, data, errorText(err))
	return status, data, err
}

// submit hands in a job until it is accepted, or the tries are used up.
func (c *caller) submit(ctx context.Context, prefix, id string, body []byte) error {
	const tries, pause = 40, 300 * time.Millisecond
	for range tries {
		status, _, err := c.call(ctx, http.MethodPost, prefix+id, body)
		if err == nil && status/100 == 2 {
			return nil
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("the job %s was not accepted", id)
}

// state returns the state of a job, or the status of the response.
func (c *caller) state(ctx context.Context, prefix, id string) string {
	status, data, err := c.call(ctx, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return body.State
}
