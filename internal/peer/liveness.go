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
	// pingTimeout is the time without a received byte after a ping after which the
	// connection counts as silent. It is longer than a process may be without processor
	// time.
	pingTimeout = time.Second
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

// closeSilent closes a connection on which nothing arrives.
func (c *Conn) closeSilent() {
	c.counters.Silent.Add(1)
	c.Close()
}

// pingUntilSilent sends pings while nothing else arrives, until the connection ends. If
// nothing arrives after a ping either, it closes the connection and returns true.
func (c *Conn) pingUntilSilent() bool {
	var pingedAt time.Time // of a ping after which nothing has arrived
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return false
		case <-timer.C:
		}
		received := c.conn.lastReceived()
		if received.After(pingedAt) {
			pingedAt = time.Time{}
		}
		switch quiet := time.Since(received); {
		case !pingedAt.IsZero():
			c.closeSilent()
			return true
		case quiet < pingInterval:
			timer.Reset(pingInterval - quiet)
		case c.offer(&envelope{Kind: kindRequest, Method: methodPing}):
			pingedAt = time.Now()
			timer.Reset(pingTimeout)
		default:
			timer.Reset(pingInterval)
		}
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
