package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// ErrOutcomeUnknown reports that the platform may or may not have carried out the call.
// The call may be repeated.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// ErrNotFound reports an unknown task or instance.
var ErrNotFound = errors.New("not found")

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 20
)

// Client calls the platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the given base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Start starts a task. It has no effect if a task was already started under this id.
func (c *Client) Start(ctx context.Context, task string, s StartTask) error {
	return c.call(ctx, http.MethodPut, "/v1/tasks/"+url.PathEscape(task), s, nil)
}

// Renew extends the lease of a task.
func (c *Client) Renew(ctx context.Context, task string, lease time.Duration) error {
	return c.call(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(task)+"/renew", RenewTask{lease}, nil)
}

// Checkpoint requests that a task save its progress.
func (c *Client) Checkpoint(ctx context.Context, task string) error {
	return c.call(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(task)+"/checkpoint", struct{}{}, nil)
}

// Throttle limits the processor usage of a task.
func (c *Client) Throttle(ctx context.Context, task string, milliCPU int64) error {
	return c.call(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(task)+"/throttle", ThrottleTask{milliCPU}, nil)
}

// Stop stops a task. It returns no error if the task has ended or is unknown: the platform
// then refuses a start of it that arrives later.
func (c *Client) Stop(ctx context.Context, task string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/tasks/"+url.PathEscape(task), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Tasks lists all tasks known to the platform.
func (c *Client) Tasks(ctx context.Context) ([]TaskInfo, error) {
	var tasks []TaskInfo
	return tasks, c.call(ctx, http.MethodGet, "/v1/tasks", nil, &tasks)
}

// Instances lists all instances known to the platform.
func (c *Client) Instances(ctx context.Context) ([]InstanceInfo, error) {
	var instances []InstanceInfo
	return instances, c.call(ctx, http.MethodGet, "/v1/instances", nil, &instances)
}

// Reboot reboots an instance, at most once for each request id.
func (c *Client) Reboot(ctx context.Context, instance, request string) error {
	return c.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/reboot", Reboot{request}, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return Error.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.New("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return Error.New("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	case len(data) > maxResponseBytes:
		return Error.New("%s %s: response is longer than %d bytes", method, path, maxResponseBytes)
	case resp.StatusCode == http.StatusNotFound:
		return Error.New("%s %s: %w", method, path, ErrNotFound)
	case resp.StatusCode >= http.StatusInternalServerError:
		return Error.New("%s %s: %w: %s", method, path, ErrOutcomeUnknown, resp.Status)
	case resp.StatusCode/100 != 2:
		return Error.New("%s %s: %s: %.200s", method, path, resp.Status, data)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(data, response); err != nil {
		return Error.New("%s %s: response: %w", method, path, err)
	}
	return nil
}
