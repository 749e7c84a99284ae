package wal

import (
	"fmt"
	"hash/crc32"

	"cactusspar/internal/consensus"
)

// oracle observes all replicas and checks the safety properties of Raft that a
// single replica cannot check.
type oracle struct {
	leaders         map[uint64]consensus.ReplicaID // by term
	votes           map[voteKey]consensus.ReplicaID
	entryByPosition map[position]entryInfo
	committed       map[uint64]commitInfo
	acknowledged    []uint64 // commands acknowledged to clients
	observedIndex   uint64   // highest index that a client has observed
}

type voteKey struct {
	voter consensus.ReplicaID
	term  uint64
}

type entryInfo struct {
	checksum uint32
	prevTerm uint64
	hasPrev  bool
}

// commitInfo describes a committed entry. appliedInTerm is the lowest current term
// of a replica that applied it.
type commitInfo struct {
	term          uint64
	checksum      uint32
	appliedInTerm uint64
}

func newOracle() oracle {
	return oracle{
		leaders: map[uint64]consensus.ReplicaID{}, votes: map[voteKey]consensus.ReplicaID{},
		entryByPosition: map[position]entryInfo{}, committed: map[uint64]commitInfo{},
	}
}

func entryChecksum(e consensus.Entry) uint32 {
	return crc32.ChecksumIEEE(append([]byte{byte(e.Kind)}, e.Data...))
}

// checkSent checks that a replica votes for at most one candidate in a term.
func (o *oracle) checkSent(m consensus.Message) error {
	if m.Kind != consensus.MsgVoteResponse || m.Reject {
		return nil
	}
	key := voteKey{m.From, m.Term}
	if to, ok := o.votes[key]; ok && to != m.To {
		return fmt.Errorf("double vote: replica %x votes for %x and %x in term %d", m.From, to, m.To, m.Term)
	}
	o.votes[key] = m.To
	return nil
}

// checkLeader checks election safety and, once for each term, leader completeness.
func (o *oracle) checkLeader(s *server) error {
	term := s.core.Term()
	if other, ok := o.leaders[term]; ok {
		if other != s.id {
			return fmt.Errorf("election safety: %x and %x lead in term %d", other, s.id, term)
		}
		return nil
	}
	o.leaders[term] = s.id
	for index, c := range o.committed {
		if c.appliedInTerm < term && index > s.logStart && s.logTerms[index] != c.term {
			return fmt.Errorf("leader completeness: the leader of term %d lacks entry %d of term %d, it has term %d", term, index, c.term, s.logTerms[index])
		}
	}
	return nil
}

// checkSaved updates the copy of a server's durable log and checks log matching:
// entries with the same index and term are equal and have the same predecessor.
func (o *oracle) checkSaved(s *server, r consensus.Ready) error {
	for i, e := range r.Entries {
		if i == 0 {
			for index := e.Index; s.logTerms[index] != 0; index++ {
				delete(s.logTerms, index)
			}
		}
		s.logTerms[e.Index] = e.Term
		at := position{e.Index, e.Term}
		prev, hasPrev := s.logTerms[e.Index-1]
		info := entryInfo{entryChecksum(e), prev, hasPrev}
		known, ok := o.entryByPosition[at]
		if ok && (known.checksum != info.checksum || (known.hasPrev && hasPrev && known.prevTerm != prev)) {
			return fmt.Errorf("log matching: entry %+v differs between replicas", at)
		}
		if !ok || !known.hasPrev {
			o.entryByPosition[at] = info
		}
	}
	return nil
}

// checkApplied checks that all replicas apply the same entry at an index.
func (o *oracle) checkApplied(e consensus.Entry, term uint64) error {
	known, ok := o.committed[e.Index]
	if !ok {
		o.committed[e.Index] = commitInfo{e.Term, entryChecksum(e), term}
		return nil
	}
	if known.term != e.Term || known.checksum != entryChecksum(e) {
		return fmt.Errorf("state machine safety: entry %d of term %d is applied, an earlier one there had term %d", e.Index, e.Term, known.term)
	}
	known.appliedInTerm = min(known.appliedInTerm, term)
	o.committed[e.Index] = known
	return nil
}
