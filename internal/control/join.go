package control

import (
	"context"
	"errors"
	"time"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
)

const (
	// joinInterval is how often a replica outside of the group looks for one.
	joinInterval = 300 * time.Millisecond
	// probeTimeout bounds one question to another replica.
	probeTimeout = time.Second
)

// probeAnswer is what a replica says of itself.
type probeAnswer struct {
	Self    Address             `msgpack:"s"`
	Replica consensus.ReplicaID `msgpack:"r"`
	// Fresh tells that its data folder holds nothing of any group.
	Fresh bool `msgpack:"f"`
	// Leader is the address of the leader it knows of.
	Leader string `msgpack:"l"`
}

// joiner is the state of a replica's way into a group.
type joiner struct {
	next time.Time
	busy bool
	// contact is when a leader was last known.
	contact time.Time
}

// fresh tells that this replica holds nothing of any group. A replica that gave
// its vote to the former of a group is not fresh.
func (r *Replica) fresh() bool {
	return len(r.group.Members) == 0 && r.core.Term() == 0
}

// tickJoin looks for the group while this replica has no vote in it.
func (r *Replica) tickJoin(now time.Time) {
	if r.joining.busy || now.Before(r.joining.next) || !r.stopBy.IsZero() {
		return
	}
	r.joining.next = now.Add(joinInterval)
	members := r.group
	if members.IsVoter(r.id) && !r.forgotten(now) {
		return
	}
	others := r.otherAddresses(members)
	r.joining.busy = true
	r.transport.wg.Go(func() { r.look(others) })
}

// otherAddresses returns where a group may be found.
func (r *Replica) otherAddresses(members consensus.Membership) []string {
	var out []string
	for _, m := range r.options.Members {
		if m.Name != r.options.Self.Name {
			out = append(out, m.Peer)
		}
	}
	for _, addr := range r.options.Seeds {
		if addr != r.options.Self.Peer {
			out = append(out, addr)
		}
	}
	for _, m := range members.Members {
		if m.ID != r.id {
			out = append(out, m.Addr)
		}
	}
	return out
}

// look asks all initial members, and joins the group of one or forms one.
func (r *Replica) look(others []string) {
	answers := make([]probeAnswer, 0, len(others))
	for _, addr := range others {
		ctx, cancel := context.WithTimeout(r.transport.ctx, probeTimeout)
		if a, err := r.transport.probe(ctx, addr); err == nil {
			answers = append(answers, a)
		}
		cancel()
	}
	finish := func() {
		r.joining.busy = false
		r.maybeForm(answers)
	}
	for _, a := range answers {
		if a.Leader == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(r.transport.ctx, probeTimeout)
		err := r.transport.client(a.Leader).Call(ctx, methodJoin, r.asMember(), nil)
		cancel()
		if err != nil {
			r.log.Info("Waiting to join the group.", "leader", a.Leader, "reason", err.Error())
		}
		finish = func() { r.joining.busy = false }
		break
	}
	_ = r.post(r.transport.ctx, finish)
}

func (r *Replica) asMember() consensus.Member {
	return consensus.Member{ID: r.id, Name: r.options.Self.Name, Addr: r.options.Self.Peer}
}

// maybeForm forms a group if all initial members are fresh and this replica is
// the first of them. The others get the group's first snapshot from it.
func (r *Replica) maybeForm(answers []probeAnswer) {
	if !r.fresh() || len(r.options.Members) == 0 || r.options.Members[0].Name != r.options.Self.Name {
		return
	}
	ids := map[string]consensus.ReplicaID{r.options.Self.Name: r.id}
	for _, a := range answers {
		if !a.Fresh {
			return
		}
		ids[a.Self.Name] = a.Replica
	}
	members := make([]consensus.Member, 0, len(r.options.Members))
	for _, m := range r.options.Members {
		id, ok := ids[m.Name]
		if !ok {
			return // it didn't answer, or its settings give it another name
		}
		members = append(members, consensus.Member{ID: id, Name: m.Name, Addr: m.Peer, Voter: true})
	}
	if err := r.form(members); err != nil {
		r.log.Error(err, "Did not form a group.")
		return
	}
	r.log.Info("Formed a group.", "members", len(members))
}

func (r *Replica) form(members []consensus.Member) error {
	data, err := state.New().Encode()
	if err != nil {
		return err
	}
	snapshot, hs := consensus.Bootstrap(members, data)
	if err := r.storage.Save(consensus.Ready{Snapshot: &snapshot, HardState: &hs, MustSync: true}); err != nil {
		return err
	}
	return r.startCore(consensus.Start{HardState: hs, Snapshot: &snapshot})
}

// probe asks the replica at an address what it is.
func (t *transport) probe(ctx context.Context, addr string) (probeAnswer, error) {
	var a probeAnswer
	err := t.client(addr).Call(ctx, methodProbe, t.replica.options.Self, &a)
	return a, err
}

func (r *Replica) answerProbe(ctx context.Context) (any, error) {
	var a probeAnswer
	err := r.wait(ctx, func(done func(error)) {
		a = probeAnswer{Self: r.options.Self, Replica: r.id, Fresh: r.fresh(), Leader: r.leaderPeer()}
		done(nil)
	})
	return &a, err
}

// leaderPeer returns the leader's peer address, or nothing while none is known.
func (r *Replica) leaderPeer() string {
	leader := r.core.Leader()
	if leader == r.id {
		return r.options.Self.Peer
	}
	return r.addressOf(leader).Peer
}

// Codes of errors between replicas.
const (
	codeUnknownName = "unknown-name"
	codeJoinPending = "join-pending"
)

// acceptJoin takes the next step of a replica into the group. Only a name that
// is a member already may join by itself; others are added by an operator.
func (r *Replica) acceptJoin(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var m consensus.Member
	if err := peer.Decode(body, &m); err != nil {
		r.refused("malformed-message")
		return nil, err
	}
	if m.Name != from.ID || from.Incarnation != uint64(m.ID) {
		r.refused("wrong-sender")
		return nil, &peer.RemoteError{Code: codeUnknownName, Text: "the request is for another replica than its sender"}
	}
	err := r.wait(ctx, func(done func(error)) {
		if r.options.Admission != nil && r.core.IsLeader() {
			done(r.admit(m))
			return
		}
		if _, ok := r.group.FindName(m.Name); !ok {
			r.refused("unknown-replica")
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
