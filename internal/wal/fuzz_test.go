package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
)

// Guards against a log reader that panics on arbitrary bytes, returns a log with
// gaps, or reads another log after it has removed a torn tail.
func FuzzLogRecovery(f *testing.F) {
	header, _ := appendRecord(nil, segmentSalt(5, 1), 0, &segmentHeader{Version: formatVersion, Replica: 5, Sequence: 1})
	for _, list := range [][]consensus.Entry{entries(1, 3, 1, 4), entries(2, 5, 2, 4)} {
		f.Add(header)
		header, _ = appendRecord(header, segmentSalt(5, 1), int64(len(header)), &record{Entries: list, HardState: &consensus.HardState{Term: 2}})
	}
	f.Add(header)
	f.Add(header[:len(header)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &logReplay{replica: 5}
		end, err := p.readSegment("file", 1, data, true)
		if err != nil {
			return
		}
		for i, e := range p.entries {
			require.Equal(t, p.base.Index+uint64(i)+1, e.Index)
		}
		again := &logReplay{replica: 5}
		n, err := again.readSegment("file", 1, data[:end], true)
		require.NoError(t, err)
		require.Equal(t, end, n)
		require.Equal(t, p.entries, again.entries)
	})
}

// Guards against a log reader that accepts record bodies with a valid checksum that
// would leave gaps in the log.
func FuzzRecordBody(f *testing.F) {
	f.Add(uint64(1), uint64(1), uint64(0), false)
	f.Add(uint64(7), uint64(9), uint64(3), true)
	f.Fuzz(func(t *testing.T, first, second, reset uint64, hasReset bool) {
		p := &logReplay{replica: 5, snapshotIndex: 2}
		rec := &record{Entries: []consensus.Entry{{Index: first}, {Index: second}}}
		if hasReset {
			rec.Reset = &position{Index: reset}
		}
		if p.applyRecord(rec) != nil {
			return
		}
		for i, e := range p.entries {
			require.Equal(t, p.base.Index+uint64(i)+1, e.Index)
		}
	})
}

// Guards against a snapshot reader that panics on arbitrary bytes or accepts an
// incomplete file.
func FuzzSnapshot(f *testing.F) {
	var file []byte
	written := consensus.Snapshot{Index: 9, Term: 2, Data: make([]byte, 100)}
	_ = encodeSnapshot(&written, func(b []byte) error { file = append(file, b...); return nil })
	f.Add(file)
	f.Add(file[:len(file)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeSnapshot("file", 9, data)
		if err != nil {
			return
		}
		var again []byte
		require.NoError(t, encodeSnapshot(s, func(b []byte) error { again = append(again, b...); return nil }))
		require.LessOrEqual(t, len(again), len(data)+recordHeaderBytes)
	})
}
