// Package state implements the replicated state machine of the control plane:
// typed commands, their validation when they are applied, and the encoding of
// snapshots.
//
// Apply is deterministic: replicas that apply the same commands in the same
// order reach equal states. It reads no clock and does no I/O.
package state

import (
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/workload"
)

// State is the replicated control state. It is owned by one goroutine and is not
// safe for concurrent use.
type State struct {
	// Index is the log index of the last applied command.
	Index uint64 `msgpack:"x"`
	// Clock is the latest clock reading of all applied commands.
	Clock time.Time `msgpack:"t"`

	Config      Config                    `msgpack:"c"`
	History     []Config                  `msgpack:"h"`
	Keys        map[string]*Key           `msgpack:"k"`
	Entries     map[string]*Entry         `msgpack:"e"`
	Assignments map[string]*Assignment    `msgpack:"a"`
	Grants      map[GrantID]*Grant        `msgpack:"g"`
	Instances   map[string]*Instance      `msgpack:"i"`
	Waves       map[string]*Wave          `msgpack:"w"`
	Jobs        map[string]*Job           `msgpack:"j"`
	Tasks       map[string]*Task          `msgpack:"k2"`
	Sessions    map[string]*ClientSession `msgpack:"s"`

	// Workload holds submitted work and the workers that are called directly.
	Workload *workload.State `msgpack:"wl"`

	// Violations counts commands that were rejected because they would have broken
	// an invariant.
	Violations uint64 `msgpack:"v"`

	rules      *rules.Rules   // parsed text of Config
	heldByTeam map[string]int // sum of Held of each team's grants
	// tasksByTeam counts the tasks of each team. tasksByInstance holds the task
	// identifiers of each instance.
	tasksByTeam     map[string]int
	tasksByInstance map[string]map[string]bool
	liveJobs        int // jobs that wait or run
	// waitingByTeam counts the waiting jobs of each team.
	waitingByTeam map[string]int
	recentChanges changeLog
}

// GrantID identifies the grant of a team for a pool under one epoch of the
// pool's assignment, as "team/pool/epoch". Grants of an older epoch count
// against the limit until they have been returned or have expired.
type GrantID string

// ClientSession holds the latest results returned to a client, by sequence number.
type ClientSession struct {
	Results map[uint64]Result `msgpack:"r"`
	Highest uint64            `msgpack:"h"`
	LastAt  time.Time         `msgpack:"t"`
}

// New returns an empty state.
func New() *State {
	return &State{
		Keys: map[string]*Key{}, Entries: map[string]*Entry{}, Assignments: map[string]*Assignment{},
		Grants: map[GrantID]*Grant{}, Instances: map[string]*Instance{}, Waves: map[string]*Wave{},
		Jobs: map[string]*Job{}, Tasks: map[string]*Task{}, Sessions: map[string]*ClientSession{},
		Workload:   workload.NewState(),
		heldByTeam: map[string]int{}, tasksByTeam: map[string]int{}, waitingByTeam: map[string]int{}, tasksByInstance: map[string]map[string]bool{},
	}
}
