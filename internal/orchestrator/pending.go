package orchestrator

import "cactusspar/internal/workload"

// pendingJobs returns the number of a queue's accepted jobs of which no task is known to have begun. The
// commit of a start shows nothing: its order may have no response for seconds.
func (o *Orchestrator) pendingJobs(queue string) int {
	n := 0
	for id, j := range o.leadership.State().Open() {
		if j.Queue == queue && !j.Status.Ended() && !o.begunJobs[id] {
			n++
		}
	}
	return n
}

// runBegun records that a worker has shown a run of a job that has not ended.
func (o *Orchestrator) runBegun(job string) {
	if o.unfinished[job] {
		o.begunJobs[job] = true
	}
}

// mayHaveBegun reports whether a task of a job may have begun under an earlier leader. A task that has
// nothing but its first run shows with the next list of its worker whether it has begun.
func mayHaveBegun(j *workload.Job) bool {
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			for _, t := range j.Occurrences[k].Steps[p].Tasks {
				if t.Done || t.LastRun > 1 || t.LastRun == 1 && len(t.Runs) == 0 {
					return true
				}
			}
		}
	}
	return false
}
