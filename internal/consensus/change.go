package consensus

// Join takes the next step that makes a replica a voter: it is added as a
// learner, in place of an unreachable replica of the same name, and promoted
// once it has synced all that was committed when Join first found it as a
// learner. Join reports true when the replica is a voter and that is committed.
// Until then it is called again and again; ErrChangePending and ErrNotCaughtUp
// tell that a step is under way.
func (c *Core) Join(m Member) (bool, error) {
	if err := c.canChange(); err != nil {
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

// AddLearner adds a replica that receives the log and has no vote. If an
// unreachable replica has the same name, it is removed by the same entry.
func (c *Core) AddLearner(m Member) error {
	if err := c.canChange(); err != nil {
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

// Promote gives a learner a vote. It fails with ErrNotCaughtUp until the
// learner has synced all that was committed when Promote was first called.
func (c *Core) Promote(id ReplicaID) error {
	if err := c.canChange(); err != nil {
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

// Remove removes a replica. The leader removes itself only after it has
// transferred the leadership.
func (c *Core) Remove(id ReplicaID) error {
	if err := c.canChange(); err != nil {
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

// canChange refuses a change while another one is pending, and before the first
// entry of the term is committed: until then, an uncommitted change of an
// earlier leader may still come into force elsewhere.
func (c *Core) canChange() error {
	if err := c.canPropose(); err != nil {
		return err
	}
	if c.log.membershipIndex() > c.log.commit || !c.committedOwnTerm() {
		return ErrChangePending
	}
	return nil
}

func (c *Core) addLearner(m Member) error {
	m.Voter = false
	members := c.log.membership()
	if old, ok := members.FindName(m.Name); ok {
		p := c.progress[old.ID]
		if p == nil || p.sinceContact < c.cfg.ElectionTicks {
			return ErrNameTaken
		}
		members = members.without(old.ID)
	}
	return c.proposeMembership(members.with(m))
}

func (c *Core) promote(m Member) error {
	p := c.progress[m.ID]
	if p.target == 0 {
		p.target = c.log.commit
	}
	if p.match < p.target || p.sinceContact >= c.cfg.ElectionTicks {
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
	c.appendOwn(EntryMembership, data)
	return c.err
}
