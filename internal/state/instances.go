package state

// Bounds of instances and of one command about them.
const (
	maxInstances       = 20_000
	maxUpserts         = 1024
	maxSlots           = 10_000
	firstPoolEpoch     = 1
	maxResourceMilli   = 1 << 30
	maxResourceMBytes  = 1 << 40
	maxResourceDevices = 1 << 20
)

func (s *State) upsertInstances(c *UpsertInstances) *Error {
	if n := len(c.Instances); n == 0 || n > maxUpserts {
		return reject(CodeInvalid, "%d instances in one command, expected 1 to %d", n, maxUpserts)
	}
	for i := range c.Instances {
		if err := s.CheckInstance(&c.Instances[i]); err != nil {
			return err
		}
	}
	for i := range c.Instances {
		s.upsert(&c.Instances[i])
	}
	return nil
}

// CheckInstance returns why an announced instance would be rejected, or nil.
func (s *State) CheckInstance(n *Instance) *Error {
	if err := checkName("instance", n.ID); err != nil {
		return err
	}
	if n.Slots < 0 || n.Slots > maxSlots {
		return reject(CodeInvalid, "instance %q has %d slots, expected 0 to %d", n.ID, n.Slots, maxSlots)
	}
	r := n.Resources
	if r.MilliCPU < 0 || r.MilliCPU > maxResourceMilli || r.MemoryMB < 0 || r.MemoryMB > maxResourceMBytes ||
		r.Accelerators < 0 || r.Accelerators > maxResourceDevices {
		return reject(CodeInvalid, "instance %q has resources out of range", n.ID)
	}
	if s.Instances[n.ID] != nil {
		return nil
	}
	if !s.HasPool(n.Pool) {
		return reject(CodeNotFound, "instance %q announces pool %q, which the rules do not declare", n.ID, n.Pool)
	}
	if len(s.Instances) >= maxInstances {
		return reject(CodeBudget, "%d instances are known, at most %d are allowed", len(s.Instances), maxInstances)
	}
	return nil
}

// Changes tells whether an announcement differs from what is committed.
func (s *State) Changes(n *Instance) bool {
	known := s.Instances[n.ID]
	return known == nil || *known != withInventory(*known, n)
}

// upsert adds an instance or updates the inventory of a known one, whose pool,
// epoch and condition stay as committed.
func (s *State) upsert(n *Instance) {
	if !s.Changes(n) {
		return
	}
	next := Instance{
		ID: n.ID, Pool: n.Pool, PoolEpoch: firstPoolEpoch, Condition: Active,
		ConditionSince: s.Clock, LastMaintained: s.Clock,
	}
	if known := s.Instances[n.ID]; known != nil {
		next = *known
	}
	s.putInstance(withInventory(next, n))
	s.reconsider(next.Pool)
}

// withInventory returns the instance with the announced inventory.
func withInventory(n Instance, announced *Instance) Instance {
	n.DataCentre, n.Rack, n.Region = announced.DataCentre, announced.Rack, announced.Region
	n.Resources, n.Slots = announced.Resources, announced.Slots
	return n
}

func (s *State) putInstance(n Instance) {
	n.Index = s.Index
	s.Instances[n.ID] = &n
	s.changed(kindInstance, n.ID)
}

// forgetInstances removes lost instances, all or none. One that runs tasks
// stays, because their leases have not ended for certain.
func (s *State) forgetInstances(c *ForgetInstances) *Error {
	if n := len(c.IDs); n == 0 || n > maxUpserts {
		return reject(CodeInvalid, "%d instances in one command, expected 1 to %d", n, maxUpserts)
	}
	for _, id := range c.IDs {
		n := s.Instances[id]
		switch {
		case n == nil:
			return reject(CodeNotFound, "instance %q is not known", id)
		case n.Condition != Lost:
			return reject(CodeStale, "instance %q is %s, not %s", id, n.Condition, Lost)
		case s.TasksOn(id) > 0:
			return reject(CodeStale, "instance %q still has %d tasks", id, s.TasksOn(id))
		}
	}
	for _, id := range c.IDs {
		delete(s.Instances, id)
		s.changed(kindInstance, id)
	}
	return nil
}

// moveInstance gives an instance to another pool under a new epoch. The stated
// pool and epoch must be the committed ones, so that of two planners only one
// moves it.
func (s *State) moveInstance(c *MoveInstance) *Error {
	n := s.Instances[c.ID]
	if n == nil {
		return reject(CodeNotFound, "instance %q is not known", c.ID)
	}
	if n.Pool != c.From || n.PoolEpoch != c.Epoch {
		return reject(CodeStale, "instance %q is in pool %q with epoch %d, not in %q with epoch %d", c.ID, n.Pool, n.PoolEpoch, c.From, c.Epoch)
	}
	if c.From == c.To {
		return reject(CodeInvalid, "instance %q is in pool %q already", c.ID, c.To)
	}
	if !s.HasPool(c.To) {
		return reject(CodeNotFound, "pool %q is not declared by rules version %d", c.To, s.Config.Version)
	}
	if err := s.checkPoolSizes(c); err != nil {
		return err
	}
	next := *n
	next.Pool = c.To
	next.PoolEpoch++
	s.lend(&next, c.From)
	s.putInstance(next)
	s.reconsider(c.To)
	return nil
}

// checkPoolSizes rejects a move that takes a pool below its minimum or above
// its maximum number of instances.
func (s *State) checkPoolSizes(c *MoveInstance) *Error {
	from, to := 0, 0
	for _, n := range s.Instances {
		switch {
		case n.Pool == c.From && n.Condition != Lost:
			from++
		case n.Pool == c.To:
			to++
		}
	}
	if rule, ok := s.rules.Pools[c.From]; ok && from <= rule.Min {
		return reject(CodeBudget, "pool %q has %d instances and needs %d (rules line %d, asked for by %s)", c.From, from, rule.Min, rule.Line, rule.Asked)
	}
	if rule := s.rules.Pools[c.To]; rule.Max > 0 && to >= rule.Max {
		return reject(CodeBudget, "pool %q has %d instances of at most %d (rules line %d, asked for by %s)", c.To, to, rule.Max, rule.Line, rule.Asked)
	}
	return nil
}

// lend keeps the pool that a lent instance goes back to.
func (s *State) lend(n *Instance, from string) {
	switch {
	case n.HomePool == n.Pool:
		n.HomePool = ""
	case n.HomePool == "" && from == s.rules.Spare:
		n.HomePool = from
	}
}
