// Package demo runs the whole system in one process: control replicas, entry
// instances, and stand-ins for endpoints, platform and callers. They communicate
// over loopback sockets and keep their data in a temporary folder.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"cactusspar/internal/control"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/entry"
	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
	"cactusspar/internal/standin"
)

const (
	controlReplicas  = 3
	entryInstances   = 3
	endpointsPerPool = 4
	clusterName      = "demo"
	rebootTime       = 500 * time.Millisecond
	readyTimeout     = 30 * time.Second
	// The ports are below the range that the kernel uses for outgoing connections.
	firstPort = 10_000
	portCount = 20_000
)

// system is the system that the demo runs, with its operator client.
type system struct {
	folder   string
	log      logr.Logger
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	mu       sync.Mutex
	errs     []error
	client   *operator.Client
	entries  []entry.Settings
	fleet    *standin.Fleet
	server   *http.Server
	nextPort int
}

// start starts the platform, the control replicas and the entry instances, and waits
// until the control replicas serve requests. The system is returned also with an
// error, for the caller to stop it.
func start(ctx context.Context, log logr.Logger) (*system, error) {
	folder, err := os.MkdirTemp("", "cactusspar-demo")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, log: log, nextPort: os.Getpid() * 100}
	ctx, s.cancel = context.WithCancel(ctx)
	s.fleet = newFleet()
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	if err := s.startControlReplicas(ctx); err != nil {
		return s, err
	}
	return s, s.startEntryInstances(ctx)
}

// newFleet returns the endpoints of all pools, not started, and their platform.
func newFleet() *standin.Fleet {
	cfg := standin.FleetConfig{
		Pools: map[string]int{}, RackSize: 4, Platform: standin.PlatformConfig{RebootTime: rebootTime},
		Template: standin.EndpointConfig{
			Announcement: dispatch.Announcement{Slots: 8, MilliCPU: 64_000, MemoryMB: 131_072},
			Listen:       "127.0.0.1:0", Connections: 64, Runs: &standin.RunLog{},
		},
	}
	for _, pool := range demoPools {
		cfg.Pools[pool] = endpointsPerPool
	}
	for i := range entryInstances {
		cfg.DataCentres = append(cfg.DataCentres, fmt.Sprint("dc-", i+1))
	}
	return standin.NewFleet(cfg)
}

// freeAddr returns a loopback address whose port is free.
func (s *system) freeAddr() (string, error) {
	for range portCount {
		s.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+s.nextPort%portCount)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// listeners returns the settings of n listeners on free loopback ports.
func (s *system) listeners(n int) ([]settings.Listener, error) {
	out := make([]settings.Listener, n)
	for i := range out {
		addr, err := s.freeAddr()
		if err != nil {
			return nil, err
		}
		out[i].Address = addr
	}
	return out, nil
}

// run runs f in a goroutine. An error of f is returned by stop, prefixed with name.
func (s *system) run(name string, f func() error) {
	s.wg.Go(func() {
		if err := f(); err != nil {
			s.mu.Lock()
			s.errs = append(s.errs, fmt.Errorf("%s: %w", name, err))
			s.mu.Unlock()
		}
	})
}

func (s *system) startPlatform() error {
	l, err := s.listeners(1)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", l[0].Address)
	if err != nil {
		return err
	}
	s.server = &http.Server{Addr: l[0].Address, Handler: s.fleet.Platform(), ReadHeaderTimeout: time.Second}
	s.run("platform", func() error {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (s *system) startControlReplicas(ctx context.Context) error {
	token := operator.NewSecret()
	tokens := filepath.Join(s.folder, "tokens")
	if err := os.WriteFile(tokens, []byte(operator.TokenLine("demo", token)+"\n"), 0o600); err != nil {
		return err
	}
	var configs []control.Settings
	var members []control.MemberSettings
	var addresses []string
	for i := range controlReplicas {
		l, err := s.listeners(2)
		if err != nil {
			return err
		}
		c := control.DefaultSettings()
		c.Cluster, c.Name = clusterName, fmt.Sprint("control-", i+1)
		c.DataFolder = settings.File(filepath.Join(s.folder, c.Name))
		c.Peer, c.Operator, c.OperatorTokens = l[0], l[1], settings.File(tokens)
		c.Platform = "http://" + s.server.Addr
		configs = append(configs, c)
		members = append(members, control.MemberSettings{Name: c.Name, Peer: c.Peer.Address, Operator: c.Operator.Address})
		addresses = append(addresses, c.Operator.Address)
	}
	for _, c := range configs {
		c.Members = members
		s.run(c.Name, func() error { return control.RunProcess(ctx, c, s.log.WithName(c.Name)) })
	}
	var err error
	s.client, err = operator.NewClient(operator.ClientOptions{Addresses: addresses, Token: token, Timeout: readyTimeout})
	if err != nil {
		return err
	}
	_, err = s.client.Rules(ctx)
	return err
}

func (s *system) startEntryInstances(ctx context.Context) error {
	members, err := s.client.Status(ctx, s.client.Addresses()[0])
	if err != nil {
		return err
	}
	for i := range entryInstances {
		l, err := s.listeners(4)
		if err != nil {
			return err
		}
		e := entry.DefaultSettings()
		e.ID, e.Cluster = fmt.Sprint("entry-", i+1), clusterName
		e.DataCentre, e.Region = fmt.Sprint("dc-", i+1), "coast"
		for _, m := range members.Members {
			e.Control = append(e.Control, m.Addr)
		}
		e.Peer, e.Callers, e.Endpoints, e.Health = l[0], l[1], l[2], l[3]
		e.StopDelay = 0
		instance, err := entry.New(e, s.log.WithName(e.ID))
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		s.run(e.ID, func() error { return instance.Run(ctx) })
	}
	return nil
}

// stop stops everything, removes the data and returns all errors of the system.
func (s *system) stop() error {
	err := s.fleet.Kill()
	s.cancel()
	if s.server != nil {
		_ = s.server.Close()
	}
	s.wg.Wait()
	return errors.Join(append(s.errs, err, os.RemoveAll(s.folder))...)
}
