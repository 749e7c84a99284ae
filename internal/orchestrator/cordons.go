package orchestrator

import (
	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// ensureCordoned proposes the cordon of an instance's worker and reports whether it is
// committed. An order to the platform that ends the worker may be sent only then: it may
// take effect after a change of leader, and the next leader must not start tasks on the
// worker in the meantime.
func (o *Orchestrator) ensureCordoned(worker string) bool {
	w, s := o.leadership.State().Workers[worker], o.sessions[worker]
	if w == nil || s == nil || w.Cordoned {
		return true
	}
	o.proposeCordon(s, true)
	return false
}

// cordonRestarted cordons a worker that is back under its ID while the move of its instance may still
// be carried out: the cordon ended with the former incarnation. After an accepted move, the worker is
// the one that the move has started.
func (o *Orchestrator) cordonRestarted(worker string) {
	m, s := o.fleet.moves[o.fleet.instanceOf[worker]], o.sessions[worker]
	if m == nil || s == nil || m.worker != worker || m.incarnation == s.incarnation || m.accepted || !m.requested && !m.unanswered {
		return
	}
	s.cordoned = true
	o.ensureCordoned(worker)
}

func (o *Orchestrator) proposeCordon(s *session, cordoned bool) {
	if s.cordonProposed {
		return
	}
	s.cordonProposed = true
	o.pending.Cordons = append(o.pending.Cordons, workload.Cordon{Worker: s.id, Incarnation: s.incarnation, Cordoned: cordoned})
}

// cordonApplied continues what waited for a cordon.
func (o *Orchestrator) cordonApplied(c *workload.Cordon) {
	s := o.sessions[c.Worker]
	if s == nil || s.incarnation != c.Incarnation {
		return
	}
	s.cordonProposed, s.cordoned = false, c.Cordoned
	if !c.Cordoned {
		return
	}
	o.withdrawBlockedStarts(s)
	now := boottime.Now()
	for id, m := range o.fleet.moves {
		if m.worker == c.Worker {
			o.advanceMove(id, m, now)
		}
	}
}

func (o *Orchestrator) cordonsRefused(cordons []workload.Cordon) {
	for i := range cordons {
		if s := o.sessions[cordons[i].Worker]; s != nil {
			s.cordonProposed = false
		}
	}
}

// uncordon ends the cordon of a worker whose instance remains as it is.
func (o *Orchestrator) uncordon(s *session) {
	if w := o.leadership.State().Workers[s.id]; w == nil || !w.Cordoned && !s.cordonProposed {
		s.cordoned = false
		return
	}
	o.proposeCordon(s, false)
}

// releaseStaleCordons ends the committed cordons of workers whose instance is neither
// moved nor maintained: a former leader requested a move that didn't take place, or a
// move was given up while its cordon was proposed. The orders of former leaders can no
// longer take effect when this leader may send its own, so that a list requested from
// then on, and after this leader's last order for the instance, is final.
func (o *Orchestrator) releaseStaleCordons(listRequestedAt boottime.Instant) {
	if !o.platformAuthority.begunBy(listRequestedAt) {
		return
	}
	waves := o.openWaves()
	for id, s := range o.sessions {
		w, instance := o.leadership.State().Workers[id], o.fleet.instanceOf[id]
		if w == nil || !w.Cordoned || o.fleet.moves[instance] != nil || inWave(waves, instance) {
			continue
		}
		if listRequestedAt < o.fleet.lastOrderAt[instance].Add(orderTransit) {
			continue
		}
		if i, listed := o.fleet.instances[instance]; listed && i.Worker == id && i.State == executor.Up {
			o.Log.Info("Ended the cordon of an instance that was not moved.", "worker", id, "instance", instance)
			o.uncordon(s)
		}
	}
}
