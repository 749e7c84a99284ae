package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/consensus"
	"cactusspar/internal/peer"
)

// Methods of the messages and requests between replicas.
const (
	methodRaft  = "raft.messages"
	methodProbe = "raft.probe"
	methodJoin  = "raft.join"
)

const (
	// maxQueuedMessages bounds the messages that wait for one replica. Further
	// messages are dropped; the consensus core tolerates their loss.
	maxQueuedMessages = 512
	// maxFrameBytes is the size at which no further messages are added to a frame.
	maxFrameBytes = 1 << 20
	// dialTimeout bounds connecting to a replica and sending one frame.
	dialTimeout = time.Second
)

// raftMessages is a batch of messages between replicas. From lets a receiver that
// has no membership yet answer the sender.
type raftMessages struct {
	From     Address             `msgpack:"f"`
	Messages []consensus.Message `msgpack:"m"`
}

// transport sends messages to the other replicas. It uses one goroutine for each
// of them, so that an unreachable replica does not delay the others.
type transport struct {
	replica *Replica
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	links   map[string]*link // by address; owned by the event loop

	mu      sync.Mutex
	clients map[string]*peer.Client
	closed  bool
}

// link is the queue of messages to one replica.
type link struct {
	name  string
	queue chan consensus.Message
}

func newTransport(r *Replica) *transport {
	t := &transport{replica: r, links: map[string]*link{}, clients: map[string]*peer.Client{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

func (t *transport) close() {
	t.cancel()
	t.mu.Lock()
	clients := t.clients
	t.closed = true
	t.clients = map[string]*peer.Client{}
	t.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
	t.wg.Wait()
}

// client returns the client for an address and creates it if necessary.
func (t *transport) client(addr string) *peer.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[addr]
	if c == nil {
		o := &t.replica.options
		c = peer.NewClient(addr, t.replica.identity(), t.replica, o.ClientTLS, t.replica.counters)
		c.Log = t.replica.log
		if t.closed {
			c.Close() // later calls fail
		}
		t.clients[addr] = c
	}
	return c
}

// send queues messages for their receivers without blocking.
func (t *transport) send(messages []consensus.Message) {
	for i := range messages {
		to := t.replica.addressOf(messages[i].To)
		if to.Peer == "" {
			t.replica.countRefusal("unknown-replica")
			continue
		}
		select {
		case t.link(to).queue <- messages[i]:
		default:
			t.replica.countRefusal("replica-queue-full")
		}
	}
}

func (t *transport) link(to Address) *link {
	l := t.links[to.Peer]
	if l == nil {
		l = &link{name: to.Name, queue: make(chan consensus.Message, maxQueuedMessages)}
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

// transmit sends a message, together with those that are queued behind it.
func (t *transport) transmit(l *link, addr string, first consensus.Message) {
	batch := raftMessages{From: t.replica.options.Self, Messages: []consensus.Message{first}}
	size := messageSize(&first)
	for size < maxFrameBytes {
		select {
		case m := <-l.queue:
			batch.Messages = append(batch.Messages, m)
			size += messageSize(&m)
			continue
		default:
		}
		break
	}
	if t.replica.options.Blocked(l.name) {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	if err := t.client(addr).Send(ctx, methodRaft, &batch); err != nil {
		t.replica.countRefusal("replica-unreachable")
	}
}

func messageSize(m *consensus.Message) int {
	const overhead = 64
	size := overhead
	for i := range m.Entries {
		size += overhead + len(m.Entries[i].Data)
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// addressOf returns the address of a replica, or an empty one if it is unknown.
func (r *Replica) addressOf(id consensus.ReplicaID) Address {
	if m, ok := r.membership.Find(id); ok {
		known := r.addresses[m.Name]
		return Address{Name: m.Name, Peer: m.Addr, Operator: known.Operator}
	}
	return r.routes[id]
}

// HandleOneWay receives consensus messages of other replicas, and messages for the
// service.
func (r *Replica) HandleOneWay(from peer.Identity, method string, body []byte) {
	if from.Role != peer.RoleControl || method != methodRaft && r.options.Service == nil {
		r.countRefusal("unexpected-message")
		return
	}
	if r.options.Blocked(from.ID) {
		return
	}
	if method != methodRaft {
		r.options.Service.HandleMessage(from, method, body)
		return
	}
	batch := new(raftMessages)
	if err := peer.Decode(body, batch); err != nil {
		r.countRefusal("malformed-message")
		r.log.Info("Refused a message.", "from", from.ID, "reason", err.Error())
		return
	}
	if batch.From.Name != from.ID {
		r.countRefusal("wrong-sender")
		return
	}
	r.tryPost(func() { r.stepMessages(batch) })
}

func (r *Replica) stepMessages(batch *raftMessages) {
	r.addresses[batch.From.Name] = batch.From
	for i := range batch.Messages {
		m := batch.Messages[i]
		if _, member := r.membership.Find(m.From); !member {
			r.recordRoute(m.From, batch.From)
		}
		if err := r.core.Step(m); err != nil {
			r.log.V(1).Info("Refused a message.", "from", batch.From.Name, "reason", err.Error())
		}
	}
	if !r.fullSince.IsZero() {
		r.core.DiscardMessages()
	}
}

// recordRoute records the address of a replica that is not a member.
func (r *Replica) recordRoute(id consensus.ReplicaID, a Address) {
	const maxRoutes = 64
	if len(r.routes) >= maxRoutes {
		clear(r.routes)
	}
	r.routes[id] = a
}
