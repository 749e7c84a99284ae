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

// FleetConfig describes the endpoints of several pools with their platform.
type FleetConfig struct {
	// Pools holds the number of endpoints of each pool.
	Pools map[string]int
	// Template is what all endpoints have in common; identity, pool and place
	// are filled in. DataCentres are taken in turn.
	Template    EndpointConfig
	DataCentres []string
	// Prefix is what the names of the endpoints begin with.
	Prefix string
	// RackSize is the number of endpoints in a rack.
	RackSize int
	Platform PlatformConfig // Down and Restart are filled in
}

// Fleet is a set of stand-in endpoints that a stand-in platform can reboot.
type Fleet struct {
	cfg      FleetConfig
	platform *Platform

	mu      sync.Mutex
	workers map[string]*Endpoint
	errs    []error
}

// NewFleet returns a fleet whose endpoints are not started yet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, workers: map[string]*Endpoint{}}
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
	f.workers[a.ID] = e
	return nil
}

func (f *Fleet) worker(id string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// kill takes an instance down for its reboot.
func (f *Fleet) kill(id string) {
	if w := f.worker(id); w != nil {
		w.Kill()
	}
}

// restart starts an instance again, in the pool that it was in.
func (f *Fleet) restart(id string) {
	w := f.worker(id)
	if w == nil {
		return
	}
	if err := f.start(w.Announced()); err != nil {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
	}
}

// stopTimeout bounds the graceful stop of all endpoints.
const stopTimeout = 40 * time.Second

// Stop stops all endpoints gracefully.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.end(func(e *Endpoint) error { return e.Stop(ctx) })
}

// Kill ends all endpoints at once.
func (f *Fleet) Kill() error {
	return f.end(func(e *Endpoint) error { e.Kill(); return nil })
}

func (f *Fleet) end(how func(*Endpoint) error) error {
	f.mu.Lock()
	workers := f.workers
	f.workers = map[string]*Endpoint{}
	f.mu.Unlock()
	var wg conc.WaitGroup
	for _, w := range workers {
		wg.Go(func() {
			if err := how(w); err != nil {
				f.mu.Lock()
				f.errs = append(f.errs, err)
				f.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(f.errs...)
}
