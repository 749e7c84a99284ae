package gateway

import (
	"errors"
	"fmt"
	"hash/crc32"

	"cactusspar/internal/orchestrator"
	"cactusspar/internal/workload"
)

// maxAccessBytes bounds an encoded update of access rules. The rules of the largest topology that
// replicas accept are smaller.
const maxAccessBytes = 4 << 20

var errBrokenTransfer = errors.New("pieces of access rules don't fit together")

// accessTransfer is an update of access rules of which some pieces have arrived. It survives errors
// and changes of leader, so that a slow link carries each piece once.
type accessTransfer struct {
	orchestrator.AccessTransfer
	length int
	data   []byte
}

// add adds a piece and returns the update if it was the last one. After an error the transfer
// begins anew.
func (t *accessTransfer) add(p *orchestrator.AccessPiece) (*workload.AccessUpdate, error) {
	if p.Offset == 0 {
		*t = accessTransfer{AccessTransfer: p.AccessTransfer, length: p.Length}
	}
	end := p.Offset + len(p.Data)
	if p.AccessTransfer != t.AccessTransfer || p.Length != t.length || len(p.Data) == 0 || end > t.length || t.length > maxAccessBytes {
		*t = accessTransfer{}
		return nil, errBrokenTransfer
	}
	t.data = append(t.data, p.Data...)
	t.Offset = end
	if end < t.length {
		return nil, nil
	}
	data, checksum := t.data, t.Checksum
	*t = accessTransfer{}
	if actual := crc32.ChecksumIEEE(data); actual != checksum {
		return nil, fmt.Errorf("%w: checksum %08x, expected %08x", errBrokenTransfer, actual, checksum)
	}
	return workload.DecodeAccessUpdate(data)
}
