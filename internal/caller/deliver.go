package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// deliver forwards an endpoint's response to the caller. If the response is
// truncated, it aborts the caller's connection, so that the response never looks
// complete.
func (s *Server) deliver(w http.ResponseWriter, response *http.Response, fw *forwarder) {
	defer fw.cancel()
	defer func() { _ = response.Body.Close() }()
	h := w.Header()
	endpoint.CopyResponseHeader(h, response.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from detecting a type
	}
	h[endpoint.HeaderOutcome] = outcomeAnswered
	for name := range response.Trailer {
		if endpoint.Forwarded(name, nil) {
			h.Add("Trailer", name)
		}
	}
	w.WriteHeader(response.StatusCode)
	readErr, writeErr := copyBody(w, response)
	r := dispatch.ReleaseRequest{Outcome: dispatch.OutcomeAnswered, Status: response.StatusCode}
	r.Failed = response.StatusCode >= http.StatusInternalServerError
	if readErr != nil {
		r.Outcome, r.Failed = dispatch.OutcomeUnknown, fw.request.Context().Err() == nil
	}
	_ = response.Body.Close() // before the slot is given to another request
	fw.release(r)
	if readErr != nil || writeErr != nil {
		s.truncated.Inc(1)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		if endpoint.Forwarded(name, nil) {
			h[name] = values
		}
	}
	s.answered.Inc(1)
}

var outcomeAnswered = []string{string(dispatch.OutcomeAnswered)}

// copyBody copies the body through a buffer of fixed size, so that the endpoint is
// read only as fast as the caller reads. It flushes the data received so far before
// it waits for more.
func copyBody(w http.ResponseWriter, response *http.Response) (readErr, writeErr error) {
	buffer, _ := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		if wouldBlock(response) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return nil, err
			}
		}
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// wouldBlock reports whether reading the body would wait for the endpoint.
func wouldBlock(response *http.Response) bool {
	b, ok := response.Body.(interface{ WouldBlock() bool })
	return ok && b.WouldBlock()
}
