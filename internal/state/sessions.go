package state

const (
	// maxAnswers is the number of answers remembered for each client. A client
	// has fewer commands than this under way at a time.
	maxAnswers = 64
	// maxClients is the number of clients whose answers are remembered. At 1,500
	// changes a day, each by a client of its own, this covers more than two days.
	maxClients = 4096
)

// remembered returns the first answer to a command that was sent again. A
// sequence number so old that its answer was dropped is rejected as stale,
// because running the command again could repeat its effect.
func (s *State) remembered(id Session) (Result, bool) {
	if id.Client == "" {
		return Result{}, false
	}
	log := s.Sessions[id.Client]
	if log == nil {
		return Result{}, false
	}
	if r, ok := log.Results[id.Sequence]; ok {
		return r, true
	}
	if id.Sequence+maxAnswers <= log.Highest {
		return Result{Index: s.Index, Err: reject(CodeStale,
			"the answer to sequence %d of client %q is no longer kept; the highest sequence is %d", id.Sequence, id.Client, log.Highest)}, true
	}
	return Result{}, false
}

// remember keeps the answer to a command of a client and drops the oldest ones.
func (s *State) remember(id Session, r Result) {
	if id.Client == "" {
		return
	}
	log := s.Sessions[id.Client]
	if log == nil {
		if len(s.Sessions) >= maxClients {
			s.dropIdleClient()
		}
		log = &ClientLog{Results: map[uint64]Result{}}
		s.Sessions[id.Client] = log
	}
	log.Results[id.Sequence] = r
	log.Highest = max(log.Highest, id.Sequence)
	log.LastAt = s.Clock
	for sequence := range log.Results {
		if sequence+maxAnswers <= log.Highest {
			delete(log.Results, sequence)
		}
	}
}

// dropIdleClient forgets the client that sent nothing for the longest time.
func (s *State) dropIdleClient() {
	idle := ""
	for client, log := range s.Sessions {
		if idle == "" || log.LastAt.Before(s.Sessions[idle].LastAt) ||
			(log.LastAt.Equal(s.Sessions[idle].LastAt) && client < idle) {
			idle = client
		}
	}
	delete(s.Sessions, idle)
}
