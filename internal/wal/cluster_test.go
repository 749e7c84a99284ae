package wal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"

	"cactusspar/internal/consensus"
)

// cluster runs cores on memFS storages over a faulty network, one step at a
// time. All randomness comes from the seed.
type cluster struct {
	rand     *rand.Rand
	step     int
	sites    []*site
	network  []packet
	sequence int
	blocked  map[[2]int]bool // directed links that lose every message
	faults   faultRates
	counts   map[string]int
	oracle   oracle
	command  uint64
	request  uint64
	err      error
	// ignoreForeign accepts that replicas refuse messages of another epoch.
	ignoreForeign bool
}

// faultRates are probabilities per message or per step.
type faultRates struct {
	loss, duplicate, disk, stop, freeze, wipe, partition, transfer, slowDisk, votes float64
	maxDelay                                                                        int
}

var roughFaults = faultRates{
	loss: 0.03, duplicate: 0.03, disk: 0.0005, stop: 0.002, freeze: 0.002,
	wipe: 0.002, partition: 0.01, transfer: 0.02, slowDisk: 0.2, votes: 0.05, maxDelay: 6,
}

type packet struct {
	due, order int
	message    consensus.Message
}

// site is an instance with a disk. Its replica changes when the disk is wiped.
type site struct {
	index   int
	name    string
	fs      *memFS
	storage *Storage
	core    *consensus.Core
	id      consensus.ReplicaID
	joined  bool    // its replica is a voter in a committed membership
	rate    float64 // ticks per step
	ticks   float64
	frozen  int              // step at which it goes on
	down    int              // step at which it restarts
	held    *consensus.Ready // waits for a slow disk
	saved   int              // step at which held is saved

	applied  uint64
	commands []uint64          // the state machine: all commands in order
	log      map[uint64]uint64 // terms of the durable log, by index
	first    uint64            // index before the log
	pending  map[uint64]ownCommand
	reads    map[uint64]uint64 // lowest index that each read may return
	waiting  []consensus.ReadState
}

// ownCommand is a command that a leader proposed at an index.
type ownCommand struct{ term, command uint64 }

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(seed, 0)), blocked: map[[2]int]bool{}, counts: map[string]int{}, oracle: newOracle()}
	var members []consensus.Member
	for i := range n {
		s := &site{index: i, name: fmt.Sprintf("i%d", i), fs: newMemFS(rand.New(rand.NewPCG(seed, uint64(i+1))))}
		s.rate = 0.7 + 0.6*c.rand.Float64()
		c.sites = append(c.sites, s)
		storage, _, err := openMem(s.fs)
		c.check(err)
		members = append(members, consensus.Member{ID: storage.Identity().Replica, Name: s.name, Voter: true})
		s.storage = storage
	}
	snap, hs := consensus.Bootstrap(members, nil)
	for _, s := range c.sites {
		c.check(s.storage.Save(consensus.Ready{Snapshot: &snap, HardState: &hs, MustSync: true}))
		c.check(s.storage.Close())
		c.start(s)
		s.joined = true
	}
	return c
}

func (c *cluster) check(err error) {
	if err != nil && c.err == nil {
		c.err = fmt.Errorf("step %d: %w", c.step, err)
	}
}

// checkStorage accepts the faults that the file system was told to provoke.
func (c *cluster) checkStorage(err error) {
	c.counts["storage failures"]++
	if !errors.Is(err, errInjected) && !errors.Is(err, syscall.EIO) && !errors.Is(err, syscall.ENOSPC) {
		c.check(err)
	}
}

func (c *cluster) failf(format string, args ...any) { c.check(fmt.Errorf(format, args...)) }

// start opens the site's storage and creates its core.
func (c *cluster) start(s *site) {
	storage, start, err := openMem(s.fs)
	if err != nil {
		c.checkStorage(err)
		c.halt(s, true)
		return
	}
	s.storage, s.id = storage, storage.Identity().Replica
	cfg := consensus.DefaultConfig(s.id, rand.New(rand.NewPCG(c.rand.Uint64(), 0)))
	cfg.SnapshotChunkBytes, cfg.MaxMessageBytes, cfg.MaxInFlight, cfg.MaxApplyBytes = 300, 400, 5, 1000
	s.core, err = consensus.New(cfg, start)
	c.check(err)
	s.applied, s.commands, s.first = 0, nil, 0
	s.pending, s.reads, s.waiting = map[uint64]ownCommand{}, map[uint64]uint64{}, nil
	s.log = map[uint64]uint64{}
	if start.Snapshot != nil {
		s.restore(start.Snapshot)
	}
	for _, e := range start.Entries {
		s.log[e.Index] = e.Term
	}
}

func (s *site) restore(snap *consensus.Snapshot) {
	s.applied, s.first = snap.Index, snap.Index
	s.log = map[uint64]uint64{snap.Index: snap.Term}
	s.commands = nil
	for d := snap.Data; len(d) >= 8; d = d[8:] {
		s.commands = append(s.commands, binary.BigEndian.Uint64(d))
	}
}

func (s *site) state() []byte {
	var d []byte
	for _, v := range s.commands {
		d = binary.BigEndian.AppendUint64(d, v)
	}
	return d
}

// halt ends the site's process, or its machine, which loses unsynced data.
func (c *cluster) halt(s *site, machine bool) {
	if machine {
		s.fs.crash()
	} else {
		s.fs.kill()
	}
	s.core, s.storage, s.held = nil, nil, nil
	s.down = c.step + 1 + c.rand.IntN(1+c.rand.IntN(150))
}

// run performs a number of steps.
func (c *cluster) run(steps int) {
	for end := c.step + steps; c.step < end && c.err == nil; c.step++ {
		c.provoke()
		c.deliver()
		for _, s := range c.sites {
			if s.core == nil && c.step >= s.down {
				c.start(s)
			}
			if s.core != nil && c.step >= s.frozen {
				c.drive(s)
			}
		}
		if c.step%7 == 0 {
			c.operate()
		}
	}
}

func (c *cluster) chance(p float64) bool { return p > 0 && c.rand.Float64() < p }

func (c *cluster) pick() *site { return c.sites[c.rand.IntN(len(c.sites))] }

// provoke draws the faults of a step.
func (c *cluster) provoke() {
	f := &c.faults
	if c.chance(f.partition) {
		c.partition()
	}
	if c.chance(f.freeze) {
		c.pick().frozen = c.step + c.rand.IntN(120)
		c.counts["freezes"]++
	}
	s := c.pick()
	if s.core != nil && c.chance(f.stop) {
		switch c.rand.IntN(3) {
		case 0:
			c.halt(s, false)
			c.counts["kills"]++
		case 1:
			c.halt(s, true)
			c.counts["crashes"]++
		default:
			s.fs.opsLeft = c.rand.IntN(12) // crash in the middle of an operation
			c.counts["crashes in operations"]++
		}
	}
	if c.chance(f.wipe) {
		c.wipe(c.pick())
	}
	s.fs.failRate = f.disk
	if s = c.pick(); s.core != nil && s.core.IsLeader() && c.chance(f.transfer) {
		_ = s.core.TransferLeadership(0)
		c.counts["transfers"]++
	}
}

// partition heals all links, or cuts some in one or both directions.
func (c *cluster) partition() {
	c.blocked = map[[2]int]bool{}
	if c.rand.IntN(2) == 0 {
		return
	}
	oneWay := c.rand.IntN(2) == 0
	side := c.rand.IntN(1 << len(c.sites))
	for a := range c.sites {
		for b := range c.sites {
			if side>>a&1 == 1 && side>>b&1 == 0 {
				c.blocked[[2]int{a, b}] = true
				c.blocked[[2]int{b, a}] = !oneWay
			}
		}
	}
	if oneWay {
		c.counts["one-way partitions"]++
	} else {
		c.counts["partitions"]++
	}
}

// wipe empties a disk if a quorum keeps its disks, which is all that can be
// survived without a forced recovery.
func (c *cluster) wipe(s *site) {
	lost := 0
	for _, o := range c.sites {
		if !o.joined {
			lost++
		}
	}
	if lost+1 > (len(c.sites)-1)/2 || !s.joined {
		return
	}
	c.counts["emptied disks"]++
	s.fs.wipe()
	s.core, s.storage, s.held, s.joined = nil, nil, nil, false
	s.down = c.step + c.rand.IntN(100)
}

// deliver hands over the messages that are due.
func (c *cluster) deliver() {
	slices.SortFunc(c.network, func(a, b packet) int { return cmp.Or(a.due-b.due, a.order-b.order) })
	var rest []packet
	for _, p := range c.network {
		s := c.site(p.message.To)
		switch {
		case p.due > c.step || (s != nil && s.core != nil && c.step < s.frozen):
			rest = append(rest, p)
		case s != nil && s.core != nil:
			c.receive(s, p.message)
		}
	}
	c.network = rest
}

func (c *cluster) receive(s *site, m consensus.Message) {
	err := s.core.Step(m)
	var foreign *consensus.EpochError
	if c.ignoreForeign && errors.As(err, &foreign) {
		c.counts["foreign messages"]++
		return
	}
	if err != nil {
		c.failf("message of kind %d: %w", m.Kind, err)
	}
}

func (c *cluster) site(id consensus.ReplicaID) *site {
	for _, s := range c.sites {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (c *cluster) send(from *site, messages []consensus.Message) {
	for _, m := range messages {
		c.check(c.oracle.sent(m))
		to := c.site(m.To)
		if to == nil || c.blocked[[2]int{from.index, to.index}] || c.chance(c.faults.loss) {
			c.counts["messages lost"]++
			continue
		}
		for copies := 0; copies == 0 || c.chance(c.faults.duplicate); copies++ {
			delay := 1
			if c.faults.maxDelay > 0 {
				delay += c.rand.IntN(c.faults.maxDelay)
			}
			c.sequence++
			c.network = append(c.network, packet{c.step + delay, c.sequence, m})
			c.counts["messages"]++
		}
	}
}

// drive ticks a core and handles its Readys.
func (c *cluster) drive(s *site) {
	for s.ticks += s.rate; s.ticks >= 1; s.ticks-- {
		s.core.Tick()
	}
	if s.core.IsLeader() {
		c.check(c.oracle.leads(s))
	}
	if s.held != nil && c.step >= s.saved {
		r := *s.held
		s.held = nil
		c.handle(s, r)
	}
	for s.core != nil && s.core.HasReady() {
		r := s.core.Ready()
		c.send(s, r.Early)
		if c.chance(c.faults.slowDisk) {
			s.held, s.saved = &r, c.step+1+c.rand.IntN(12)
			return
		}
		c.handle(s, r)
	}
	if s.core == nil || s.held != nil {
		return
	}
	c.check(s.core.Err())
	c.serveReads(s)
	if snapshot := s.core.Status().Snapshot; s.applied > snapshot+40 {
		c.compact(s)
	}
}

func (c *cluster) handle(s *site, r consensus.Ready) {
	if err := s.storage.Save(r); err != nil {
		c.checkStorage(err)
		c.halt(s, s.fs.stopped || c.rand.IntN(2) == 0)
		return
	}
	if r.Snapshot != nil {
		c.counts["snapshots received"]++
		s.restore(r.Snapshot)
	}
	c.check(c.oracle.saved(s, r))
	c.send(s, r.Messages)
	if hs := r.HardState; hs != nil && hs.Vote != 0 && len(r.Entries) == 0 && c.chance(c.faults.votes) {
		c.counts["crashes after a vote"]++
		c.halt(s, true)
		s.down = c.step + c.rand.IntN(4)
		return
	}
	for _, e := range r.Committed {
		c.apply(s, e)
	}
	for _, read := range r.Reads {
		if read.Rejected {
			continue
		}
		if read.Index < s.reads[read.Request] {
			c.failf("read returned index %d after %d had been seen", read.Index, s.reads[read.Request])
		}
		s.waiting = append(s.waiting, read)
	}
	s.core.Advance()
}

func (c *cluster) apply(s *site, e consensus.Entry) {
	if e.Index != s.applied+1 {
		c.failf("%s applies %d after %d", s.name, e.Index, s.applied)
	}
	s.applied = e.Index
	c.check(c.oracle.applied(e, s.core.Term()))
	if e.Kind != consensus.EntryCommand {
		return
	}
	command := binary.BigEndian.Uint64(e.Data)
	s.commands = append(s.commands, command)
	if own, ok := s.pending[e.Index]; ok && own.term == e.Term {
		c.oracle.acknowledged = append(c.oracle.acknowledged, command)
		c.oracle.seen = max(c.oracle.seen, e.Index)
	}
	delete(s.pending, e.Index)
}

// serveReads answers confirmed reads once their index is applied.
func (c *cluster) serveReads(s *site) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r consensus.ReadState) bool {
		if r.Index > s.applied {
			return false
		}
		c.oracle.seen = max(c.oracle.seen, r.Index)
		c.counts["confirmed reads"]++
		return true
	})
}

func (c *cluster) compact(s *site) {
	snap, err := s.core.MakeSnapshot(s.applied, s.state())
	c.check(err)
	if err := s.storage.SaveSnapshot(snap); err != nil {
		c.checkStorage(err)
		c.halt(s, s.fs.stopped || c.rand.IntN(2) == 0)
		return
	}
	c.check(s.core.Compact(snap, uint64(c.rand.IntN(20))))
	c.counts["snapshots saved"]++
}

// operate sends client commands and reads, and lets emptied replicas join.
func (c *cluster) operate() {
	for _, s := range c.sites {
		if s.core == nil || c.step < s.frozen {
			continue
		}
		for range c.rand.IntN(4) {
			c.command++
			data := append(binary.BigEndian.AppendUint64(nil, c.command), make([]byte, c.rand.IntN(100))...)
			if index, err := s.core.Propose(data); err == nil {
				s.pending[index] = ownCommand{s.core.Term(), c.command}
				c.counts["commands"]++
			}
		}
		c.request++
		s.reads[c.request] = c.oracle.seen
		_ = s.core.ReadIndex(c.request)
		for _, o := range c.sites {
			if !o.joined && o.core != nil && s.core.IsLeader() && !c.blocked[[2]int{o.index, s.index}] {
				o.joined, _ = s.core.Join(consensus.Member{ID: o.id, Name: o.name})
			}
		}
	}
}

// heal ends all faults and waits until every site holds all acknowledged commands.
func (c *cluster) heal() {
	c.faults = faultRates{}
	c.blocked = map[[2]int]bool{}
	for _, s := range c.sites {
		s.frozen, s.down = 0, min(s.down, c.step)
		s.fs.failRate, s.fs.opsLeft = 0, -1
	}
	acknowledged := len(c.oracle.acknowledged)
	for range 40 {
		c.run(100)
		if c.err != nil {
			return
		}
		if c.converged() && len(c.oracle.acknowledged) > acknowledged {
			return
		}
	}
	c.failf("no recovery within 4000 steps without faults")
}

func (c *cluster) converged() bool {
	for _, s := range c.sites {
		if s.core == nil || !s.joined || s.core.Leader() == 0 {
			return false
		}
		holds := map[uint64]bool{}
		for _, v := range s.commands {
			holds[v] = true
		}
		for _, v := range c.oracle.acknowledged {
			if !holds[v] {
				return false
			}
		}
	}
	return true
}
