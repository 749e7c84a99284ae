package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/standin"
)

// reportAllocations prints the number of allocations so far for each line that it
// reads from standard input.
func reportAllocations() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Println(m.Mallocs)
	}
}

func (p *process) allocations(t testing.TB) float64 {
	_, _ = fmt.Fprintln(p.in)
	n, err := strconv.ParseFloat(strings.TrimSpace(p.readLine(t)), 64)
	require.NoError(t, err)
	return n
}

// cpu returns the processor time that the process has used.
func (p *process) cpu(t testing.TB) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // 100 clock ticks a second
}

// runEndpoints runs eight stand-in endpoints that send announcements to an entry
// instance, and prints their addresses.
func runEndpoints(entry string) {
	var addrs []string
	for i := range 8 {
		runs, _ := standin.NewRunLog("")
		e, err := standin.StartEndpoint(standin.EndpointConfig{
			Announcement: dispatch.Announcement{
				ID: fmt.Sprint("w", i), Pool: "quotes", Slots: 8, DataCentre: "dar-1", Rack: "r1", MilliCPU: 1, MemoryMB: 1,
			},
			Entries: []string{"http://" + entry}, Listen: "127.0.0.1:0", Connections: 64, Runs: runs,
			Faults: standin.NewFaults(1, standin.FaultRates{}),
		})
		if err != nil {
			panic(err)
		}
		addrs = append(addrs, "http://"+e.Addr())
	}
	_ = json.NewEncoder(os.Stdout).Encode(addrs)
	select {}
}

// BenchmarkRequests logs the figures of docs/measurements/entry.md at several rates,
// in requests per second.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{1000, 4000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			for b.Loop() {
				measure(b, rate)
			}
		})
	}
}

func measure(t testing.TB, rate float64) {
	t.Helper()
	control := newFakeControl(t)
	control.addKey("k1", "secret")
	e1, e2 := startProcess(t, control, "e1"), startProcess(t, control, "e2")
	workers := startChild(t, envChildEndpoints+"="+e1.Endpoints)
	var direct []string
	require.NoError(t, json.Unmarshal([]byte(workers.readLine(t)), &direct))
	for _, e := range []*process{e1, e2} {
		newCaller(t, e.Callers, "secret").waitAnswered(t)
	}
	time.Sleep(11 * time.Second) // new endpoints receive full load only after a slow start
	run := func(name string, entries []string, isDirect bool, serving ...*process) {
		totals := func() (cpuUsed time.Duration, allocations float64) {
			for _, p := range serving {
				cpuUsed += p.cpu(t)
				if !isDirect {
					allocations += p.allocations(t)
				}
			}
			return cpuUsed, allocations
		}
		usedBefore, allocationsBefore := totals()
		report, err := standin.Load(context.Background(), standin.LoadConfig{
			Entries: entries, Queues: []standin.QueueDemand{{Queue: "quotes", Rate: rate, Size: 1000}},
			Teams: []standin.TeamKey{{Team: "shops", Key: "secret"}}, Duration: 5 * time.Second,
			Deadline: 5 * time.Second, NonIdempotent: 0.5, Seed: testSeed(t), Direct: isDirect,
		})
		require.NoError(t, err)
		used, allocations := totals()
		used -= usedBefore
		n := float64(report.Sent)
		if report.Outcomes[standin.OutcomeAnswered] < report.Sent {
			t.Logf("not all were answered: %v", report.Codes)
		}
		t.Logf("%-18s %6.0f answered of %6.0f, p50 %6d µs, p99 %6d µs, %5.1f µs processor, %6.0f requests/s/core, %4.0f allocations",
			name, float64(report.Outcomes[standin.OutcomeAnswered]), n,
			report.Latency.ValueAtQuantile(50), report.Latency.ValueAtQuantile(99),
			float64(used.Microseconds())/n, n/used.Seconds(), (allocations-allocationsBefore)/n)
	}
	for range 3 {
		run("direct", direct, true, workers)
		run("own dispatcher", []string{"http://" + e1.Callers}, false, e1)
		run("other dispatcher", []string{"http://" + e2.Callers}, false, e1, e2)
	}
}
