package operator

import (
	"cactusspar/internal/state"
)

func (s *server) listKeys(c *call) (any, error) {
	team := c.filter("team")
	return listPage(s, c,
		func(st *state.State) map[string]*state.Key { return st.Keys },
		func(k *state.Key) bool { return team(k.Team) },
		copyOf[state.Key])
}

func (s *server) giveKey(c *call) (any, error) {
	var request KeyRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if err := checkID("id", request.ID); err != nil {
		return nil, err
	}
	if request.Hash == (Hash{}) {
		return nil, badRequest("hash: expected the SHA-256 of the key")
	}
	return s.propose(c, request.Session, state.Command{GiveKey: &state.GiveKey{
		ID:   request.ID,
		Team: request.Team,
		Hash: request.Hash,
		By:   c.operator,
	}})
}

func (s *server) withdrawKey(c *call) (any, error) {
	var request SessionRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	return s.propose(c, request.Session, state.Command{WithdrawKey: &state.WithdrawKey{
		ID: c.params.ByName("id"),
		By: c.operator,
	}})
}
