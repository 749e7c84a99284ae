package control

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/wal"
)

// stallingDisks is a file system on which the syncs of files below a folder can be held up.
type stallingDisks struct {
	wal.Disk

	mu     sync.Mutex
	folder string
	until  chan struct{}
}

type stallingFile struct {
	wal.File
	disks *stallingDisks
	name  string
}

func (d *stallingDisks) Create(name string) (wal.File, error) {
	file, err := d.Disk.Create(name)
	return &stallingFile{file, d, name}, err
}

func (d *stallingDisks) Append(name string) (wal.File, error) {
	file, err := d.Disk.Append(name)
	return &stallingFile{file, d, name}, err
}

// stall holds up syncs below a folder until the returned function is called.
func (d *stallingDisks) stall(folder string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folder, d.until = folder+string(os.PathSeparator), make(chan struct{})
	return sync.OnceFunc(func() { close(d.until) })
}

func (f *stallingFile) Sync() error {
	f.disks.mu.Lock()
	until, stalled := f.disks.until, f.disks.folder != "" && strings.HasPrefix(f.name, f.disks.folder)
	f.disks.mu.Unlock()
	if stalled {
		<-until
	}
	return f.File.Sync()
}

// Guards against a change of leader, and changes without an answer, while the disk of the leader
// stalls for seconds: the other replicas can commit without it.
func TestLeaderWithStalledDiskGoesOn(t *testing.T) {
	t.Parallel()
	g, disks := newGroup(t, 0), &stallingDisks{}
	g.files = disks
	for _, name := range []string{"c1", "c2", "c3"} {
		g.members = append(g.members, g.address(name))
	}
	for _, m := range g.members {
		g.start(m)
	}
	g.applyRules(1, 1)
	leader := g.leader()
	var term uint64
	g.onEventLoop(leader, func() { term = leader.core.Term() })
	end := disks.stall(filepath.Join(g.folder, leader.options.Self.Name))
	defer end()
	sequence := uint64(0)
	commit := func() {
		sequence++
		require.Nil(t, g.commit(giveKeyCommand("op", sequence)).Err)
	}
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		commit()
	}
	require.Greater(t, sequence, uint64(20))
	var now uint64
	g.onEventLoop(leader, func() {
		if leader.core.IsLeader() {
			now = leader.core.Term()
		}
	})
	require.Equal(t, term, now, "the same replica leads")
	end()
	commit()
	name := leader.options.Self.Name
	g.halt(name) // what was committed beside the save is on the disks of the others, and on this one by now
	g.start(g.self(name))
	commit()
	g.awaitKeys(int(sequence))
}
