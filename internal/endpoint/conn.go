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
	// maxHeadBytes bounds the head of a response, including what is read
	// ahead of the body.
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
	// written tells that a byte of the current request was sent.
	written bool
	// reused tells that an earlier request was answered on the connection.
	reused    bool
	idleSince time.Time
	// headLeft bounds the bytes read while the head is parsed; negative is
	// without bound.
	headLeft int64
	// raw and peek look at the socket; peeked is what peek found.
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
	n := &conn{net: c, addr: addr, headLeft: -1}
	n.br = bufio.NewReaderSize(readSide{n}, connBufferBytes)
	n.bw = bufio.NewWriterSize(writeSide{n}, connBufferBytes)
	if sc, ok := c.(syscall.Conn); ok {
		n.raw, _ = sc.SyscallConn() // without it, the connection carries one request
		n.peek = n.peekSocket
	}
	return n, nil
}

type readSide struct{ c *conn }

func (s readSide) Read(p []byte) (int, error) {
	if s.c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if s.c.headLeft > 0 && int64(len(p)) > s.c.headLeft {
		p = p[:s.c.headLeft]
	}
	n, err := s.c.net.Read(p)
	if s.c.headLeft > 0 {
		s.c.headLeft -= int64(n)
	}
	return n, err
}

type writeSide struct{ c *conn }

func (s writeSide) Write(p []byte) (int, error) {
	n, err := s.c.net.Write(p)
	if n > 0 && !s.c.written {
		s.c.written = true
	}
	return n, err
}

// quiet tells whether the idle connection is open and has received nothing.
// Bytes that arrived without a request, such as a second response, must never
// be taken for the response of the next request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.peeked = false
	err := c.raw.Read(c.peek)
	return err == nil && c.peeked
}

// peekSocket looks at the socket without waiting. syscall.Recvfrom would do,
// but it allocates an address for each call.
func (c *conn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)),
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	c.peeked = errno == syscall.EAGAIN
	return true
}
