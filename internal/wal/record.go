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

// A record consists of magic, length, checksum and a msgpack body. In the log, it
// is the unit of one write and one sync: each record is synced before the next one
// is written, so that a crash can corrupt only the last one.
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

// record is the body of a log record. An entry at an existing index replaces that
// entry and all later ones.
type record struct {
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	// Reset discards the log, which then continues after the given position.
	Reset   *position         `msgpack:"r,omitempty"`
	Entries []consensus.Entry `msgpack:"e,omitempty"`
}

// segmentHeader is the body of the first record of a segment. It holds the state
// needed to start a replay at this segment.
type segmentHeader struct {
	Version   int                 `msgpack:"v"`
	Replica   consensus.ReplicaID `msgpack:"r"`
	Sequence  uint64              `msgpack:"s"`
	Last      position            `msgpack:"l"` // last entry before this segment
	HardState consensus.HardState `msgpack:"h"`
}

const formatVersion = 1

// checksum returns the checksum of a body. It also covers the body's length, its
// offset and the salt of the file, so that a record copied to another offset, file
// or replica is invalid there.
func checksum(salt uint64, offset int64, body []byte) uint32 {
	var location [24]byte
	binary.BigEndian.PutUint64(location[0:], salt)
	binary.BigEndian.PutUint64(location[8:], uint64(offset))
	binary.BigEndian.PutUint64(location[16:], uint64(len(body)))
	return crc32.Update(crc32.Checksum(location[:], castagnoli), castagnoli, body)
}

// appendRecord appends to dst the record with body v for the given offset of its
// file.
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

// parseRecord returns the body of the record at an offset, or a description of why
// the record is invalid.
func parseRecord(data []byte, salt uint64, offset int) ([]byte, string) {
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

// hasRecordAfter reports whether a valid record starts after an offset. If so, the
// data at the offset was synced before that record was written, and is not a torn
// tail.
func hasRecordAfter(data []byte, salt uint64, offset int) bool {
	for i := offset + 1; i < len(data); i++ {
		next := bytes.Index(data[i:], []byte(recordMagic))
		if next < 0 {
			return false
		}
		i += next
		if _, problem := parseRecord(data, salt, i); problem == "" {
			return true
		}
	}
	return false
}
