// Package view implements the copy of the control state that entry instances
// use: an immutable View, the deltas that advance it, and its freshness.
package view

import (
	"time"

	"cactusspar/internal/peer"
	"cactusspar/internal/state"
)

// Methods of the requests from an entry instance to the control leader.
const (
	MethodRenew = "entry.renew"
	MethodLeave = "entry.leave"
)

// CodeNotLeader is the error code with which a follower responds. The error text
// is the peer address of the leader, or empty while no leader is known.
const CodeNotLeader = peer.CodeNotLeader

// RenewRequest is the request that an entry instance sends at every renewal interval.
type RenewRequest struct {
	Entry state.Entry `msgpack:"e"`
	// Since is the index of the sender's view; 0 requests the full view.
	Since uint64 `msgpack:"s"`
	// Demand holds the demand of the sender's dispatchers by team and pool.
	Demand []Demand `msgpack:"d,omitempty"`
	// Instances holds announced inventory that the sender's view doesn't have yet.
	Instances []state.Instance `msgpack:"i,omitempty"`
	// Drained holds draining instances on which the sender has no work left.
	Drained []string `msgpack:"r,omitempty"`
	// Lost and Returned hold the instances whose announcements have stopped or resumed.
	Lost     []string `msgpack:"l,omitempty"`
	Returned []string `msgpack:"b,omitempty"`
}

// Demand is the part of a team's limit that a dispatcher uses and needs for a
// pool.
type Demand struct {
	Team string `msgpack:"t"`
	Pool string `msgpack:"p"`
	// Epoch is the epoch of the assignment under which the sender dispatches.
	Epoch uint64 `msgpack:"e"`
	// Running is the number of requests in progress, Waiting that of queued ones.
	Running int `msgpack:"r"`
	Waiting int `msgpack:"w"`
	// Grant is the amount of the grant in use. A reduced grant has been returned
	// once Running is at most the new amount and Grant reports that amount.
	Grant int `msgpack:"g"`
	// LastDeadline is how long, from now, work under the grant may still run.
	LastDeadline time.Duration `msgpack:"l"`
}

// Delta advances a view to Index. It holds the items that changed and the
// identifiers of those that were removed.
type Delta struct {
	Index            uint64             `msgpack:"x"`
	Full             bool               `msgpack:"f,omitempty"` // the delta replaces the view
	Config           *state.Config      `msgpack:"c,omitempty"`
	Keys             []state.Key        `msgpack:"k,omitempty"`
	Entries          []state.Entry      `msgpack:"e,omitempty"`
	Assignments      []state.Assignment `msgpack:"a,omitempty"`
	Grants           []state.Grant      `msgpack:"g,omitempty"`
	Instances        []state.Instance   `msgpack:"i,omitempty"`
	RemovedEntries   []string           `msgpack:"ge,omitempty"`
	RemovedGrants    []state.GrantID    `msgpack:"gg,omitempty"`
	RemovedInstances []string           `msgpack:"gi,omitempty"`
	// Unregistered is set if the sender's registration is unknown, outdated, or so new
	// that pools are still assigned to its earlier one. While it is set, the
	// sender's view is not confirmed and the sender must not dispatch.
	Unregistered bool `msgpack:"u,omitempty"`
}
