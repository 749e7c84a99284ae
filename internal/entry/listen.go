package entry

import (
	"crypto/tls"
	"net"
	"sync"

	"cactusspar/internal/settings"
)

// listen opens a listener that holds at most limit open connections. The TLS
// handshake runs on the goroutine that first uses the connection, so that it
// does not block Accept.
func listen(s settings.Listener, limit int, refused counter) (net.Listener, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	bounded := &boundedListener{Listener: ln, slots: make(chan struct{}, limit), refused: refused}
	if config != nil {
		return tls.NewListener(bounded, config), nil
	}
	return bounded, nil
}

// boundedListener accepts a limited number of open connections and closes any
// further connection immediately.
type boundedListener struct {
	net.Listener
	slots   chan struct{}
	refused counter
}

// Accept returns the next connection that is within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{Conn: c, freeSlot: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			l.refused.Inc(1)
			_ = c.Close()
		}
	}
}

type boundedConn struct {
	net.Conn
	freeSlot func()
}

// Close closes the connection and frees its slot for another one.
func (c *boundedConn) Close() error {
	defer c.freeSlot()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. The HTTP server uses it so that the peer
// can read a final response before the connection is reset.
func (c *boundedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}
