package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// body is the body of a response. Read returns io.EOF only after the whole
// response was received; every other end is an error.
type body struct {
	exchange *exchange
	response *http.Response
	from     io.ReadCloser
	// left is what remains of a declared length, or -1 with chunks.
	left int64
	err  error
}

// Read reads the next part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	// Checked before the last part is passed on: what follows the declared
	// length shows that the declared length was wrong.
	if (b.left == 0 || errors.Is(err, io.EOF)) && b.exchange.conn.br.Buffered() > 0 {
		n, err = 0, ErrExcess
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.err = io.EOF
		b.exchange.finish(b.response)
	default:
		b.err = fmt.Errorf("%w: %w", ErrCut, err)
		b.exchange.abandon()
	}
	return n, b.err
}

// Waits tells whether Read would wait for the endpoint.
func (b *body) Waits() bool {
	return b.err == nil && b.from != http.NoBody && b.exchange.conn.br.Buffered() == 0
}

// Close ends the response. Before its end, this closes the connection.
func (b *body) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.abandon()
	}
	return nil
}
