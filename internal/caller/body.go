package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/intake"
)

// bufferBytes is the size of the largest body that is kept for a retry. A longer
// body is streamed and can be sent only once.
const bufferBytes = 64 << 10

// pieceBytes are the sizes of the pieces that hold a body. A piece is taken when those
// before it are full. Together they have room for bufferBytes.
var pieceBytes = [...]int{1 << 10, 3 << 10, 4 << 10, 8 << 10, 16 << 10, 16 << 10, 16 << 10}

// piecePools has a pool for each different size; the last one is that of all large pieces.
var piecePools [5]sync.Pool

func poolOf(piece int) *sync.Pool { return &piecePools[min(piece, len(piecePools)-1)] }

// requestBody is the body of a caller's request.
type requestBody struct {
	// buffered is the whole body, or the part before stream if that is not nil.
	buffered [][]byte
	stream   *streamedBody
	length   int64
	// arrival holds the bytes of the pieces, nil for a request without a body.
	arrival *intake.Arrival
}

// errTooLarge reports a body above Options.MaxBodyBytes.
var errTooLarge = errors.New("the body exceeds the bound of this listener")

// readBody reads the body up to the sum of the pieces. It runs before a ticket is
// requested, so that a slow sender of a small body occupies no slot.
func readBody(w http.ResponseWriter, r *http.Request, in *intake.Intake, maxBytes int64, deadline time.Time) (*requestBody, *failure) {
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
	b.arrival = in.Arrive(w, r, deadline)
	whole, err := b.arrive(r.Body)
	switch {
	case errors.Is(err, intake.ErrGaveWay), errors.Is(err, intake.ErrExhausted):
		return b, noRoom(dispatch.OutcomeNotRun, err)
	case err != nil:
		return b, notRun(CodeBodyIncomplete, "the body ended before its end: "+err.Error())
	}
	n := b.size()
	stream := &streamedBody{rest: r.Body, remaining: maxBytes - n, control: control, arrival: b.arrival}
	if !whole {
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
	b.length = n
	return b, nil
}

func noRoom(outcome dispatch.Outcome, err error) *failure {
	return &failure{code: CodeOverload, outcome: outcome, detail: err.Error(), retryAfter: intake.RetryAfter}
}

// arrive buffers the body, and reports whether it holds the whole body.
func (b *requestBody) arrive(r io.Reader) (whole bool, err error) {
	err = b.fill(r)
	switch {
	case errors.Is(err, io.EOF):
		return true, b.arrival.Complete()
	case err == nil:
		return false, nil
	}
	if gaveWay := b.arrival.Progress(); gaveWay != nil {
		return false, gaveWay
	}
	return false, err
}

// fill reads until all pieces are full. It returns io.EOF only at the verified end of the
// body: unlike io.ReadFull, it distinguishes a truncated body from a complete one that is
// shorter.
func (b *requestBody) fill(r io.Reader) error {
	for i, size := range pieceBytes {
		if err := b.arrival.Grow(int64(size)); err != nil {
			return err
		}
		p, ok := poolOf(i).Get().(*[]byte)
		if !ok {
			p = new([]byte)
			*p = make([]byte, size)
		}
		b.buffered = append(b.buffered, *p)
		n, err := readUpTo(r, *p)
		b.buffered[i] = (*p)[:n]
		if err != nil {
			return err
		}
	}
	return nil
}

// readUpTo reads into p until it is full or an error occurs, which may be io.EOF.
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

// size returns the number of bytes that are buffered.
func (b *requestBody) size() int64 {
	var n int64
	for _, p := range b.buffered {
		n += int64(len(p))
	}
	return n
}

// reader returns a reader of the bytes that are buffered.
func (b *requestBody) reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.buffered))
	for _, p := range b.buffered {
		readers = append(readers, bytes.NewReader(p))
	}
	return io.MultiReader(readers...)
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.stream.hasStarted() }

// gaveWay reports whether the body had to give way to others while it was waiting to be
// streamed, or being streamed.
func (b *requestBody) gaveWay() bool { return b.arrival != nil && b.arrival.GaveWay() }

// free returns the pieces to their pools and their bytes to the budget. The body must not
// be in use.
func (b *requestBody) free() {
	for i, p := range b.buffered {
		p = p[:cap(p)]
		poolOf(i).Put(&p)
	}
	b.buffered = nil
	if b.arrival != nil {
		b.arrival.Close()
	}
}

// streamedBody is the part of a body after the buffered part. rest is nil if that
// part is empty.
type streamedBody struct {
	rest      io.Reader
	remaining int64
	control   *http.ResponseController
	arrival   *intake.Arrival
	// unreported is the number of bytes that have arrived since the last progress.
	unreported int

	mu      sync.Mutex
	started bool
}

// progressBytes is the number of bytes of a streamed body that count as progress.
const progressBytes = 16 << 10

// Read reads from the caller. It fails with errTooLarge when the body exceeds the
// size limit, and with intake.ErrGaveWay when it had to give way to others.
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
	return n, s.report(n, err)
}

// report tells the budget how the body arrives. err is the error of the read that
// returned n bytes.
func (s *streamedBody) report(n int, err error) error {
	s.unreported += n
	switch {
	case errors.Is(err, io.EOF):
		if gaveWay := s.arrival.Complete(); gaveWay != nil {
			return gaveWay
		}
	case err != nil || s.unreported >= progressBytes:
		s.unreported = 0
		if gaveWay := s.arrival.Progress(); gaveWay != nil {
			return gaveWay
		}
	}
	return err
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
