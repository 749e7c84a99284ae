package state

import "cactusspar/internal/budget"

// checkBudgets rejects the drain of an instance if more instances would be out
// of service than the budgets of its pool and failure domains allow. Instances
// lost without a plan count too. It enforces invariant I1.
func (s *State) checkBudgets(n *Instance) *Error {
	if s.rules == nil {
		return reject(CodeBudget, "no rules are in force: no budget allows a planned stop")
	}
	ledger := budget.New(s.rules)
	for _, other := range s.Instances {
		if other.Condition != Active {
			ledger.MarkUnavailable(other.place())
		}
	}
	if err := ledger.CheckRoom(n.place()); err != nil {
		return reject(CodeBudget, "drain of instance %q: %s", n.ID, err)
	}
	return nil
}

// place returns the pool and failure domains whose budgets the instance counts
// against.
func (n *Instance) place() budget.Place {
	return budget.PlaceOf(n.Pool, n.Rack, n.DataCentre, n.Region)
}
