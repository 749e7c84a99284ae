package state

import "sort"

// maxWaves bounds the stored waves. Above it, the oldest ended waves are removed.
const maxWaves = 200

// startWave starts a wave over the instances of its pools. If two operators start
// waves over the same pool concurrently, the second receives a conflict that
// names the first.
func (s *State) startWave(c *StartWave) *Error {
	if err := checkName("wave", c.ID); err != nil {
		return err
	}
	if s.Waves[c.ID] != nil {
		return reject(CodeConflict, "wave %q was started before, by %s", c.ID, s.Waves[c.ID].By)
	}
	pools, err := s.wavePools(c.Pools)
	if err != nil {
		return err
	}
	if other, pool := s.findOpenWave(pools); other != nil {
		return reject(CodeConflict, "wave %q, started by %s, is %s over pool %q", other.ID, other.By, other.Status, pool)
	}
	only := map[string]bool{}
	for _, id := range c.Instances {
		if s.Instances[id] == nil {
			return reject(CodeNotFound, "instance %q is not known", id)
		}
		only[id] = true
	}
	w := Wave{ID: c.ID, Pools: c.Pools, Status: WaveRunning, StartedAt: s.Clock, By: c.By}
	for id, n := range s.Instances {
		if pools[n.Pool] && (len(only) == 0 || only[id]) {
			w.Todo = append(w.Todo, id)
		}
	}
	if len(w.Todo) == 0 {
		return reject(CodeInvalid, "wave %q: the pools hold no instance", c.ID)
	}
	sort.Strings(w.Todo)
	s.putWave(w)
	s.pruneWaves()
	return nil
}

// wavePools returns the set of the named pools, or of all pools if names is
// empty.
func (s *State) wavePools(names []string) (map[string]bool, *Error) {
	if s.rules == nil {
		return nil, reject(CodeNotFound, "no rules are in force")
	}
	pools := map[string]bool{}
	for _, name := range names {
		if !s.HasPool(name) {
			return nil, reject(CodeNotFound, "pool %q is not declared by rules version %d", name, s.Config.Version)
		}
		pools[name] = true
	}
	if len(names) == 0 {
		for name := range s.rules.Pools {
			pools[name] = true
		}
	}
	return pools, nil
}

// findOpenWave returns a running or paused wave that has an instance of one of
// the pools left to maintain, and the pool. The wave is nil if there is none.
func (s *State) findOpenWave(pools map[string]bool) (*Wave, string) {
	ids := make([]string, 0, len(s.Waves))
	for id := range s.Waves {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		w := s.Waves[id]
		if w.Ended() {
			continue
		}
		for _, todo := range w.Todo {
			if n := s.Instances[todo]; n != nil && pools[n.Pool] {
				return w, n.Pool
			}
		}
	}
	return nil, ""
}

// Ended reports whether the wave has been stopped or is done.
func (w *Wave) Ended() bool { return w.Status == WaveStopped || w.Status == WaveDone }

// waveTransitions lists the valid next statuses of each status.
var waveTransitions = map[WaveStatus][]WaveStatus{
	WaveRunning: {WavePaused, WaveStopped, WaveDone},
	WavePaused:  {WaveRunning, WaveStopped},
}

// controlWave changes the status of a wave. When a wave ends, the instances that
// it has drained and not yet rebooted return to service.
func (s *State) controlWave(c *ControlWave) *Error {
	w := s.Waves[c.ID]
	if w == nil {
		return reject(CodeNotFound, "wave %q is not known", c.ID)
	}
	if !contains(waveTransitions[w.Status], c.Status) {
		return reject(CodeInvalid, "wave %q cannot go from %s to %s", c.ID, w.Status, c.Status)
	}
	next := *w
	next.Status, next.Reason = c.Status, c.Reason
	if next.Ended() {
		next.EndedAt = s.Clock
		s.reactivateInstances(c.ID)
	}
	s.putWave(next)
	return nil
}

// reactivateInstances makes the draining and drained instances of a wave active
// again.
func (s *State) reactivateInstances(wave string) {
	for _, n := range s.Instances {
		if n.Wave == wave && (n.Condition == Draining || n.Condition == Drained) {
			next := *n
			next.Condition, next.ConditionSince, next.Wave = Active, s.Clock, ""
			s.putInstance(next)
		}
	}
}

// checkWaveDrain rejects a drain for a wave that is not running or has no
// maintenance of the instance left to do.
func (s *State) checkWaveDrain(wave, id string) *Error {
	w := s.Waves[wave]
	if w == nil {
		return reject(CodeNotFound, "wave %q is not known", wave)
	}
	if w.Status != WaveRunning {
		return reject(CodeStale, "wave %q is %s", wave, w.Status)
	}
	if !contains(w.Todo, id) {
		return reject(CodeStale, "wave %q has no instance %q left to do", wave, id)
	}
	return nil
}

// markMaintained moves an instance from the wave's Todo list to its Done list. A
// running wave with an empty Todo list is done.
func (s *State) markMaintained(wave, id string) {
	w := s.Waves[wave]
	if w == nil {
		return
	}
	next := *w
	next.Todo = without(w.Todo, id)
	next.Done = append(append([]string(nil), w.Done...), id)
	if len(next.Todo) == 0 && next.Status == WaveRunning {
		next.Status, next.EndedAt = WaveDone, s.Clock
	}
	s.putWave(next)
}

func (s *State) putWave(w Wave) {
	w.Index = s.Index
	s.Waves[w.ID] = &w
}

// pruneWaves removes the ended waves with the lowest index while more than
// maxWaves are stored.
func (s *State) pruneWaves() {
	for len(s.Waves) > maxWaves {
		oldest := ""
		for id, w := range s.Waves {
			if !w.Ended() {
				continue
			}
			o := s.Waves[oldest]
			if o == nil || w.Index < o.Index || w.Index == o.Index && id < oldest {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		delete(s.Waves, oldest)
	}
}

func contains[T comparable](list []T, item T) bool {
	for _, i := range list {
		if i == item {
			return true
		}
	}
	return false
}

func without(list []string, item string) []string {
	out := make([]string, 0, len(list))
	for _, i := range list {
		if i != item {
			out = append(out, i)
		}
	}
	return out
}
