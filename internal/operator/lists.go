package operator

import (
	"sort"
	"strconv"

	"cactusspar/internal/state"
)

// Page sizes in items.
const (
	defaultPage = 1_000
	maxPage     = 5_000
)

// listPage reads one page of the items that match accepts, or of all items if match
// is nil. clone copies an item, so that no reference into the state outlives the
// read.
func listPage[K ~string, T, U any](s *server, c *call, collection func(*state.State) map[K]*T, match func(*T) bool, clone func(*state.State, *T) U) (any, error) {
	after, limit, err := c.pageBounds()
	if err != nil {
		return nil, err
	}
	matches := func(item *T) bool { return match == nil || match(item) }
	var ids []string
	err = s.backend.Read(c.ctx, func(st *state.State) {
		for id, item := range collection(st) {
			if string(id) > after && matches(item) {
				ids = append(ids, string(id))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	// The IDs are sorted between two reads, because sorting a long list on the
	// goroutine that owns the state would delay its heartbeats.
	page := Page[U]{Items: []U{}}
	sort.Strings(ids)
	if len(ids) > limit {
		ids = ids[:limit]
		page.Next = ids[limit-1]
	}
	err = s.backend.Read(c.ctx, func(st *state.State) {
		items := collection(st)
		for _, id := range ids {
			if item, ok := items[K(id)]; ok && matches(item) {
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

// filter returns a predicate that accepts values equal to the query parameter, or
// all values if the parameter is absent.
func (c *call) filter(name string) func(string) bool {
	want := c.request.URL.Query().Get(name)
	return func(value string) bool { return want == "" || want == value }
}

// copyOf copies an item that holds no references.
func copyOf[T any](_ *state.State, item *T) T { return *item }

// getItem reads the item whose ID is in the path.
func getItem[T, U any](s *server, c *call, kind string, collection func(*state.State) map[string]*T, clone func(*state.State, *T) U) (any, error) {
	id := c.params.ByName("id")
	var body U
	found := false
	err := s.backend.Read(c.ctx, func(st *state.State) {
		item, ok := collection(st)[id]
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
