package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizeWindow is the time over which processor time and traffic are measured.
const sizeWindow = 10 * time.Second

// BenchmarkIdleSize measures the resource usage of entry instances and control
// replicas without requests, for several numbers of endpoints and pools. The
// differences give the slopes in docs/CAPACITY.md.
func BenchmarkIdleSize(b *testing.B) {
	for _, size := range []struct{ pools, perPool int }{{4, 5}, {4, 50}, {40, 5}, {80, 5}} {
		b.Run(fmt.Sprintf("pools=%d/endpoints=%d", size.pools, size.pools*size.perPool), func(b *testing.B) {
			for b.Loop() {
				measureSize(b, size.pools, size.perPool)
			}
		})
	}
}

func measureSize(b *testing.B, pools, perPool int) {
	c := newCluster(b, 3, 3)
	var rules strings.Builder
	fmt.Fprintln(&rules, "region coast # Asha M., operations: the one region")
	for i := range 4 {
		fmt.Fprintf(&rules, "datacentre dc-%d region=coast # Asha M., operations: hall\n", i+1)
	}
	fmt.Fprintln(&rules, "team shops share=1 limit=50 # Juma K., sales: contract")
	var flags []string
	for i := range pools {
		fmt.Fprintf(&rules, "pool p%d min=0 max=%d unavailable=1 period=35d # Asha M., operations: service\n", i, perPool)
		fmt.Fprintf(&rules, "queue p%d pool=p%d access=keyed length=100 # Juma K., sales: service\n", i, i)
		if i > 0 {
			flags = append(flags, "--pool", fmt.Sprintf("p%d:%d", i, perPool))
		}
	}
	c.apply(rules.String())
	c.issueKey("shops")
	c.startEndpoints("p0", perPool, flags...)
	c.waitReady()
	for i := range pools {
		c.waitAnswered(fmt.Sprint("p", i), "shops")
	}
	time.Sleep(5 * time.Second)
	before := c.usage()
	time.Sleep(sizeWindow)
	after := c.usage()
	b.ReportMetric((after.entryCPU-before.entryCPU)/3/sizeWindow.Seconds()*100, "entry-%cpu")
	b.ReportMetric((after.controlCPU-before.controlCPU)/3/sizeWindow.Seconds()*100, "control-%cpu")
	b.ReportMetric(after.entryMiB/3, "entry-MiB")
	b.ReportMetric(after.controlMiB/3, "control-MiB")
	b.ReportMetric((after.entryPeerBytes-before.entryPeerBytes)/3/sizeWindow.Seconds()/1000, "entry-peer-KB/s")
}

// usage is the total resource usage of the processes of each role since their start.
type usage struct {
	entryCPU, controlCPU float64 // seconds
	entryMiB, controlMiB float64
	entryPeerBytes       float64 // bytes sent and received on connections between processes of the system
}

func (c *cluster) usage() usage {
	var u usage
	for _, e := range c.entries {
		u.entryCPU += cpuSeconds(c.t, e.cmd.Process.Pid)
		u.entryMiB += residentMiB(c.t, e.cmd.Process.Pid)
		u.entryPeerBytes += metric(c.t, e.health, "entry_peer_bytes_out") + metric(c.t, e.health, "entry_peer_bytes_in")
	}
	for _, r := range c.controls {
		u.controlCPU += cpuSeconds(c.t, r.cmd.Process.Pid)
		u.controlMiB += residentMiB(c.t, r.cmd.Process.Pid)
	}
	return u
}

// cpuSeconds returns the processor time of a process, which the kernel counts in clock
// ticks of 10 ms.
func cpuSeconds(t testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+2:])
	user, err := strconv.ParseFloat(fields[11], 64)
	require.NoError(t, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	require.NoError(t, err)
	return (user + system) / 100
}

// residentMiB returns the resident memory of a process.
func residentMiB(t testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			require.NoError(t, err)
			return kib / 1024
		}
	}
	t.Fatal("VmRSS not found in the status of the process")
	return 0
}

// metric returns the value of a metric of a process, or 0 if there is no such metric.
func metric(t testing.TB, address, name string) float64 {
	resp, err := http.Get("http://" + address + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(rest, 64)
			require.NoError(t, err)
			return v
		}
	}
	return 0
}
