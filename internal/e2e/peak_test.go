package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/standin"
)

const (
	peakWorkers = 10
	peakSlots   = 8
	peakWork    = 100 * time.Millisecond
	peakTurn    = 4 * time.Second
	// peakLoad is the ratio of the demand of a queue in its turn to the capacity of
	// its pool.
	peakLoad = 2.0
)

// peakShares holds the shares of the teams. Each team generates a third of the
// demand, more than its share of a fully used pool.
var peakShares = map[string]int{"shops": 4, "agents": 2, "audit": 1}

func peakRules() string {
	var b strings.Builder
	fmt.Fprintln(&b, "region coast # Asha M., operations: the one region")
	for i := range 4 {
		fmt.Fprintf(&b, "datacentre dc-%d region=coast # Asha M., operations: hall\n", i+1)
	}
	for _, p := range pools {
		fmt.Fprintf(&b, "pool %s min=8 max=12 unavailable=1 period=35d # Asha M., operations: service\n", p)
		fmt.Fprintf(&b, "queue %s pool=%s access=keyed length=2000 # Juma K., sales: service\n", p, p)
	}
	for team, share := range peakShares {
		fmt.Fprintf(&b, "team %s share=%d limit=400 # Juma K., sales: contract\n", team, share)
	}
	return b.String()
}

// BenchmarkPeaks measures the demand described in the design document: each queue in
// turn peaks at five times its mean rate, which exceeds the capacity of its pool, and
// otherwise has a twentieth of the mean rate. It reports the ratio of goodput at peak
// to capacity, the largest deviation of a team from its share, and the runs per
// answered request.
func BenchmarkPeaks(b *testing.B) {
	for _, n := range []int{7, 9} {
		b.Run(fmt.Sprint(n, "-entries"), func(b *testing.B) {
			for b.Loop() {
				measurePeaks(b, n)
			}
		})
	}
}

func measurePeaks(b *testing.B, entries int) {
	c := newCluster(b, 3, entries)
	c.apply(peakRules())
	for team := range peakShares {
		c.issueKey(team)
	}
	for _, p := range pools {
		c.startEndpoints(p, peakWorkers)
	}
	c.waitReady()
	for _, p := range pools {
		c.waitAnswered(p, "shops")
	}
	capacity := peakWorkers * peakSlots / peakWork.Seconds()
	cfg := standin.LoadConfig{
		Duration: time.Duration(len(pools)) * peakTurn, Deadline: 2 * time.Second, NonIdempotent: 0.5, Seed: 11,
		CallLog: filepath.Join(c.dir, "calls"), Pattern: standin.Pattern{Peak: 5, Turn: peakTurn, Between: 0.05},
	}
	for _, e := range c.entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.callers)
	}
	for _, p := range pools {
		cfg.Queues = append(cfg.Queues, standin.QueueDemand{Queue: p, Rate: capacity * peakLoad / cfg.Pattern.Peak, Work: peakWork, Size: 1000})
	}
	for team, key := range c.secrets {
		cfg.Teams = append(cfg.Teams, standin.TeamKey{Team: team, Key: key})
	}
	start := time.Now()
	report, err := standin.Load(context.Background(), cfg)
	require.NoError(b, err)
	p := readPeaks(b, cfg.CallLog, start)
	logs, err := filepath.Glob(c.runLogs + "*")
	require.NoError(b, err)
	result, err := standin.Check(standin.CheckConfig{CallLogs: []string{cfg.CallLog}, RunLogs: logs})
	require.NoError(b, err)
	require.Empty(b, result.Violations)
	var text strings.Builder
	report.Write(&text)
	b.Logf("%s\n%s", text.String(), p.text)
	b.ReportMetric(p.goodput(capacity), "goodput/capacity")
	b.ReportMetric(p.deviation(), "share-deviation")
	b.ReportMetric(float64(result.Runs)/float64(report.Outcomes[standin.OutcomeAnswered]), "runs/answered")
}

// peaks counts the answered requests of each queue in its turn, by team.
type peaks struct {
	answered [5]map[string]int
	text     string
}

// warmUp is excluded from the start of each turn, because the queue has to fill first.
const warmUp = 500 * time.Millisecond

// readPeaks counts the answered requests of a call log. The load began at start.
func readPeaks(b *testing.B, path string, start time.Time) *peaks {
	f, err := os.Open(path)
	require.NoError(b, err)
	defer func() { _ = f.Close() }()
	p := &peaks{}
	for i := range p.answered {
		p.answered[i] = map[string]int{}
	}
	s := bufio.NewScanner(f)
	for s.Scan() {
		var c struct {
			Queue    string   `json:"queue"`
			Team     string   `json:"team"`
			Outcomes []string `json:"outcomes"`
			End      int64    `json:"end"`
		}
		require.NoError(b, json.Unmarshal(s.Bytes(), &c))
		at := time.Unix(0, c.End).Sub(start)
		turn := int(at / peakTurn)
		if turn < len(pools) && pools[turn] == c.Queue && at%peakTurn >= warmUp && c.Outcomes[0] == "answered" {
			p.answered[turn][c.Team]++
		}
	}
	require.NoError(b, s.Err())
	var lines []string
	for i, teams := range p.answered {
		lines = append(lines, fmt.Sprintf("turn of %s: %v", pools[i], teams))
	}
	sort.Strings(lines)
	p.text = strings.Join(lines, "\n")
	return p
}

// goodput returns the lowest ratio of goodput to capacity over all turns.
func (p *peaks) goodput(capacity float64) float64 {
	lowest := math.Inf(1)
	for _, teams := range p.answered {
		sum := 0
		for _, n := range teams {
			sum += n
		}
		lowest = min(lowest, float64(sum)/(capacity*(peakTurn-warmUp).Seconds()))
	}
	return lowest
}

// deviation returns the largest difference between a team's fraction of the answered
// requests and its share, over all turns and teams.
func (p *peaks) deviation() float64 {
	total := 0
	for _, s := range peakShares {
		total += s
	}
	largest := 0.0
	for _, teams := range p.answered {
		sum := 0
		for _, n := range teams {
			sum += n
		}
		for team, share := range peakShares {
			largest = max(largest, math.Abs(float64(teams[team])/float64(max(1, sum))-float64(share)/float64(total)))
		}
	}
	return largest
}
