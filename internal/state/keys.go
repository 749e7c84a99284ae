package state

import "time"

// timeLayout is the layout of times in rejection texts.
const timeLayout = time.RFC3339

// Limits on the length of names and on the number of keys.
const (
	maxNameBytes = 128
	maxKeys      = 20_000
)

func (s *State) giveKey(c *GiveKey) *Error {
	if err := checkName("key", c.ID); err != nil {
		return err
	}
	if s.rules == nil {
		return reject(CodeNotFound, "team %q is not declared: no rules are in force", c.Team)
	}
	if _, ok := s.rules.Teams[c.Team]; !ok {
		return reject(CodeNotFound, "team %q is not declared by rules version %d", c.Team, s.Config.Version)
	}
	if k := s.Keys[c.ID]; k != nil {
		return reject(CodeConflict, "key %q was given to team %q by %s at %s", c.ID, k.Team, k.GivenBy, k.GivenAt.Format(timeLayout))
	}
	if c.Hash == ([32]byte{}) {
		return reject(CodeInvalid, "key %q has no hash", c.ID)
	}
	if len(s.Keys) >= maxKeys && !s.dropOldestWithdrawnKey() {
		return reject(CodeBudget, "%d keys are in use, at most %d are allowed", len(s.Keys), maxKeys)
	}
	s.Keys[c.ID] = &Key{ID: c.ID, Team: c.Team, Hash: c.Hash, GivenAt: s.Clock, GivenBy: c.By, Index: s.Index}
	s.recordChange(kindKey, c.ID)
	return nil
}

func (s *State) withdrawKey(c *WithdrawKey) *Error {
	k := s.Keys[c.ID]
	if k == nil {
		return reject(CodeNotFound, "key %q is not known", c.ID)
	}
	if k.Withdrawn() {
		return nil // a withdrawal is permanent: the first one stands
	}
	next := *k
	next.WithdrawnAt = s.Clock
	next.WithdrawnBy = c.By
	next.Index = s.Index
	s.Keys[c.ID] = &next
	s.recordChange(kindKey, c.ID)
	return nil
}

// dropOldestWithdrawnKey removes a withdrawn key to make room for a new one and
// reports whether there was one. The dropped key is still refused, because its
// hash is no longer known.
func (s *State) dropOldestWithdrawnKey() bool {
	var oldest *Key
	for _, k := range s.Keys {
		if !k.Withdrawn() {
			continue
		}
		if oldest == nil || k.Index < oldest.Index {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.Keys, oldest.ID)
	s.recordChange(kindKey, oldest.ID)
	return true
}

// checkName rejects a name that is empty, too long, or contains a space, a slash
// or a control character.
func checkName(what, name string) *Error {
	if name == "" || len(name) > maxNameBytes {
		return reject(CodeInvalid, "%s name has %d bytes, expected 1 to %d", what, len(name), maxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r == '/' || r == 0x7f {
			return reject(CodeInvalid, "%s name %q holds a space, slash or control character", what, name)
		}
	}
	return nil
}
