package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/drain"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

const (
	// drainTimeout bounds the time for work in progress on a planned stop.
	drainTimeout = 30 * time.Second
	drainPoll    = 20 * time.Millisecond
	// leaveTimeout bounds the attempts to tell the leader.
	leaveTimeout = 3 * time.Second
	// handOverTime is the time for which the tickets and records can still be
	// asked for after the leader was told.
	handOverTime = time.Second
	outboxDrain  = 2 * time.Second
)

// Run serves until ctx ends, then stops gracefully: it turns readiness off,
// finishes the requests in progress, hands its pools over, and returns.
func (e *Entry) Run(ctx context.Context) error {
	var background conc.WaitGroup
	defer background.Wait()
	// The background work outlives ctx: it is needed until the last request ended.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 4)
	background.Go(func() { e.sender.Run(running) })
	background.Go(func() { e.keeper.Run(running) })
	peerServer := &peer.Server{
		Identity: e.identity(), Handler: e.handler, Log: e.log.WithName("peer"), Counts: e.counts, TLS: e.peerTLS,
	}
	background.Go(func() { failed <- peerServer.Serve(running, e.listeners.peer) })

	renewals, stopRenewals := context.WithCancel(running)
	defer stopRenewals()
	var renewing conc.WaitGroup
	renewing.Go(func() { e.renewer().run(renewals) })

	callers, endpoints, health := e.callers.HTTP(), endpointServer(e), e.healthServer()
	connections := drain.Watch(callers)
	servers := []*http.Server{callers, endpoints, health}
	for i, ln := range []net.Listener{e.listeners.callers, e.listeners.endpoints, e.listeners.health} {
		background.Go(func() {
			if err := servers[i].Serve(ln); !drain.Ended(err) {
				failed <- err
			}
		})
	}
	e.log.Info("Serving.", "id", e.settings.ID, "callers", e.listeners.callers.Addr().String())

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	e.drain(callers, connections)
	stopRenewals()
	renewing.Wait()
	e.handOver()
	for _, s := range servers {
		_ = s.Close()
	}
	e.stopOutbox()
	e.outbox.close()
	stop()
	e.control.close()
	e.peers.close()
	return err
}

func endpointServer(e *Entry) *http.Server {
	return endpoint.NewListener(e.views, e.keeper, e.metrics).HTTP()
}

func (e *Entry) renewer() *renewer {
	return &renewer{
		control: e.control, views: e.views, demand: e.service.Demand, build: e.buildRenew, install: e.install,
		log:     e.log.WithName("renew"),
		failed:  e.metrics.Counter("entry_renewals_failed_total"),
		refused: e.metrics.Counter("entry_deltas_refused_total"),
	}
}

// drain finishes the work in progress. Renewals go on meanwhile: an instance
// that has left is no longer fresh, and would have to refuse requests that wait.
func (e *Entry) drain(callers *http.Server, connections *drain.Connections) {
	e.stopping.Store(true)
	e.callers.Drain()
	e.log.Info("Stopping: not ready for new work.")
	time.Sleep(e.settings.StopDelay.D())
	e.callers.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := connections.Shutdown(ctx, callers, e.listeners.callers); err != nil {
		e.log.Info("Stopping with requests in progress.", "requests", e.callers.Running())
	}
}

// handOver stops the own pools, tells the leader, and stays reachable for the
// new dispatchers.
func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.service.Close(ctx)
	message := view.Renew{Entry: e.self(), Since: e.views.Current().Index}
	for {
		err := e.control.call(ctx, view.MethodLeave, message, nil)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			e.log.Info("The leader was not told of the stop.", "reason", err.Error())
			return
		}
		time.Sleep(renewPause)
	}
	time.Sleep(handOverTime)
	for end := time.Now().Add(outboxDrain); !e.outbox.empty() && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
}
