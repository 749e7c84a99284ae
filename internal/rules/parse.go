package rules

import (
	"strings"
	"time"

	"cactusspar/internal/findings"
)

// Kinds of rules.
const (
	kindRegion     = "region"
	kindDataCentre = "datacentre"
	kindPool       = "pool"
	kindQueue      = "queue"
	kindTeam       = "team"
	kindSpare      = "spare"
	kindDomain     = "domain"
	kindWeight     = "weight"
)

// Limits on counts and values. They are well above the design size.
const (
	maxRegions     = 64
	maxDataCentres = 256
	maxPools       = 2_000
	maxQueues      = 4_000
	maxTeams       = 2_000

	maxInstances   = 10_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueueLength = 1_000_000
	maxTeamShare   = 1_000_000
	maxTeamLimit   = 1_000_000
	maxWeight      = 1_000

	minPeriod = time.Hour
	maxPeriod = 366 * 24 * time.Hour

	minDeadline = 100 * time.Millisecond
)

// MaxDeadline is the longest deadline that a queue may have, and the default.
const MaxDeadline = 30 * time.Second

// Default values of optional fields.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultWeight      = 1
)

// maxFindings limits the report on an input that is not a rules file at all.
const maxFindings = 1_000

// position is a place in a rules file; both numbers start at 1.
type position struct{ line, column int }

// reference is the use of another rule's name in a rule.
type reference struct {
	line line
	name token
	kind string
}

type parser struct {
	file       string
	findings   findings.List
	rules      *Rules
	references []reference
	// positions holds the positions of fields that are checked once all lines are
	// parsed.
	positions map[string]position
	// invalid holds the lines with an invalid or missing value. Checks between
	// values skip them, so that no contradiction caused by the placeholder value
	// is reported.
	invalid map[int]bool
}

// Parse parses and validates a rules file. The error is a findings.List with all
// findings. The findings name the input as file.
func Parse(file string, text []byte) (*Rules, error) {
	p := &parser{
		file:      file,
		rules:     newRules(string(text)),
		positions: map[string]position{},
		invalid:   map[int]bool{},
	}
	p.parse(string(text))
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	return p.rules, nil
}

func newRules(text string) *Rules {
	return &Rules{
		Text:        text,
		Regions:     map[string]Region{},
		DataCentres: map[string]DataCentre{},
		Pools:       map[string]Pool{},
		Queues:      map[string]Queue{},
		Teams:       map[string]Team{},
		Domains:     map[string]Domain{},
		Weights:     Weights{Buffer: DefaultWeight, Share: DefaultWeight, Rollout: DefaultWeight, Moves: DefaultWeight},
	}
}

func (p *parser) addFinding(line, column int, format string, args ...any) {
	switch n := len(p.findings); {
	case n < maxFindings:
		p.findings.Add(p.file, line, column, format, args...)
	case n == maxFindings:
		p.findings.Add(p.file, line, column, "more than %d findings; the rest is not shown", maxFindings)
	}
}

func (p *parser) parse(text string) {
	if len(text) > MaxTextBytes {
		p.addFinding(1, 1, "a rules file has at most %d bytes, this one has %d", MaxTextBytes, len(text))
		return
	}
	number := 0
	for raw := range strings.SplitSeq(text, "\n") {
		number++
		if number > MaxLines {
			p.addFinding(number, 1, "a rules file has at most %d lines", MaxLines)
			return
		}
		l, ok := p.scanLine(number, strings.TrimSuffix(raw, "\r"))
		if ok {
			p.parseRule(l)
		}
	}
	p.checkReferences()
	p.checkContradictions()
}

func (p *parser) parseRule(l line) {
	switch l.words[0].text {
	case kindRegion:
		p.parseRegion(l)
	case kindDataCentre:
		p.parseDataCentre(l)
	case kindPool:
		p.parsePool(l)
	case kindQueue:
		p.parseQueue(l)
	case kindTeam:
		p.parseTeam(l)
	case kindSpare:
		p.parseSpare(l)
	case kindDomain:
		p.parseDomain(l)
	case kindWeight:
		p.parseWeight(l)
	default:
		p.addFinding(l.number, l.words[0].column, "unknown kind %q: expected region, datacentre, pool, queue, team, spare, domain or weight", l.words[0].text)
	}
}

// parseName returns the name of a rule. It returns false and reports a finding if
// the name is missing or invalid.
func (p *parser) parseName(l line) (string, bool) {
	if len(l.words) < 2 || strings.Contains(l.words[1].text, "=") {
		p.addFinding(l.number, l.words[0].column, "expected a name after %s", l.words[0].text)
		return "", false
	}
	name := l.words[1]
	if !validName(name.text) {
		p.addFinding(l.number, name.column, "%q is not a name: expected at most %d lower-case letters, digits and inner hyphens", name.text, maxNameBytes)
		return "", false
	}
	return name.text, true
}

// checkUnique reports a rule whose kind and name are already declared, and a rule
// that exceeds the limit of its kind. It returns true if the rule may be added.
func (p *parser) checkUnique(l line, declared bool, first Source, count, limit int) bool {
	column := l.words[min(1, len(l.words)-1)].column
	if declared {
		p.addFinding(l.number, column, "%s is already given in line %d%s", ruleName(l), first.Line, requesterSuffix(first))
		return false
	}
	if count >= limit {
		p.addFinding(l.number, column, "at most %d rules of kind %s", limit, l.words[0].text)
		return false
	}
	return true
}

func (p *parser) parseRegion(l line) {
	name, ok := p.parseName(l)
	p.readFields(l, 2).checkUnknown()
	first, declared := p.rules.Regions[name]
	if ok && p.checkUnique(l, declared, first.Source, len(p.rules.Regions), maxRegions) {
		p.rules.Regions[name] = Region{Source: l.source, Name: name}
	}
}

func (p *parser) parseDataCentre(l line) {
	name, ok := p.parseName(l)
	f := p.readFields(l, 2)
	d := DataCentre{Source: l.source, Name: name, Region: f.reference("region", kindRegion)}
	f.checkUnknown()
	first, declared := p.rules.DataCentres[name]
	if ok && p.checkUnique(l, declared, first.Source, len(p.rules.DataCentres), maxDataCentres) {
		p.rules.DataCentres[name] = d
	}
}

func (p *parser) parsePool(l line) {
	name, ok := p.parseName(l)
	f := p.readFields(l, 2)
	pool := Pool{
		Source:      l.source,
		Name:        name,
		Min:         f.number("min", 0, maxInstances),
		Max:         f.number("max", 1, maxInstances),
		Unavailable: f.number("unavailable", 0, maxInstances),
		Period:      f.duration("period", minPeriod, maxPeriod),
		Slots:       f.optional("slots", 1, maxSlots, DefaultSlots),
		Connections: f.optional("connections", 1, maxConnections, DefaultConnections),
	}
	f.checkUnknown()
	first, declared := p.rules.Pools[name]
	if !ok || !p.checkUnique(l, declared, first.Source, len(p.rules.Pools), maxPools) {
		return
	}
	p.rules.Pools[name] = pool
	p.checkPool(f, pool)
}

func (p *parser) parseQueue(l line) {
	name, ok := p.parseName(l)
	f := p.readFields(l, 2)
	q := Queue{
		Source:   l.source,
		Name:     name,
		Pool:     f.reference("pool", kindPool),
		Access:   Access(f.oneOf("access", string(Keyed), string(Open))),
		Length:   f.number("length", 1, maxQueueLength),
		Deadline: f.duration("deadline", minDeadline, MaxDeadline),
	}
	if q.Deadline == 0 {
		q.Deadline = MaxDeadline
	}
	f.checkUnknown()
	first, declared := p.rules.Queues[name]
	if ok && p.checkUnique(l, declared, first.Source, len(p.rules.Queues), maxQueues) {
		p.rules.Queues[name] = q
	}
}

func (p *parser) parseTeam(l line) {
	name, ok := p.parseName(l)
	f := p.readFields(l, 2)
	t := Team{
		Source: l.source,
		Name:   name,
		Share:  f.number("share", 1, maxTeamShare),
		Limit:  f.number("limit", 1, maxTeamLimit),
	}
	f.checkUnknown()
	first, declared := p.rules.Teams[name]
	if ok && p.checkUnique(l, declared, first.Source, len(p.rules.Teams), maxTeams) {
		p.rules.Teams[name] = t
	}
}

func (p *parser) parseSpare(l line) {
	name, ok := p.parseName(l)
	p.readFields(l, 2).checkUnknown()
	if !ok {
		return
	}
	if first := p.rules.SpareSource; first.Line != 0 {
		p.addFinding(l.number, l.words[1].column, "there is one spare pool; pool %s is already named in line %d%s", p.rules.Spare, first.Line, requesterSuffix(first))
		return
	}
	p.addReference(l, l.words[1], kindPool)
	p.rules.Spare = name
	p.rules.SpareSource = l.source
}

func (p *parser) parseDomain(l line) {
	name, ok := p.parseName(l)
	f := p.readFields(l, 2)
	d := Domain{Source: l.source, Kind: name, Unavailable: f.number("unavailable", 0, maxInstances)}
	f.checkUnknown()
	if ok && name != "rack" && name != "datacentre" && name != "region" {
		p.addFinding(l.number, l.words[1].column, "unknown failure domain %q: expected rack, datacentre or region", name)
		ok = false
	}
	first, declared := p.rules.Domains[name]
	if ok && p.checkUnique(l, declared, first.Source, len(p.rules.Domains), 3) {
		p.rules.Domains[name] = d
		p.positions[domainKey(name)] = position{l.number, f.column("unavailable")}
	}
}

func (p *parser) parseWeight(l line) {
	f := p.readFields(l, 1)
	w := Weights{
		Source:  l.source,
		Buffer:  f.optional("buffer", 0, maxWeight, DefaultWeight),
		Share:   f.optional("share", 0, maxWeight, DefaultWeight),
		Rollout: f.optional("rollout", 0, maxWeight, DefaultWeight),
		Moves:   f.optional("moves", 0, maxWeight, DefaultWeight),
	}
	f.checkUnknown()
	first := p.rules.Weights.Source
	if !p.checkUnique(l, first.Line != 0, first, 0, 1) {
		return
	}
	if w.Buffer+w.Share+w.Rollout+w.Moves == 0 && !p.invalid[l.number] {
		p.addFinding(l.number, l.words[0].column, "every weight is 0, which leaves nothing to decide by")
	}
	p.rules.Weights = w
}
