// Package entry implements the entry instance. It connects the listeners for
// callers and endpoints, the dispatch service for the pools assigned to the
// instance, and the renewals that keep its view of the control state fresh.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/intake"
	"cactusspar/internal/peer"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

// Entry is an entry instance.
type Entry struct {
	settings    Settings
	incarnation uint64
	log         logr.Logger
	metrics     *telemetry.Metrics
	counters    *peer.Counters
	intake      *intake.Intake
	views       *view.Publisher
	service     *dispatch.Service
	tickets     *ticketRegistry
	outbox      *outbox
	router      *router
	peers       *peerClients
	handler     *peerHandler
	registry    *endpoint.AnnouncementRegistry
	sender      *endpoint.Sender
	callers     *caller.Server
	control     *controlClient
	peerTLS     *tls.Config
	clientTLS   *tls.Config
	listeners   listeners
	stopping    atomic.Bool
	// stopOutbox ends the delivery of releases, as the last step of a shutdown.
	stopOutbox context.CancelFunc
}

// listeners holds the open listeners of an instance.
type listeners struct{ peer, callers, endpoints, health net.Listener }

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.peer, l.callers, l.endpoints, l.health} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// New creates an instance and opens its listeners. Run serves them.
func New(s Settings, log logr.Logger) (*Entry, error) {
	e := &Entry{
		settings: s, log: log, metrics: telemetry.NewMetrics(), counters: &peer.Counters{},
		// Later starts have higher incarnations as long as the clock is not set back.
		incarnation: uint64(time.Now().UnixNano()),
		views:       view.NewPublisher(nil), tickets: newTicketRegistry(), sender: endpoint.NewSender(),
	}
	e.intake = intake.New(intake.Options{BodyBytes: s.BodyMemoryBytes, Log: log.WithName("intake"), Metrics: e.metrics})
	if err := e.openListeners(); err != nil {
		e.listeners.close()
		return nil, err
	}
	e.wirePeers()
	e.wireCallers()
	return e, nil
}

func (e *Entry) openListeners() error {
	s := &e.settings
	var err error
	if e.clientTLS, err = s.PeerClient.Config(); err != nil {
		return errs.New("peer_client: %w", err)
	}
	if e.peerTLS, err = s.Peer.TLS.Config(); err != nil {
		return errs.New("peer: %w", err)
	}
	if e.listeners.peer, err = net.Listen("tcp", s.Peer.Address); err != nil {
		return errs.New("peer: %w", err)
	}
	connections := boundConnections(s.MaxConnections, s.MaxRequests, e.log)
	if e.listeners.callers, err = listen(s.Callers, e.intake, connections); err != nil {
		return errs.New("callers: %w", err)
	}
	if e.listeners.endpoints, err = listen(s.Endpoints, e.intake, connections); err != nil {
		return errs.New("endpoints: %w", err)
	}
	if e.listeners.health, err = listen(s.Health, e.intake, maxHealthConnections); err != nil {
		return errs.New("health: %w", err)
	}
	return nil
}

func (e *Entry) identity() peer.Identity {
	return peer.Identity{
		Cluster: e.settings.Cluster, Role: peer.RoleEntry, ID: e.settings.ID, Incarnation: e.incarnation,
	}
}

func (e *Entry) wirePeers() {
	e.handler = &peerHandler{tickets: e.tickets}
	e.peers = &peerClients{
		identity: e.identity(), handler: e.handler, tls: e.clientTLS, counters: e.counters, log: e.log, views: e.views,
		clients: map[string]*peer.Client{},
	}
	e.service = dispatch.NewService(dispatch.Options{
		Entry: e.settings.ID, Incarnation: e.incarnation,
		Fresh:   func() bool { return e.views.Current().Fresh() },
		Peers:   &dispatchPeers{selfID: e.settings.ID, peers: e.peers, localHeld: e.handler.held, copyRecords: e.copyRecords},
		Metrics: e.metrics, Log: e.log.WithName("dispatch"),
	})
	e.handler.service = e.service
	ctx, cancel := context.WithCancel(context.Background())
	e.stopOutbox = cancel
	e.outbox = newOutbox(ctx)
	e.outbox.dropped = e.metrics.Counter("entry_releases_dropped_total")
	e.router = &router{
		selfID: e.settings.ID, views: e.views, service: e.service, peers: e.peers,
		tickets: e.tickets, outbox: e.outbox,
	}
	e.outbox.call, e.outbox.resend = e.callPeer, e.router.resendRelease
	e.control = &controlClient{
		addrs: e.settings.Control, clients: map[string]*peer.Client{},
		connect: func(addr string) *peer.Client {
			c := peer.NewClient(addr, e.identity(), e.handler, e.clientTLS, e.counters)
			c.Log = e.log
			return c
		},
	}
}

func (e *Entry) copyRecords(c dispatch.RecordCopy) error { return e.service.Copy(c) }

func (e *Entry) callPeer(ctx context.Context, to, method string, message any) error {
	c, err := e.peers.client(to)
	if err != nil {
		return err
	}
	return c.Call(ctx, method, message, nil)
}

func (e *Entry) wireCallers() {
	e.registry = endpoint.NewAnnouncementRegistry(e.views, e)
	e.callers = caller.NewServer(caller.Options{
		Views: e.views, Tickets: e.router, Sender: e.sender, Metrics: e.metrics, Log: e.log.WithName("callers"),
		DataCentre:    e.settings.DataCentre,
		RequestPrefix: e.settings.ID + "-" + strconv.FormatUint(e.incarnation, 36) + "-",
		MaxRequests:   int64(e.settings.MaxRequests), MaxBodyBytes: e.settings.MaxBodyBytes, Intake: e.intake,
	})
}

// Announce forwards endpoint announcements to the dispatcher of their pool. It
// implements endpoint.AnnouncementForwarder.
func (e *Entry) Announce(ctx context.Context, a dispatch.AnnounceBatch) error {
	assignment, ok := e.views.Current().Assignments[a.Pool]
	if !ok {
		return errs.New("pool %q has no dispatcher", a.Pool)
	}
	if assignment.Dispatcher == e.settings.ID {
		e.service.Announce(a)
		return nil
	}
	return e.callPeer(ctx, assignment.Dispatcher, dispatch.MethodAnnounce, a)
}

// registration returns the description of the instance that renewals carry.
func (e *Entry) registration() state.Entry {
	return state.Entry{
		ID: e.settings.ID, Incarnation: e.incarnation,
		PeerAddr:   addressOr(e.settings.AdvertisePeer, e.listeners.peer),
		CallerAddr: addressOr(e.settings.AdvertiseCallers, e.listeners.callers),
		DataCentre: e.settings.DataCentre, Region: e.settings.Region,
	}
}

func addressOr(advertised string, ln net.Listener) string {
	if advertised != "" {
		return advertised
	}
	return ln.Addr().String()
}

// buildRenewRequest builds a renewal message without the demand, which the
// renewer adds.
func (e *Entry) buildRenewRequest() view.RenewRequest {
	lost, returned := e.service.LostAndReturned()
	return view.RenewRequest{
		Entry: e.registration(), Since: e.views.Current().Index, Instances: e.registry.Inventory(),
		Drained: e.service.Drained(), Lost: lost, Returned: returned,
	}
}

// install passes a changed view to the dispatch service, and cancels the
// idempotent requests that run on endpoints newly marked as lost.
func (e *Entry) install(v *view.View) {
	e.service.Update(dispatch.Snapshot{
		Assignments: v.Assignments, Rules: v.Rules, Grants: v.Grants,
		Instances: v.Instances, Entries: v.Entries,
	})
	e.sender.SetMaxIdlePerEndpoint(idleConnsPerEndpoint(v))
	previous := e.views.Current().Instances
	for id, i := range v.Instances {
		if i.Condition == state.Lost && previous[id].Condition != state.Lost {
			e.tickets.notifyEndpointLost(id)
		}
	}
}

// idleConnsPerEndpoint returns how many idle connections to keep to an endpoint.
// The connections that an endpoint allows beyond its slots are divided among the
// entry instances, so that together they never exceed its limit.
func idleConnsPerEndpoint(v *view.View) int {
	idle := rules.DefaultSlots
	for _, p := range v.Rules.Pools {
		idle = min(idle, p.Slots, (p.Connections-p.Slots)/max(len(v.Entries), 1))
	}
	return max(idle, 0)
}

// Addresses holds the addresses of the listeners, for tests that let the
// operating system choose the ports.
type Addresses struct{ Peer, Callers, Endpoints, Health string }

// Addresses returns the addresses on which the instance listens.
func (e *Entry) Addresses() Addresses {
	l := e.listeners
	return Addresses{
		Peer: l.peer.Addr().String(), Callers: l.callers.Addr().String(),
		Endpoints: l.endpoints.Addr().String(), Health: l.health.Addr().String(),
	}
}
