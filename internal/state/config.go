package state

import (
	"cactusspar/internal/rules"
)

const (
	// maxHistory is the number of earlier versions of the rules that are kept.
	maxHistory = 100
	// maxRulesBytes bounds the text of the rules, so that two copies of it and
	// their framing fit into one peer frame.
	maxRulesBytes = 1 << 20
)

// Rules returns the rules in force, or nil before the first version. The caller
// must not modify them.
func (s *State) Rules() *rules.Rules { return s.rules }

// TeamLimit returns the upper limit of a team, which is 0 for a team that the
// rules don't declare.
func (s *State) TeamLimit(team string) int {
	if s.rules == nil {
		return 0
	}
	return s.rules.Teams[team].Limit
}

// HasPool reports whether the rules in force declare the pool.
func (s *State) HasPool(pool string) bool {
	if s.rules == nil {
		return false
	}
	_, ok := s.rules.Pools[pool]
	return ok
}

func (s *State) applyRules(c *ApplyRules) *Error {
	if c.Expected != s.Config.Version {
		return reject(CodeConflict, "version %d is in force, applied by %s at %s; expected version %d",
			s.Config.Version, s.Config.Author, s.Config.At.Format(timeLayout), c.Expected)
	}
	if len(c.Text) > maxRulesBytes {
		return reject(CodeInvalid, "rules have %d bytes, at most %d are allowed", len(c.Text), maxRulesBytes)
	}
	parsed, err := rules.Parse("rules", []byte(c.Text))
	if err != nil {
		return reject(CodeInvalid, "%s", err)
	}
	if s.Config.Version > 0 {
		s.History = append(s.History, s.Config)
	}
	if drop := len(s.History) - maxHistory; drop > 0 {
		s.History = append([]Config(nil), s.History[drop:]...)
	}
	s.Config = Config{Version: s.Config.Version + 1, Text: c.Text, Author: c.Author, At: s.Clock, Index: s.Index}
	s.rules = parsed
	s.recordChange(kindConfig, "")
	s.requeueRefused("")
	return nil
}
