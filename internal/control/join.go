package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/wal"
)

const (
	// joinInterval is the time between two attempts of a replica without a vote to
	// join the group.
	joinInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe or join request to another replica.
	probeTimeout = time.Second
)

// probeResponse describes a replica to one that probes it.
type probeResponse struct {
	Self    Address             `msgpack:"s"`
	Replica consensus.ReplicaID `msgpack:"r"`
	// Fresh reports whether its data folder holds no state of any group.
	Fresh bool `msgpack:"f"`
	// Leader is the peer address of the leader it knows, or empty.
	Leader string `msgpack:"l"`
}

// joiner is the state of a replica's attempts to join a group.
type joiner struct {
	nextAttempt time.Time
	inProgress  bool
	// leaderSeen is when a leader was last known.
	leaderSeen time.Time
}

// fresh reports whether this replica holds no state of any group. A replica that
// has taken part in an election is not fresh.
func (r *Replica) fresh() bool {
	return len(r.membership.Members) == 0 && r.core.Term() == 0
}

// tickJoin looks for the group while this replica has no vote or may have lost it.
func (r *Replica) tickJoin(now time.Time) {
	if r.joining.inProgress || now.Before(r.joining.nextAttempt) || !r.stopDeadline.IsZero() {
		return
	}
	r.joining.nextAttempt = now.Add(joinInterval)
	members := r.membership
	if members.IsVoter(r.id) && !r.rejoinDue(now) {
		return
	}
	others := r.otherAddresses(members)
	r.joining.inProgress = true
	r.transport.wg.Go(func() { r.findGroup(others) })
}

// otherAddresses returns the peer addresses at which a group may be found.
func (r *Replica) otherAddresses(members consensus.Membership) []string {
	var out []string
	add := func(addr string) {
		if addr != r.options.Self.Peer && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for _, m := range r.options.Members {
		add(m.Peer)
	}
	for _, addr := range r.options.Seeds {
		add(addr)
	}
	for _, m := range members.Members {
		add(m.Addr)
	}
	return out
}

// findGroup probes the given replicas at the same time. It asks to join the group of the
// first one that knows a leader, and otherwise considers bootstrapping a group.
func (r *Replica) findGroup(others []string) {
	ctx, cancel := context.WithTimeout(r.transport.ctx, probeTimeout)
	defer cancel()
	results := make(chan *probeResponse, len(others))
	for _, addr := range others {
		r.transport.wg.Go(func() {
			response, err := r.transport.probe(ctx, addr)
			if err != nil {
				results <- nil
				return
			}
			results <- &response
		})
	}
	responses := make([]probeResponse, 0, len(others))
	for range others {
		response := <-results
		if response == nil {
			continue
		}
		responses = append(responses, *response)
		if response.Leader == "" {
			continue
		}
		r.askToJoin(response.Leader)
		_ = r.post(r.transport.ctx, func() { r.joining.inProgress = false })
		return
	}
	_ = r.post(r.transport.ctx, func() {
		r.joining.inProgress = false
		r.maybeBootstrap(responses)
	})
}

func (r *Replica) askToJoin(leader string) {
	ctx, cancel := context.WithTimeout(r.transport.ctx, probeTimeout)
	defer cancel()
	if err := r.transport.client(leader).Call(ctx, methodJoin, r.selfMember(), nil); err != nil {
		r.log.Info("Waiting to join the group.", "leader", leader, "reason", err.Error())
	}
}

func (r *Replica) selfMember() consensus.Member {
	return consensus.Member{ID: r.id, Name: r.options.Self.Name, Addr: r.options.Self.Peer}
}

// maybeBootstrap bootstraps a group if all initial members are fresh and this
// replica is the first of them. The others receive the initial snapshot from it.
func (r *Replica) maybeBootstrap(responses []probeResponse) {
	if !r.fresh() || len(r.options.Members) == 0 || r.options.Members[0].Name != r.options.Self.Name {
		return
	}
	ids := map[string]consensus.ReplicaID{r.options.Self.Name: r.id}
	for _, response := range responses {
		if !response.Fresh {
			return
		}
		ids[response.Self.Name] = response.Replica
	}
	members := make([]consensus.Member, 0, len(r.options.Members))
	for _, m := range r.options.Members {
		id, ok := ids[m.Name]
		if !ok {
			return // it did not answer, or is configured with another name
		}
		members = append(members, consensus.Member{ID: id, Name: m.Name, Addr: m.Peer, Voter: true})
	}
	if err := r.bootstrap(members); err != nil {
		r.log.Error(err, "Failed to bootstrap a group.")
		return
	}
	r.log.Info("Bootstrapped a group.", "members", len(members))
}

func (r *Replica) bootstrap(members []consensus.Member) error {
	data, err := state.New().Encode()
	if err != nil {
		return err
	}
	if err := r.awaitSave(); err != nil {
		return err
	}
	if !r.fullSince.IsZero() {
		return wal.ErrNoRoom
	}
	snapshot, hs := consensus.Bootstrap(members, data)
	if err := r.storage.Save(consensus.Ready{Snapshot: &snapshot, HardState: &hs, MustSync: true}); err != nil {
		return err
	}
	return r.startCore(consensus.DurableState{HardState: hs, Snapshot: &snapshot})
}

// probe asks the replica at an address for its identity and state.
func (t *transport) probe(ctx context.Context, addr string) (probeResponse, error) {
	var response probeResponse
	err := t.client(addr).Call(ctx, methodProbe, t.replica.options.Self, &response)
	return response, err
}

func (r *Replica) handleProbe(ctx context.Context) (any, error) {
	var response probeResponse
	err := r.wait(ctx, func(done func(error)) {
		response = probeResponse{Self: r.options.Self, Replica: r.id, Fresh: r.fresh(), Leader: r.leaderPeer()}
		done(nil)
	})
	return &response, err
}

// leaderPeer returns the leader's peer address, or "" while none is known.
func (r *Replica) leaderPeer() string {
	leader := r.core.Leader()
	if leader == r.id {
		return r.options.Self.Peer
	}
	return r.addressOf(leader).Peer
}

// Error codes of requests between replicas.
const (
	codeUnknownName = "unknown-name"
	codeJoinPending = "join-pending"
)

// handleJoin carries out the next step of adding a replica to the group. Without
// Options.Admission, only a replica whose name is a member already may join by
// itself; an operator adds the others.
func (r *Replica) handleJoin(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var m consensus.Member
	if err := peer.Decode(body, &m); err != nil {
		r.countRefusal("malformed-message")
		return nil, err
	}
	if m.Name != from.ID || from.Incarnation != uint64(m.ID) {
		r.countRefusal("wrong-sender")
		return nil, &peer.RemoteError{Code: codeUnknownName, Text: "the request is for another replica than its sender"}
	}
	err := r.wait(ctx, func(done func(error)) {
		if r.options.Admission != nil && r.core.IsLeader() {
			done(r.admit(m))
			return
		}
		if _, ok := r.membership.FindName(m.Name); !ok {
			r.countRefusal("unknown-replica")
			done(&peer.RemoteError{Code: codeUnknownName, Text: "replica " + m.Name + " is not a member; add it as an operator"})
			return
		}
		finished, err := r.core.Join(m)
		switch {
		case errors.Is(err, consensus.ErrNotLeader):
			err = r.notLeaderForPeers()
		case err != nil:
			err = &peer.RemoteError{Code: codeJoinPending, Text: err.Error()}
		case !finished:
			err = &peer.RemoteError{Code: codeJoinPending, Text: "the replica is being added"}
		}
		done(err)
	})
	return struct{}{}, err
}
