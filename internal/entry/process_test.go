package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Environment variables that make the test binary run as a child process.
const (
	envChildSettings  = "CACTUSSPAR_TEST_SETTINGS"
	envChildEndpoints = "CACTUSSPAR_TEST_ENDPOINTS"
)

// TestMain runs an entry instance or endpoints instead of the tests if the test
// binary was started as a child process. Tests can then suspend, kill and measure it.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(envChildSettings) != "":
		runEntry(os.Getenv(envChildSettings))
	case os.Getenv(envChildEndpoints) != "":
		runEndpoints(os.Getenv(envChildEndpoints))
	default:
		os.Exit(m.Run())
	}
}

func runEntry(text string) {
	s := DefaultSettings()
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	e, err := New(s, logr.Discard())
	if err != nil {
		panic(err)
	}
	_ = json.NewEncoder(os.Stdout).Encode(e.Addresses())
	go reportAllocations()
	_ = e.Run(context.Background())
}

// process is a child process that runs an entry instance or endpoints.
type process struct {
	Addresses
	*exec.Cmd
	in  io.Writer
	out *bufio.Reader
}

func startProcess(t testing.TB, c *fakeControl, id string) *process {
	t.Helper()
	text, err := json.Marshal(testSettings(c, id))
	require.NoError(t, err)
	p := startChild(t, envChildSettings+"="+string(text))
	require.NoError(t, json.NewDecoder(strings.NewReader(p.readLine(t))).Decode(&p.Addresses))
	return p
}

func startChild(t testing.TB, env string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0])}
	p.Env = append(os.Environ(), env)
	in, err := p.StdinPipe()
	require.NoError(t, err)
	out, err := p.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	p.in, p.out = in, bufio.NewReader(out)
	return p
}

// readLine returns the next line that the process prints.
func (p *process) readLine(t testing.TB) string {
	t.Helper()
	line, err := p.out.ReadString('\n')
	require.NoError(t, err)
	return line
}

// sendUntilStopped sends requests from several goroutines until stop is called, and
// records them.
func (l *requestLog) sendUntilStopped(c *testCaller, workers int, name string, method string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%s-%d-%d", name, worker, i)
				l.add(sentRequest{id, method == http.MethodGet, c.do(context.Background(), method, id, "body", "Cactusspar-Timeout-Ms", "6000")})
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// Guards against a suspended instance that, when it resumes, sends requests with its
// outdated view or tickets before it notices that it is isolated.
func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	e1 := startEntry(t, control, "e1") // the dispatcher
	suspended := startProcess(t, control, "e2")
	ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ep.keepAnnouncing(func() string { return e1.Addresses().Endpoints })
	c := newCaller(t, suspended.Callers, "secret")
	c.waitAnswered(t)
	ep.setBehaviour(answersSlowly)
	var l requestLog
	stop := l.sendUntilStopped(c, 24, "f", http.MethodPost)
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, suspended.Process.Signal(syscall.SIGSTOP))
	control.withdrawKey("k1")
	suspendedAt := time.Now()
	time.Sleep(3 * time.Second) // the leader has marked e2 as lost by now
	require.NoError(t, suspended.Process.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
	stop()
	outcomes := l.check(t, ep)
	t.Logf("outcomes %v", outcomes)
	ep.requireNoRunAfter(t, suspendedAt.Add(2*time.Second))
}

// Guards against slots that are assigned again while requests of a lost instance
// may still run in them, and against a pool that gets no new dispatcher.
func TestInstanceLostWithTickets(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	lost := startProcess(t, control, "e1") // the dispatcher; its requests hold all slots
	ep := newFakeEndpoint(t, "w1", func() behaviour { return answers })
	ep.slots = 4
	e2 := startEntry(t, control, "e2")
	ep.keepAnnouncing(func() string { return e2.Addresses().Endpoints })
	viaLost, c := newCaller(t, lost.Callers, "secret"), newCaller(t, e2.Addresses().Callers, "secret")
	viaLost.waitAnswered(t)
	c.waitAnswered(t)
	ep.setBehaviour(hangs)
	var heldRequests, laterRequests requestLog
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			id := fmt.Sprintf("held-%d", i)
			heldRequests.add(sentRequest{id, false, viaLost.do(ctx, http.MethodPost, id, "body", "Cactusspar-Timeout-Ms", "9000")})
		})
	}
	held := func() bool {
		for i := range 4 {
			if ep.runs(fmt.Sprintf("held-%d", i)) == 0 {
				return false // other running requests may be late warm-ups
			}
		}
		return true
	}
	require.Eventually(t, held, 2*time.Second, time.Millisecond)
	ep.setBehaviour(answers)
	time.Sleep(400 * time.Millisecond) // the endpoint has announced its running requests
	require.NoError(t, lost.Process.Kill())
	stop := laterRequests.sendUntilStopped(c, 4, "after", http.MethodPost)
	wg.Wait()
	time.Sleep(5 * time.Second) // the pool has a new dispatcher
	_, maxRunning := ep.counts()
	require.Equal(t, 4, maxRunning, "a slot that is still in use was assigned again")
	close(ep.released)
	time.Sleep(2 * time.Second)
	stop()
	outcomes := laterRequests.check(t, ep)
	t.Logf("outcomes %v", outcomes)
	require.Positive(t, outcomes["answered"])
	require.Equal(t, map[string]int{"cut": 4}, heldRequests.check(t, ep))
}
