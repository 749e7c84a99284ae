package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// TeamKey is a team with its API key.
type TeamKey struct {
	Team   string `json:"team"`
	Key    string `json:"key"`
	Weight int    `json:"weight"` // relative share of the requests; 0 means 1
}

// LoadConfig configures a load run by stand-in callers.
type LoadConfig struct {
	// Entries holds the base URLs of the entry instances' caller listeners.
	Entries []string
	Queues  []QueueDemand
	Pattern Pattern
	Teams   []TeamKey
	// Duration is the time during which requests arrive; requests in progress
	// may end later.
	Duration time.Duration
	// Deadline is the time limit that a caller sets for a request.
	Deadline time.Duration
	// NonIdempotent is the fraction of requests sent as POST with an idempotency key.
	NonIdempotent float64
	// Resend makes callers resend a request whose outcome is unknown through
	// another entry instance, with the same idempotency key.
	Resend bool
	Seed   uint64
	// CallLog is the path of a file that receives a line for each request; if
	// empty, no call log is written.
	CallLog string
	// Direct sends requests directly to endpoints, whose URLs are then in Entries.
	Direct bool
}

// maxInFlight is the maximum number of requests in flight. An arrival above the
// limit is counted as not sent.
const maxInFlight = 20000

// Load runs callers and reports the outcomes and latencies that they observed.
// Arrivals are open-loop: they follow the schedule whether or not earlier requests
// have ended, and latency is measured from the scheduled time.
func Load(ctx context.Context, cfg LoadConfig) (*Report, error) {
	report := newReport(cfg)
	if cfg.CallLog != "" {
		f, err := os.Create(cfg.CallLog)
		if err != nil {
			return nil, errs.New("create call log: %w", err)
		}
		defer func() { _ = f.Close() }()
		report.log = json.NewEncoder(f)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	defer transport.CloseIdleConnections()
	l := &loadGenerator{cfg: cfg, report: report, client: &http.Client{Transport: transport}, inFlight: make(chan struct{}, maxInFlight), runID: rand.Uint64()}
	start := time.Now()
	var wg conc.WaitGroup
	for i := range cfg.Queues {
		wg.Go(func() { l.generateArrivals(ctx, i, start) })
	}
	wg.Wait()
	report.Elapsed = time.Since(start)
	return report, nil
}

type loadGenerator struct {
	cfg      LoadConfig
	report   *Report
	client   *http.Client
	inFlight chan struct{}
	runID    uint64 // distinguishes the nonces of several load runs
}

// generateArrivals sends the requests of queue i on schedule and waits until all
// of them have ended.
func (l *loadGenerator) generateArrivals(ctx context.Context, i int, start time.Time) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(i)))
	d := l.cfg.Queues[i]
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.Duration(0)
	for n := 0; ; n++ {
		t = l.cfg.Pattern.nextArrival(d, i, len(l.cfg.Queues), t, l.cfg.Duration, rng.Float64)
		if t < 0 || !sleepUntil(ctx, start.Add(t)) {
			return
		}
		call := l.newCall(d, i, n, start.Add(t), rng)
		select {
		case l.inFlight <- struct{}{}:
		default:
			l.report.addUnsent()
			continue
		}
		wg.Add(1)
		go func() { // a pool of workers could not keep the schedule at high rates
			defer wg.Done()
			defer func() { <-l.inFlight }()
			// Cancelling ctx stops new arrivals but not requests in progress.
			l.call(context.WithoutCancel(ctx), call)
		}()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *loadGenerator) newCall(d QueueDemand, queue, n int, scheduledAt time.Time, rng *rand.Rand) *call {
	c := &call{
		Nonce: fmt.Sprintf("%x-%d-%d.", l.runID, queue, n), Queue: d.Queue,
		Idempotent:  rng.Float64() >= l.cfg.NonIdempotent,
		scheduledAt: scheduledAt, work: randomWork(d.Work, rng), size: d.Size,
		entry: rng.IntN(len(l.cfg.Entries)),
	}
	if len(l.cfg.Teams) > 0 {
		c.team = pickTeam(l.cfg.Teams, rng)
		c.Team = c.team.Team
	}
	return c
}

// randomWork returns mean times a random factor from 0.5 to 1.5.
func randomWork(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rng.Float64()))
}

// pickTeam picks a team at random, in proportion to the weights.
func pickTeam(teams []TeamKey, rng *rand.Rand) TeamKey {
	total := 0
	for _, t := range teams {
		total += max(1, t.Weight)
	}
	x := rng.IntN(total)
	for _, t := range teams {
		x -= max(1, t.Weight)
		if x < 0 {
			return t
		}
	}
	return teams[len(teams)-1]
}
