package consensus

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Find returns the member with the given ID.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// FindName returns the member with the given instance name.
func (m Membership) FindName(name string) (Member, bool) {
	for _, member := range m.Members {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether a replica is a voter.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// with returns a copy in which member is added, or replaces the member with the
// same ID.
func (m Membership) with(member Member) Membership {
	members := slices.Clone(m.Members)
	at := slices.IndexFunc(members, func(o Member) bool { return o.ID == member.ID })
	if at >= 0 {
		members[at] = member
	} else {
		members = append(members, member)
	}
	return Membership{Epoch: m.Epoch, Members: members}
}

// without returns a copy without the member with the given ID.
func (m Membership) without(id ReplicaID) Membership {
	members := slices.Clone(m.Members)
	members = slices.DeleteFunc(members, func(o Member) bool { return o.ID == id })
	return Membership{Epoch: m.Epoch, Members: members}
}

// maxMembers limits the size of a membership. It also bounds what the decoder
// allocates.
const maxMembers = 64

func encodeMembership(m Membership) ([]byte, error) {
	if len(m.Members) > maxMembers {
		return nil, ErrInvalidChange
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	err := enc.EncodeMulti(m.Epoch, len(m.Members))
	for i := 0; i < len(m.Members) && err == nil; i++ {
		err = enc.Encode(&m.Members[i])
	}
	if err != nil {
		return nil, fmt.Errorf("encode membership: %w", err)
	}
	return buf.Bytes(), nil
}

// decodeMembership decodes one member at a time: decoding into a slice would
// allocate as many members as the data claims to hold.
func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	var n uint64
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	if err := dec.DecodeMulti(&m.Epoch, &n); err != nil {
		return Membership{}, fmt.Errorf("decode membership: %w", err)
	}
	if n > maxMembers {
		return Membership{}, fmt.Errorf("decode membership: %d members, at most %d allowed", n, maxMembers)
	}
	for range n {
		var member Member
		if err := dec.Decode(&member); err != nil {
			return Membership{}, fmt.Errorf("decode membership: %w", err)
		}
		m.Members = append(m.Members, member)
	}
	return m, nil
}

// firstEpoch is the membership epoch of a new group.
const firstEpoch = 1

// Bootstrap returns the snapshot and hard state that a new group starts from. The
// snapshot has index 1, so that a replica that joins later receives it and the
// membership in it.
func Bootstrap(members []Member, data []byte) (Snapshot, HardState) {
	snap := Snapshot{Index: 1, Term: 1, Membership: Membership{Epoch: firstEpoch, Members: members}, Data: data}
	return snap, HardState{Term: 1, Commit: 1}
}

// epochRecoveryShift separates the two parts of a membership epoch: the bits above
// count forced recoveries, the bits below hold the nonce of the last one.
const epochRecoveryShift = 32

// Recovery is the result of a forced recovery. HardState and Entry must be durable
// before a Core starts from them.
type Recovery struct {
	HardState  HardState
	Entry      Entry
	Membership Membership
}

// Recover makes self the only voter of a group that has permanently lost its
// majority. All entries in self's log become committed, including those that were
// never acknowledged; acknowledged entries that self never received are lost. The
// membership epoch increases and includes nonce, a random number, so that the
// groups of two recoveries run by mistake reject each other's messages.
func Recover(durable DurableState, self Member, nonce uint32) (Recovery, error) {
	l, err := newLog(durable)
	if err != nil {
		return Recovery{}, err
	}
	old := l.membership()
	if len(old.Members) == 0 {
		return Recovery{}, fmt.Errorf("recover: replica %x has never been a member of a group", uint64(self.ID))
	}
	self.Voter = true
	epoch := (old.Epoch>>epochRecoveryShift+1)<<epochRecoveryShift | uint64(nonce)
	m := Membership{Epoch: epoch, Members: []Member{self}}
	data, err := encodeMembership(m)
	if err != nil {
		return Recovery{}, err
	}
	hs := durable.HardState
	hs.Term++
	hs.Vote = 0
	hs.Commit = l.commit
	entry := Entry{Index: l.lastIndex() + 1, Term: hs.Term, Kind: EntryMembership, Data: data}
	return Recovery{HardState: hs, Entry: entry, Membership: m}, nil
}
