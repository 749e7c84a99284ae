package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Run is one execution of a request by a stand-in endpoint.
type Run struct {
	// Nonce identifies the caller's request across all its attempts.
	Nonce      string `json:"nonce"`
	Team       string `json:"team"`
	Endpoint   string `json:"endpoint"`
	Request    string `json:"request"`
	Idempotent bool   `json:"idempotent"`
	// Start and End are Unix times in nanoseconds. They are comparable because all
	// stand-ins of a test run on one machine. End is 0 until the run ends.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

// RunLog is the stand-in's own record of the requests that it ran, independent
// of what the system reports. Each run is written twice, at its start with End 0
// and at its end, so that a run which a kill interrupts is still recorded.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

// NewRunLog returns an in-memory log that also appends to the file at path unless
// path is empty. Writes are unbuffered, so that a killed process loses no lines.
func NewRunLog(path string) (*RunLog, error) {
	l := &RunLog{}
	if path == "" {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errs.New("open run log: %w", err)
	}
	l.file = f
	return l, nil
}

// Begin records the start of a run and returns its index.
func (l *RunLog) Begin(r Run) int {
	r.Start = time.Now().UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	l.write(r)
	return len(l.runs) - 1
}

// Finish records the end of the run with index n.
func (l *RunLog) Finish(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[n].End = time.Now().UnixNano()
	l.write(l.runs[n])
}

// Runs returns a copy of all runs.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Close closes the log file, if there is one.
func (l *RunLog) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

func (l *RunLog) write(r Run) {
	if l.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: a Run has only plain fields
	}
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Sprintf("write run log: %v", err)) // Check needs a complete record
	}
}

// ReadRuns reads the runs of a log file. If a run has several lines, the last one
// is used.
func ReadRuns(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errs.New("read run log: %w", err)
	}
	defer func() { _ = f.Close() }()
	type runKey struct {
		nonce, request string
		start          int64
	}
	indexes := map[runKey]int{}
	var runs []Run
	err = readLines(f, func(r Run) {
		k := runKey{r.Nonce, r.Request, r.Start}
		if i, ok := indexes[k]; ok {
			runs[i] = r
			return
		}
		indexes[k] = len(runs)
		runs = append(runs, r)
	})
	return runs, err
}

// readLines decodes one JSON value per line and calls f with each. An invalid line
// is an error, except for the last one, which a killed process can leave incomplete.
func readLines[T any](r io.Reader, f func(T)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), 1<<20)
	var truncated error
	for n := 1; s.Scan(); n++ {
		if truncated != nil {
			return truncated
		}
		var v T
		if err := json.Unmarshal(s.Bytes(), &v); err != nil {
			truncated = errs.New("line %d: %w", n, err)
			continue
		}
		f(v)
	}
	return s.Err()
}
