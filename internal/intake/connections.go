package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// stuckAfter is how long a response may take to be written, and an unread body to be
// discarded, before the connection may be replaced.
const stuckAfter = 500 * time.Millisecond

// readAfter is how long a client has at least to read a response before its connection may
// be replaced.
const readAfter = 50 * time.Millisecond

// connections bounds the open connections of a listener. At the limit, a new connection
// replaces the one that has waited longest for its client, or has been answered for longer.
type connections struct {
	limit    int
	replaced func() // called for each connection that is closed in favour of another

	mu sync.Mutex
	// changed is signalled when a connection is closed or may be replaced.
	changed sync.Cond
	open    int
	closed  bool // no more connections are accepted, and none is replaced
	// waiting, finishing and answered hold the connections in these states, the longest first.
	waiting, finishing, answered list[*conn]
}

func newConnections(limit int, replaced func()) *connections {
	c := &connections{limit: limit, replaced: replaced}
	c.changed.L = &c.mu
	return c
}

// conn is a connection of a bounded listener.
type conn struct {
	net.Conn
	owner *connections
	place entry[*conn]
	gone  bool
	state connState
	// since is when the state began, or the client last made progress in it.
	since time.Time
	// returned is whether the handler of the request has returned.
	returned bool
}

type connState uint8

const (
	// waiting for the client: idle, or with an unfinished head or body.
	waiting connState = iota
	// busy with a request that has arrived.
	busy
	// finishing a request: its response is written, or an unread body is discarded.
	finishing
	// answered: the response is written, and an unread body may be discarded.
	answered
)

// add makes room for a connection and returns it. It waits while each open one is busy.
func (c *connections) add(raw net.Conn) (*conn, error) {
	added := &conn{Conn: raw, owner: c, since: time.Now()}
	added.place.value = added
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.limit && !c.closed {
		longest, in := c.replaceable()
		switch {
		case longest != nil:
			c.replace(longest)
		case in > 0:
			timer := time.AfterFunc(in, c.wake)
			c.changed.Wait()
			timer.Stop()
		default:
			c.changed.Wait()
		}
	}
	if c.open >= c.limit {
		return nil, net.ErrClosed
	}
	c.open++
	c.waiting.pushBack(&added.place)
	return added, nil
}

// replaceable returns the connection that a new one replaces. Without one it returns in what
// time there may be one, or 0 if that isn't known.
func (c *connections) replaceable() (*conn, time.Duration) {
	w, a := c.waiting.front(), c.answered.front()
	switch {
	case a != nil && (w == nil || a.value.since.Before(w.value.since)):
		return a.value.after(readAfter)
	case w != nil:
		return w.value, 0
	}
	if f := c.finishing.front(); f != nil {
		return f.value.after(stuckAfter)
	}
	return nil, 0
}

// after returns the connection once its state has lasted for a time, and until then what is
// left of it.
func (c *conn) after(d time.Duration) (*conn, time.Duration) {
	if left := d - time.Since(c.since); left > 0 {
		return nil, left
	}
	return c, 0
}

// replace closes a connection. The lock is held, and released meanwhile.
func (c *connections) replace(longest *conn) {
	longest.release()
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = longest.Conn.Close()
	c.replaced()
}

func (c *connections) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// stop ends the wait of add for good.
func (c *connections) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// release removes a connection. The lock is held.
func (c *conn) release() {
	if c.gone {
		return
	}
	c.gone = true
	c.place.remove()
	c.owner.open--
	c.owner.changed.Broadcast()
}

// set changes the state, and puts the connection behind the others in that state.
func (c *conn) set(state connState) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.enter(state)
}

// enter is set with the lock held.
func (c *conn) enter(state connState) {
	c.state, c.since = state, time.Now()
	if state == waiting || state == busy {
		c.returned = false
	}
	c.place.remove()
	if c.gone {
		return
	}
	switch state {
	case waiting:
		c.owner.waiting.pushBack(&c.place)
	case finishing:
		c.owner.finishing.pushBack(&c.place)
	case answered:
		c.owner.answered.pushBack(&c.place)
	case busy:
		return
	}
	c.owner.changed.Signal()
}

// Write is a part of finishing a request, because the client may not read.
func (c *conn) Write(data []byte) (int, error) {
	c.owner.mu.Lock()
	wasBusy := c.state == busy
	if wasBusy {
		c.enter(finishing)
	}
	c.owner.mu.Unlock()
	n, err := c.Conn.Write(data)
	if wasBusy {
		c.set(busy)
		return n, err
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.state == finishing && c.returned && err == nil {
		c.enter(answered)
	}
	return n, err
}

// handled tells that the handler has returned, so that what is written next ends the response.
func (c *conn) handled() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.returned = true
	c.enter(finishing)
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.release()
	return err
}

// CloseWrite closes the sending side, so that the client can read a final response
// before the connection is reset.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

type listener struct {
	net.Listener
	connections *connections
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	added, err := l.connections.add(raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return added, nil
}

// Close stops accepting connections. Those that are open stay.
func (l *listener) Close() error {
	l.connections.stop()
	return l.Listener.Close()
}

// connOf returns the bounded connection below c, or nil.
func connOf(c net.Conn) *conn {
	for c != nil {
		switch t := c.(type) {
		case *conn:
			return t
		case interface{ NetConn() net.Conn }: // TLS
			c = t.NetConn()
		default:
			return nil
		}
	}
	return nil
}

type connKey struct{}

// Attach makes an HTTP server tell when it waits for the clients of a bounded listener. It
// keeps the functions that are set already, and must be called before Serve.
func Attach(s *http.Server) {
	onState, withConn, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded := connOf(c); bounded != nil {
			switch state {
			case http.StateActive: // the head of a request has been read
				bounded.set(busy)
			case http.StateIdle:
				bounded.set(waiting)
			default:
				// New connections wait already, closed ones have been removed.
			}
		}
		if onState != nil {
			onState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	if handler != nil {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				if c := requestConn(r); c != nil {
					c.handled()
				}
			}()
			handler.ServeHTTP(w, r)
		})
	}
}

// setState sets the state of the connection on which a request arrives, if it is bounded.
func setState(r *http.Request, state connState) {
	if c := requestConn(r); c != nil {
		c.set(state)
	}
}

// requestConn returns the bounded connection on which a request arrives, or nil.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
