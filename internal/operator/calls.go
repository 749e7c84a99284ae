package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"cactusspar/internal/state"
)

// Status asks one replica for its status.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Attempt)
	defer cancel()
	var status Status
	err := c.attempt(ctx, address, request{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

// Addresses returns the control addresses that the client was given.
func (c *Client) Addresses() []string { return c.options.Addresses }

// Rules returns the rules in force.
func (c *Client) Rules(ctx context.Context) (state.Config, error) {
	var config state.Config
	err := c.get(ctx, "/v1/rules", nil, &config)
	return config, err
}

// Apply puts rules in force if expected is the version in force.
func (c *Client) Apply(ctx context.Context, expected uint64, text string) (state.Result, error) {
	return c.command(ctx, "/v1/rules", ApplyRequest{Session: c.session(), Expected: expected, Text: text})
}

// History lists the kept versions, oldest first.
func (c *Client) History(ctx context.Context) ([]VersionInfo, error) {
	var page Page[VersionInfo]
	err := c.get(ctx, "/v1/rules/history", nil, &page)
	return page.Items, err
}

// Version returns a kept version.
func (c *Client) Version(ctx context.Context, version uint64) (state.Config, error) {
	var config state.Config
	err := c.get(ctx, "/v1/rules/version/"+strconv.FormatUint(version, 10), nil, &config)
	return config, err
}

// Diff compares two kept versions; to 0 means the one in force.
func (c *Client) Diff(ctx context.Context, from, to uint64) (Diff, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	if to != 0 {
		query.Set("to", strconv.FormatUint(to, 10))
	}
	var diff Diff
	err := c.get(ctx, "/v1/rules/diff", query, &diff)
	return diff, err
}

// Explain finds rules in force by name.
func (c *Client) Explain(ctx context.Context, name string) ([]Explanation, error) {
	var page Page[Explanation]
	err := c.get(ctx, "/v1/rules/explain", url.Values{"name": {name}}, &page)
	return page.Items, err
}

// Keys lists the keys of a team, or of all teams.
func (c *Client) Keys(ctx context.Context, team string) ([]state.Key, error) {
	return all[state.Key](ctx, c, "/v1/keys", url.Values{"team": {team}})
}

// GiveKey adds a key for a team with a secret of NewSecret, which the caller may
// have stored first. Only its hash is sent.
func (c *Client) GiveKey(ctx context.Context, id, team, secret string) (state.Result, error) {
	return c.command(ctx, "/v1/keys", KeyRequest{Session: c.session(), ID: id, Team: team, Hash: HashSecret(secret)})
}

// WithdrawKey withdraws a key for good.
func (c *Client) WithdrawKey(ctx context.Context, id string) (state.Result, error) {
	return c.command(ctx, "/v1/keys/"+url.PathEscape(id)+"/withdraw", SessionRequest{Session: c.session()})
}

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	return all[Team](ctx, c, "/v1/teams", nil)
}

// Team returns one team.
func (c *Client) Team(ctx context.Context, name string) (Team, error) {
	return one[Team](ctx, c, "/v1/teams/", name)
}

// Pools lists the pools.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	return all[Pool](ctx, c, "/v1/pools", nil)
}

// Pool returns one pool with its instances.
func (c *Client) Pool(ctx context.Context, name string) (Pool, error) {
	return one[Pool](ctx, c, "/v1/pools/", name)
}

// Instances lists instances by pool and condition; empty means any.
func (c *Client) Instances(ctx context.Context, pool string, condition state.Condition) ([]state.Instance, error) {
	return all[state.Instance](ctx, c, "/v1/instances", url.Values{"pool": {pool}, "condition": {string(condition)}})
}

// Instance returns one instance.
func (c *Client) Instance(ctx context.Context, id string) (state.Instance, error) {
	return one[state.Instance](ctx, c, "/v1/instances/", id)
}

// Drain takes an instance out of use.
func (c *Client) Drain(ctx context.Context, id string) (state.Result, error) {
	return c.command(ctx, "/v1/instances/"+url.PathEscape(id)+"/drain", SessionRequest{Session: c.session()})
}

// Undrain brings an instance back into use.
func (c *Client) Undrain(ctx context.Context, id string) (state.Result, error) {
	return c.command(ctx, "/v1/instances/"+url.PathEscape(id)+"/undrain", SessionRequest{Session: c.session()})
}

// Move gives an instance to another pool.
func (c *Client) Move(ctx context.Context, id, to string) (state.Result, error) {
	return c.command(ctx, "/v1/instances/"+url.PathEscape(id)+"/move", MoveRequest{Session: c.session(), To: to})
}

// Entries lists the entry instances.
func (c *Client) Entries(ctx context.Context) ([]state.Entry, error) {
	return all[state.Entry](ctx, c, "/v1/entries", nil)
}

// Assignments lists the dispatchers of the pools.
func (c *Client) Assignments(ctx context.Context) ([]state.Assignment, error) {
	return all[state.Assignment](ctx, c, "/v1/assignments", nil)
}

// Grants lists the grants by team and pool; empty means any.
func (c *Client) Grants(ctx context.Context, team, pool string) ([]state.Grant, error) {
	return all[state.Grant](ctx, c, "/v1/grants", url.Values{"team": {team}, "pool": {pool}})
}

// Waves lists waves by status; empty means any.
func (c *Client) Waves(ctx context.Context, status state.WaveStatus) ([]state.Wave, error) {
	return all[state.Wave](ctx, c, "/v1/waves", url.Values{"status": {string(status)}})
}

// Wave returns one wave.
func (c *Client) Wave(ctx context.Context, id string) (state.Wave, error) {
	return one[state.Wave](ctx, c, "/v1/waves/", id)
}

// StartWave starts a maintenance wave over pools, none means all, and if
// instances are given, only over those.
func (c *Client) StartWave(ctx context.Context, id string, pools, instances []string) (state.Result, error) {
	return c.command(ctx, "/v1/waves", WaveRequest{Session: c.session(), ID: id, Pools: pools, Instances: instances})
}

// ControlWave pauses, resumes or stops a wave.
func (c *Client) ControlWave(ctx context.Context, id string, action WaveAction, reason string) (state.Result, error) {
	return c.command(ctx, "/v1/waves/"+url.PathEscape(id)+"/"+string(action), ControlWaveRequest{Session: c.session(), Reason: reason})
}

// Jobs lists jobs by team, pool and status; empty means any.
func (c *Client) Jobs(ctx context.Context, team, pool string, status state.JobStatus) ([]Job, error) {
	return all[Job](ctx, c, "/v1/jobs", url.Values{"team": {team}, "pool": {pool}, "status": {string(status)}})
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (Job, error) {
	return one[Job](ctx, c, "/v1/jobs/", id)
}

// SubmitJobs submits jobs, all or none.
func (c *Client) SubmitJobs(ctx context.Context, jobs []JobRequest) (state.Result, error) {
	return c.command(ctx, "/v1/jobs", SubmitRequest{Session: c.session(), Jobs: jobs})
}

// CancelJobs cancels jobs.
func (c *Client) CancelJobs(ctx context.Context, ids []string) (state.Result, error) {
	return c.command(ctx, "/v1/jobs/cancel", CancelRequest{Session: c.session(), IDs: ids})
}

// AddReplica adds a control replica and waits until it has a vote. Adding the
// same replica again does nothing, so that the call is repeated after a lost answer.
func (c *Client) AddReplica(ctx context.Context, name, addr string) error {
	return c.post(ctx, "/v1/replicas", ReplicaRequest{Name: name, Addr: addr}, &done{})
}

// RemoveReplica removes a control replica. The call is not repeated once it may
// have been received, because a replica of that name may have been added since.
func (c *Client) RemoveReplica(ctx context.Context, name string) error {
	return c.do(ctx, request{method: http.MethodDelete, path: "/v1/replicas/" + url.PathEscape(name), once: true}, &done{})
}

func (c *Client) command(ctx context.Context, path string, body any) (state.Result, error) {
	var result state.Result
	err := c.post(ctx, path, body, &result)
	return result, err
}

func one[T any](ctx context.Context, c *Client, path, id string) (T, error) {
	var item T
	err := c.get(ctx, path+url.PathEscape(id), nil, &item)
	return item, err
}
