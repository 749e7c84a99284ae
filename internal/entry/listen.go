package entry

import (
	"crypto/tls"
	"net"
	"sync"

	"cactusspar/internal/settings"
)

// listen opens a listener that keeps at most limit connections. The TLS
// handshake runs on the connection's own goroutine, at its first use.
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

// boundedListener closes connections above its bound at once.
type boundedListener struct {
	net.Listener
	slots   chan struct{}
	refused counter
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{Conn: c, free: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			l.refused.Inc(1)
			_ = c.Close()
		}
	}
}

type boundedConn struct {
	net.Conn
	free func()
}

// Close closes the connection and makes room for another.
func (c *boundedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end its side first, so that the caller can
// read a final response before the connection is reset.
func (c *boundedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}
