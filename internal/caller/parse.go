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

// Header fields that callers may send, and their limits.
const (
	headerTimeout          = "Cactusspar-Timeout-Ms"
	headerIdempotent       = "Cactusspar-Idempotent"
	headerKey              = "Idempotency-Key"
	headerPriority         = "Priority"
	headerAuthorization    = "Authorization"
	bearerPrefix           = "Bearer "
	queuePrefix            = "/q/"
	defaultTimeout         = 10 * time.Second
	maxTimeout             = 30 * time.Second
	maxKeyBytes            = 255
	defaultPriority        = 3 // RFC 9218
	maxPriority            = 7
	maxPriorityHeaderBytes = 256
)

// parsedRequest holds the checked parameters of a caller's request.
type parsedRequest struct {
	queue rules.Queue
	// keyID is empty for requests without a key.
	keyID, team    string
	deadline       time.Time
	priority       int
	idempotent     bool
	idempotencyKey string
	// target is the escaped path and query that is sent to the endpoint.
	target string
}

// parse checks r against the view. Any failure has outcome not-run.
func parse(r *http.Request, v *view.Snapshot, start time.Time) (*parsedRequest, *failure) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, notRun(CodeHTTPVersion, "HTTP/1.1 is required: an older version can't show that a response was cut short")
	}
	p := new(parsedRequest)
	if f := p.parseTarget(r, v); f != nil {
		return nil, f
	}
	if f := p.parseKey(r, v); f != nil {
		return nil, f
	}
	if f := p.parseTimeout(r, start); f != nil {
		return nil, f
	}
	if f := p.parsePriority(r); f != nil {
		return nil, f
	}
	return p, p.parseIdempotency(r)
}

func (p *parsedRequest) parseTarget(r *http.Request, v *view.Snapshot) *failure {
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
	p.queue = queue
	p.target = "/" + path
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		p.target += "?" + r.URL.RawQuery
	}
	return nil
}

// parseKey identifies the team by the key. An open queue needs no key, but a key
// that is sent must be valid.
func (p *parsedRequest) parseKey(r *http.Request, v *view.Snapshot) *failure {
	values := r.Header[headerAuthorization]
	if len(values) == 0 {
		if p.queue.Access == rules.Open {
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
	p.keyID, p.team = key.ID, key.Team
	return nil
}

// singleValue returns the value of a header field that may be sent at most once,
// and "" if it is absent.
func singleValue(r *http.Request, name string) (string, *failure) {
	values := r.Header[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", notRun(CodeBadHeader, name+" was sent more than once")
}

func (p *parsedRequest) parseTimeout(r *http.Request, start time.Time) *failure {
	value, f := singleValue(r, headerTimeout)
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
	p.deadline = start.Add(min(timeout, p.queue.Deadline))
	return nil
}

// parsePriority reads the urgency (u) of an RFC 9218 Priority field. It ignores
// unknown parameters, as the RFC requires.
func (p *parsedRequest) parsePriority(r *http.Request) *failure {
	p.priority = defaultPriority
	for _, value := range r.Header[headerPriority] {
		if len(value) > maxPriorityHeaderBytes {
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
			p.priority = u
		}
	}
	return nil
}

func (p *parsedRequest) parseIdempotency(r *http.Request) *failure {
	key, f := singleValue(r, headerKey)
	if f != nil {
		return f
	}
	if len(key) > maxKeyBytes {
		return notRun(CodeBadHeader, headerKey+": expected at most 255 bytes")
	}
	p.idempotencyKey = key
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		p.idempotent = true
	}
	value, f := singleValue(r, headerIdempotent)
	switch {
	case f != nil:
		return f
	case value == "true":
		p.idempotent = true
	case value != "" && value != "false":
		return notRun(CodeBadHeader, headerIdempotent+": expected true or false")
	}
	return nil
}
