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

// rawEndpoint calls serve for each request; the connection ends when it
// returns false. n counts the requests of a connection from 0.
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

func requireFailure(t *testing.T, err error, grade dispatch.Grade, reason Reason) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, grade, e.Grade)
	require.Equal(t, reason, e.Reason)
}

// Guards against a second response to one request being taken for the
// response to the next: once the next was sent, only the request id tells.
func TestSecondResponseIsNotForTheNextRequest(t *testing.T) {
	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get(HeaderRequestID)
		if n > 0 {
			id = "a" // once more for the first request
		}
		respond(c, id, "text")
		return true
	})
	s := NewSender()
	text, err := send(s, request(addr, "a"))
	require.NoError(t, err)
	require.Equal(t, "text", text)
	_, err = send(s, request(addr, "b"))
	requireFailure(t, err, dispatch.Unknown, ReasonMismatched)
}

// Guards against the use of an idle connection that was closed or has
// received bytes, and against a connection being kept without the id.
func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		after func(c net.Conn)
		echo  bool
		conns int64
	}{
		"quiet":     {func(net.Conn) {}, true, 1},
		"unpaired":  {func(net.Conn) {}, false, 2},
		"more sent": {func(c net.Conn) { time.Sleep(20 * time.Millisecond); respond(c, "a", "text") }, true, 2},
		"closed":    {func(c net.Conn) { time.Sleep(20 * time.Millisecond); _ = c.Close() }, true, 2},
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

// Guards against a request being sent again on another connection by the
// library when a kept connection breaks, although it carries an Idempotency-Key.
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
	requireFailure(t, err, dispatch.Unknown, ReasonBroken)
	require.EqualValues(t, 2, ran.Load())
}

// Guards against responses whose end was not received, and whose declared
// length is wrong, being taken as complete.
func TestResponseEnds(t *testing.T) {
	long := strings.Repeat("x", 100)
	for name, c := range map[string]struct {
		response string
		err      error  // of the body
		reason   Reason // of a response that was not accepted
	}{
		"whole":       {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n0\r\n\r\n", nil, ""},
		"cut chunks":  {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n", ErrCut, ""},
		"cut trailer": {"Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n0\r\nX: y", ErrCut, ""},
		"too short":   {"Content-Length: 101\r\n\r\n" + long, ErrCut, ""},
		"too long":    {"Content-Length: 99\r\n\r\n" + long, ErrExcess, ""},
		"unmarked":    {"\r\n" + long, nil, ReasonUnbounded},
		"malformed":   {"Content-Length: ten\r\n\r\n" + long, nil, ReasonMalformed},
		"long head":   {"X: " + strings.Repeat("y", 100<<10) + "\r\n\r\n", nil, ReasonMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := rawEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.response)
				return false
			})
			text, err := send(NewSender(), request(addr, "a"))
			switch {
			case c.reason != "":
				requireFailure(t, err, dispatch.Unknown, c.reason)
			case c.err != nil:
				require.ErrorIs(t, err, c.err)
				require.True(t, errors.Is(err, ErrCut) || len(text) < 99, "the last declared byte was passed on")
			default:
				require.NoError(t, err)
				require.Equal(t, long, text)
			}
		})
	}
}

// Guards against a "not run" that is not certain, and against an "unknown"
// where nothing was sent.
func TestGrades(t *testing.T) {
	s := NewSender()
	_, err := send(s, request("127.0.0.1:1", "a")) // nobody listens there
	requireFailure(t, err, dispatch.NotRun, ReasonDial)

	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Refuse") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nCactusspar-Outcome: not-run\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
	_, err = send(s, request(addr, "a"))
	requireFailure(t, err, dispatch.Unknown, ReasonBroken)

	refused := request(addr, "a")
	refused.Header = http.Header{"X-Refuse": {"1"}}
	_, err = send(s, refused)
	requireFailure(t, err, dispatch.NotRun, ReasonRefused)

	slow := request(addr, "a")
	slow.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err = send(s, slow)
	requireFailure(t, err, dispatch.Unknown, ReasonTimeout)

	_, err = s.Send(context.Background(), request(addr, "a"), func() error { return errors.New("stale") })
	requireFailure(t, err, dispatch.NotRun, ReasonUnsent)
}

// Guards against a caller's body that ends early reaching the endpoint as a
// complete one, against fields that concern one connection, and against a
// caller that states another team than the one of its key.
func TestRequestOnTheWire(t *testing.T) {
	var got http.Header
	whole := make(chan error, 1)
	addr, _ := rawEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		got = r.Header
		_, err := io.Copy(io.Discard, r.Body)
		whole <- err
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
	requireFailure(t, err, dispatch.Unknown, ReasonBody)
	require.Error(t, <-whole)
	require.Equal(t, []string{"shops"}, got[HeaderTeam])
	require.Equal(t, []string{"1", "2"}, got["X-Passed"])
	for _, name := range []string{"Connection", "X-Private", "Te", "Upgrade", "Authorization"} {
		require.NotContains(t, got, name)
	}
}
