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

// Budget bounds what a process logs. Lines of routine (verbosity 1 and above) are
// dropped first, those that tell of a failure or of a change in what the process
// believes last.
type Budget struct {
	// BytesPerSecond is the rate at which lines are written. Default: 128 KiB/s.
	BytesPerSecond int
	// QueuedBytes bounds the lines that wait. Default: 512 KiB.
	QueuedBytes int
}

// DefaultBudget returns the budget of a process.
func DefaultBudget() Budget { return Budget{BytesPerSecond: 128 << 10, QueuedBytes: 512 << 10} }

const (
	// routineShare is the part of the queue that routine lines may fill.
	routineShare = 0.5
	// flushInterval is the time between two writes; a crash loses at most the
	// lines of that time.
	flushInterval = 100 * time.Millisecond
	// maxLineBytes bounds one line.
	maxLineBytes = 4 << 10
)

// Bounded writes log lines from a queue of its own, so that no caller waits for
// the output.
type Bounded struct {
	out    io.Writer
	budget Budget

	// unwritten is what a write that failed half way has left. It belongs to run.
	unwritten []byte

	mu      sync.Mutex
	queued  []byte
	dropped map[string]int // by class
	wg      conc.WaitGroup
	stop    chan struct{}
}

// NewBoundedLogger returns a logger of JSON lines that never blocks. Close writes
// what is queued.
func NewBoundedLogger(out io.Writer, budget Budget) (logr.Logger, *Bounded) {
	b := &Bounded{out: out, budget: budget, dropped: map[string]int{}, stop: make(chan struct{})}
	options := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: plainLevel}
	h := &boundedHandler{
		important: slog.NewJSONHandler(&lineWriter{b, "important", 1}, options),
		routine:   slog.NewJSONHandler(&lineWriter{b, "routine", routineShare}, options),
	}
	b.wg.Go(b.run)
	return logr.FromSlogHandler(h), b
}

// plainLevel writes "DEBUG" for every verbosity above 0.
func plainLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		return slog.String(slog.LevelKey, slog.LevelDebug.String())
	}
	return a
}

// Close ends the writer after a last flush.
func (b *Bounded) Close() {
	close(b.stop)
	b.wg.Wait()
}

func (b *Bounded) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.flush(int(float64(b.budget.BytesPerSecond) * flushInterval.Seconds()))
		case <-b.stop:
			b.flush(0) // what an earlier write has left
			b.flush(b.budget.QueuedBytes)
			return
		}
	}
}

// flush writes whole lines of up to a number of bytes, and what was dropped. An
// output that takes only a part, such as a full pipe, gets the rest first next
// time, so that no line is cut.
func (b *Bounded) flush(limit int) {
	if len(b.unwritten) == 0 {
		b.unwritten = b.take(limit)
	}
	if len(b.unwritten) == 0 {
		return
	}
	// Nowhere is left to report a failed write of the log.
	n, _ := b.out.Write(b.unwritten)
	b.unwritten = b.unwritten[min(max(n, 0), len(b.unwritten)):]
}

// take removes whole lines from the queue.
func (b *Bounded) take(limit int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := lastLine(b.queued, limit)
	lines := append([]byte{}, b.queued[:end]...)
	b.queued = append(b.queued[:0], b.queued[end:]...)
	for class, n := range b.dropped {
		lines = append(lines, fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"Dropped log lines.\",\"class\":%q,\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), class, n)...)
		delete(b.dropped, class)
	}
	return lines
}

// lastLine returns the length of the whole lines within limit, or of the first
// line if that is longer.
func lastLine(lines []byte, limit int) int {
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
	b     *Bounded
	class string
	share float64
}

// Write queues one line or drops it.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	if len(line) > maxLineBytes || float64(len(w.b.queued)+len(line)) > w.share*float64(w.b.budget.QueuedBytes) {
		w.b.dropped[w.class]++
		return len(line), nil
	}
	w.b.queued = append(w.b.queued, line...)
	return len(line), nil
}

// boundedHandler sends records to the writer of their class.
type boundedHandler struct {
	important, routine slog.Handler
}

func (h *boundedHandler) of(level slog.Level) slog.Handler {
	if level < slog.LevelInfo {
		return h.routine
	}
	return h.important
}

// Enabled implements slog.Handler.
func (h *boundedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.of(level).Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	return h.of(r.Level).Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{h.important.WithAttrs(attrs), h.routine.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{h.important.WithGroup(name), h.routine.WithGroup(name)}
}
