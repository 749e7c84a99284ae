package operator

import (
	"io"
	"log"
	"net/http"
	"time"
)

// Bounds of the administration listener.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 10 * time.Second
	// answerTimeout leaves time to write a large answer after the longest wait.
	answerTimeout  = requestTimeout + callTimeout + 10*time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// NewHTTPServer returns a server for the handler with bounded times and headers.
// The caller opens the listener, with TLS if it is configured.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
