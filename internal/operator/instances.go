package operator

import (
	"github.com/zeebo/errs"

	"cactusspar/internal/state"
)

func instancesOf(st *state.State) map[string]*state.Instance { return st.Instances }

func (s *server) listInstances(c *call) (any, error) {
	pool, condition := c.filter("pool"), c.filter("condition")
	return listPage(s, c, instancesOf,
		func(i *state.Instance) bool { return pool(i.Pool) && condition(string(i.Condition)) },
		copyOf[state.Instance])
}

func (s *server) getInstance(c *call) (any, error) {
	return getItem(s, c, "instance", instancesOf, copyOf[state.Instance])
}

// readInstance reads the instance named in the path. The command proposed next
// includes the values read here, so that it is rejected as stale if the instance
// has changed in the meantime.
func (s *server) readInstance(c *call) (state.Instance, error) {
	body, err := s.getInstance(c)
	if err != nil {
		return state.Instance{}, err
	}
	i, ok := body.(state.Instance)
	if !ok {
		return state.Instance{}, errs.New("unexpected item %T", body)
	}
	return i, nil
}

func (s *server) drainInstance(c *call) (any, error) { return s.setCondition(c, state.Draining) }

func (s *server) undrainInstance(c *call) (any, error) { return s.setCondition(c, state.Active) }

func (s *server) setCondition(c *call, to state.Condition) (any, error) {
	var request SessionRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	i, err := s.readInstance(c)
	if err != nil {
		return nil, err
	}
	return s.propose(c, request.Session, state.Command{SetCondition: &state.SetCondition{
		ID:   i.ID,
		From: i.Condition,
		To:   to,
		By:   c.operator,
	}})
}

func (s *server) moveInstance(c *call) (any, error) {
	var request MoveRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if request.To == "" {
		return nil, badRequest("to: expected the name of a pool")
	}
	i, err := s.readInstance(c)
	if err != nil {
		return nil, err
	}
	return s.propose(c, request.Session, state.Command{MoveInstance: &state.MoveInstance{
		ID:    i.ID,
		From:  i.Pool,
		To:    request.To,
		Epoch: i.PoolEpoch,
	}})
}
