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

// bufferSizes are the sizes of the buffers that hold a body while it arrives. The next
// larger one is taken when the present one is full.
var bufferSizes = [...]int{1 << 10, 4 << 10, 16 << 10, bufferBytes}

var bufferPools [len(bufferSizes)]sync.Pool

// requestBody is the body of a caller's request.
type requestBody struct {
	// buffer is from the pool of the given size class, nil before the first byte is
	// awaited.
	buffer *[]byte
	class  int
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
	err := b.fill(r.Body)
	n := len(b.buffered)
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

// fill reads into the buffer until it has its largest size. It returns io.EOF only at
// the verified end of the body: unlike io.ReadFull, it distinguishes a truncated body
// from a complete one that is shorter than the buffer.
func (b *requestBody) fill(r io.Reader) error {
	for len(b.buffered) < bufferBytes {
		if len(b.buffered) == cap(b.buffered) {
			b.grow()
		}
		n, err := r.Read(b.buffered[len(b.buffered):cap(b.buffered)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// grow replaces the buffer by one of the next size.
func (b *requestBody) grow() {
	class := 0
	if b.buffer != nil {
		class = b.class + 1
	}
	next, ok := bufferPools[class].Get().(*[]byte)
	if !ok {
		p := make([]byte, bufferSizes[class])
		next = &p
	}
	n := copy(*next, b.buffered)
	b.free()
	b.buffer, b.class, b.buffered = next, class, (*next)[:n]
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.stream.hasStarted() }

// free returns the buffer to the pool. The body must not be in use.
func (b *requestBody) free() {
	if b.buffer != nil {
		bufferPools[b.class].Put(b.buffer)
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
