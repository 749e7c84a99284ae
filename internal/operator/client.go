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

// Defaults and bounds of the client side.
const (
	// DefaultTimeout bounds a call with all its retries.
	DefaultTimeout = 30 * time.Second
	// DefaultAttempt bounds one attempt. It is longer than the server waits, so
	// that a slow answer is not lost.
	DefaultAttempt = callTimeout + time.Second

	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second
	maxRedirects = 3
	// maxAnswerBytes leaves room for the largest page and the largest rules file.
	maxAnswerBytes = 16 << 20
)

// ErrUnreachable reports that no control replica answered as the leader in time.
// Nothing was changed.
var ErrUnreachable = errors.New("no control replica answered")

// ClientOptions configures a client.
type ClientOptions struct {
	// Addresses are the administration addresses of the control replicas.
	Addresses []string
	// Token identifies the operator; empty if a client certificate does.
	Token string
	// TLS is nil for plain text.
	TLS *tls.Config
	// Timeout bounds a call with all its retries; 0 means DefaultTimeout.
	Timeout time.Duration
	// Attempt bounds one attempt; 0 means DefaultAttempt.
	Attempt time.Duration
}

// Client calls the control replicas. It finds the leader, and repeats a call
// whose answer was lost. Commands carry a session, so that a repeated command
// receives its first answer and is not executed again. It is safe for
// concurrent use.
type Client struct {
	options ClientOptions
	scheme  string
	http    *http.Client

	mu       sync.Mutex
	client   string
	sequence uint64
	// leader is the address that answered last as the leader.
	leader string
}

// NewClient returns a client with a session of its own.
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
	if options.Attempt == 0 {
		options.Attempt = DefaultAttempt
	}
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	return &Client{
		options: options,
		scheme:  scheme,
		client:  NewSecret(),
		http: &http.Client{
			Transport: &http.Transport{TLSClientConfig: options.TLS, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
			// A redirect to the leader is followed by the client itself, because
			// net/http would drop the token on the way to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// session returns the identity of the next command.
func (c *Client) session() state.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return state.Session{Client: c.client, Sequence: c.sequence}
}

// request is one call with everything that a repetition needs.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// once tells that the call must not be repeated once it may have been received.
	once bool
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

// attemptError is a failure that another attempt may overcome.
type attemptError struct {
	err error
	// received tells that the request may have been received.
	received bool
	// leader is the address to try next, if known.
	leader string
}

func (e *attemptError) Error() string { return e.err.Error() }

func (e *attemptError) Unwrap() error { return e.err }

// do repeats a call over all control addresses until one answers for good or
// the time is over.
func (c *Client) do(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	targets := c.targets()
	address := targets[0]
	received := false
	redirects := 0
	var last error
	for failures := 1; ; failures++ {
		err := c.attempt(ctx, address, r, into)
		var again *attemptError
		if !errors.As(err, &again) {
			if err == nil {
				c.setLeader(address)
			}
			return err
		}
		received = received || again.received
		if ctx.Err() == nil || last == nil {
			last = errs.New("%s: %w", address, again.err)
		}
		if received && r.once {
			return outcome(r, received, last)
		}
		if again.leader != "" && again.leader != address && redirects < maxRedirects {
			redirects++
			address = again.leader
			continue
		}
		redirects = 0
		address = targets[failures%len(targets)]
		if !sleep(ctx, backoff(failures/len(targets))) {
			return outcome(r, received, last)
		}
	}
}

// outcome describes a call that was given up.
func outcome(r request, received bool, last error) error {
	if received && r.method != http.MethodGet {
		return errs.New("%w (last attempt: %w)", ErrUnknownOutcome, last)
	}
	return errs.New("%w: %w", ErrUnreachable, last)
}

// targets returns the addresses to try, the last known leader first.
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

// attempt sends the call to one address. An error that another attempt may
// overcome is an attemptError; a Problem is final.
func (c *Client) attempt(ctx context.Context, address string, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Attempt)
	defer cancel()
	target := c.scheme + "://" + address + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	q, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	if r.body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	if c.options.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := c.http.Do(q.WithContext(httptrace.WithClientTrace(ctx, trace)))
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &untrusted) {
		return err
	}
	if err != nil {
		return &attemptError{err: err, received: connected}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return &attemptError{err: err, received: true}
	case len(body) > maxAnswerBytes:
		return errs.New("the answer has more than %d bytes", maxAnswerBytes)
	case response.StatusCode == http.StatusOK:
		return json.Unmarshal(body, into)
	}
	return failure(response, body)
}

// failure translates an answer that is not a success.
func failure(response *http.Response, body []byte) error {
	problem := &Problem{}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media != problemType || json.Unmarshal(body, problem) != nil {
		return &attemptError{err: errs.New("unexpected answer %s", response.Status), received: true}
	}
	switch problem.Code {
	case CodeNotLeader:
		return &attemptError{err: problem, leader: problem.Leader}
	case CodeUnavailable:
		return &attemptError{err: problem}
	case CodeUnknownOutcome:
		return &attemptError{err: problem, received: true}
	}
	return problem
}

// backoff grows with each round over the addresses and is jittered, so that
// clients of a lost leader don't return together.
func backoff(round int) time.Duration {
	most := min(minBackoff<<min(round, 10), maxBackoff)
	return most/2 + rand.N(most/2)
}

// sleep waits. It returns false if ctx ends first.
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

// all reads every page of a list.
func all[T any](ctx context.Context, c *Client, path string, query url.Values) ([]T, error) {
	var items []T
	q := url.Values{}
	for k, v := range query {
		if len(v) > 0 && v[0] != "" {
			q[k] = v
		}
	}
	q.Set("limit", strconv.Itoa(maxPage))
	for {
		var page Page[T]
		if err := c.get(ctx, path, q, &page); err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		q.Set("after", page.Next)
	}
}
