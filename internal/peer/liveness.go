package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// An open connection may go silent without a reset, for example after a change of a
// network path, while new connections work. The dialling end therefore sends pings, and
// closes a connection on which nothing arrives in time; its next use dials again.

// methodPing is the method of pings. A process that doesn't know it responds with an
// error, which shows as well that the connection works.
const methodPing = "peer.ping"

const (
	// pingInterval is the time without a received byte after which a ping is sent.
	pingInterval = 500 * time.Millisecond
	// pingTimeout is the time without a received byte after a ping was sent after which the
	// connection counts as silent. It is longer than a process may be without processor
	// time.
	pingTimeout = time.Second
	// resumeTime is how long a process that was suspended may take to read what has arrived.
	resumeTime = 100 * time.Millisecond
	// acceptedIdleTimeout is the time without a received byte after which an accepted
	// connection counts as silent.
	acceptedIdleTimeout = 15 * time.Second
)

// observedConn records when bytes last arrived.
type observedConn struct {
	net.Conn
	opened time.Time
	// receivedAt is the time since opened at which bytes last arrived.
	receivedAt atomic.Int64
}

func observe(conn net.Conn) *observedConn { return &observedConn{Conn: conn, opened: time.Now()} }

// Read implements net.Conn.
func (o *observedConn) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	if n > 0 {
		o.receivedAt.Store(int64(time.Since(o.opened)))
	}
	return n, err
}

// lastReceived returns when bytes last arrived.
func (o *observedConn) lastReceived() time.Time {
	return o.opened.Add(time.Duration(o.receivedAt.Load()))
}

// silentSince reports whether nothing has arrived since a time, although a ping would have
// been answered.
func (c *Conn) silentSince(t time.Time) bool {
	return c.conn.lastReceived().Before(t) && time.Since(t) > pingInterval
}

// closeSilent closes a connection on which nothing arrives.
func (c *Conn) closeSilent() {
	c.counters.Silent.Add(1)
	c.Close()
}

// pingUntilSilent sends pings while nothing else arrives, until the connection ends. If
// nothing arrives after a ping either, it closes the connection and returns true.
func (c *Conn) pingUntilSilent() bool {
	for {
		for quiet := time.Since(c.conn.lastReceived()); quiet < pingInterval; quiet = time.Since(c.conn.lastReceived()) {
			if !c.sleep(pingInterval - quiet) {
				return false
			}
		}
		ping := &envelope{Kind: kindRequest, Method: methodPing, flushed: make(chan struct{})}
		offeredAt := time.Now()
		if !c.offer(ping) {
			if !c.sleep(pingInterval) {
				return false
			}
			continue
		}
		select {
		case <-ping.flushed: // after the frames before it, for which writeTimeout is the limit
		case <-c.done:
			return false
		}
		if !c.sleep(pingTimeout) {
			return false
		}
		if c.conn.lastReceived().After(offeredAt) {
			continue
		}
		// When the process resumes, its timers may fire before what waits in the socket is read.
		if !c.sleep(resumeTime) {
			return false
		}
		if !c.conn.lastReceived().After(offeredAt) {
			c.closeSilent()
			return true
		}
	}
}

// sleep waits for d and returns false if the connection has ended.
func (c *Conn) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

// closeWhenIdle closes an accepted connection on which nothing arrives for limit: its
// other end would send pings.
func (c *Conn) closeWhenIdle(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-timer.C:
		}
		left := limit - time.Since(c.conn.lastReceived())
		if left <= 0 {
			c.closeSilent()
			return
		}
		timer.Reset(left)
	}
}
