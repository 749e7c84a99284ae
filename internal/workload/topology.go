package workload

import (
	"crypto/sha256"
	"slices"
	"time"

	"cactusspar/internal/resources"
)

// KeyHash is the SHA-256 hash of an API key as callers send it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Topology is the configuration set by operators: queues, the pools that run them,
// and the teams that use them. A higher version replaces it as a whole.
type Topology struct {
	Version uint64  `msgpack:"v"`
	Queues  []Queue `msgpack:"q"`
	Pools   []Pool  `msgpack:"p"`
	Teams   []Team  `msgpack:"t"`
	// MaxBodyBytes limits the body of a call; 0 means the gateway's default limit.
	MaxBodyBytes int64 `msgpack:"b"`
	// Document is the text that the operator submitted. It is returned unchanged when
	// the topology is read.
	Document []byte `msgpack:"d"`

	packed    []byte // see Pack
	teamByKey map[KeyHash]string
	byName    map[string]*Queue
	byHost    map[string]*hostQueues
}

// hostQueues holds the queues of a host by prefix, and the lengths of the prefixes, longest first.
// A search takes a look for each length, however many queues there are.
type hostQueues struct {
	byPrefix map[string]*Queue
	lengths  []int
}

// WithoutDocument returns a copy without the operator's text, which only reads of the configuration
// return.
func (t *Topology) WithoutDocument() *Topology {
	short := *t
	short.Document, short.packed = nil, nil
	return &short
}

// BuildIndex builds the indices for Resolve, Match and Queue, which run for each call and
// each open job. It must be called once, before the topology is shared.
func (t *Topology) BuildIndex() {
	t.teamByKey = map[KeyHash]string{}
	for i := range t.Teams {
		for _, k := range t.Teams[i].Keys {
			t.teamByKey[k] = t.Teams[i].Name
		}
	}
	t.byName, t.byHost = make(map[string]*Queue, len(t.Queues)), map[string]*hostQueues{}
	for i := range t.Queues {
		q := &t.Queues[i]
		t.byName[q.Name] = q
		h := t.byHost[q.Host]
		if h == nil {
			h = &hostQueues{byPrefix: map[string]*Queue{}}
			t.byHost[q.Host] = h
		}
		if h.byPrefix[q.Prefix] == nil {
			h.byPrefix[q.Prefix] = q
		}
		if !slices.Contains(h.lengths, len(q.Prefix)) {
			h.lengths = append(h.lengths, len(q.Prefix))
		}
	}
	for _, h := range t.byHost {
		slices.SortFunc(h.lengths, func(a, b int) int { return b - a })
	}
}

// Access is the result of the access check of a call.
type Access uint8

// Results of Resolve.
const (
	Allowed Access = iota
	NoQueue
	UnknownKey
)

// Resolve returns the queue of a call, the team to which its key belongs, and the
// part of the path after the queue's prefix. key is nil for a call without a key.
// Only public queues accept such a call and calls with an unknown key; these belong
// to no team.
func (t *Topology) Resolve(host, path string, key *KeyHash) (q *Queue, team, suffix string, access Access) {
	if q = t.Match(host, path); q == nil {
		return nil, "", "", NoQueue
	}
	known := false
	if key != nil {
		team, known = t.teamByKey[*key]
	}
	if !known && !q.Public {
		return nil, "", "", UnknownKey
	}
	return q, team, path[len(q.Prefix):], Allowed
}

// Queue accepts jobs under a host and a path prefix.
type Queue struct {
	Name   string `msgpack:"n"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"x"`
	Pool   string `msgpack:"p"`
	// Priority orders queues. Priority 0 is the highest and may preempt others.
	Priority    int `msgpack:"r"`
	MaxAttempts int `msgpack:"a"`
	// A job is on time if it takes at most Stretch times its critical path, plus
	// Slack.
	Stretch float64       `msgpack:"s"`
	Slack   time.Duration `msgpack:"l"`
	// Timeout limits the time of one call.
	Timeout time.Duration `msgpack:"o"`
	// Public reports that calls need no key.
	Public bool `msgpack:"u"`
	// Advice describes the policy service that decides which workers may run a step;
	// nil means that there is none.
	Advice *Advice `msgpack:"v"`
}

// Advice describes the policy service of a queue.
type Advice struct {
	// The service takes Base, plus PerWorker for each worker, to respond.
	Base      time.Duration `msgpack:"b"`
	PerWorker time.Duration `msgpack:"w"`
	// Validity is how long a ticket of the service is valid.
	Validity time.Duration `msgpack:"v"`
}

// Pool is a group of workers that run the same queues.
type Pool struct {
	Name string `msgpack:"n"`
	// AdmissionCheck reports that its workers reject tasks for which they have no
	// room.
	AdmissionCheck bool `msgpack:"g"`
	// Spare reports that its instances are switched off and cost nothing.
	Spare bool `msgpack:"s"`
	// HealthPath is the path of the workers' health check.
	HealthPath string `msgpack:"h"`
}

// Team is a customer to whom jobs belong.
type Team struct {
	Name   string    `msgpack:"n"`
	Keys   []KeyHash `msgpack:"k"`
	Weight float64   `msgpack:"w"`
	// Cap limits the resources of the team's runs; zero in a dimension means no
	// limit.
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

// Match returns the queue of the host with the longest matching prefix of the path,
// or nil.
func (t *Topology) Match(host, path string) *Queue {
	h := t.byHost[host]
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q := h.byPrefix[path[:n]]; q != nil {
			return q
		}
	}
	return nil
}
