package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type echoHandler struct{ oneWay chan string }

func (e echoHandler) HandleRequest(_ context.Context, _ Identity, method string, body []byte) (any, error) {
	if method == "fail" {
		return nil, &RemoteError{Code: "conflict", Text: "no"}
	}
	var s string
	err := Decode(body, &s)
	return s, err
}

func (e echoHandler) HandleOneWay(_ Identity, method string, _ []byte) { e.oneWay <- method }

func startServer(t *testing.T, cluster string) (string, echoHandler, *Counters) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := echoHandler{oneWay: make(chan string, 1)}
	counters := &Counters{}
	s := &Server{Identity: Identity{Cluster: cluster, Role: RoleControl, ID: "a"}, Handler: h, Log: logr.Discard(), Counters: counters}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String(), h, counters
}

// Guards against responses that are lost, mixed up, or lack their error code.
func TestCallAndSend(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	c := NewClient(addr, Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var got string
	require.NoError(t, c.Call(ctx, "echo", "hello", &got))
	require.Equal(t, "hello", got)
	var remote *RemoteError
	require.ErrorAs(t, c.Call(ctx, "fail", "x", nil), &remote)
	require.Equal(t, "conflict", remote.Code)
	require.NoError(t, c.Send(ctx, "note", 1))
	require.Equal(t, "note", <-h.oneWay)
}

// failingHandler responds to each request with the error of that name.
type failingHandler map[string]error

func (f failingHandler) HandleRequest(_ context.Context, _ Identity, method string, _ []byte) (any, error) {
	return nil, f[method]
}

func (failingHandler) HandleOneWay(Identity, string, []byte) {}

// TestOnlyListedErrorsPromiseThatNothingWasDone guards against a caller that takes an error for
// the promise that its request was not handled, although the handler may have done it before.
func TestOnlyListedErrorsPromiseThatNothingWasDone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	errorsByName := failingHandler{
		CodeNotLeader: &RemoteError{Code: CodeNotLeader}, CodeBusy: &RemoteError{Code: CodeBusy}, CodeRefused: &RemoteError{Code: CodeRefused},
		"no code": errors.New("after the proposal"), "empty code": &RemoteError{}, "internal": &RemoteError{Code: "internal"}, "later": &RemoteError{Code: "later-version"},
	}
	s := &Server{Identity: Identity{Cluster: "c", Role: RoleControl, ID: "a"}, Handler: errorsByName, Log: logr.Discard(), Counters: &Counters{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c", Role: RoleEntry, ID: "b"}, errorsByName, nil, &Counters{})
	defer c.Close()
	for name := range errorsByName {
		promised := name == CodeNotLeader || name == CodeBusy || name == CodeRefused
		err := c.Call(ctx, name, "x", nil)
		require.Error(t, err)
		require.Equal(t, promised, NotHandled(err), name)
	}
	var response []string
	require.False(t, NotHandled(c.Call(ctx, "none", "x", &response)), "a response that can't be decoded")
	cancel()
	<-done
	require.False(t, NotHandled(fmt.Errorf("call: %w", ErrClosed)))
	require.Eventually(t, func() bool { return NotHandled(c.Call(context.Background(), "later", "x", nil)) }, 2*time.Second, time.Millisecond, "no connection")
}

// Guards against serving a peer of another cluster.
func TestOtherClusterIsRejected(t *testing.T) {
	addr, h, counters := startServer(t, "c1")
	c := NewClient(addr, Identity{Cluster: "c2", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	err := c.Call(context.Background(), "echo", "hello", nil)
	require.ErrorContains(t, err, `cluster "c1", expected "c2"`)
	require.Eventually(t, func() bool { return counters.Refused.Load() == 1 }, 2*time.Second, time.Millisecond)
}

// forwarder forwards connections to a server until darken is called. From then on it keeps
// the former connections open and delivers nothing on them, and forwards new ones.
type forwarder struct {
	net.Listener
	dark sync.Map // of net.Conn that deliver nothing
	open sync.Map // of net.Conn
}

func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{Listener: ln}
	t.Cleanup(func() {
		_ = ln.Close()
		f.open.Range(func(c, _ any) bool { return c.(net.Conn).Close() == nil })
	})
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			f.open.Store(in, nil)
			f.open.Store(out, nil)
			go f.forward(in, out)
			go f.forward(out, in)
		}
	}()
	return f
}

func (f *forwarder) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, dark := f.dark.Load(from); dark {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (f *forwarder) darken() {
	f.open.Range(func(c, _ any) bool { f.dark.Store(c, nil); return true })
}

// Guards against a client that keeps using a connection whose remote end lost its power,
// until TCP gives up: a replica that is back would get no entries for seconds.
func TestClientReplacesDeadConnection(t *testing.T) {
	addr, h, _ := startServer(t, "c1")
	f := startForwarder(t, addr)
	c := NewClient(f.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, &Counters{})
	defer c.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return c.Call(ctx, "echo", "hello", nil)
	}
	require.NoError(t, call())
	f.darken()
	require.Error(t, call())
	require.Eventually(t, func() bool { return call() == nil }, 2*time.Second, 10*time.Millisecond)
}

// Guards against short messages that make the decoder allocate without limit or
// overflow the stack, through a declared length or deep nesting.
func TestDecodeRejectsExcessiveStructure(t *testing.T) {
	var list []struct{ A, B uint64 }
	require.ErrorContains(t, Decode([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x80}, &list), "elements")
	require.ErrorContains(t, Decode(bytes.Repeat([]byte{0x91}, 1<<20), &list), "nested")
	require.ErrorContains(t, Decode([]byte{0xc6, 0xff, 0xff, 0xff, 0xff, 1}, &list), "remain")
	require.ErrorContains(t, Decode([]byte{0x90, 0x90}, &list), "follow")
	require.ErrorContains(t, Decode([]byte{0x92, 0x80}, &list), "element")
	for _, v := range []any{
		1, -1, int8(-100), uint16(9), int32(-1 << 20), uint64(1 << 60), 1.5, float32(2), nil, true, "x", time.Now(),
		bytes.Repeat([]byte("x"), 300), make([]byte, 1<<17), string(make([]byte, 1000)), make([]int, 1000),
		map[string]any{"a": []any{1, nil, map[int]int{1: 2}}},
	} {
		body, err := msgpack.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, checkStructure(body), "%T", v)
	}
}

// Guards against crashes and unlimited allocation on arbitrary input.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	_, _ = writeFrame(w, &envelope{Kind: kindRequest, ID: 1, Method: "m"})
	_ = w.Flush()
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _, _ = readFrame(bytes.NewReader(data), MaxFrameBytes)
	})
}

// TestCallEndsInTimeWhileOutgoingQueueIsFull guards against a call that outlasts its time limit
// because nothing can be queued on its connection, and that then counts as perhaps handled.
func TestCallEndsInTimeWhileOutgoingQueueIsFull(t *testing.T) {
	c := &Conn{outgoing: make(chan *envelope), done: make(chan struct{}), pending: map[uint64]chan *envelope{}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.Call(ctx, "echo", "x", nil) }()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.True(t, NotHandled(err))
	case <-time.After(2 * time.Second):
		close(c.done)
		require.Fail(t, "the call did not end", <-ended)
	}
	require.Empty(t, c.pending)
}

// Guards against a write for each of many frames that are ready at the same time: the load is a
// commit after which dozens of waiting requests are answered, in a process with one processor, where
// the first answer is written before the others are encoded.
func TestFramesThatAreReadyTogetherShareWrites(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &releasedHandler{waiting: make(chan struct{}), release: make(chan struct{})}
	served := &Counters{}
	s := &Server{Identity: Identity{Cluster: "c1", Role: RoleControl, ID: "a"}, Handler: h, Log: logr.Discard(), Counters: served}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, ln) }()
	defer func() { cancel(); <-done }()
	called := &Counters{}
	c := NewClient(ln.Addr().String(), Identity{Cluster: "c1", Role: RoleEntry, ID: "b"}, h, nil, called)
	defer c.Close()
	const requests = 64
	go func() {
		for range requests {
			<-h.waiting
		}
		close(h.release)
	}()
	require.NoError(t, c.Call(ctx, "now", "", nil)) // the connection exists
	before, sent := served.Writes.Load(), called.Writes.Load()
	var calls sync.WaitGroup
	errs := make([]error, requests)
	for i := range requests {
		calls.Go(func() { errs[i] = c.Call(ctx, "wait", "", nil) })
	}
	calls.Wait()
	require.NoError(t, errors.Join(errs...))
	require.Less(t, called.Writes.Load()-sent, int64(requests/4), "requests")
	require.Less(t, served.Writes.Load()-before, int64(requests/4), "responses")
}

// releasedHandler answers requests once release is closed, except "now".
type releasedHandler struct{ waiting, release chan struct{} }

func (h *releasedHandler) HandleRequest(_ context.Context, _ Identity, method string, _ []byte) (any, error) {
	if method == "wait" {
		h.waiting <- struct{}{}
		<-h.release
	}
	return "", nil
}

func (*releasedHandler) HandleOneWay(Identity, string, []byte) {}
