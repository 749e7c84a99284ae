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

// behaviour is how a fake endpoint treats one request.
type behaviour int

const (
	answers behaviour = iota
	answersInChunks
	answersSlowly
	answersTwice
	resetsMidBody
	cutsChunks
	overstatesLength
	understatesLength
	hangs
	closesAfterRun
	cutsWithoutLength
	closesBeforeRun
	refuses
	refusesAfterBody
	// randomBehaviours is the number of behaviours above, which tests choose
	// from at random.
	randomBehaviours
	// answersOnRelease answers once the test has closed released.
	answersOnRelease
)

const headerTestID = "X-Test-Id"

// fakeEndpoint is an endpoint that behaves as the test sets it and records the
// requests that it ran.
type fakeEndpoint struct {
	t    testing.TB
	id   string
	addr string
	ln   net.Listener

	slots         int
	mu            sync.Mutex
	nextBehaviour func() behaviour
	runCounts     map[string]int
	lastRun       map[string]time.Time
	running       int
	maxRunning    int           // highest number of running requests
	released      chan struct{} // closed by the test to end waiting requests
	conns         map[net.Conn]bool
	sequence      uint64
	closed        chan struct{}
	wg            sync.WaitGroup
}

func newFakeEndpoint(t testing.TB, id string, choose func() behaviour) *fakeEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ep := &fakeEndpoint{
		t: t, id: id, addr: ln.Addr().String(), ln: ln, nextBehaviour: choose,
		slots: 8, runCounts: map[string]int{}, lastRun: map[string]time.Time{}, conns: map[net.Conn]bool{}, closed: make(chan struct{}),
		released: make(chan struct{}),
	}
	ep.wg.Go(ep.accept)
	t.Cleanup(ep.close)
	return ep
}

func (ep *fakeEndpoint) close() {
	close(ep.closed)
	_ = ep.ln.Close()
	ep.mu.Lock()
	for c := range ep.conns {
		_ = c.Close()
	}
	ep.mu.Unlock()
	ep.wg.Wait()
}

func (ep *fakeEndpoint) accept() {
	for c, err := ep.ln.Accept(); err == nil; c, err = ep.ln.Accept() {
		ep.mu.Lock()
		ep.conns[c] = true
		ep.mu.Unlock()
		ep.wg.Go(func() {
			defer func() { ep.mu.Lock(); delete(ep.conns, c); ep.mu.Unlock(); _ = c.Close() }()
			br := bufio.NewReader(c)
			for ep.serve(c, br) {
			}
		})
	}
}

// payload returns the response body for a request. It is long enough to be
// truncated.
func payload(id string) string { return strings.Repeat(id+";", 200) }

// serve handles one request. It returns false when the connection ends.
func (ep *fakeEndpoint) serve(c net.Conn, br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	ep.mu.Lock()
	b := ep.nextBehaviour()
	ep.mu.Unlock()
	switch b {
	case refuses:
		return ep.refuse(c, r)
	case closesBeforeRun:
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if b == refusesAfterBody {
		return ep.refuse(c, r)
	}
	id := r.Header.Get(headerTestID)
	ep.mu.Lock()
	ep.runCounts[id]++
	ep.lastRun[id] = time.Now()
	ep.running++
	ep.maxRunning = max(ep.maxRunning, ep.running)
	ep.mu.Unlock()
	defer func() { ep.mu.Lock(); ep.running--; ep.mu.Unlock() }()
	echo := fmt.Sprintf("%s: %s\r\n", endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
	text := payload(id)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(text), text)
	switch b {
	case answersSlowly:
		time.Sleep(150 * time.Millisecond)
	case answersTwice:
		response += response
	case answersInChunks:
		response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: %s\r\n\r\n", echo, len(text), text, id)
	case resetsMidBody:
		_, _ = io.WriteString(c, response[:len(response)-len(text)/2])
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case cutsChunks:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", echo, len(text)/2, text[:len(text)/2])
		return false
	case overstatesLength:
		_, _ = io.WriteString(c, response[:len(response)-1])
		return false
	case understatesLength:
		response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(text)/2, text)
	case answersOnRelease:
		select {
		case <-ep.released:
		case <-ep.closed:
			return false
		}
	case hangs:
		select {
		case <-ep.released:
		case <-ep.closed:
		}
		return false
	case cutsWithoutLength:
		response = "HTTP/1.1 200 OK\r\n" + echo + "\r\n" + text // delimited by the end of the connection
		_, _ = io.WriteString(c, response[:len(response)-len(text)/2])
		return false
	case closesAfterRun:
		return false
	}
	_, err = io.WriteString(c, response)
	return err == nil
}

func (ep *fakeEndpoint) refuse(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID), endpoint.HeaderOutcome)
	return false
}

// counts returns the current and the highest number of running requests.
func (ep *fakeEndpoint) counts() (running, maxRunning int) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.running, ep.maxRunning
}

func (ep *fakeEndpoint) runs(id string) int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.runCounts[id]
}

func (ep *fakeEndpoint) requireNoRunAfter(t testing.TB, end time.Time) {
	t.Helper()
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for id, at := range ep.lastRun {
		require.True(t, at.Before(end), "%s ran %v too late", id, at.Sub(end))
	}
}

func (ep *fakeEndpoint) setBehaviour(b behaviour) { ep.setBehaviourFunc(func() behaviour { return b }) }

func (ep *fakeEndpoint) setBehaviourFunc(choose func() behaviour) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.nextBehaviour = choose
}

// announce sends an announcement to an entry instance.
func (ep *fakeEndpoint) announce(addr string) error {
	ep.mu.Lock()
	ep.sequence++
	a := dispatch.Announcement{
		ID: ep.id, Incarnation: 1, Sequence: ep.sequence, Pool: "quotes", Addr: ep.addr, Slots: ep.slots, Running: ep.running,
		DataCentre: "dar-1", Rack: "r1", MilliCPU: 64000, MemoryMB: 128000,
	}
	ep.mu.Unlock()
	body, _ := json.Marshal(a)
	r, _ := http.NewRequest(http.MethodPut, "http://"+addr+"/v1/endpoints/"+ep.id, bytes.NewReader(body))
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

// keepAnnouncing sends announcements until the endpoint is closed.
func (ep *fakeEndpoint) keepAnnouncing(addr func() string) {
	ep.wg.Go(func() {
		for {
			_ = ep.announce(addr())
			select {
			case <-ep.closed:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
}
