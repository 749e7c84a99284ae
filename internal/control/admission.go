package control

import (
	"time"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
)

// Admission lets replicas that nobody has named join the group, and replaces
// voters that stay away.
type Admission struct {
	// Voters is the number of voters that the group grows to. Further replicas
	// are learners that replace lost voters.
	Voters int
	// ReplaceAfter is how long a voter has to be silent before a learner may take
	// its place. A shorter time repairs sooner but costs a voter that only
	// restarts a round trip through the learners.
	ReplaceAfter time.Duration
}

const (
	// learnerLimit is how long a learner may be silent before it is removed; a
	// machine that is replaced for good doesn't come back.
	learnerLimit = 20 * time.Second
	// pruneInterval is the time between two looks for silent learners.
	pruneInterval = time.Second
	// admissionLag is how many entries a learner may be behind and still count as
	// caught up enough to replace a voter.
	admissionLag = 256
	// forgottenAfter is how long a voter goes without a leader before it asks to
	// join again: it may have been removed while it was away. It is longer than
	// an election.
	forgottenAfter = 2 * time.Second
)

// admit takes the next step of a replica into the group. A silent voter is
// removed before the learner that replaces it is promoted, so that the quorum
// never grows beyond the replicas that are up.
func (r *Replica) admit(m consensus.Member) error {
	known, member := r.group.Find(m.ID)
	full := r.group.Voters() >= r.options.Admission.Voters
	if !member || known.Voter || !full {
		return r.joinStep(r.core.Join(m))
	}
	if known.Addr != m.Addr {
		return r.joinStep(r.core.Join(m))
	}
	lost, ok := r.replaceable(m.ID)
	if !ok {
		return &peer.RemoteError{Code: codeJoinPending, Text: "the group has all its voters; the replica stays a learner"}
	}
	r.log.Info("Removing a silent voter to promote a learner.", "voter", lost.Name, "learner", m.Name)
	return r.joinStep(false, r.core.Remove(lost.ID))
}

func (r *Replica) joinStep(finished bool, err error) error {
	switch {
	case err != nil:
		return &peer.RemoteError{Code: codeJoinPending, Text: err.Error()}
	case !finished:
		return &peer.RemoteError{Code: codeJoinPending, Text: "the replica is being added"}
	}
	return nil
}

// replaceable returns the voter that has been silent for longest, if it has been
// for long enough and the learner has caught up.
func (r *Replica) replaceable(learner consensus.ReplicaID) (consensus.Member, bool) {
	status := r.core.Status()
	var lost consensus.Member
	longest := int(r.options.Admission.ReplaceAfter / tick)
	for _, s := range status.Replicas {
		if s.ID == learner && s.Match+admissionLag < status.Commit {
			return consensus.Member{}, false
		}
		m, ok := status.Membership.Find(s.ID)
		if ok && m.Voter && s.ID != r.id && s.SilentTicks >= longest {
			lost, longest = m, s.SilentTicks
		}
	}
	return lost, lost.ID != 0
}

// pruneLearners removes learners that have gone for good.
func (r *Replica) pruneLearners(now time.Time) {
	if r.options.Admission == nil || now.Sub(r.lastPrune) < pruneInterval {
		return
	}
	r.lastPrune = now
	status := r.core.Status()
	for _, s := range status.Replicas {
		m, ok := status.Membership.Find(s.ID)
		if !ok || m.Voter || s.SilentTicks < int(learnerLimit/tick) {
			continue
		}
		if err := r.core.Remove(s.ID); err != nil {
			r.log.V(1).Info("Did not remove a silent learner yet.", "learner", m.Name, "reason", err.Error())
		}
		return
	}
}

// forgotten tells that this voter has known of no leader for so long that it may
// have been removed from the group.
func (r *Replica) forgotten(now time.Time) bool {
	if r.core.Leader() != 0 || r.joining.contact.IsZero() {
		r.joining.contact = now
	}
	return r.options.Admission != nil && now.Sub(r.joining.contact) >= forgottenAfter
}
