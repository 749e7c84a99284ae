package wal

import (
	"encoding/binary"
	"io"
	"path/filepath"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// Identity tells which replica and which cluster a data folder belongs to.
type Identity struct {
	Replica consensus.ReplicaID `msgpack:"r"`
	Cluster string              `msgpack:"c"`
}

const identityName = "identity"

// identitySalt is the salt of the identity file's record.
const identitySalt = 0x6964

func readIdentity(fs FS, folder string) (Identity, error) {
	var id Identity
	path := filepath.Join(folder, identityName)
	data, err := fs.ReadFile(path)
	if err != nil {
		return id, err
	}
	r := &segmentReader{file: path, data: data, salt: identitySalt}
	ok, err := r.next(&id)
	if err != nil {
		return id, err
	}
	if !ok || id.Replica == 0 || r.offset != len(data) {
		return id, r.damage("no identity of a replica")
	}
	return id, nil
}

func writeIdentity(fs FS, folder string, id Identity) error {
	return writeAtomically(fs, folder, identityName, func(write func([]byte) error) error {
		buf, err := appendRecord(nil, identitySalt, 0, &id)
		if err != nil {
			return err
		}
		return write(buf)
	})
}

// newReplicaID draws a random identity.
func newReplicaID(random io.Reader) (consensus.ReplicaID, error) {
	var b [8]byte
	for {
		if _, err := io.ReadFull(random, b[:]); err != nil {
			return 0, errs.New("draw replica identity: %w", err)
		}
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return consensus.ReplicaID(id), nil
		}
	}
}
