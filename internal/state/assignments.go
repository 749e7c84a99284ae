package state

import "time"

// recordLifetime is how long the dispatcher of a pool keeps an idempotency record.
const recordLifetime = 120 * time.Second

// assignPools assigns pools to dispatchers, all or none. Previous, Since and the
// orphaned status are derived from the state and not taken from the command.
func (s *State) assignPools(c *AssignPools) *Error {
	if len(c.Assignments) == 0 {
		return reject(CodeInvalid, "no assignments")
	}
	seen := make(map[string]bool, len(c.Assignments))
	for i := range c.Assignments {
		a := &c.Assignments[i]
		if seen[a.Pool] {
			return reject(CodeInvalid, "pool %q is assigned twice", a.Pool)
		}
		seen[a.Pool] = true
		if err := s.checkAssignment(a); err != nil {
			return err
		}
	}
	for i := range c.Assignments {
		s.assign(&c.Assignments[i])
	}
	return nil
}

// checkAssignment validates a single assignment. A pool may be left without a
// dispatcher only if the rules no longer declare it.
func (s *State) checkAssignment(a *Assignment) *Error {
	var committed Assignment
	if known := s.Assignments[a.Pool]; known != nil {
		committed = *known
	}
	if a.Epoch != committed.Epoch+1 {
		return reject(CodeStale, "pool %q has epoch %d; an assignment needs epoch %d, not %d", a.Pool, committed.Epoch, committed.Epoch+1, a.Epoch)
	}
	if a.Dispatcher == "" {
		if s.HasPool(a.Pool) || a.Backup != "" || committed.Epoch == 0 {
			return reject(CodeInvalid, "pool %q is assigned to nobody", a.Pool)
		}
		return nil // the rules no longer declare the pool
	}
	if !s.HasPool(a.Pool) {
		return reject(CodeNotFound, "pool %q is not declared by rules version %d", a.Pool, s.Config.Version)
	}
	if s.Entries[a.Dispatcher] == nil {
		return reject(CodeNotFound, "entry instance %q is not registered", a.Dispatcher)
	}
	if a.Backup != "" && s.Entries[a.Backup] == nil {
		return reject(CodeNotFound, "entry instance %q is not registered", a.Backup)
	}
	if a.Backup == a.Dispatcher {
		return reject(CodeInvalid, "pool %q has entry instance %q as dispatcher and as backup", a.Pool, a.Backup)
	}
	return nil
}

// assign stores an assignment. If both the former dispatcher and its backup have
// ended or restarted since the former assignment, their idempotency records are
// lost, and the pool counts as orphaned for recordLifetime.
func (s *State) assign(a *Assignment) {
	next := Assignment{Pool: a.Pool, Epoch: a.Epoch, Dispatcher: a.Dispatcher, Backup: a.Backup, Since: a.Epoch, Index: s.Index}
	if known := s.Assignments[a.Pool]; known != nil {
		next.Previous = known.Dispatcher
		if known.Dispatcher == a.Dispatcher && s.RegisteredSince(known.Dispatcher, known.Index) {
			next.Since = known.Since
		}
		next.OrphanedUntil = known.OrphanedUntil
		if !s.RegisteredSince(known.Dispatcher, known.Index) && !s.RegisteredSince(known.Backup, known.Index) {
			next.OrphanedUntil = s.Clock.Add(recordLifetime)
		}
	}
	next.Orphaned = s.Clock.Before(next.OrphanedUntil)
	s.Assignments[a.Pool] = &next
	s.recordChange(kindAssignment, a.Pool)
}
