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

// announceLoop announces the endpoint to one entry instance at a time and goes
// on to the next one when that fails.
func (e *Endpoint) announceLoop(ctx context.Context) {
	var sequence uint64
	at := int(e.cfg.Announcement.Incarnation) % max(1, len(e.cfg.Entries))
	if at < 0 {
		at = 0
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.waitThaw(ctx)
		wait := e.cfg.AnnounceInterval
		sequence++
		if len(e.cfg.Entries) > 0 {
			if err := e.announce(ctx, e.cfg.Entries[at], sequence); err != nil {
				at = (at + 1) % len(e.cfg.Entries)
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
	at := e.membership.Load()
	a.Pool, a.PoolEpoch = at.Pool, at.PoolEpoch
	e.sequence.Store(sequence)
	answer, err := e.send(ctx, http.MethodPut, base+"/v1/endpoints/"+a.ID, a)
	if err != nil {
		return err
	}
	e.follow(answer)
	return nil
}

// follow takes over the pool that the system has committed for this instance.
// A new pool is announced only once the work of the former one has ended.
func (e *Endpoint) follow(answer announceAnswer) {
	at := e.membership.Load()
	if answer.Pool == "" || answer.PoolEpoch < at.PoolEpoch {
		return
	}
	if answer.PoolEpoch != at.PoolEpoch && at.PoolEpoch != 0 && e.running.Load() > 0 {
		return
	}
	e.membership.Store(&answer)
}

// deregister tells the first entry instance that can be reached.
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

// announceAnswer is what an entry instance says of the announced instance.
type announceAnswer struct {
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
}

func (e *Endpoint) send(ctx context.Context, method, url string, a dispatch.Announcement) (announceAnswer, error) {
	var answer announceAnswer
	body, err := json.Marshal(a)
	if err != nil {
		return answer, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return answer, fmt.Errorf("announce %s: %w", a.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return answer, fmt.Errorf("announce %s: %w", a.ID, err)
	}
	if resp.StatusCode/100 != 2 {
		return answer, fmt.Errorf("announce %s: %s: %s", a.ID, resp.Status, data)
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &answer); err != nil {
			return answer, fmt.Errorf("announce %s: answer: %w", a.ID, err)
		}
	}
	return answer, nil
}
