package scheduling

import "time"

const (
	// maxTrialShare is the part of a pool's workers that may run tasks that are suspected of
	// crashing their workers. A single team gets half of it.
	maxTrialShare = 0.25
	// maxClearedShare is the part of a pool's workers that may be set aside for suspects
	// while they still run other tasks.
	maxClearedShare = 0.1
	// idleShare is the part of a pool's processors from which on trials are not limited if
	// it is free.
	idleShare = 0.5
	// trialPatience is how long suspects wait for a worker without other jobs while the pool
	// is idle. It is well below the time that a task may wait while its pool has room.
	// maxTrialWait is the same for a pool in use.
	trialPatience = 2 * time.Second
	maxTrialWait  = 10 * time.Second
	// longRunningTrialWait is the same for a long-running task, which has to run again within
	// 6 s. The loss of its worker takes up to 2 s of that to notice.
	longRunningTrialWait = 4 * time.Second
)

// mayTry reports whether the tasks of an isolated demand may be placed: a worker of the pool
// is already set aside for its job, or one more may be.
func (p *placer) mayTry(d *Demand) bool {
	idle := p.idle(d.Pool)
	d.exposed = d.TrialWait >= d.maxTrialWait() || idle && d.TrialWait >= trialPatience
	if idle || d.exposed {
		return true
	}
	set, ofTeam := 0, 0
	for _, w := range p.byPool[d.Pool] {
		switch {
		case w.TrialJob == d.Key.Job:
			return true
		case w.TrialJob != "":
			set++
			if w.TrialTeam == d.Team {
				ofTeam++
			}
		}
	}
	most := max(1, int(maxTrialShare*float64(len(p.byPool[d.Pool]))))
	return set < most && ofTeam < max(1, most/2)
}

// maxTrialWait returns how long the suspects of a demand wait for a worker without other jobs.
func (d *Demand) maxTrialWait() time.Duration {
	if d.Step.LongRunning {
		return longRunningTrialWait
	}
	return maxTrialWait
}

// AvoidCrashed keeps the tasks of a demand off the workers that crashed under tasks of its step, so
// that a task which crashes its workers is told apart from a worker that crashes by itself. These
// workers are the last resort if the other usable ones can't run the tasks, or have not done so for
// the longest time that a trial waits.
func (d *Demand) AvoidCrashed(crashed map[string]bool, usable []*Worker) {
	if len(crashed) == 0 {
		return
	}
	if d.TrialWait < d.maxTrialWait() && d.RoomOn(usable, func(w *Worker) bool { return !crashed[w.ID] }) {
		d.AvoidedWorkers = crashed
	} else {
		d.LastResorts = crashed
	}
}

// keepsApart reports whether a risky demand must not use the workers with long-running tasks
// of its pool: many workers crash, and others can run its tasks. It is decided once in a round.
func (p *placer) keepsApart(d *Demand) bool {
	if !d.Risky || d.Step.LongRunning || !p.in.CrashingPools[d.Pool] {
		return false
	}
	if !d.apartKnown {
		d.apartKnown = true
		d.apart = d.RoomOn(p.byPool[d.Pool], func(w *Worker) bool { return w.LongRunning == 0 && d.MayRunOn(w) })
	}
	return d.apart
}

// idle reports whether trials cost a pool nothing because much of it is free.
func (p *placer) idle(pool string) bool {
	var free, all int64
	for _, w := range p.byPool[pool] {
		free += max(w.Free.MilliCPU, 0)
		all += w.Capacity.MilliCPU
	}
	return float64(free) >= idleShare*float64(all)
}

// mayShare reports whether the isolation of suspects allows a task of a demand on a worker.
func (d *Demand) mayShare(w *Worker) bool {
	switch {
	case w.TrialJob != "" && w.TrialJob != d.Key.Job:
		return false
	case !d.Isolated || d.exposed:
		return true
	}
	return !w.Shared && (w.OnlyJob == "" || w.OnlyJob == d.Key.Job)
}

// clearForTrial sets a worker aside until it is without other jobs: the one that the last
// round set aside, or the emptiest one. If each worker has long-running tasks, the pool needs
// another instance.
func (p *placer) clearForTrial(d *Demand) {
	var best *Worker
	cleared := 0
	for _, w := range p.byPool[d.Pool] {
		if p.out.Cleared[w.ID] != "" {
			cleared++
		}
		if w.TrialJob != "" || w.LongRunning > 0 || !d.MayRunOn(w) || d.places(w.Capacity.Minus(w.Lasting), d.staying(w)) == 0 {
			continue
		}
		if best == nil || d.prefersToClear(w, best) {
			best = w
		}
	}
	if best == nil && p.fitsNewInstance(d) {
		p.out.PoolsShort[d.Pool] = true
	}
	if best != nil && cleared < max(1, int(maxClearedShare*float64(len(p.byPool[d.Pool])))) {
		best.TrialJob, best.TrialTeam = d.Key.Job, d.Team
		p.out.Cleared[best.ID] = d.Key.Job
	}
}

func (d *Demand) prefersToClear(w, other *Worker) bool {
	if own, otherOwn := w.ClearedFor == d.Key.Job, other.ClearedFor == d.Key.Job; own != otherOwn {
		return own
	}
	if taken, otherTaken := w.ClearedFor != "", other.ClearedFor != ""; taken != otherTaken {
		return otherTaken // another job waits for it
	}
	return w.Free.MilliCPU > other.Free.MilliCPU
}
