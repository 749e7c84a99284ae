package orchestrator

import (
	"hash/crc32"
	"slices"
	"sync"

	"cactusspar/internal/workload"
)

const (
	// accessPieceBytes is the size of a piece of access rules. A link of 2 Mbit/s needs 65 ms for one,
	// during which the responses to callers on the same connection wait.
	accessPieceBytes = 16 << 10
	// keptTopologies is the number of versions of which the access rules are kept as bases of
	// updates. Gateways fetch changes at most twice a second and skip versions in between.
	keptTopologies = 8
	// keptUpdates is the number of encoded updates that are kept, so that transfers can go on after
	// further changes.
	keptUpdates = 8
)

// AccessTransfers serves access rules to gateways, as changes since the version that a gateway has.
type AccessTransfers struct {
	mu      sync.Mutex
	bases   []*workload.Topology // access rules only, newest last
	updates []*encodedUpdate     // last used last
}

// encodedUpdate is an encoded workload.AccessUpdate.
type encodedUpdate struct {
	base, version uint64
	checksum      uint32
	data          []byte
}

// recordAccess records the access rules of the present topology beside the event loop.
func (o *Orchestrator) recordAccess() {
	if t := o.leadership.State().Topology; t != nil {
		o.wg.Go(func() { o.accessTransfers.Record(t) })
	}
}

// Record keeps the access rules of a topology as a base of updates.
func (a *AccessTransfers) Record(t *workload.Topology) {
	rules := t.AccessOnly()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.base(t.Version) != nil {
		return
	}
	a.bases = append(a.bases, rules)
	if extra := len(a.bases) - keptTopologies; extra > 0 {
		a.bases = slices.Delete(a.bases, 0, extra)
	}
}

// base returns the access rules of a version, or nil.
func (a *AccessTransfers) base(version uint64) *workload.Topology {
	for _, t := range a.bases {
		if t.Version == version {
			return t
		}
	}
	return nil
}

// Piece returns the next piece of the transfer that a request continues, or else the first piece
// of an update to t.
func (a *AccessTransfers) Piece(t *workload.Topology, r *TopologyRequest) (*AccessPiece, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := r.Continues; c.Offset > 0 {
		u := a.find(func(u *encodedUpdate) bool { return u.version == c.Version && u.checksum == c.Checksum })
		if u != nil && c.Offset < len(u.data) {
			return u.piece(c.Offset), nil
		}
	}
	base := a.base(r.Version)
	var baseVersion uint64
	if base != nil {
		baseVersion = base.Version
	}
	u := a.find(func(u *encodedUpdate) bool { return u.base == baseVersion && u.version == t.Version })
	if u == nil {
		data, err := t.AccessUpdateFrom(base).Encode()
		if err != nil {
			return nil, err
		}
		u = &encodedUpdate{base: baseVersion, version: t.Version, checksum: crc32.ChecksumIEEE(data), data: data}
		a.updates = append(a.updates, u)
		if extra := len(a.updates) - keptUpdates; extra > 0 {
			a.updates = slices.Delete(a.updates, 0, extra)
		}
	}
	return u.piece(0), nil
}

// find returns an update that matches, or nil, and notes that it is used.
func (a *AccessTransfers) find(matches func(*encodedUpdate) bool) *encodedUpdate {
	i := slices.IndexFunc(a.updates, matches)
	if i < 0 {
		return nil
	}
	u := a.updates[i]
	a.updates = append(slices.Delete(a.updates, i, i+1), u)
	return u
}

func (u *encodedUpdate) piece(offset int) *AccessPiece {
	end := min(offset+accessPieceBytes, len(u.data))
	return &AccessPiece{
		AccessTransfer: AccessTransfer{Version: u.version, Checksum: u.checksum, Offset: offset},
		Length:         len(u.data), Data: u.data[offset:end],
	}
}
