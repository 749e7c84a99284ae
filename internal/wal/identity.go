package wal

import (
	"encoding/binary"
	"io"
	"path/filepath"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// Identity identifies the replica and the cluster that a data folder belongs to.
type Identity struct {
	Replica consensus.ReplicaID `msgpack:"r"`
	Cluster string              `msgpack:"c"`
}

const identityFileName = "identity"

// identitySalt is the checksum salt of the identity file's record.
const identitySalt = 0x6964

func readIdentity(fs FS, folder string) (Identity, error) {
	var id Identity
	path := filepath.Join(folder, identityFileName)
	data, err := fs.ReadFile(path)
	if err != nil {
		return id, err
	}
	r := &recordReader{file: path, data: data, salt: identitySalt}
	ok, err := r.next(&id)
	if err != nil {
		return id, err
	}
	if !ok || id.Replica == 0 || r.offset != len(data) {
		return id, r.corruption("not a valid replica identity")
	}
	return id, nil
}

func writeIdentity(fs FS, folder string, id Identity) error {
	return writeAtomically(fs, folder, identityFileName, func(write func([]byte) error) error {
		buf, err := appendRecord(nil, identitySalt, 0, &id)
		if err != nil {
			return err
		}
		return write(buf)
	})
}

// newReplicaID returns a random replica ID.
func newReplicaID(random io.Reader) (consensus.ReplicaID, error) {
	var b [8]byte
	for {
		if _, err := io.ReadFull(random, b[:]); err != nil {
			return 0, errs.New("generate replica ID: %w", err)
		}
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return consensus.ReplicaID(id), nil
		}
	}
}
