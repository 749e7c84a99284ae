// Package view holds the part of the control state that entry instances work
// with: an immutable View, the deltas that advance it, and its freshness.
package view

import (
	"time"

	"cactusspar/internal/state"
)

// Methods of the messages from an entry instance to the control leader.
const (
	MethodRenew = "entry.renew"
	MethodLeave = "entry.leave"
)

// CodeNotLeader is the code of the error that a follower answers. Its text is
// the leader's peer address, or empty while none is known.
const CodeNotLeader = "not-leader"

// Renew is sent by an entry instance every renewal interval.
type Renew struct {
	Entry state.Entry `msgpack:"e"`
	// Since is the index of the sender's view; 0 asks for everything.
	Since uint64 `msgpack:"s"`
	// Demand holds what the sender's dispatchers need of each team's limit.
	Demand []Demand `msgpack:"d,omitempty"`
	// Instances holds inventory from announcements that the view doesn't have yet.
	Instances []state.Instance `msgpack:"i,omitempty"`
	// Drained holds instances that are draining and have no work left here.
	Drained []string `msgpack:"r,omitempty"`
	// Lost and Back hold instances whose announcements ended or came back.
	Lost []string `msgpack:"l,omitempty"`
	Back []string `msgpack:"b,omitempty"`
}

// Demand is what a dispatcher holds and needs of a team's limit for a pool.
type Demand struct {
	Team string `msgpack:"t"`
	Pool string `msgpack:"p"`
	// Epoch is the pool assignment that the sender dispatches under.
	Epoch uint64 `msgpack:"e"`
	// Running counts work in progress, Waiting counts queued requests.
	Running int `msgpack:"r"`
	Waiting int `msgpack:"w"`
	// Grant is the amount of the grant in use; a reduced grant is given back
	// once Running is at most the new amount and Grant reports it.
	Grant int `msgpack:"g"`
	// LastDeadline is the time until which work under the grant may still run.
	LastDeadline time.Duration `msgpack:"l"` // from now
}

// Delta advances a view to Index. Items that were removed are named.
type Delta struct {
	Index       uint64             `msgpack:"x"`
	Full        bool               `msgpack:"f,omitempty"` // replaces the view
	Config      *state.Config      `msgpack:"c,omitempty"`
	Keys        []state.Key        `msgpack:"k,omitempty"`
	Entries     []state.Entry      `msgpack:"e,omitempty"`
	Assignments []state.Assignment `msgpack:"a,omitempty"`
	Grants      []state.Grant      `msgpack:"g,omitempty"`
	Instances   []state.Instance   `msgpack:"i,omitempty"`
	GoneEntries []string           `msgpack:"ge,omitempty"`
	GoneGrants  []state.GrantID    `msgpack:"gg,omitempty"`
	GoneInst    []string           `msgpack:"gi,omitempty"`
	// Unknown tells the sender that its registration is unknown, older, or so new
	// that pools are still assigned to its earlier one. Until it is false, the
	// sender's view is not confirmed and it must not dispatch.
	Unknown bool `msgpack:"u,omitempty"`
}
