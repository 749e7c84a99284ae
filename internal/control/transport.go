package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
)

// Methods of the messages between replicas.
const (
	methodRaft  = "raft.messages"
	methodProbe = "raft.probe"
	methodJoin  = "raft.join"
)

const (
	// maxQueued bounds the messages that wait for one replica; more are dropped,
	// which the core makes up for.
	maxQueued = 512
	// maxFrameBytes bounds the entries put together into one frame.
	maxFrameBytes = 1 << 20
	// dialTimeout bounds the wait for a connection to a replica.
	dialTimeout = time.Second
)

// raftMessages is a batch of messages between replicas. The address lets a
// replica that has no membership yet answer.
type raftMessages struct {
	From     Address             `msgpack:"f"`
	Messages []consensus.Message `msgpack:"m"`
}

// transport carries messages to the other replicas, each on a goroutine of its
// own, so that an unreachable one delays no other.
type transport struct {
	replica *Replica
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	links   map[string]*link // by address; of the owning goroutine
	// cut drops the traffic with a replica; tests isolate replicas with it.
	cut func(name string) bool

	mu      sync.Mutex
	clients map[string]*peer.Client
}

// link is the queue of messages to one replica.
type link struct {
	name  string
	queue chan consensus.Message
}

func newTransport(r *Replica) *transport {
	t := &transport{replica: r, links: map[string]*link{}, clients: map[string]*peer.Client{}, cut: func(string) bool { return false }}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

func (t *transport) close() {
	t.cancel()
	t.mu.Lock()
	clients := t.clients
	t.clients = map[string]*peer.Client{}
	t.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
	t.wg.Wait()
}

// client returns the connection to an address.
func (t *transport) client(addr string) *peer.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[addr]
	if c == nil {
		o := &t.replica.options
		c = peer.NewClient(addr, t.replica.identity(), t.replica, o.ClientTLS, t.replica.counts)
		t.clients[addr] = c
	}
	return c
}

// send queues messages for their receivers.
func (t *transport) send(messages []consensus.Message) {
	for i := range messages {
		to := t.replica.addressOf(messages[i].To)
		if to.Peer == "" {
			t.replica.refused("unknown-replica")
			continue
		}
		select {
		case t.link(to).queue <- messages[i]:
		default:
			t.replica.refused("replica-queue-full")
		}
	}
}

func (t *transport) link(to Address) *link {
	l := t.links[to.Peer]
	if l == nil {
		l = &link{name: to.Name, queue: make(chan consensus.Message, maxQueued)}
		t.links[to.Peer] = l
		t.wg.Go(func() { t.run(l, to.Peer) })
	}
	return l
}

func (t *transport) run(l *link, addr string) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-l.queue:
			t.transmit(l, addr, m)
		}
	}
}

// transmit sends a message together with those that wait behind it.
func (t *transport) transmit(l *link, addr string, first consensus.Message) {
	batch := raftMessages{From: t.replica.options.Self, Messages: []consensus.Message{first}}
	size := messageBytes(&first)
	for size < maxFrameBytes {
		select {
		case m := <-l.queue:
			batch.Messages = append(batch.Messages, m)
			size += messageBytes(&m)
			continue
		default:
		}
		break
	}
	if t.cut(l.name) {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	if err := t.client(addr).Send(ctx, methodRaft, &batch); err != nil {
		t.replica.refused("replica-unreachable")
	}
}

func messageBytes(m *consensus.Message) int {
	const overhead = 64
	size := overhead
	for i := range m.Entries {
		size += overhead + len(m.Entries[i].Data)
	}
	if m.Piece != nil {
		size += len(m.Piece.Data)
	}
	return size
}

// addressOf returns where a replica is reached.
func (r *Replica) addressOf(id consensus.ReplicaID) Address {
	if m, ok := r.group.Find(id); ok {
		known := r.names[m.Name]
		return Address{Name: m.Name, Peer: m.Addr, Operator: known.Operator}
	}
	return r.routes[id]
}

// HandleOneWay takes messages of other replicas.
func (r *Replica) HandleOneWay(from peer.Identity, method string, body []byte) {
	if method != methodRaft || from.Role != peer.RoleControl {
		r.refused("unexpected-message")
		return
	}
	if r.transport.cut(from.ID) {
		return
	}
	batch := new(raftMessages)
	if err := peer.Decode(body, batch); err != nil {
		r.refused("malformed-message")
		r.log.Info("Refused a message.", "from", from.ID, "reason", err.Error())
		return
	}
	if batch.From.Name != from.ID {
		r.refused("wrong-sender")
		return
	}
	r.tryPost(func() { r.step(batch) })
}

func (r *Replica) step(batch *raftMessages) {
	r.names[batch.From.Name] = batch.From
	for i := range batch.Messages {
		m := batch.Messages[i]
		if _, member := r.group.Find(m.From); !member {
			r.noteRoute(m.From, batch.From)
		}
		if err := r.core.Step(m); err != nil {
			r.log.V(1).Info("Refused a message.", "from", batch.From.Name, "reason", err.Error())
		}
	}
}

// noteRoute keeps the address of a replica outside of the membership.
func (r *Replica) noteRoute(id consensus.ReplicaID, a Address) {
	const maxRoutes = 64
	if len(r.routes) >= maxRoutes {
		clear(r.routes)
	}
	r.routes[id] = a
}
