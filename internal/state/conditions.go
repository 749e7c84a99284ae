package state

// conditionTransitions lists the valid next conditions of each condition.
var conditionTransitions = map[Condition][]Condition{
	Active:    {Draining, Lost},
	Draining:  {Drained, Active, Lost},
	Drained:   {Rebooting, Active, Lost},
	Rebooting: {Active, Lost},
	Lost:      {Active},
}

// setCondition changes the condition of an instance. The change is rejected as
// stale unless the committed condition is the stated one.
func (s *State) setCondition(c *SetCondition) *Error {
	n := s.Instances[c.ID]
	if n == nil {
		return reject(CodeNotFound, "instance %q is not known", c.ID)
	}
	if n.Condition != c.From {
		return reject(CodeStale, "instance %q is %s, not %s", c.ID, n.Condition, c.From)
	}
	allowed := false
	for _, to := range conditionTransitions[c.From] {
		allowed = allowed || to == c.To
	}
	if !allowed {
		return reject(CodeInvalid, "instance %q cannot go from %s to %s", c.ID, c.From, c.To)
	}
	if err := s.checkCondition(n, c); err != nil {
		return err
	}
	next := *n
	next.Condition = c.To
	next.ConditionSince = s.Clock
	if c.Wave != "" {
		next.Wave = c.Wave
	}
	if c.To == Active {
		next.Wave = ""
		if c.From == Rebooting {
			next.LastMaintained = s.Clock
			s.markMaintained(n.Wave, n.ID)
		}
	}
	s.putInstance(next)
	return nil
}

// checkCondition rejects a drain that a budget or a wave doesn't allow, and the
// condition Drained while tasks still run on the instance.
func (s *State) checkCondition(n *Instance, c *SetCondition) *Error {
	switch c.To {
	case Draining:
		if c.Wave != "" {
			if err := s.checkWaveDrain(c.Wave, c.ID); err != nil {
				return err
			}
		}
		return s.checkBudgets(n)
	case Drained:
		if tasks := s.TasksOn(c.ID); tasks > 0 {
			return reject(CodeStale, "instance %q still runs %d tasks", c.ID, tasks)
		}
	}
	return nil
}
