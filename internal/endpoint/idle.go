package endpoint

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeout closes a connection that has had no ticket for this long.
	idleTimeout = 2 * time.Second
	idleSweep   = 100 * time.Millisecond
	// defaultIdle bounds the idle connections to one endpoint until the number
	// of entry instances is known.
	defaultIdle = 2
)

// idleConns keeps connections that may carry another request.
type idleConns struct {
	mu     sync.Mutex
	byAddr map[string][]*conn
	closed bool
	// most bounds the idle connections to one endpoint.
	most int
}

// setMost sets the bound for connections that become idle from now on.
func (i *idleConns) setMost(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.most = n
}

// take returns the connection that was used last, or nil.
func (i *idleConns) take(addr string) *conn {
	for {
		c := i.pop(addr)
		if c == nil || (time.Since(c.idleSince) < idleTimeout && c.quiet()) {
			return c
		}
		_ = c.net.Close()
	}
}

func (i *idleConns) pop(addr string) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	conns := i.byAddr[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	i.byAddr[addr] = conns[:len(conns)-1]
	return c
}

func (i *idleConns) put(c *conn) {
	c.idleSince = time.Now()
	i.mu.Lock()
	keep := !i.closed && len(i.byAddr[c.addr]) < i.most
	if keep {
		i.byAddr[c.addr] = append(i.byAddr[c.addr], c)
	}
	i.mu.Unlock()
	if !keep {
		_ = c.net.Close()
	}
}

// run closes connections that have been idle for too long, until ctx ends.
func (i *idleConns) run(ctx context.Context) {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			i.sweep(now.Add(idleSweep - idleTimeout))
		case <-ctx.Done():
			i.close()
			return
		}
	}
}

// sweep closes the connections that have been idle since before the given time.
func (i *idleConns) sweep(before time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for addr, conns := range i.byAddr {
		n := 0
		for n < len(conns) && conns[n].idleSince.Before(before) {
			_ = conns[n].net.Close()
			n++
		}
		if n == len(conns) {
			delete(i.byAddr, addr)
			continue
		}
		i.byAddr[addr] = append(conns[:0], conns[n:]...)
	}
}

func (i *idleConns) close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.sweep(time.Now().Add(time.Hour))
}
