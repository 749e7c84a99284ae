package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"cactusspar/internal/state"
)

// Status returns the status of the replica at the given address.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
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
	return c.postCommand(ctx, "/v1/rules", ApplyRequest{Session: c.session(), Expected: expected, Text: text})
}

// History lists the retained versions of the rules, oldest first.
func (c *Client) History(ctx context.Context) ([]VersionInfo, error) {
	var page Page[VersionInfo]
	err := c.get(ctx, "/v1/rules/history", nil, &page)
	return page.Items, err
}

// Version returns a retained version of the rules.
func (c *Client) Version(ctx context.Context, version uint64) (state.Config, error) {
	var config state.Config
	err := c.get(ctx, "/v1/rules/version/"+strconv.FormatUint(version, 10), nil, &config)
	return config, err
}

// Diff compares two retained versions of the rules. If to is 0, it compares with
// the version in force.
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
	return listAll[state.Key](ctx, c, "/v1/keys", url.Values{"team": {team}})
}

// GiveKey adds a key for a team. The secret comes from NewSecret, so that the
// caller can store it before the call. Only its hash is sent.
func (c *Client) GiveKey(ctx context.Context, id, team, secret string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/keys", KeyRequest{Session: c.session(), ID: id, Team: team, Hash: HashSecret(secret)})
}

// WithdrawKey withdraws a key permanently.
func (c *Client) WithdrawKey(ctx context.Context, id string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/keys/"+url.PathEscape(id)+"/withdraw", SessionRequest{Session: c.session()})
}

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	return listAll[Team](ctx, c, "/v1/teams", nil)
}

// Team returns one team.
func (c *Client) Team(ctx context.Context, name string) (Team, error) {
	return getOne[Team](ctx, c, "/v1/teams/", name)
}

// Pools lists the pools.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	return listAll[Pool](ctx, c, "/v1/pools", nil)
}

// Pool returns one pool with the IDs of its instances.
func (c *Client) Pool(ctx context.Context, name string) (Pool, error) {
	return getOne[Pool](ctx, c, "/v1/pools/", name)
}

// Instances lists instances by pool and condition; empty means any.
func (c *Client) Instances(ctx context.Context, pool string, condition state.Condition) ([]state.Instance, error) {
	return listAll[state.Instance](ctx, c, "/v1/instances", url.Values{"pool": {pool}, "condition": {string(condition)}})
}

// Instance returns one instance.
func (c *Client) Instance(ctx context.Context, id string) (state.Instance, error) {
	return getOne[state.Instance](ctx, c, "/v1/instances/", id)
}

// Drain takes an instance out of service.
func (c *Client) Drain(ctx context.Context, id string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/instances/"+url.PathEscape(id)+"/drain", SessionRequest{Session: c.session()})
}

// Undrain returns an instance to service.
func (c *Client) Undrain(ctx context.Context, id string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/instances/"+url.PathEscape(id)+"/undrain", SessionRequest{Session: c.session()})
}

// Move moves an instance to another pool.
func (c *Client) Move(ctx context.Context, id, to string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/instances/"+url.PathEscape(id)+"/move", MoveRequest{Session: c.session(), To: to})
}

// Entries lists the entry instances.
func (c *Client) Entries(ctx context.Context) ([]state.Entry, error) {
	return listAll[state.Entry](ctx, c, "/v1/entries", nil)
}

// Assignments lists the assignments of dispatchers to pools.
func (c *Client) Assignments(ctx context.Context) ([]state.Assignment, error) {
	return listAll[state.Assignment](ctx, c, "/v1/assignments", nil)
}

// Grants lists the grants by team and pool; empty means any.
func (c *Client) Grants(ctx context.Context, team, pool string) ([]state.Grant, error) {
	return listAll[state.Grant](ctx, c, "/v1/grants", url.Values{"team": {team}, "pool": {pool}})
}

// Waves lists waves by status; empty means any.
func (c *Client) Waves(ctx context.Context, status state.WaveStatus) ([]state.Wave, error) {
	return listAll[state.Wave](ctx, c, "/v1/waves", url.Values{"status": {string(status)}})
}

// Wave returns one wave.
func (c *Client) Wave(ctx context.Context, id string) (state.Wave, error) {
	return getOne[state.Wave](ctx, c, "/v1/waves/", id)
}

// StartWave starts a maintenance wave over the given pools, or over all if there
// are none. If instances are given, the wave covers only these.
func (c *Client) StartWave(ctx context.Context, id string, pools, instances []string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/waves", WaveRequest{Session: c.session(), ID: id, Pools: pools, Instances: instances})
}

// ControlWave pauses, resumes or stops a wave.
func (c *Client) ControlWave(ctx context.Context, id string, action WaveAction, reason string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/waves/"+url.PathEscape(id)+"/"+string(action), ControlWaveRequest{Session: c.session(), Reason: reason})
}

// Jobs lists jobs by team, pool and status; empty means any.
func (c *Client) Jobs(ctx context.Context, team, pool string, status state.JobStatus) ([]Job, error) {
	return listAll[Job](ctx, c, "/v1/jobs", url.Values{"team": {team}, "pool": {pool}, "status": {string(status)}})
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (Job, error) {
	return getOne[Job](ctx, c, "/v1/jobs/", id)
}

// SubmitJobs submits jobs atomically.
func (c *Client) SubmitJobs(ctx context.Context, jobs []JobRequest) (state.Result, error) {
	return c.postCommand(ctx, "/v1/jobs", SubmitRequest{Session: c.session(), Jobs: jobs})
}

// CancelJobs cancels jobs.
func (c *Client) CancelJobs(ctx context.Context, ids []string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/jobs/cancel", CancelRequest{Session: c.session(), IDs: ids})
}

// AddReplica adds a control replica and waits until it is a voter. The call is
// idempotent and is therefore retried after a lost response.
func (c *Client) AddReplica(ctx context.Context, name, addr string) error {
	return c.post(ctx, "/v1/replicas", ReplicaRequest{Name: name, Addr: addr}, &emptyResponse{})
}

// RemoveReplica removes a control replica. The call is not retried once it may
// have been received, because a replica of that name may have been added since.
func (c *Client) RemoveReplica(ctx context.Context, name string) error {
	return c.do(ctx, request{method: http.MethodDelete, path: "/v1/replicas/" + url.PathEscape(name), nonIdempotent: true}, &emptyResponse{})
}

func (c *Client) postCommand(ctx context.Context, path string, body any) (state.Result, error) {
	var result state.Result
	err := c.post(ctx, path, body, &result)
	return result, err
}

func getOne[T any](ctx context.Context, c *Client, path, id string) (T, error) {
	var item T
	err := c.get(ctx, path+url.PathEscape(id), nil, &item)
	return item, err
}
