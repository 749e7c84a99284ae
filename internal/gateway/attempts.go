package gateway

import (
	"context"
	"errors"

	"cactusspar/internal/orchestrator"
	"cactusspar/internal/peer"
)

// attempts collects the attempts of a call at the replicas.
type attempts struct {
	count int
	// uncertain is the number of attempts that may have been applied although no response
	// says so.
	uncertain int
	// last is how the last attempt ended, and replica the address of its replica.
	last, replica string
}

// failed records an attempt without a response.
func (a *attempts) failed(addr string, err error) {
	a.ended(addr, failure(err))
	if !peer.NotHandled(err) {
		a.uncertain++
	}
}

// responded records an attempt with a response.
func (a *attempts) responded(addr string, response any) {
	result := "response"
	if r, ok := response.(*orchestrator.CallResponse); ok {
		result = string(r.Outcome)
	}
	a.ended(addr, result)
}

func (a *attempts) ended(addr, result string) {
	a.count++
	a.last, a.replica = result, addr
}

// failure returns how an attempt without a response ended, for logs and metrics.
func failure(err error) string {
	var remote *peer.RemoteError
	var dial *peer.DialError
	switch {
	case errors.As(err, &remote):
		return "error:" + remote.Code
	case errors.As(err, &dial):
		return "unreachable"
	case errors.Is(err, peer.ErrClosed):
		return "connection-closed"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "caller-gone"
	}
	return "malformed-response"
}
