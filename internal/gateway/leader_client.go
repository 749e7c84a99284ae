package gateway

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

const (
	// attemptTimeout bounds one attempt at one replica. It is long enough for a commit
	// on a slow disk, and short enough to find another leader within the caller's
	// deadline.
	attemptTimeout = 600 * time.Millisecond
	// roundInterval is the time between two rounds through all replicas.
	roundInterval = 60 * time.Millisecond
	// failureBackoff is how long a replica that failed to respond is tried last.
	failureBackoff = time.Second
	// followerBackoff is how long a follower is not asked after it has failed to respond.
	followerBackoff = 2 * time.Second
	// refusalBackoff is how long no follower is asked after one has refused, because it hears no
	// leader. It doubles up to maxRefusalDoublings times while none serves: in a small fleet, none
	// ever does. It doesn't double within servedLately after one has: there is a change of leader,
	// and the new one can't serve all gateways directly.
	refusalBackoff      = 150 * time.Millisecond
	maxRefusalDoublings = 6
	servedLately        = time.Minute
	// maxReplicas limits the number of replica addresses that are kept.
	maxReplicas = 32
)

var errNoLeader = errors.New("no leader found")

// leaderClient finds the leader of the control replicas and calls it.
type leaderClient struct {
	identity peer.Identity
	counts   *peer.Counters
	log      logr.Logger

	mu       sync.Mutex
	seeds    []string
	replicas []string
	leader   string
	clients  map[string]*peer.Client
	// failed holds the time at which each replica last failed to respond.
	failed map[string]time.Time
	// avoided holds the time until which a follower is not asked, noFollowersUntil that until
	// which none is.
	avoided          map[string]time.Time
	noFollowersUntil time.Time
	refusals         int // by followers since one has served a request
	followerServedAt time.Time
}

func newLeaderClient(identity peer.Identity, seeds []string, log logr.Logger) *leaderClient {
	return &leaderClient{identity: identity, counts: &peer.Counters{}, log: log, seeds: seeds, clients: map[string]*peer.Client{}, failed: map[string]time.Time{}, avoided: map[string]time.Time{}}
}

// setReplicas replaces the addresses of the replicas. It closes the clients of
// replicas that are no longer known.
func (l *leaderClient) setReplicas(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas = addrs[:min(len(addrs), maxReplicas)]
	for addr, c := range l.clients {
		if addr != l.leader && !slices.Contains(l.replicas, addr) && !slices.Contains(l.seeds, addr) {
			c.Close()
			delete(l.clients, addr)
		}
	}
}

// candidates returns the addresses at which to search for the leader, the most likely
// first.
func (l *leaderClient) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	add(l.leader)
	for _, a := range l.replicas {
		add(a)
	}
	for _, a := range l.seeds {
		add(a)
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(l.rank(a), l.rank(b)) })
	return out
}

// rank returns 1 for a replica that has recently failed to respond, and 0 for others.
func (l *leaderClient) rank(addr string) int {
	if time.Since(l.failed[addr]) < failureBackoff {
		return 1
	}
	return 0
}

// follower returns the address of a follower that may be asked, or "". Gateways are spread among
// the followers by their names, and each asks the same one as long as that responds.
func (l *leaderClient) follower() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best string
	var highest uint64
	now := time.Now()
	if now.Before(l.noFollowersUntil) {
		return ""
	}
	for _, addr := range l.replicas {
		if addr == l.leader || now.Before(l.avoided[addr]) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(l.identity.ID + addr)) // never fails
		if sum := h.Sum64(); best == "" || sum > highest {
			best, highest = addr, sum
		}
	}
	return best
}

// followerServed notes that a follower has served a request.
func (l *leaderClient) followerServed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals, l.followerServedAt = 0, time.Now()
}

// avoidFollower notes that a follower did not serve a request.
func (l *leaderClient) avoidFollower(addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var remote *peer.RemoteError
	switch {
	case errors.As(err, &remote) && peer.NotHandled(err):
		now := time.Now()
		l.noFollowersUntil = now.Add(refusalBackoff << min(l.refusals, maxRefusalDoublings))
		if now.Sub(l.followerServedAt) > servedLately {
			l.refusals++
		}
	case errors.As(err, &remote):
		// The leader has not responded in time, whichever way the call took.
	default:
		if len(l.avoided) >= maxReplicas {
			clear(l.avoided)
		}
		l.avoided[addr] = time.Now().Add(followerBackoff)
	}
}

// recordFailure records that a replica failed to respond.
func (l *leaderClient) recordFailure(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failed) >= maxReplicas {
		clear(l.failed)
	}
	l.failed[addr] = time.Now()
	if l.leader == addr {
		l.leader = ""
	}
}

// client returns the client of a replica, which it creates if necessary.
func (l *leaderClient) client(addr string) *peer.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[addr]
	if c == nil {
		c = peer.NewClient(addr, l.identity, rejectRequests{}, nil, l.counts)
		c.Log = l.log
		l.clients[addr] = c
	}
	return c
}

func (l *leaderClient) setLeader(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = addr
}

// currentLeader returns the address of the replica that is tried first.
func (l *leaderClient) currentLeader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// forgetLeader makes a replica the last one to be tried, unless another one has been
// found since.
func (l *leaderClient) forgetLeader(addr string) {
	if l.currentLeader() == addr {
		l.recordFailure(addr)
	}
}

// callLeader sends a request to the leader and searches for it until ctx ends. timeout bounds
// one attempt. Requests are idempotent, so that a request without a response is sent again.
// Each attempt is recorded and has a response of its own.
func callLeader[T any](ctx context.Context, l *leaderClient, timeout time.Duration, a *attempts, method string, request any) (*T, error) {
	var response *T
	err := l.search(ctx, a, func(addr string) error {
		response = new(T)
		return l.attempt(ctx, timeout, addr, method, request, response)
	})
	return response, err
}

// search calls attempt with the addresses of replicas until it succeeds or ctx leaves no time
// for another attempt.
func (l *leaderClient) search(ctx context.Context, a *attempts, attempt func(addr string) error) error {
	for {
		for _, addr := range l.candidates() {
			if l.follow(ctx, a, addr, attempt) == nil {
				return nil
			}
			if !a.mayAttempt(ctx) {
				return errNoLeader
			}
		}
		select {
		case <-ctx.Done():
			return errNoLeader
		case <-time.After(roundInterval):
		}
	}
}

// maxRedirects limits how often a request is redirected to another replica.
const maxRedirects = 2

// follow makes an attempt at a replica and follows its redirects to the leader.
func (l *leaderClient) follow(ctx context.Context, a *attempts, addr string, attempt func(addr string) error) error {
	for range maxRedirects + 1 {
		if !a.mayAttempt(ctx) {
			return errNoLeader
		}
		err := attempt(addr)
		if err == nil {
			a.ended(addr, "response")
			l.setLeader(addr)
			return nil
		}
		a.failed(addr, err)
		var remote *peer.RemoteError
		if !errors.As(err, &remote) {
			l.recordFailure(addr)
			return err
		}
		if remote.Code != view.CodeNotLeader || remote.Text == "" || remote.Text == addr {
			return err
		}
		addr = remote.Text
	}
	return errNoLeader
}

// attempt sends a request to one replica.
func (l *leaderClient) attempt(ctx context.Context, timeout time.Duration, addr, method string, request, response any) error {
	if ctx.Err() != nil {
		return &peer.DialError{Addr: addr, Err: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.client(addr).Call(ctx, method, request, response)
}

func (l *leaderClient) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.Close()
	}
}

// rejectRequests refuses all requests of replicas: a gateway serves none.
type rejectRequests struct{}

func (rejectRequests) HandleRequest(context.Context, peer.Identity, string, []byte) (any, error) {
	return nil, &peer.RemoteError{Code: peer.CodeRefused, Text: "a gateway serves no requests of peers"}
}

func (rejectRequests) HandleOneWay(peer.Identity, string, []byte) {}
