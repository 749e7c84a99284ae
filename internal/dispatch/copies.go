package dispatch

import "time"

const (
	// copyHeartbeat is the time between copies while no records change. They prove
	// to the backup that its records are complete.
	copyHeartbeat = 250 * time.Millisecond
	// copyRetryDelay is the delay before the next copy after a failed one.
	copyRetryDelay = 100 * time.Millisecond
	// firstCopyTimeout is how long requests wait for a new backup to acknowledge
	// its first copy. After that they are dispatched without a copy of their records.
	firstCopyTimeout = 500 * time.Millisecond
	// singleCopyDelay is the time since the last acknowledgement of a backup after
	// which requests are dispatched without a copy of their records. The backup
	// claims to be complete only for completeFor since its last proof. That is
	// shorter than the sum of this delay and the 0.5 s or more that pass between
	// the last ticket of a dispatcher and its replacement, with both reduced by 10%
	// clock drift.
	singleCopyDelay = 4 * time.Second
	completeFor     = 4 * time.Second
	// copyPageRecords is the most records in one copy. It bounds the size of the
	// frame.
	copyPageRecords = 8192
)

// copyStream sends changed records to the backup, one copy at a time.
type copyStream struct {
	backup    string
	sequence  uint64
	startedAt time.Duration
	inFlight  bool
	sentAt    time.Duration
	retryAt   time.Duration
	// ackedAt is the time of the last acknowledgement, valid if everAcked.
	ackedAt   time.Duration
	everAcked bool

	full      bool     // the next copy starts a full copy
	remaining []Record // records of a full copy in progress that are not yet sent
	dirty     []*record
	// waiting requests become ready once a copy with their record is acknowledged.
	// Those in covered are in the copy in flight or in the full copy in progress.
	waiting, covered []*request
}

// reset starts a full copy to the backup of a new epoch.
func (c *copyStream) reset(now time.Duration, backup string) {
	c.clearDirty()
	waiting := append(c.covered, c.waiting...)
	*c = copyStream{backup: backup, startedAt: now, full: true, waiting: waiting, sequence: c.sequence}
}

func (p *Pool) markDirty(rec *record) {
	if rec.dirty || p.copies.backup == "" || p.phase == retired {
		return
	}
	rec.dirty = true
	p.copies.dirty = append(p.copies.dirty, rec)
}

// NextCopy returns the copy to send now and the backup to send it to, or false if
// there is none. CopyAcked or CopyFailed must be called with its sequence number
// afterwards.
func (p *Pool) NextCopy(now time.Duration) (RecordCopy, string, bool) {
	c := &p.copies
	if p.phase != serving || c.backup == "" || c.inFlight || now < c.retryAt {
		return RecordCopy{}, "", false
	}
	changed := c.full || len(c.remaining) > 0 || len(c.dirty) > 0 || len(c.waiting) > 0
	if !changed && now-c.sentAt < copyHeartbeat {
		return RecordCopy{}, "", false
	}
	out := RecordCopy{Pool: p.opts.Name, Epoch: p.epoch, UnknownFor: max(p.records.incompleteUntil-now, 0)}
	if c.full {
		out.Full = true
		c.full = false
		c.remaining = p.Records(now)
		c.clearDirty()
		c.coverWaiting()
	}
	if len(c.remaining) > 0 {
		n := min(len(c.remaining), copyPageRecords)
		out.Records, c.remaining = c.remaining[:n], c.remaining[n:]
		out.More = len(c.remaining) > 0
	} else if !out.Full {
		out.Records = c.popDirty(now)
	}
	c.sequence++
	out.Sequence = c.sequence
	c.inFlight = true
	c.sentAt = now
	return out, c.backup, true
}

// popDirty removes and returns up to a page of changed records. The waiting
// requests are covered only if no changed records are left.
func (c *copyStream) popDirty(now time.Duration) []Record {
	n := min(len(c.dirty), copyPageRecords)
	records := make([]Record, 0, n)
	for _, r := range c.dirty[:n] {
		r.dirty = false
		records = append(records, r.export(now))
	}
	c.dirty = append(c.dirty[:0], c.dirty[n:]...)
	if len(c.dirty) == 0 {
		c.coverWaiting()
	}
	return records
}

func (c *copyStream) coverWaiting() {
	c.covered = append(c.covered, c.waiting...)
	c.waiting = nil
}

func (c *copyStream) clearDirty() {
	for _, r := range c.dirty {
		r.dirty = false
	}
	c.dirty = nil
}

// CopyAcked handles the acknowledgement of a copy by the backup.
func (p *Pool) CopyAcked(now time.Duration, sequence uint64) {
	c := &p.copies
	if !c.inFlight || sequence != c.sequence {
		return
	}
	c.inFlight = false
	c.ackedAt, c.everAcked = now, true
	if len(c.remaining) > 0 {
		return
	}
	requests := c.covered
	c.covered = nil
	p.admit(requests)
}

// CopyFailed handles a copy that the backup may not have stored: the next one is a
// full copy.
func (p *Pool) CopyFailed(now time.Duration, sequence uint64) {
	c := &p.copies
	if !c.inFlight || sequence != c.sequence {
		return
	}
	c.inFlight = false
	c.full = true
	c.remaining = nil
	c.retryAt = now + copyRetryDelay
	c.waiting = append(c.covered, c.waiting...)
	c.covered = nil
	p.opts.Count("copies-failed", "")
}

// backupUnavailable reports whether requests are dispatched without a copy of
// their records at the backup.
func (p *Pool) backupUnavailable(now time.Duration) bool {
	c := &p.copies
	switch {
	case c.backup == "":
		return true
	case c.everAcked:
		return now-c.ackedAt >= singleCopyDelay
	}
	return now-c.startedAt >= firstCopyTimeout
}

// admitWithoutBackup admits the requests that wait for a copy if the backup is
// unavailable.
func (p *Pool) admitWithoutBackup(now time.Duration) {
	c := &p.copies
	if len(c.waiting)+len(c.covered) == 0 || !p.backupUnavailable(now) {
		return
	}
	requests := append(c.covered, c.waiting...)
	c.covered, c.waiting = nil, nil
	for _, r := range requests {
		if !r.ended {
			p.opts.Count("records-single-copy", "")
		}
	}
	p.admit(requests)
}

// admit makes requests ready that have not been answered meanwhile.
func (p *Pool) admit(requests []*request) {
	for _, r := range requests {
		if !r.ended {
			p.queue.enqueue(r)
		}
	}
}
