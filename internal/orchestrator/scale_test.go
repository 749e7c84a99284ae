package orchestrator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"runtime/pprof"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// scaleFleet is a large set of workers without faults. Each task runs for taskTime.
type scaleFleet struct {
	began    time.Time
	taskTime time.Duration
	// slack is how long jobs may wait in all.
	slack   time.Duration
	workers []*scaleWorker
	byID    map[string]*scaleWorker
	// machines reports that each worker runs on an instance that the platform lists and moves.
	machines bool
	// lasting reports that tasks last, and are listed at their full pace.
	lasting bool
}

type scaleWorker struct {
	id      string
	mu      sync.Mutex
	running []scaleRun
	ended   []workload.RunEnd
	lastEnd uint64
}

type scaleRun struct {
	task workload.TaskID
	run  int
	ends time.Time
}

var scaleCapacity = resources.Amount{MilliCPU: 64_000, MemoryMB: 128_000}

func newScaleFleet(n int, taskTime time.Duration) *scaleFleet {
	f := &scaleFleet{began: time.Now(), taskTime: taskTime, slack: time.Hour, byID: map[string]*scaleWorker{}}
	for i := range n {
		w := &scaleWorker{id: fmt.Sprintf("w%05d", i)}
		f.workers = append(f.workers, w)
		f.byID[w.id] = w
	}
	return f
}

func (f *scaleFleet) clock() int64 { return time.Since(f.began).Milliseconds() + 1000 }

func (w *scaleWorker) advance() {
	kept := w.running[:0]
	for _, r := range w.running {
		if time.Now().Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		w.lastEnd++
		w.ended = append(w.ended, workload.RunEnd{Sequence: w.lastEnd, Task: r.task, Run: r.run, Outcome: workload.Succeeded})
	}
	w.running = kept
}

func (f *scaleFleet) Start(_ context.Context, t executor.Target, s executor.Start) (int64, error) {
	w := f.byID[t.ID]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = append(w.running, scaleRun{s.Task, s.Run, time.Now().Add(f.taskTime)})
	return f.clock(), nil
}

// List implements executor.Instances.
func (f *scaleFleet) List(context.Context) ([]executor.Instance, error) {
	out := make([]executor.Instance, 0, len(f.workers))
	for i, w := range f.workers {
		out = append(out, executor.Instance{ID: "m-" + w.id, Pool: fmt.Sprint("p", i%scalePools), State: executor.Up, Capacity: scaleCapacity, Worker: w.id})
	}
	return out, nil
}

// Move implements executor.Instances. The workers stay in their pools.
func (f *scaleFleet) Move(context.Context, executor.Authority, string, string) error {
	return &executor.DeclinedError{Reason: "fixed"}
}

// Maintain implements executor.Instances.
func (f *scaleFleet) Maintain(context.Context, executor.Authority, string, uint64) error {
	return &executor.DeclinedError{Reason: "fixed"}
}

func (f *scaleFleet) Stop(context.Context, executor.Target, executor.Stop) error { return nil }

func (f *scaleFleet) Pace(context.Context, executor.Target, executor.Pace) error { return nil }

func (f *scaleFleet) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	w := f.byID[t.ID]
	until := time.Now().Add(p.Wait)
	for {
		w.mu.Lock()
		for len(w.ended) > 0 && w.ended[0].Sequence <= p.Acknowledged {
			w.ended = w.ended[1:]
		}
		w.advance()
		if len(w.ended) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			response := executor.PollResponse{Clock: f.clock(), Incarnation: 1, Ended: append([]workload.RunEnd(nil), w.ended...), Complete: true}
			for _, r := range w.running {
				percent := fullPace
				if !f.lasting {
					percent = min(max(100-int(100*time.Until(r.ends)/f.taskTime), 0), 99)
				}
				response.Running = append(response.Running, executor.Running{Task: r.task, Run: r.run, Percent: percent})
			}
			w.mu.Unlock()
			return response, ctx.Err()
		}
		next := until
		for _, r := range w.running {
			if r.ends.Before(next) {
				next = r.ends
			}
		}
		w.mu.Unlock()
		time.Sleep(time.Until(next))
	}
}

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// scaleStretch is by how much a job may take longer than its tasks.
const scaleStretch = 1.6

// scalePools is the number of pools among which the workers are divided.
const scalePools = 5

// startScaleSystem starts one replica and reports all workers to it.
func startScaleSystem(t testing.TB, f *scaleFleet, workers executor.Workers) *Orchestrator {
	return startScaleGroup(t, f, workers, 1)
}

// startScaleGroup starts a group of replicas, of which the others carry the leader's orders,
// and reports all workers to the leader, which it returns. The goroutines of each replica have
// its name as the profiler label "replica".
func startScaleGroup(t testing.TB, f *scaleFleet, workers executor.Workers, replicas int) *Orchestrator {
	var addresses []control.Address
	var listeners []net.Listener
	for i := range replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses = append(addresses, control.Address{Name: fmt.Sprint("c", i), Peer: ln.Addr().String()})
		listeners = append(listeners, ln)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var members []*Orchestrator
	leading := make(chan *Orchestrator, replicas)
	for i, self := range addresses {
		pprof.Do(ctx, pprof.Labels("replica", self.Name), func(context.Context) {
			metrics := telemetry.NewMetrics()
			replica, err := control.Open(control.Options{
				Cluster: "test", Self: self, Members: addresses, DataFolder: filepath.Join(t.TempDir(), "data"), Listener: listeners[i], Log: logr.Discard(), Metrics: metrics,
			})
			require.NoError(t, err)
			options := Options{Settings: DefaultSettings(), Replica: replica, Workers: workers, ReplicaName: self.Name, Log: logr.Discard(), Metrics: metrics}
			var o *Orchestrator
			if f.machines {
				options.Instances = f
			}
			options.OnLeadershipChange = func(leads bool) {
				if leads {
					leading <- o
				}
			}
			o = New(options)
			replica.SetService(o)
			running.Go(func() { _ = replica.Run(ctx) })
			members = append(members, o)
		})
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, o := range members {
			o.Close()
		}
	})
	topology := &workload.Topology{Version: 1}
	for p := range scalePools {
		pool := fmt.Sprint("p", p)
		topology.Pools = append(topology.Pools, workload.Pool{Name: pool})
		topology.Queues = append(topology.Queues, workload.Queue{
			Name: pool, Host: "h", Prefix: "/" + pool + "/", Public: true, Timeout: 3 * time.Second, Pool: pool, MaxAttempts: 3, Stretch: scaleStretch, Slack: f.slack,
		})
	}
	o := <-leading
	require.Eventually(t, func() bool { return o.ApplyTopology(ctx, topology) == nil }, 10*time.Second, 10*time.Millisecond)
	running.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			var reports sync.WaitGroup
			for i, w := range f.workers {
				reports.Go(func() {
					_ = o.Report(ctx, &Report{Sequence: sequence, Clock: f.clock(), Worker: workload.Worker{
						ID: w.id, Incarnation: 1, Address: w.id, Pool: fmt.Sprint("p", i%scalePools), Capacity: scaleCapacity, Labels: []string{"a", fmt.Sprint("r", i/12)},
					}})
				})
			}
			reports.Wait()
			time.Sleep(time.Second)
		}
	})
	return o
}

// BenchmarkLeader measures the leader's work for each run, with workers that take no
// processor time: placement, commits, orders, polls and ends. Most of the time that a
// round of placement takes shows in round-ms.
func BenchmarkLeader(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{300, 40}, {1100, 150}, {3000, 150}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			f := newScaleFleet(size.workers, time.Second)
			benchmarkLeader(b, f, startScaleSystem(b, f, f), size.jobs)
		})
	}
}

// BenchmarkLeaderWithCarriers measures the same in a group of five, in which the other
// replicas carry the orders. The processor time is that of all replicas; a profile shows that
// of each with the tag "replica".
func BenchmarkLeaderWithCarriers(b *testing.B) {
	f := newScaleFleet(1100, 640*time.Millisecond)
	f.machines = true
	benchmarkLeader(b, f, startScaleGroup(b, f, f, 5), 200)
}

// benchmarkLeader submits a number of jobs a second for b.N seconds.
func benchmarkLeader(b *testing.B, f *scaleFleet, o *Orchestrator, jobsPerSecond int) {
	ctx := context.Background()
	time.Sleep(2 * time.Second) // all workers have reported
	const tasks = 16
	submitted := 0
	b.ResetTimer()
	began := cpuTime(b)
	for range b.N {
		var jobs sync.WaitGroup
		for range jobsPerSecond {
			id, pool := submitted, submitted%scalePools
			submitted++
			jobs.Go(func() {
				step := workload.Step{Count: tasks, Resources: resources.Amount{MilliCPU: 4000, MemoryMB: 1000}, Estimate: f.taskTime}
				response, err := o.Call(ctx, MethodSubmit, &Call{
					Host: "h", Path: fmt.Sprintf("/p%d/%016x", pool, id), Remaining: 3 * time.Second, Job: &workload.Job{Spec: "s", Steps: []workload.Step{step}},
				})
				if err != nil || response.Outcome != Accepted {
					b.Errorf("submission: %v %v", response, err)
				}
			})
			time.Sleep(time.Second / time.Duration(jobsPerSecond))
		}
		jobs.Wait()
	}
	b.StopTimer()
	used := cpuTime(b) - began
	b.ReportMetric(float64(used.Microseconds())/float64(submitted*tasks), "cpu-us/run")
	b.ReportMetric(float64(used.Seconds())/b.Elapsed().Seconds(), "cores")
	b.ReportMetric(o.Metrics.Histogram("placement_round").Quantile(0.5).Seconds()*1000, "round-ms")
}
