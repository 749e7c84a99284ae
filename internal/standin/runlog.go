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
	// Nonce identifies the caller's request over all its attempts.
	Nonce      string `json:"nonce"`
	Team       string `json:"team"`
	Endpoint   string `json:"endpoint"`
	Request    string `json:"request"`
	Idempotent bool   `json:"idempotent"`
	// Start and End are wall clock readings in nanoseconds; all stand-ins of a
	// test run on one machine and so share a clock. End is 0 until the run ends.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

// RunLog is the stand-in's own record of what it ran, kept apart from anything
// that the system says. Each run is written twice: at its start with End 0 and
// at its end, so that the record is complete when the process is killed.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

// NewRunLog returns a log in memory, which also appends to path unless that is
// empty. Lines are written unbuffered, so that a killed process loses none.
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

// Begin records the start of a run and returns its number.
func (l *RunLog) Begin(r Run) int {
	r.Start = time.Now().UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	l.write(r)
	return len(l.runs) - 1
}

// Finish records the end of a run.
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

// Close closes the file.
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
		panic(err) // a Run always encodes
	}
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Sprintf("write run log: %v", err)) // a check without a full record proves nothing
	}
}

// ReadRuns reads the runs of a log file. The last line of a run wins.
func ReadRuns(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errs.New("read run log: %w", err)
	}
	defer func() { _ = f.Close() }()
	type id struct {
		nonce, request string
		start          int64
	}
	at := map[id]int{}
	var runs []Run
	err = readLines(f, func(r Run) {
		k := id{r.Nonce, r.Request, r.Start}
		if i, ok := at[k]; ok {
			runs[i] = r
			return
		}
		at[k] = len(runs)
		runs = append(runs, r)
	})
	return runs, err
}

// readLines decodes one JSON value a line. A torn last line of a killed
// process is passed over.
func readLines[T any](r io.Reader, f func(T)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), 1<<20)
	var torn error
	for n := 1; s.Scan(); n++ {
		if torn != nil {
			return torn
		}
		var v T
		if err := json.Unmarshal(s.Bytes(), &v); err != nil {
			torn = errs.New("line %d: %w", n, err)
			continue
		}
		f(v)
	}
	return s.Err()
}
