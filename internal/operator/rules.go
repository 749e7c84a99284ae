package operator

import (
	"fmt"
	"slices"
	"strconv"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

func (s *server) getRules(c *call) (any, error) {
	var config state.Config
	err := s.backend.Read(c.ctx, func(st *state.State) { config = st.Config })
	return config, err
}

func (s *server) applyRules(c *call) (any, error) {
	var request ApplyRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if _, err := rules.Parse("rules", []byte(request.Text)); err != nil {
		return nil, err
	}
	return s.propose(c, request.Session, state.Command{ApplyRules: &state.ApplyRules{
		Expected: request.Expected,
		Text:     request.Text,
		Author:   c.operator,
	}})
}

// versions returns the retained versions including the one in force, oldest first.
func (s *server) versions(c *call) ([]state.Config, error) {
	var retained []state.Config
	err := s.backend.Read(c.ctx, func(st *state.State) {
		retained = append(slices.Clone(st.History), st.Config)
	})
	slices.SortStableFunc(retained, func(a, b state.Config) int {
		switch {
		case a.Version < b.Version:
			return -1
		case a.Version > b.Version:
			return 1
		}
		return 0
	})
	return slices.CompactFunc(retained, func(a, b state.Config) bool { return a.Version == b.Version }), err
}

func (s *server) getHistory(c *call) (any, error) {
	retained, err := s.versions(c)
	if err != nil {
		return nil, err
	}
	page := Page[VersionInfo]{Items: []VersionInfo{}}
	for _, v := range retained {
		page.Items = append(page.Items, versionInfo(v))
		page.Index = max(page.Index, v.Index)
	}
	return page, nil
}

func versionInfo(v state.Config) VersionInfo {
	return VersionInfo{Version: v.Version, Author: v.Author, At: v.At, Index: v.Index}
}

func (s *server) getVersion(c *call) (any, error) {
	return s.version(c, "version", c.params.ByName("version"))
}

// version returns a retained version by its decimal number. field names the request
// parameter in errors.
func (s *server) version(c *call, field, text string) (state.Config, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return state.Config{}, badRequest("%s: expected the number of a version", field)
	}
	retained, err := s.versions(c)
	if err != nil {
		return state.Config{}, err
	}
	for _, v := range retained {
		if v.Version == number {
			return v, nil
		}
	}
	return state.Config{}, newProblem(CodeNotFound, fmt.Sprintf("version %d is not kept", number))
}

// getDiff compares the versions in the query. "to" defaults to the version in force.
func (s *server) getDiff(c *call) (any, error) {
	query := c.request.URL.Query()
	from, err := s.version(c, "from", query.Get("from"))
	if err != nil {
		return nil, err
	}
	var to state.Config
	if text := query.Get("to"); text != "" {
		to, err = s.version(c, "to", text)
	} else {
		err = s.backend.Read(c.ctx, func(st *state.State) { to = st.Config })
	}
	if err != nil {
		return nil, err
	}
	before, err := parseVersion(from)
	if err != nil {
		return nil, err
	}
	after, err := parseVersion(to)
	if err != nil {
		return nil, err
	}
	changes := rules.Diff(before, after)
	if changes == nil {
		changes = []rules.Change{}
	}
	return Diff{From: from.Version, To: to.Version, Changes: changes}, nil
}

// parseVersion parses a stored version. It fails if the current program no longer
// accepts a version that an older program has accepted.
func parseVersion(v state.Config) (*rules.Rules, error) {
	r, err := rules.Parse(fmt.Sprintf("version-%d", v.Version), []byte(v.Text))
	if err != nil {
		return nil, newProblem(CodeInternal, fmt.Sprintf("version %d does not parse: %v", v.Version, err))
	}
	return r, nil
}

// explainRule finds rules in force by name and determines the version that last
// changed each of them.
func (s *server) explainRule(c *call) (any, error) {
	name := c.request.URL.Query().Get("name")
	if name == "" {
		return nil, badRequest("name: expected the name of a rule, such as \"quotes\" or \"pool quotes\"")
	}
	retained, err := s.versions(c)
	if err != nil {
		return nil, err
	}
	current := retained[len(retained)-1]
	inForce, err := parseVersion(current)
	if err != nil {
		return nil, err
	}
	found := inForce.Find(name)
	if len(found) == 0 {
		return nil, newProblem(CodeNotFound, fmt.Sprintf("no rule %q is in force", name))
	}
	explanations := make([]Explanation, len(found))
	for i, rule := range found {
		explanations[i] = Explanation{Rule: rule, Since: versionInfo(current), Version: current.Version, OlderThan: true}
	}
	traceBack(explanations, retained[:len(retained)-1])
	return Page[Explanation]{Items: explanations, Index: current.Index}, nil
}

// traceBack walks the older versions from newest to oldest and moves Since back as
// long as the rule is unchanged.
func traceBack(explanations []Explanation, older []state.Config) {
	for _, v := range slices.Backward(older) {
		r, err := parseVersion(v)
		if err != nil {
			return
		}
		byID := map[string]rules.Rule{}
		for _, rule := range r.List() {
			byID[rule.ID()] = rule
		}
		for i := range explanations {
			e := &explanations[i]
			old, ok := byID[e.Rule.ID()]
			if e.OlderThan && ok && old.EqualIgnoringLine(e.Rule) {
				e.Since = versionInfo(v)
			} else {
				e.OlderThan = false
			}
		}
	}
	// No version precedes version 1.
	for i := range explanations {
		if explanations[i].Since.Version <= 1 {
			explanations[i].OlderThan = false
		}
	}
}
