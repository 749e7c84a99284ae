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

// cluster simulates a group of replicas with in-memory file systems and a faulty
// network, one step at a time. All randomness comes from the seed.
type cluster struct {
	rand        *rand.Rand
	step        int
	servers     []*server
	network     []packet
	lastPacket  int
	blocked     map[[2]int]bool // directed links that drop every message
	faults      faultRates
	counts      map[string]int
	oracle      oracle
	lastCommand uint64
	lastRequest uint64
	err         error
	// allowForeignEpoch permits replicas to reject messages of another epoch.
	allowForeignEpoch bool
}

// faultRates holds the probabilities of faults, per message, step or operation,
// and the maximum delay of a message in steps.
type faultRates struct {
	loss, duplicate, diskError, stop, suspend, wipe, partition, transfer, slowDisk, crashAfterVote float64
	maxDelay                                                                                       int
}

var frequentFaults = faultRates{
	loss: 0.03, duplicate: 0.03, diskError: 0.0005, stop: 0.002, suspend: 0.002,
	wipe: 0.002, partition: 0.01, transfer: 0.02, slowDisk: 0.2, crashAfterVote: 0.05, maxDelay: 6,
}

type packet struct {
	due, order int
	message    consensus.Message
}

// server is a simulated instance with a disk. It gets a new replica when its disk
// is wiped.
type server struct {
	index          int
	name           string
	fs             *memFS
	storage        *Storage
	core           *consensus.Core
	id             consensus.ReplicaID
	joined         bool    // the replica is a voter in a committed membership
	tickRate       float64 // ticks per step
	pendingTicks   float64
	suspendedUntil int              // step at which it resumes
	restartAt      int              // step at which it restarts
	unsavedReady   *consensus.Ready // Ready that waits for a slow disk
	saveAt         int              // step at which unsavedReady is saved

	applied        uint64
	commands       []uint64          // the state of the state machine: all applied commands in order
	logTerms       map[uint64]uint64 // terms of the durable log, by index
	logStart       uint64            // index of the entry before the log
	pending        map[uint64]proposedCommand
	reads          map[uint64]uint64 // lowest index allowed for each read, by request
	confirmedReads []consensus.ReadState
}

// proposedCommand is a command that a leader proposed, with its term.
type proposedCommand struct{ term, command uint64 }

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(seed, 0)), blocked: map[[2]int]bool{}, counts: map[string]int{}, oracle: newOracle()}
	var members []consensus.Member
	for i := range n {
		s := &server{index: i, name: fmt.Sprintf("i%d", i), fs: newMemFS(rand.New(rand.NewPCG(seed, uint64(i+1))))}
		s.tickRate = 0.7 + 0.6*c.rand.Float64()
		c.servers = append(c.servers, s)
		storage, _, err := openMem(s.fs)
		c.check(err)
		members = append(members, consensus.Member{ID: storage.Identity().Replica, Name: s.name, Voter: true})
		s.storage = storage
	}
	snap, hs := consensus.Bootstrap(members, nil)
	for _, s := range c.servers {
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

// checkStorageError counts a storage error. Any error other than an injected one
// fails the run.
func (c *cluster) checkStorageError(err error) {
	c.counts["storage failures"]++
	if !errors.Is(err, errInjected) && !errors.Is(err, syscall.EIO) && !errors.Is(err, syscall.ENOSPC) {
		c.check(err)
	}
}

func (c *cluster) failf(format string, args ...any) { c.check(fmt.Errorf(format, args...)) }

// start opens the server's storage and creates its core.
func (c *cluster) start(s *server) {
	storage, durable, err := openMem(s.fs)
	if err != nil {
		c.checkStorageError(err)
		c.stopServer(s, true)
		return
	}
	s.storage, s.id = storage, storage.Identity().Replica
	cfg := consensus.DefaultConfig(s.id, rand.New(rand.NewPCG(c.rand.Uint64(), 0)))
	cfg.SnapshotChunkBytes, cfg.MaxMessageBytes, cfg.MaxInFlight, cfg.MaxApplyBytes = 300, 400, 5, 1000
	s.core, err = consensus.New(cfg, durable)
	c.check(err)
	s.applied, s.commands, s.logStart = 0, nil, 0
	s.pending, s.reads, s.confirmedReads = map[uint64]proposedCommand{}, map[uint64]uint64{}, nil
	s.logTerms = map[uint64]uint64{}
	if durable.Snapshot != nil {
		s.restore(durable.Snapshot)
	}
	for _, e := range durable.Entries {
		s.logTerms[e.Index] = e.Term
	}
}

func (s *server) restore(snap *consensus.Snapshot) {
	s.applied, s.logStart = snap.Index, snap.Index
	s.logTerms = map[uint64]uint64{snap.Index: snap.Term}
	s.commands = nil
	for d := snap.Data; len(d) >= 8; d = d[8:] {
		s.commands = append(s.commands, binary.BigEndian.Uint64(d))
	}
}

func (s *server) encodeState() []byte {
	var d []byte
	for _, v := range s.commands {
		d = binary.BigEndian.AppendUint64(d, v)
	}
	return d
}

// stopServer kills the server's process, or crashes the server, which may lose
// unsynced data. The server restarts at a later step.
func (c *cluster) stopServer(s *server, loseUnsynced bool) {
	if loseUnsynced {
		s.fs.crash()
	} else {
		s.fs.kill()
	}
	s.core, s.storage, s.unsavedReady = nil, nil, nil
	s.restartAt = c.step + 1 + c.rand.IntN(1+c.rand.IntN(150))
}

// run simulates a number of steps.
func (c *cluster) run(steps int) {
	for end := c.step + steps; c.step < end && c.err == nil; c.step++ {
		c.injectFaults()
		c.deliver()
		for _, s := range c.servers {
			if s.core == nil && c.step >= s.restartAt {
				c.start(s)
			}
			if s.core != nil && c.step >= s.suspendedUntil {
				c.runServer(s)
			}
		}
		if c.step%7 == 0 {
			c.runClients()
		}
	}
}

func (c *cluster) chance(p float64) bool { return p > 0 && c.rand.Float64() < p }

func (c *cluster) randomServer() *server { return c.servers[c.rand.IntN(len(c.servers))] }

// injectFaults injects the random faults of one step.
func (c *cluster) injectFaults() {
	f := &c.faults
	if c.chance(f.partition) {
		c.partition()
	}
	if c.chance(f.suspend) {
		c.randomServer().suspendedUntil = c.step + c.rand.IntN(120)
		c.counts["suspensions"]++
	}
	s := c.randomServer()
	if s.core != nil && c.chance(f.stop) {
		switch c.rand.IntN(3) {
		case 0:
			c.stopServer(s, false)
			c.counts["kills"]++
		case 1:
			c.stopServer(s, true)
			c.counts["crashes"]++
		default:
			s.fs.opsLeft = c.rand.IntN(12) // crash at a later file system operation
			c.counts["crashes in operations"]++
		}
	}
	if c.chance(f.wipe) {
		c.wipe(c.randomServer())
	}
	s.fs.failRate = f.diskError
	if s = c.randomServer(); s.core != nil && s.core.IsLeader() && c.chance(f.transfer) {
		_ = s.core.TransferLeadership(0)
		c.counts["transfers"]++
	}
}

// partition heals all links, then partitions the servers with a probability of
// one half, in one or both directions.
func (c *cluster) partition() {
	c.blocked = map[[2]int]bool{}
	if c.rand.IntN(2) == 0 {
		return
	}
	oneWay := c.rand.IntN(2) == 0
	side := c.rand.IntN(1 << len(c.servers))
	for a := range c.servers {
		for b := range c.servers {
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

// wipe empties a disk if a majority of the servers then still has its disks. A
// group survives the loss of more disks only with a forced recovery.
func (c *cluster) wipe(s *server) {
	lost := 0
	for _, o := range c.servers {
		if !o.joined {
			lost++
		}
	}
	if lost+1 > (len(c.servers)-1)/2 || !s.joined {
		return
	}
	c.counts["emptied disks"]++
	s.fs.wipe()
	s.core, s.storage, s.unsavedReady, s.joined = nil, nil, nil, false
	s.restartAt = c.step + c.rand.IntN(100)
}

// deliver passes the messages that are due to their receivers.
func (c *cluster) deliver() {
	slices.SortFunc(c.network, func(a, b packet) int { return cmp.Or(a.due-b.due, a.order-b.order) })
	var rest []packet
	for _, p := range c.network {
		s := c.serverByID(p.message.To)
		switch {
		case p.due > c.step || (s != nil && s.core != nil && c.step < s.suspendedUntil):
			rest = append(rest, p)
		case s != nil && s.core != nil:
			c.receive(s, p.message)
		}
	}
	c.network = rest
}

func (c *cluster) receive(s *server, m consensus.Message) {
	err := s.core.Step(m)
	var foreign *consensus.EpochError
	if c.allowForeignEpoch && errors.As(err, &foreign) {
		c.counts["foreign messages"]++
		return
	}
	if err != nil {
		c.failf("message of kind %d: %w", m.Kind, err)
	}
}

func (c *cluster) serverByID(id consensus.ReplicaID) *server {
	for _, s := range c.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (c *cluster) send(from *server, messages []consensus.Message) {
	for _, m := range messages {
		c.check(c.oracle.checkSent(m))
		to := c.serverByID(m.To)
		if to == nil || c.blocked[[2]int{from.index, to.index}] || c.chance(c.faults.loss) {
			c.counts["messages lost"]++
			continue
		}
		for copies := 0; copies == 0 || c.chance(c.faults.duplicate); copies++ {
			delay := 1
			if c.faults.maxDelay > 0 {
				delay += c.rand.IntN(c.faults.maxDelay)
			}
			c.lastPacket++
			c.network = append(c.network, packet{c.step + delay, c.lastPacket, m})
			c.counts["messages"]++
		}
	}
}

// runServer ticks a server's core and handles its Readys.
func (c *cluster) runServer(s *server) {
	for s.pendingTicks += s.tickRate; s.pendingTicks >= 1; s.pendingTicks-- {
		s.core.Tick()
	}
	if s.core.IsLeader() {
		c.check(c.oracle.checkLeader(s))
	}
	if s.unsavedReady != nil && c.step >= s.saveAt {
		r := *s.unsavedReady
		s.unsavedReady = nil
		c.handle(s, r)
	}
	for s.core != nil && s.core.HasReady() {
		r := s.core.Ready()
		c.send(s, r.PreSyncMessages)
		if c.chance(c.faults.slowDisk) {
			s.unsavedReady, s.saveAt = &r, c.step+1+c.rand.IntN(12)
			return
		}
		c.handle(s, r)
	}
	if s.core == nil || s.unsavedReady != nil {
		return
	}
	c.check(s.core.Err())
	c.serveReads(s)
	if snapshot := s.core.Status().Snapshot; s.applied > snapshot+40 {
		c.compact(s)
	}
}

func (c *cluster) handle(s *server, r consensus.Ready) {
	if err := s.storage.Save(r); err != nil {
		c.checkStorageError(err)
		c.stopServer(s, s.fs.stopped || c.rand.IntN(2) == 0)
		return
	}
	if r.Snapshot != nil {
		c.counts["snapshots received"]++
		s.restore(r.Snapshot)
	}
	c.check(c.oracle.checkSaved(s, r))
	c.send(s, r.Messages)
	if hs := r.HardState; hs != nil && hs.Vote != 0 && len(r.Entries) == 0 && c.chance(c.faults.crashAfterVote) {
		c.counts["crashes after a vote"]++
		c.stopServer(s, true)
		s.restartAt = c.step + c.rand.IntN(4)
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
			c.failf("read returned index %d after a client had observed index %d", read.Index, s.reads[read.Request])
		}
		s.confirmedReads = append(s.confirmedReads, read)
	}
	s.core.Advance()
}

func (c *cluster) apply(s *server, e consensus.Entry) {
	if e.Index != s.applied+1 {
		c.failf("%s applies entry %d after entry %d", s.name, e.Index, s.applied)
	}
	s.applied = e.Index
	c.check(c.oracle.checkApplied(e, s.core.Term()))
	if e.Kind != consensus.EntryCommand {
		return
	}
	command := binary.BigEndian.Uint64(e.Data)
	s.commands = append(s.commands, command)
	if own, ok := s.pending[e.Index]; ok && own.term == e.Term {
		c.oracle.acknowledged = append(c.oracle.acknowledged, command)
		c.oracle.observedIndex = max(c.oracle.observedIndex, e.Index)
	}
	delete(s.pending, e.Index)
}

// serveReads completes confirmed reads once their index is applied.
func (c *cluster) serveReads(s *server) {
	s.confirmedReads = slices.DeleteFunc(s.confirmedReads, func(r consensus.ReadState) bool {
		if r.Index > s.applied {
			return false
		}
		c.oracle.observedIndex = max(c.oracle.observedIndex, r.Index)
		c.counts["confirmed reads"]++
		return true
	})
}

func (c *cluster) compact(s *server) {
	snap, err := s.core.MakeSnapshot(s.applied, s.encodeState())
	c.check(err)
	if err := s.storage.SaveSnapshot(snap); err != nil {
		c.checkStorageError(err)
		c.stopServer(s, s.fs.stopped || c.rand.IntN(2) == 0)
		return
	}
	c.check(s.core.Compact(snap, uint64(c.rand.IntN(20))))
	c.counts["snapshots saved"]++
}

// runClients sends client commands and reads, and lets servers with wiped disks
// join the group.
func (c *cluster) runClients() {
	for _, s := range c.servers {
		if s.core == nil || c.step < s.suspendedUntil {
			continue
		}
		for range c.rand.IntN(4) {
			c.lastCommand++
			data := append(binary.BigEndian.AppendUint64(nil, c.lastCommand), make([]byte, c.rand.IntN(100))...)
			if index, err := s.core.Propose(data); err == nil {
				s.pending[index] = proposedCommand{s.core.Term(), c.lastCommand}
				c.counts["commands"]++
			}
		}
		c.lastRequest++
		s.reads[c.lastRequest] = c.oracle.observedIndex
		_ = s.core.ReadIndex(c.lastRequest)
		for _, o := range c.servers {
			if !o.joined && o.core != nil && s.core.IsLeader() && !c.blocked[[2]int{o.index, s.index}] {
				o.joined, _ = s.core.Join(consensus.Member{ID: o.id, Name: o.name})
			}
		}
	}
}

// heal ends all faults and waits until every server has applied all acknowledged
// commands, including new ones.
func (c *cluster) heal() {
	c.faults = faultRates{}
	c.blocked = map[[2]int]bool{}
	for _, s := range c.servers {
		s.suspendedUntil, s.restartAt = 0, min(s.restartAt, c.step)
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
	c.failf("the group did not converge within 4000 steps without faults")
}

func (c *cluster) converged() bool {
	for _, s := range c.servers {
		if s.core == nil || !s.joined || s.core.Leader() == 0 {
			return false
		}
		applied := map[uint64]bool{}
		for _, v := range s.commands {
			applied[v] = true
		}
		for _, v := range c.oracle.acknowledged {
			if !applied[v] {
				return false
			}
		}
	}
	return true
}
