package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cactusspar/internal/rules"
)

type benchWaiter struct{ t Ticket }

func (w *benchWaiter) Answer(t Ticket, _ *Refusal) { w.t = t }

// BenchmarkAcquireRelease measures a Pool without its goroutine: one request from
// the queue to a ticket and its release, with half of the slots busy.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, endpoints := range []int{5, 12, 100} {
		for _, teams := range []int{5, 69} {
			b.Run(fmt.Sprintf("endpoints=%d/teams=%d", endpoints, teams), func(b *testing.B) {
				f := newBenchPool(b, endpoints, teams)
				benchmarkPool(b, f, teams, false)
			})
		}
	}
}

// BenchmarkAcquireReleaseKeyed is BenchmarkAcquireRelease with a record for each
// request.
func BenchmarkAcquireReleaseKeyed(b *testing.B) {
	benchmarkPool(b, newBenchPool(b, 12, 5), 5, true)
}

func newBenchPool(b *testing.B, endpoints, teams int) *fixture {
	f := newFixture(b, endpoints)
	f.view.Teams, f.view.Grants = map[string]rules.Team{}, map[string]int{}
	for i := range teams {
		f.view.Teams[fmt.Sprint("t", i)] = rules.Team{Share: i%5 + 1, Limit: 1000}
		f.view.Grants[fmt.Sprint("t", i)] = 1000
	}
	f.pool.Configure(f.now, f.view)
	f.announce()
	for i := range endpoints * 4 {
		f.acquire(fmt.Sprint("busy", i), func(a *AcquireRequest) { a.Team = "t0" })
	}
	f.pool.opts.Count = func(string, string) {}
	return f
}

func benchmarkPool(b *testing.B, f *fixture, teams int, keyed bool) {
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("t", i)
	}
	a := AcquireRequest{Pool: "p", Queue: "q", Remaining: time.Second, Idempotent: !keyed, DataCentre: "d0"}
	w := &benchWaiter{}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		a.Request, a.Team = "r", names[i%teams]
		if keyed {
			a.Key = fmt.Sprint(i % 50_000)
			f.now += recordLifetime / 20_000 // 20,000 records are kept
			if i%200 == 0 {
				f.announce()
			}
		}
		f.pool.Acquire(f.now, "e2", a, w)
		f.pool.Run(f.now)
		if w.t.ID == 0 {
			b.Fatal("no ticket")
		}
		f.pool.Release(f.now, "e2", ReleaseRequest{Ticket: w.t.ID, Epoch: 1, Outcome: OutcomeAnswered, Duration: time.Millisecond})
		w.t = Ticket{}
	}
}

// BenchmarkService measures a Service with its goroutines, in one process: requests
// without a key, with a record, and with a record that is copied to a backup.
func BenchmarkService(b *testing.B) {
	for _, mode := range []string{"no-key", "record", "record-and-copy"} {
		b.Run(mode, func(b *testing.B) {
			n := newNetwork()
			s := n.start(b, "e1")
			backup := ""
			if mode == "record-and-copy" {
				n.start(b, "e2")
				backup = "e2"
			}
			s.Update(snapshot(1, "e1", backup, "", 12))
			s.Announce(announcements(12))
			b.ReportAllocs()
			i := 0
			began := time.Now()
			for b.Loop() {
				i++
				key := ""
				if mode != "no-key" {
					key = fmt.Sprint(i)
				}
				got, err := s.Acquire(context.Background(), "e1", acquire(fmt.Sprint(i), key))
				if err != nil {
					b.Fatal(err)
				}
				// OutcomeNotRun removes the record, so that the number of records stays bounded.
				s.Release("e1", ReleaseRequest{Ticket: got.ID, Pool: "p", Epoch: 1, Outcome: OutcomeNotRun})
				if time.Since(began) > time.Second {
					began = time.Now()
					a := announcements(12)
					for j := range a.Items {
						a.Items[j].Sequence = uint64(i + 1)
					}
					s.Announce(a)
				}
			}
		})
	}
}
