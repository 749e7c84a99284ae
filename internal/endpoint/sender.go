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
	// ID is unique for each attempt. Endpoints repeat it in their response.
	ID     string
	Method string
	// Target is the escaped path with its query.
	Target string
	Host   string
	// Header is the caller's. It is read only.
	Header http.Header
	// Trailer holds the announced trailers, filled once Body has been read.
	Trailer http.Header
	// Length is the length of the body, or -1 when it is unknown.
	Length int64
	// Buffered is the whole body if Stream is nil.
	Buffered []byte
	// Stream is read on a goroutine of its own. Unblock must make a pending
	// Read return.
	Stream  io.Reader
	Unblock func()

	Team      string
	Addr      string
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
// It drives connections itself with net/http's parsers instead of
// http.Transport: the transport resends a request with an Idempotency-Key
// header on its own, and it hides which bytes were sent and what follows a
// response, so that neither "not run" nor the end of a response is certain.
type Sender struct {
	idle idleConns
}

// NewSender returns a sender. Run closes its idle connections in time.
func NewSender() *Sender {
	return &Sender{idle: idleConns{byAddr: map[string][]*conn{}, most: defaultIdle}}
}

// SetIdle bounds the idle connections that are kept to one endpoint.
func (s *Sender) SetIdle(n int) { s.idle.setMost(n) }

// Run closes idle connections until ctx ends, then closes all of them.
func (s *Sender) Run(ctx context.Context) { s.idle.run(ctx) }

// Send sends r and returns the response once its head was received. The error
// is always an *Error. The response's Body must be closed; closing it before
// its end closes the connection. check is called when a connection is ready;
// its error ends the attempt as not run before a byte was sent.
func (s *Sender) Send(ctx context.Context, r *Request, check func() error) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Grade: dispatch.NotRun, Reason: ReasonCancelled, Err: err}
	}
	c, err := s.connect(ctx, r)
	if err != nil {
		return nil, &Error{Grade: dispatch.NotRun, Reason: ReasonDial, Blame: ctx.Err() == nil, Err: err}
	}
	if err := check(); err != nil {
		s.idle.put(c)
		return nil, &Error{Grade: dispatch.NotRun, Reason: ReasonUnsent, Err: err}
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
	if c := s.idle.take(r.Addr); c != nil {
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
	// stop ends the cancellation of the connection by ctx. It returns false
	// once the cancellation has begun.
	stop   func() bool
	writer *conc.WaitGroup
	// paired tells that the response repeated the request's id. Only then is
	// the connection used again: without the id, a second response to one
	// request could be taken for the response to the next.
	paired bool

	sendMu sync.Mutex
	sent   bool
	// bodyErr is set when reading the caller's body failed.
	bodyErr error
}

func (x *exchange) run() (*http.Response, error) {
	c := x.conn
	c.written = false
	if err := c.net.SetDeadline(x.request.Deadline); err != nil {
		return nil, x.failed(err)
	}
	x.stop = context.AfterFunc(x.ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	writeErr := x.send()
	if writeErr != nil && !c.written {
		return nil, x.failed(writeErr)
	}
	// An endpoint may answer and close before it has read the whole request.
	response, err := x.receive()
	if err != nil {
		if writeErr != nil {
			err = errors.Join(writeErr, err)
		}
		return nil, x.failed(err)
	}
	return x.accept(response)
}

// send writes the request. A body that isn't in memory is written by another
// goroutine, so that the response can be received meanwhile.
func (x *exchange) send() error {
	c, r := x.conn, x.request
	writeHead(c.bw, r, time.Now())
	if r.Stream == nil {
		_, _ = c.bw.Write(r.Buffered)
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
			// Without a whole body the endpoint must not see an end of it.
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

// Read reads the caller's body for sendStream.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.request.Stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		x.sendMu.Lock()
		x.bodyErr = err
		x.sendMu.Unlock()
	}
	return n, err
}

func (x *exchange) bodyFailed() error {
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
	if _, err := io.Copy(flushing{c.bw, chunks}, x); err != nil {
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

// flushing passes on each part of a streamed body without delay.
type flushing struct {
	bw interface{ Flush() error }
	io.Writer
}

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err == nil {
		err = f.bw.Flush()
	}
	return n, err
}

// maxInterim bounds the interim (1xx) responses before the final one.
const maxInterim = 8

// receive reads the head of the final response.
func (x *exchange) receive() (*http.Response, error) {
	c := x.conn
	request := &http.Request{Method: x.request.Method}
	for range maxInterim {
		c.headLeft = maxHeadBytes
		response, err := http.ReadResponse(c.br, request)
		c.headLeft = -1
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

// accept checks that the response belongs to the request and has an end that
// can be verified.
func (x *exchange) accept(response *http.Response) (*http.Response, error) {
	switch echo := response.Header.Get(HeaderRequestID); {
	case echo == x.request.ID:
		x.paired = true
	case echo != "" || x.conn.reused:
		return nil, x.unknown(ReasonMismatched, fmt.Errorf("response names request %q", echo))
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == string(dispatch.NotRun) {
		return nil, &Error{
			Grade: dispatch.NotRun, Reason: ReasonRefused, RetryAfter: retryAfter(response.Header),
			Err: errors.New("endpoint stated that it did not run the request"),
		}
	}
	if endsWithConnection(response) {
		return nil, x.unknown(ReasonUnbounded, errors.New("response has neither a length nor chunks"))
	}
	response.Body = &body{exchange: x, response: response, from: response.Body, left: response.ContentLength}
	return response, nil
}

func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked") && r.Body != http.NoBody
}

func (x *exchange) unknown(reason Reason, err error) *Error {
	return &Error{Grade: dispatch.Unknown, Reason: reason, Blame: true, Err: err}
}

// failed classifies an error before the response was received.
func (x *exchange) failed(err error) *Error {
	e := &Error{Grade: dispatch.Unknown, Reason: ReasonBroken, Blame: true, Err: err}
	switch {
	case !x.conn.written:
		e.Grade, e.Reason = dispatch.NotRun, ReasonUnsent
	case x.ctx.Err() != nil:
		e.Reason, e.Blame = ReasonCancelled, false
	case x.bodyFailed() != nil:
		e.Reason, e.Blame, e.Err = ReasonBody, false, x.bodyFailed()
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Reason = ReasonTimeout
	case !brokenConnection(err):
		e.Reason = ReasonMalformed
	}
	return e
}

// brokenConnection tells errors of the connection from those of the parser.
func brokenConnection(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// abandon ends the exchange and drops the connection, and with it whatever
// the endpoint still sends.
func (x *exchange) abandon() {
	if x.stop != nil {
		x.stop()
	}
	_ = x.conn.net.Close()
	x.waitForWriter()
}

func (x *exchange) waitForWriter() {
	if x.writer == nil {
		return
	}
	if !x.wasSent() && x.request.Unblock != nil {
		x.request.Unblock()
	}
	x.writer.Wait()
	x.writer = nil
}

// finish ends an exchange whose response was received to its end.
func (x *exchange) finish(response *http.Response) {
	reusable := x.paired && !response.Close && x.wasSent() && x.conn.br.Buffered() == 0
	if !reusable || !x.stop() || x.conn.net.SetDeadline(time.Time{}) != nil {
		x.abandon()
		return
	}
	x.waitForWriter()
	x.conn.reused = true
	x.sender.idle.put(x.conn)
}
