package intake

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// lingerTime is how long a connection is read from after a request was refused before its
// body had arrived, so that the client can read the response.
const lingerTime = 500 * time.Millisecond

// ErrTooLarge reports that a body is larger than its limit.
var ErrTooLarge = errors.New("the request body is too large")

// pieceBytes are the sizes of the pieces in which a body is read. Further pieces have the
// last size. An ordinary body needs two.
var pieceBytes = [...]int{1 << 10, 4 << 10, 16 << 10}

var piecePools [len(pieceBytes)]sync.Pool

func takePiece(class int) []byte {
	if p, _ := piecePools[class].Get().(*[]byte); p != nil {
		return (*p)[:0]
	}
	return make([]byte, 0, pieceBytes[class])
}

func returnPiece(class int, piece []byte) {
	piecePools[class].Put(&piece)
}

// Body is a request body that was read in full. It holds its part of the budget until it
// is closed.
type Body struct {
	holding *Holding
	pieces  [][]byte
	size    int64
}

// Read reads the body of a request, at most limit bytes. After an error the
// response has to be prepared with CloseAfterResponse. Errors other than ErrTooLarge, ErrGaveWay and ErrExhausted mean
// that the body did not arrive.
func (i *Intake) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	setState(r, waiting)
	defer setState(r, busy)
	controller := http.NewResponseController(w)
	b := &Body{holding: i.budget.Open(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })}
	err := b.read(r, limit)
	if complete := b.holding.Complete(); complete != nil {
		err = complete
	}
	if err == nil {
		return b, nil
	}
	b.Close()
	if errors.Is(err, ErrGaveWay) || errors.Is(err, ErrExhausted) {
		i.refused.Inc(1)
		i.logLimit(limitBodies)
	}
	return nil, err
}

func (b *Body) read(r *http.Request, limit int64) error {
	for {
		class := min(len(b.pieces), len(pieceBytes)-1)
		if err := b.holding.Grow(int64(pieceBytes[class])); err != nil {
			return err
		}
		if len(b.pieces) > 0 {
			setState(r, waiting) // a piece is full: the client makes progress
		}
		piece, err := fill(r.Body, takePiece(class), limit+1-b.size)
		b.pieces = append(b.pieces, piece)
		b.size += int64(len(piece))
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// fill reads until the piece is full, has limit bytes or an error occurs, which may be io.EOF.
func fill(from io.Reader, piece []byte, limit int64) ([]byte, error) {
	end := int(min(int64(cap(piece)), limit))
	for len(piece) < end {
		n, err := from.Read(piece[len(piece):end])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// Size returns the size of the body.
func (b *Body) Size() int64 { return b.size }

// Bytes returns the body in one slice, which the caller may keep. The body itself is empty
// afterwards; what it holds of the budget stays until it is closed.
func (b *Body) Bytes() []byte {
	out := make([]byte, 0, b.size)
	for class, piece := range b.pieces {
		out = append(out, piece...)
		returnPiece(min(class, len(pieceBytes)-1), piece)
	}
	b.pieces = nil
	return out
}

// Close gives back what the body holds of the budget.
func (b *Body) Close() {
	for class, piece := range b.pieces {
		returnPiece(min(class, len(pieceBytes)-1), piece)
	}
	b.pieces = nil
	if b.holding != nil {
		b.holding.Close()
	}
}

// CloseAfterResponse closes the connection after the response to a request whose body was
// not read in full. The handler writes the response and returns; what still arrives is
// discarded for a short time, so that the client can read it.
func CloseAfterResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	setState(r, finishing)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}
