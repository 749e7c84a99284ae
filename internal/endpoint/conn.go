package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
)

const (
	connBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response to 64 KiB, plus the part of the
	// body that the buffer may read ahead.
	maxHeadBytes = 64<<10 + connBufferBytes
	dialTimeout  = time.Second
)

var errHeadTooLong = errors.New("head of the response exceeds 64 KiB")

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net  net.Conn
	addr string
	br   *bufio.Reader
	bw   *bufio.Writer
	// anySent is set once a byte of the current request has been sent.
	anySent bool
	// reused is set once the connection has carried a complete exchange.
	reused    bool
	idleSince time.Time
	// headBudget is the number of bytes that may still be read while the head is
	// parsed; negative means no limit.
	headBudget int64
	// peek inspects the socket through raw. It sets peeked if the connection is
	// open and has no data to read.
	raw    syscall.RawConn
	peek   func(fd uintptr) bool
	peeked bool
}

func dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &conn{net: c, addr: addr, headBudget: -1}
	n.br = bufio.NewReaderSize(connReader{n}, connBufferBytes)
	n.bw = bufio.NewWriterSize(connWriter{n}, connBufferBytes)
	if sc, ok := c.(syscall.Conn); ok {
		n.raw, _ = sc.SyscallConn() // without raw, canReuse is false and the connection carries one request
		n.peek = n.peekSocket
	}
	return n, nil
}

type connReader struct{ c *conn }

func (s connReader) Read(p []byte) (int, error) {
	if s.c.headBudget == 0 {
		return 0, errHeadTooLong
	}
	if s.c.headBudget > 0 && int64(len(p)) > s.c.headBudget {
		p = p[:s.c.headBudget]
	}
	n, err := s.c.net.Read(p)
	if s.c.headBudget > 0 {
		s.c.headBudget -= int64(n)
	}
	return n, err
}

type connWriter struct{ c *conn }

func (s connWriter) Write(p []byte) (int, error) {
	n, err := s.c.net.Write(p)
	if n > 0 && !s.c.anySent {
		s.c.anySent = true
	}
	return n, err
}

// canReuse reports whether the idle connection is open and has received no data.
// Unsolicited data, such as a second response to one request, must never be
// taken for the response to the next request.
func (c *conn) canReuse() bool {
	if c.br.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.peeked = false
	err := c.raw.Read(c.peek)
	return err == nil && c.peeked
}

// peekSocket checks the socket for data without blocking. It does not use
// syscall.Recvfrom, which allocates an address for each call.
func (c *conn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)),
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	c.peeked = errno == syscall.EAGAIN
	return true
}
