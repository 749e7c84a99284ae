package operator

import (
	"context"
	"net/url"
	"strings"
	"time"

	"cactusspar/internal/capacity"
	"cactusspar/internal/maintenance"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Default and maximum of the time that a plan assumes an instance is out of service.
const (
	defaultAway = 2 * time.Minute
	maxAway     = 24 * time.Hour
)

// Plan is a simulation of a maintenance wave started now, with its cost and the
// reasons why instances of running waves wait.
type Plan struct {
	RulesVersion uint64   `json:"rules_version"`
	Pools        []string `json:"pools"`
	Instances    int      `json:"instances"`
	// Wave is the forecast of the new wave, assuming that every instance is out of
	// service for the same time and nothing fails.
	Wave maintenance.Forecast `json:"wave"`
	// Buffer is the largest loss that the spare pool must cover.
	Buffer capacity.Loss `json:"buffer"`
	// Running lists the waiting instances of running waves with their reasons.
	Running []maintenance.Wait `json:"running"`
}

// planInput is the part of the state that a plan depends on.
type planInput struct {
	version   uint64
	rules     *rules.Rules
	instances []state.Instance
	waves     []state.Wave
	now       time.Time
}

func (s *server) getPlan(c *call) (any, error) {
	away, err := parseAway(c.request.URL.Query().Get("away"))
	if err != nil {
		return nil, err
	}
	var in planInput
	err = s.backend.Read(c.ctx, func(st *state.State) {
		in.version, in.rules, in.now = st.Config.Version, st.Rules(), st.Clock
		for _, i := range st.Instances {
			in.instances = append(in.instances, *i)
		}
		for _, w := range st.Waves {
			in.waves = append(in.waves, cloneWave(st, w))
		}
	})
	if err != nil {
		return nil, err
	}
	if in.rules == nil {
		return nil, newProblem(CodeNotFound, "no rules are in force")
	}
	return in.plan(c.request.URL.Query().Get("pools"), away)
}

func parseAway(text string) (time.Duration, error) {
	if text == "" {
		return defaultAway, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxAway {
		return 0, badRequest("away: expected a duration up to %v, found %q", maxAway, text)
	}
	return d, nil
}

// plan simulates a wave over the comma-separated pools, or over all pools if names
// is empty.
func (in *planInput) plan(names string, away time.Duration) (any, error) {
	out := Plan{RulesVersion: in.version, Buffer: capacity.Buffer(in.rules, in.instances)}
	wanted := map[string]bool{}
	for _, name := range strings.FieldsFunc(names, func(r rune) bool { return r == ',' }) {
		if _, ok := in.rules.Pools[name]; !ok {
			return nil, newProblem(CodeNotFound, "pool "+name+" is not declared")
		}
		wanted[name] = true
		out.Pools = append(out.Pools, name)
	}
	wave := state.Wave{ID: "planned", Status: state.WaveRunning}
	for i := range in.instances {
		if len(wanted) == 0 || wanted[in.instances[i].Pool] {
			wave.Todo = append(wave.Todo, in.instances[i].ID)
		}
	}
	out.Instances = len(wave.Todo)
	input := maintenance.Input{
		Now: in.now, Rules: in.rules, Instances: in.instances, Waves: in.waves,
		ReturnLimit: maintenance.DefaultReturnLimit, DrainLimit: maintenance.DefaultDrainLimit,
	}
	out.Running = maintenance.MakePlan(input).Wait
	input.Waves = []state.Wave{wave}
	out.Wave = maintenance.Simulate(input, away)
	return out, nil
}

// Plan returns the plan of a wave over the given pools, or over all if there are
// none. away is the time that an instance is expected to be out of service; 0
// selects the server's default.
func (c *Client) Plan(ctx context.Context, pools []string, away time.Duration) (Plan, error) {
	query := url.Values{}
	if len(pools) > 0 {
		query.Set("pools", strings.Join(pools, ","))
	}
	if away > 0 {
		query.Set("away", away.String())
	}
	var plan Plan
	err := c.get(ctx, "/v1/plan", query, &plan)
	return plan, err
}
