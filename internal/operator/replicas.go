package operator

import "cactusspar/internal/settings"

// done is the body of a call that returns nothing.
type done struct{}

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
	return done{}, s.backend.AddReplica(c.ctx, request.Name, request.Addr)
}

func (s *server) removeReplica(c *call) (any, error) {
	return done{}, s.backend.RemoveReplica(c.ctx, c.params.ByName("name"))
}
