package dispatch

import (
	"fmt"
	"sync"
	"time"
)

// pagesLifetime is how long the pages of a handover are kept.
const pagesLifetime = 10 * time.Second

// backupStore holds the records that this instance keeps as the backup of
// pools. It is safe for concurrent use.
type backupStore struct {
	mu    sync.Mutex
	pools map[string]*backupPool
	// maxRecords bounds the records of each pool.
	maxRecords int
}

// backupPool is the copy of one pool's records.
type backupPool struct {
	epoch    uint64
	sequence uint64
	records  map[recordID]backupRecord
	// filling tells that a full copy has not ended.
	filling bool
	// received is the time of the last copy. A copy without a gap proves that
	// the dispatcher had the acknowledgement of the one before, and so that the
	// records were complete when that one was received: proven is that time.
	received     time.Duration
	proven       time.Duration
	isProven     bool
	unknownUntil time.Duration
	// fence is the epoch of a new dispatcher that asked; copies of older epochs
	// are refused.
	fence uint64
	// pages is the list of records that is being handed over.
	pages   []Record
	pagesAt time.Duration
}

type backupRecord struct {
	Record
	expires time.Duration
}

func newBackupStore(maxRecords int) *backupStore {
	return &backupStore{pools: map[string]*backupPool{}, maxRecords: maxRecords}
}

// store takes in a copy. An error asks for a full copy.
func (s *backupStore) store(now time.Duration, c *Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pools[c.Pool]
	if b == nil {
		b = &backupPool{}
		s.pools[c.Pool] = b
	}
	switch {
	case c.Epoch < b.fence || c.Epoch < b.epoch:
		return fmt.Errorf("copy of pool %q: epoch %d, already at epoch %d", c.Pool, c.Epoch, max(b.fence, b.epoch))
	case c.Full:
		*b = backupPool{fence: b.fence, epoch: c.Epoch, records: map[recordID]backupRecord{}}
	case c.Epoch != b.epoch || c.Sequence != b.sequence+1:
		return fmt.Errorf("copy of pool %q: sequence %d of epoch %d, expected %d of %d",
			c.Pool, c.Sequence, c.Epoch, b.sequence+1, b.epoch)
	}
	if len(b.records)+len(c.Records) > s.maxRecords+copyPage {
		b.dropExpired(now)
		if len(b.records)+len(c.Records) > s.maxRecords+copyPage {
			return fmt.Errorf("copy of pool %q: more than %d records", c.Pool, s.maxRecords)
		}
	}
	if !c.Full && !b.filling {
		b.proven, b.isProven = b.received, true
	}
	b.received = now
	b.sequence = c.Sequence
	b.filling = c.More
	b.unknownUntil = max(b.unknownUntil, now+min(c.UnknownFor, recordLifetime))
	for _, r := range c.Records {
		b.apply(now, r)
	}
	return nil
}

func (b *backupPool) apply(now time.Duration, r Record) {
	id := recordID{r.Team, r.Key}
	if r.Grade == NotRun {
		if b.records[id].Request == r.Request {
			delete(b.records, id)
		}
		return
	}
	b.records[id] = backupRecord{r, now + min(r.Remaining, maxRemaining+releaseGrace+recordLifetime)}
}

func (b *backupPool) dropExpired(now time.Duration) {
	for id, r := range b.records {
		if r.expires <= now {
			delete(b.records, id)
		}
	}
}

// expire drops ended records, and pools without any.
func (s *backupStore) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.pools {
		b.dropExpired(now)
		if now-b.pagesAt > pagesLifetime {
			b.pages = nil
		}
		if len(b.records) == 0 && now-b.received > recordLifetime {
			delete(s.pools, name)
		}
	}
}

// hold answers a new dispatcher and refuses copies of older epochs from now on.
// It adds what the pools that were dispatched here hold.
func (s *backupStore) hold(now time.Duration, q HeldQuery, own Held) Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pools[q.Pool]
	if b == nil {
		b = &backupPool{received: now}
		s.pools[q.Pool] = b
	}
	b.fence = max(b.fence, q.Epoch)
	if q.From == 0 {
		b.dropExpired(now)
		b.pages = own.Records
		for _, r := range b.records {
			r.Remaining = r.expires - now
			r.Rank = recordRank(b.epoch, false)
			b.pages = append(b.pages, r.Record)
		}
		b.pagesAt = now
	}
	held := page(b.pages, q.From)
	held.Tickets = own.Tickets
	held.Copied = max(b.epoch, own.Copied)
	held.UnknownFor = max(b.unknownUntil-now, own.UnknownFor)
	isCopyComplete := !b.filling && b.isProven && now-b.proven < completeFor &&
		(b.epoch+1 == q.Epoch || b.epoch == q.Epoch)
	held.Complete = (own.Complete || isCopyComplete) && q.From <= len(b.pages)
	return held
}

// page returns the records from a position on.
func page(records []Record, from int) Held {
	from = min(max(from, 0), len(records))
	end := min(from+copyPage, len(records))
	held := Held{Records: records[from:end]}
	if end < len(records) {
		held.Next = end
	}
	return held
}
