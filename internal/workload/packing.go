package workload

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxTopologyBytes limits the encoding of a topology. It is half of what a command may hold, so that
	// other changes fit beside it. 10,000 queues take 0.45 MiB (TestLargeTopologyIsStored).
	MaxTopologyBytes = 1 << 20
	// packAbove is the size of an encoding from which on a topology is stored compressed. It belongs to
	// a text of about 1 MiB. Replicas of versions that don't know this form refuse 2 MiB.
	packAbove = 3 << 19
	// smallDocument is the size of an operator's text up to which the encoding is below packAbove, also
	// if the text consists of short keys, whose hashes are larger.
	smallDocument = 1 << 17
)

// ErrTopologyTooLarge reports a topology over MaxTopologyBytes.
var ErrTopologyTooLarge = errors.New("configuration is too large")

// topologyFields is a Topology in the form without compression.
type topologyFields Topology

// storedTopology is either form of a Topology.
type storedTopology struct {
	topologyFields
	Packed []byte `msgpack:"z,omitempty"`
}

var (
	_ msgpack.CustomEncoder = (*Topology)(nil)
	_ msgpack.CustomDecoder = (*Topology)(nil)
)

// Pack prepares a topology for storage: a large one is compressed once, instead of each time that
// it is written to the log or sent to another replica. It fails if the topology is too large. It
// must be called before the topology is shared, which must not change afterwards.
func (t *Topology) Pack() error {
	if len(t.Document) <= smallDocument || t.packed != nil {
		return t.checkSize(len(t.packed))
	}
	plain, err := msgpack.Marshal((*topologyFields)(t))
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if len(plain) <= packAbove {
		return nil
	}
	packed, err := deflateFast(plain)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	t.packed = packed
	return t.checkSize(len(packed))
}

func (t *Topology) checkSize(n int) error {
	if n > MaxTopologyBytes {
		return fmt.Errorf("%w: %d bytes after compression with %d routes, at most %d bytes are accepted", ErrTopologyTooLarge, n, len(t.Queues), MaxTopologyBytes)
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t *Topology) EncodeMsgpack(e *msgpack.Encoder) error {
	if t.packed == nil {
		return e.Encode((*topologyFields)(t))
	}
	return errors.Join(e.EncodeMapLen(1), e.EncodeString("z"), e.EncodeBytes(t.packed))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *Topology) DecodeMsgpack(d *msgpack.Decoder) error {
	var stored storedTopology
	if err := d.Decode(&stored); err != nil {
		return err
	}
	if stored.Packed != nil {
		plain, err := inflate(stored.Packed)
		if err != nil {
			return fmt.Errorf("decode configuration: %w", err)
		}
		if err := msgpack.Unmarshal(plain, &stored.topologyFields); err != nil {
			return fmt.Errorf("decode configuration: %w", err)
		}
	}
	*t = Topology(stored.topologyFields)
	t.packed = stored.Packed
	return nil
}
