package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
)

// rawEndpoint starts an endpoint that calls serve for each request and closes
// the connection when serve returns false. n counts the requests of a connection
// from 0. It returns the address and the number of accepted connections.
func rawEndpoint(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := new(atomic.Int64)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil || !serve(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), conns
}

func respond(c net.Conn, id, text string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(text), text)
}

func request(addr, id string) *Request {
	return &Request{
		ID: id, Method: http.MethodPost, Target: "/", Host: "h", Addr: addr,
		Header: http.Header{"Idempotency-Key": {"k"}}, Deadline: time.Now().Add(2 * time.Second),
	}
}

func send(s *Sender, r *Request) (string, error) {
	response, err := s.Send(context.Background(), r, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func requireFailure(t *testing.T, err error, outcome dispatch.Outcome, reason Reason) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, outcome, e.Outcome)
	require.Equal(t, reason, e.Reason)
}

// Guards against a second response to one request being taken for the response
// to the next. Once the next request has been sent, only the request id
// distinguishes them.
func TestDuplicateResponseIsNotTakenForNextRequest(t *testing.T) {
	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get(HeaderRequestID)
		if n > 0 {
			id = "a" // a second response to the first request
		}
		respond(c, id, "text")
		return true
	})
	s := NewSender()
	text, err := send(s, request(addr, "a"))
	require.NoError(t, err)
	require.Equal(t, "text", text)
	_, err = send(s, request(addr, "b"))
	requireFailure(t, err, dispatch.OutcomeUnknown, ReasonMismatched)
}

// Guards against the reuse of an idle connection that was closed or has received
// unsolicited data, and of one whose response did not echo the request id.
func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		after func(c net.Conn)
		echo  bool
		conns int64
	}{
		"no further data":  {func(net.Conn) {}, true, 1},
		"no request id":    {func(net.Conn) {}, false, 2},
		"unsolicited data": {func(c net.Conn) { time.Sleep(20 * time.Millisecond); respond(c, "a", "text") }, true, 2},
		"closed":           {func(c net.Conn) { time.Sleep(20 * time.Millisecond); _ = c.Close() }, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			first := sync.OnceFunc(func() { close(done) })
			addr, conns := rawEndpoint(t, func(conn net.Conn, r *http.Request, n int) bool {
				id := ""
				if c.echo {
					id = r.Header.Get(HeaderRequestID)
				}
				respond(conn, id, "text")
				if n == 0 {
					c.after(conn)
					first()
				}
				return true
			})
			s := NewSender()
			for _, id := range []string{"a", "b"} {
				text, err := send(s, request(addr, id))
				require.NoError(t, err)
				require.Equal(t, "text", text)
				<-done
				time.Sleep(50 * time.Millisecond)
			}
			require.Equal(t, c.conns, conns.Load())
			s.idle.sweep(time.Now().Add(time.Second))
			require.Empty(t, s.idle.byAddr, "idle connections were not closed")
		})
	}
}

// Guards against net/http resending a request with an Idempotency-Key on another
// connection when an idle connection breaks.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	var ran atomic.Int64
	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		if ran.Add(1) > 1 {
			return false
		}
		respond(c, r.Header.Get(HeaderRequestID), "")
		return true
	})
	s := NewSender()
	_, err := send(s, request(addr, "a"))
	require.NoError(t, err)
	_, err = send(s, request(addr, "b"))
	requireFailure(t, err, dispatch.OutcomeUnknown, ReasonBroken)
	require.EqualValues(t, 2, ran.Load())
}

// Guards against truncated responses, and responses with a wrong declared
// length, being taken as complete.
func TestResponseCompleteness(t *testing.T) {
	long := strings.Repeat("x", 100)
	for name, c := range map[string]struct {
		response string
		err      error  // of the body
		reason   Reason // of a response that was not accepted
	}{
		"complete":          {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n0\r\n\r\n", nil, ""},
		"truncated chunks":  {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n", ErrTruncated, ""},
		"truncated trailer": {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n0\r\nX: y", ErrTruncated, ""},
		"too short":         {"Content-Length: 101\r\n\r\n" + long, ErrTruncated, ""},
		"too long":          {"Content-Length: 99\r\n\r\n" + long, ErrExcessBytes, ""},
		"close-delimited":   {"\r\n" + long, nil, ReasonUnbounded},
		"malformed":         {"Content-Length: ten\r\n\r\n" + long, nil, ReasonMalformed},
		"long head":         {"X: " + strings.Repeat("y", 100<<10) + "\r\n\r\n", nil, ReasonMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := rawEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.response)
				return false
			})
			text, err := send(NewSender(), request(addr, "a"))
			switch {
			case c.reason != "":
				requireFailure(t, err, dispatch.OutcomeUnknown, c.reason)
			case c.err != nil:
				require.ErrorIs(t, err, c.err)
				require.True(t, errors.Is(err, ErrTruncated) || len(text) < 99, "the last declared byte was delivered")
			default:
				require.NoError(t, err)
				require.Equal(t, long, text)
			}
		})
	}
}

// Guards against the outcome "not run" when the endpoint may have run the
// request, and against "unknown" when nothing was sent.
func TestFailureOutcomes(t *testing.T) {
	s := NewSender()
	_, err := send(s, request("127.0.0.1:1", "a")) // no listener on this port
	requireFailure(t, err, dispatch.OutcomeNotRun, ReasonDial)

	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Refuse") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nCactusspar-Outcome: not-run\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
	_, err = send(s, request(addr, "a"))
	requireFailure(t, err, dispatch.OutcomeUnknown, ReasonBroken)

	refused := request(addr, "a")
	refused.Header = http.Header{"X-Refuse": {"1"}}
	_, err = send(s, refused)
	requireFailure(t, err, dispatch.OutcomeNotRun, ReasonRefused)

	slow := request(addr, "a")
	slow.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err = send(s, slow)
	requireFailure(t, err, dispatch.OutcomeUnknown, ReasonTimeout)

	_, err = s.Send(context.Background(), request(addr, "a"), func() error { return errors.New("stale") })
	requireFailure(t, err, dispatch.OutcomeNotRun, ReasonUnsent)
}

// Guards against an incomplete caller's body that reaches the endpoint as a
// complete one, against forwarded hop-by-hop fields, and against a caller that
// claims another team than the one of its key.
func TestForwardedRequest(t *testing.T) {
	var got http.Header
	bodyErr := make(chan error, 1)
	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		got = r.Header
		_, err := io.Copy(io.Discard, r.Body)
		bodyErr <- err
		respond(c, r.Header.Get(HeaderRequestID), "")
		return false
	})
	r := request(addr, "a")
	r.Team, r.Length, r.Stream = "shops", -1, io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("caller went away")))
	r.Header = http.Header{
		"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Authorization": {"Bearer secret"}, HeaderTeam: {"other"}, "X-Passed": {"1", "2"},
	}
	_, err := send(NewSender(), r)
	requireFailure(t, err, dispatch.OutcomeUnknown, ReasonBody)
	require.Error(t, <-bodyErr)
	require.Equal(t, []string{"shops"}, got[HeaderTeam])
	require.Equal(t, []string{"1", "2"}, got["X-Passed"])
	for _, name := range []string{"Connection", "X-Private", "Te", "Upgrade", "Authorization"} {
		require.NotContains(t, got, name)
	}
}
