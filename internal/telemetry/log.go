// Package telemetry provides the loggers, the metrics registry and the histograms
// that all processes share.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
)

// LogFormat is the encoding of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes lines of up to the given verbosity to w.
// Verbosity 0 writes information and errors, 1 adds details. An empty format selects
// LogText.
func NewLogger(w io.Writer, format LogFormat, verbosity int) (logr.Logger, error) {
	opts := &slog.HandlerOptions{Level: slog.Level(-verbosity)}
	switch format {
	case LogText, "":
		return logr.FromSlogHandler(slog.NewTextHandler(w, opts)), nil
	case LogJSON:
		return logr.FromSlogHandler(slog.NewJSONHandler(w, opts)), nil
	}
	return logr.Discard(), errs.New("unknown log format %q: expected text or json", format)
}
