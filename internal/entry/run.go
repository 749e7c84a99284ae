package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/drain"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/intake"
	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

const (
	// drainTimeout limits the wait for requests in progress on a planned stop.
	drainTimeout      = 30 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout limits the closing of the dispatch service and the attempts
	// to send the leave message to the leader.
	leaveTimeout = 3 * time.Second
	// handOverPeriod is how long new dispatchers can still request tickets and
	// records after the leader has confirmed the leave message.
	handOverPeriod     = time.Second
	outboxDrainTimeout = 2 * time.Second
)

// Run serves until ctx ends or a listener fails, then stops gracefully: it
// reports itself as not ready, finishes the requests in progress, hands over its
// pools, and returns.
func (e *Entry) Run(ctx context.Context) error {
	var background conc.WaitGroup
	defer background.Wait()
	// The background work outlives ctx because it is needed until the last
	// request has ended.
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	serveErrs := make(chan error, 4)
	background.Go(func() { e.sender.Run(backgroundCtx) })
	background.Go(func() { e.registry.Run(backgroundCtx) })
	peerServer := &peer.Server{
		Identity: e.identity(), Handler: e.handler, Log: e.log.WithName("peer"), Counters: e.counters, TLS: e.peerTLS,
	}
	background.Go(func() { serveErrs <- peerServer.Serve(backgroundCtx, e.listeners.peer) })

	renewCtx, stopRenewals := context.WithCancel(backgroundCtx)
	defer stopRenewals()
	var renewals conc.WaitGroup
	renewals.Go(func() { e.renewer().run(renewCtx) })

	callers, endpoints, health := e.callers.HTTP(), endpointServer(e), e.healthServer()
	connections := drain.Track(callers)
	servers := []*http.Server{callers, endpoints, health}
	for _, server := range servers {
		intake.Attach(server)
	}
	for i, ln := range []net.Listener{e.listeners.callers, e.listeners.endpoints, e.listeners.health} {
		background.Go(func() {
			if err := servers[i].Serve(ln); !drain.IsShutdown(err) {
				serveErrs <- err
			}
		})
	}
	e.log.Info("Serving.", "id", e.settings.ID, "callers", e.listeners.callers.Addr().String())

	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	e.drainRequests(callers, connections)
	stopRenewals()
	renewals.Wait()
	e.handOverPools()
	for _, s := range servers {
		_ = s.Close()
	}
	e.stopOutbox()
	e.outbox.close()
	stopBackground()
	e.control.close()
	e.peers.close()
	return err
}

func endpointServer(e *Entry) *http.Server {
	return endpoint.NewAnnouncementHandler(e.views, e.registry, e.intake, e.metrics).HTTP()
}

func (e *Entry) renewer() *renewer {
	return &renewer{
		control: e.control, views: e.views, demand: e.service.Demand, buildRequest: e.buildRenewRequest, install: e.install,
		log:     e.log.WithName("renew"),
		failed:  e.metrics.Counter("entry_renewals_failed_total"),
		refused: e.metrics.Counter("entry_deltas_refused_total"),
	}
}

// drainRequests refuses new requests after the stop delay and waits for those in
// progress. Renewals must go on meanwhile: without them the view becomes stale,
// and the instance would have to refuse requests that wait for a ticket.
func (e *Entry) drainRequests(callers *http.Server, connections *drain.Connections) {
	e.stopping.Store(true)
	e.callers.Drain()
	e.log.Info("Stopping: readiness is off.")
	time.Sleep(e.settings.StopDelay.Std())
	e.callers.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := connections.Shutdown(ctx, callers, e.listeners.callers); err != nil {
		e.log.Info("Requests did not end within the drain timeout; stopping anyway.", "requests", e.callers.Running())
	}
}

// handOverPools stops dispatching and sends the leave message to the leader. It
// then gives the new dispatchers time to request tickets and records, and waits
// for queued releases to be delivered.
func (e *Entry) handOverPools() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.service.Close(ctx)
	message := view.RenewRequest{Entry: e.registration(), Since: e.views.Current().Index}
	for {
		err := e.control.call(ctx, view.MethodLeave, message, nil)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			e.log.Info("Could not send the leave message to the leader.", "reason", err.Error())
			return
		}
		time.Sleep(renewRetryDelay)
	}
	time.Sleep(handOverPeriod)
	for end := time.Now().Add(outboxDrainTimeout); !e.outbox.empty() && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}
