package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

const (
	// attemptTimeout bounds one attempt at one replica. It covers a commit on a
	// slow disk, and is short enough to find another leader within a deadline.
	attemptTimeout = 600 * time.Millisecond
	// attemptGap is the time between two rounds through all replicas.
	attemptGap = 60 * time.Millisecond
	// failurePause is how long a replica that didn't answer is asked last.
	failurePause = time.Second
	// maxKnown bounds the addresses that are remembered.
	maxKnown = 32
)

var errNoLeader = errors.New("no leader was found")

// link finds the leader and calls it.
type link struct {
	identity peer.Identity
	counts   *peer.Counts

	mu      sync.Mutex
	seeds   []string
	known   []string
	leader  string
	clients map[string]*peer.Client
	// failed holds when a replica last failed to answer.
	failed map[string]time.Time
}

func newLink(identity peer.Identity, seeds []string) *link {
	return &link{identity: identity, counts: &peer.Counts{}, seeds: seeds, clients: map[string]*peer.Client{}, failed: map[string]time.Time{}}
}

// learn replaces the addresses of the replicas.
func (l *link) learn(replicas []string) {
	if len(replicas) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = replicas[:min(len(replicas), maxKnown)]
	for addr, c := range l.clients {
		if addr != l.leader && !slices.Contains(l.known, addr) && !slices.Contains(l.seeds, addr) {
			c.Close()
			delete(l.clients, addr)
		}
	}
}

// candidates returns where to look for the leader, the likeliest first.
func (l *link) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	add(l.leader)
	for _, a := range l.known {
		add(a)
	}
	for _, a := range l.seeds {
		add(a)
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(l.rank(a), l.rank(b)) })
	return out
}

// rank is higher for a replica that failed to answer of late.
func (l *link) rank(addr string) int {
	if time.Since(l.failed[addr]) < failurePause {
		return 1
	}
	return 0
}

func (l *link) noteFailure(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failed) >= maxKnown {
		clear(l.failed)
	}
	l.failed[addr] = time.Now()
	if l.leader == addr {
		l.leader = ""
	}
}

func (l *link) client(addr string) *peer.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[addr]
	if c == nil {
		c = peer.NewClient(addr, l.identity, noRequests{}, nil, l.counts)
		l.clients[addr] = c
	}
	return c
}

func (l *link) setLeader(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = addr
}

// call sends a request to the leader, looking for it until ctx ends. Requests
// are idempotent, so that one without an answer is sent again. open tells that a
// replica may have taken the request without answering it, also if another one
// answered later.
func (l *link) call(ctx context.Context, method string, request, answer any) (open bool, err error) {
	return l.callWithin(ctx, attemptTimeout, method, request, answer)
}

// callWithin is call with another bound of one attempt.
func (l *link) callWithin(ctx context.Context, timeout time.Duration, method string, request, answer any) (open bool, err error) {
	for {
		for _, addr := range l.candidates() {
			if l.follow(ctx, timeout, addr, method, request, answer, &open) == nil {
				return open, nil
			}
			if ctx.Err() != nil {
				return open, errNoLeader
			}
		}
		select {
		case <-ctx.Done():
			return open, errNoLeader
		case <-time.After(attemptGap):
		}
	}
}

// maxRedirects bounds how often one attempt follows the replicas' words.
const maxRedirects = 2

// follow asks a replica, and the one that it names as the leader.
func (l *link) follow(ctx context.Context, timeout time.Duration, addr, method string, request, answer any, open *bool) error {
	for range maxRedirects + 1 {
		err := l.attempt(ctx, timeout, addr, method, request, answer)
		if err == nil {
			l.setLeader(addr)
			return nil
		}
		var remote *peer.RemoteError
		var dial *peer.DialError
		switch {
		case errors.As(err, &remote) && remote.Code == view.CodeNotLeader && remote.Text != "" && remote.Text != addr:
			addr = remote.Text
			continue
		case errors.As(err, &remote), errors.As(err, &dial):
		default:
			*open = true
		}
		if remote == nil {
			l.noteFailure(addr)
		}
		return err
	}
	return errNoLeader
}

func (l *link) attempt(ctx context.Context, timeout time.Duration, addr, method string, request, answer any) error {
	if ctx.Err() != nil {
		return &peer.DialError{Addr: addr, Err: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.client(addr).Call(ctx, method, request, answer)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.Close()
	}
}

// noRequests refuses what a replica might ask of a gateway.
type noRequests struct{}

func (noRequests) HandleRequest(context.Context, peer.Identity, string, []byte) (any, error) {
	return nil, &peer.RemoteError{Code: "refused", Text: "a gateway serves no requests of peers"}
}

func (noRequests) HandleOneWay(peer.Identity, string, []byte) {}
