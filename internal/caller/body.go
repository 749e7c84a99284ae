package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// bufferBytes bounds the body that is kept for a retry. A longer one is sent
// once only.
const bufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// requestBody is the body of a caller's request.
type requestBody struct {
	store *[bufferBytes]byte
	// buffered is the whole body, or its beginning if stream is not nil.
	buffered []byte
	stream   *streamedBody
	length   int64
}

// errTooLarge reports a body above the bound.
var errTooLarge = errors.New("the body exceeds the bound of this listener")

// readBody reads the body up to the size of the buffer, before a ticket is
// asked for, so that a slow sender of a small body occupies no slot.
func readBody(w http.ResponseWriter, r *http.Request, most int64, deadline time.Time) (*requestBody, *failure) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > most {
		return b, notRun(CodeBodyTooLarge, errTooLarge.Error())
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return b, notRun(CodeInternal, err.Error())
	}
	b.store, _ = buffers.Get().(*[bufferBytes]byte)
	n, err := readUpTo(r.Body, b.store[:])
	b.buffered = b.store[:n]
	if err != nil && !errors.Is(err, io.EOF) {
		return b, notRun(CodeBodyIncomplete, "the body ended before its end: "+err.Error())
	}
	rest := &streamedBody{rest: r.Body, left: most - int64(n), control: control}
	if err == nil {
		// The response may begin before the body has ended. Without this, the
		// server would then read the rest of the body itself.
		if err := control.EnableFullDuplex(); err != nil {
			return b, notRun(CodeInternal, err.Error())
		}
		b.stream = rest
		return b, nil
	}
	// The server's own bound applies again while the response is awaited.
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	if len(r.Trailer) > 0 {
		// Trailers need chunks, and with them a streamed body.
		rest.rest = nil
		b.stream = rest
		return b, nil
	}
	b.length = int64(n)
	return b, nil
}

// readUpTo fills p. It returns io.EOF only at the verified end of the body:
// unlike with io.ReadFull, a body that was cut short is not mistaken for a
// body that is shorter than p.
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

// replayable tells whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.stream.touched() }

// free gives the buffer back. The body must not be in use.
func (b *requestBody) free() {
	if b.store != nil {
		buffers.Put(b.store)
		b.store, b.buffered = nil, nil
	}
}

// streamedBody is what follows the buffered part; rest is nil if nothing does.
type streamedBody struct {
	rest    io.Reader
	left    int64
	control *http.ResponseController

	mu      sync.Mutex
	started bool
}

// Read reads from the caller.
func (s *streamedBody) Read(p []byte) (int, error) {
	if s.rest == nil {
		return 0, io.EOF
	}
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	// One byte more than allowed is asked for, so that a body of exactly the
	// allowed size is read to its end.
	if int64(len(p)) > s.left+1 {
		p = p[:s.left+1]
	}
	n, err := s.rest.Read(p)
	s.left -= int64(n)
	if s.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

func (s *streamedBody) touched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// unblock makes a pending Read return.
func (s *streamedBody) unblock() {
	if s.rest != nil {
		_ = s.control.SetReadDeadline(time.Unix(1, 0))
	}
}
