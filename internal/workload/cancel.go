package workload

import "time"

// EarlyCancel is the cancel of a job that is not known, and whose submission may still
// arrive: the caller had no answer to it, or it is delayed on its way.
type EarlyCancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job string
	// Queue and Team are those of the call, which decide whether it may cancel the job.
	Queue string
	Team  string
	// At is set by the state machine.
	At time.Time
}

const (
	// earlyCancelLifetime is how long an early cancel is kept. By default, ended jobs are
	// known for as long.
	earlyCancelLifetime = 4 * time.Minute
	// maxEarlyCancels bounds the early cancels that are kept. The oldest are dropped first.
	maxEarlyCancels = 4096
)

func (s *State) applyCancel(id string, now time.Time) {
	if j := s.Jobs[id]; j != nil && !j.Status.Ended() {
		s.endJob(j, Cancelled, now)
	}
}

// applyEarlyCancel cancels a job that was submitted in the meantime, or else keeps the cancel
// until the submission arrives.
func (s *State) applyEarlyCancel(c EarlyCancel, now time.Time) {
	if j := s.Jobs[c.Job]; j != nil {
		if s.covers(&c, j) {
			s.applyCancel(c.Job, now)
		}
		return
	}
	if _, known := s.EarlyCancels[c.Job]; !known && len(s.EarlyCancels) >= maxEarlyCancels {
		s.dropOldestEarlyCancel()
	}
	c.At = now
	s.EarlyCancels[c.Job] = c
}

// takeEarlyCancel reports whether a submitted job was cancelled before, and forgets the cancel.
func (s *State) takeEarlyCancel(j *Job, now time.Time) bool {
	c, ok := s.EarlyCancels[j.ID]
	if !ok || !s.covers(&c, j) {
		return false
	}
	delete(s.EarlyCancels, j.ID)
	return now.Sub(c.At) < earlyCancelLifetime
}

// covers reports whether the call that made an early cancel may cancel a job.
func (s *State) covers(c *EarlyCancel, j *Job) bool {
	return j.AccessibleTo(s.Topology.Queue(c.Queue), c.Team)
}

// renameEarlyCancels gives early cancels the new names of queues and teams that are renamed.
func (s *State) renameEarlyCancels(queues, teams map[string]string) {
	for id, c := range s.EarlyCancels {
		if name, ok := queues[c.Queue]; ok {
			c.Queue = name
		}
		if name, ok := teams[c.Team]; ok {
			c.Team = name
		}
		s.EarlyCancels[id] = c
	}
}

// dropOldestEarlyCancel drops the oldest early cancel. Ties are broken by ID, so that every
// replica drops the same one.
func (s *State) dropOldestEarlyCancel() {
	var oldest *EarlyCancel
	for _, c := range s.EarlyCancels {
		if oldest == nil || c.At.Before(oldest.At) || c.At.Equal(oldest.At) && c.Job < oldest.Job {
			oldest = &c
		}
	}
	delete(s.EarlyCancels, oldest.Job)
}
