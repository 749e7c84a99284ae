package entry

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

// peerClients holds a client for each other entry instance.
type peerClients struct {
	identity peer.Identity
	handler  peer.Handler
	tls      *tls.Config
	counters *peer.Counters
	log      logr.Logger
	views    *view.Publisher

	mu      sync.Mutex
	clients map[string]*peer.Client
	closed  bool
	closing conc.WaitGroup
}

// client returns the client for an entry instance. An instance that is no longer
// in the view is still reached at its last address, because its records may be
// needed.
func (p *peerClients) client(id string) (*peer.Client, error) {
	e, known := p.views.Current().Entries[id]
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[id]
	if c != nil && (!known || c.Addr() == e.PeerAddr) {
		return c, nil
	}
	if !known || p.closed {
		return nil, errs.New("entry instance %q has no known address", id)
	}
	if c != nil {
		p.closing.Go(c.Close) // the instance has a new address
	}
	c = peer.NewClient(e.PeerAddr, p.identity, p.handler, p.tls, p.counters)
	c.Log = p.log
	p.clients[id] = c
	return c, nil
}

func (p *peerClients) close() {
	p.mu.Lock()
	p.closed = true
	clients := p.clients
	p.clients = map[string]*peer.Client{}
	p.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
	p.closing.Wait()
}

// dispatchPeers sends the messages of the dispatch service to other entry
// instances. It implements dispatch.Peers.
type dispatchPeers struct {
	selfID string
	peers  *peerClients
	// localHeld answers a query addressed to this instance itself.
	localHeld   func(q dispatch.HeldQuery, from string) dispatch.HeldResponse
	copyRecords func(c dispatch.RecordCopy) error
}

// Held requests the tickets and records of a pool from an entry instance.
func (d *dispatchPeers) Held(ctx context.Context, id string, q dispatch.HeldQuery) (dispatch.HeldResponse, error) {
	if id == d.selfID {
		return d.localHeld(q, d.selfID), nil
	}
	var h dispatch.HeldResponse
	c, err := d.peers.client(id)
	if err != nil {
		return h, err
	}
	err = c.Call(ctx, dispatch.MethodHeld, q, &h)
	return h, err
}

// Copy sends changed records to the backup of a pool.
func (d *dispatchPeers) Copy(ctx context.Context, id string, m dispatch.RecordCopy) error {
	if id == d.selfID {
		return d.copyRecords(m)
	}
	c, err := d.peers.client(id)
	if err != nil {
		return err
	}
	return c.Call(ctx, dispatch.MethodCopy, m, nil)
}
