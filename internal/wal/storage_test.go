package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
)

func entries(first, last, term uint64, bytes int) []consensus.Entry {
	var list []consensus.Entry
	for i := first; i <= last; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Data: make([]byte, bytes)})
	}
	return list
}

func ready(term, commit uint64, list []consensus.Entry) consensus.Ready {
	return consensus.Ready{HardState: &consensus.HardState{Term: term, Vote: 1, Commit: commit}, Entries: list, MustSync: true}
}

// Guards against state that changes across a restart, and against a data folder
// that is used by two processes or by another cluster.
func TestRestart(t *testing.T) {
	folder := t.TempDir() + "/a/b"
	s, durable, err := Open(folder, Options{Cluster: "c1"})
	require.NoError(t, err)
	require.Equal(t, consensus.DurableState{}, durable)
	_, _, err = Open(folder, Options{Cluster: "c1"})
	require.ErrorContains(t, err, "another process")
	require.NoError(t, s.Save(ready(1, 0, entries(1, 10, 1, 5))))
	require.NoError(t, s.Save(ready(2, 5, entries(8, 9, 2, 5))))
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Save(consensus.Ready{}), ErrClosed)

	_, _, err = Open(folder, Options{Cluster: "c2"})
	var mismatch *ClusterMismatchError
	require.ErrorAs(t, err, &mismatch)
	s2, durable, err := Open(folder, Options{})
	require.NoError(t, err)
	require.Equal(t, s.Identity(), s2.Identity())
	require.Equal(t, consensus.HardState{Term: 2, Vote: 1, Commit: 5}, durable.HardState)
	require.Equal(t, append(entries(1, 7, 1, 5), entries(8, 9, 2, 5)...), durable.Entries)
	require.NoError(t, s2.Close())
}

// Guards against segments that exceed their size limit or remain after a snapshot
// covers them, and against a restart that loses entries after the snapshot.
func TestSegmentsAndSnapshot(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	s, _, err := Open(folder, Options{})
	require.NoError(t, err)
	for i := uint64(1); i <= 40; i++ {
		require.NoError(t, s.Save(ready(1, i-1, entries(i, i, 1, 1<<20))))
	}
	require.Greater(t, len(s.segments), 5)
	snap := consensus.Snapshot{Index: 30, Term: 1, Data: make([]byte, 3<<20)}
	require.NoError(t, s.SaveSnapshot(snap))
	require.LessOrEqual(t, len(s.segments), 3)
	require.NoError(t, s.Close())
	s, durable, err := Open(folder, Options{})
	require.NoError(t, err)
	require.Equal(t, &snap, durable.Snapshot)
	require.Equal(t, entries(31, 40, 1, 1<<20), durable.Entries)

	received := consensus.Snapshot{Index: 100, Term: 2, Data: []byte("x")}
	require.NoError(t, s.Save(consensus.Ready{Snapshot: &received, HardState: &consensus.HardState{Term: 2, Commit: 100}, MustSync: true}))
	require.NoError(t, s.Save(ready(2, 100, entries(101, 102, 2, 1))))
	require.NoError(t, s.Close())
	s, durable, err = Open(folder, Options{})
	require.NoError(t, err)
	require.Equal(t, &received, durable.Snapshot)
	require.Equal(t, entries(101, 102, 2, 1), durable.Entries)
	require.NoError(t, s.Close())
}
