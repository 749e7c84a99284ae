package dispatch

import "time"

const (
	// copyHeartbeat is the time between copies without changes. They prove to
	// the backup that it still holds everything.
	copyHeartbeat = 250 * time.Millisecond
	// copyRetryDelay is the time before a copy that failed is sent again.
	copyRetryDelay = 100 * time.Millisecond
	// firstCopyTimeout is how long a new backup may take for its first copy
	// until requests go on with one copy.
	firstCopyTimeout = 500 * time.Millisecond
	// singleCopyDelay is how long requests wait for a backup that stopped
	// acknowledging, until they go on with one copy. The backup claims to be
	// complete only for completeFor since its last proof, which is shorter than
	// this delay and the 0.5 s that pass at least between the last ticket of a
	// dispatcher and its replacement, both reduced by 10% clock drift.
	singleCopyDelay = 4 * time.Second
	completeFor     = 4 * time.Second
	// copyPage bounds the records of one copy, so that its frame stays small.
	copyPage = 8192
)

// copyStream sends changed records to the backup, one copy at a time.
type copyStream struct {
	backup   string
	sequence uint64
	began    time.Duration
	inFlight bool
	sentAt   time.Duration
	retryAt  time.Duration
	// acked is the time of the last acknowledgement, valid if everAcked.
	acked     time.Duration
	everAcked bool

	full  bool     // the next copy starts with everything
	rest  []Record // of a full copy in progress
	dirty []*record
	// waiting requests go on once the copy with their record is acknowledged;
	// those in flying are covered by the copy in flight or the full one in progress.
	waiting, flying []*request
}

// reset starts copying everything to a backup of a new epoch.
func (c *copyStream) reset(now time.Duration, backup string) {
	c.clearDirty()
	waiting := append(c.flying, c.waiting...)
	*c = copyStream{backup: backup, began: now, full: true, waiting: waiting, sequence: c.sequence}
}

func (p *Pool) markDirty(rec *record) {
	if rec.dirty || p.copies.backup == "" || p.phase == retired {
		return
	}
	rec.dirty = true
	p.copies.dirty = append(p.copies.dirty, rec)
}

// NextCopy returns the copy to send now and the backup that gets it. Copied or
// CopyFailed has to be called with its sequence number afterwards.
func (p *Pool) NextCopy(now time.Duration) (Copy, string, bool) {
	c := &p.copies
	if p.phase != serving || c.backup == "" || c.inFlight || now < c.retryAt {
		return Copy{}, "", false
	}
	changed := c.full || len(c.rest) > 0 || len(c.dirty) > 0 || len(c.waiting) > 0
	if !changed && now-c.sentAt < copyHeartbeat {
		return Copy{}, "", false
	}
	out := Copy{Pool: p.opts.Name, Epoch: p.epoch, UnknownFor: max(p.records.unknownUntil-now, 0)}
	if c.full {
		out.Full = true
		c.full = false
		c.rest = p.Records(now)
		c.clearDirty()
		c.takeWaiting()
	}
	if len(c.rest) > 0 {
		n := min(len(c.rest), copyPage)
		out.Records, c.rest = c.rest[:n], c.rest[n:]
		out.More = len(c.rest) > 0
	} else if !out.Full {
		out.Records = c.takeDirty(now)
	}
	c.sequence++
	out.Sequence = c.sequence
	c.inFlight = true
	c.sentAt = now
	return out, c.backup, true
}

// takeDirty returns the changed records, up to a page. The requests that wait
// are covered only if nothing is left over.
func (c *copyStream) takeDirty(now time.Duration) []Record {
	n := min(len(c.dirty), copyPage)
	records := make([]Record, 0, n)
	for _, r := range c.dirty[:n] {
		r.dirty = false
		records = append(records, r.export(now))
	}
	c.dirty = append(c.dirty[:0], c.dirty[n:]...)
	if len(c.dirty) == 0 {
		c.takeWaiting()
	}
	return records
}

func (c *copyStream) takeWaiting() {
	c.flying = append(c.flying, c.waiting...)
	c.waiting = nil
}

func (c *copyStream) clearDirty() {
	for _, r := range c.dirty {
		r.dirty = false
	}
	c.dirty = nil
}

// Copied notes that the backup has taken a copy.
func (p *Pool) Copied(now time.Duration, sequence uint64) {
	c := &p.copies
	if !c.inFlight || sequence != c.sequence {
		return
	}
	c.inFlight = false
	c.acked, c.everAcked = now, true
	if len(c.rest) > 0 {
		return
	}
	covered := c.flying
	c.flying = nil
	p.admit(covered)
}

// CopyFailed notes that the backup may not have taken a copy; it gets
// everything next time.
func (p *Pool) CopyFailed(now time.Duration, sequence uint64) {
	c := &p.copies
	if !c.inFlight || sequence != c.sequence {
		return
	}
	c.inFlight = false
	c.full = true
	c.rest = nil
	c.retryAt = now + copyRetryDelay
	c.waiting = append(c.flying, c.waiting...)
	c.flying = nil
	p.opts.Count("copies-failed", "")
}

// alone tells whether requests go on with one copy of their records.
func (p *Pool) alone(now time.Duration) bool {
	c := &p.copies
	switch {
	case c.backup == "":
		return true
	case c.everAcked:
		return now-c.acked >= singleCopyDelay
	}
	return now-c.began >= firstCopyTimeout
}

// admitWithoutBackup lets requests go on that wait for a backup that doesn't answer.
func (p *Pool) admitWithoutBackup(now time.Duration) {
	c := &p.copies
	if len(c.waiting)+len(c.flying) == 0 || !p.alone(now) {
		return
	}
	requests := append(c.flying, c.waiting...)
	c.flying, c.waiting = nil, nil
	for _, r := range requests {
		if !r.ended {
			p.opts.Count("records-single-copy", "")
		}
	}
	p.admit(requests)
}

// admit makes requests ready whose records are copied.
func (p *Pool) admit(requests []*request) {
	for _, r := range requests {
		if !r.ended {
			p.queue.enqueue(r)
		}
	}
}
