package operator

import (
	"sort"
	"strconv"

	"cactusspar/internal/state"
)

// Bounds of a page.
const (
	defaultPage = 1_000
	maxPage     = 5_000
)

// listPage reads one page of the items that keep accepts. clone copies an item,
// so that no reference into the state outlives the read.
func listPage[K ~string, T, U any](s *server, c *call, pick func(*state.State) map[K]*T, keep func(*T) bool, clone func(*state.State, *T) U) (any, error) {
	after, limit, err := c.pageBounds()
	if err != nil {
		return nil, err
	}
	passes := func(item *T) bool { return keep == nil || keep(item) }
	var ids []string
	err = s.backend.Read(c.ctx, func(st *state.State) {
		for id, item := range pick(st) {
			if string(id) > after && passes(item) {
				ids = append(ids, string(id))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	// The identities are sorted between two reads, so that a long list does not
	// keep the state's goroutine from its heartbeats.
	page := Page[U]{Items: []U{}}
	sort.Strings(ids)
	if len(ids) > limit {
		ids = ids[:limit]
		page.Next = ids[limit-1]
	}
	err = s.backend.Read(c.ctx, func(st *state.State) {
		items := pick(st)
		for _, id := range ids {
			if item, ok := items[K(id)]; ok && passes(item) {
				page.Items = append(page.Items, clone(st, item))
			}
		}
		page.Index = st.Index
	})
	return page, err
}

// pageBounds reads the query parameters "after" and "limit".
func (c *call) pageBounds() (string, int, error) {
	query := c.request.URL.Query()
	limit := defaultPage
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPage {
			return "", 0, badRequest("limit: expected a number from 1 to %d", maxPage)
		}
		limit = n
	}
	return query.Get("after"), limit, nil
}

// filter returns a query parameter and whether a value passes it.
func (c *call) filter(name string) func(string) bool {
	want := c.request.URL.Query().Get(name)
	return func(value string) bool { return want == "" || want == value }
}

// copyOf clones an item that holds no references.
func copyOf[T any](_ *state.State, item *T) T { return *item }

// getItem reads one item by the identity in the path.
func getItem[T, U any](s *server, c *call, kind string, pick func(*state.State) map[string]*T, clone func(*state.State, *T) U) (any, error) {
	id := c.params.ByName("id")
	var body U
	found := false
	err := s.backend.Read(c.ctx, func(st *state.State) {
		item, ok := pick(st)[id]
		if ok {
			found = true
			body = clone(st, item)
		}
	})
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, newProblem(CodeNotFound, kind+" "+strconv.Quote(id)+" is not known")
	}
	return body, nil
}
