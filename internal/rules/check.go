package rules

import (
	"time"
)

// shortestMaintenance is a lower bound on the time in which an instance drains,
// reboots and returns. A period that leaves less time than this for each
// instance cannot be met by any plan.
const shortestMaintenance = time.Minute

func (p *parser) refer(l line, name token, kind string) {
	p.references = append(p.references, reference{line: l, name: name, kind: kind})
}

// checkReferences reports names of rules that are not in the file.
func (p *parser) checkReferences() {
	for _, r := range p.references {
		var found bool
		switch r.kind {
		case kindRegion:
			_, found = p.rules.Regions[r.name.text]
		case kindPool:
			_, found = p.rules.Pools[r.name.text]
		}
		if !found {
			p.add(r.line.number, r.name.column, "%s %q is not declared%s", r.kind, r.name.text, askedBy(r.line.source))
		}
	}
}

// checkPool reports contradictions within a pool.
func (p *parser) checkPool(f *fields, pool Pool) {
	number := f.line.number
	if p.invalid[number] {
		return
	}
	by := askedBy(pool.Source)
	if pool.Min > pool.Max {
		p.add(number, f.column("min"), "min=%d is above max=%d%s", pool.Min, pool.Max, by)
	}
	if pool.Unavailable > pool.Max {
		p.add(number, f.column("unavailable"), "unavailable=%d is above max=%d, so the budget protects nothing%s", pool.Unavailable, pool.Max, by)
	}
	if pool.Connections < pool.Slots {
		p.add(number, f.column("connections"), "connections=%d is below slots=%d, and each request in a slot takes a connection%s", pool.Connections, pool.Slots, by)
	}
	if pool.Period == 0 {
		return
	}
	if pool.Unavailable == 0 {
		p.add(number, f.column("unavailable"), "unavailable=0 with period=%s: no plan can maintain the pool without making an instance unavailable%s", FormatDuration(pool.Period), by)
		return
	}
	rounds := (pool.Max + pool.Unavailable - 1) / pool.Unavailable
	if least := time.Duration(rounds) * shortestMaintenance; least > pool.Period {
		p.add(number, f.column("period"), "period=%s is too short: %d instances with unavailable=%d take at least %s%s",
			FormatDuration(pool.Period), pool.Max, pool.Unavailable, FormatDuration(least), by)
	}
}

// checkContradictions reports contradictions between rules.
func (p *parser) checkContradictions() {
	maintained := ""
	for name, pool := range p.rules.Pools {
		if pool.Period != 0 && (maintained == "" || pool.Line < p.rules.Pools[maintained].Line) {
			maintained = name
		}
	}
	if maintained == "" {
		return
	}
	pool := p.rules.Pools[maintained]
	for kind, d := range p.rules.Domains {
		at := p.places[domainPlace(kind)]
		if d.Unavailable == 0 && !p.invalid[d.Line] {
			p.add(at.line, at.column, "unavailable=0 for every %s%s contradicts period=%s of pool %s in line %d%s",
				kind, askedBy(d.Source), FormatDuration(pool.Period), maintained, pool.Line, askedBy(pool.Source))
		}
	}
}

func domainPlace(kind string) string { return kindDomain + " " + kind }

// askedBy names who asked for a rule, for use at the end of a finding.
func askedBy(s Source) string {
	if s.Asked == "" {
		return ""
	}
	return " (asked for by " + s.Asked + ")"
}

// ruleName returns the kind and name of a rule.
func ruleName(l line) string {
	if l.words[0].text == kindWeight || len(l.words) < 2 {
		return l.words[0].text
	}
	return l.words[0].text + " " + l.words[1].text
}
