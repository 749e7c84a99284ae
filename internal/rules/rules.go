// Package rules parses and checks the operators' rules: plain text, one rule a
// line, each with a comment that says who asked for it.
package rules

import "time"

// Source is the place of a rule and the comment that says who asked for it.
type Source struct {
	Line   int    `json:"line"`
	Asked  string `json:"asked"`
	Reason string `json:"reason"`
}

// Access tells who may use a queue.
type Access string

// Access of a queue.
const (
	Keyed Access = "keyed" // only teams with a key
	Open  Access = "open"  // everybody
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
	// be unavailable at a time, planned and unplanned together.
	Unavailable int `json:"unavailable"`
	// Period is the time within which every instance is maintained once.
	Period time.Duration `json:"period"`
	// Slots and Connections bound the load of one instance.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Queue is a declared queue of requests to a pool.
type Queue struct {
	Source
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Access Access `json:"access"`
	// Length bounds the waiting requests.
	Length int `json:"length"`
	// Deadline bounds the time that a caller may allow for a request. It is also
	// how long work of a lost entry instance counts against its team's limit.
	Deadline time.Duration `json:"deadline"`
}

// Team is a declared team.
type Team struct {
	Source
	Name string `json:"name"`
	// Share is the team's weight when requests compete.
	Share int `json:"share"`
	// Limit is the most that the team may have running across the fleet.
	Limit int `json:"limit"`
}

// Domain is an availability budget for a kind of failure domain.
type Domain struct {
	Source
	Kind        string `json:"kind"` // rack, datacentre or region
	Unavailable int    `json:"unavailable"`
}

// Weights trade the measures of the objective against each other.
type Weights struct {
	Source
	Buffer  int `json:"buffer"`
	Share   int `json:"share"`
	Rollout int `json:"rollout"`
	Moves   int `json:"moves"`
}

// Rules is a checked set of rules. It is not changed after parsing.
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
