package consensus

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Find returns the member with the given identity.
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

// IsVoter tells whether a replica has a vote.
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

// Quorum returns the number of voters that must agree.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// with returns a copy in which member replaces the one of the same identity or
// is added.
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

// without returns a copy that lacks a member.
func (m Membership) without(id ReplicaID) Membership {
	members := slices.Clone(m.Members)
	members = slices.DeleteFunc(members, func(o Member) bool { return o.ID == id })
	return Membership{Epoch: m.Epoch, Members: members}
}

// maxMembers bounds a membership. The decoder relies on it.
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

// decodeMembership decodes member by member: a slice would be allocated by the
// length that the data declares.
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

// Bootstrap returns the snapshot that a new group starts from. It has index 1,
// so that a replica which joins later receives it together with the membership.
func Bootstrap(members []Member, data []byte) (Snapshot, HardState) {
	snap := Snapshot{Index: 1, Term: 1, Membership: Membership{Epoch: firstEpoch, Members: members}, Data: data}
	return snap, HardState{Term: 1, Commit: 1}
}

// epochCountShift separates the number of recoveries in an epoch from its mark.
const epochCountShift = 32

// Recovery is the outcome of a forced recovery. HardState and Entry have to be
// synced before a Core is started on them.
type Recovery struct {
	HardState  HardState
	Entry      Entry
	Membership Membership
}

// Recover makes self the only voter of a group that has lost its majority for
// good. All entries in self's log become committed, including those that were
// not acknowledged; acknowledged ones that self never received are lost. The
// epoch rises and takes up mark, a random number, so that two recoveries that
// were run by mistake refuse each other's messages.
func Recover(start Start, self Member, mark uint32) (Recovery, error) {
	l, err := newLog(start)
	if err != nil {
		return Recovery{}, err
	}
	old := l.membership()
	if len(old.Members) == 0 {
		return Recovery{}, fmt.Errorf("recover: replica %x has never been in a group", uint64(self.ID))
	}
	self.Voter = true
	epoch := (old.Epoch>>epochCountShift+1)<<epochCountShift | uint64(mark)
	m := Membership{Epoch: epoch, Members: []Member{self}}
	data, err := encodeMembership(m)
	if err != nil {
		return Recovery{}, err
	}
	hs := start.HardState
	hs.Term++
	hs.Vote = 0
	hs.Commit = l.commit
	entry := Entry{Index: l.lastIndex() + 1, Term: hs.Term, Kind: EntryMembership, Data: data}
	return Recovery{HardState: hs, Entry: entry, Membership: m}, nil
}
