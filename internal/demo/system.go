// Package demo runs the whole system in one process, over loopback sockets and
// with data folders in a temporary folder: control replicas, entry instances,
// and stand-ins for endpoints, platform and callers.
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
	replicas     = 3
	entries      = 3
	endpoints    = 4 // of each pool
	clusterName  = "demo"
	rebootTime   = 500 * time.Millisecond
	readyTimeout = 30 * time.Second
	// Ports below the range that the kernel gives to outgoing connections.
	firstPort = 10_000
	portCount = 20_000
)

// system is the running system.
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

// start starts everything and waits until it is ready for rules.
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
	if err := s.startControls(ctx); err != nil {
		return s, err
	}
	return s, s.startEntries(ctx)
}

// newFleet returns the endpoints of all pools and their platform.
func newFleet() *standin.Fleet {
	cfg := standin.FleetConfig{
		Pools: map[string]int{}, RackSize: 4, Platform: standin.PlatformConfig{RebootTime: rebootTime},
		Template: standin.EndpointConfig{
			Announcement: dispatch.Announcement{Slots: 8, MilliCPU: 64_000, MemoryMB: 131_072},
			Listen:       "127.0.0.1:0", Connections: 64, Runs: &standin.RunLog{},
		},
	}
	for _, pool := range demoPools {
		cfg.Pools[pool] = endpoints
	}
	for i := range entries {
		cfg.DataCentres = append(cfg.DataCentres, fmt.Sprint("dc-", i+1))
	}
	return standin.NewFleet(cfg)
}

// freeAddr returns a loopback address that nothing listens on.
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

// listeners returns n listener settings.
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

func (s *system) run(what string, f func() error) {
	s.wg.Go(func() {
		if err := f(); err != nil {
			s.mu.Lock()
			s.errs = append(s.errs, fmt.Errorf("%s: %w", what, err))
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

func (s *system) startControls(ctx context.Context) error {
	token := operator.NewSecret()
	tokens := filepath.Join(s.folder, "tokens")
	if err := os.WriteFile(tokens, []byte(operator.TokenLine("demo", token)+"\n"), 0o600); err != nil {
		return err
	}
	var all []control.Settings
	var members []control.MemberSettings
	var addresses []string
	for i := range replicas {
		l, err := s.listeners(2)
		if err != nil {
			return err
		}
		c := control.DefaultSettings()
		c.Cluster, c.Name = clusterName, fmt.Sprint("control-", i+1)
		c.DataFolder = settings.File(filepath.Join(s.folder, c.Name))
		c.Peer, c.Operator, c.OperatorTokens = l[0], l[1], settings.File(tokens)
		c.Platform = "http://" + s.server.Addr
		all = append(all, c)
		members = append(members, control.MemberSettings{Name: c.Name, Peer: c.Peer.Address, Operator: c.Operator.Address})
		addresses = append(addresses, c.Operator.Address)
	}
	for _, c := range all {
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

func (s *system) startEntries(ctx context.Context) error {
	members, err := s.client.Status(ctx, s.client.Addresses()[0])
	if err != nil {
		return err
	}
	for i := range entries {
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

// stop stops everything, removes the data and returns what went wrong.
func (s *system) stop() error {
	err := s.fleet.Kill()
	s.cancel()
	if s.server != nil {
		_ = s.server.Close()
	}
	s.wg.Wait()
	return errors.Join(append(s.errs, err, os.RemoveAll(s.folder))...)
}
