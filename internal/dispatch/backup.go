package dispatch

import (
	"fmt"
	"sync"
	"time"
)

// pagesLifetime is how long the record pages of a handover are kept.
const pagesLifetime = 10 * time.Second

// backupStore holds the records that this instance keeps as the backup of pools. It
// is safe for concurrent use.
type backupStore struct {
	mu    sync.Mutex
	pools map[string]*poolBackup
	// maxRecords bounds the records of each pool.
	maxRecords int
}

// poolBackup is the backup of one pool's records.
type poolBackup struct {
	epoch    uint64
	sequence uint64
	records  map[recordID]backupRecord
	// fullCopyPending reports that a full copy is incomplete.
	fullCopyPending bool
	// receivedAt is the time of the last copy. A copy that follows without a gap
	// proves that the dispatcher received the acknowledgement of the previous one,
	// so the records were complete when that one arrived. provenAt is that time,
	// valid if everProven.
	receivedAt      time.Duration
	provenAt        time.Duration
	everProven      bool
	incompleteUntil time.Duration
	// fence is the highest epoch of a dispatcher that has asked for the records;
	// copies of older epochs are refused.
	fence uint64
	// pages holds the records that are being handed over.
	pages        []Record
	claims       []Claim
	pagesCreated time.Duration
	// provenAtHandover reports that the records were complete when a new dispatcher
	// first asked. They stay complete, because no copy of the epoch is accepted
	// afterwards.
	provenAtHandover bool
}

type backupRecord struct {
	Record
	expires time.Duration
}

func newBackupStore(maxRecords int) *backupStore {
	return &backupStore{pools: map[string]*poolBackup{}, maxRecords: maxRecords}
}

// store stores a copy. After an error the sender must send a full copy.
func (s *backupStore) store(now time.Duration, c *RecordCopy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pools[c.Pool]
	if b == nil {
		b = &poolBackup{}
		s.pools[c.Pool] = b
	}
	switch {
	case c.Epoch < b.fence || c.Epoch < b.epoch:
		return fmt.Errorf("copy of pool %q: epoch %d, already at epoch %d", c.Pool, c.Epoch, max(b.fence, b.epoch))
	case c.Full:
		*b = poolBackup{fence: b.fence, epoch: c.Epoch, records: map[recordID]backupRecord{}}
	case c.Epoch != b.epoch || c.Sequence != b.sequence+1:
		return fmt.Errorf("copy of pool %q: sequence %d of epoch %d, expected %d of %d",
			c.Pool, c.Sequence, c.Epoch, b.sequence+1, b.epoch)
	}
	if len(b.records)+len(c.Records) > s.maxRecords+copyPageRecords {
		b.removeExpired(now)
		if len(b.records)+len(c.Records) > s.maxRecords+copyPageRecords {
			return fmt.Errorf("copy of pool %q: more than %d records", c.Pool, s.maxRecords)
		}
	}
	if !c.Full && !b.fullCopyPending {
		b.provenAt, b.everProven = b.receivedAt, true
	}
	b.receivedAt = now
	b.sequence = c.Sequence
	b.fullCopyPending = c.More
	b.incompleteUntil = max(b.incompleteUntil, now+min(c.UnknownFor, recordLifetime))
	for _, r := range c.Records {
		b.apply(now, r)
	}
	return nil
}

func (b *poolBackup) apply(now time.Duration, r Record) {
	id := recordID{r.Team, r.Key}
	if r.Outcome == OutcomeNotRun {
		if b.records[id].Request == r.Request {
			delete(b.records, id)
		}
		return
	}
	b.records[id] = backupRecord{r, now + min(r.Remaining, maxRemaining+releaseGrace+recordLifetime)}
}

func (b *poolBackup) removeExpired(now time.Duration) {
	for id, r := range b.records {
		if r.expires <= now {
			delete(b.records, id)
		}
	}
}

// expire removes expired records, and pools without any.
func (s *backupStore) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.pools {
		b.removeExpired(now)
		if now-b.pagesCreated > pagesLifetime {
			b.pages = nil
		}
		if len(b.records) == 0 && now-b.receivedAt > recordLifetime {
			delete(s.pools, name)
		}
	}
}

// handOver answers the query of a new dispatcher and refuses copies of older epochs
// from now on. own is what former pools of this instance hold; it is included in
// the response.
func (s *backupStore) handOver(now time.Duration, q HeldQuery, own HeldResponse) HeldResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pools[q.Pool]
	if b == nil {
		b = &poolBackup{receivedAt: now}
		s.pools[q.Pool] = b
	}
	b.fence = max(b.fence, q.Epoch)
	if q.From == 0 {
		b.removeExpired(now)
		b.pages = own.Records
		for _, r := range b.records {
			r.Remaining = r.expires - now
			r.Rank = recordRank(b.epoch, false)
			b.pages = append(b.pages, r.Record)
		}
		b.pagesCreated = now
		b.claims = own.Claims
		b.provenAtHandover = b.provenAtHandover || (!b.fullCopyPending && b.everProven && now-b.provenAt < completeFor)
		if b.provenAtHandover {
			b.claims = append(b.claims, Claim{From: b.epoch, To: b.epoch})
		}
	}
	held := page(b.pages, q.From)
	held.Tickets = own.Tickets
	held.Copied = max(b.epoch, own.Copied)
	held.UnknownFor = max(b.incompleteUntil-now, own.UnknownFor)
	if q.From <= len(b.pages) {
		held.Claims = b.claims
	}
	return held
}

// page returns up to copyPageRecords records starting at from.
func page(records []Record, from int) HeldResponse {
	from = min(max(from, 0), len(records))
	end := min(from+copyPageRecords, len(records))
	held := HeldResponse{Records: records[from:end]}
	if end < len(records) {
		held.Next = end
	}
	return held
}
