package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/view"
)

// Header fields that callers may send.
const (
	headerTimeout     = "Cactusspar-Timeout-Ms"
	headerIdempotent  = "Cactusspar-Idempotent"
	headerKey         = "Idempotency-Key"
	headerPriority    = "Priority"
	headerAuthorize   = "Authorization"
	bearerPrefix      = "Bearer "
	queuePrefix       = "/q/"
	defaultTimeout    = 10 * time.Second
	maxTimeout        = 30 * time.Second
	maxKeyBytes       = 255
	defaultPriority   = 3 // RFC 9218
	maxPriority       = 7
	maxPriorityHeader = 256
)

// call is a checked request of a caller.
type call struct {
	queue rules.Queue
	// keyID is empty for requests without a key.
	keyID, team    string
	deadline       time.Time
	priority       int
	idempotent     bool
	idempotencyKey string
	// target is the escaped path and query for the endpoint.
	target string
}

// parse checks r against the view. The failure, if any, is certain not to have run.
func parse(r *http.Request, v *view.Snapshot, start time.Time) (*call, *failure) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, notRun(CodeVersion, "HTTP/1.1 is required: an older version can't show that a response was cut short")
	}
	c := new(call)
	if f := c.parseTarget(r, v); f != nil {
		return nil, f
	}
	if f := c.parseKey(r, v); f != nil {
		return nil, f
	}
	if f := c.parseTimeout(r, start); f != nil {
		return nil, f
	}
	if f := c.parsePriority(r); f != nil {
		return nil, f
	}
	return c, c.parseIdempotency(r)
}

func (c *call) parseTarget(r *http.Request, v *view.Snapshot) *failure {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), queuePrefix)
	if !ok {
		return notRun(CodeNotFound, "expected a path of the form /q/{queue}/{path}")
	}
	name, path, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		return notRun(CodeNotFound, "the queue's name is not a valid path segment")
	}
	queue, ok := v.Rules.Queues[name]
	if !ok {
		return notRun(CodeUnknownQueue, "no queue has that name")
	}
	c.queue = queue
	c.target = "/" + path
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		c.target += "?" + r.URL.RawQuery
	}
	return nil
}

// parseKey identifies the team. An open queue needs no key, but a key that was
// sent must be valid.
func (c *call) parseKey(r *http.Request, v *view.Snapshot) *failure {
	values := r.Header[headerAuthorize]
	if len(values) == 0 {
		if c.queue.Access == rules.Open {
			return nil
		}
		return notRun(CodeKeyMissing, "the queue needs a key: send Authorization: Bearer KEY")
	}
	if len(values) > 1 || len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return notRun(CodeKeyInvalid, "expected one Authorization header of the form: Bearer KEY")
	}
	key, ok := v.Key(values[0][len(bearerPrefix):])
	if !ok {
		return notRun(CodeKeyInvalid, "the key is unknown or withdrawn")
	}
	if _, ok := v.Rules.Teams[key.Team]; !ok {
		return notRun(CodeTeamUnknown, "the key's team is not in the rules")
	}
	c.keyID, c.team = key.ID, key.Team
	return nil
}

// single returns the value of a header field that may be sent once.
func single(r *http.Request, name string) (string, *failure) {
	values := r.Header[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", notRun(CodeBadHeader, name+" was sent more than once")
}

func (c *call) parseTimeout(r *http.Request, start time.Time) *failure {
	value, f := single(r, headerTimeout)
	if f != nil {
		return f
	}
	timeout := defaultTimeout
	if value != "" {
		ms, err := strconv.ParseUint(value, 10, 32)
		if err != nil || ms == 0 || ms > uint64(maxTimeout.Milliseconds()) {
			return notRun(CodeBadHeader, headerTimeout+": expected a number of milliseconds from 1 to 30000")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.deadline = start.Add(min(timeout, c.queue.Deadline))
	return nil
}

// parsePriority reads the urgency (u) of an RFC 9218 Priority field. Unknown
// parameters are ignored, as the RFC asks.
func (c *call) parsePriority(r *http.Request) *failure {
	c.priority = defaultPriority
	for _, value := range r.Header[headerPriority] {
		if len(value) > maxPriorityHeader {
			return notRun(CodeBadHeader, "Priority: expected at most 256 bytes")
		}
		for item := range strings.SplitSeq(value, ",") {
			number, ok := strings.CutPrefix(strings.TrimSpace(item), "u=")
			if !ok {
				continue
			}
			number, _, _ = strings.Cut(number, ";")
			u, err := strconv.Atoi(strings.TrimSpace(number))
			if err != nil || u < 0 || u > maxPriority {
				return notRun(CodeBadHeader, "Priority: expected u=0 to u=7")
			}
			c.priority = u
		}
	}
	return nil
}

func (c *call) parseIdempotency(r *http.Request) *failure {
	key, f := single(r, headerKey)
	if f != nil {
		return f
	}
	if len(key) > maxKeyBytes {
		return notRun(CodeBadHeader, headerKey+": expected at most 255 bytes")
	}
	c.idempotencyKey = key
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		c.idempotent = true
	}
	value, f := single(r, headerIdempotent)
	switch {
	case f != nil:
		return f
	case value == "true":
		c.idempotent = true
	case value != "" && value != "false":
		return notRun(CodeBadHeader, headerIdempotent+": expected true or false")
	}
	return nil
}
