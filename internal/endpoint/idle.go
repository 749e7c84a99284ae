package endpoint

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout   = 2 * time.Second
	sweepInterval = 100 * time.Millisecond
	// defaultMaxIdle limits the idle connections to one endpoint until
	// SetMaxIdlePerEndpoint is called: a suitable number depends on the number of
	// entry instances.
	defaultMaxIdle = 2
)

// idleConns is a pool of idle connections by endpoint address.
type idleConns struct {
	mu     sync.Mutex
	byAddr map[string][]*conn
	closed bool
	// maxPerAddr limits the idle connections to one endpoint.
	maxPerAddr int
}

// setMaxPerAddr sets the limit. Connections that are already idle stay open.
func (i *idleConns) setMaxPerAddr(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.maxPerAddr = n
}

// get returns the most recently used connection that can be reused, or nil. It
// closes those that can't.
func (i *idleConns) get(addr string) *conn {
	for {
		c := i.pop(addr)
		if c == nil || (time.Since(c.idleSince) < idleTimeout && c.canReuse()) {
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
	keep := !i.closed && len(i.byAddr[c.addr]) < i.maxPerAddr
	if keep {
		i.byAddr[c.addr] = append(i.byAddr[c.addr], c)
	}
	i.mu.Unlock()
	if !keep {
		_ = c.net.Close()
	}
}

// run closes connections that have been idle for idleTimeout. It closes all of
// them when ctx ends.
func (i *idleConns) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			i.sweep(now.Add(sweepInterval - idleTimeout))
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
