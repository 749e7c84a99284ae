package control

import (
	"crypto/rand"
	"encoding/binary"
	"errors"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/wal"
)

// Recover makes the replica in a data folder the only voter of its group after
// the majority was lost for good. It writes a new membership epoch, so that
// replicas of the old epoch are refused. Commands that only the lost replicas
// held are lost. The replica must not be running.
func Recover(folder, cluster string, self Address) (consensus.Membership, error) {
	storage, durable, err := wal.Open(folder, wal.Options{Cluster: cluster})
	if err != nil {
		return consensus.Membership{}, err
	}
	m, err := forceRecovery(storage, durable, self)
	return m, errors.Join(err, storage.Close())
}

func forceRecovery(storage *wal.Storage, durable consensus.DurableState, self Address) (consensus.Membership, error) {
	var nonce [4]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return consensus.Membership{}, errs.New("recover: %w", err)
	}
	member := consensus.Member{ID: storage.Identity().Replica, Name: self.Name, Addr: self.Peer}
	recovery, err := consensus.Recover(durable, member, binary.BigEndian.Uint32(nonce[:]))
	if err != nil {
		return consensus.Membership{}, err
	}
	err = storage.Save(consensus.Ready{HardState: &recovery.HardState, Entries: []consensus.Entry{recovery.Entry}, MustSync: true})
	if err != nil {
		return consensus.Membership{}, errs.New("recover: %w", err)
	}
	return recovery.Membership, nil
}
