package wal

import (
	"fmt"
	"hash/crc32"

	"cactusspar/internal/consensus"
)

// oracle sees what all replicas do and checks the properties of Raft that no
// single replica can check.
type oracle struct {
	leaders      map[uint64]consensus.ReplicaID // by term
	votes        map[voteKey]consensus.ReplicaID
	entries      map[position]entryFacts
	committed    map[uint64]commitFacts
	acknowledged []uint64 // commands that a client was told are committed
	seen         uint64   // highest index that a client has seen
}

type voteKey struct {
	voter consensus.ReplicaID
	term  uint64
}

type entryFacts struct {
	sum      uint32
	prevTerm uint64
	hasPrev  bool
}

// commitFacts describe a committed entry. The term is the lowest at which a
// replica was seen to apply it.
type commitFacts struct {
	term    uint64
	sum     uint32
	applied uint64
}

func newOracle() oracle {
	return oracle{
		leaders: map[uint64]consensus.ReplicaID{}, votes: map[voteKey]consensus.ReplicaID{},
		entries: map[position]entryFacts{}, committed: map[uint64]commitFacts{},
	}
}

func sum(e consensus.Entry) uint32 {
	return crc32.ChecksumIEEE(append([]byte{byte(e.Kind)}, e.Data...))
}

// sent checks that no replica grants two votes in a term.
func (o *oracle) sent(m consensus.Message) error {
	if m.Kind != consensus.MsgVoteResponse || m.Reject {
		return nil
	}
	key := voteKey{m.From, m.Term}
	if to, ok := o.votes[key]; ok && to != m.To {
		return fmt.Errorf("vote: replica %x votes for %x and %x in term %d", m.From, to, m.To, m.Term)
	}
	o.votes[key] = m.To
	return nil
}

// leads checks election safety and, once for each leader, leader completeness.
func (o *oracle) leads(s *site) error {
	term := s.core.Term()
	if other, ok := o.leaders[term]; ok {
		if other != s.id {
			return fmt.Errorf("election safety: %x and %x lead in term %d", other, s.id, term)
		}
		return nil
	}
	o.leaders[term] = s.id
	for index, c := range o.committed {
		if c.applied < term && index > s.first && s.log[index] != c.term {
			return fmt.Errorf("leader completeness: the leader of term %d lacks entry %d of term %d, it has term %d", term, index, c.term, s.log[index])
		}
	}
	return nil
}

// saved follows a replica's durable log and checks log matching: an index and
// term stand for one entry with one predecessor.
func (o *oracle) saved(s *site, r consensus.Ready) error {
	for i, e := range r.Entries {
		if i == 0 {
			for index := e.Index; s.log[index] != 0; index++ {
				delete(s.log, index)
			}
		}
		s.log[e.Index] = e.Term
		at := position{e.Index, e.Term}
		prev, hasPrev := s.log[e.Index-1]
		facts := entryFacts{sum(e), prev, hasPrev}
		known, ok := o.entries[at]
		if ok && (known.sum != facts.sum || (known.hasPrev && hasPrev && known.prevTerm != prev)) {
			return fmt.Errorf("log matching: entry %+v differs between replicas", at)
		}
		if !ok || !known.hasPrev {
			o.entries[at] = facts
		}
	}
	return nil
}

// applied checks that all replicas apply the same entry at an index.
func (o *oracle) applied(e consensus.Entry, term uint64) error {
	known, ok := o.committed[e.Index]
	if !ok {
		o.committed[e.Index] = commitFacts{e.Term, sum(e), term}
		return nil
	}
	if known.term != e.Term || known.sum != sum(e) {
		return fmt.Errorf("state machine safety: entry %d of term %d is applied, before it was of term %d", e.Index, e.Term, known.term)
	}
	known.applied = min(known.applied, term)
	o.committed[e.Index] = known
	return nil
}
