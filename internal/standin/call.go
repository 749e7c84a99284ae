package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeMismatched is a response that does not belong to the request, is
	// incomplete or states no known outcome.
	OutcomeMismatched Outcome = "foreign"
)

// call is one request of a caller, with all its attempts. Its exported fields
// are written as one line of the call log.
type call struct {
	Nonce      string    `json:"nonce"`
	Queue      string    `json:"queue"`
	Team       string    `json:"team"`
	Idempotent bool      `json:"idempotent"`
	Outcomes   []Outcome `json:"outcomes"`
	Codes      []string  `json:"codes"`
	Start      int64     `json:"start"`
	End        int64     `json:"end"`

	scheduledAt time.Time
	work        time.Duration
	size        int
	team        TeamKey
	entry       int
}

// maxAttempts is the maximum number of times that a caller sends a request.
const maxAttempts = 3

// call sends the request. If resends are enabled, it sends the request again
// while the outcome is unknown, up to maxAttempts times in all.
func (l *loadGenerator) call(ctx context.Context, c *call) {
	c.Start = c.scheduledAt.UnixNano()
	for attempt := range maxAttempts {
		outcome, code := l.attempt(ctx, c, attempt)
		c.Outcomes = append(c.Outcomes, outcome)
		c.Codes = append(c.Codes, code)
		if !l.cfg.Resend || outcome != OutcomeUnknown {
			break
		}
	}
	c.End = time.Now().UnixNano()
	l.report.add(c)
}

func (l *loadGenerator) attempt(ctx context.Context, c *call, attempt int) (Outcome, string) {
	// The extra second leaves time to receive the system's own response at the
	// deadline.
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Deadline+time.Second)
	defer cancel()
	req, err := l.newRequest(ctx, c, attempt)
	if err != nil {
		return OutcomeNotRun, err.Error()
	}
	// http.Transport retries some requests by itself when a connection breaks.
	// A refused connection on a retry does not show that the first try was not run.
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	resp, err := l.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if isConnectionRefused(err) && !written.Load() {
			return OutcomeNotRun, "connection-refused"
		}
		return OutcomeUnknown, "no-response"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return OutcomeUnknown, "cut-response"
	}
	return l.classify(c, resp, body)
}

func (l *loadGenerator) newRequest(ctx context.Context, c *call, attempt int) (*http.Request, error) {
	method := http.MethodGet
	if !c.Idempotent {
		method = http.MethodPost
	}
	base := l.cfg.Entries[(c.entry+attempt)%len(l.cfg.Entries)]
	path := "/q/" + c.Queue + "/run"
	if l.cfg.Direct {
		path = "/run"
	}
	url := fmt.Sprintf("%s%s?work=%s&size=%d", base, path, c.work, c.size)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(c.Nonce))
	if err != nil {
		return nil, err
	}
	if method == http.MethodGet {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	req.Header.Set(headerNonce, c.Nonce)
	req.Header.Set("Cactusspar-Timeout-Ms", fmt.Sprint(l.cfg.Deadline.Milliseconds()))
	if c.team.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.team.Key)
	}
	if !c.Idempotent {
		req.Header.Set("Idempotency-Key", c.Nonce)
	}
	return req, nil
}

// classify returns the outcome that a response states, with its code. An answered
// request whose response is incomplete or belongs to another request is mismatched.
func (l *loadGenerator) classify(c *call, resp *http.Response, body []byte) (Outcome, string) {
	outcome := Outcome(resp.Header.Get(headerOutcome))
	if l.cfg.Direct && outcome == "" {
		outcome = OutcomeAnswered
	}
	code := problemCode(body)
	switch outcome {
	case OutcomeNotRun, OutcomeUnknown:
		if code == "" {
			code = fmt.Sprint("status-", resp.StatusCode)
		}
		return outcome, code
	case OutcomeAnswered:
		if resp.StatusCode == http.StatusConflict && code == codeDuplicateAnswered {
			return OutcomeAnswered, code
		}
		if resp.Header.Get(headerNonce) != c.Nonce || string(body) != ResponseBody(c.Nonce, c.size) {
			return OutcomeMismatched, fmt.Sprintf("status-%d nonce %q, %d of %d bytes", resp.StatusCode, resp.Header.Get(headerNonce), len(body), c.size)
		}
		return OutcomeAnswered, fmt.Sprint("status-", resp.StatusCode)
	}
	return OutcomeMismatched, fmt.Sprintf("outcome header %q", outcome)
}

// codeDuplicateAnswered is the problem code for a resent request that was already
// answered; the system does not keep the original response.
const codeDuplicateAnswered = "duplicate-answered"

// problemCode returns the code of a problem document, or "" if body is not one.
func problemCode(body []byte) string {
	var problem struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return ""
	}
	return problem.Code
}

func isConnectionRefused(err error) bool {
	return strings.Contains(err.Error(), "connect: connection refused")
}
