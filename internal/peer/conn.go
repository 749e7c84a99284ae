package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// ErrClosed reports that the connection ended before a response arrived. The
// request may or may not have been handled.
var ErrClosed = errors.New("peer connection closed")

// errNotSent reports a request that was not queued on its connection, so that the remote
// process never receives it.
var errNotSent = errors.New("the request was not sent")

// Codes of errors with which a process refuses a request without an effect. A handler must
// not return them once it may have done what was requested.
const (
	// CodeNotLeader means that the request has to be sent to the leader, whose address is
	// the text, or empty if it is not known.
	CodeNotLeader = "not-leader"
	// CodeBusy means that too many requests are in progress.
	CodeBusy = "busy"
	// CodeRefused means that the request is malformed, of an unknown method or not allowed.
	CodeRefused = "refused"
)

// codeInternal is the code of an error that a handler returns without one.
const codeInternal = "internal"

// NotHandled reports whether the error of a call promises that the remote process has not
// done and won't do what was requested. After any other error, also one with an unknown code,
// it may have done so.
func NotHandled(err error) bool {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, errNotSent) {
		return true
	}
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return false
	}
	switch remote.Code {
	case CodeNotLeader, CodeBusy, CodeRefused:
		return true
	}
	return false
}

// RemoteError is an error returned by the remote process.
type RemoteError struct {
	Code string `msgpack:"c"`
	Text string `msgpack:"t"`
}

// Error returns the text from the remote process.
func (e *RemoteError) Error() string { return e.Text }

// Handler serves requests and one-way messages. One-way messages are handled in
// order on the goroutine that reads the connection, and must not block. Each
// request is handled on its own goroutine. Bodies are decoded with Decode.
type Handler interface {
	HandleRequest(ctx context.Context, from Identity, method string, body []byte) (any, error)
	HandleOneWay(from Identity, method string, body []byte)
}

// Decode decodes a message body after checking its structure.
func Decode(body []byte, v any) error {
	if err := checkStructure(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return &FrameError{fmt.Sprintf("body: %v", err)}
	}
	return nil
}

const (
	// maxRequestsInFlight limits the concurrent requests of one connection.
	maxRequestsInFlight = 4096
	writeTimeout        = 5 * time.Second
	outgoingFrames      = 1024
	connBufferBytes     = 32 << 10
)

// Conn is an established connection to a peer.
type Conn struct {
	conn      *observedConn
	remote    Identity
	handler   Handler
	counters  *Counters
	outgoing  chan *envelope
	done      chan struct{}
	closeOnce sync.Once
	lastID    atomic.Uint64
	mu        sync.Mutex
	pending   map[uint64]chan *envelope
}

func newConn(conn net.Conn, own Identity, h Handler, counters *Counters) (*Conn, *bufio.Reader, *bufio.Writer, error) {
	observed := observe(conn)
	r := bufio.NewReaderSize(observed, connBufferBytes)
	w := bufio.NewWriterSize(conn, connBufferBytes)
	remote, err := handshake(conn, r, w, own)
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	c := &Conn{
		conn: observed, remote: remote, handler: h, counters: counters,
		outgoing: make(chan *envelope, outgoingFrames),
		done:     make(chan struct{}),
		pending:  map[uint64]chan *envelope{},
	}
	return c, r, w, nil
}

// run reads frames and serves requests until the connection ends. watch ends it if the
// other end has gone silent.
func (c *Conn) run(r *bufio.Reader, w *bufio.Writer, watch func()) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.writeLoop(w) })
	wg.Go(watch)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slots := make(chan struct{}, maxRequestsInFlight)
	for {
		e, n, err := readFrame(r, MaxFrameBytes)
		if err != nil {
			var malformed *FrameError
			if errors.As(err, &malformed) {
				c.counters.Malformed.Add(1)
			}
			return
		}
		c.counters.BytesIn.Add(int64(n))
		c.counters.FramesIn.Add(1)
		switch e.Kind {
		case kindRequest:
			if e.Method == methodPing {
				c.offer(&envelope{Kind: kindResponse, ID: e.ID})
				continue
			}
			select {
			case slots <- struct{}{}:
			default:
				c.sendError(e.ID, &RemoteError{Code: CodeBusy, Text: "too many requests in flight on one connection"})
				continue
			}
			wg.Go(func() {
				defer func() { <-slots }()
				c.serve(ctx, e)
			})
		case kindOneWay:
			c.handler.HandleOneWay(c.remote, e.Method, e.Body)
		case kindResponse, kindError:
			c.deliverResponse(e)
		default:
			c.counters.Malformed.Add(1)
			return
		}
	}
}

func (c *Conn) serve(ctx context.Context, e *envelope) {
	response, err := c.handler.HandleRequest(ctx, c.remote, e.Method, e.Body)
	if err != nil {
		c.sendError(e.ID, err)
		return
	}
	body, err := msgpack.Marshal(response)
	if err != nil {
		c.sendError(e.ID, err)
		return
	}
	_ = c.enqueue(&envelope{Kind: kindResponse, ID: e.ID, Body: body})
}

func (c *Conn) sendError(id uint64, err error) {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{Code: codeInternal, Text: err.Error()}
	}
	body, merr := msgpack.Marshal(remote)
	if merr != nil {
		return
	}
	_ = c.enqueue(&envelope{Kind: kindError, ID: id, Body: body})
}

func (c *Conn) deliverResponse(e *envelope) {
	c.mu.Lock()
	ch := c.pending[e.ID]
	delete(c.pending, e.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

func (c *Conn) enqueue(e *envelope) error {
	select {
	case c.outgoing <- e:
		return nil
	case <-c.done:
		return ErrClosed
	}
}

func (c *Conn) writeLoop(w *bufio.Writer) {
	defer c.Close()
	for {
		select {
		case e := <-c.outgoing:
			if err := c.writeBatch(w, e); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeBatch writes e and all frames queued after it, then flushes once. It lets other goroutines
// run before it flushes: those that are ready, too, queue the frames that belong to the same event,
// such as the answers to all requests that waited for a commit. Each flush is a system call here
// and a wake-up at the other end.
func (c *Conn) writeBatch(w *bufio.Writer, e *envelope) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var flushed []chan struct{}
	for yielded := false; ; {
		n, err := writeFrame(w, e)
		if err != nil {
			return err
		}
		c.counters.BytesOut.Add(int64(n))
		c.counters.FramesOut.Add(1)
		if e.flushed != nil {
			flushed = append(flushed, e.flushed)
		}
		if len(c.outgoing) == 0 && !yielded {
			runtime.Gosched()
			yielded = true
		}
		select {
		case e = <-c.outgoing:
			continue
		default:
		}
		break
	}
	if err := w.Flush(); err != nil {
		return err
	}
	c.counters.Writes.Add(1)
	for _, done := range flushed {
		close(done)
	}
	return nil
}

// Call sends a request, waits for the response and decodes it into response. A
// nil response discards it.
func (c *Conn) Call(ctx context.Context, method string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errs.New("encode %s: %w: %w", method, errNotSent, err)
	}
	id := c.lastID.Add(1)
	ch := make(chan *envelope, 1)
	c.mu.Lock()
	c.pending[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	select {
	case c.outgoing <- &envelope{Kind: kindRequest, ID: id, Method: method, Body: body}:
	case <-c.done:
		return errs.New("call %s: %w: %w", method, errNotSent, ErrClosed)
	case <-ctx.Done():
		return errs.New("call %s: %w: %w", method, errNotSent, ctx.Err())
	}
	select {
	case e := <-ch:
		return decodeResponse(method, e, response)
	case <-c.done:
		return errs.New("call %s: %w", method, ErrClosed)
	case <-ctx.Done():
		return errs.New("call %s: %w", method, ctx.Err())
	}
}

func decodeResponse(method string, e *envelope, response any) error {
	if e.Kind == kindError {
		remote := new(RemoteError)
		if err := Decode(e.Body, remote); err != nil {
			return errs.New("call %s: %w", method, err)
		}
		return remote
	}
	if response == nil {
		return nil
	}
	if err := Decode(e.Body, response); err != nil {
		return errs.New("call %s: %w", method, err)
	}
	return nil
}

// Send queues a one-way message without blocking. It fails if the outgoing queue
// is full. Delivery is not confirmed.
func (c *Conn) Send(method string, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return errs.New("encode %s: %w", method, err)
	}
	select {
	case c.outgoing <- &envelope{Kind: kindOneWay, Method: method, Body: body}:
		return nil
	case <-c.done:
		return ErrClosed
	default:
		c.counters.Dropped.Add(1)
		return errs.New("send %s: outgoing queue of %d frames is full", method, outgoingFrames)
	}
}

// offer queues a frame, or drops it if the outgoing queue is full.
func (c *Conn) offer(e *envelope) bool {
	select {
	case c.outgoing <- e:
		return true
	default:
		c.counters.Dropped.Add(1)
		return false
	}
}

// Close closes the connection. Pending calls return ErrClosed.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}

// Counters holds the traffic counters of all peer connections of a process.
type Counters struct {
	BytesIn, BytesOut, Malformed, Dropped, Refused atomic.Int64
	// FramesIn and FramesOut count frames, Writes the flushes that carried the latter.
	FramesIn, FramesOut, Writes atomic.Int64
	// Silent counts connections that were closed because nothing arrived on them.
	Silent atomic.Int64
}
