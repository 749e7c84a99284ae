package testutil

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// SilentLink forwards connections. Silence makes the open ones drop all bytes without
// being closed, while new ones work.
type SilentLink struct {
	Addr string
	mu   sync.Mutex
	drop chan struct{} // closed when the connections that were accepted under it go silent
}

// NewSilentLink returns a link to a target, which ends with the test.
func NewSilentLink(t *testing.T, target string) *SilentLink {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &SilentLink{Addr: ln.Addr().String(), drop: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			drop := l.drop
			l.mu.Unlock()
			go forward(conn, target, drop)
		}
	}()
	return l
}

// Silence makes the open connections go silent.
func (l *SilentLink) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.drop)
	l.drop = make(chan struct{})
}

func forward(a net.Conn, target string, drop chan struct{}) {
	b, err := net.Dial("tcp", target)
	if err != nil {
		_ = a.Close()
		return
	}
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			select {
			case <-drop:
				_, _ = io.Copy(io.Discard, from) // the other end isn't told
				return
			default:
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				_, _ = a.Close(), b.Close()
				return
			}
		}
	}
	go pipe(a, b)
	pipe(b, a)
}
