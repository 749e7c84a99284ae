package peer

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

const (
	// maxConnections limits the concurrent connections of one server.
	maxConnections = 512
	// acceptRetryDelay is the time between two attempts to accept a connection while they fail.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server accepts connections from peers.
type Server struct {
	Identity Identity
	Handler  Handler
	Log      logr.Logger
	Counters *Counters
	TLS      *tls.Config // nil means plain text
	// idleTimeout is how long a connection may receive nothing; the default is
	// acceptedIdleTimeout.
	idleTimeout time.Duration

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Serve accepts connections on ln until ctx ends, then closes ln and all of its
// connections.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.TLS != nil {
		ln = tls.NewListener(ln, s.TLS)
	}
	s.conns = map[*Conn]struct{}{}
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.closeAll()
	})
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConnections)
	failing := false
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // out of descriptors, for example
			if !failing {
				s.Log.Error(err, "Can't accept connections of peers.")
			}
			failing = true
			sleep(ctx, acceptRetryDelay)
			continue
		}
		if failing {
			s.Log.Info("Accepts connections of peers again.")
		}
		failing = false
		select {
		case slots <- struct{}{}:
		default:
			s.Counters.Refused.Add(1)
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			s.handle(ctx, conn)
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	c, r, w, err := newConn(conn, s.Identity, s.Handler, s.Counters)
	if err != nil {
		s.Counters.Refused.Add(1)
		s.Log.Info("Rejected a peer connection.", "peer", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if ctx.Err() != nil {
		c.Close()
	}
	c.run(r, w, func() { c.closeWhenIdle(cmp.Or(s.idleTimeout, acceptedIdleTimeout)) })
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Timing of a Client. After a failed attempt, it does not dial for redialDelay.
const (
	dialTimeout = time.Second
	redialDelay = 50 * time.Millisecond
	// sendBufferBytes limits what waits in the kernel. On a slow network link, a ping would
	// otherwise count as sent long before it is.
	sendBufferBytes = 32 << 10
)

// Client maintains one connection to an address. After the connection is lost, it
// dials again at the next use.
type Client struct {
	// Log receives a line for each connection that is closed because it has gone silent.
	// It may be set before the first use.
	Log logr.Logger

	addr     string
	identity Identity
	handler  Handler
	tls      *tls.Config
	counters *Counters

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	mu      sync.Mutex
	conn    *Conn
	dialing chan struct{} // closed at the end of the attempt in progress; nil without one
	retryAt time.Time
	lastErr error
	wg      conc.WaitGroup
}

// NewClient returns a client that dials addr at the first use. Requests and
// one-way messages from the remote process go to h.
func NewClient(addr string, identity Identity, h Handler, tlsConfig *tls.Config, counters *Counters) *Client {
	c := &Client{addr: addr, identity: identity, handler: h, tls: tlsConfig, counters: counters}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Addr returns the address that the client dials.
func (c *Client) Addr() string { return c.addr }

// Call sends a request and waits for the response, dialing first if needed. If it ends
// without a response on a connection on which nothing arrives, the next use dials again.
func (c *Client) Call(ctx context.Context, method string, request, response any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	err = conn.Call(ctx, method, request, response)
	if errors.Is(err, context.DeadlineExceeded) && conn.silentSince(began) {
		c.leave(conn)
	}
	return err
}

// leave makes the next use dial a new connection. The present one serves the calls in progress
// until its pings show that it is silent.
func (c *Client) leave(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn, c.lastErr = nil, errSilent
	}
}

// Send sends a one-way message, dialing first if needed. It blocks while dialing.
func (c *Client) Send(ctx context.Context, method string, message any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return conn.Send(method, message)
}

// errSilent is why a connection was left on which nothing arrived.
var errSilent = errors.New("the connection is silent")

// DialError reports that no connection to a peer could be established. Nothing
// was sent.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// connect returns the connection, and dials if there is none. Concurrent callers share
// an attempt, and each waits for it no longer than its ctx allows.
func (c *Client) connect(ctx context.Context) (*Conn, error) {
	for attempted := false; ; attempted = true {
		if err := ctx.Err(); err != nil {
			return nil, &DialError{c.addr, err}
		}
		conn, dialing, err := c.current(attempted)
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, &DialError{c.addr, ctx.Err()}
		}
	}
}

// current returns the connection, or the attempt in progress, which it starts if need
// be, or the error of the last attempt.
func (c *Client) current(attempted bool) (conn *Conn, dialing chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, &DialError{c.addr, ErrClosed}
	}
	if c.conn != nil {
		select {
		case <-c.conn.done:
			c.conn, c.lastErr = nil, ErrClosed
		default:
			return c.conn, nil, nil
		}
	}
	if c.dialing != nil {
		return nil, c.dialing, nil
	}
	if attempted || time.Now().Before(c.retryAt) {
		return nil, nil, &DialError{c.addr, c.lastErr}
	}
	c.dialing = make(chan struct{})
	c.wg.Go(c.attempt)
	return nil, c.dialing, nil
}

// attempt dials and, if that succeeds, serves the connection until it ends.
func (c *Client) attempt() {
	conn, r, w, err := c.dial(c.ctx)
	c.mu.Lock()
	if err != nil {
		c.retryAt, c.lastErr = time.Now().Add(redialDelay), err
	}
	c.conn = conn
	close(c.dialing)
	c.dialing = nil
	c.mu.Unlock()
	if err != nil {
		return
	}
	stop := context.AfterFunc(c.ctx, conn.Close)
	defer stop()
	conn.run(r, w, func() {
		if conn.pingUntilSilent() {
			c.Log.Info("Closed a connection that has gone silent.", "peer", c.addr)
		}
	})
}

func (c *Client) dial(ctx context.Context) (*Conn, *bufio.Reader, *bufio.Writer, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, nil, nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(sendBufferBytes); err != nil {
			return nil, nil, nil, errors.Join(err, conn.Close())
		}
	}
	if c.tls != nil {
		conn = tls.Client(conn, c.tlsConfig())
	}
	abort := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer abort()
	return newConn(conn, c.identity, c.handler, c.counters)
}

// tlsConfig returns the TLS configuration. The server name to verify defaults to
// the host of the address.
func (c *Client) tlsConfig() *tls.Config {
	config := c.tls.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(c.addr) // an address without a port can't be dialled
	}
	return config
}

// Close closes the connection and waits for its goroutines. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}
