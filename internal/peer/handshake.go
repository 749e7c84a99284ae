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

// Role is the kind of process that a peer is.
type Role string

// Roles of peers.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Identity is sent by each process in the handshake.
type Identity struct {
	Version     int    `msgpack:"v"`
	Cluster     string `msgpack:"c"`
	Role        Role   `msgpack:"r"`
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// handshakeTimeout limits the duration of the handshake.
const handshakeTimeout = 2 * time.Second

// maxHelloBytes limits the first frame of a peer, which holds its identity.
const maxHelloBytes = 16 << 10

// HandshakeError reports a peer that was rejected in the handshake.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Peer, e.Reason)
}

// handshake sends the own identity, then reads and checks that of the peer.
func handshake(conn net.Conn, r *bufio.Reader, w *bufio.Writer, own Identity) (Identity, error) {
	var remote Identity
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return remote, err
	}
	own.Version = Version
	body, err := msgpack.Marshal(own)
	if err != nil {
		return remote, errs.New("encode identity: %w", err)
	}
	if _, err := writeFrame(w, &envelope{Kind: kindHello, Body: body}); err != nil {
		return remote, err
	}
	if err := w.Flush(); err != nil {
		return remote, err
	}
	e, _, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return remote, err
	}
	refuse := func(format string, args ...any) (Identity, error) {
		return remote, &HandshakeError{Peer: conn.RemoteAddr().String(), Reason: fmt.Sprintf(format, args...)}
	}
	if e.Kind != kindHello {
		return refuse("first frame has kind %d, expected %d", e.Kind, kindHello)
	}
	if err := msgpack.Unmarshal(e.Body, &remote); err != nil {
		return refuse("identity: %v", err)
	}
	if remote.Version != Version {
		return refuse("protocol version %d, expected %d", remote.Version, Version)
	}
	if remote.Cluster != own.Cluster {
		return refuse("cluster %q, expected %q", remote.Cluster, own.Cluster)
	}
	if !certificateMatches(conn, remote.ID) {
		return refuse("the certificate does not name %q", remote.ID)
	}
	return remote, conn.SetDeadline(time.Time{})
}

// OperatorUnit is the organisational unit of operator certificates. They may be
// signed by the same certificate authority, but do not authenticate a process.
const OperatorUnit = "operators"

// certificateMatches reports whether the peer's certificate names the id that
// the peer claims, as common name or DNS name. It returns true without TLS or
// without a certificate: the TLS configuration decides whether one is required.
// An operator certificate never matches.
func certificateMatches(conn net.Conn, id string) bool {
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
