package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
)

// A record is what one write and one sync make durable: magic, length, checksum
// and a msgpack body. Because a record is synced before the next one is
// written, a crash can damage only the last one.
const (
	recordMagic       = "cspr"
	recordHeaderBytes = 12 // magic, length, checksum
	maxRecordBytes    = MaxSegmentBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position is the index and term of a log entry.
type position struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
}

// record is the body of a record. Entries at an existing index replace it and
// all after it.
type record struct {
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	// Reset empties the log, which goes on after the given position.
	Reset   *position         `msgpack:"r,omitempty"`
	Entries []consensus.Entry `msgpack:"e,omitempty"`
}

// segmentHeader is the first record of a segment. It repeats what is needed to
// start reading at this segment.
type segmentHeader struct {
	Version   int                 `msgpack:"v"`
	Replica   consensus.ReplicaID `msgpack:"r"`
	Sequence  uint64              `msgpack:"s"`
	Last      position            `msgpack:"l"` // end of the log before this segment
	HardState consensus.HardState `msgpack:"h"`
}

const formatVersion = 1

// checksum covers the body, its length and its place, so that a record copied
// to another place, file or replica is not valid there.
func checksum(salt uint64, offset int64, body []byte) uint32 {
	var place [24]byte
	binary.BigEndian.PutUint64(place[0:], salt)
	binary.BigEndian.PutUint64(place[8:], uint64(offset))
	binary.BigEndian.PutUint64(place[16:], uint64(len(body)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, body)
}

// appendRecord appends the record with the given body at an offset of its file.
func appendRecord(dst []byte, salt uint64, offset int64, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errs.New("encode record: %w", err)
	}
	if len(body) > maxRecordBytes {
		return nil, errs.New("encode record: %d bytes, at most %d allowed", len(body), maxRecordBytes)
	}
	dst = append(dst, recordMagic...)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = binary.BigEndian.AppendUint32(dst, checksum(salt, offset, body))
	return append(dst, body...), nil
}

// bodyAt returns the body of the record at an offset, or a text that says what
// is wrong there.
func bodyAt(data []byte, salt uint64, offset int) ([]byte, string) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return nil, fmt.Sprintf("%d bytes, expected a record header of %d", len(rest), recordHeaderBytes)
	}
	if string(rest[:len(recordMagic)]) != recordMagic {
		return nil, fmt.Sprintf("magic %q, expected %q", rest[:len(recordMagic)], recordMagic)
	}
	n := binary.BigEndian.Uint32(rest[4:])
	if n > maxRecordBytes || int(n) > len(rest)-recordHeaderBytes {
		return nil, fmt.Sprintf("record of %d bytes, %d remain", n, len(rest)-recordHeaderBytes)
	}
	body := rest[recordHeaderBytes : recordHeaderBytes+int(n)]
	want := binary.BigEndian.Uint32(rest[8:])
	if got := checksum(salt, int64(offset), body); got != want {
		return nil, fmt.Sprintf("checksum %08x, expected %08x", got, want)
	}
	return body, ""
}

// hasRecordAfter tells whether a valid record starts after an offset. If so,
// what is at the offset had been synced before and is not a torn tail.
func hasRecordAfter(data []byte, salt uint64, offset int) bool {
	for at := offset + 1; at < len(data); at++ {
		next := bytes.Index(data[at:], []byte(recordMagic))
		if next < 0 {
			return false
		}
		at += next
		if _, bad := bodyAt(data, salt, at); bad == "" {
			return true
		}
	}
	return false
}
