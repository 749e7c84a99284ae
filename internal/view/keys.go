package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"

	"cactusspar/internal/state"
)

// keyIndex looks up keys by the hash of their secret. Buckets are chosen by a
// seeded hash, so that the duration of a lookup reveals nothing about the stored
// hashes. Within a bucket, hashes are compared in constant time.
type keyIndex struct {
	seed    maphash.Seed
	byID    map[string]state.Key
	buckets map[uint64][]state.Key
}

func newKeyIndex(keys map[string]state.Key) *keyIndex {
	x := &keyIndex{seed: maphash.MakeSeed(), byID: keys, buckets: make(map[uint64][]state.Key, len(keys))}
	for _, k := range keys {
		b := x.bucket(&k.Hash)
		x.buckets[b] = append(x.buckets[b], k)
	}
	return x
}

func (x *keyIndex) bucket(hash *[sha256.Size]byte) uint64 {
	return maphash.Bytes(x.seed, hash[:])
}

func (x *keyIndex) find(secret string) (state.Key, bool) {
	hash := sha256.Sum256([]byte(secret))
	var found state.Key
	ok := false
	for _, k := range x.buckets[x.bucket(&hash)] {
		if subtle.ConstantTimeCompare(k.Hash[:], hash[:]) == 1 {
			found, ok = k, true
		}
	}
	return found, ok
}
