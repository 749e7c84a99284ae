package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/state"
)

// Defaults and limits of the client.
const (
	// DefaultTimeout limits a call including all its retries.
	DefaultTimeout = 30 * time.Second
	// DefaultAttemptTimeout limits one attempt. It is longer than the server's
	// timeout, so that a slow response still arrives.
	DefaultAttemptTimeout = callTimeout + time.Second

	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second
	maxRedirects = 3
	// maxResponseBytes is above the size of the largest page and rules file.
	maxResponseBytes = 16 << 20
)

// ErrUnreachable reports that no control replica answered as the leader in time
// and that nothing was changed.
var ErrUnreachable = errors.New("no control replica answered")

// ClientOptions configures a client.
type ClientOptions struct {
	// Addresses are the administration addresses of the control replicas.
	Addresses []string
	// Token identifies the operator; empty if a client certificate does.
	Token string
	// TLS is nil for plain text.
	TLS *tls.Config
	// Timeout limits a call including all its retries; 0 means DefaultTimeout.
	Timeout time.Duration
	// AttemptTimeout limits one attempt; 0 means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
}

// Client calls the control replicas. It finds the leader and retries calls whose
// response was lost. Commands carry a session, so that a retried command returns
// the result of its first execution and is not executed again. A Client is safe
// for concurrent use.
type Client struct {
	options ClientOptions
	scheme  string
	http    *http.Client

	mu            sync.Mutex
	sessionClient string
	sequence      uint64
	// leader is the address that last answered as the leader.
	leader string
}

// NewClient returns a client with its own session.
func NewClient(options ClientOptions) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no control address is given")
	}
	for _, a := range options.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, errs.New("control address %q: expected an address and port", a)
		}
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	return &Client{
		options:       options,
		scheme:        scheme,
		sessionClient: NewSecret(),
		http: &http.Client{
			Transport: &http.Transport{TLSClientConfig: options.TLS, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
			// Client.do follows redirects to the leader itself, because net/http
			// drops the Authorization header on a redirect to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// session returns the session of the next command.
func (c *Client) session() state.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return state.Session{Client: c.sessionClient, Sequence: c.sequence}
}

// request is one call with everything needed to send it again.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// nonIdempotent forbids a retry once the request may have been received.
	nonIdempotent bool
}

func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, query: query}, into)
}

func (c *Client) post(ctx context.Context, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.do(ctx, request{method: http.MethodPost, path: path, body: text}, into)
}

// retryableError is a failure after which another attempt may succeed.
type retryableError struct {
	err error
	// maybeReceived is set if the server may have received the request.
	maybeReceived bool
	// leader is the address to try next, if known.
	leader string
}

func (e *retryableError) Error() string { return e.err.Error() }

func (e *retryableError) Unwrap() error { return e.err }

// do tries the control addresses in turn until one returns a final response or the
// timeout expires.
func (c *Client) do(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	targets := c.targets()
	address := targets[0]
	maybeReceived := false
	redirects := 0
	var lastErr error
	for failures := 1; ; failures++ {
		err := c.attempt(ctx, address, r, into)
		var retryable *retryableError
		if !errors.As(err, &retryable) {
			if err == nil {
				c.setLeader(address)
			}
			return settledError(r, maybeReceived, err)
		}
		maybeReceived = maybeReceived || retryable.maybeReceived
		if ctx.Err() == nil || lastErr == nil {
			lastErr = errs.New("%s: %w", address, retryable.err)
		}
		if maybeReceived && r.nonIdempotent {
			return finalError(r, maybeReceived, lastErr)
		}
		if retryable.leader != "" && retryable.leader != address && redirects < maxRedirects {
			redirects++
			address = retryable.leader
			continue
		}
		redirects = 0
		address = targets[failures%len(targets)]
		if !sleep(ctx, backoff(failures/len(targets))) {
			return finalError(r, maybeReceived, lastErr)
		}
	}
}

// settledError returns the error of a call with a final response. A refusal of the last
// attempt, of its token for example, says nothing about an earlier one that may have been
// received. A rejected command does: it has the result of its first execution.
func settledError(r request, maybeReceived bool, err error) error {
	var problem *Problem
	if !maybeReceived || r.method == http.MethodGet || !errors.As(err, &problem) || problem.Index > 0 && problem.Code != Code(state.CodeStale) {
		return err
	}
	return errs.New("%w (last attempt: %w)", ErrUnknownOutcome, err)
}

// finalError returns the error of a call that is not retried any more.
func finalError(r request, maybeReceived bool, lastErr error) error {
	if maybeReceived && r.method != http.MethodGet {
		return errs.New("%w (last attempt: %w)", ErrUnknownOutcome, lastErr)
	}
	return errs.New("%w: %w", ErrUnreachable, lastErr)
}

// targets returns the addresses to try, starting with the last known leader.
func (c *Client) targets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := slices.Clone(c.options.Addresses)
	if c.leader == "" {
		return targets
	}
	targets = slices.DeleteFunc(targets, func(a string) bool { return a == c.leader })
	return slices.Insert(targets, 0, c.leader)
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// attempt sends the request to one address. It returns a retryableError if another
// attempt may succeed; a Problem is final.
func (c *Client) attempt(ctx context.Context, address string, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	target := c.scheme + "://" + address + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	if r.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if c.options.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := c.http.Do(httpRequest.WithContext(httptrace.WithClientTrace(ctx, trace)))
	var certificateErr *tls.CertificateVerificationError
	if errors.As(err, &certificateErr) {
		return err
	}
	if err != nil {
		return &retryableError{err: err, maybeReceived: connected}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return &retryableError{err: err, maybeReceived: true}
	case len(body) > maxResponseBytes:
		return errs.New("the response has more than %d bytes", maxResponseBytes)
	case response.StatusCode == http.StatusOK:
		return json.Unmarshal(body, into)
	}
	return responseError(response, body)
}

// responseError converts an unsuccessful response to an error.
func responseError(response *http.Response, body []byte) error {
	problem := &Problem{}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media != problemType || json.Unmarshal(body, problem) != nil {
		return &retryableError{err: errs.New("unexpected response %s", response.Status), maybeReceived: true}
	}
	switch problem.Code {
	case CodeNotLeader:
		return &retryableError{err: problem, leader: problem.Leader}
	case CodeUnavailable:
		return &retryableError{err: problem}
	case CodeUnknownOutcome:
		return &retryableError{err: problem, maybeReceived: true}
	}
	return problem
}

// backoff returns a delay that grows exponentially with each round over the
// addresses. Jitter keeps clients from retrying simultaneously after a leader fails.
func backoff(round int) time.Duration {
	limit := min(minBackoff<<min(round, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// listAll reads all pages of a list.
func listAll[T any](ctx context.Context, c *Client, path string, query url.Values) ([]T, error) {
	var items []T
	pageQuery := url.Values{}
	for k, v := range query {
		if len(v) > 0 && v[0] != "" {
			pageQuery[k] = v
		}
	}
	pageQuery.Set("limit", strconv.Itoa(maxPage))
	for {
		var page Page[T]
		if err := c.get(ctx, path, pageQuery, &page); err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		pageQuery.Set("after", page.Next)
	}
}
