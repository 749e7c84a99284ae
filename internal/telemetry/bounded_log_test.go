package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingBuffer is a log output whose writes block until block is closed, if it is set.
type blockingBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
	block chan struct{}
}

func (b *blockingBuffer) Write(p []byte) (int, error) {
	if b.block != nil {
		<-b.block
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Guards against a process that blocks on its log output, and against an unbounded
// queue: routine lines are dropped before important ones, and the log reports the
// number of dropped lines.
func TestBoundedLoggerDropsRoutineFirst(t *testing.T) {
	out := &blockingBuffer{block: make(chan struct{})}
	log, b := NewBoundedLogger(out, LogLimits{BytesPerSecond: 1 << 20, QueuedBytes: 20 << 10})
	start := time.Now()
	for range 500 {
		log.V(1).Info("Routine.", "pad", strings.Repeat("x", 50))
	}
	for range 20 {
		log.Info("Refused.", "pad", strings.Repeat("x", 50))
	}
	require.Less(t, time.Since(start), 5*time.Second)
	close(out.block)
	b.Close()
	text := out.lines.String()
	require.Equal(t, 20, strings.Count(text, "Refused."))
	require.Less(t, strings.Count(text, "Routine."), 500)
	require.Contains(t, text, `"class":"routine"`)
}

// partialWriter is a log output that accepts only the first bytes of each write.
type partialWriter struct {
	blockingBuffer
	maxBytes int
}

func (w *partialWriter) Write(p []byte) (int, error) {
	if len(p) <= w.maxBytes {
		return w.blockingBuffer.Write(p)
	}
	written, err := w.blockingBuffer.Write(p[:w.maxBytes])
	return written, errors.Join(err, io.ErrShortWrite)
}

// Guards against lines that are truncated because the output accepted only a part of
// a write.
func TestBoundedLoggerResumesAfterPartialWrite(t *testing.T) {
	out := &partialWriter{maxBytes: 300}
	log, b := NewBoundedLogger(out, DefaultLogLimits())
	const lines = 20
	for i := range lines {
		log.Info("Refused.", "number", i)
	}
	whole := func() int {
		out.mu.Lock()
		defer out.mu.Unlock()
		n := 0
		for _, l := range strings.Split(out.lines.String(), "\n") {
			if json.Valid([]byte(l)) {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return whole() == lines }, 10*time.Second, 10*time.Millisecond)
	b.Close()
}

// Guards against values from untrusted input that split a log line or forge one.
func TestBoundedLoggerKeepsLinesWhole(t *testing.T) {
	out := &blockingBuffer{}
	log, b := NewBoundedLogger(out, DefaultLogLimits())
	log.Info("Answered.", "path", "a\n{\"msg\":\"forged\"}\r\n\u2028", "bytes", strings.Repeat("y", maxLineBytes))
	log.Info("Answered.", "path", "a\n{\"msg\":\"forged\"}\r\n\u2028")
	b.Close()
	lines := strings.Split(strings.TrimSpace(out.lines.String()), "\n")
	require.Len(t, lines, 2, "the line that is too long must be dropped and the drop reported")
	for _, l := range lines {
		require.True(t, json.Valid([]byte(l)), l)
	}
}

// slowValue is a value of a log line that counts how often it is formatted.
type slowValue struct{ formatted *int }

func (v slowValue) MarshalText() ([]byte, error) {
	*v.formatted++
	return []byte("x"), nil
}

// Guards against a process that spends its time in a load peak on formatting routine lines that
// are then dropped.
func TestDroppedRoutineLinesAreNotFormatted(t *testing.T) {
	out := &blockingBuffer{block: make(chan struct{})}
	log, b := NewBoundedLogger(out, LogLimits{BytesPerSecond: 1 << 20, QueuedBytes: 20 << 10})
	formatted := 0
	const lines = 5000
	for range lines {
		log.V(1).Info("Routine.", "value", slowValue{&formatted}, "pad", strings.Repeat("x", 100))
	}
	close(out.block)
	b.Close()
	require.Less(t, formatted, lines/2)
	require.Contains(t, out.lines.String(), `"class":"routine"`)
}
