package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections bounds the open connections of a listener. At the limit, a new connection
// replaces the one that has waited longest for its client.
type connections struct {
	limit    int
	replaced func() // called for each connection that is closed in favour of another

	mu sync.Mutex
	// changed is signalled when a connection is closed or begins to wait for its client.
	changed sync.Cond
	open    int
	closed  bool // no more connections are accepted
	// waiting holds the connections that wait for their clients, the longest wait first.
	waiting list[*conn]
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
	// busy is set while the server handles a request and does not wait for the client.
	busy bool
}

// add makes room for a connection and returns it. It waits while each open one is busy.
func (c *connections) add(raw net.Conn) (*conn, error) {
	added := &conn{Conn: raw, owner: c}
	added.place.value = added
	c.mu.Lock()
	for c.open >= c.limit && !c.closed {
		longest := c.waiting.front()
		if longest == nil {
			c.changed.Wait()
			continue
		}
		longest.value.release()
		c.mu.Unlock()
		_ = longest.value.Conn.Close()
		c.replaced()
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	c.open++
	c.waiting.pushBack(&added.place)
	return added, nil
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

// setBusy tells whether the server waits for the client, from now on, or handles its request.
func (c *conn) setBusy(busy bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.busy = busy
	c.move(!busy)
}

// move puts the connection at the end of those that wait, or takes it out. The lock is held.
func (c *conn) move(waits bool) {
	c.place.remove()
	if waits && !c.gone {
		c.owner.waiting.pushBack(&c.place)
		c.owner.changed.Signal()
	}
}

// Write waits for the client if it doesn't read.
func (c *conn) Write(data []byte) (int, error) {
	c.owner.mu.Lock()
	c.move(true)
	c.owner.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.owner.mu.Lock()
	c.move(!c.busy)
	c.owner.mu.Unlock()
	return n, err
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
	onState, withConn := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded := connOf(c); bounded != nil {
			switch state {
			case http.StateActive: // the head of a request has been read
				bounded.setBusy(true)
			case http.StateIdle:
				bounded.setBusy(false)
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
}

// setBusy sets the state of the connection on which a request arrives, if it is bounded.
func setBusy(r *http.Request, busy bool) {
	if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
		c.setBusy(busy)
	}
}
