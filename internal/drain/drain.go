// Package drain shuts down an HTTP server without dropping requests that have begun
// to arrive. http.Server.Shutdown alone closes a connection without a response if
// its request is read after the call of Shutdown.
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
	// firstByteTimeout is how long Shutdown waits for a request on a newly accepted
	// connection. Connections that are only held open must not delay a stop.
	firstByteTimeout = time.Second
	pollInterval     = 5 * time.Millisecond
)

// Connections tracks the connections of one server.
type Connections struct {
	firstByteTimeout time.Duration

	mu sync.Mutex
	// awaitingRequest maps each connection that has had no request yet to the time
	// at which it was accepted.
	awaitingRequest map[net.Conn]time.Time
	// active is the set of connections with a request in progress.
	active map[net.Conn]bool
}

// Track tracks the connections of a server. It sets the server's ConnState and must
// be called before Serve.
func Track(s *http.Server) *Connections {
	c := &Connections{firstByteTimeout: firstByteTimeout, awaitingRequest: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
	s.ConnState = c.onStateChange
	return c
}

func (c *Connections) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.awaitingRequest, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.awaitingRequest[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	default:
		// Idle, hijacked and closed connections have no request in progress.
	}
}

// busy reports whether a request is in progress, or may begin on a newly accepted
// connection.
func (c *Connections) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.awaitingRequest {
		if time.Since(accepted) < c.firstByteTimeout {
			return true
		}
	}
	return len(c.active) > 0
}

// Shutdown closes the listener, waits until no request is in progress or ctx ends,
// and shuts the server down. Requests on connections that were accepted before are
// still served. It returns the error of ctx if requests are still in progress.
func (c *Connections) Shutdown(ctx context.Context, s *http.Server, ln net.Listener) error {
	closeErr := ln.Close()
	for c.busy() && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	return errors.Join(ignoreClosed(closeErr), ignoreClosed(s.Shutdown(ctx)))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// IsShutdown reports whether an error of Serve means that the server was shut down on
// purpose.
func IsShutdown(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}
