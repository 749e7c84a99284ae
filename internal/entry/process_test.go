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

// Variables that make the test binary run as another process.
const (
	childSettings  = "CACTUSSPAR_TEST_SETTINGS"
	childEndpoints = "CACTUSSPAR_TEST_ENDPOINTS"
)

// TestMain runs an entry instance or endpoints when the test binary starts
// itself, so that tests can freeze, kill and measure them.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(childSettings) != "":
		runEntry(os.Getenv(childSettings))
	case os.Getenv(childEndpoints) != "":
		runEndpoints(os.Getenv(childEndpoints))
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

// process is an entry instance in a process of its own.
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
	p := startChild(t, childSettings+"="+string(text))
	require.NoError(t, json.NewDecoder(strings.NewReader(p.line(t))).Decode(&p.Addresses))
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

// line reads the next line that the process printed.
func (p *process) line(t testing.TB) string {
	t.Helper()
	line, err := p.out.ReadString('\n')
	require.NoError(t, err)
	return line
}

// load sends requests from workers until stop is called, and collects them.
func (l *ledger) load(c *testCaller, workers int, name string, method string) (stop func()) {
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

// Guards against an instance that was frozen and sends requests with its old
// view or old tickets when it continues, in the moments before it is isolated.
func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.giveKey("k1", "secret")
	e1 := startEntry(t, control, "e1") // dispatches
	frozen := startProcess(t, control, "e2")
	s := newStandIn(t, "w1", func() behaviour { return answers })
	s.keepAnnouncing(func() string { return e1.Addresses().Endpoints })
	c := newCaller(t, frozen.Callers, "secret")
	c.waitAnswered(t)
	s.set(answersLate)
	var l ledger
	stop := l.load(c, 24, "f", http.MethodPost)
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, frozen.Process.Signal(syscall.SIGSTOP))
	control.withdrawKey("k1")
	stoppedAt := time.Now()
	time.Sleep(3 * time.Second) // e2 is lost for the leader by now
	require.NoError(t, frozen.Process.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
	stop()
	outcomes := l.check(t, s)
	t.Logf("outcomes %v", outcomes)
	s.requireNoRunAfter(t, stoppedAt.Add(2*time.Second))
}

// Guards against slots that are given again while a lost instance's requests
// may still run there, and against a pool that stays without a dispatcher.
func TestInstanceLostWithTickets(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t)
	control.giveKey("k1", "secret")
	lost := startProcess(t, control, "e1") // dispatches, and holds all slots
	s := newStandIn(t, "w1", func() behaviour { return answers })
	s.slots = 4
	e2 := startEntry(t, control, "e2")
	s.keepAnnouncing(func() string { return e2.Addresses().Endpoints })
	viaLost, c := newCaller(t, lost.Callers, "secret"), newCaller(t, e2.Addresses().Callers, "secret")
	viaLost.waitAnswered(t)
	c.waitAnswered(t)
	s.set(hangs)
	var before, after ledger
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			id := fmt.Sprintf("held-%d", i)
			before.add(sentRequest{id, false, viaLost.do(ctx, http.MethodPost, id, "body", "Cactusspar-Timeout-Ms", "9000")})
		})
	}
	held := func() bool {
		for i := range 4 {
			if s.runs(fmt.Sprintf("held-%d", i)) == 0 {
				return false // what runs may be a late warm-up
			}
		}
		return true
	}
	require.Eventually(t, held, 2*time.Second, time.Millisecond)
	s.set(answers)
	time.Sleep(400 * time.Millisecond) // the endpoint announces that its slots are busy
	require.NoError(t, lost.Process.Kill())
	stop := after.load(c, 4, "after", http.MethodPost)
	wg.Wait()
	time.Sleep(5 * time.Second) // the pool has moved
	_, most := s.counts()
	require.Equal(t, 4, most, "a slot that is still in use was given again")
	close(s.free)
	time.Sleep(2 * time.Second)
	stop()
	outcomes := after.check(t, s)
	t.Logf("outcomes %v", outcomes)
	require.Positive(t, outcomes["answered"])
	require.Equal(t, map[string]int{"cut": 4}, before.check(t, s))
}
