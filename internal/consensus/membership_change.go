package consensus

// Join takes the next step towards making a replica a voter. The replica is added
// as a learner, in place of an unreachable replica of the same name, and promoted
// once it has synced all entries that were committed when Join first found it as
// a learner. Join returns true once the replica is a voter in a committed
// membership. Callers repeat the call until then; ErrChangePending and
// ErrNotCaughtUp mean that a step is in progress.
func (c *Core) Join(m Member) (bool, error) {
	if err := c.canChangeMembership(); err != nil {
		return false, err
	}
	if m.ID == 0 || m.Name == "" {
		return false, ErrInvalidChange
	}
	members := c.log.membership()
	known, ok := members.Find(m.ID)
	if !ok {
		return false, c.addLearner(m)
	}
	m.Voter = known.Voter
	if m != known {
		if other, taken := members.FindName(m.Name); taken && other.ID != m.ID {
			return false, ErrNameTaken
		}
		return false, c.proposeMembership(members.with(m))
	}
	if known.Voter {
		return true, nil
	}
	return false, c.promote(m)
}

// AddLearner adds a replica that receives the log but does not vote. The same log
// entry removes an unreachable replica of the same name.
func (c *Core) AddLearner(m Member) error {
	if err := c.canChangeMembership(); err != nil {
		return err
	}
	if m.ID == 0 || m.Name == "" {
		return ErrInvalidChange
	}
	if _, ok := c.log.membership().Find(m.ID); ok {
		return ErrInvalidChange
	}
	return c.addLearner(m)
}

// Promote makes a learner a voter. It returns ErrNotCaughtUp until the learner
// has synced all entries that were committed when Promote was first called.
func (c *Core) Promote(id ReplicaID) error {
	if err := c.canChangeMembership(); err != nil {
		return err
	}
	m, ok := c.log.membership().Find(id)
	if !ok {
		return ErrUnknownMember
	}
	if m.Voter {
		return ErrInvalidChange
	}
	return c.promote(m)
}

// Remove removes a replica from the group. The leader cannot remove itself; it
// has to transfer the leadership first.
func (c *Core) Remove(id ReplicaID) error {
	if err := c.canChangeMembership(); err != nil {
		return err
	}
	members := c.log.membership()
	if _, ok := members.Find(id); !ok {
		return ErrUnknownMember
	}
	if id == c.cfg.ID {
		return ErrInvalidChange
	}
	return c.proposeMembership(members.without(id))
}

// canChangeMembership returns an error while another change is pending, and
// before the first entry of the leader's term is committed: until then, an
// uncommitted change of an earlier leader may still be committed by another one.
func (c *Core) canChangeMembership() error {
	if err := c.canPropose(); err != nil {
		return err
	}
	if c.log.membershipIndex() > c.log.commit || !c.committedInCurrentTerm() {
		return ErrChangePending
	}
	return nil
}

func (c *Core) addLearner(m Member) error {
	m.Voter = false
	members := c.log.membership()
	if old, ok := members.FindName(m.Name); ok {
		p := c.progress[old.ID]
		if p == nil || p.ticksSinceContact < c.cfg.ElectionTicks {
			return ErrNameTaken
		}
		members = members.without(old.ID)
	}
	return c.proposeMembership(members.with(m))
}

func (c *Core) promote(m Member) error {
	p := c.progress[m.ID]
	if p.promotionIndex == 0 {
		p.promotionIndex = c.log.commit
	}
	if p.match < p.promotionIndex || p.ticksSinceContact >= c.cfg.ElectionTicks {
		return ErrNotCaughtUp
	}
	m.Voter = true
	return c.proposeMembership(c.log.membership().with(m))
}

func (c *Core) proposeMembership(m Membership) error {
	data, err := encodeMembership(m)
	if err != nil {
		return err
	}
	c.appendToLeaderLog(EntryMembership, data)
	return c.err
}
