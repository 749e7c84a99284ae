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

// sizeWindow is the time over which processor time and bytes are counted.
const sizeWindow = 10 * time.Second

// BenchmarkIdleSize measures what entry instances and control replicas spend
// without requests, against the number of endpoints and pools. Slopes for
// docs/CAPACITY.md follow from the differences.
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
	c.giveKey("shops")
	c.startEndpoints("p0", perPool, flags...)
	c.waitReady()
	for i := range pools {
		c.waitServed(fmt.Sprint("p", i), "shops")
	}
	time.Sleep(5 * time.Second)
	before := c.usage()
	time.Sleep(sizeWindow)
	after := c.usage()
	b.ReportMetric((after.entryCPU-before.entryCPU)/3/sizeWindow.Seconds()*100, "entry-%cpu")
	b.ReportMetric((after.controlCPU-before.controlCPU)/3/sizeWindow.Seconds()*100, "control-%cpu")
	b.ReportMetric(after.entryMiB/3, "entry-MiB")
	b.ReportMetric(after.controlMiB/3, "control-MiB")
	b.ReportMetric((after.entryOut-before.entryOut)/3/sizeWindow.Seconds()/1000, "entry-peer-KB/s")
}

// usage sums up what the processes of each role used since their start.
type usage struct {
	entryCPU, controlCPU float64 // seconds
	entryMiB, controlMiB float64
	entryOut             float64 // bytes in and out on connections to own processes
}

func (c *cluster) usage() usage {
	var u usage
	for _, e := range c.entries {
		u.entryCPU += cpuSeconds(c.t, e.cmd.Process.Pid)
		u.entryMiB += residentMiB(c.t, e.cmd.Process.Pid)
		u.entryOut += metric(c.t, e.health, "entry_peer_bytes_out") + metric(c.t, e.health, "entry_peer_bytes_in")
	}
	for _, r := range c.controls {
		u.controlCPU += cpuSeconds(c.t, r.cmd.Process.Pid)
		u.controlMiB += residentMiB(c.t, r.cmd.Process.Pid)
	}
	return u
}

// cpuSeconds reads the processor time of a process in clock ticks of 10 ms.
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
	t.Fatal("no VmRSS")
	return 0
}

// metric reads a metric of a process; 0 if it has none of that name.
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
