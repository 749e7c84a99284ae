package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
)

// Guards against the loss of an acknowledged change when replicas are killed one
// after the other during changes, and against a slow or failing restart of all
// replicas after several hundred changes.
func TestAcknowledgedChangesSurviveReplicaKills(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.apply(twoPoolRules)
	ctx := context.Background()
	acknowledged := map[string]bool{}
	stop := make(chan struct{})
	killed := make(chan int)
	go func() {
		n := 0
		for i := 0; ; i++ {
			select {
			case <-stop:
				killed <- n
				return
			case <-time.After(700 * time.Millisecond):
			}
			r := c.controls[i%3]
			r.kill()
			time.Sleep(300 * time.Millisecond)
			r.start()
			n++
		}
	}()
	for i := range 400 {
		id := fmt.Sprint("key-", i)
		if _, err := c.client.GiveKey(ctx, id, "shops", "secret-"+id); err == nil {
			acknowledged[id] = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	kills := <-killed
	t.Logf("%d kills, %d changes acknowledged", kills, len(acknowledged))
	require.GreaterOrEqual(t, kills, 5)
	require.Greater(t, len(acknowledged), 350, "changes failed although a majority of replicas was available all the time")
	for _, r := range c.controls {
		r.kill()
	}
	restartedAt := time.Now()
	for _, r := range c.controls {
		r.start()
	}
	c.eventually(10*time.Second, "the replicas answer after a restart of all", func() bool {
		_, err := c.client.Rules(ctx)
		return err == nil
	})
	t.Logf("first answer after the restart of all replicas: %v", time.Since(restartedAt))
	c.requireKeys(acknowledged)
}

// requireKeys fails the test unless all wanted keys exist.
func (c *cluster) requireKeys(want map[string]bool) {
	c.t.Helper()
	keys, err := c.client.Keys(context.Background(), "")
	require.NoError(c.t, err)
	found := map[string]bool{}
	for _, k := range keys {
		found[k.ID] = true
	}
	for id := range want {
		require.True(c.t, found[id], "acknowledged key %s is lost", id)
	}
}

// Guards against data loss when a second replica loses its disk right after the
// first one has rejoined with an empty disk.
func TestReplicasLoseDisksInSuccession(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.apply(twoPoolRules)
	want := map[string]bool{}
	issue := func(id string) {
		_, err := c.client.GiveKey(context.Background(), id, "shops", operator.NewSecret())
		require.NoError(t, err)
		want[id] = true
	}
	for i := range 20 {
		issue(fmt.Sprint("before-", i))
	}
	wipeDisk := func(i int) {
		r := c.controls[i]
		r.kill()
		require.NoError(t, os.RemoveAll(r.folder))
		r.start()
		c.waitVoter(i)
	}
	wipeDisk(0)
	issue("between")
	wipeDisk(1)
	issue("after")
	wipeDisk(2)
	issue("last")
	c.requireKeys(want)
}

// waitVoter waits until the replica is a voter that has applied all committed entries.
func (c *cluster) waitVoter(i int) {
	c.t.Helper()
	name := fmt.Sprint("control-", i)
	c.eventually(20*time.Second, name+" votes again", func() bool {
		own, err := c.client.Status(context.Background(), c.controls[i].operator)
		if err != nil || own.Role == "learner" || own.Applied == 0 {
			return false
		}
		for _, m := range own.Members {
			if m.Name == name && m.Voter {
				return own.Applied == own.Commit
			}
		}
		return false
	})
}

// Guards against a replica that starts although its log is corrupted in the middle.
func TestReplicaRefusesCorruptedLog(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.apply(twoPoolRules)
	for i := range 50 {
		_, err := c.client.GiveKey(context.Background(), fmt.Sprint("key-", i), "shops", operator.NewSecret())
		require.NoError(t, err)
	}
	r := c.controls[2]
	r.kill()
	nested, err := filepath.Glob(filepath.Join(r.folder, "*", "*"))
	require.NoError(t, err)
	files, err := filepath.Glob(filepath.Join(r.folder, "*"))
	require.NoError(t, err)
	corrupted := corruptLargest(t, append(nested, files...))
	r.start()
	require.Error(t, r.cmd.Wait(), "the replica started although its log is corrupted")
	r.stopped = true
	require.Contains(t, r.tail(), filepath.Base(corrupted))
	_, err = c.client.GiveKey(context.Background(), "after", "shops", operator.NewSecret())
	require.NoError(t, err, "the other two replicas do not accept changes")
}

// corruptLargest inverts a byte in the middle of the largest file and returns the
// path of the file.
func corruptLargest(t *testing.T, paths []string) string {
	t.Helper()
	largest, size := "", int64(0)
	for _, p := range paths {
		info, err := os.Stat(p)
		require.NoError(t, err)
		if info.Mode().IsRegular() && info.Size() > size {
			largest, size = p, info.Size()
		}
	}
	data, err := os.ReadFile(largest)
	require.NoError(t, err)
	// A preallocated file ends in zeros, so the middle of its content is used.
	end := len(data)
	for end > 0 && data[end-1] == 0 {
		end--
	}
	data[end/2] ^= 0xff
	require.NoError(t, os.WriteFile(largest, data, 0o600))
	return largest
}
