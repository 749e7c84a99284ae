package standin

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/zeebo/errs"
)

// CheckConfig names the logs to compare.
type CheckConfig struct {
	CallLogs []string
	RunLogs  []string
	// Limits maps each team to its limit on concurrent runs.
	Limits map[string]int
}

// CheckResult is the result of comparing the outcomes that callers received with
// the requests that endpoints ran.
type CheckResult struct {
	Calls, Runs int
	// Violations describes the violated guarantees, at most maxViolations of them.
	Violations []string
	// Highest is the highest number of concurrent runs of each team.
	Highest map[string]int
	// Unknown counts the requests whose last outcome is unknown.
	Unknown int
}

// maxViolations is the maximum number of violations that a check reports.
const maxViolations = 50

// Check compares call logs with run logs and reports violated guarantees.
func Check(cfg CheckConfig) (*CheckResult, error) {
	runs := map[string][]Run{}
	result := &CheckResult{}
	var all []Run
	for _, path := range cfg.RunLogs {
		part, err := ReadRuns(path)
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	for _, r := range all {
		runs[r.Nonce] = append(runs[r.Nonce], r)
	}
	result.Runs = len(all)
	for _, path := range cfg.CallLogs {
		f, err := os.Open(path)
		if err != nil {
			return nil, errs.New("read call log: %w", err)
		}
		err = readLines(f, func(c call) { result.checkCall(c, runs[c.Nonce]) })
		_ = f.Close()
		if err != nil {
			return nil, errs.New("read call log %s: %w", path, err)
		}
	}
	result.checkRuns(runs)
	result.checkLimits(all, cfg.Limits)
	return result, nil
}

func (r *CheckResult) addViolation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkCall compares the outcomes of a call with the runs of its request.
func (r *CheckResult) checkCall(c call, runs []Run) {
	r.Calls++
	answered, notRun := false, true
	for _, o := range c.Outcomes {
		answered = answered || o == OutcomeAnswered
		notRun = notRun && o == OutcomeNotRun
		if o == OutcomeMismatched {
			r.addViolation("request %s got a response that is not its own: %v", c.Nonce, c.Codes)
		}
	}
	if c.Outcomes[len(c.Outcomes)-1] == OutcomeUnknown {
		r.Unknown++
	}
	switch {
	case notRun && len(runs) > 0:
		r.addViolation("request %s was refused as not run (%v) but ran %d times", c.Nonce, c.Codes, len(runs))
	case answered && len(runs) == 0:
		r.addViolation("request %s was answered but did not run", c.Nonce)
	}
}

// checkRuns reports non-idempotent requests that ran more than once.
func (r *CheckResult) checkRuns(runs map[string][]Run) {
	for nonce, rs := range runs {
		if !rs[0].Idempotent && len(rs) > 1 {
			r.addViolation("non-idempotent request %s ran %d times, at %s and %s", nonce, len(rs), rs[0].Endpoint, rs[1].Endpoint)
		}
	}
}

// checkLimits computes the highest number of concurrent runs of each team and
// reports teams that exceeded their limit.
func (r *CheckResult) checkLimits(runs []Run, limits map[string]int) {
	type edge struct {
		at    int64
		delta int
	}
	edges := map[string][]edge{}
	for _, run := range runs {
		end := run.End
		if end == 0 { // the endpoint was killed during the run, so its end is unknown
			end = run.Start + 1
		}
		edges[run.Team] = append(edges[run.Team], edge{run.Start, 1}, edge{end, -1})
	}
	r.Highest = map[string]int{}
	for team, es := range edges {
		sort.Slice(es, func(i, j int) bool {
			if es[i].at != es[j].at {
				return es[i].at < es[j].at
			}
			return es[i].delta < es[j].delta
		})
		running := 0
		for _, e := range es {
			running += e.delta
			if running > r.Highest[team] {
				r.Highest[team] = running
				if limit, ok := limits[team]; ok && running == limit+1 {
					r.addViolation("team %s had %d running at %s, above its limit of %d", team, running, time.Unix(0, e.at).UTC().Format(time.RFC3339Nano), limit)
				}
			}
		}
	}
}
