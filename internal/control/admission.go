package control

import (
	"time"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
)

// Admission configures unattended membership: replicas that are not listed as
// members may join the group, and learners replace voters that stay silent.
type Admission struct {
	// Voters is the number of voters up to which the group grows. Further
	// replicas stay learners and replace lost voters.
	Voters int
	// ReplaceAfter is how long a voter has to be silent before a learner may
	// replace it. With a shorter time, lost voters are replaced sooner, but a
	// voter that only restarts may lose its vote and come back as a learner.
	ReplaceAfter time.Duration
}

const (
	// learnerTimeout is how long a learner may be silent before it is removed. A
	// learner that was replaced for good never comes back by itself.
	learnerTimeout = 20 * time.Second
	// pruneInterval is the time between two checks for silent learners.
	pruneInterval = time.Second
	// maxPromotionLag is the number of log entries that a learner may be behind
	// when it replaces a voter.
	maxPromotionLag = 256
	// rejoinAfter is how long a voter knows no leader before it asks to join
	// again, because it may have been removed while it was unreachable. It is
	// longer than an election.
	rejoinAfter = 2 * time.Second
)

// admit carries out the next step of adding a replica to the group. A silent
// voter is removed before the learner that replaces it is promoted, so that the
// quorum never exceeds the number of replicas that are up.
func (r *Replica) admit(m consensus.Member) error {
	known, member := r.membership.Find(m.ID)
	full := r.membership.Voters() >= r.options.Admission.Voters
	if !member || known.Voter || !full {
		return r.joinError(r.core.Join(m))
	}
	if known.Addr != m.Addr {
		return r.joinError(r.core.Join(m))
	}
	lost, ok := r.voterToReplace(m.ID)
	if !ok {
		return &peer.RemoteError{Code: codeJoinPending, Text: "the group has all its voters; the replica stays a learner"}
	}
	r.log.Info("Removing a silent voter to promote a learner.", "voter", lost.Name, "learner", m.Name)
	return r.joinError(false, r.core.Remove(lost.ID))
}

func (r *Replica) joinError(finished bool, err error) error {
	switch {
	case err != nil:
		return &peer.RemoteError{Code: codeJoinPending, Text: err.Error()}
	case !finished:
		return &peer.RemoteError{Code: codeJoinPending, Text: "the replica is being added"}
	}
	return nil
}

// voterToReplace returns the voter that has been silent for the longest time, if
// that is at least Admission.ReplaceAfter and the learner has caught up.
func (r *Replica) voterToReplace(learner consensus.ReplicaID) (consensus.Member, bool) {
	status := r.core.Status()
	var lost consensus.Member
	longest := int(r.options.Admission.ReplaceAfter / tick)
	for _, s := range status.Replicas {
		if s.ID == learner && s.Match+maxPromotionLag < status.Commit {
			return consensus.Member{}, false
		}
		m, ok := status.Membership.Find(s.ID)
		if ok && m.Voter && s.ID != r.id && s.TicksSinceContact >= longest {
			lost, longest = m, s.TicksSinceContact
		}
	}
	return lost, lost.ID != 0
}

// pruneLearners removes a learner that has been silent for learnerTimeout.
func (r *Replica) pruneLearners(now time.Time) {
	if r.options.Admission == nil || now.Sub(r.lastLearnerPrune) < pruneInterval {
		return
	}
	r.lastLearnerPrune = now
	status := r.core.Status()
	for _, s := range status.Replicas {
		m, ok := status.Membership.Find(s.ID)
		if !ok || m.Voter || s.TicksSinceContact < int(learnerTimeout/tick) {
			continue
		}
		if err := r.core.Remove(s.ID); err != nil {
			r.log.V(1).Info("Could not remove a silent learner; will retry.", "learner", m.Name, "reason", err.Error())
		}
		return
	}
}

// rejoinDue reports whether this voter has known no leader for so long that it
// may have been removed from the group.
func (r *Replica) rejoinDue(now time.Time) bool {
	if r.core.Leader() != 0 || r.joining.leaderSeen.IsZero() {
		r.joining.leaderSeen = now
	}
	return r.options.Admission != nil && now.Sub(r.joining.leaderSeen) >= rejoinAfter
}
