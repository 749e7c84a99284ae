package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/dispatch"
)

// Request is one attempt to send a caller's request to an endpoint.
type Request struct {
	// ID is unique for each attempt. Endpoints echo it in their response.
	ID     string
	Method string
	// Target is the escaped path with the query.
	Target string
	Host   string
	// Header is the header of the caller's request. It is not modified.
	Header http.Header
	// Trailer holds the declared trailers. Their values are set once Stream has
	// been read.
	Trailer http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Buffered is the complete body, in pieces, if Stream is nil.
	Buffered [][]byte
	// Stream is read by a separate goroutine. Unblock must make a pending Read
	// return.
	Stream  io.Reader
	Unblock func()

	Team string
	Addr string
	// Endpoint is the id of the endpoint that the request is for. Another one may have taken over
	// its address, and refuses the request.
	Endpoint  string
	PoolEpoch uint64
	Deadline  time.Time
}

func (r *Request) trailerNames() string {
	names := make([]string, 0, len(r.Trailer))
	for name := range r.Trailer {
		if !hopByHop[name] && !strings.HasPrefix(name, headerOwnPrefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// Sender sends requests to endpoints.
//
// It manages connections itself and uses only the parsers of net/http.
// http.Transport automatically resends a request that has an Idempotency-Key
// header. It also hides whether bytes were sent and what follows a response, so
// that neither "not run" nor the end of a response could be established.
type Sender struct {
	idle idleConns
}

// NewSender returns a sender. Run closes its idle connections.
func NewSender() *Sender {
	return &Sender{idle: idleConns{byAddr: map[string][]*conn{}, maxPerAddr: defaultMaxIdle}}
}

// SetMaxIdlePerEndpoint limits the idle connections that are kept open to one endpoint.
func (s *Sender) SetMaxIdlePerEndpoint(n int) { s.idle.setMaxPerAddr(n) }

// Run closes connections that have been idle for too long. It closes all idle
// connections when ctx ends.
func (s *Sender) Run(ctx context.Context) { s.idle.run(ctx) }

// Send sends r and returns the response once its head has been received. The
// error is always an *Error. The response's Body must be closed; closing it
// before its end closes the connection. check is called when a connection is
// ready; if it fails, the attempt ends as not run before any byte is sent.
func (s *Sender) Send(ctx context.Context, r *Request, check func() error) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Outcome: dispatch.OutcomeNotRun, Reason: ReasonCancelled, Err: err}
	}
	c, err := s.connect(ctx, r)
	if err != nil {
		return nil, &Error{Outcome: dispatch.OutcomeNotRun, Reason: ReasonDial, EndpointFault: ctx.Err() == nil, Err: err}
	}
	if err := check(); err != nil {
		s.idle.put(c)
		return nil, &Error{Outcome: dispatch.OutcomeNotRun, Reason: ReasonUnsent, Err: err}
	}
	x := &exchange{sender: s, conn: c, request: r, ctx: ctx}
	response, err := x.run()
	if err != nil {
		x.abandon()
		return nil, err
	}
	return response, nil
}

func (s *Sender) connect(ctx context.Context, r *Request) (*conn, error) {
	if c := s.idle.get(r.Addr); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return dial(ctx, r.Addr)
}

// exchange is one request and its response on a connection.
type exchange struct {
	sender  *Sender
	conn    *conn
	request *Request
	ctx     context.Context
	// stop detaches the connection from the cancellation of ctx. It returns
	// false if the cancellation has already taken effect.
	stop   func() bool
	writer *conc.WaitGroup
	// idEchoed is set if the response echoed the request id. Only then is the
	// connection reused: without the id, a second response to one request could
	// be taken for the response to the next.
	idEchoed bool

	sendMu sync.Mutex
	sent   bool
	// bodyErr is set when reading the caller's body failed.
	bodyErr error
}

func (x *exchange) run() (*http.Response, error) {
	c := x.conn
	c.anySent = false
	if err := c.net.SetDeadline(x.request.Deadline); err != nil {
		return nil, x.classify(err)
	}
	x.stop = context.AfterFunc(x.ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	writeErr := x.send()
	if writeErr != nil && !c.anySent {
		return nil, x.classify(writeErr)
	}
	// An endpoint may respond and close before it has read the whole request.
	response, err := x.readResponseHead()
	if err != nil {
		if writeErr != nil {
			err = errors.Join(writeErr, err)
		}
		return nil, x.classify(err)
	}
	return x.validateResponse(response)
}

// send writes the request. A streamed body is written by another goroutine, so
// that the response can be received at the same time.
func (x *exchange) send() error {
	c, r := x.conn, x.request
	writeHead(c.bw, r, time.Now())
	if r.Stream == nil {
		for _, piece := range r.Buffered {
			_, _ = c.bw.Write(piece)
		}
		err := c.bw.Flush()
		x.setSent(err == nil)
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	x.writer = new(conc.WaitGroup)
	x.writer.Go(func() {
		err := x.sendStream()
		x.setSent(err == nil)
		if err != nil {
			// The expired deadline prevents the end of the body from being sent:
			// the endpoint must not take an incomplete body for a complete one.
			_ = c.net.SetDeadline(time.Unix(1, 0))
		}
	})
	return nil
}

func (x *exchange) setSent(sent bool) {
	x.sendMu.Lock()
	x.sent = sent
	x.sendMu.Unlock()
}

func (x *exchange) wasSent() bool {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	return x.sent
}

// Read reads the caller's body for sendStream and records its error.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.request.Stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		x.sendMu.Lock()
		x.bodyErr = err
		x.sendMu.Unlock()
	}
	return n, err
}

func (x *exchange) callerBodyError() error {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	return x.bodyErr
}

func (x *exchange) sendStream() error {
	c, r := x.conn, x.request
	if r.Length >= 0 {
		n, err := io.Copy(c.bw, io.LimitReader(x, r.Length))
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		return c.bw.Flush()
	}
	chunks := httputil.NewChunkedWriter(c.bw)
	if _, err := io.Copy(flushWriter{c.bw, chunks}, x); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	for name, values := range r.Trailer {
		for _, v := range values {
			_, _ = fmt.Fprintf(c.bw, "%s: %s\r\n", name, v)
		}
	}
	_, _ = c.bw.WriteString("\r\n")
	return c.bw.Flush()
}

// flushWriter flushes after each write, so that parts of a streamed body are
// forwarded without delay.
type flushWriter struct {
	bw interface{ Flush() error }
	io.Writer
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err == nil {
		err = f.bw.Flush()
	}
	return n, err
}

// maxInterimResponses limits the interim (1xx) responses before the final one.
const maxInterimResponses = 8

// readResponseHead reads the head of the final response.
func (x *exchange) readResponseHead() (*http.Response, error) {
	c := x.conn
	request := &http.Request{Method: x.request.Method}
	for range maxInterimResponses {
		c.headBudget = maxHeadBytes
		response, err := http.ReadResponse(c.br, request)
		c.headBudget = -1
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("response switches protocols without having been asked")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("more than 8 interim responses")
}

// validateResponse checks that the response belongs to the request and that its
// end can be verified.
func (x *exchange) validateResponse(response *http.Response) (*http.Response, error) {
	switch echo := response.Header.Get(HeaderRequestID); {
	case echo == x.request.ID:
		x.idEchoed = true
	case echo != "" || x.conn.reused:
		return nil, x.unknownOutcome(ReasonMismatched, fmt.Errorf("response names request %q", echo))
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == string(dispatch.OutcomeNotRun) {
		return nil, &Error{
			Outcome: dispatch.OutcomeNotRun, Reason: ReasonRefused, RetryAfter: retryAfter(response.Header),
			Err: errors.New("endpoint stated that it did not run the request"),
		}
	}
	if isCloseDelimited(response) {
		return nil, x.unknownOutcome(ReasonUnbounded, errors.New("response has neither a length nor chunks"))
	}
	response.Body = &body{exchange: x, response: response, from: response.Body, remaining: response.ContentLength}
	return response, nil
}

// isCloseDelimited reports whether only the end of the connection marks the end
// of the body.
func isCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked") && r.Body != http.NoBody
}

func (x *exchange) unknownOutcome(reason Reason, err error) *Error {
	return &Error{Outcome: dispatch.OutcomeUnknown, Reason: reason, EndpointFault: true, Err: err}
}

// classify returns the Error for a failure before the response head was received.
func (x *exchange) classify(err error) *Error {
	e := &Error{Outcome: dispatch.OutcomeUnknown, Reason: ReasonBroken, EndpointFault: true, Err: err}
	switch {
	case !x.conn.anySent:
		e.Outcome, e.Reason = dispatch.OutcomeNotRun, ReasonUnsent
	case x.ctx.Err() != nil:
		e.Reason, e.EndpointFault = ReasonCancelled, false
	case x.callerBodyError() != nil:
		e.Reason, e.EndpointFault, e.Err = ReasonBody, false, x.callerBodyError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Reason = ReasonTimeout
	case !isConnectionError(err):
		e.Reason = ReasonMalformed
	}
	return e
}

// isConnectionError distinguishes connection errors from parser errors.
func isConnectionError(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// abandon ends the exchange and closes the connection. Data that the endpoint
// still sends is discarded.
func (x *exchange) abandon() {
	if x.stop != nil {
		x.stop()
	}
	_ = x.conn.net.Close()
	x.awaitWriter()
}

// awaitWriter waits for the goroutine that writes the body, and unblocks it if
// the body has not been sent completely.
func (x *exchange) awaitWriter() {
	if x.writer == nil {
		return
	}
	if !x.wasSent() && x.request.Unblock != nil {
		x.request.Unblock()
	}
	x.writer.Wait()
	x.writer = nil
}

// finish ends an exchange whose response was received completely. It makes the
// connection available for reuse if this is safe, and closes it otherwise.
func (x *exchange) finish(response *http.Response) {
	reusable := x.idEchoed && !response.Close && x.wasSent() && x.conn.br.Buffered() == 0
	if !reusable || !x.stop() || x.conn.net.SetDeadline(time.Time{}) != nil {
		x.abandon()
		return
	}
	x.awaitWriter()
	x.conn.reused = true
	x.sender.idle.put(x.conn)
}
