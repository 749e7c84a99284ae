package operator

import (
	"fmt"
	"sort"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// readWithRules runs f on the state and the rules in force. Before the first
// version, the rules are empty.
func (s *server) readWithRules(c *call, f func(*state.State, *rules.Rules)) error {
	return s.backend.Read(c.ctx, func(st *state.State) {
		r := st.Rules()
		if r == nil {
			r = &rules.Rules{}
		}
		f(st, r)
	})
}

func (s *server) listTeams(c *call) (any, error) {
	page := Page[Team]{Items: []Team{}}
	err := s.readWithRules(c, func(st *state.State, r *rules.Rules) {
		for _, t := range r.Teams {
			page.Items = append(page.Items, teamOf(st, t))
		}
		page.Index = st.Index
	})
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Name < page.Items[j].Name })
	return page, err
}

func (s *server) getTeam(c *call) (any, error) {
	name := c.params.ByName("id")
	var team Team
	err := s.readWithRules(c, func(st *state.State, r *rules.Rules) {
		if t, ok := r.Teams[name]; ok {
			team = teamOf(st, t)
		}
	})
	if err == nil && team.Name == "" {
		err = newProblem(CodeNotFound, fmt.Sprintf("team %q is not in the rules", name))
	}
	return team, err
}

func teamOf(st *state.State, t rules.Team) Team {
	team := Team{Team: t, Keys: []state.Key{}, Grants: []state.Grant{}}
	for _, k := range st.Keys {
		if k.Team == t.Name {
			team.Keys = append(team.Keys, *k)
		}
	}
	for _, g := range st.Grants {
		if g.Team == t.Name {
			team.Grants = append(team.Grants, *g)
			team.Granted += g.Held
		}
	}
	sort.Slice(team.Keys, func(i, j int) bool { return team.Keys[i].ID < team.Keys[j].ID })
	sort.Slice(team.Grants, func(i, j int) bool {
		a, b := team.Grants[i], team.Grants[j]
		return a.Pool < b.Pool || a.Pool == b.Pool && a.Epoch < b.Epoch
	})
	return team
}

func (s *server) listPools(c *call) (any, error) {
	page := Page[Pool]{Items: []Pool{}}
	err := s.readWithRules(c, func(st *state.State, r *rules.Rules) {
		pools := map[string]Pool{}
		for name, p := range r.Pools {
			pools[name] = poolOf(st, r, p)
		}
		for _, i := range st.Instances {
			if p, ok := pools[i.Pool]; ok {
				p.Conditions[i.Condition]++
			}
		}
		for _, p := range pools {
			page.Items = append(page.Items, p)
		}
		page.Index = st.Index
	})
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Name < page.Items[j].Name })
	return page, err
}

func (s *server) getPool(c *call) (any, error) {
	name := c.params.ByName("id")
	var pool Pool
	err := s.readWithRules(c, func(st *state.State, r *rules.Rules) {
		p, ok := r.Pools[name]
		if !ok {
			return
		}
		pool = poolOf(st, r, p)
		for _, i := range st.Instances {
			if i.Pool == name {
				pool.Conditions[i.Condition]++
				pool.Instances = append(pool.Instances, i.ID)
			}
		}
	})
	sort.Strings(pool.Instances)
	if err == nil && pool.Name == "" {
		err = newProblem(CodeNotFound, fmt.Sprintf("pool %q is not in the rules", name))
	}
	return pool, err
}

func poolOf(st *state.State, r *rules.Rules, p rules.Pool) Pool {
	pool := Pool{Pool: p, Spare: r.Spare == p.Name, Conditions: map[state.Condition]int{}}
	if a, ok := st.Assignments[p.Name]; ok {
		assignment := *a
		pool.Assignment = &assignment
	}
	return pool
}

func (s *server) listEntries(c *call) (any, error) {
	return listPage(s, c, func(st *state.State) map[string]*state.Entry { return st.Entries }, nil, copyOf[state.Entry])
}

func (s *server) listAssignments(c *call) (any, error) {
	return listPage(s, c, func(st *state.State) map[string]*state.Assignment { return st.Assignments }, nil, copyOf[state.Assignment])
}

func (s *server) listGrants(c *call) (any, error) {
	team, pool := c.filter("team"), c.filter("pool")
	return listPage(s, c,
		func(st *state.State) map[state.GrantID]*state.Grant { return st.Grants },
		func(g *state.Grant) bool { return team(g.Team) && pool(g.Pool) },
		copyOf[state.Grant])
}
