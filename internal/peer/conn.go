package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// ErrClosed reports that the connection ended before an answer arrived. The
// request may or may not have been handled.
var ErrClosed = errors.New("peer connection closed")

// RemoteError is an error that the other side answered.
type RemoteError struct {
	Code string `msgpack:"c"`
	Text string `msgpack:"t"`
}

// Error returns the other side's text.
func (e *RemoteError) Error() string { return e.Text }

// Handler serves requests and one-way messages. One-way messages are handled
// in order on the reading goroutine and must not block; requests are handled
// each on a goroutine of its own. The body is decoded with Decode.
type Handler interface {
	HandleRequest(ctx context.Context, from Identity, method string, body []byte) (any, error)
	HandleOneWay(from Identity, method string, body []byte)
}

// Decode decodes a message body.
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
	// maxRequestsInFlight bounds the requests that one connection serves at a time.
	maxRequestsInFlight = 4096
	writeTimeout        = 5 * time.Second
	outgoingFrames      = 1024
	connBufferBytes     = 32 << 10
)

// Conn is an established connection to a peer.
type Conn struct {
	conn    net.Conn
	other   Identity
	handler Handler
	counts  *Counts
	out     chan *envelope
	done    chan struct{}
	once    sync.Once
	lastID  atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan *envelope
}

func newConn(conn net.Conn, own Identity, h Handler, counts *Counts) (*Conn, *bufio.Reader, *bufio.Writer, error) {
	r := bufio.NewReaderSize(conn, connBufferBytes)
	w := bufio.NewWriterSize(conn, connBufferBytes)
	other, err := shake(conn, r, w, own)
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	c := &Conn{
		conn: conn, other: other, handler: h, counts: counts,
		out:     make(chan *envelope, outgoingFrames),
		done:    make(chan struct{}),
		waiting: map[uint64]chan *envelope{},
	}
	return c, r, w, nil
}

// run serves the connection until it ends.
func (c *Conn) run(r *bufio.Reader, w *bufio.Writer) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.writeLoop(w) })
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slots := make(chan struct{}, maxRequestsInFlight)
	for {
		e, n, err := readFrame(r)
		if err != nil {
			var malformed *FrameError
			if errors.As(err, &malformed) {
				c.counts.Malformed.Add(1)
			}
			return
		}
		c.counts.BytesIn.Add(int64(n))
		switch e.Kind {
		case kindRequest:
			select {
			case slots <- struct{}{}:
			default:
				c.answerError(e.ID, &RemoteError{Code: "busy", Text: "too many requests in flight on one connection"})
				continue
			}
			wg.Go(func() {
				defer func() { <-slots }()
				c.serve(ctx, e)
			})
		case kindOneWay:
			c.handler.HandleOneWay(c.other, e.Method, e.Body)
		case kindResponse, kindError:
			c.deliver(e)
		default:
			c.counts.Malformed.Add(1)
			return
		}
	}
}

func (c *Conn) serve(ctx context.Context, e *envelope) {
	answer, err := c.handler.HandleRequest(ctx, c.other, e.Method, e.Body)
	if err != nil {
		c.answerError(e.ID, err)
		return
	}
	body, err := msgpack.Marshal(answer)
	if err != nil {
		c.answerError(e.ID, err)
		return
	}
	_ = c.queue(&envelope{Kind: kindResponse, ID: e.ID, Body: body})
}

func (c *Conn) answerError(id uint64, err error) {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{Code: "internal", Text: err.Error()}
	}
	body, merr := msgpack.Marshal(remote)
	if merr != nil {
		return
	}
	_ = c.queue(&envelope{Kind: kindError, ID: id, Body: body})
}

func (c *Conn) deliver(e *envelope) {
	c.mu.Lock()
	ch := c.waiting[e.ID]
	delete(c.waiting, e.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

func (c *Conn) queue(e *envelope) error {
	select {
	case c.out <- e:
		return nil
	case <-c.done:
		return ErrClosed
	}
}

func (c *Conn) writeLoop(w *bufio.Writer) {
	defer c.Close()
	for {
		select {
		case e := <-c.out:
			if err := c.writeBatch(w, e); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeBatch writes e and all frames queued behind it, then flushes once.
func (c *Conn) writeBatch(w *bufio.Writer, e *envelope) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		n, err := writeFrame(w, e)
		if err != nil {
			return err
		}
		c.counts.BytesOut.Add(int64(n))
		select {
		case e = <-c.out:
		default:
			return w.Flush()
		}
	}
}

// Call sends a request and waits for its answer, which is decoded into answer
// unless that is nil.
func (c *Conn) Call(ctx context.Context, method string, request, answer any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errs.New("encode %s: %w", method, err)
	}
	id := c.lastID.Add(1)
	ch := make(chan *envelope, 1)
	c.mu.Lock()
	c.waiting[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	if err := c.queue(&envelope{Kind: kindRequest, ID: id, Method: method, Body: body}); err != nil {
		return errs.New("call %s: %w", method, err)
	}
	select {
	case e := <-ch:
		return decodeAnswer(method, e, answer)
	case <-c.done:
		return errs.New("call %s: %w", method, ErrClosed)
	case <-ctx.Done():
		return errs.New("call %s: %w", method, ctx.Err())
	}
}

func decodeAnswer(method string, e *envelope, answer any) error {
	if e.Kind == kindError {
		remote := new(RemoteError)
		if err := Decode(e.Body, remote); err != nil {
			return errs.New("call %s: %w", method, err)
		}
		return remote
	}
	if answer == nil {
		return nil
	}
	if err := Decode(e.Body, answer); err != nil {
		return errs.New("call %s: %w", method, err)
	}
	return nil
}

// Send sends a one-way message. Delivery is not confirmed.
func (c *Conn) Send(method string, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return errs.New("encode %s: %w", method, err)
	}
	select {
	case c.out <- &envelope{Kind: kindOneWay, Method: method, Body: body}:
		return nil
	case <-c.done:
		return ErrClosed
	default:
		c.counts.Dropped.Add(1)
		return errs.New("send %s: outgoing queue of %d frames is full", method, outgoingFrames)
	}
}

// Close ends the connection. Pending calls return ErrClosed.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}

// Counts holds the traffic counters of a process's peer connections.
type Counts struct {
	BytesIn, BytesOut, Malformed, Dropped, Refused atomic.Int64
}
