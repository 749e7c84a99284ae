package operator

import (
	"context"
	"net/url"
	"sort"
	"time"

	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// DataCentre is a data centre with workers that run jobs of queues, or one that was evacuated.
type DataCentre struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	// RequestedBy is the operator who asked for the last evacuation, or who took it back.
	RequestedBy string     `json:"requested_by,omitempty"`
	Since       *time.Time `json:"since,omitempty"`
	RestoredAt  *time.Time `json:"restored,omitempty"`
	Workers     int        `json:"workers"`
	// Runs counts the tasks that run there, LongRunning those of them that run until their
	// job is cancelled.
	Runs        int `json:"runs"`
	LongRunning int `json:"long_running"`
}

func dataCentres(st *workload.State) map[string]*DataCentre {
	found := map[string]*DataCentre{}
	add := func(name string) *DataCentre {
		if found[name] == nil {
			found[name] = &DataCentre{Name: name}
		}
		return found[name]
	}
	for name, e := range st.Evacuations {
		since, restored := e.Since, e.RestoredAt
		d := add(name)
		d.Evacuated, d.RequestedBy, d.Since = e.Active(), e.RequestedBy, &since
		if !e.Active() {
			d.RestoredAt = &restored
		}
	}
	for id, w := range st.Workers {
		if w.DataCentre == "" {
			continue
		}
		d := add(w.DataCentre)
		d.Workers++
		if u := st.Usage(id); u != nil {
			d.Runs += len(u.Runs)
			d.LongRunning += u.LongRunning
		}
	}
	return found
}

func (s *server) listDataCentres(c *call) (any, error) {
	page := Page[DataCentre]{Items: []DataCentre{}}
	err := s.backend.Read(c.ctx, func(st *state.State) {
		page.Index = st.Index
		for _, d := range dataCentres(st.Workload) {
			page.Items = append(page.Items, *d)
		}
	})
	sort.Slice(page.Items, func(i, k int) bool { return page.Items[i].Name < page.Items[k].Name })
	return page, err
}

func (s *server) getDataCentre(c *call) (any, error) {
	name := c.params.ByName("name")
	var found *DataCentre
	err := s.backend.Read(c.ctx, func(st *state.State) { found = dataCentres(st.Workload)[name] })
	switch {
	case err != nil:
		return nil, err
	case found == nil:
		return nil, newProblem(CodeNotFound, "data centre "+name+" does not exist")
	}
	return *found, nil
}

func (s *server) evacuateDataCentre(c *call) (any, error) { return s.changeEvacuation(c, true) }

func (s *server) restoreDataCentre(c *call) (any, error) { return s.changeEvacuation(c, false) }

// changeEvacuation proposes the change even if the data centre seems to be in that condition,
// because a change that undoes it may be in progress.
func (s *server) changeEvacuation(c *call, evacuated bool) (any, error) {
	var request SessionRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if _, err := s.getDataCentre(c); err != nil {
		return nil, err
	}
	full := false
	if err := s.backend.Read(c.ctx, func(st *state.State) { full = st.Workload.EvacuationsFull(c.params.ByName("name")) }); err != nil {
		return nil, err
	}
	if evacuated && full {
		return nil, newProblem(Code(state.CodeConflict), "no further data centre can be evacuated")
	}
	change := workload.EvacuationChange{DataCentre: c.params.ByName("name"), Evacuated: evacuated, By: c.operator}
	return s.propose(c, request.Session, state.Command{Workload: &workload.Command{Evacuations: []workload.EvacuationChange{change}}})
}

// DataCentres lists the data centres.
func (c *Client) DataCentres(ctx context.Context) ([]DataCentre, error) {
	return listAll[DataCentre](ctx, c, "/v1/datacentres", nil)
}

// DataCentre returns one data centre.
func (c *Client) DataCentre(ctx context.Context, name string) (DataCentre, error) {
	return getOne[DataCentre](ctx, c, "/v1/datacentres/", name)
}

// Evacuate asks that no task starts in a data centre.
func (c *Client) Evacuate(ctx context.Context, name string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/datacentres/"+url.PathEscape(name)+"/evacuate", SessionRequest{Session: c.session()})
}

// Restore takes the evacuation of a data centre back.
func (c *Client) Restore(ctx context.Context, name string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/datacentres/"+url.PathEscape(name)+"/restore", SessionRequest{Session: c.session()})
}
