package control

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/wal"
)

// fullDisks is a file system on which the files below a folder can be refused every write.
type fullDisks struct {
	wal.Disk
	full atomic.Pointer[string]
}

type fullFile struct {
	wal.File
	disks *fullDisks
	name  string
}

func (d *fullDisks) refuses(name string) bool {
	folder := d.full.Load()
	return folder != nil && strings.HasPrefix(name, *folder+string(os.PathSeparator))
}

func (d *fullDisks) Create(name string) (wal.File, error) {
	if d.refuses(name) {
		return nil, syscall.ENOSPC
	}
	file, err := d.Disk.Create(name)
	return &fullFile{file, d, name}, err
}

func (d *fullDisks) Append(name string) (wal.File, error) {
	file, err := d.Disk.Append(name)
	return &fullFile{file, d, name}, err
}

// Write writes a part of b if the disk is full.
func (f *fullFile) Write(b []byte) (int, error) {
	if !f.disks.refuses(f.name) {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func newGroupOnDisks(t *testing.T, n int) (*group, *fullDisks) {
	g, disks := newGroup(t, 0), &fullDisks{}
	g.files = disks
	for i := range n {
		g.members = append(g.members, g.address("c"+string(rune('1'+i))))
	}
	for _, m := range g.members {
		g.start(m)
	}
	return g, disks
}

// Guards against changes that stay unanswered after the disks of replicas were full one after
// another: a replica whose disk was full ended, could not start, and neither voted nor followed.
// A leader without room must leave the leadership to others at once, and each replica must take
// part again by itself once it has room.
func TestFullDisksOneAfterAnother(t *testing.T) {
	t.Parallel()
	g, disks := newGroupOnDisks(t, 3)
	g.applyRules(1, 1)
	sequence := uint64(0)
	commit := func() {
		sequence++
		require.Nil(t, g.commit(giveKeyCommand("op", sequence)).Err)
	}
	for range 3 {
		leader := g.leader()
		folder := filepath.Join(g.folder, leader.options.Self.Name)
		disks.full.Store(&folder)
		commit()
		require.Eventually(t, func() bool { return leader.Status().Role != "leader" }, 5*time.Second, time.Millisecond)
		for range 20 {
			commit()
		}
		require.NoError(t, leader.alive())
		require.Eventually(t, func() bool { return len(leader.Status().Findings) > 0 }, 5*time.Second, time.Millisecond, "an operator sees which disk is full")
		disks.full.Store(nil)
		// The replica is needed for a quorum as soon as another one is lost.
		other := g.leader().options.Self.Name
		require.NotEqual(t, leader.options.Self.Name, other)
		g.halt(other)
		commit()
		g.start(g.self(other))
	}
	g.awaitKeys(int(sequence))
}

// Guards against a process that ends again and again while its disk is full: the start rewrites the
// last segment of the log.
func TestStartWaitsForRoom(t *testing.T) {
	t.Parallel()
	g, disks := newGroupOnDisks(t, 3)
	g.applyRules(1, 1)
	g.halt("c1")
	folder := filepath.Join(g.folder, "c1")
	disks.full.Store(&folder)
	options := Options{Cluster: "test", Self: g.self("c1"), Members: g.members, DataFolder: folder, Log: g.log, FS: disks}
	_, err := Open(options)
	require.ErrorIs(t, err, wal.ErrNoRoom)
	ctx, cancel := context.WithTimeout(t.Context(), 3*roomRetryInterval)
	defer cancel()
	_, err = OpenWithRoom(ctx, options)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	time.AfterFunc(2*roomRetryInterval, func() { disks.full.Store(nil) })
	r, err := OpenWithRoom(t.Context(), options)
	require.NoError(t, err)
	require.NoError(t, r.storage.Close())
	g.start(g.self("c1"))
}

// Guards against a full disk that stops a replica because a snapshot has no room, and against a log
// that is never compacted afterwards.
func TestSnapshotWithoutRoomIsRepeated(t *testing.T) {
	t.Parallel()
	g, disks := newGroupOnDisks(t, 3)
	g.snapshotEntries = 1
	g.applyRules(1, 1)
	follower := "c1"
	if g.leader().options.Self.Name == follower {
		follower = "c2"
	}
	folder := filepath.Join(g.folder, follower)
	disks.full.Store(&folder)
	for sequence := range uint64(100) {
		require.Nil(t, g.commit(giveKeyCommand("op", sequence+1)).Err)
	}
	disks.full.Store(nil)
	g.awaitKeys(100)
	require.Eventually(t, func() bool {
		names, err := disks.List(folder)
		for _, name := range names {
			if strings.HasSuffix(name, ".snapshot") && name > "state-0000000000000032" {
				return err == nil
			}
		}
		return false
	}, 10*time.Second, 10*time.Millisecond)
}
