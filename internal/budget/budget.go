// Package budget counts unavailable instances against the availability budgets
// of pools and failure domains. The planner and the state machine share it, so
// that both decide alike.
package budget

import (
	"fmt"

	"github.com/zeebo/errs"

	"cactusspar/internal/rules"
)

// Kinds of failure domains that a rule may name.
const (
	KindRack       = "rack"
	KindDataCentre = "datacentre"
	KindRegion     = "region"
)

// Place is the pool and the failure domains of an instance.
type Place struct {
	Pool, Rack, DataCentre, Region string
}

// PlaceOf returns the place of an instance. The name of a rack includes its data
// centre, because racks of two data centres may have the same name.
func PlaceOf(pool, rack, dataCentre, region string) Place {
	p := Place{Pool: pool, DataCentre: dataCentre, Region: region}
	if rack != "" {
		p.Rack = dataCentre + "/" + rack
	}
	return p
}

// Ledger holds the number of unavailable instances of each pool and domain.
// It is not safe for concurrent use.
type Ledger struct {
	rules                          *rules.Rules
	pools, racks, centres, regions map[string]int
}

// New returns a ledger in which every instance is available.
func New(r *rules.Rules) *Ledger {
	return &Ledger{
		rules: r,
		pools: map[string]int{}, racks: map[string]int{}, centres: map[string]int{}, regions: map[string]int{},
	}
}

// MarkUnavailable counts one more unavailable instance, whether planned or not.
func (l *Ledger) MarkUnavailable(p Place) { l.add(p, 1) }

// MarkAvailable counts one unavailable instance fewer.
func (l *Ledger) MarkAvailable(p Place) { l.add(p, -1) }

func (l *Ledger) add(p Place, n int) {
	l.pools[p.Pool] += n
	l.racks[p.Rack] += n
	l.centres[p.DataCentre] += n
	l.regions[p.Region] += n
}

// InPool returns the number of unavailable instances of a pool.
func (l *Ledger) InPool(name string) int { return l.pools[name] }

// InRack returns the number of unavailable instances of a rack.
func (l *Ledger) InRack(name string) int { return l.racks[name] }

// InDataCentre returns the number of unavailable instances of a data centre.
func (l *Ledger) InDataCentre(name string) int { return l.centres[name] }

// InRegion returns the number of unavailable instances of a region.
func (l *Ledger) InRegion(name string) int { return l.regions[name] }

// ExceededError reports a budget that has no room left.
type ExceededError struct {
	What        string // for example: pool "quotes"
	Unavailable int
	Limit       int
	Source      rules.Source
}

// Error names the budget, its counts and who asked for it.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("%s has %d instances unavailable of %d allowed (rules line %d, asked for by %s)",
		e.What, e.Unavailable, e.Limit, e.Source.Line, e.Source.RequestedBy)
}

// CheckRoom returns nil if one more instance at p may be taken out of service, and an
// *ExceededError if a budget has no room.
func (l *Ledger) CheckRoom(p Place) error {
	pool, ok := l.rules.Pools[p.Pool]
	if !ok {
		return errs.New("pool %q is not in the rules", p.Pool)
	}
	if n := l.pools[p.Pool]; n >= pool.Unavailable {
		return &ExceededError{fmt.Sprintf("pool %q", p.Pool), n, pool.Unavailable, pool.Source}
	}
	for _, d := range []struct {
		kind, name string
		count      int
	}{
		{KindRack, p.Rack, l.racks[p.Rack]},
		{KindDataCentre, p.DataCentre, l.centres[p.DataCentre]},
		{KindRegion, p.Region, l.regions[p.Region]},
	} {
		rule, ok := l.rules.Domains[d.kind]
		if ok && d.name != "" && d.count >= rule.Unavailable {
			return &ExceededError{fmt.Sprintf("%s %q", d.kind, d.name), d.count, rule.Unavailable, rule.Source}
		}
	}
	return nil
}
