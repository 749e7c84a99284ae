package state

// transitions lists the conditions that may follow each condition.
var transitions = map[Condition][]Condition{
	Active:    {Draining, Lost},
	Draining:  {Drained, Active, Lost},
	Drained:   {Rebooting, Active, Lost},
	Rebooting: {Active, Lost},
	Lost:      {Active},
}

// setCondition changes the condition of an instance from a known one.
func (s *State) setCondition(c *SetCondition) *Error {
	n := s.Instances[c.ID]
	if n == nil {
		return reject(CodeNotFound, "instance %q is not known", c.ID)
	}
	if n.Condition != c.From {
		return reject(CodeStale, "instance %q is %s, not %s", c.ID, n.Condition, c.From)
	}
	allowed := false
	for _, to := range transitions[c.From] {
		allowed = allowed || to == c.To
	}
	if !allowed {
		return reject(CodeInvalid, "instance %q cannot go from %s to %s", c.ID, c.From, c.To)
	}
	if c.To == Draining {
		if err := s.checkBudgets(n); err != nil {
			return err
		}
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
		}
	}
	s.putInstance(next)
	return nil
}

// checkBudgets rejects a planned stop that would take more instances out of
// service than the budgets of its pool and failure domains allow. Unplanned
// losses count. (I1)
func (s *State) checkBudgets(n *Instance) *Error {
	if s.rules == nil {
		return reject(CodeBudget, "no rules are in force: no budget allows a planned stop")
	}
	unavailable := 0
	domains := map[string]map[string]bool{"rack": {}, "datacentre": {}, "region": {}}
	for _, other := range s.Instances {
		if other.Condition == Active && other != n {
			continue
		}
		if other.Pool == n.Pool {
			unavailable++
		}
		domains["rack"][other.DataCentre+"/"+other.Rack] = true
		domains["datacentre"][other.DataCentre] = true
		domains["region"][other.Region] = true
	}
	if budget := s.rules.Pools[n.Pool].Unavailable; unavailable > budget {
		return reject(CodeBudget, "pool %q would have %d instances unavailable, its budget is %d", n.Pool, unavailable, budget)
	}
	for _, d := range s.rules.Domains {
		if used := len(domains[d.Kind]); used > d.Unavailable {
			return reject(CodeBudget, "%d domains of kind %s would have unavailable instances, the budget is %d", used, d.Kind, d.Unavailable)
		}
	}
	return nil
}
