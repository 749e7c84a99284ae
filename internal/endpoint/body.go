package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// body is a response body. Read returns io.EOF only after the complete
// response has been received; any other end is reported as an error.
type body struct {
	exchange *exchange
	response *http.Response
	from     io.ReadCloser
	// remaining is the number of bytes left of the declared length, or -1 for a
	// chunked response.
	remaining int64
	err       error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	// This check precedes delivery of the last bytes: data beyond the declared
	// length means that the declared length is wrong.
	if (b.remaining == 0 || errors.Is(err, io.EOF)) && b.exchange.conn.br.Buffered() > 0 {
		n, err = 0, ErrExcessBytes
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.err = io.EOF
		b.exchange.finish(b.response)
	default:
		b.err = fmt.Errorf("%w: %w", ErrTruncated, err)
		b.exchange.abandon()
	}
	return n, b.err
}

// WouldBlock reports whether Read would block until the endpoint sends more data.
func (b *body) WouldBlock() bool {
	return b.err == nil && b.from != http.NoBody && b.exchange.conn.br.Buffered() == 0
}

// Close releases the response. If the body has not been read to its end, Close
// also closes the connection.
func (b *body) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.abandon()
	}
	return nil
}
