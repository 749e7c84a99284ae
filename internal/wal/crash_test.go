package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
)

const memFolder = "/data"

func openMem(fs *memFS) (*Storage, consensus.Start, error) {
	return Open(memFolder, Options{FS: fs, Cluster: "c", Random: randomReader{fs.rand}, segmentBytes: 600})
}

type randomReader struct{ *rand.Rand }

func (r randomReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return len(b), nil
}

// call makes one random call that fits what the storage holds.
func call(r *rand.Rand, s *Storage, held *consensus.Start) error {
	hs := &held.HardState
	first := uint64(1)
	if held.Snapshot != nil {
		first = held.Snapshot.Index + 1
	}
	last := first + uint64(len(held.Entries)) - 1
	switch n := r.IntN(10); {
	case n == 0 && hs.Commit >= first:
		snap := consensus.Snapshot{Index: hs.Commit, Term: held.Entries[hs.Commit-first].Term, Data: make([]byte, r.IntN(500))}
		held.Snapshot, held.Entries = &snap, held.Entries[hs.Commit-first+1:]
		return s.SaveSnapshot(snap)
	case n == 1: // a snapshot of another leader, within or after the log
		hs.Term, hs.Commit = hs.Term+1, hs.Commit+1+uint64(r.IntN(int(last-hs.Commit)+4))
		held.Snapshot = &consensus.Snapshot{Index: hs.Commit, Term: hs.Term, Data: make([]byte, r.IntN(500))}
		held.Entries = nil
		return s.Save(consensus.Ready{Snapshot: held.Snapshot, HardState: hs, MustSync: true})
	default:
		from := last + 1 - uint64(r.IntN(int(min(4, last-hs.Commit)+1)))
		if from <= last || hs.Term == 0 || r.IntN(2) == 0 {
			hs.Term++ // entries are replaced by those of a later term only
		}
		list := entries(from, from+uint64(r.IntN(4)), hs.Term, r.IntN(60))
		held.Entries = append(slices.Clip(held.Entries[:from-first]), list...)
		hs.Commit += uint64(r.IntN(int(from + uint64(len(list)) - hs.Commit)))
		return s.Save(consensus.Ready{HardState: hs, Entries: list, MustSync: true})
	}
}

// Guards against a crash point, a torn write or a failed sync after which the
// storage does not open or lacks what it had reported as durable.
func TestRestartFromAnyCrashPoint(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			for stop := 0; crashAt(t, seed, stop); stop++ {
			}
		})
	}
}

// crashAt runs a workload until the machine stops at an operation, restarts and
// compares. It reports false if the workload ended before.
func crashAt(t *testing.T, seed uint64, stop int) bool {
	r := rand.New(rand.NewPCG(seed, 1))
	fs := newMemFS(rand.New(rand.NewPCG(seed, uint64(stop))))
	name := fmt.Sprintf("seed %d, stop at operation %d", seed, stop)
	fs.opsLeft = stop
	var before, after consensus.Start
	s, _, err := openMem(fs)
	for n := 0; err == nil && n < 25; n++ {
		before = after
		err = call(r, s, &after)
	}
	if err == nil {
		return false
	}
	require.ErrorIs(t, err, errInjected, name)
	fs.crash()
	fs.opsLeft = fs.rand.IntN(40) // the restart may be cut short as well
	if _, _, err = openMem(fs); err != nil {
		require.ErrorIs(t, err, errInjected, name)
		fs.crash()
	} else {
		fs.kill()
	}
	s, found, err := openMem(fs)
	require.NoError(t, err, name)
	require.NoError(t, s.Close())
	require.True(t, holds(before, found) || holds(after, found) || partly(before, after, found), "%s: found %+v, expected %+v or %+v", name, found, before, after)
	_, err = consensus.New(consensus.DefaultConfig(1, r), found)
	require.NoError(t, err, name)
	return true
}

// holds tells whether a restart found a state. Only its commit index may be
// older, because that is not synced on its own.
func holds(want, found consensus.Start) bool {
	return found.HardState.Term == want.HardState.Term && found.HardState.Commit <= want.HardState.Commit &&
		reflect.DeepEqual(found.Snapshot, want.Snapshot) && slices.EqualFunc(found.Entries, want.Entries, func(a, b consensus.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && len(a.Data) == len(b.Data)
	})
}

// partly tells whether a restart found the first records of a save that takes
// several: the log before the new entries and some of these.
func partly(before, after, found consensus.Start) bool {
	n, common := len(found.Entries), 0
	for common < min(len(before.Entries), len(after.Entries)) && before.Entries[common].Term == after.Entries[common].Term {
		common++
	}
	if n <= common || n > len(after.Entries) {
		return false
	}
	after.Entries = after.Entries[:n]
	return holds(after, found)
}

// Guards against a storage that goes on after a failed sync, and against a
// restart that takes data for durable which the failed sync has dropped.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 1)))
	s, _, err := openMem(fs)
	require.NoError(t, err)
	require.NoError(t, s.Save(ready(1, 0, entries(1, 3, 1, 5))))
	fs.failRate = 1
	f := s.file.(*memFile)
	f.failed = true
	s.file = syncFails{f}
	first := s.Save(ready(1, 0, entries(4, 4, 1, 5)))
	require.ErrorIs(t, first, syscall.EIO)
	fs.failRate = 0
	require.Equal(t, first, s.Save(ready(1, 0, entries(4, 4, 1, 5))))
	require.Equal(t, first, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}))
	require.Equal(t, first, s.Err())
	require.NoError(t, s.Close())

	_, start, err := openMem(fs)
	require.NoError(t, err)
	require.Len(t, start.Entries, 4, "the operating system still shows the record")
	fs.crash()
	_, again, err := openMem(fs)
	require.NoError(t, err)
	require.Equal(t, start, again, "what a restart has returned is durable")
}

type syncFails struct{ *memFile }

func (f syncFails) Write(b []byte) (int, error) {
	f.data = append(f.data, b...)
	return len(b), nil
}

// Guards against damage that is taken for a torn tail.
func TestDamageIsReported(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 1)))
	s, _, err := openMem(fs)
	require.NoError(t, err)
	ends := []int64{s.size}
	for i := uint64(1); i <= 12; i++ {
		require.NoError(t, s.Save(ready(1, i-1, entries(i, i, 1, 20))))
		ends = append(ends, s.size)
	}
	require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}))
	require.NoError(t, s.Close())
	last := s.path(segmentName(s.sequence))
	for name, f := range fs.files {
		for at := range f.data {
			f.data[at] ^= 0x10
			_, _, err := openMem(fs)
			f.data[at] ^= 0x10
			fs.kill()
			if name == last && at >= int(ends[11]) {
				require.NoError(t, err, "the last record is taken for a torn tail")
				continue
			}
			var damage *DamageError
			require.True(t, errors.As(err, &damage), "%s at %d: %v", name, at, err)
			require.Equal(t, name, damage.File)
			require.LessOrEqual(t, damage.Offset, int64(at))
		}
	}
	f := fs.files[s.path(segmentName(1))]
	f.data[ends[2]+20] ^= 1
	_, _, err = openMem(fs)
	var damage *DamageError
	require.ErrorAs(t, err, &damage)
	require.Equal(t, ends[2], damage.Offset)
}
