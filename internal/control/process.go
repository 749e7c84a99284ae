package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"cactusspar/internal/drain"
	"cactusspar/internal/fleet"
	"cactusspar/internal/intake"
	"cactusspar/internal/operator"
	"cactusspar/internal/platform"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

// Bounds of the HTTP listeners.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// closeTimeout bounds the wait for calls in progress at a planned stop.
	closeTimeout         = 3 * time.Second
	maxHealthConnections = 64
)

// RunProcess runs a control process until ctx ends or the replica has to stop.
func RunProcess(ctx context.Context, s Settings, log logr.Logger) error {
	metrics := telemetry.NewMetrics()
	options, err := s.options(log, metrics)
	if err != nil {
		return err
	}
	in := intake.New(intake.Options{BodyBytes: s.BodyMemoryBytes, DecodingBytes: operator.DecodingBytes, Log: log.WithName("intake"), Metrics: metrics})
	servers, err := s.listen(in)
	if err != nil {
		return errors.Join(err, options.Listener.Close())
	}
	replica, err := OpenWithRoom(ctx, options)
	if err != nil {
		return errors.Join(err, options.Listener.Close(), servers.close())
	}
	administration := AdministrationSettings{Operator: s.Operator, OperatorTokens: s.OperatorTokens}
	operators, err := administration.handler(replica, in, log, metrics)
	if err != nil {
		return errors.Join(err, options.Listener.Close(), servers.close(), replica.storage.Close())
	}
	servers.operator.server.Handler = operators
	if servers.health != nil {
		servers.health.server.Handler = replica.Health()
	}
	var wg conc.WaitGroup
	servers.serve(&wg, log)
	fleetCtx, stopFleet := context.WithCancel(ctx)
	wg.Go(func() { s.fleetDriver(replica, log, metrics).Run(fleetCtx) })
	err = replica.Run(ctx)
	stopFleet()
	servers.shutdown()
	wg.Wait()
	return err
}

// fleetDriver returns the driver of waves, loans and jobs, which acts while this
// replica is the leader.
func (s *Settings) fleetDriver(r *Replica, log logr.Logger, metrics *telemetry.Metrics) *fleet.Driver {
	o := fleet.Options{
		Control: r, Log: log.WithName("fleet"), Metrics: metrics,
		ReturnLimit: s.ReturnLimit.Std(), DrainLimit: s.DrainLimit.Std(),
	}
	if s.Platform != "" {
		o.Platform = platform.NewClient(s.Platform, nil)
	}
	return fleet.New(o)
}

func (s *Settings) options(log logr.Logger, metrics *telemetry.Metrics) (Options, error) {
	o := Options{
		Cluster: s.Cluster, Self: s.Self(), Members: s.addresses(), DataFolder: string(s.DataFolder),
		Log: log, Metrics: metrics, SnapshotEntries: s.SnapshotEntries,
	}
	var err error
	if o.ServerTLS, err = s.Peer.TLS.Config(); err != nil {
		return o, errs.New("peer: %w", err)
	}
	if o.ClientTLS, err = s.PeerTLS.Config(); err != nil {
		return o, errs.New("peer_tls: %w", err)
	}
	if o.Listener, err = net.Listen("tcp", s.Peer.Address); err != nil {
		return o, errs.New("peer: %w", err)
	}
	return o, nil
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	name        string
	server      *http.Server
	listener    net.Listener
	connections *drain.Connections
}

// httpServers are the HTTP listeners of the process.
type httpServers struct {
	operator *httpServer
	health   *httpServer // nil if it is not served
}

func (s *Settings) listen(in *intake.Intake) (*httpServers, error) {
	out := &httpServers{}
	var err error
	if out.operator, err = listenHTTP("operator", &s.Operator, in, s.OperatorConnections); err != nil {
		return nil, err
	}
	if s.Health == nil {
		return out, nil
	}
	if out.health, err = listenHTTP("health", s.Health, in, maxHealthConnections); err != nil {
		return nil, errors.Join(err, out.close())
	}
	return out, nil
}

func listenHTTP(name string, l *settings.Listener, in *intake.Intake, connections int) (*httpServer, error) {
	config, err := l.TLS.Config()
	if err != nil {
		return nil, errs.New("%s: %w", name, err)
	}
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, errs.New("%s: %w", name, err)
	}
	ln = in.Listen(ln, connections)
	if config != nil {
		ln = tls.NewListener(ln, config)
	}
	server := &http.Server{
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return &httpServer{name, server, ln, drain.Track(server)}, nil
}

func (s *httpServers) all() []*httpServer {
	if s.health == nil {
		return []*httpServer{s.operator}
	}
	return []*httpServer{s.operator, s.health}
}

func (s *httpServers) serve(wg *conc.WaitGroup, log logr.Logger) {
	for _, h := range s.all() {
		intake.Attach(h.server)
		wg.Go(func() {
			if err := h.server.Serve(h.listener); !drain.IsShutdown(err) {
				log.Error(err, "Stopped serving HTTP.", "listener", h.name)
			}
		})
	}
}

// shutdown stops the listeners and waits up to closeTimeout for calls in progress.
func (s *httpServers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, h := range s.all() {
		if h.connections.Shutdown(ctx, h.server, h.listener) != nil {
			_ = h.server.Close()
		}
	}
}

func (s *httpServers) close() error {
	var err error
	for _, h := range s.all() {
		err = errors.Join(err, h.listener.Close())
	}
	return err
}
