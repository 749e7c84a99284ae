package standin

import (
	"bytes"
	"cactusspar/internal/dispatch"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
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
	if epoch := e.poolEpoch.Load(); epoch != 0 {
		a.PoolEpoch = epoch
	}
	answer, err := e.send(ctx, http.MethodPut, base, a)
	if err != nil {
		return err
	}
	if answer.PoolEpoch != 0 {
		e.poolEpoch.Store(answer.PoolEpoch)
	}
	return nil
}

// deregister tells the first entry instance that can be reached.
func (e *Endpoint) deregister(ctx context.Context) error {
	a := e.cfg.Announcement
	a.Leaving = true
	a.Sequence = ^uint64(0)
	var errs []error
	for _, base := range e.cfg.Entries {
		_, err := e.send(ctx, http.MethodDelete, base, a)
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

func (e *Endpoint) send(ctx context.Context, method, base string, a dispatch.Announcement) (announceAnswer, error) {
	var answer announceAnswer
	body, err := json.Marshal(a)
	if err != nil {
		return answer, err
	}
	req, err := http.NewRequestWithContext(ctx, method, base+"/v1/endpoints/"+a.ID, bytes.NewReader(body))
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
