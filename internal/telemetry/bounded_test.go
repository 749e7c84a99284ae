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

// sink is an output that may block.
type sink struct {
	mu    sync.Mutex
	lines bytes.Buffer
	block chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

// Guards against a process that waits for its log, and against a log without
// bound: lines of failures outlive those of routine, and losses are told.
func TestBoundedLoggerDropsRoutineFirst(t *testing.T) {
	out := &sink{block: make(chan struct{})}
	log, b := NewBoundedLogger(out, Budget{BytesPerSecond: 1 << 20, QueuedBytes: 20 << 10})
	began := time.Now()
	for range 500 {
		log.V(1).Info("Routine.", "pad", strings.Repeat("x", 50))
	}
	for range 20 {
		log.Info("Refused.", "pad", strings.Repeat("x", 50))
	}
	require.Less(t, time.Since(began), 5*time.Second)
	close(out.block)
	b.Close()
	text := out.lines.String()
	require.Equal(t, 20, strings.Count(text, "Refused."))
	require.Less(t, strings.Count(text, "Routine."), 500)
	require.Contains(t, text, `"class":"routine"`)
}

// narrow is an output that takes a part of each write.
type narrow struct {
	sink
	most int
}

func (n *narrow) Write(p []byte) (int, error) {
	if len(p) <= n.most {
		return n.sink.Write(p)
	}
	written, err := n.sink.Write(p[:n.most])
	return written, errors.Join(err, io.ErrShortWrite)
}

// Guards against lines that are cut because the output took only a part of them.
func TestBoundedLoggerGoesOnAfterAPartialWrite(t *testing.T) {
	out := &narrow{most: 300}
	log, b := NewBoundedLogger(out, DefaultBudget())
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

// Guards against hostile values that forge or split a line.
func TestBoundedLoggerKeepsLinesWhole(t *testing.T) {
	out := &sink{}
	log, b := NewBoundedLogger(out, DefaultBudget())
	log.Info("Answered.", "path", "a\n{\"msg\":\"forged\"}\r\n\u2028", "bytes", strings.Repeat("y", maxLineBytes))
	log.Info("Answered.", "path", "a\n{\"msg\":\"forged\"}\r\n\u2028")
	b.Close()
	lines := strings.Split(strings.TrimSpace(out.lines.String()), "\n")
	require.Len(t, lines, 2, "the long one is dropped, and that is told")
	for _, l := range lines {
		require.True(t, json.Valid([]byte(l)), l)
	}
}
