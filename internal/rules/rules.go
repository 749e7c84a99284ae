// Package rules parses and validates the operators' rules file: plain text with
// one rule per line, each followed by a comment that names who requested the rule
// and why.
package rules

import "time"

// Source records where a rule is declared, who requested it and why.
type Source struct {
	Line        int    `json:"line"`
	RequestedBy string `json:"asked"`
	Reason      string `json:"reason"`
}

// Access specifies who may submit requests to a queue.
type Access string

// Access modes of a queue.
const (
	Keyed Access = "keyed" // only teams that present a key
	Open  Access = "open"  // any caller
)

// DataCentre is a declared data centre.
type DataCentre struct {
	Source
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Region is a declared region.
type Region struct {
	Source
	Name string `json:"name"`
}

// Pool is a declared pool of instances.
type Pool struct {
	Source
	Name string `json:"name"`
	// Min and Max bound the number of instances.
	Min int `json:"min"`
	Max int `json:"max"`
	// Unavailable is the availability budget: the number of instances that may
	// be unavailable at the same time, for planned and unplanned reasons together.
	Unavailable int `json:"unavailable"`
	// Period is the interval within which every instance is maintained once. Zero
	// means no periodic maintenance.
	Period time.Duration `json:"period"`
	// Slots and Connections limit the concurrent requests and the connections of
	// one instance.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Queue is a declared queue of requests to a pool.
type Queue struct {
	Source
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Access Access `json:"access"`
	// Length is the maximum number of waiting requests.
	Length int `json:"length"`
	// Deadline is the longest deadline that a caller may set for a request. The
	// running requests of a lost entry instance count against their teams' limits
	// for the same time.
	Deadline time.Duration `json:"deadline"`
}

// Team is a declared team.
type Team struct {
	Source
	Name string `json:"name"`
	// Share is the team's weight when waiting requests compete for capacity.
	Share int `json:"share"`
	// Limit is the maximum number of requests that the team may have running
	// across the fleet.
	Limit int `json:"limit"`
}

// Domain is an availability budget for a kind of failure domain.
type Domain struct {
	Source
	Kind        string `json:"kind"` // rack, datacentre or region
	Unavailable int    `json:"unavailable"`
}

// Weights holds the relative weights of the planning objectives: capacity buffer
// and team shares against roll-outs and moves.
type Weights struct {
	Source
	Buffer  int `json:"buffer"`
	Share   int `json:"share"`
	Rollout int `json:"rollout"`
	Moves   int `json:"moves"`
}

// Rules is a validated set of rules. It is immutable after parsing.
type Rules struct {
	Text        string                `json:"-"`
	Regions     map[string]Region     `json:"regions"`
	DataCentres map[string]DataCentre `json:"data_centres"`
	Pools       map[string]Pool       `json:"pools"`
	Queues      map[string]Queue      `json:"queues"`
	Teams       map[string]Team       `json:"teams"`
	Domains     map[string]Domain     `json:"domains"`
	Spare       string                `json:"spare"`
	SpareSource Source                `json:"spare_source"`
	Weights     Weights               `json:"weights"`
}
