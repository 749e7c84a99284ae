package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// recordLifetime is how long the result for a request identity is kept.
	recordLifetime = 120 * time.Second
	// defaultMaxRecords bounds the records of a pool. It covers recordLifetime at
	// about 2,000 requests/s. Further requests are refused, because an early
	// eviction could let a request run twice.
	defaultMaxRecords = 250_000
	// maxKeyBytes is the longest idempotency key stored verbatim. Longer keys are
	// stored as their hash, to bound the memory of a record.
	maxKeyBytes = 64
)

// recordID is a request identity.
type recordID struct{ team, key string }

// record is the state of a request identity: waiting (no ticket, no outcome),
// running (a ticket), or ended (an outcome).
type record struct {
	id      recordID
	request string
	ticket  *ticket
	outcome Outcome
	status  int
	expires time.Duration
	// resumable reports that the record was inherited without a ticket. Its
	// request may run if an acquire arrives with the same request id: the entry
	// instance repeats an id only if it didn't send the request.
	resumable bool
	rank      uint64 // of the source that the record was inherited from
	// dirty reports that the record is listed for the next copy.
	dirty bool
	index int
}

type recordTable struct {
	byID map[recordID]*record
	ends indexedHeap[*record]
	// incompleteUntil is the time until which earlier records may be missing.
	incompleteUntil time.Duration
}

func newRecordTable() recordTable {
	return recordTable{
		byID: map[recordID]*record{},
		ends: indexedHeap[*record]{
			less:  func(a, b *record) bool { return a.expires < b.expires },
			index: func(r *record) *int { return &r.index },
		},
	}
}

// needsRecord reports whether a request must not run twice and has an identity.
func needsRecord(a *AcquireRequest) bool { return a.Key != "" && !a.Idempotent }

func identity(a *AcquireRequest) recordID {
	key := a.Key
	if len(key) > maxKeyBytes {
		sum := sha256.Sum256([]byte(key))
		key = "sha256:" + hex.EncodeToString(sum[:])
	}
	return recordID{a.Team, key}
}

func (rt *recordTable) add(r *record) {
	rt.byID[r.id] = r
	rt.ends.push(r)
}

func (rt *recordTable) remove(r *record) {
	if rt.byID[r.id] == r {
		delete(rt.byID, r.id)
	}
	rt.ends.remove(r)
}

// expire removes the records whose lifetime has ended.
func (rt *recordTable) expire(now time.Duration) {
	for rt.ends.len() > 0 && rt.ends.min().expires <= now {
		rt.remove(rt.ends.min())
	}
}

// attachTicket stores the ticket of a record, which may be nil.
func (rt *recordTable) attachTicket(r *record, t *ticket) {
	if r == nil {
		return
	}
	r.ticket = t
	rt.setExpiry(r, t.deadline+recordLifetime)
}

func (rt *recordTable) setExpiry(r *record, expires time.Duration) {
	r.expires = expires
	rt.ends.fix(r)
}

// identify finds or creates the record of r, or refuses a duplicate.
func (p *Pool) identify(now time.Duration, r *request) *Refusal {
	id := identity(&r.a)
	rec := p.records.byID[id]
	if rec == nil {
		return p.newRecord(now, r, id)
	}
	switch {
	case rec.resumable && rec.ticket == nil && rec.request == r.a.Request:
		rec.resumable = false
		rec.outcome = ""
		p.records.setExpiry(rec, r.deadline+recordLifetime)
		r.rec = rec
		p.markDirty(rec)
		return nil
	case rec.outcome == "":
		return refuse(CodeDuplicateRunning, time.Second, "a request with this idempotency key is in progress")
	case rec.outcome == OutcomeAnswered:
		refusal := refuse(CodeDuplicateAnswered, rec.expires-now, "the request was answered with status %d", rec.status)
		refusal.Status = rec.status
		return refusal
	}
	return refuse(CodeDuplicateUnknown, rec.expires-now, "the result of the request with this idempotency key is unknown")
}

func (p *Pool) newRecord(now time.Duration, r *request, id recordID) *Refusal {
	if now < p.records.incompleteUntil {
		return refuse(CodeDuplicateUnknown, p.records.incompleteUntil-now,
			"the records of request identities were lost; the request may have run before")
	}
	if len(p.records.byID) >= p.opts.MaxRecords {
		return refuse(CodeQueueFull, p.records.ends.min().expires-now,
			"pool %q keeps %d request identities, no more are taken", p.opts.Name, p.opts.MaxRecords)
	}
	r.rec = &record{id: id, request: r.a.Request, expires: r.deadline + recordLifetime}
	p.records.add(r.rec)
	p.markDirty(r.rec)
	return nil
}

// removeRecord removes the record of a request that didn't run. rec may be nil.
func (p *Pool) removeRecord(now time.Duration, rec *record) {
	p.endRecord(now, rec, OutcomeNotRun, 0)
}

// endRecord stores how a request ended. If it did not run, the record is removed,
// so that the identity may run again.
func (p *Pool) endRecord(now time.Duration, rec *record, outcome Outcome, status int) {
	if rec == nil {
		return
	}
	rec.ticket = nil
	rec.outcome = outcome
	rec.status = status
	p.markDirty(rec)
	if outcome == OutcomeNotRun {
		p.records.remove(rec)
		return
	}
	p.records.setExpiry(rec, now+recordLifetime)
}

// export returns the record as it is sent to other instances.
func (r *record) export(now time.Duration) Record {
	return Record{
		Team: r.id.team, Key: r.id.key, Request: r.request,
		Outcome: r.outcome, Status: r.status, Remaining: max(r.expires-now, 0),
	}
}

// Records returns all records that have not expired.
func (p *Pool) Records(now time.Duration) []Record {
	records := make([]Record, 0, len(p.records.byID))
	for _, r := range p.records.ends.items {
		records = append(records, r.export(now))
	}
	return records
}
