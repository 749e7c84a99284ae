package endpoint

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Header fields exchanged with callers and endpoints.
const (
	HeaderOutcome    = "Cactusspar-Outcome"
	HeaderRequestID  = "Cactusspar-Request-Id"
	HeaderDeadline   = "Cactusspar-Deadline-Ms"
	HeaderTeam       = "Cactusspar-Team"
	HeaderPoolEpoch  = "Cactusspar-Pool-Epoch"
	HeaderEndpoint   = "Cactusspar-Endpoint"
	headerOwnPrefix  = "Cactusspar-"
	headerRetryAfter = "Retry-After"
)

// hopByHop holds the header fields that apply to a single connection and must
// not be forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// connectionOptions returns the names of the header fields listed in Connection.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				names = append(names, http.CanonicalHeaderKey(name))
			}
		}
	}
	return names
}

// Forwarded reports whether a header field may be forwarded: it is neither
// hop-by-hop, nor listed in Connection, nor reserved by the Cactusspar- prefix.
func Forwarded(name string, connection []string) bool {
	if hopByHop[name] || strings.HasPrefix(name, headerOwnPrefix) {
		return false
	}
	for _, l := range connection {
		if l == name {
			return false
		}
	}
	return true
}

// CopyResponseHeader copies the header fields of an endpoint's response that
// may be forwarded to the caller.
func CopyResponseHeader(to, from http.Header) {
	connection := connectionOptions(from)
	for name, values := range from {
		if Forwarded(name, connection) {
			to[name] = values
		}
	}
}

// writeHead writes the request line and the header fields of r.
func writeHead(w *bufio.Writer, r *Request, now time.Time) {
	write := func(parts ...string) {
		for _, p := range parts {
			_, _ = w.WriteString(p) // bufio.Writer reports the error again in Flush
		}
	}
	write(r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	connection := connectionOptions(r.Header)
	for name, values := range r.Header {
		if name == "Authorization" || name == "Content-Length" || name == "Host" || !Forwarded(name, connection) {
			continue
		}
		for _, v := range values {
			write(name, ": ", v, "\r\n")
		}
	}
	write(HeaderRequestID, ": ", r.ID, "\r\n", HeaderPoolEpoch, ": ")
	var digits [20]byte
	_, _ = w.Write(strconv.AppendUint(digits[:0], r.PoolEpoch, 10))
	write("\r\n", HeaderDeadline, ": ")
	_, _ = w.Write(strconv.AppendInt(digits[:0], max(r.Deadline.Sub(now).Milliseconds(), 0), 10))
	write("\r\n")
	if r.Endpoint != "" {
		write(HeaderEndpoint, ": ", r.Endpoint, "\r\n")
	}
	if r.Team != "" {
		write(HeaderTeam, ": ", r.Team, "\r\n")
	}
	switch {
	case r.Length < 0:
		write("Transfer-Encoding: chunked\r\n")
		if names := r.trailerNames(); names != "" {
			write("Trailer: ", names, "\r\n")
		}
	case r.Length > 0 || methodHasBody(r.Method):
		write("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(digits[:0], r.Length, 10))
		write("\r\n")
	}
	write("\r\n")
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(headerRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
