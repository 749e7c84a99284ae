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

const memDir = "/data"

func openMem(fs *memFS) (*Storage, consensus.DurableState, error) {
	return Open(memDir, Options{FS: fs, Cluster: "c", Random: randomReader{fs.rand}, segmentBytes: 600})
}

type randomReader struct{ *rand.Rand }

func (r randomReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return len(b), nil
}

// randomCall makes one random call on the storage, and updates model to the state
// that the storage then has.
func randomCall(r *rand.Rand, s *Storage, model *consensus.DurableState) error {
	hs := &model.HardState
	first := uint64(1)
	if model.Snapshot != nil {
		first = model.Snapshot.Index + 1
	}
	last := first + uint64(len(model.Entries)) - 1
	switch n := r.IntN(10); {
	case n == 0 && hs.Commit >= first:
		snap := consensus.Snapshot{Index: hs.Commit, Term: model.Entries[hs.Commit-first].Term, Data: make([]byte, r.IntN(500))}
		model.Snapshot, model.Entries = &snap, model.Entries[hs.Commit-first+1:]
		return s.SaveSnapshot(snap)
	case n == 1: // a snapshot received from another leader, within or after the log
		hs.Term, hs.Commit = hs.Term+1, hs.Commit+1+uint64(r.IntN(int(last-hs.Commit)+4))
		model.Snapshot = &consensus.Snapshot{Index: hs.Commit, Term: hs.Term, Data: make([]byte, r.IntN(500))}
		model.Entries = nil
		return s.Save(consensus.Ready{Snapshot: model.Snapshot, HardState: hs, MustSync: true})
	default:
		from := last + 1 - uint64(r.IntN(int(min(4, last-hs.Commit)+1)))
		if from <= last || hs.Term == 0 || r.IntN(2) == 0 {
			hs.Term++ // only entries of a later term replace others
		}
		list := entries(from, from+uint64(r.IntN(4)), hs.Term, r.IntN(60))
		model.Entries = append(slices.Clip(model.Entries[:from-first]), list...)
		hs.Commit += uint64(r.IntN(int(from + uint64(len(list)) - hs.Commit)))
		return s.Save(consensus.Ready{HardState: hs, Entries: list, MustSync: true})
	}
}

// Guards against a crash or a torn write, at any file system operation, after which
// the storage does not open or lacks data that it reported as durable.
func TestRestartFromAnyCrashPoint(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			for crashOp := 0; crashAt(t, seed, crashOp, lossModel{}); crashOp++ {
			}
		})
	}
}

// Guards against an acknowledgement that rests on a file, a name, a rename or a removal
// that is not synced, in each way in which a power loss may treat them.
func TestRestartFromAnyCrashPointInEachLossModel(t *testing.T) {
	for n := range 8 {
		losses := lossModel{everything: n&1 > 0, ownSync: n&2 > 0, splitRenames: n&4 > 0}
		t.Run(fmt.Sprintf("%+v", losses), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				for crashOp := 0; crashAt(t, seed, crashOp, losses); crashOp++ {
				}
			}
		})
	}
}

// crashAt runs a workload up to a crash at a file system operation, reopens the
// storage and compares its state. It returns false if the workload ends before the
// crash.
func crashAt(t *testing.T, seed uint64, crashOp int, losses lossModel) bool {
	r := rand.New(rand.NewPCG(seed, 1))
	fs := newMemFS(rand.New(rand.NewPCG(seed, uint64(crashOp))))
	fs.losses = losses
	name := fmt.Sprintf("seed %d, crash at operation %d", seed, crashOp)
	fs.opsLeft = crashOp
	var before, after consensus.DurableState
	s, _, err := openMem(fs)
	for n := 0; err == nil && n < 25; n++ {
		before = after
		err = randomCall(r, s, &after)
	}
	if err == nil {
		return false
	}
	require.ErrorIs(t, err, errInjected, name)
	fs.crash()
	fs.opsLeft = fs.rand.IntN(40) // the restart may crash as well
	if _, _, err = openMem(fs); err != nil {
		require.ErrorIs(t, err, errInjected, name)
		fs.crash()
	} else {
		fs.kill()
	}
	s, found, err := openMem(fs)
	require.NoError(t, err, name)
	require.NoError(t, s.Close())
	require.True(t, matches(before, found) || matches(after, found) || matchesPartialSave(before, after, found), "%s: found %+v, expected %+v or %+v", name, found, before, after)
	_, err = consensus.New(consensus.DefaultConfig(1, r), found)
	require.NoError(t, err, name)
	return true
}

// matches reports whether a restart found the wanted state. The commit index may be
// older, because it is not synced on its own.
func matches(want, found consensus.DurableState) bool {
	return found.HardState.Term == want.HardState.Term && found.HardState.Commit <= want.HardState.Commit &&
		reflect.DeepEqual(found.Snapshot, want.Snapshot) && slices.EqualFunc(found.Entries, want.Entries, func(a, b consensus.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && len(a.Data) == len(b.Data)
	})
}

// matchesPartialSave reports whether a restart found only the first records of a
// save that takes several: the log before the new entries and some of the new ones.
func matchesPartialSave(before, after, found consensus.DurableState) bool {
	n, common := len(found.Entries), 0
	for common < min(len(before.Entries), len(after.Entries)) && before.Entries[common].Term == after.Entries[common].Term {
		common++
	}
	if n <= common || n > len(after.Entries) {
		return false
	}
	after.Entries = after.Entries[:n]
	return matches(after, found)
}

// Guards against a storage that accepts calls after a failed sync, and against a
// restart that treats data as durable that the failed sync has dropped.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 1)))
	s, _, err := openMem(fs)
	require.NoError(t, err)
	require.NoError(t, s.Save(ready(1, 0, entries(1, 3, 1, 5))))
	fs.failRate = 1
	f := s.file.(*memFile)
	f.syncFailed = true
	s.file = failingSyncFile{f}
	first := s.Save(ready(1, 0, entries(4, 4, 1, 5)))
	require.ErrorIs(t, first, syscall.EIO)
	fs.failRate = 0
	require.Equal(t, first, s.Save(ready(1, 0, entries(4, 4, 1, 5))))
	require.Equal(t, first, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}))
	require.Equal(t, first, s.Err())
	require.NoError(t, s.Close())

	_, durable, err := openMem(fs)
	require.NoError(t, err)
	require.Len(t, durable.Entries, 4, "the record is still readable before the crash")
	fs.crash()
	_, second, err := openMem(fs)
	require.NoError(t, err)
	require.Equal(t, durable, second, "state returned by a restart is durable")
}

type failingSyncFile struct{ *memFile }

func (f failingSyncFile) Write(b []byte) (int, error) {
	f.data = append(f.data, b...)
	return len(b), nil
}

// Guards against corruption that is mistaken for a torn tail.
func TestCorruptionIsReported(t *testing.T) {
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
	last := s.path(segmentFileName(s.sequence))
	for name, f := range fs.files {
		for at := range f.data {
			f.data[at] ^= 0x10
			_, _, err := openMem(fs)
			f.data[at] ^= 0x10
			fs.kill()
			if name == last && at >= int(ends[11]) {
				require.NoError(t, err, "an invalid last record counts as a torn tail")
				continue
			}
			var corruption *CorruptionError
			require.True(t, errors.As(err, &corruption), "%s at %d: %v", name, at, err)
			require.Equal(t, name, corruption.File)
			require.LessOrEqual(t, corruption.Offset, int64(at))
		}
	}
	f := fs.files[s.path(segmentFileName(1))]
	f.data[ends[2]+20] ^= 1
	_, _, err = openMem(fs)
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
	require.Equal(t, ends[2], corruption.Offset)
}
