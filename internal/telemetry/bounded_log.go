package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// LogLimits bounds the log output of a process. When the queue fills up, routine
// lines (verbosity 1 and above) are dropped first. Lines at verbosity 0, which report
// failures and changes of the process's state, are dropped last.
type LogLimits struct {
	// BytesPerSecond is the maximum rate at which lines are written. Default: 128 KiB/s.
	BytesPerSecond int
	// QueuedBytes is the maximum size of the queued lines. Default: 512 KiB.
	QueuedBytes int
}

// DefaultLogLimits returns the default limits.
func DefaultLogLimits() LogLimits {
	return LogLimits{BytesPerSecond: 128 << 10, QueuedBytes: 512 << 10}
}

const (
	// routineQueueShare is the fraction of the queue that routine lines may fill.
	routineQueueShare = 0.5
	// flushInterval is the time between two writes. A crash loses the queued lines:
	// those of one interval, unless the rate limit holds back more.
	flushInterval = 100 * time.Millisecond
	// maxLineBytes is the maximum length of a line. Longer lines are dropped.
	maxLineBytes = 4 << 10
)

// BoundedWriter queues log lines and writes them in the background, so that callers
// never wait for the output.
type BoundedWriter struct {
	out    io.Writer
	limits LogLimits

	// unwritten is the rest of a partial write. Only the goroutine of run uses it.
	unwritten []byte

	mu      sync.Mutex
	queued  []byte
	dropped map[string]int // number of lines by class
	wg      conc.WaitGroup
	stop    chan struct{}
}

// NewBoundedLogger returns a logger that writes JSON lines and never blocks, and its
// writer, whose Close method writes the queued lines.
func NewBoundedLogger(out io.Writer, limits LogLimits) (logr.Logger, *BoundedWriter) {
	b := &BoundedWriter{out: out, limits: limits, dropped: map[string]int{}, stop: make(chan struct{})}
	options := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: normaliseLevel}
	h := &boundedHandler{
		b:         b,
		important: slog.NewJSONHandler(&lineWriter{b, "important", 1}, options),
		routine:   slog.NewJSONHandler(&lineWriter{b, "routine", routineQueueShare}, options),
	}
	b.wg.Go(b.run)
	return logr.FromSlogHandler(h), b
}

// normaliseLevel replaces the level of all verbosities above 0 by "DEBUG".
func normaliseLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		return slog.String(slog.LevelKey, slog.LevelDebug.String())
	}
	return a
}

// Close writes the queued lines and stops the background writer.
func (b *BoundedWriter) Close() {
	close(b.stop)
	b.wg.Wait()
}

func (b *BoundedWriter) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.flush(int(float64(b.limits.BytesPerSecond) * flushInterval.Seconds()))
		case <-b.stop:
			b.flush(0) // the rest of a partial write
			b.flush(b.limits.QueuedBytes)
			return
		}
	}
}

// flush writes whole lines of up to limit bytes, followed by the counts of dropped
// lines. If the output accepts only a part, as a full pipe does, the next call writes
// only the rest, so that no line is truncated.
func (b *BoundedWriter) flush(limit int) {
	if len(b.unwritten) == 0 {
		b.unwritten = b.dequeue(limit)
	}
	if len(b.unwritten) == 0 {
		return
	}
	// The error is ignored: there is nowhere else to report a failed log write.
	n, _ := b.out.Write(b.unwritten)
	b.unwritten = b.unwritten[min(max(n, 0), len(b.unwritten)):]
}

// dequeue removes whole lines of up to limit bytes from the queue and appends a line
// for each class with dropped lines, whose count it resets.
func (b *BoundedWriter) dequeue(limit int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := wholeLines(b.queued, limit)
	lines := append([]byte{}, b.queued[:end]...)
	b.queued = append(b.queued[:0], b.queued[end:]...)
	for class, n := range b.dropped {
		lines = append(lines, fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"Dropped log lines.\",\"class\":%q,\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), class, n)...)
		delete(b.dropped, class)
	}
	return lines
}

// wholeLines returns the length of the whole lines that fit into limit bytes, or of
// the first line if that is longer.
func wholeLines(lines []byte, limit int) int {
	end := 0
	for i, c := range lines {
		if c != '\n' {
			continue
		}
		if i >= limit && end > 0 {
			break
		}
		end = i + 1
	}
	return end
}

// lineWriter queues the lines of one class.
type lineWriter struct {
	b     *BoundedWriter
	class string
	share float64
}

// Write queues a line. It drops and counts the line if it is too long or if the share
// of its class in the queue is used up.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	if len(line) > maxLineBytes || float64(len(w.b.queued)+len(line)) > w.share*float64(w.b.limits.QueuedBytes) {
		w.b.dropped[w.class]++
		return len(line), nil
	}
	w.b.queued = append(w.b.queued, line...)
	return len(line), nil
}

// boundedHandler passes records to the handler of their class.
type boundedHandler struct {
	b                  *BoundedWriter
	important, routine slog.Handler
}

// minRoutineBytes is the room in the queue below which a routine line is dropped before it is
// formatted.
const minRoutineBytes = 512

// dropsRoutine reports whether the queue has no room for a routine line, and counts the line as
// dropped.
func (b *BoundedWriter) dropsRoutine() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(len(b.queued)+minRoutineBytes) <= routineQueueShare*float64(b.limits.QueuedBytes) {
		return false
	}
	b.dropped["routine"]++
	return true
}

func (h *boundedHandler) forLevel(level slog.Level) slog.Handler {
	if level < slog.LevelInfo {
		return h.routine
	}
	return h.important
}

// Enabled implements slog.Handler. The logger calls it once for each line.
func (h *boundedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	if level < slog.LevelInfo && h.b.dropsRoutine() {
		return false
	}
	return h.forLevel(level).Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	return h.forLevel(r.Level).Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{h.b, h.important.WithAttrs(attrs), h.routine.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{h.b, h.important.WithGroup(name), h.routine.WithGroup(name)}
}
