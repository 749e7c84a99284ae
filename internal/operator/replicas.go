package operator

import (
	"context"
	"errors"

	"cactusspar/internal/settings"
	"cactusspar/internal/state"
)

// emptyResponse is the response body of a call that returns no data.
type emptyResponse struct{}

func (s *server) getStatus(*call) (any, error) {
	return s.backend.Status(), nil
}

func (s *server) addReplica(c *call) (any, error) {
	var request ReplicaRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if err := checkID("name", request.Name); err != nil {
		return nil, err
	}
	if _, err := settings.ParseAddress(request.Addr); err != nil {
		return nil, badRequest("addr: %v", err)
	}
	return emptyResponse{}, membershipError(s.backend.AddReplica(c.ctx, request.Name, request.Addr))
}

func (s *server) removeReplica(c *call) (any, error) {
	return emptyResponse{}, membershipError(s.backend.RemoveReplica(c.ctx, c.params.ByName("name")))
}

// membershipError classifies the failure of a membership change. A change in
// progress at the deadline may still complete. Any other failure, such as a replica
// that is not running, persists until the operator fixes its cause.
func membershipError(err error) error {
	var notLeader *NotLeaderError
	var rejected *state.Error
	switch {
	case err == nil, errors.As(err, &notLeader), errors.As(err, &rejected), errors.Is(err, ErrUnknownOutcome):
		return err
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return newProblem(CodeUnknownOutcome, err.Error())
	}
	return newProblem(Code(state.CodeInvalid), err.Error())
}
