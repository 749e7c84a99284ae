package wal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
)

const commandBytes = 128

// benchReplica is a replica on the operating system's file system. Its goroutine
// calls the functions in its inbox.
type benchReplica struct {
	core    *consensus.Core
	storage *Storage
	inbox   chan func()
	clients map[uint64]chan struct{}
}

func startBenchReplicas(b *testing.B, n int) map[consensus.ReplicaID]*benchReplica {
	group := map[consensus.ReplicaID]*benchReplica{}
	var members []consensus.Member
	for i := range n {
		s, _, err := Open(fmt.Sprintf("%s/%d", b.TempDir(), i), Options{})
		require.NoError(b, err)
		id := s.Identity().Replica
		group[id] = &benchReplica{storage: s, inbox: make(chan func(), 4096), clients: map[uint64]chan struct{}{}}
		members = append(members, consensus.Member{ID: id, Name: fmt.Sprint(i), Voter: true})
	}
	snap, hs := consensus.Bootstrap(members, nil)
	for id, l := range group {
		require.NoError(b, l.storage.Save(consensus.Ready{Snapshot: &snap, HardState: &hs, MustSync: true}))
		core, err := consensus.New(consensus.DefaultConfig(id, rand.New(rand.NewPCG(1, uint64(id)))), consensus.DurableState{HardState: hs, Snapshot: &snap})
		require.NoError(b, err)
		l.core = core
	}
	return group
}

// run calls all queued functions, then handles the Readys, and repeats this until
// stop is closed.
func (l *benchReplica) run(group map[consensus.ReplicaID]*benchReplica, leaders chan<- *benchReplica, stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			l.core.Tick()
		case f := <-l.inbox:
			f()
		}
		for n := len(l.inbox); n > 0; n-- {
			(<-l.inbox)()
		}
		for l.core.HasReady() {
			l.handle(l.core.Ready(), group, leaders)
		}
	}
}

func (l *benchReplica) handle(r consensus.Ready, group map[consensus.ReplicaID]*benchReplica, leaders chan<- *benchReplica) {
	send := func(messages []consensus.Message) {
		for _, m := range messages {
			to := group[m.To]
			select {
			case to.inbox <- func() { _ = to.core.Step(m) }:
			default: // like a network, a full queue drops the message
			}
		}
	}
	send(r.PreSyncMessages)
	if err := l.storage.Save(r); err != nil {
		panic(err)
	}
	send(r.Messages)
	for _, e := range r.Committed {
		if done := l.clients[e.Index]; done != nil {
			done <- struct{}{}
			delete(l.clients, e.Index)
		}
		if e.Kind == consensus.EntryNoop && l.core.IsLeader() {
			leaders <- l
		}
	}
	l.core.Advance()
}

// BenchmarkCommit measures commits with closed-loop clients. The baseline is the
// sync of one record of the same size, measured in the same run.
func BenchmarkCommit(b *testing.B) {
	b.Run("baseline=sync", func(b *testing.B) {
		s, _, err := Open(b.TempDir(), Options{})
		require.NoError(b, err)
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for i := uint64(1); b.Loop(); i++ {
			at := time.Now()
			require.NoError(b, s.Save(ready(1, i-1, entries(i, i, 1, commandBytes))))
			_ = h.RecordValue(time.Since(at).Microseconds())
		}
		report(b, h)
	})
	for _, n := range []int{3, 5} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("voters=%d/clients=%d", n, clients), func(b *testing.B) { benchmarkCommit(b, n, clients) })
		}
	}
}

func benchmarkCommit(b *testing.B, n, clients int) {
	group := startBenchReplicas(b, n)
	leaders := make(chan *benchReplica, n)
	stop := make(chan struct{})
	var replicas, workload conc.WaitGroup
	for _, l := range group {
		replicas.Go(func() { l.run(group, leaders, stop) })
	}
	leader := <-leaders
	histograms := make([]*hdrhistogram.Histogram, clients)
	b.ResetTimer()
	for c := range clients {
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		histograms[c] = h
		workload.Go(func() {
			done := make(chan struct{}, 1)
			for i := c; i < b.N; i += clients {
				at := time.Now()
				leader.inbox <- func() { leader.propose(done) }
				<-done
				_ = h.RecordValue(time.Since(at).Microseconds())
			}
		})
	}
	workload.Wait()
	b.StopTimer()
	close(stop)
	replicas.Wait()
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	report(b, histograms[0])
}

func (l *benchReplica) propose(done chan struct{}) {
	index, err := l.core.Propose(make([]byte, commandBytes))
	if err != nil {
		panic(err)
	}
	l.clients[index] = done
}

func report(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkRestart measures Open and consensus.New for logs of several lengths. A
// snapshot, if there is one, covers all but the last 1,000 entries.
func BenchmarkRestart(b *testing.B) {
	const batch = 1000
	for _, n := range []uint64{1000, 10000, 100000} {
		for _, snapshot := range []bool{false, true} {
			if snapshot && n <= batch {
				continue
			}
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", n, snapshot), func(b *testing.B) {
				folder := b.TempDir()
				s, _, err := Open(folder, Options{})
				require.NoError(b, err)
				snap, hs := consensus.Bootstrap(nil, nil)
				require.NoError(b, s.Save(consensus.Ready{Snapshot: &snap, HardState: &hs, MustSync: true}))
				for i := uint64(2); i < n+2; i += batch {
					require.NoError(b, s.Save(ready(1, i-1, entries(i, i+batch-1, 1, commandBytes))))
				}
				if snapshot {
					require.NoError(b, s.SaveSnapshot(consensus.Snapshot{Index: n - batch + 1, Term: 1, Data: make([]byte, 1<<20)}))
				}
				require.NoError(b, s.Close())
				b.ResetTimer()
				for range b.N {
					s, durable, err := Open(folder, Options{})
					require.NoError(b, err)
					_, err = consensus.New(consensus.DefaultConfig(s.Identity().Replica, rand.New(rand.NewPCG(1, 1))), durable)
					require.NoError(b, err)
					require.NoError(b, s.Close())
				}
				b.StopTimer()
				b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/restart")
			})
		}
	}
}
