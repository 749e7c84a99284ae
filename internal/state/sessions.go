package state

const (
	// maxResultsPerClient is the number of results stored for each client. It
	// exceeds the number of commands that a client has in flight at a time.
	maxResultsPerClient = 64
	// maxClientSessions is the number of clients whose results are stored. At 1,500
	// changes a day, each by a separate client, this covers more than two days.
	maxClientSessions = 4096
)

// storedResult returns the first result of a command that was sent again. A
// sequence number so old that its result has been dropped is rejected as stale,
// because executing the command again could repeat its effect.
func (s *State) storedResult(id Session) (Result, bool) {
	if id.Client == "" {
		return Result{}, false
	}
	session := s.Sessions[id.Client]
	if session == nil {
		return Result{}, false
	}
	if r, ok := session.Results[id.Sequence]; ok {
		return r, true
	}
	if id.Sequence+maxResultsPerClient <= session.Highest {
		return Result{Index: s.Index, Err: reject(CodeStale,
			"the answer to sequence %d of client %q is no longer kept; the highest sequence is %d", id.Sequence, id.Client, session.Highest)}, true
	}
	return Result{}, false
}

// storeResult stores the result of a client's command and drops its oldest ones.
func (s *State) storeResult(id Session, r Result) {
	if id.Client == "" {
		return
	}
	session := s.Sessions[id.Client]
	if session == nil {
		if len(s.Sessions) >= maxClientSessions {
			s.evictIdleClient()
		}
		session = &ClientSession{Results: map[uint64]Result{}}
		s.Sessions[id.Client] = session
	}
	session.Results[id.Sequence] = r
	session.Highest = max(session.Highest, id.Sequence)
	session.LastAt = s.Clock
	for sequence := range session.Results {
		if sequence+maxResultsPerClient <= session.Highest {
			delete(session.Results, sequence)
		}
	}
}

// evictIdleClient removes the session of the client that has been idle longest.
// Ties are broken by client name, so that every replica evicts the same one.
func (s *State) evictIdleClient() {
	idle := ""
	for client, session := range s.Sessions {
		if idle == "" || session.LastAt.Before(s.Sessions[idle].LastAt) ||
			(session.LastAt.Equal(s.Sessions[idle].LastAt) && client < idle) {
			idle = client
		}
	}
	delete(s.Sessions, idle)
}
