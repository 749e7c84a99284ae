package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a network path to an address. While it is cut, it holds all bytes, and the ends of
// connections too, and delivers them in their order after it is whole again: the kernel of a
// machine sends again what was not acknowledged.
type link struct {
	target string
	// roundTrip is the time between the delivery of held bytes and that of the end of their
	// connection, which is a packet of its own.
	roundTrip time.Duration

	mu    sync.Mutex
	whole chan struct{} // closed while the link is not cut
}

func newLink(address, target string, roundTrip time.Duration) (*link, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, roundTrip: roundTrip, whole: make(chan struct{})}
	close(l.whole)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

// cut cuts the link. The returned function makes it whole.
func (l *link) cut() (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole := make(chan struct{})
	l.whole = whole
	return sync.OnceFunc(func() { close(whole) })
}

// await waits until the link is whole.
func (l *link) await() {
	l.mu.Lock()
	whole := l.whole
	l.mu.Unlock()
	<-whole
}

func (l *link) carry(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		l.pass(from, to)
	}()
	go func() {
		defer wg.Done()
		l.pass(to, from)
	}()
	wg.Wait()
}

// pass carries the bytes of one direction and then its end.
func (l *link) pass(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			time.Sleep(l.roundTrip)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
