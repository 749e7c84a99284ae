package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// reportLatencies reports the median, the 99th percentile and the maximum.
func reportLatencies(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[min(len(times)-1, int(q*float64(len(times))))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCommit measures the latency of sequential commands.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newGroup(b, voters)
			g.applyRules(5, 5)
			leader := g.leader()
			var times []time.Duration
			for b.Loop() {
				began := time.Now()
				_, err := leader.Propose(context.Background(), state.Command{WithdrawKey: &state.WithdrawKey{ID: "none"}})
				require.NoError(b, err)
				times = append(times, time.Since(began))
			}
			reportLatencies(b, times)
		})
	}
}

// BenchmarkCommitConcurrent measures the latency and rate of commands from several
// clients for each processor, each with one command at a time.
func BenchmarkCommitConcurrent(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newGroup(b, voters)
			g.snapshotEntries = defaultSnapshotEntries
			g.applyRules(5, 5)
			leader := g.leader()
			var mu sync.Mutex
			var times []time.Duration
			began := time.Now()
			b.SetParallelism(6) // goroutines for each processor
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					began := time.Now()
					_, err := leader.Propose(context.Background(), state.Command{WithdrawKey: &state.WithdrawKey{ID: "none"}})
					took := time.Since(began)
					if err != nil {
						b.Error(err)
						return
					}
					mu.Lock()
					times = append(times, took)
					mu.Unlock()
				}
			})
			rate := float64(len(times)) / time.Since(began).Seconds()
			reportLatencies(b, times)
			b.ReportMetric(rate, "changes/s")
		})
	}
}

// BenchmarkFailover measures the time from the loss of the leader to the next
// commit.
func BenchmarkFailover(b *testing.B) {
	for _, planned := range []bool{true, false} {
		b.Run(fmt.Sprintf("planned=%t", planned), func(b *testing.B) {
			g := newGroup(b, 3)
			g.applyRules(5, 5)
			var times []time.Duration
			for b.Loop() {
				name := g.leader().options.Self.Name
				lost := g.replicas[name]
				delete(g.replicas, name)
				began := time.Now()
				if planned {
					g.stop[name]()
				} else {
					g.setIsolated(name, true)
				}
				g.commit(state.Command{WithdrawKey: &state.WithdrawKey{ID: "none"}})
				times = append(times, time.Since(began))
				if planned {
					g.start(g.self(name))
				} else {
					g.setIsolated(name, false)
					g.replicas[name] = lost
				}
				time.Sleep(500 * time.Millisecond)
			}
			reportLatencies(b, times)
		})
	}
}

// BenchmarkRulesPropagation measures the time from the commit of rules to their
// arrival at each of 9 fake entry instances that renew every 200 ms.
func BenchmarkRulesPropagation(b *testing.B) {
	g := newGroup(b, 3)
	g.applyRules(5, 5)
	all := g.startEntries(9, 5)
	var times []time.Duration
	version := uint64(1)
	for b.Loop() {
		r := g.commit(state.Command{ApplyRules: &state.ApplyRules{Expected: version, Text: rulesText(5, 5), Author: "asha"}})
		require.Nil(b, r.Err)
		accepted := time.Now()
		version = r.Version
		for _, e := range all {
			for v := uint64(0); v != version; {
				v = <-e.arrivedVersions
			}
			times = append(times, time.Since(accepted))
		}
	}
	reportLatencies(b, times)
}

// fleetSize is the size of a fleet. omitIdle means that idle dispatchers do not
// report their present grants.
type fleetSize struct {
	entries, pools, teams, instances int
	omitIdle                         bool
}

// BenchmarkLeaderLoad measures a leader process in a steady state: its CPU time,
// resident memory, and bytes to and from other processes.
func BenchmarkLeaderLoad(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "cactusspar-control")
	out, err := exec.Command("go", "build", "-o", binary, "cactusspar/cmd/cactusspar-control").CombinedOutput()
	require.NoError(b, err, string(out))
	for _, size := range []fleetSize{
		{9, 5, 5, 60, true},
		{24, 5, 5, 60, true},
		{9, 386, 5, 60, true},
		{9, 5, 69, 60, true},
		{9, 5, 5, 1500, true},
		{24, 386, 69, 1500, true},
		{9, 5, 5, 60, false},
		{24, 386, 69, 1500, false},
	} {
		name := fmt.Sprintf("entries=%d,pools=%d,teams=%d,instances=%d,leaveOut=%t", size.entries, size.pools, size.teams, size.instances, size.omitIdle)
		b.Run(name, func(b *testing.B) { measureFleet(b, binary, size) })
	}
}

// controlProcesses is a group of three control processes.
type controlProcesses struct {
	*group
	pids   []int
	health []string
	client *operator.Client
}

func startControlProcesses(b *testing.B, binary string) *controlProcesses {
	p := &controlProcesses{group: newGroup(b, 0)}
	token := operator.NewSecret()
	tokens := filepath.Join(p.folder, "tokens")
	require.NoError(b, os.WriteFile(tokens, []byte(operator.TokenLine("asha", token)+"\n"), 0o600))
	var members []MemberSettings
	var operators []string
	for n := range 3 {
		m := MemberSettings{Name: fmt.Sprintf("c%d", n+1), Peer: p.address("").Peer, Operator: p.address("").Peer}
		members = append(members, m)
		operators = append(operators, m.Operator)
		p.members = append(p.members, Address(m))
		p.health = append(p.health, p.address("").Peer)
	}
	for n, m := range members {
		text, err := json.Marshal(map[string]any{
			"cluster": "test", "name": m.Name, "data_folder": m.Name, "members": members, "operator_tokens": tokens,
			"peer": map[string]string{"address": m.Peer}, "operator": map[string]string{"address": m.Operator},
			"health": map[string]string{"address": p.health[n]},
		})
		require.NoError(b, err)
		file := filepath.Join(p.folder, m.Name+".json")
		require.NoError(b, os.WriteFile(file, text, 0o600))
		command := exec.Command(binary, "--settings", file)
		command.Env = append(os.Environ(), "GOMAXPROCS=2") // as on a small instance
		require.NoError(b, command.Start())
		p.pids = append(p.pids, command.Process.Pid)
		b.Cleanup(func() {
			_ = command.Process.Signal(syscall.SIGTERM)
			_ = command.Wait()
		})
	}
	var err error
	p.client, err = operator.NewClient(operator.ClientOptions{Addresses: operators, Token: token})
	require.NoError(b, err)
	return p
}

// metric returns the value of a metric of process n, or 0 if it can't be read.
func (p *controlProcesses) metric(n int, name string) float64 {
	response, err := http.Get("http://" + p.health[n] + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			f, _ := strconv.ParseFloat(value, 64)
			return f
		}
	}
	return 0
}

// leaderIndex returns the index of the leader process, or -1 if there is none.
func (p *controlProcesses) leaderIndex() int {
	for n := range p.pids {
		if p.metric(n, "control_leader") == 1 {
			return n
		}
	}
	return -1
}

// usage is the resource usage of a process since its start.
type usage struct{ cpu, in, out, resident float64 }

func (p *controlProcesses) usage(b *testing.B, n int) usage {
	const ticksPerSecond = 100
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pids[n]))
	require.NoError(b, err)
	fields := strings.Fields(string(stat)[strings.LastIndex(string(stat), ")")+2:])
	number := func(i int) float64 {
		f, err := strconv.ParseFloat(fields[i], 64)
		require.NoError(b, err)
		return f
	}
	return usage{
		cpu: (number(11) + number(12)) / ticksPerSecond, resident: number(21) * float64(os.Getpagesize()),
		in: p.metric(n, `control_peer_bytes{direction="in"}`), out: p.metric(n, `control_peer_bytes{direction="out"}`),
	}
}

func measureFleet(b *testing.B, binary string, size fleetSize) {
	const settling, measured = 8 * time.Second, 10 * time.Second
	p := startControlProcesses(b, binary)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := p.client.Apply(ctx, 0, rulesText(size.pools, size.teams))
	require.NoError(b, err)
	var all []*fakeEntry
	for n := range size.entries {
		e := p.fakeEntry(fmt.Sprintf("e%d", n), 1, fmt.Sprintf("d%d", n%4+1))
		e.demand = allGrants
		if size.omitIdle {
			e.demand = returnedGrants
		}
		all = append(all, e.run())
	}
	p.awaitAssignments(all, size.pools)
	for from := 0; from < size.instances; from += maxInstancesPerCommand {
		m := &view.RenewRequest{Entry: all[0].self, Since: 1 << 62}
		for n := from; n < min(size.instances, from+maxInstancesPerCommand); n++ {
			m.Instances = append(m.Instances, state.Instance{ID: fmt.Sprintf("worker-%04d", n), Pool: fmt.Sprintf("p%03d", n%size.pools), DataCentre: "d1", Rack: "r1", Region: "coast", Slots: 8})
		}
		require.Eventually(b, func() bool { return all[0].call(ctx, view.MethodRenew, m, &view.Delta{}) == nil }, 5*time.Second, 50*time.Millisecond)
	}
	time.Sleep(settling)
	n := p.leaderIndex()
	require.GreaterOrEqual(b, n, 0)
	before := p.usage(b, n)
	time.Sleep(measured)
	after := p.usage(b, n)
	require.Equal(b, n, p.leaderIndex(), "the leader changed during the measurement")
	seconds := measured.Seconds()
	b.ReportMetric((after.cpu-before.cpu)/seconds*100, "%core")
	b.ReportMetric(after.resident/(1<<20), "MiB")
	b.ReportMetric((after.in-before.in)/seconds/1000, "KB-in/s")
	b.ReportMetric((after.out-before.out)/seconds/1000, "KB-out/s")
	b.ReportMetric(0, "ns/op")
}

// allGrants returns the report of a dispatcher without work that omits nothing: its
// former grants as returned, and its present grants.
func allGrants(e *fakeEntry) []view.Demand {
	return append(returnedGrants(e), currentGrants(e)...)
}

// returnedGrants reports former grants as returned.
func returnedGrants(e *fakeEntry) []view.Demand {
	var out []view.Demand
	for _, g := range e.grants {
		if g.Epoch != e.assignments[g.Pool].Epoch && g.Incarnation == e.self.Incarnation {
			out = append(out, view.Demand{Team: g.Team, Pool: g.Pool, Epoch: g.Epoch})
		}
	}
	return out
}

// currentGrants reports the grants of the pools that the entry instance dispatches.
func currentGrants(e *fakeEntry) []view.Demand {
	var out []view.Demand
	for _, g := range e.grants {
		if a := e.assignments[g.Pool]; a.Dispatcher == e.self.ID && a.Epoch == g.Epoch {
			out = append(out, view.Demand{Team: g.Team, Pool: g.Pool, Epoch: g.Epoch, Grant: g.Amount})
		}
	}
	return out
}
