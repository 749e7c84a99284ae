package wal

import (
	"cactusspar/internal/consensus"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
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

// model is what a correct storage holds: the durable state, and the one that
// the running call is about to make durable.
type model struct {
	term   uint64
	start  uint64 // index of the snapshot
	terms  map[uint64]uint64
	last   uint64
	commit uint64
}

func (m model) clone() model {
	terms := map[uint64]uint64{}
	for i, t := range m.terms {
		terms[i] = t
	}
	m.terms = terms
	return m
}

// agrees tells whether a restart found the log of the model. The commit index
// may be older, because it is not synced on its own; the hard state may be
// newer than the log, because a new segment begins with it.
func (m model) agrees(s consensus.Start, newest model) bool {
	first := uint64(1)
	if s.Snapshot != nil {
		first = s.Snapshot.Index + 1
		if s.Snapshot.Index != m.start {
			return false
		}
	}
	if s.HardState.Term != m.term && s.HardState.Term != newest.term {
		return false
	}
	if s.HardState.Commit > min(max(newest.commit, m.start), m.last) || int(m.last+1-first) != len(s.Entries) {
		return false
	}
	for i, e := range s.Entries {
		if e.Index != first+uint64(i) || m.terms[e.Index] != e.Term {
			return false
		}
	}
	return true
}

// step changes the model and the storage by one random call.
func (m *model) step(r *rand.Rand, s *Storage, before *model) error {
	*before = m.clone()
	switch n := r.IntN(10); {
	case n == 0 && m.commit > m.start:
		m.start = m.commit
		return s.SaveSnapshot(consensus.Snapshot{Index: m.start, Term: m.terms[m.start], Data: make([]byte, r.IntN(500))})
	case n == 1:
		m.term++
		m.start = m.last + uint64(r.IntN(5)) + 1
		m.last, m.commit, m.terms = m.start, m.start, map[uint64]uint64{m.start: m.term}
		snap := consensus.Snapshot{Index: m.start, Term: m.term, Data: make([]byte, r.IntN(500))}
		return s.Save(consensus.Ready{Snapshot: &snap, HardState: m.hardState(), MustSync: true})
	default:
		m.term = max(1, m.term+uint64(r.IntN(2)))
		first := m.last + 1 - uint64(r.IntN(int(min(4, m.last-m.commit)+1)))
		m.last = first + uint64(r.IntN(4))
		list := entries(first, m.last, m.term, r.IntN(60))
		for _, e := range list {
			m.terms[e.Index] = m.term
		}
		m.commit += uint64(r.IntN(int(m.last - m.commit + 1)))
		return s.Save(consensus.Ready{HardState: m.hardState(), Entries: list, MustSync: true})
	}
}

func (m *model) hardState() *consensus.HardState {
	return &consensus.HardState{Term: m.term, Commit: m.commit}
}

// Guards against a crash point, a torn write or a failed sync after which the
// storage does not open or lacks what it had reported as durable.
func TestRestartFromAnyCrashPoint(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		for stop := 0; ; stop++ {
			if crashAt(t, seed, stop) {
				break
			}
		}
	}
}

// crashAt runs a workload until the machine stops at an operation, restarts and
// compares. It reports true if the workload ended before.
func crashAt(t *testing.T, seed uint64, stop int) bool {
	r := rand.New(rand.NewPCG(seed, 1))
	fs := newMemFS(rand.New(rand.NewPCG(seed, uint64(stop))))
	name := fmt.Sprintf("seed %d, stop at operation %d", seed, stop)
	fs.opsLeft = stop
	m := model{terms: map[uint64]uint64{}}
	before := m.clone()
	s, _, err := openMem(fs)
	for n := 0; err == nil && n < 25; n++ {
		err = m.step(r, s, &before)
	}
	if err == nil {
		return true
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
	s, start, err := openMem(fs)
	require.NoError(t, err, name)
	require.True(t, m.agrees(start, m) || before.agrees(start, m), "%s: found %+v, expected %+v or %+v", name, start, m, before)
	require.NoError(t, s.Close())
	return false
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
	var ends []int64
	for i := uint64(1); i <= 12; i++ {
		require.NoError(t, s.Save(ready(1, i-1, entries(i, i, 1, 20))))
		if len(s.segments) == 1 {
			ends = append(ends, s.size)
		}
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
			if name == last && err == nil {
				continue // the last record is taken for a torn tail
			}
			var damage *DamageError
			require.True(t, errors.As(err, &damage), "%s at %d: %v", name, at, err)
			require.Equal(t, name, damage.File)
			require.LessOrEqual(t, damage.Offset, int64(at))
		}
	}
	f := fs.files[s.path(segmentName(1))]
	f.data[ends[1]+20] ^= 1
	_, _, err = openMem(fs)
	var damage *DamageError
	require.ErrorAs(t, err, &damage)
	require.Equal(t, ends[1], damage.Offset)
}
