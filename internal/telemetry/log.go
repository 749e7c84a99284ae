// Package telemetry provides the logger, the metrics registry and the health
// handlers that all processes share.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
)

// LogFormat selects how log lines are written.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes lines of at least the given verbosity
// to w. Verbosity 0 writes information and errors, 1 adds details.
func NewLogger(w io.Writer, format LogFormat, verbosity int) (logr.Logger, error) {
	opts := &slog.HandlerOptions{Level: slog.Level(-verbosity)}
	switch format {
	case LogText, "":
		return logr.FromSlogHandler(slog.NewTextHandler(w, opts)), nil
	case LogJSON:
		return logr.FromSlogHandler(slog.NewJSONHandler(w, opts)), nil
	}
	return logr.Discard(), errs.New("log format %q is not text or json", format)
}
