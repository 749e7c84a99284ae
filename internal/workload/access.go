package workload

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// AccessUpdate changes the rules by which a gateway checks access from those of one version of the
// topology to those of another. It holds neither pools nor names, which only the leader needs, and
// is much smaller than a topology.
type AccessUpdate struct {
	// Base is the version to which the update applies, or 0 if it replaces all rules.
	Base         uint64       `msgpack:"b"`
	Version      uint64       `msgpack:"v"`
	MaxBodyBytes int64        `msgpack:"m"`
	Hosts        []HostUpdate `msgpack:"h"`
	AddedKeys    []KeyHash    `msgpack:"k"`
	RemovedKeys  []KeyHash    `msgpack:"r"`
}

// HostUpdate holds the changed path prefixes of a host.
type HostUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Host string
	// Public and Restricted are the prefixes of new queues that need no key, and of those that need
	// one. Removed are the prefixes that lead to no queue any more.
	Public, Restricted, Removed []string
}

// queueAddress is what leads callers to a queue.
type queueAddress struct{ host, prefix string }

// queueAccess returns, by address, whether each queue of a topology is public. t may be nil.
func (t *Topology) queueAccess() map[queueAddress]bool {
	if t == nil {
		return nil
	}
	public := make(map[queueAddress]bool, len(t.Queues))
	for i := range t.Queues {
		public[queueAddress{t.Queues[i].Host, t.Queues[i].Prefix}] = t.Queues[i].Public
	}
	return public
}

// keySet returns the hashes of all keys of a topology, which may be nil.
func (t *Topology) keySet() map[KeyHash]bool {
	set := map[KeyHash]bool{}
	if t == nil {
		return set
	}
	for i := range t.Teams {
		for _, k := range t.Teams[i].Keys {
			set[k] = true
		}
	}
	return set
}

// AccessOnly returns a topology with what AccessUpdateFrom needs of t.
func (t *Topology) AccessOnly() *Topology {
	return newAccessTopology(t.Version, t.MaxBodyBytes, t.queueAccess(), t.keySet())
}

func newAccessTopology(version uint64, maxBodyBytes int64, queues map[queueAddress]bool, keys map[KeyHash]bool) *Topology {
	t := &Topology{Version: version, MaxBodyBytes: maxBodyBytes, Queues: make([]Queue, 0, len(queues))}
	for a, public := range queues {
		t.Queues = append(t.Queues, Queue{Host: a.host, Prefix: a.prefix, Public: public})
	}
	t.Teams = []Team{{Keys: slices.Collect(maps.Keys(keys))}}
	return t
}

// AccessUpdateFrom returns the update that leads from base, which may be nil, to t. It depends on
// nothing else, so that all replicas return the same.
func (t *Topology) AccessUpdateFrom(base *Topology) *AccessUpdate {
	u := &AccessUpdate{Version: t.Version, MaxBodyBytes: t.MaxBodyBytes}
	if base != nil {
		u.Base = base.Version
	}
	hosts := map[string]*HostUpdate{}
	host := func(name string) *HostUpdate {
		if hosts[name] == nil {
			hosts[name] = &HostUpdate{Host: name}
		}
		return hosts[name]
	}
	former, next := base.queueAccess(), t.queueAccess()
	for a, public := range next {
		if known, ok := former[a]; ok && known == public {
			continue
		}
		if h := host(a.host); public {
			h.Public = append(h.Public, a.prefix)
		} else {
			h.Restricted = append(h.Restricted, a.prefix)
		}
	}
	for a := range former {
		if _, ok := next[a]; !ok {
			h := host(a.host)
			h.Removed = append(h.Removed, a.prefix)
		}
	}
	for _, h := range hosts {
		slices.Sort(h.Public)
		slices.Sort(h.Restricted)
		slices.Sort(h.Removed)
		u.Hosts = append(u.Hosts, *h)
	}
	slices.SortFunc(u.Hosts, func(a, b HostUpdate) int { return cmp.Compare(a.Host, b.Host) })
	u.AddedKeys = missingKeys(t.keySet(), base.keySet())
	u.RemovedKeys = missingKeys(base.keySet(), t.keySet())
	return u
}

// missingKeys returns the keys of a that b doesn't have, sorted.
func missingKeys(a, b map[KeyHash]bool) []KeyHash {
	var missing []KeyHash
	for k := range a {
		if !b[k] {
			missing = append(missing, k)
		}
	}
	slices.SortFunc(missing, func(a, b KeyHash) int { return slices.Compare(a[:], b[:]) })
	return missing
}

// Apply returns the access rules that result from those of base, which may be nil.
func (u *AccessUpdate) Apply(base *Topology) (*Topology, error) {
	queues, keys := map[queueAddress]bool{}, map[KeyHash]bool{}
	if u.Base != 0 {
		if base == nil || base.Version != u.Base {
			return nil, fmt.Errorf("update of access rules applies to version %d, not to the present one", u.Base)
		}
		queues, keys = base.queueAccess(), base.keySet()
	}
	for i := range u.Hosts {
		h := &u.Hosts[i]
		for _, prefix := range h.Removed {
			delete(queues, queueAddress{h.Host, prefix})
		}
		for _, prefix := range h.Public {
			queues[queueAddress{h.Host, prefix}] = true
		}
		for _, prefix := range h.Restricted {
			queues[queueAddress{h.Host, prefix}] = false
		}
	}
	for _, k := range u.RemovedKeys {
		delete(keys, k)
	}
	for _, k := range u.AddedKeys {
		keys[k] = true
	}
	return newAccessTopology(u.Version, u.MaxBodyBytes, queues, keys), nil
}

// Encode returns the compressed encoding of the update.
func (u *AccessUpdate) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode update of access rules: %w", err)
	}
	return deflate(data)
}

// DecodeAccessUpdate decodes what Encode returned.
func DecodeAccessUpdate(data []byte) (*AccessUpdate, error) {
	plain, err := inflate(data)
	if err != nil {
		return nil, fmt.Errorf("update of access rules: %w", err)
	}
	u := &AccessUpdate{}
	if err := msgpack.Unmarshal(plain, u); err != nil {
		return nil, fmt.Errorf("update of access rules: %w", err)
	}
	return u, nil
}
