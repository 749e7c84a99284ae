package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
)

// behaviour of the stand-in endpoint towards one request.
type behaviour int

const (
	answers behaviour = iota
	answersInChunks
	answersLate
	answersTwice
	resetsInBody
	cutsChunks
	declaresTooMuch
	declaresTooLittle
	hangs
	breaksAfterRun
	endsUnmarked
	breaksBeforeRun
	refuses
	refusesAfterBody
	behaviours
	// answersWhenFreed waits until the test frees its requests; it is no part of
	// what is chosen at random.
	answersWhenFreed
)

const headerTestID = "X-Test-Id"

// standIn is an endpoint that misbehaves as told and records what it ran.
type standIn struct {
	t    testing.TB
	id   string
	addr string
	ln   net.Listener

	slots    int
	mu       sync.Mutex
	choose   func() behaviour
	ran      map[string]int
	lastRun  map[string]time.Time
	running  int
	most     int           // highest number of running requests
	free     chan struct{} // closed to end hanging requests
	conns    map[net.Conn]bool
	sequence uint64
	stop     chan struct{}
	wg       sync.WaitGroup
}

func newStandIn(t testing.TB, id string, choose func() behaviour) *standIn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &standIn{
		t: t, id: id, addr: ln.Addr().String(), ln: ln, choose: choose,
		slots: 8, ran: map[string]int{}, lastRun: map[string]time.Time{}, conns: map[net.Conn]bool{}, stop: make(chan struct{}),
		free: make(chan struct{}),
	}
	s.wg.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

func (s *standIn) close() {
	close(s.stop)
	_ = s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *standIn) accept() {
	for c, err := s.ln.Accept(); err == nil; c, err = s.ln.Accept() {
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			defer func() { s.mu.Lock(); delete(s.conns, c); s.mu.Unlock(); _ = c.Close() }()
			br := bufio.NewReader(c)
			for s.serve(c, br) {
			}
		})
	}
}

// payload is the content of the response to a request: long enough to be cut.
func payload(id string) string { return strings.Repeat(id+";", 200) }

// serve handles one request. It returns false when the connection ends.
func (s *standIn) serve(c net.Conn, br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	s.mu.Lock()
	b := s.choose()
	s.mu.Unlock()
	switch b {
	case refuses:
		return s.refuse(c, r)
	case breaksBeforeRun:
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if b == refusesAfterBody {
		return s.refuse(c, r)
	}
	id := r.Header.Get(headerTestID)
	s.mu.Lock()
	s.ran[id]++
	s.lastRun[id] = time.Now()
	s.running++
	s.most = max(s.most, s.running)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.running--; s.mu.Unlock() }()
	echo := fmt.Sprintf("%s: %s\r\n", endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
	text := payload(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(text), text)
	switch b {
	case answersLate:
		time.Sleep(150 * time.Millisecond)
	case answersTwice:
		whole += whole
	case answersInChunks:
		whole = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: %s\r\n\r\n", echo, len(text), text, id)
	case resetsInBody:
		_, _ = io.WriteString(c, whole[:len(whole)-len(text)/2])
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case cutsChunks:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", echo, len(text)/2, text[:len(text)/2])
		return false
	case declaresTooMuch:
		_, _ = io.WriteString(c, whole[:len(whole)-1])
		return false
	case declaresTooLittle:
		whole = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(text)/2, text)
	case answersWhenFreed:
		select {
		case <-s.free:
		case <-s.stop:
			return false
		}
	case hangs:
		select {
		case <-s.free:
		case <-s.stop:
		}
		return false
	case endsUnmarked:
		whole = "HTTP/1.1 200 OK\r\n" + echo + "\r\n" + text // ends with the connection
		_, _ = io.WriteString(c, whole[:len(whole)-len(text)/2])
		return false
	case breaksAfterRun:
		return false
	}
	_, err = io.WriteString(c, whole)
	return err == nil
}

func (s *standIn) refuse(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID), endpoint.HeaderOutcome)
	return false
}

// counts returns the number of requests that run and the highest number ever.
func (s *standIn) counts() (running, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.most
}

func (s *standIn) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *standIn) requireNoRunAfter(t testing.TB, end time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.lastRun {
		require.True(t, at.Before(end), "%s ran %v too late", id, at.Sub(end))
	}
}

func (s *standIn) set(b behaviour) { s.setChoice(func() behaviour { return b }) }

func (s *standIn) setChoice(choose func() behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose = choose
}

// announce sends one announcement to an entry instance.
func (s *standIn) announce(addr string) error {
	s.mu.Lock()
	s.sequence++
	a := dispatch.Announcement{
		ID: s.id, Incarnation: 1, Sequence: s.sequence, Pool: "quotes", Addr: s.addr, Slots: s.slots, Running: s.running,
		DataCentre: "dar-1", Rack: "r1", MilliCPU: 64000, MemoryMB: 128000,
	}
	s.mu.Unlock()
	body, _ := json.Marshal(a)
	r, _ := http.NewRequest(http.MethodPut, "http://"+addr+"/v1/endpoints/"+s.id, bytes.NewReader(body))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// keepAnnouncing announces until the stand-in is closed.
func (s *standIn) keepAnnouncing(addr func() string) {
	s.wg.Go(func() {
		for {
			_ = s.announce(addr())
			select {
			case <-s.stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
}
