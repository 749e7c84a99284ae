package peer

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Role tells what kind of process a peer is.
type Role string

// Roles of the processes that talk to each other.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Identity is what a process says of itself in the handshake.
type Identity struct {
	Version     int    `msgpack:"v"`
	Cluster     string `msgpack:"c"`
	Role        Role   `msgpack:"r"`
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// handshakeTimeout bounds the time a new connection may take to identify itself.
const handshakeTimeout = 2 * time.Second

// HandshakeError reports a peer that was refused.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error names the peer and why it was refused.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Peer, e.Reason)
}

// shake sends own identity, reads the other one and checks it.
func shake(conn net.Conn, r *bufio.Reader, w *bufio.Writer, own Identity) (Identity, error) {
	var other Identity
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return other, err
	}
	own.Version = Version
	body, err := msgpack.Marshal(own)
	if err != nil {
		return other, errs.New("encode identity: %w", err)
	}
	if _, err := writeFrame(w, &envelope{Kind: kindHello, Body: body}); err != nil {
		return other, err
	}
	if err := w.Flush(); err != nil {
		return other, err
	}
	e, _, err := readFrame(r)
	if err != nil {
		return other, err
	}
	refuse := func(format string, args ...any) (Identity, error) {
		return other, &HandshakeError{Peer: conn.RemoteAddr().String(), Reason: fmt.Sprintf(format, args...)}
	}
	if e.Kind != kindHello {
		return refuse("first frame has kind %d, expected %d", e.Kind, kindHello)
	}
	if err := msgpack.Unmarshal(e.Body, &other); err != nil {
		return refuse("identity: %v", err)
	}
	if other.Version != Version {
		return refuse("protocol version %d, expected %d", other.Version, Version)
	}
	if other.Cluster != own.Cluster {
		return refuse("cluster %q, expected %q", other.Cluster, own.Cluster)
	}
	if !certified(conn, other.ID) {
		return refuse("the certificate does not name %q", other.ID)
	}
	return other, conn.SetDeadline(time.Time{})
}

// OperatorUnit is the organisational unit of operators' certificates, which the
// same authority may have signed but which are not for processes.
const OperatorUnit = "operators"

// certified tells whether the peer's certificate names the instance that the
// peer states to be, as common name or DNS name. Without TLS, or without a
// certificate, there is nothing to compare; whether one is needed is decided by
// the TLS configuration.
func certified(conn net.Conn, id string) bool {
	c, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certificates := c.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return true
	}
	first := certificates[0]
	if slices.Contains(first.Subject.OrganizationalUnit, OperatorUnit) {
		return false
	}
	return first.Subject.CommonName == id || slices.Contains(first.DNSNames, id)
}
