package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cactusspar/internal/dispatch"
)

// announceLoop announces the endpoint at intervals to one entry instance. When an
// announcement fails, it switches to the next one and tries again sooner.
func (e *Endpoint) announceLoop(ctx context.Context) {
	var sequence uint64
	next := int(e.cfg.Announcement.Incarnation) % max(1, len(e.cfg.Entries))
	if next < 0 {
		next = 0
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.waitResumed(ctx)
		wait := e.cfg.AnnounceInterval
		sequence++
		if len(e.cfg.Entries) > 0 {
			if err := e.announce(ctx, e.cfg.Entries[next], sequence); err != nil {
				next = (next + 1) % len(e.cfg.Entries)
				wait /= 5
			}
		}
		timer.Reset(wait)
	}
}

func (e *Endpoint) announce(ctx context.Context, base string, sequence uint64) error {
	a := e.cfg.Announcement
	a.Sequence = sequence
	a.Running = int(e.running.Load())
	m := e.membership.Load()
	a.Pool, a.PoolEpoch = m.Pool, m.PoolEpoch
	e.sequence.Store(sequence)
	response, err := e.send(ctx, http.MethodPut, base+"/v1/endpoints/"+a.ID, a)
	if err != nil {
		return err
	}
	e.adoptPool(response)
	return nil
}

// adoptPool switches to the pool that the system has committed for this instance.
// A change of pool waits until the requests of the previous one have ended.
func (e *Endpoint) adoptPool(response announceResponse) {
	m := e.membership.Load()
	if response.Pool == "" || response.PoolEpoch < m.PoolEpoch {
		return
	}
	if response.PoolEpoch != m.PoolEpoch && m.PoolEpoch != 0 && e.running.Load() > 0 {
		return
	}
	e.membership.Store(&response)
}

// deregister deregisters the endpoint at the first entry instance that accepts it.
func (e *Endpoint) deregister(ctx context.Context) error {
	a := e.cfg.Announcement
	path := fmt.Sprintf("/v1/endpoints/%s?incarnation=%d&sequence=%d", a.ID, a.Incarnation, e.sequence.Load()+1)
	var errs []error
	for _, base := range e.cfg.Entries {
		_, err := e.send(ctx, http.MethodDelete, base+path, a)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// announceResponse is the response of an entry instance to an announcement: the
// pool that the endpoint is assigned to.
type announceResponse struct {
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
}

func (e *Endpoint) send(ctx context.Context, method, url string, a dispatch.Announcement) (announceResponse, error) {
	var response announceResponse
	body, err := json.Marshal(a)
	if err != nil {
		return response, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return response, fmt.Errorf("announce %s: %w", a.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return response, fmt.Errorf("announce %s: %w", a.ID, err)
	}
	if resp.StatusCode/100 != 2 {
		return response, fmt.Errorf("announce %s: %s: %s", a.ID, resp.Status, data)
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &response); err != nil {
			return response, fmt.Errorf("announce %s: response: %w", a.ID, err)
		}
	}
	return response, nil
}
