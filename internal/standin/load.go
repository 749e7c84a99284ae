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

// TeamKey is a team and its secret.
type TeamKey struct {
	Team   string `json:"team"`
	Key    string `json:"key"`
	Weight int    `json:"weight"` // of the team's part in the demand; 1 if zero
}

// LoadConfig describes a run of stand-in callers.
type LoadConfig struct {
	// Entries are the base URLs of the entry instances' caller listeners.
	Entries []string
	Queues  []QueueDemand
	Pattern Pattern
	Teams   []TeamKey
	// Duration bounds the arrivals; requests in progress may end later.
	Duration time.Duration
	// Deadline is the time that a caller allows for a request.
	Deadline time.Duration
	// NonIdempotent is the part of requests that are POST with an idempotency key.
	NonIdempotent float64
	// Resend makes callers resend a request with unknown outcome through
	// another entry instance, with the same idempotency key.
	Resend bool
	Seed   uint64
	// CallLog is a file for one line for each request; empty keeps none.
	CallLog string
	// Direct sends requests straight to endpoints; Entries are then their URLs.
	Direct bool
}

// maxInFlight bounds the requests that the load tool has open at a time. An
// arrival beyond it is counted as not sent.
const maxInFlight = 20000

// Load runs callers and returns what they saw. Arrivals are open-loop: they
// follow the schedule whether or not earlier requests have ended, and latency
// counts from the scheduled time.
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
	l := &load{cfg: cfg, report: report, client: &http.Client{Transport: transport}, slots: make(chan struct{}, maxInFlight), run: rand.Uint64()}
	start := time.Now()
	var wg conc.WaitGroup
	for i := range cfg.Queues {
		wg.Go(func() { l.arrive(ctx, i, start) })
	}
	wg.Wait()
	report.Elapsed = time.Since(start)
	return report, nil
}

type load struct {
	cfg    LoadConfig
	report *Report
	client *http.Client
	slots  chan struct{}
	run    uint64 // distinguishes the nonces of several runs
}

// arrive produces the arrivals of one queue and waits for their end.
func (l *load) arrive(ctx context.Context, i int, start time.Time) {
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
		case l.slots <- struct{}{}:
		default:
			l.report.unsent()
			continue
		}
		wg.Add(1)
		go func() { // arrivals are too many for a pool of workers to keep the schedule
			defer wg.Done()
			defer func() { <-l.slots }()
			// The end of the run ends the arrivals; requests in progress go on.
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

func (l *load) newCall(d QueueDemand, queue, n int, at time.Time, rng *rand.Rand) *call {
	c := &call{
		Nonce: fmt.Sprintf("%x-%d-%d.", l.run, queue, n), Queue: d.Queue,
		Idempotent: rng.Float64() >= l.cfg.NonIdempotent,
		at:         at, work: workTime(d.Work, rng), size: d.Size,
		entry: rng.IntN(len(l.cfg.Entries)),
	}
	if len(l.cfg.Teams) > 0 {
		c.team = pickTeam(l.cfg.Teams, rng)
		c.Team = c.team.Team
	}
	return c
}

// workTime varies around the mean by a factor of 0.5 to 1.5.
func workTime(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rng.Float64()))
}

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
