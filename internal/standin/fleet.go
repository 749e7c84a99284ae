package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/dispatch"
)

// FleetConfig configures the endpoints of several pools and their platform.
type FleetConfig struct {
	// Pools maps each pool to its number of endpoints.
	Pools map[string]int
	// Template holds the settings common to all endpoints. Start sets the ID, pool,
	// data centre and rack of each endpoint; DataCentres are assigned round-robin.
	Template    EndpointConfig
	DataCentres []string
	// Prefix is prepended to the name of each endpoint.
	Prefix string
	// RackSize is the number of endpoints in a rack.
	RackSize int
	Platform PlatformConfig // NewFleet sets Down and Restart
}

// Fleet is a set of stand-in endpoints with a stand-in platform that reboots them.
type Fleet struct {
	cfg      FleetConfig
	platform *Platform

	mu        sync.Mutex
	endpoints map[string]*Endpoint
	errs      []error
}

// NewFleet returns a fleet whose endpoints have not been started.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, endpoints: map[string]*Endpoint{}}
	cfg.Platform.Down, cfg.Platform.Restart = f.kill, f.restart
	f.platform = NewPlatform(cfg.Platform, f.Names()...)
	return f
}

// Platform returns the platform, which is an http.Handler.
func (f *Fleet) Platform() *Platform { return f.platform }

// Names returns the names of all endpoints.
func (f *Fleet) Names() []string {
	var names []string
	for pool, count := range f.cfg.Pools {
		for n := range count {
			names = append(names, f.name(pool, n+1))
		}
	}
	return names
}

func (f *Fleet) name(pool string, n int) string { return fmt.Sprintf("%s%s-%d", f.cfg.Prefix, pool, n) }

// Start starts all endpoints, which announce themselves to the entry instances.
func (f *Fleet) Start(entries []string) error {
	f.cfg.Template.Entries = entries
	for pool, count := range f.cfg.Pools {
		for n := range count {
			a := f.cfg.Template.Announcement
			a.ID, a.Pool = f.name(pool, n+1), pool
			a.DataCentre = f.cfg.DataCentres[n%len(f.cfg.DataCentres)]
			a.Rack = fmt.Sprintf("%s-r%d", pool, n/len(f.cfg.DataCentres)/max(1, f.cfg.RackSize))
			if err := f.start(a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) start(a dispatch.Announcement) error {
	cfg := f.cfg.Template
	cfg.Announcement = a
	e, err := StartEndpoint(cfg)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[a.ID] = e
	return nil
}

func (f *Fleet) endpoint(id string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id]
}

// kill stops an instance abruptly at the start of its reboot.
func (f *Fleet) kill(id string) {
	if e := f.endpoint(id); e != nil {
		e.Kill()
	}
}

// restart starts an instance again, in the pool that it was last assigned to.
func (f *Fleet) restart(id string) {
	e := f.endpoint(id)
	if e == nil {
		return
	}
	if err := f.start(e.Announced()); err != nil {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
	}
}

// stopTimeout limits the graceful stop of all endpoints.
const stopTimeout = 40 * time.Second

// Stop stops all endpoints gracefully.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.closeAll(func(e *Endpoint) error { return e.Stop(ctx) })
}

// Kill closes all endpoints without deregistering them.
func (f *Fleet) Kill() error {
	return f.closeAll(func(e *Endpoint) error { e.Kill(); return nil })
}

// closeAll removes all endpoints from the fleet and closes them concurrently with
// closeOne. It returns all errors of the fleet so far.
func (f *Fleet) closeAll(closeOne func(*Endpoint) error) error {
	f.mu.Lock()
	endpoints := f.endpoints
	f.endpoints = map[string]*Endpoint{}
	f.mu.Unlock()
	var wg conc.WaitGroup
	for _, e := range endpoints {
		wg.Go(func() {
			if err := closeOne(e); err != nil {
				f.mu.Lock()
				f.errs = append(f.errs, err)
				f.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(f.errs...)
}
