package workload

import (
	"crypto/sha256"
	"strings"
	"time"

	"cactusspar/internal/resources"
)

// KeyHash is the SHA-256 of a key as callers send it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Topology is what operators configure: queues, the pools that run them, and
// the teams that use them. It is replaced as a whole by a higher version.
type Topology struct {
	Version uint64  `msgpack:"v"`
	Queues  []Queue `msgpack:"q"`
	Pools   []Pool  `msgpack:"p"`
	Teams   []Team  `msgpack:"t"`
	// MaxBodyBytes bounds the body of a call; 0 means the gateway's own bound.
	MaxBodyBytes int64 `msgpack:"b"`
	// Document is the text that the operator sent, returned when it is read back.
	Document []byte `msgpack:"d"`

	owners map[KeyHash]string // teams by key
	byName map[string]*Queue
	byHost map[string][]*Queue
}

// Index prepares Resolve and Queue, which run for each call and each open job. It
// is called once, before the topology is shared.
func (t *Topology) Index() {
	t.owners = map[KeyHash]string{}
	for i := range t.Teams {
		for _, k := range t.Teams[i].Keys {
			t.owners[k] = t.Teams[i].Name
		}
	}
	t.byName, t.byHost = map[string]*Queue{}, map[string][]*Queue{}
	for i := range t.Queues {
		q := &t.Queues[i]
		t.byName[q.Name] = q
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
}

// Access tells whether a call may be made.
type Access uint8

// Outcomes of Resolve.
const (
	Allowed Access = iota
	NoQueue
	UnknownKey
)

// Resolve finds the queue of a call, the team that its key belongs to, and what
// follows the queue's prefix in the path. key is nil for a call without one,
// which only public queues take; their calls belong to no team then.
func (t *Topology) Resolve(host, path string, key *KeyHash) (q *Queue, team, rest string, access Access) {
	if q = t.Match(host, path); q == nil {
		return nil, "", "", NoQueue
	}
	known := false
	if key != nil {
		team, known = t.owners[*key]
	}
	if !known && !q.Public {
		return nil, "", "", UnknownKey
	}
	return q, team, path[len(q.Prefix):], Allowed
}

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name   string `msgpack:"n"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"x"`
	Pool   string `msgpack:"p"`
	// Priority 0 comes first and may preempt others.
	Priority    int `msgpack:"r"`
	MaxAttempts int `msgpack:"a"`
	// A job is on time within Stretch times its longest chain of tasks and Slack.
	Stretch float64       `msgpack:"s"`
	Slack   time.Duration `msgpack:"l"`
	// Timeout bounds the answer to one call.
	Timeout time.Duration `msgpack:"o"`
	// Public tells that calls need no key.
	Public bool `msgpack:"u"`
	// Advice is nil unless a policy service decides which workers may run a step.
	Advice *Advice `msgpack:"v"`
}

// Advice describes the policy service of a queue.
type Advice struct {
	// Base and PerWorker are the service's time for an answer.
	Base      time.Duration `msgpack:"b"`
	PerWorker time.Duration `msgpack:"w"`
	// Validity is how long a ticket may be used.
	Validity time.Duration `msgpack:"v"`
}

// Pool is a group of workers that run the same queues.
type Pool struct {
	Name string `msgpack:"n"`
	// Guarded tells that its workers refuse what doesn't fit.
	Guarded bool `msgpack:"g"`
	// Spare tells that its instances are switched off and cost nothing.
	Spare bool `msgpack:"s"`
	// HealthPath is where a worker answers for its health.
	HealthPath string `msgpack:"h"`
}

// Team is who jobs belong to.
type Team struct {
	Name   string    `msgpack:"n"`
	Keys   []KeyHash `msgpack:"k"`
	Weight float64   `msgpack:"w"`
	// Cap is what the team may have running; zero in a dimension means no limit.
	Cap resources.Amount `msgpack:"c"`
}

// Queue returns the queue of that name, or nil.
func (t *Topology) Queue(name string) *Queue {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Pool returns the pool of that name, or nil.
func (t *Topology) Pool(name string) *Pool {
	if t == nil {
		return nil
	}
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Team returns the team of that name, or nil.
func (t *Topology) Team(name string) *Team {
	if t == nil {
		return nil
	}
	for i := range t.Teams {
		if t.Teams[i].Name == name {
			return &t.Teams[i]
		}
	}
	return nil
}

// Match returns the queue with the host and the longest prefix of the path, or
// nil.
func (t *Topology) Match(host, path string) *Queue {
	var best *Queue
	for _, q := range t.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
