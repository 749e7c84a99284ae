package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// bufferBytes is the size of the largest body that is kept for a retry. A longer
// body is streamed and can be sent only once.
const bufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// requestBody is the body of a caller's request.
type requestBody struct {
	buffer *[bufferBytes]byte
	// buffered is the whole body, or the part before stream if that is not nil.
	buffered []byte
	stream   *streamedBody
	length   int64
}

// errTooLarge reports a body above Options.MaxBodyBytes.
var errTooLarge = errors.New("the body exceeds the bound of this listener")

// readBody reads the body up to the size of the buffer. It runs before a ticket is
// requested, so that a slow sender of a small body occupies no slot.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (*requestBody, *failure) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > maxBytes {
		return b, notRun(CodeBodyTooLarge, errTooLarge.Error())
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return b, notRun(CodeInternal, err.Error())
	}
	b.buffer, _ = buffers.Get().(*[bufferBytes]byte)
	n, err := readUpTo(r.Body, b.buffer[:])
	b.buffered = b.buffer[:n]
	if err != nil && !errors.Is(err, io.EOF) {
		return b, notRun(CodeBodyIncomplete, "the body ended before its end: "+err.Error())
	}
	stream := &streamedBody{rest: r.Body, remaining: maxBytes - int64(n), control: control}
	if err == nil {
		// The response may begin before the body has ended. Without full duplex,
		// the server would then consume the rest of the body.
		if err := control.EnableFullDuplex(); err != nil {
			return b, notRun(CodeInternal, err.Error())
		}
		b.stream = stream
		return b, nil
	}
	// The server's own read timeout applies again while waiting for the response.
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	if len(r.Trailer) > 0 {
		// Trailers need chunked encoding, and so a streamed body.
		stream.rest = nil
		b.stream = stream
		return b, nil
	}
	b.length = int64(n)
	return b, nil
}

// readUpTo reads into p until it is full. It returns io.EOF only at the verified
// end of the body. Unlike io.ReadFull, it distinguishes a truncated body from a
// complete body that is shorter than p.
func readUpTo(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.stream.hasStarted() }

// free returns the buffer to the pool. The body must not be in use.
func (b *requestBody) free() {
	if b.buffer != nil {
		buffers.Put(b.buffer)
		b.buffer, b.buffered = nil, nil
	}
}

// streamedBody is the part of a body after the buffered part. rest is nil if that
// part is empty.
type streamedBody struct {
	rest      io.Reader
	remaining int64
	control   *http.ResponseController

	mu      sync.Mutex
	started bool
}

// Read reads from the caller. It fails with errTooLarge when the body exceeds the
// size limit.
func (s *streamedBody) Read(p []byte) (int, error) {
	if s.rest == nil {
		return 0, io.EOF
	}
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	// Request one byte more than allowed, so that a body of exactly the allowed
	// size is read to its end.
	if int64(len(p)) > s.remaining+1 {
		p = p[:s.remaining+1]
	}
	n, err := s.rest.Read(p)
	s.remaining -= int64(n)
	if s.remaining < 0 {
		return 0, errTooLarge
	}
	return n, err
}

func (s *streamedBody) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// unblock makes a blocked Read return.
func (s *streamedBody) unblock() {
	if s.rest != nil {
		_ = s.control.SetReadDeadline(time.Unix(1, 0))
	}
}
