// Package drain ends an HTTP server without cutting off a request that has begun
// to arrive. http.Server.Shutdown alone closes a connection without an answer if
// its request is read after Shutdown was called.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstByte is how long a connection that was accepted may take to begin its
	// request. Connections that are only held open must not delay a stop.
	firstByte = time.Second
	poll      = 5 * time.Millisecond
)

// Connections follows the connections of one server.
type Connections struct {
	firstByte time.Duration

	mu sync.Mutex
	// fresh holds when a connection without a request was accepted.
	fresh map[net.Conn]time.Time
	// active are the connections with a request in progress.
	active map[net.Conn]bool
}

// Watch follows the connections of a server. It is called before Serve.
func Watch(s *http.Server) *Connections {
	c := &Connections{firstByte: firstByte, fresh: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
	s.ConnState = c.note
	return c
}

func (c *Connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	default:
		// Idle, hijacked and closed connections have no request of the server's.
	}
}

// busy tells whether a request is in progress, or may begin at any moment.
func (c *Connections) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.fresh {
		if time.Since(accepted) < c.firstByte {
			return true
		}
	}
	return len(c.active) > 0
}

// Shutdown closes the listener, waits until no request is in progress or ctx
// ends, and shuts the server down. Requests on connections that were accepted
// before are still served. It returns the error of ctx if requests are left.
func (c *Connections) Shutdown(ctx context.Context, s *http.Server, ln net.Listener) error {
	closed := ln.Close()
	for c.busy() && ctx.Err() == nil {
		time.Sleep(poll)
	}
	return errors.Join(ignoreClosed(closed), ignoreClosed(s.Shutdown(ctx)))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Ended tells whether an error of Serve means that the server was ended on purpose.
func Ended(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}
