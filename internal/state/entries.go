package state

// maxEntries bounds the registered entry instances.
const maxEntries = 256

// registerEntry adds an entry instance or replaces an earlier incarnation of it.
// Its Index is that of the registration, so that an assignment with a lower index
// was made to an earlier incarnation.
func (s *State) registerEntry(e *Entry) *Error {
	if err := checkName("entry instance", e.ID); err != nil {
		return err
	}
	if e.Incarnation == 0 {
		return reject(CodeInvalid, "entry instance %q has no incarnation", e.ID)
	}
	known := s.Entries[e.ID]
	if known != nil && e.Incarnation < known.Incarnation {
		return reject(CodeStale, "entry instance %q has incarnation %d, a newer one than %d", e.ID, known.Incarnation, e.Incarnation)
	}
	if known != nil && e.Incarnation == known.Incarnation {
		return nil // registered already
	}
	if known == nil && len(s.Entries) >= maxEntries {
		return reject(CodeBudget, "%d entry instances are registered, at most %d are allowed", len(s.Entries), maxEntries)
	}
	next := *e
	next.Index = s.Index
	s.Entries[e.ID] = &next
	s.recordChange(kindEntry, e.ID)
	return nil
}

func (s *State) expireEntry(c *ExpireEntry) *Error {
	known := s.Entries[c.ID]
	if known == nil {
		return reject(CodeNotFound, "entry instance %q is not registered", c.ID)
	}
	if known.Incarnation != c.Incarnation {
		return reject(CodeStale, "entry instance %q has incarnation %d, not %d", c.ID, known.Incarnation, c.Incarnation)
	}
	delete(s.Entries, c.ID)
	s.recordChange(kindEntry, c.ID)
	return nil
}

// RegisteredSince reports whether the entry instance is registered and is still the
// incarnation that was registered at index.
func (s *State) RegisteredSince(id string, index uint64) bool {
	e := s.Entries[id]
	return e != nil && e.Index <= index
}

// HasStaleAssignment reports whether a pool is still assigned to an earlier
// registration of the entry instance.
func (s *State) HasStaleAssignment(e *Entry) bool {
	for _, a := range s.Assignments {
		if a.Dispatcher == e.ID && a.Index < e.Index {
			return true
		}
	}
	return false
}
