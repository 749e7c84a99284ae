// Package state is the replicated state machine: typed commands, their
// validation when they are applied, and the snapshot encoding.
//
// Apply is deterministic: replicas that apply the same commands in the same
// order hold equal states. It reads no clock and does no I/O.
package state

import (
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/workload"
)

// State is the control state. It is owned by one goroutine.
type State struct {
	// Index is the log index of the last applied command.
	Index uint64 `msgpack:"x"`
	// Clock is the highest clock reading of all applied commands.
	Clock time.Time `msgpack:"t"`

	Config      Config                 `msgpack:"c"`
	History     []Config               `msgpack:"h"`
	Keys        map[string]*Key        `msgpack:"k"`
	Entries     map[string]*Entry      `msgpack:"e"`
	Assignments map[string]*Assignment `msgpack:"a"`
	Grants      map[GrantID]*Grant     `msgpack:"g"`
	Instances   map[string]*Instance   `msgpack:"i"`
	Waves       map[string]*Wave       `msgpack:"w"`
	Jobs        map[string]*Job        `msgpack:"j"`
	Tasks       map[string]*Task       `msgpack:"k2"`
	Sessions    map[string]*ClientLog  `msgpack:"s"`

	// Workload holds submitted work and the workers that are called directly.
	Workload *workload.State `msgpack:"wl"`

	// Violations counts commands rejected because they would have broken an invariant.
	Violations uint64 `msgpack:"v"`

	rules *rules.Rules   // parsed text of Config
	held  map[string]int // sum of Held of each team's grants
	// teamTasks counts the tasks of each team, tasksOn holds those of each instance.
	teamTasks map[string]int
	tasksOn   map[string]map[string]bool
	liveJobs  int // jobs that wait or run
	// teamWaiting counts the waiting jobs of each team.
	teamWaiting map[string]int
	log         changeLog
}

// GrantID identifies the grant of a team for a pool under one epoch of the
// pool's assignment, as "team/pool/epoch". Grants of an older epoch count
// against the limit until they have been given back or have expired.
type GrantID string

// ClientLog holds the last answers given to a client.
type ClientLog struct {
	Results map[uint64]Result `msgpack:"r"`
	Highest uint64            `msgpack:"h"`
	LastAt  time.Time         `msgpack:"t"`
}

// New returns an empty state.
func New() *State {
	return &State{
		Keys: map[string]*Key{}, Entries: map[string]*Entry{}, Assignments: map[string]*Assignment{},
		Grants: map[GrantID]*Grant{}, Instances: map[string]*Instance{}, Waves: map[string]*Wave{},
		Jobs: map[string]*Job{}, Tasks: map[string]*Task{}, Sessions: map[string]*ClientLog{},
		Workload: workload.New(),
		held:     map[string]int{}, teamTasks: map[string]int{}, teamWaiting: map[string]int{}, tasksOn: map[string]map[string]bool{},
	}
}
