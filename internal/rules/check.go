package rules

import (
	"time"
)

// minMaintenanceTime is a lower bound on the time that an instance needs to drain,
// reboot and return to service. No plan can meet a period that leaves less time
// than this per instance.
const minMaintenanceTime = time.Minute

func (p *parser) addReference(l line, name token, kind string) {
	p.references = append(p.references, reference{line: l, name: name, kind: kind})
}

// checkReferences reports references to rules that the file does not declare.
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
			p.addFinding(r.line.number, r.name.column, "%s %q is not declared%s", r.kind, r.name.text, requesterSuffix(r.line.source))
		}
	}
}

// checkPool reports contradictions between the fields of a pool.
func (p *parser) checkPool(f *fields, pool Pool) {
	number := f.line.number
	if p.invalid[number] {
		return
	}
	by := requesterSuffix(pool.Source)
	if pool.Min > pool.Max {
		p.addFinding(number, f.column("min"), "min=%d is above max=%d%s", pool.Min, pool.Max, by)
	}
	if pool.Unavailable > pool.Max {
		p.addFinding(number, f.column("unavailable"), "unavailable=%d is above max=%d, so the budget protects nothing%s", pool.Unavailable, pool.Max, by)
	}
	if pool.Connections < pool.Slots {
		p.addFinding(number, f.column("connections"), "connections=%d is below slots=%d, and each request in a slot takes a connection%s", pool.Connections, pool.Slots, by)
	}
	if pool.Period == 0 {
		return
	}
	if pool.Unavailable == 0 {
		p.addFinding(number, f.column("unavailable"), "unavailable=0 with period=%s: no plan can maintain the pool without making an instance unavailable%s", FormatDuration(pool.Period), by)
		return
	}
	rounds := (pool.Max + pool.Unavailable - 1) / pool.Unavailable
	if needed := time.Duration(rounds) * minMaintenanceTime; needed > pool.Period {
		p.addFinding(number, f.column("period"), "period=%s is too short: %d instances with unavailable=%d take at least %s%s",
			FormatDuration(pool.Period), pool.Max, pool.Unavailable, FormatDuration(needed), by)
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
		at := p.positions[domainKey(kind)]
		if d.Unavailable == 0 && !p.invalid[d.Line] {
			p.addFinding(at.line, at.column, "unavailable=0 for every %s%s contradicts period=%s of pool %s in line %d%s",
				kind, requesterSuffix(d.Source), FormatDuration(pool.Period), maintained, pool.Line, requesterSuffix(pool.Source))
		}
	}
}

func domainKey(kind string) string { return kindDomain + " " + kind }

// requesterSuffix returns the requester of a rule in the form that is appended to
// a finding, or an empty string if the rule names none.
func requesterSuffix(s Source) string {
	if s.RequestedBy == "" {
		return ""
	}
	return " (asked for by " + s.RequestedBy + ")"
}

// ruleName returns the kind and name of the rule in a line.
func ruleName(l line) string {
	if l.words[0].text == kindWeight || len(l.words) < 2 {
		return l.words[0].text
	}
	return l.words[0].text + " " + l.words[1].text
}
