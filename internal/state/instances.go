package state

// Limits on instances and on the instances of one command.
const (
	maxInstances           = 20_000
	maxInstancesPerCommand = 1024
	maxSlots               = 10_000
	firstPoolEpoch         = 1
	maxMilliCPU            = 1 << 30
	maxMemoryMB            = 1 << 40
	maxAccelerators        = 1 << 20
)

func (s *State) upsertInstances(c *UpsertInstances) *Error {
	if n := len(c.Instances); n == 0 || n > maxInstancesPerCommand {
		return reject(CodeInvalid, "%d instances in one command, expected 1 to %d", n, maxInstancesPerCommand)
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

// CheckInstance returns the error with which an announced instance would be
// rejected, or nil.
func (s *State) CheckInstance(n *Instance) *Error {
	if err := checkName("instance", n.ID); err != nil {
		return err
	}
	if n.Slots < 0 || n.Slots > maxSlots {
		return reject(CodeInvalid, "instance %q has %d slots, expected 0 to %d", n.ID, n.Slots, maxSlots)
	}
	r := n.Resources
	if r.MilliCPU < 0 || r.MilliCPU > maxMilliCPU || r.MemoryMB < 0 || r.MemoryMB > maxMemoryMB ||
		r.Accelerators < 0 || r.Accelerators > maxAccelerators {
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

// InstanceChanged reports whether the announced instance is unknown or its inventory
// differs from the committed one.
func (s *State) InstanceChanged(n *Instance) bool {
	known := s.Instances[n.ID]
	return known == nil || *known != withInventory(*known, n)
}

// upsert adds an instance or updates the inventory of a known one. The pool,
// epoch and condition of a known instance stay as committed.
func (s *State) upsert(n *Instance) {
	if !s.InstanceChanged(n) {
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
	s.requeueRefused(next.Pool)
}

// withInventory returns a copy of n with the announced inventory.
func withInventory(n Instance, announced *Instance) Instance {
	n.DataCentre, n.Rack, n.Region = announced.DataCentre, announced.Rack, announced.Region
	n.Resources, n.Slots = announced.Resources, announced.Slots
	return n
}

func (s *State) putInstance(n Instance) {
	n.Index = s.Index
	s.Instances[n.ID] = &n
	s.recordChange(kindInstance, n.ID)
}

// forgetInstances removes lost instances, all or none. An instance that has
// tasks can't be removed, because their leases may not have expired.
func (s *State) forgetInstances(c *ForgetInstances) *Error {
	if n := len(c.IDs); n == 0 || n > maxInstancesPerCommand {
		return reject(CodeInvalid, "%d instances in one command, expected 1 to %d", n, maxInstancesPerCommand)
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
		s.recordChange(kindInstance, id)
	}
	return nil
}

// moveInstance moves an instance to another pool under a new epoch. The stated
// pool and epoch must be the committed ones, so that only one of two concurrent
// planners moves it.
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
	s.updateHomePool(&next, c.From)
	s.putInstance(next)
	s.requeueRefused(c.To)
	return nil
}

// checkPoolSizes rejects a move that would leave a pool with fewer instances than
// its minimum or more than its maximum. Lost instances don't count towards the
// minimum of the source pool.
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
		return reject(CodeBudget, "pool %q has %d instances and needs %d (rules line %d, asked for by %s)", c.From, from, rule.Min, rule.Line, rule.RequestedBy)
	}
	if rule := s.rules.Pools[c.To]; rule.Max > 0 && to >= rule.Max {
		return reject(CodeBudget, "pool %q has %d instances of at most %d (rules line %d, asked for by %s)", c.To, to, rule.Max, rule.Line, rule.RequestedBy)
	}
	return nil
}

// updateHomePool sets the home pool of an instance that has been lent by the spare
// pool, and clears it when the instance has returned there.
func (s *State) updateHomePool(n *Instance, from string) {
	switch {
	case n.HomePool == n.Pool:
		n.HomePool = ""
	case n.HomePool == "" && from == s.rules.Spare:
		n.HomePool = from
	}
}
