package operator

import (
	"context"
	"maps"
	"slices"
	"sort"

	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// Workspace is what a team of the topology has and waits for.
type Workspace struct {
	Name   string           `json:"name"`
	Weight float64          `json:"weight"`
	Cap    resources.Amount `json:"cap"`
	// Running is what its runs take, by pool in Pools.
	Running resources.Amount `json:"running"`
	Pools   []WorkspacePool  `json:"pools"`
}

// WorkspacePool is a workspace's use of a pool.
type WorkspacePool struct {
	Pool string `json:"pool"`
	// Jobs is the number of jobs that have not ended, Pending that of those that have not
	// started.
	Jobs    int `json:"jobs"`
	Pending int `json:"pending"`
	// Waiting is the number of tasks that wait, by reason.
	Waiting map[scheduling.WaitReason]int `json:"waiting,omitempty"`
}

func (s *server) getWorkspace(c *call) (any, error) {
	name := c.params.ByName("name")
	var found *Workspace
	err := s.backend.Read(c.ctx, func(st *state.State) { found = workspace(st.Workload, name) })
	switch {
	case err != nil:
		return nil, err
	case found == nil:
		return nil, newProblem(CodeNotFound, "workspace "+name+" does not exist")
	}
	return *found, nil
}

func workspace(st *workload.State, name string) *Workspace {
	if st.Topology == nil {
		return nil
	}
	team := st.Topology.Team(name)
	if team == nil {
		return nil
	}
	w := &Workspace{Name: name, Weight: team.Weight, Cap: team.Cap, Running: st.UsedByTeam(name)}
	pools := map[string]*WorkspacePool{}
	for _, j := range st.Open() {
		q := st.Topology.Queue(j.Queue)
		if j.Team != name || j.Status.Ended() || q == nil {
			continue
		}
		p := pools[q.Pool]
		if p == nil {
			p = &WorkspacePool{Pool: q.Pool, Waiting: map[scheduling.WaitReason]int{}}
			pools[q.Pool] = p
		}
		p.Jobs++
		if j.Status == workload.Queued {
			p.Pending++
		}
		for _, wait := range scheduling.Waits(st, j) {
			p.Waiting[wait.Reason] += wait.Tasks
		}
	}
	for _, p := range slices.Collect(maps.Values(pools)) {
		w.Pools = append(w.Pools, *p)
	}
	sort.Slice(w.Pools, func(i, k int) bool { return w.Pools[i].Pool < w.Pools[k].Pool })
	return w
}

// Workspace returns what a team of the topology has and waits for.
func (c *Client) Workspace(ctx context.Context, name string) (Workspace, error) {
	return getOne[Workspace](ctx, c, "/v1/workspaces/", name)
}
